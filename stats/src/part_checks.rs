//! Which parts of a query have to be checked, and when.

use lichenswitch_interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Which parts of a query's step have to be checked and when, so that no decision walks over all
/// of them.
#[derive(Clone, Debug, Default)]
pub struct PartChecks {
    /// Parts without an answer that have no attempt in flight.
    idle_parts: BTreeSet<usize>,
    /// Parts that have an attempt in flight, by the time of their next check.
    checks: BTreeSet<(Time, usize)>,
    /// The time of the next check, by part.
    check_times: BTreeMap<usize, Time>,
}

impl PartChecks {
    /// Notes that a part has no attempt in flight.
    pub fn set_idle(&mut self, part: usize) {
        self.remove(part);
        self.idle_parts.insert(part);
    }
    /// Notes that a part has an attempt in flight, and is to be checked at this time.
    pub fn schedule(&mut self, part: usize, at: Time) {
        self.remove(part);
        self.checks.insert((at, part));
        self.check_times.insert(part, at);
    }
    /// Notes that a part needs nothing more.
    pub fn remove(&mut self, part: usize) {
        self.idle_parts.remove(&part);
        if let Some(at) = self.check_times.remove(&part) {
            self.checks.remove(&(at, part));
        }
    }
    /// Parts that have no attempt in flight, in order.
    pub fn idle_parts(&self) -> impl Iterator<Item = usize> + '_ {
        self.idle_parts.iter().copied()
    }
    /// Parts that have an attempt in flight and whose check is due, earliest first.
    pub fn due_parts(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.checks.range(..=(now, usize::MAX)).map(|l| l.1)
    }
    /// Parts that have no attempt in flight or whose check is due, in order.
    #[must_use]
    pub fn parts_to_check(&self, now: Time) -> Vec<usize> {
        let mut parts: Vec<usize> = self.idle_parts().chain(self.due_parts(now)).collect();
        parts.sort_unstable();
        parts
    }
    /// The time of the next check after now.
    #[must_use]
    pub fn next_check(&self, now: Time) -> Option<Time> {
        self.checks
            .range((now, usize::MAX)..)
            .map(|l| l.0)
            .find(|&at| at > now)
    }
}

//! Schedule of the checks of a query's parts.

use lichenswitch_interface::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Schedule of the checks of a step's parts, which spares decisions a pass over all parts.
#[derive(Clone, Debug, Default)]
pub struct PartChecks {
    /// Unanswered parts without an attempt in flight.
    idle_parts: BTreeSet<usize>,
    /// Parts with an attempt in flight, ordered by the time of their next check.
    checks: BTreeSet<(Time, usize)>,
    /// Time of the next check, by part.
    check_times: BTreeMap<usize, Time>,
}

impl PartChecks {
    /// Marks a part as having no attempt in flight.
    pub fn set_idle(&mut self, part: usize) {
        self.remove(part);
        self.idle_parts.insert(part);
    }
    /// Marks a part as having an attempt in flight and schedules its next check.
    pub fn schedule(&mut self, part: usize, at: Time) {
        self.remove(part);
        self.checks.insert((at, part));
        self.check_times.insert(part, at);
    }
    /// Removes a part that needs no further checks.
    pub fn remove(&mut self, part: usize) {
        self.idle_parts.remove(&part);
        if let Some(at) = self.check_times.remove(&part) {
            self.checks.remove(&(at, part));
        }
    }
    /// Returns the parts without an attempt in flight, in ascending order.
    pub fn idle_parts(&self) -> impl Iterator<Item = usize> + '_ {
        self.idle_parts.iter().copied()
    }
    /// Returns the parts with an attempt in flight whose check is due, earliest first.
    pub fn due_parts(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.checks.range(..=(now, usize::MAX)).map(|check| check.1)
    }
    /// Returns the parts that are idle or whose check is due, in ascending order.
    #[must_use]
    pub fn parts_to_check(&self, now: Time) -> Vec<usize> {
        let mut parts: Vec<usize> = self.idle_parts().chain(self.due_parts(now)).collect();
        parts.sort_unstable();
        parts
    }
    /// Returns the time of the next check after `now`.
    #[must_use]
    pub fn next_check(&self, now: Time) -> Option<Time> {
        self.checks
            .range((now, usize::MAX)..)
            .map(|check| check.0)
            .find(|&at| at > now)
    }
}

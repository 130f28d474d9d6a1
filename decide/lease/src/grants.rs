//! The voters' side: who holds what, as it follows from an agreed log. Each voter applies the same
//! entries in the same order and comes to the same grants; no clock decides there. Clocks decide
//! only when a voter says that a lease is over, and that too is an entry, which counts only if no
//! renewal has come before it in the log.

use super::{Duty, FenceNumber, Holder, Terms};
use lichenswitch_interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// What is put into the agreed log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// A broker asks for a duty, to get it or to keep it.
    Ask(Duty, Holder),
    /// The holder of this fence gives the duty back.
    GiveBack(Duty, FenceNumber),
    /// A voter has waited for the end of the lease that was renewed so many times under this fence.
    Over(Duty, FenceNumber, u64),
}

/// What an entry led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The duty was granted, under a new fence.
    Granted(FenceNumber, Reason),
    /// Its holder keeps it, under the same one.
    Renewed(FenceNumber),
    /// Somebody else holds it.
    Refused(Holder, FenceNumber),
    /// It is free.
    Freed(Reason),
    /// The entry is about a lease that is none any more.
    Stale,
}

/// Why a duty was free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nobody had it.
    Unheld,
    /// Its holder gave it back.
    GivenBack,
    /// Its lease was over.
    Over,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Unheld => "nobody had it",
            Reason::GivenBack => "its holder gave it back",
            Reason::Over => "its lease was over",
        })
    }
}

/// A duty that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    to: Holder,
    fence: FenceNumber,
    renewals: u64,
    /// When this voter learnt of the last renewal, by its own clock: never before its holder asked.
    learnt: Time,
}

/// What is granted, without what a voter's clock has to do with it: the same at all voters that
/// have applied as much of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    last: FenceNumber,
    held: Vec<(Duty, Holder, FenceNumber, u64)>,
}

/// What is granted, as one voter knows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Grants {
    last: FenceNumber,
    held: BTreeMap<Duty, Grant>,
}

impl Grants {
    /// The next entry of the log. A voter that was restarted is given all of it again, with the
    /// time of now: it learns of leases later than it did before, and waits longer.
    pub fn on_entry(&mut self, now: Time, entry: &Entry) -> Verdict {
        match entry {
            Entry::Ask(duty, by) => self.ask(now, duty, by),
            Entry::GiveBack(duty, fence) => self.free(duty, *fence, None, Reason::GivenBack),
            Entry::Over(duty, fence, renewals) => {
                self.free(duty, *fence, Some(*renewals), Reason::Over)
            }
        }
    }

    /// What is granted, to be told to a voter that was away.
    ///
    /// ```
    /// use lichenswitch_lease::{grants::{Entry, Grants}, Duty, Holder};
    /// use lichenswitch_interface::Time;
    /// let mut grants = Grants::default();
    /// let (duty, holder) = (Duty("d".into()), Holder { name: "a".into(), life: 1 });
    /// grants.on_entry(Time(5), &Entry::Ask(duty.clone(), holder.clone()));
    /// let back = Grants::from_told(Time(9_000), &grants.told());
    /// assert_eq!(back.holder(&duty), grants.holder(&duty));
    /// ```
    #[must_use]
    pub fn told(&self) -> Told {
        let line = |(duty, g): (&Duty, &Grant)| (duty.clone(), g.to.clone(), g.fence, g.renewals);
        Told {
            last: self.last,
            held: self.held.iter().map(line).collect(),
        }
    }

    /// The grants of a voter that learns of all of them now: it waits for the end of each lease
    /// from here on, so no shorter than one that was there.
    #[must_use]
    pub fn from_told(now: Time, told: &Told) -> Grants {
        let grant = |(duty, to, fence, renewals): &(Duty, Holder, FenceNumber, u64)| {
            (
                duty.clone(),
                Grant {
                    to: to.clone(),
                    fence: *fence,
                    renewals: *renewals,
                    learnt: now,
                },
            )
        };
        Grants {
            last: told.last,
            held: told.held.iter().map(grant).collect(),
        }
    }

    fn ask(&mut self, now: Time, duty: &Duty, by: &Holder) -> Verdict {
        let why = match self.held.get_mut(duty) {
            Some(grant) if grant.to == *by => {
                (grant.renewals, grant.learnt) = (grant.renewals + 1, now);
                return Verdict::Renewed(grant.fence);
            }
            // A later life of the holder waits like any other: a process of its name that was only
            // stopped may wake.
            Some(grant) => return Verdict::Refused(grant.to.clone(), grant.fence),
            None => Reason::Unheld,
        };
        self.last = FenceNumber(self.last.0 + 1);
        let grant = Grant {
            to: by.clone(),
            fence: self.last,
            renewals: 0,
            learnt: now,
        };
        self.held.insert(duty.clone(), grant);
        Verdict::Granted(self.last, why)
    }

    fn free(
        &mut self,
        duty: &Duty,
        fence: FenceNumber,
        renewals: Option<u64>,
        why: Reason,
    ) -> Verdict {
        let is_it =
            |g: &&Grant| g.fence == fence && renewals.is_none_or(|count| g.renewals == count);
        if self.held.get(duty).filter(is_it).is_none() {
            return Verdict::Stale;
        }
        self.held.remove(duty);
        Verdict::Freed(why)
    }

    /// Leases that are over by now, by this voter's clock: what it is to put into the log.
    #[must_use]
    pub fn over(&self, now: Time, terms: Terms) -> Vec<Entry> {
        let over = self
            .held
            .iter()
            .filter(|(_, g)| now.since(g.learnt) >= terms.awaited());
        over.map(|(duty, g)| Entry::Over(duty.clone(), g.fence, g.renewals))
            .collect()
    }

    /// When the next lease is over.
    #[must_use]
    pub fn next(&self, terms: Terms) -> Option<Time> {
        self.held
            .values()
            .map(|g| g.learnt.plus(terms.awaited()))
            .min()
    }

    /// Who holds a duty, under which fence.
    #[must_use]
    pub fn holder(&self, duty: &Duty) -> Option<(&Holder, FenceNumber)> {
        self.held.get(duty).map(|g| (&g.to, g.fence))
    }
}

#[cfg(test)]
mod tests;

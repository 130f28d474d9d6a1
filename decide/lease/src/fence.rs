//! The receiver's side: what an old holder still sends is not taken.

use super::{Duty, FenceNumber};
use std::collections::BTreeMap;
use std::fmt;

/// Why an effect was taken or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It carries the highest fence that was seen here.
    Present,
    /// It carries a higher one than any before: the duty has a new holder.
    Newer(FenceNumber),
    /// It carries a lower one: its holder is none any more.
    Older(FenceNumber),
    /// It carries none.
    Bare,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Present => f.write_str("its fence is the present one"),
            Reason::Newer(before) => write!(f, "its fence is newer than {}", before.0),
            Reason::Older(seen) => write!(f, "its fence is older than {}, which was seen", seen.0),
            Reason::Bare => f.write_str("it carries no fence"),
        }
    }
}

/// Whether an effect is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Take(Reason),
    /// It is not.
    Refuse(Reason),
}

/// The highest fences that a receiver has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fence {
    seen: BTreeMap<Duty, FenceNumber>,
}

impl Fence {
    /// An effect under a duty has come.
    pub fn on_effect(&mut self, duty: &Duty, fence: FenceNumber) -> Verdict {
        let seen = self.seen.get(duty).copied().unwrap_or_default();
        match fence {
            FenceNumber(0) => Verdict::Refuse(Reason::Bare),
            _ if fence < seen => Verdict::Refuse(Reason::Older(seen)),
            _ if fence == seen => Verdict::Take(Reason::Present),
            _ => {
                self.seen.insert(duty.clone(), fence);
                Verdict::Take(Reason::Newer(seen))
            }
        }
    }

    /// The highest fence seen under a duty.
    #[must_use]
    pub fn seen(&self, duty: &Duty) -> FenceNumber {
        self.seen.get(duty).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;

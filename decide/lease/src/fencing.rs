//! The receiver's side of a lease: what a former holder still sends is rejected.

use super::{FencingToken, RoleName};
use std::collections::BTreeMap;
use std::fmt;

/// Why an effect was accepted or rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It carries the highest token seen here.
    Current,
    /// It carries a higher token than this one, the highest before: the role has a new holder.
    Newer(FencingToken),
    /// It carries a lower token than this one, which was seen: its sender no longer holds the role.
    Older(FencingToken),
    /// It carries no token.
    Missing,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Current => f.write_str("its fence is the present one"),
            Reason::Newer(before) => write!(f, "its fence is newer than {}", before.0),
            Reason::Older(highest) => {
                write!(f, "its fence is older than {}, which was seen", highest.0)
            }
            Reason::Missing => f.write_str("it carries no fence"),
        }
    }
}

/// Whether an effect is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is.
    Accept(Reason),
    /// It is not.
    Reject(Reason),
}

/// The highest fencing token that a receiver has seen for each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<RoleName, FencingToken>,
}

impl FencingGuard {
    /// Judges an effect that has arrived in the name of a role, and remembers its token if that is
    /// the highest so far.
    pub fn on_effect(&mut self, role: &RoleName, token: FencingToken) -> Verdict {
        let highest = self.highest_seen(role);
        match token {
            FencingToken(0) => Verdict::Reject(Reason::Missing),
            _ if token < highest => Verdict::Reject(Reason::Older(highest)),
            _ if token == highest => Verdict::Accept(Reason::Current),
            _ => {
                self.highest.insert(role.clone(), token);
                Verdict::Accept(Reason::Newer(highest))
            }
        }
    }

    /// The highest token seen for a role; 0 if there was none.
    #[must_use]
    pub fn highest_seen(&self, role: &RoleName) -> FencingToken {
        self.highest.get(role).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;

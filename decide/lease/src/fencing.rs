//! The receiver's side of a lease: rejects the effects that a former holder still sends.

use super::{FencingToken, RoleName};
use std::collections::BTreeMap;
use std::fmt;

/// The reason for accepting or rejecting an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The effect carries the highest token seen for the role.
    Current,
    /// The effect carries a higher token than the previous highest one, given here: the role has
    /// a new holder.
    Newer(FencingToken),
    /// The effect carries a lower token than the highest one seen, given here: its sender no
    /// longer holds the role.
    Older(FencingToken),
    /// The effect carries no token.
    Missing,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Current => f.write_str("its fencing token is the current one"),
            Reason::Newer(before) => write!(f, "its fencing token is newer than {}", before.0),
            Reason::Older(highest) => {
                write!(
                    f,
                    "its fencing token is older than the highest one seen, {}",
                    highest.0
                )
            }
            Reason::Missing => f.write_str("it carries no fencing token"),
        }
    }
}

/// The decision about an effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The receiver may carry out the effect.
    Accept(Reason),
    /// The receiver must drop the effect.
    Reject(Reason),
}

/// The highest fencing token that a receiver has seen for each role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct FencingGuard {
    highest: BTreeMap<RoleName, FencingToken>,
}

impl FencingGuard {
    /// Decides whether to accept an effect that was sent under a role and token, and records the
    /// token if it is the highest so far.
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

    /// Returns the highest token seen for a role; 0 if none was seen.
    #[must_use]
    pub fn highest_seen(&self, role: &RoleName) -> FencingToken {
        self.highest.get(role).copied().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;

//! The voters' side of a lease: the state machine that maps each role to its holder.
//!
//! Every voter applies the same commands of the replicated log in the same order and obtains the
//! same grants, independently of any clock. A clock only determines when a voter proposes that a
//! lease has expired. The proposal is itself a command of the log, and has no effect if a renewal
//! precedes it there.

use super::{FencingToken, LeaseHolder, LeaseTerms, RoleName};
use lichenswitch_interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A command of the replicated log. The order of the variants and fields is part of the format of
/// stored records and messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// A broker requests a role, or the renewal of its lease on the role.
    Acquire(RoleName, LeaseHolder),
    /// The holder with this token releases the role.
    Release(RoleName, FencingToken),
    /// By a voter's clock the lease with this token and this number of renewals has expired.
    Expire(RoleName, FencingToken, u64),
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The role was granted, with a new token.
    Granted(FencingToken, Reason),
    /// The holder's lease was renewed, with the same token.
    Renewed(FencingToken),
    /// Another holder, with this token, has the role.
    Rejected(LeaseHolder, FencingToken),
    /// The role became vacant.
    Vacated(Reason),
    /// The command had no effect because its lease has ended or was renewed.
    Stale,
}

/// The reason why a role was vacant before a grant, or became vacant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No broker held the role.
    Vacant,
    /// The holder released the role.
    Released,
    /// The lease expired.
    Expired,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Vacant => "no broker held it",
            Reason::Released => "its holder released it",
            Reason::Expired => "its lease expired",
        })
    }
}

/// The current grant of a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: LeaseHolder,
    token: FencingToken,
    /// Number of renewals since the grant.
    renewals: u64,
    /// When this voter learned of the grant or its last renewal, by its own clock; never before
    /// the holder requested it.
    learned_at: Time,
}

/// The grants without the times of the voter's clock. Equal at all voters that have applied the
/// same prefix of the log. The field order is part of the format of stored records and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantSnapshot {
    last_token: FencingToken,
    grants: Vec<(RoleName, LeaseHolder, FencingToken, u64)>,
}

/// The grants of all roles at one voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTable {
    last_token: FencingToken,
    grants: BTreeMap<RoleName, Grant>,
}

impl GrantTable {
    /// Applies the next command of the log. A restarted voter applies the log again with its
    /// current time: it waits for the end of each lease from then on, so longer than before.
    pub fn apply(&mut self, now: Time, command: &LeaseCommand) -> Outcome {
        match command {
            LeaseCommand::Acquire(role, requester) => self.acquire(now, role, requester),
            LeaseCommand::Release(role, token) => self.vacate(role, *token, None, Reason::Released),
            LeaseCommand::Expire(role, token, renewals) => {
                self.vacate(role, *token, Some(*renewals), Reason::Expired)
            }
        }
    }

    /// Returns the grants in a form that a voter that has missed part of the log can restore.
    ///
    /// ```
    /// use lichenswitch_interface::Time;
    /// use lichenswitch_lease::grant_table::{GrantTable, LeaseCommand};
    /// use lichenswitch_lease::{LeaseHolder, RoleName};
    /// let mut grants = GrantTable::default();
    /// let role = RoleName("d".into());
    /// let holder = LeaseHolder { name: "a".into(), incarnation: 1 };
    /// grants.apply(Time(5), &LeaseCommand::Acquire(role.clone(), holder.clone()));
    /// let restored = GrantTable::from_snapshot(Time(9_000), &grants.snapshot());
    /// assert_eq!(restored.holder(&role), grants.holder(&role));
    /// ```
    #[must_use]
    pub fn snapshot(&self) -> GrantSnapshot {
        let grant = |(role, grant): (&RoleName, &Grant)| {
            let holder = grant.holder.clone();
            (role.clone(), holder, grant.token, grant.renewals)
        };
        GrantSnapshot {
            last_token: self.last_token,
            grants: self.grants.iter().map(grant).collect(),
        }
    }

    /// Restores the grants from a snapshot. The wait for the end of each lease starts at `now`, so
    /// it ends no earlier than at the voter that took the snapshot.
    #[must_use]
    pub fn from_snapshot(now: Time, snapshot: &GrantSnapshot) -> GrantTable {
        let grant =
            |(role, holder, token, renewals): &(RoleName, LeaseHolder, FencingToken, u64)| {
                let grant = Grant {
                    holder: holder.clone(),
                    token: *token,
                    renewals: *renewals,
                    learned_at: now,
                };
                (role.clone(), grant)
            };
        GrantTable {
            last_token: snapshot.last_token,
            grants: snapshot.grants.iter().map(grant).collect(),
        }
    }

    fn acquire(&mut self, now: Time, role: &RoleName, requester: &LeaseHolder) -> Outcome {
        match self.grants.get_mut(role) {
            Some(grant) if grant.holder == *requester => {
                (grant.renewals, grant.learned_at) = (grant.renewals + 1, now);
                return Outcome::Renewed(grant.token);
            }
            // A later incarnation of the holder has to wait like any other broker: the former
            // process may only be paused and continue later.
            Some(grant) => return Outcome::Rejected(grant.holder.clone(), grant.token),
            None => {}
        }
        self.last_token = FencingToken(self.last_token.0 + 1);
        let grant = Grant {
            holder: requester.clone(),
            token: self.last_token,
            renewals: 0,
            learned_at: now,
        };
        self.grants.insert(role.clone(), grant);
        Outcome::Granted(self.last_token, Reason::Vacant)
    }

    /// Ends the grant with this token if it is still in force and, if `renewals` is given, has been
    /// renewed exactly that often.
    fn vacate(
        &mut self,
        role: &RoleName,
        token: FencingToken,
        renewals: Option<u64>,
        reason: Reason,
    ) -> Outcome {
        let is_in_force = self.grants.get(role).is_some_and(|grant| {
            grant.token == token && renewals.is_none_or(|count| grant.renewals == count)
        });
        if !is_in_force {
            return Outcome::Stale;
        }
        self.grants.remove(role);
        Outcome::Vacated(reason)
    }

    /// Returns the `Expire` commands to propose: one for each lease that has expired by this
    /// voter's clock.
    #[must_use]
    pub fn expired(&self, now: Time, terms: LeaseTerms) -> Vec<LeaseCommand> {
        self.grants
            .iter()
            .filter(|(_, grant)| now.since(grant.learned_at) >= terms.voter_duration())
            .map(|(role, grant)| LeaseCommand::Expire(role.clone(), grant.token, grant.renewals))
            .collect()
    }

    /// Returns when the next lease expires by this voter's clock; `None` if no role is granted.
    #[must_use]
    pub fn next_expiry(&self, terms: LeaseTerms) -> Option<Time> {
        let expiry = |grant: &Grant| grant.learned_at.plus(terms.voter_duration());
        self.grants.values().map(expiry).min()
    }

    /// Returns the holder of a role and its token; `None` if the role is vacant.
    #[must_use]
    pub fn holder(&self, role: &RoleName) -> Option<(&LeaseHolder, FencingToken)> {
        self.grants
            .get(role)
            .map(|grant| (&grant.holder, grant.token))
    }
}

#[cfg(test)]
mod tests;

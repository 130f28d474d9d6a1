//! The voters' side of a lease: which role is granted to which holder, as it follows from an agreed
//! log. Every voter applies the same commands in the same order and comes to the same grants; no
//! clock takes part in that. A clock only decides when a voter proposes that a lease has expired.
//! That proposal is a command of the log too, and has no effect if a renewal precedes it there.

use super::{FencingToken, LeaseHolder, LeaseTerms, RoleName};
use lichenswitch_interface::Time;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// A command of the agreed log. The order of the variants and their fields is that of stored
/// records and messages.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// A broker requests a role, or the renewal of its lease of it.
    Acquire(RoleName, LeaseHolder),
    /// The holder with this token releases the role.
    Release(RoleName, FencingToken),
    /// A voter has waited for the end of the lease with this token and this count of renewals.
    Expire(RoleName, FencingToken, u64),
}

/// What a command led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The role was granted, with a new token.
    Granted(FencingToken, Reason),
    /// Its holder's lease was renewed, with the same token.
    Renewed(FencingToken),
    /// Another holder has it.
    Rejected(LeaseHolder, FencingToken),
    /// The role is vacant from now on.
    Vacated(Reason),
    /// The command is about a lease that has ended or was renewed.
    Stale,
}

/// Why a role is vacant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Nobody held it.
    Vacant,
    /// Its holder released it.
    Released,
    /// Its lease expired.
    Expired,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::Vacant => "nobody had it",
            Reason::Released => "its holder gave it back",
            Reason::Expired => "its lease was over",
        })
    }
}

/// The grant of a role.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Grant {
    holder: LeaseHolder,
    token: FencingToken,
    renewals: u64,
    /// When this voter learned of the last renewal, by its own clock: never before the holder
    /// requested it.
    learned_at: Time,
}

/// The grants without what depends on a voter's clock: the same at all voters that have applied as
/// much of the log. The order of the fields is that of stored records and messages.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantSnapshot {
    last_token: FencingToken,
    grants: Vec<(RoleName, LeaseHolder, FencingToken, u64)>,
}

/// The grants of all roles, as one voter knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct GrantTable {
    last_token: FencingToken,
    grants: BTreeMap<RoleName, Grant>,
}

impl GrantTable {
    /// Applies the next command of the log. A voter that was restarted applies all of it again at
    /// its present time: it learns of leases later than it did before, and waits longer.
    pub fn apply(&mut self, now: Time, command: &LeaseCommand) -> Outcome {
        match command {
            LeaseCommand::Acquire(role, requester) => self.acquire(now, role, requester),
            LeaseCommand::Release(role, token) => self.vacate(role, *token, None, Reason::Released),
            LeaseCommand::Expire(role, token, renewals) => {
                self.vacate(role, *token, Some(*renewals), Reason::Expired)
            }
        }
    }

    /// The grants for a voter that has missed a part of the log.
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

    /// The grants of a voter that learns of all of them now. It waits for the end of each lease
    /// from here on, so never shorter than the voter that took the snapshot.
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
            // A later incarnation of the holder waits like any other broker: the former process may
            // only have been stopped, and may go on.
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

    /// Ends the grant with this token, if it is still in force and, where a count of renewals is
    /// given, has not been renewed since.
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

    /// A command for each lease that has expired by this voter's clock, for it to propose.
    #[must_use]
    pub fn expired(&self, now: Time, terms: LeaseTerms) -> Vec<LeaseCommand> {
        self.grants
            .iter()
            .filter(|(_, grant)| now.since(grant.learned_at) >= terms.voter_duration())
            .map(|(role, grant)| LeaseCommand::Expire(role.clone(), grant.token, grant.renewals))
            .collect()
    }

    /// When the next lease expires by this voter's clock; `None` if no role is granted.
    #[must_use]
    pub fn next_expiry(&self, terms: LeaseTerms) -> Option<Time> {
        let expiry = |grant: &Grant| grant.learned_at.plus(terms.voter_duration());
        self.grants.values().map(expiry).min()
    }

    /// The holder of a role and its token.
    #[must_use]
    pub fn holder(&self, role: &RoleName) -> Option<(&LeaseHolder, FencingToken)> {
        self.grants
            .get(role)
            .map(|grant| (&grant.holder, grant.token))
    }
}

#[cfg(test)]
mod tests;

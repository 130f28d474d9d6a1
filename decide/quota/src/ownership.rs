//! Ownership of the shards of tenants' buckets by control machines.
//!
//! Rendezvous hashing over the voters of the group determines the owners. Machines learn of a
//! change of voters at different times, so a machine takes over a shard only when the ownership of
//! the previous owner has ended. Ownership ends [`OWNERSHIP_LEASE_US`] after the last contact with
//! a quorum. New ownership begins [`SETTLING_TIME_US`] after the machine has learnt of the voters
//! that make it an owner.

use lichenswitch_interface::{Micros, Time};
use std::cmp::Reverse;

/// Maximum number of shards of a tenant's bucket, and thereby of its owners. The loss of one of
/// three shards leaves most of the rate, and each shard is deep enough for large requests.
pub const MAX_OWNERS: usize = 3;
/// Time for which a machine owns its shards after its last contact with a quorum (microseconds).
/// Longer than an election, so that an election doesn't end the ownership.
pub const OWNERSHIP_LEASE_US: Micros = 4_000_000;
/// Time from when a machine learns of a new shard until it takes the shard over (microseconds). The
/// sum of an ownership lease, the delay with which a machine in contact may learn of a change, and
/// a margin for clocks.
pub const SETTLING_TIME_US: Micros = OWNERSHIP_LEASE_US + 2_000_000;
/// Time without contact after which a machine may have missed a change of voters (microseconds).
/// Another machine may have taken over a shard by that change.
const MISSED_CHANGE_AFTER_US: Micros = 2_000_000;

/// A voting machine, identified by the identity of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// The shard of a tenant's bucket that a machine owns. The default is an empty shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketShard {
    /// Fraction of the bucket's refill rate and depth, from 0 to 1.
    pub fraction: f64,
    /// Whether this shard may go into debt; true for at most one shard of a bucket.
    pub may_go_into_debt: bool,
}

impl BucketShard {
    /// Returns the smaller fraction of two shards, which may go into debt if both may.
    fn intersection(self, other: BucketShard) -> BucketShard {
        BucketShard {
            fraction: self.fraction.min(other.fraction),
            may_go_into_debt: self.may_go_into_debt && other.may_go_into_debt,
        }
    }
}

/// Returns the owners of a tenant's bucket by descending weight. The shard of the first owner may
/// go into debt.
#[must_use]
pub fn owners(tenant: &str, voters: &[OwnerId]) -> Vec<OwnerId> {
    let mut ranked: Vec<OwnerId> = voters.to_vec();
    ranked.sort_unstable_by_key(|owner| (Reverse(weight(tenant, *owner)), *owner));
    ranked.dedup();
    ranked.truncate(MAX_OWNERS);
    ranked
}

/// Returns the rendezvous weight of an owner: FNV-1a over the tenant's name, mixed with the owner.
/// All processes and versions must compute the same weight.
fn weight(tenant: &str, owner: OwnerId) -> u64 {
    let hash = tenant
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    mix(mix(hash) ^ owner.0)
}

/// Applies the finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The voters that a machine knows, and its contact with their quorum.
#[derive(Clone, Debug)]
pub struct ShardOwnership {
    own_id: OwnerId,
    voters: Vec<OwnerId>,
    /// Earlier sets of voters with the time of their replacement, kept for [`SETTLING_TIME_US`].
    previous_voters: Vec<(Time, Vec<OwnerId>)>,
    last_contact: Option<Time>,
    /// Start of the current period of ownership. A gap in contact of a lease or longer ends it.
    owned_since: Time,
}

impl ShardOwnership {
    /// Creates the state of a machine whose disk names these voters. `voters` is empty if the
    /// machine has never voted.
    #[must_use]
    pub fn new(own_id: OwnerId, voters: Vec<OwnerId>) -> ShardOwnership {
        ShardOwnership {
            own_id,
            voters,
            previous_voters: Vec::new(),
            last_contact: None,
            owned_since: Time(0),
        }
    }

    /// Records the current voters. During a change, `voters` has those before and after it.
    pub fn on_voters(&mut self, now: Time, voters: &[OwnerId]) {
        self.previous_voters
            .retain(|(replaced_at, _)| now.since(*replaced_at) < SETTLING_TIME_US);
        if self.voters != voters {
            let replaced = std::mem::replace(&mut self.voters, voters.to_vec());
            self.previous_voters.push((now, replaced));
            let may_have_missed = self
                .last_contact
                .is_none_or(|contact| now.since(contact) >= MISSED_CHANGE_AFTER_US);
            if may_have_missed {
                // The missed change may have left this machine without a shard.
                self.previous_voters.push((now, Vec::new()));
            }
        }
    }

    /// Records contact with a quorum, which renews the ownership.
    pub fn on_contact(&mut self, now: Time) {
        if now >= self.expires_at() {
            self.owned_since = now;
        }
        self.last_contact = self.last_contact.max(Some(now));
    }

    /// Returns the voters that this machine knows; empty if it has never learnt of any.
    #[must_use]
    pub fn voters(&self) -> &[OwnerId] {
        &self.voters
    }

    /// Returns the time at which the ownership ends unless contact is renewed; 0 if there was no
    /// contact so far.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.last_contact
            .map_or(Time(0), |contact| contact.plus(OWNERSHIP_LEASE_US))
    }

    /// Returns the start of the current period of uninterrupted ownership. The shards that are
    /// owned may have changed since then.
    #[must_use]
    pub fn owned_since(&self) -> Time {
        self.owned_since
    }

    /// Returns the shard of a tenant's bucket that this machine owns now. Other machines may still
    /// use an earlier set of voters, so the shard is the part that this machine owns under each
    /// set.
    #[must_use]
    pub fn shard(&self, now: Time, tenant: &str) -> BucketShard {
        if now >= self.expires_at() {
            return BucketShard::default();
        }
        let previous = self
            .previous_voters
            .iter()
            .filter(|(replaced_at, _)| now.since(*replaced_at) < SETTLING_TIME_US);
        let voter_sets = previous.map(|(_, voters)| voters).chain([&self.voters]);
        let shards = voter_sets.map(|voters| self.shard_under(tenant, voters));
        shards.reduce(BucketShard::intersection).unwrap_or_default()
    }

    fn shard_under(&self, tenant: &str, voters: &[OwnerId]) -> BucketShard {
        let owners = owners(tenant, voters);
        match owners.iter().position(|owner| *owner == self.own_id) {
            Some(rank) => BucketShard {
                fraction: 1.0 / owners.len() as f64,
                may_go_into_debt: rank == 0,
            },
            None => BucketShard::default(),
        }
    }
}

#[cfg(test)]
mod tests;

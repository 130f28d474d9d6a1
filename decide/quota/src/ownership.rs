//! Ownership: which control machine owns which shard of a tenant's bucket, and until when.
//!
//! Owners follow from the voters of the group by rendezvous hashing. Machines learn of a change of
//! voters at different times, so a machine takes over a shard only once the owner before it can own
//! it no more: ownership ends [`OWNERSHIP_LEASE_US`] after the last contact with a quorum, and a new
//! one begins [`SETTLING_TIME_US`] after the machine has learnt of the voters that make it an owner.

use lichenswitch_interface::{Micros, Time};
use std::cmp::Reverse;

/// Shards of a tenant's bucket: enough that the loss of one leaves most of the rate, few enough that
/// each holds large requests.
pub const MAX_OWNERS: usize = 3;
/// How long a machine owns its shards after its last contact with a quorum (microseconds): longer
/// than an election.
pub const OWNERSHIP_LEASE_US: Micros = 4_000_000;
/// How long after it has learnt of a new shard a machine takes it over (microseconds): a lease, the
/// delay that contact allows, and a margin for clocks.
pub const SETTLING_TIME_US: Micros = OWNERSHIP_LEASE_US + 2_000_000;
/// Time without contact after which a machine may have missed a change of voters, by which another
/// machine has taken over a shard (microseconds).
const MISSED_CHANGE_AFTER_US: Micros = 2_000_000;

/// A machine that votes, by the identity of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// The shard of a tenant's bucket that a machine owns; by default none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketShard {
    /// Fraction of the bucket's refill rate and depth, from 0 to 1.
    pub fraction: f64,
    /// Whether it is the one shard of the bucket that may go into debt.
    pub may_go_into_debt: bool,
}

impl BucketShard {
    /// What both of two shards include.
    fn intersection(self, other: BucketShard) -> BucketShard {
        BucketShard {
            fraction: self.fraction.min(other.fraction),
            may_go_into_debt: self.may_go_into_debt && other.may_go_into_debt,
        }
    }
}

/// The owners of a tenant's bucket; the first one's shard may go into debt.
#[must_use]
pub fn owners(tenant: &str, voters: &[OwnerId]) -> Vec<OwnerId> {
    let mut ranked: Vec<OwnerId> = voters.to_vec();
    ranked.sort_unstable_by_key(|owner| (Reverse(weight(tenant, *owner)), *owner));
    ranked.dedup();
    ranked.truncate(MAX_OWNERS);
    ranked
}

/// FNV-1a over the tenant's name, mixed with the owner: the same in every process and version.
fn weight(tenant: &str, owner: OwnerId) -> u64 {
    let hash = tenant
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    mix(mix(hash) ^ owner.0)
}

/// The finaliser of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// What a machine knows of the voters, and of its own contact with them.
#[derive(Clone, Debug)]
pub struct ShardOwnership {
    own_id: OwnerId,
    voters: Vec<OwnerId>,
    /// Voters before these, each with when they were replaced, for a settling time.
    previous_voters: Vec<(Time, Vec<OwnerId>)>,
    last_contact: Option<Time>,
    /// Since then contact has lasted without a gap that ended the ownership.
    owned_since: Time,
}

impl ShardOwnership {
    /// Of a machine whose disk names these voters; none where it has never voted.
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

    /// This machine knows these voters now; during a change, those before and after it.
    pub fn on_voters(&mut self, now: Time, voters: &[OwnerId]) {
        self.previous_voters
            .retain(|(replaced_at, _)| now.since(*replaced_at) < SETTLING_TIME_US);
        if self.voters != voters {
            let before = std::mem::replace(&mut self.voters, voters.to_vec());
            self.previous_voters.push((now, before));
            let may_have_missed = self
                .last_contact
                .is_none_or(|contact| now.since(contact) >= MISSED_CHANGE_AFTER_US);
            if may_have_missed {
                // By voters that are not known here it may have owned nothing.
                self.previous_voters.push((now, Vec::new()));
            }
        }
    }

    /// This machine is in contact with a quorum.
    pub fn on_contact(&mut self, now: Time) {
        if now >= self.expires_at() {
            self.owned_since = now;
        }
        self.last_contact = self.last_contact.max(Some(now));
    }

    /// The voters that this machine knows.
    #[must_use]
    pub fn voters(&self) -> &[OwnerId] {
        &self.voters
    }

    /// Until when this machine owns its shards unless contact is renewed; 0 where it never was in
    /// contact.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.last_contact
            .map_or(Time(0), |contact| contact.plus(OWNERSHIP_LEASE_US))
    }

    /// Since when this machine has owned its shards without a gap, whichever they are.
    #[must_use]
    pub fn owned_since(&self) -> Time {
        self.owned_since
    }

    /// The shard of a tenant's bucket that this machine owns now: what it owns by all sets of voters
    /// that other machines may still go by.
    #[must_use]
    pub fn shard(&self, now: Time, tenant: &str) -> BucketShard {
        if now >= self.expires_at() {
            return BucketShard::default();
        }
        let previous = self
            .previous_voters
            .iter()
            .filter(|(replaced_at, _)| now.since(*replaced_at) < SETTLING_TIME_US);
        let views = previous.map(|(_, voters)| voters).chain([&self.voters]);
        let shards = views.map(|voters| self.shard_by(tenant, voters));
        shards.reduce(BucketShard::intersection).unwrap_or_default()
    }

    fn shard_by(&self, tenant: &str, voters: &[OwnerId]) -> BucketShard {
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

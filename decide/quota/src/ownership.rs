//! Tenure: which control machine holds which part of a tenant's bucket, and until when.
//!
//! Holders follow from the voters of the group by rendezvous hashing. Voters change while machines
//! don't all know it, so a machine takes a part that it did not hold before only once whoever held
//! it can hold it no more: a holder's tenure ends [`OWNERSHIP_LEASE_US`] after it was last in contact with a
//! quorum, and a new one begins [`SETTLING_TIME_US`] after it has learnt of the voters that make it one.

use lichenswitch_interface::{Micros, Time};
use std::cmp::Reverse;

/// Parts into which a tenant's bucket is cut: enough that the loss of one leaves most of the rate,
/// few enough that each holds large requests.
pub const MAX_OWNERS: usize = 3;
/// A machine holds its parts for so long after it was last in contact (microseconds): over an
/// election.
pub const OWNERSHIP_LEASE_US: Micros = 4_000_000;
/// A machine takes up a new part so long after it has learnt of it (microseconds): a lease, what
/// contact may be behind, and some for clocks.
pub const SETTLING_TIME_US: Micros = OWNERSHIP_LEASE_US + 2_000_000;
/// A machine that was out of contact for so long may have missed voters, among whom another one has
/// settled (microseconds).
const MISSED: Micros = 2_000_000;

/// A machine that votes, by the identity of its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OwnerId(pub u64);

/// The part of a tenant's bucket that a machine holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BucketShard {
    /// Of rate and depth.
    pub fraction: f64,
    /// It is the one that may go into debt.
    pub may_go_into_debt: bool,
}

/// The holders of a tenant's bucket, the first one first.
#[must_use]
pub fn owners(tenant: &str, voters: &[OwnerId]) -> Vec<OwnerId> {
    let mut ranked: Vec<OwnerId> = voters.to_vec();
    ranked.sort_unstable_by_key(|holder| (Reverse(weight(tenant, *holder)), *holder));
    ranked.dedup();
    ranked.truncate(MAX_OWNERS);
    ranked
}

/// FNV-1a over the tenant's name, mixed with the holder: the same in every process and version.
fn weight(tenant: &str, holder: OwnerId) -> u64 {
    let hash = tenant
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    mix(mix(hash) ^ holder.0)
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
    own: OwnerId,
    voters: Vec<OwnerId>,
    /// Voters before, each with when they were replaced, as long as that matters.
    earlier: Vec<(Time, Vec<OwnerId>)>,
    contact: Option<Time>,
    /// Since then contact has lasted without a gap that ended the tenure.
    since: Time,
}

impl ShardOwnership {
    /// Of a machine whose disk names these voters; none where it has never voted.
    #[must_use]
    pub fn new(own: OwnerId, voters: Vec<OwnerId>) -> ShardOwnership {
        ShardOwnership {
            own,
            voters,
            earlier: Vec::new(),
            contact: None,
            since: Time(0),
        }
    }

    /// These vote now, as far as this machine knows; while they change, those before and after.
    pub fn on_voters(&mut self, now: Time, voters: &[OwnerId]) {
        self.earlier
            .retain(|(replaced, _)| now.since(*replaced) < SETTLING_TIME_US);
        if self.voters != voters {
            let before = std::mem::replace(&mut self.voters, voters.to_vec());
            self.earlier.push((now, before));
            if self
                .contact
                .is_none_or(|contact| now.since(contact) >= MISSED)
            {
                // By voters that are not known here it may have held nothing.
                self.earlier.push((now, Vec::new()));
            }
        }
    }

    /// This machine is in contact with a quorum.
    pub fn on_contact(&mut self, now: Time) {
        if now >= self.expires_at() {
            self.since = now;
        }
        self.contact = self.contact.max(Some(now));
    }

    /// Those that vote.
    #[must_use]
    pub fn voters(&self) -> &[OwnerId] {
        &self.voters
    }

    /// Until when this machine holds its parts, unless contact is renewed; 0 where it never was in
    /// contact.
    #[must_use]
    pub fn expires_at(&self) -> Time {
        self.contact
            .map_or(Time(0), |contact| contact.plus(OWNERSHIP_LEASE_US))
    }

    /// Since when this machine has held its parts without a gap, whichever they are.
    #[must_use]
    pub fn held_since(&self) -> Time {
        self.since
    }

    /// The part of a tenant's bucket that this machine holds now: the least by all voters that
    /// others may still go by.
    #[must_use]
    pub fn shard(&self, now: Time, tenant: &str) -> BucketShard {
        if now >= self.expires_at() {
            return BucketShard::default();
        }
        let earlier = self
            .earlier
            .iter()
            .filter(|(replaced, _)| now.since(*replaced) < SETTLING_TIME_US);
        let views = earlier.map(|(_, voters)| voters).chain([&self.voters]);
        let shares = views.map(|voters| self.shard_of(tenant, voters));
        shares.reduce(BucketShard::least).unwrap_or_default()
    }

    fn shard_of(&self, tenant: &str, voters: &[OwnerId]) -> BucketShard {
        let owners = owners(tenant, voters);
        match owners.iter().position(|holder| *holder == self.own) {
            Some(rank) => BucketShard {
                fraction: 1.0 / owners.len() as f64,
                may_go_into_debt: rank == 0,
            },
            None => BucketShard::default(),
        }
    }
}

impl BucketShard {
    fn least(self, other: BucketShard) -> BucketShard {
        BucketShard {
            fraction: self.fraction.min(other.fraction),
            may_go_into_debt: self.may_go_into_debt && other.may_go_into_debt,
        }
    }
}

#[cfg(test)]
mod tests;

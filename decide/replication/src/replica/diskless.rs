//! Voters without a disk: their state ends with their process.
//!
//! One of them may found a group, as somebody has to. No change is accepted while such a voter
//! stands beside members with a disk, so that nothing acknowledged there rests on a memory that a
//! loss of power takes. The vote of one that is lost or wants to leave never blocks the others.

use std::collections::BTreeSet;

use super::Replica;
use crate::faults::Fault;
use crate::membership::Membership;
use crate::state::ReplicatedState;
use crate::types::{Identity, Member};

impl<S: ReplicatedState> Replica<S> {
    /// Members that are known to have no disk, this one included where it has none. One that the
    /// membership names stays known as such.
    pub fn set_diskless_members(&mut self, identities: BTreeSet<Identity>) {
        let previous = std::mem::replace(&mut self.diskless_members, identities);
        let named = previous
            .into_iter()
            .filter(|identity| self.membership().contains(*identity));
        let named: Vec<Identity> = named.collect();
        self.diskless_members.extend(named);
    }

    fn has_disk(&self, identity: Identity) -> bool {
        !self.diskless_members.contains(&identity)
    }

    /// Whether a voter without a disk stands beside a member with one, be it a voter or a learner;
    /// false but at the primary.
    pub(super) fn has_diskless_voter_beside_durable(&self) -> bool {
        let Some(primary) = self
            .as_primary()
            .filter(|_| !self.settings.faults.has(Fault::ChangesBesideDisklessVoters))
        else {
            return false;
        };
        let has_diskless_voter = self
            .membership()
            .all()
            .any(|voter| !self.has_disk(voter.identity));
        let members = primary.peers.keys().chain([&self.me.identity]);
        has_diskless_voter && members.into_iter().any(|member| self.has_disk(*member))
    }

    /// Whether a voter may be removed however few losses the others tolerate: it has no disk, and
    /// another voter has one.
    pub(super) fn is_expendable(&self, voter: &Member, membership: &Membership) -> bool {
        let has_durable_voter = membership
            .voters
            .iter()
            .any(|other| self.has_disk(other.identity));
        has_durable_voter
            && !self.has_disk(voter.identity)
            && !self.settings.faults.has(Fault::ChangesBesideDisklessVoters)
    }
}

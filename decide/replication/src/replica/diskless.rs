//! Voters without a disk, whose state is lost when their process ends.
//!
//! A voter without a disk may found a group, since every group needs a founder. No change is
//! accepted while the group mixes voters without a disk and members with one, so that no
//! acknowledged change depends on memory that is lost in a power failure. A voter without a disk
//! that is lost or leaving can be removed as soon as another voter has a disk, so it never blocks
//! voters with a disk.

use std::collections::BTreeSet;

use super::Replica;
use crate::faults::Fault;
use crate::membership::Membership;
use crate::state::ReplicatedState;
use crate::types::{Identity, Member};

impl<S: ReplicatedState> Replica<S> {
    /// Sets the members that are known to have no disk, this one included if it has none. Members
    /// of the current membership that were in the previous set stay in it.
    pub fn set_diskless_members(&mut self, identities: BTreeSet<Identity>) {
        let previous = std::mem::replace(&mut self.diskless_members, identities);
        let still_members = previous
            .into_iter()
            .filter(|identity| self.membership().contains(*identity));
        let still_members: Vec<Identity> = still_members.collect();
        self.diskless_members.extend(still_members);
    }

    fn has_disk(&self, identity: Identity) -> bool {
        !self.diskless_members.contains(&identity)
    }

    /// Whether the group mixes voters without a disk and members with one, be they voters or
    /// learners. Always false if this member is not primary.
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

    /// Whether a voter may be removed however few losses the remaining voters tolerate: it has no
    /// disk and another voter has one.
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

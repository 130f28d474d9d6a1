//! Voters without a disk: what they hold ends with their process.
//!
//! One of them may found a group, as somebody has to. It promises that no order is taken while such
//! a voter stands beside members with a disk, so that nothing acknowledged there rests on a memory
//! that a loss of power takes, and that the vote of one that has gone or wants to go is in nobody's
//! way.

use std::collections::BTreeSet;

use super::Replica;
use crate::membership::Membership;
use crate::state::ReplicatedState;
use crate::types::{Identity, Member};

impl<S: ReplicatedState> Replica<S> {
    /// Members known to have no disk, this one included where it has none. Whom the membership
    /// names stays known as such.
    pub fn set_diskless_members(&mut self, identities: BTreeSet<Identity>) {
        let known = std::mem::replace(&mut self.without_disk, identities);
        let named = known
            .into_iter()
            .filter(|identity| self.membership().names(*identity));
        let named: Vec<Identity> = named.collect();
        self.without_disk.extend(named);
    }

    fn has_disk(&self, identity: Identity) -> bool {
        !self.without_disk.contains(&identity)
    }

    /// Whether a voter without a disk stands beside a member with one, be it a voter or a newcomer.
    /// Asked of the primary.
    pub(super) fn waits_for_disks(&self) -> bool {
        let Some(primary) = self
            .lead()
            .filter(|_| !self.settings.faults.orders_beside_memory)
        else {
            return false;
        };
        let lacks = self
            .membership()
            .all()
            .any(|voter| !self.has_disk(voter.identity));
        let members = primary.peers.keys().chain([&self.me.identity]);
        lacks && members.into_iter().any(|member| self.has_disk(*member))
    }

    /// Whether a voter may go without regard to how many losses the rest bears: it has no disk, and
    /// another voter has one.
    pub(super) fn is_expendable(&self, voter: &Member, membership: &Membership) -> bool {
        let durable = membership
            .voters
            .iter()
            .any(|other| self.has_disk(other.identity));
        durable && !self.has_disk(voter.identity) && !self.settings.faults.orders_beside_memory
    }
}

//! The shards of tenants' buckets that this machine owns, and pending lease requests of routers.

use super::group::Group;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use lichenswitch_quota::{
    Buckets, LeaseContext, LeaseRequests, OwnerId, QuotaBounds, ShardOwnership,
};
use std::collections::BTreeSet;

/// The connection and number of a lease request, to which its response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LeaseRequestOrigin {
    /// The connection on which the request arrived.
    pub(super) connection: ConnId,
    /// Number of the request on that connection.
    pub(super) id: u64,
}

/// The quota state of this machine.
pub(super) struct Quotas {
    pub(super) owner: OwnerId,
    pub(super) ownership: ShardOwnership,
    pub(super) buckets: Buckets,
    pub(super) lease_requests: LeaseRequests<LeaseRequestOrigin>,
    /// Whether a shard has granted more than its limit.
    pub(super) has_overrun: bool,
}

impl Quotas {
    /// Creates the state of a machine that has just started or has just joined the group.
    pub(super) fn new(identity: u64, group: Option<&Group>, bounds: QuotaBounds) -> Quotas {
        let owner = OwnerId(identity);
        Quotas {
            owner,
            ownership: ShardOwnership::new(owner, group.map(voters).unwrap_or_default()),
            buckets: Buckets::new(bounds),
            lease_requests: LeaseRequests::new(fastrand::u64(..)),
            has_overrun: false,
        }
    }

    /// Returns when the next pending lease request is due.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.lease_requests.next_wake()
    }

    /// Returns the pending lease requests, and the context for handling them.
    pub(super) fn lease_context<'a>(
        &'a mut self,
        reachable: &'a BTreeSet<OwnerId>,
    ) -> (&'a mut LeaseRequests<LeaseRequestOrigin>, LeaseContext<'a>) {
        let context = LeaseContext {
            buckets: &mut self.buckets,
            ownership: &self.ownership,
            own_id: self.owner,
            reachable,
        };
        (&mut self.lease_requests, context)
    }
}

/// Returns the voters of a group as owners of shards, in ascending order.
pub(super) fn voters(group: &Group) -> Vec<OwnerId> {
    let mut voters: Vec<OwnerId> = group
        .replica
        .membership()
        .all()
        .map(|member| OwnerId(member.identity.0))
        .collect();
    voters.sort_unstable();
    voters
}

//! Handles quota messages: connects [`lichenswitch_quota`] with connections and with the group.
//!
//! The owners of shards are the voters, identified by their disks. A voter owns its shard as long
//! as its replica reports that it is current.

use super::clock::to_replica_time;
use super::internal_connections::RemoteRole;
use super::node::ControlNode;
use super::peer_table::Peer;
use super::quotas::{voters, LeaseRequestOrigin, Quotas};
use crate::invariants::{self, Invariant};
use crate::quota_messages;
use lichenswitch_interface::Time;
use lichenswitch_messages::{QuotaLeaseRequest, QuotaLeaseResponse, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::{LeaseAction, LeaseContext, LeaseGrant, LeaseRequests, OwnerId};
use std::collections::BTreeSet;
use std::net::SocketAddr;

impl ControlNode {
    /// Resets the quotas after a change of this machine's identity. It does not keep the shards
    /// that it owned under the previous identity.
    pub(super) fn reset_quotas(&mut self) {
        let bounds = self.settings.bounds.quota_bounds();
        self.quotas = Quotas::new(self.identity, self.group.as_ref(), bounds);
        self.update_bucket_tenants();
    }

    /// Updates the owners of shards from the voters, and renews this machine's ownership while its
    /// replica is current.
    pub(super) fn update_shard_ownership(&mut self, now: Time) {
        let Some(group) = self.group.as_ref() else {
            return;
        };
        self.quotas.ownership.on_voters(now, &voters(group));
        if group.is_voter() && group.replica.is_current(to_replica_time(now)) {
            self.quotas.ownership.on_contact(now);
            if group
                .replica
                .committed()
                .is_some_and(|(_, state)| state.0.document().is_none())
            {
                self.quotas.buckets.on_no_configuration();
            }
        }
    }

    /// Handles a message about tenants. Ignores messages that don't fit the role of the sender.
    pub(super) fn on_tenant_message(&mut self, id: ConnId, message: TenantMessage, now: Time) {
        match (message, self.connections.remote_role(id)) {
            (TenantMessage::Confirm { sent_at_us }, Some(RemoteRole::Router)) => {
                self.send_confirmation(id, sent_at_us, now)
            }
            (
                TenantMessage::LeaseRequest(request),
                Some(RemoteRole::Router | RemoteRole::Peer(_)),
            ) => self.on_lease_request(id, request, now),
            (TenantMessage::LeaseResponse(response), Some(RemoteRole::Peer(address))) => {
                self.on_lease_response(address, response, now)
            }
            // The message does not fit the sender's role, or its handshake has not arrived.
            _ => {}
        }
    }

    /// Confirms to a router that its configuration is current. Sends nothing while this machine is
    /// not in contact.
    fn send_confirmation(&mut self, id: ConnId, sent_at_us: u64, now: Time) {
        // Any configuration that is already committed has to be sent before the confirmation.
        self.apply_committed_configuration(now);
        if self.in_contact(now) {
            let position = self.committed.as_ref().map(|committed| committed.position);
            self.send_tenant_message(
                id,
                &TenantMessage::Confirmed {
                    sent_at_us,
                    position,
                },
            );
        }
    }

    fn on_lease_request(&mut self, connection: ConnId, request: QuotaLeaseRequest, now: Time) {
        let origin = LeaseRequestOrigin {
            connection,
            id: request.id,
        };
        let may_forward = request.may_forward;
        let request = quota_messages::requested_lease(request);
        if !may_forward {
            let grant = self
                .quotas
                .buckets
                .lease(now, &request, &self.quotas.ownership);
            return self.respond_to_lease_request(origin, grant);
        }
        self.update_lease_requests(|lease_requests, context| {
            lease_requests.on_request(now, origin, request, context)
        });
    }

    fn on_lease_response(&mut self, from: SocketAddr, response: QuotaLeaseResponse, now: Time) {
        let Some(from) = self.owner_at(from) else {
            return;
        };
        let grant = quota_messages::granted_lease(&response);
        self.update_lease_requests(|lease_requests, context| {
            lease_requests.on_response(now, from, response.id, grant, context)
        });
    }

    /// Handles the end of the last connection to a control machine, which may own a shard.
    pub(super) fn on_owner_disconnected(&mut self, address: SocketAddr, now: Time) {
        let Some(owner) = self.owner_at(address) else {
            return;
        };
        self.update_lease_requests(|lease_requests, context| {
            lease_requests.on_owner_lost(now, owner, context)
        });
    }

    /// Refills the buckets up to `now`, and checks that no shard has granted more than its limit.
    pub(super) fn advance_buckets(&mut self, now: Time) {
        let Quotas {
            buckets, ownership, ..
        } = &mut self.quotas;
        buckets.advance(now, ownership);
        if !std::mem::replace(
            &mut self.quotas.has_overrun,
            !self.quotas.buckets.are_within_bounds(),
        ) {
            invariants::check(!self.quotas.has_overrun, Invariant::ShardQuotaNotExceeded);
        }
    }

    /// Retries pending lease requests that are due, or ends them.
    pub(super) fn advance_lease_requests(&mut self, now: Time) {
        if self.quotas.next_wake().is_none_or(|at| at > now) {
            return;
        }
        self.update_lease_requests(|lease_requests, context| lease_requests.tick(now, context));
    }

    /// Applies an update to the pending lease requests, and performs the resulting actions.
    fn update_lease_requests(
        &mut self,
        update: impl FnOnce(
            &mut LeaseRequests<LeaseRequestOrigin>,
            &mut LeaseContext<'_>,
        ) -> Vec<LeaseAction<LeaseRequestOrigin>>,
    ) {
        let reachable = self.reachable_owners();
        let (lease_requests, mut context) = self.quotas.lease_context(&reachable);
        let actions = update(lease_requests, &mut context);
        self.handle_lease_actions(actions);
    }

    fn handle_lease_actions(&mut self, actions: Vec<LeaseAction<LeaseRequestOrigin>>) {
        for action in actions {
            match action {
                LeaseAction::Request {
                    to,
                    id,
                    may_forward,
                    request,
                } => {
                    if let Some(connection) = self.connection_to(to) {
                        let request = quota_messages::request_message(id, request, may_forward);
                        self.send_tenant_message(connection, &TenantMessage::LeaseRequest(request));
                    }
                }
                LeaseAction::Respond { origin, grant } => {
                    self.respond_to_lease_request(origin, grant)
                }
            }
        }
    }

    fn respond_to_lease_request(&mut self, origin: LeaseRequestOrigin, grant: LeaseGrant) {
        let response = quota_messages::response_message(origin.id, grant);
        self.send_tenant_message(origin.connection, &TenantMessage::LeaseResponse(response));
    }

    fn send_tenant_message(&mut self, id: ConnId, message: &TenantMessage) {
        self.connections
            .send_tenant_message(&mut self.net, id, message);
    }

    /// Returns the owner ids of connected machines that may become voters and therefore own shards.
    fn reachable_owners(&self) -> BTreeSet<OwnerId> {
        let handshakes = self
            .peers
            .connected()
            .filter_map(|(_, peer)| peer.handshake.as_ref());
        handshakes
            .filter(|handshake| handshake.is_eligible)
            .map(|handshake| OwnerId(handshake.identity))
            .collect()
    }

    fn owner_at(&self, address: SocketAddr) -> Option<OwnerId> {
        let handshake = self.peers.get(address)?.handshake.as_ref()?;
        Some(OwnerId(handshake.identity))
    }

    fn connection_to(&self, owner: OwnerId) -> Option<ConnId> {
        let is_owner = |peer: &Peer| {
            peer.handshake
                .as_ref()
                .is_some_and(|handshake| handshake.identity == owner.0)
        };
        let (address, _) = self.peers.connected().find(|(_, peer)| is_owner(peer))?;
        self.peers.connection(address)
    }
}

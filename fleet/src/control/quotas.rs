//! Quotas at a control machine: the parts of tenants' buckets that it holds, and draws that it
//! passes on for routers.
//!
//! It joins `decide/quota` to connections and to the group: holders are voters by the identity of
//! their disks, and hold their parts as long as the replica says that they are current.

use super::group::{to_replica, Group};
use super::links::End;
use super::machine::Machine;
use crate::invariants::{self, Invariant};
use lichenswitch_configuration::{Document, QuotaUnit, Tenant};
use lichenswitch_interface::Time;
use lichenswitch_messages::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::{
    Buckets, LeaseAction, LeaseContext, LeaseGrant, LeaseRequest, LeaseRequests, OwnerId,
    QuotaBounds, ShardOwnership,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Who waits for the answer to a draw: a connection, and the number of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct DrawOrigin {
    connection: ConnId,
    id: u64,
}

/// What a machine has to do with quotas.
pub(super) struct Quotas {
    pub(super) own: OwnerId,
    pub(super) ownership: ShardOwnership,
    pub(super) buckets: Buckets,
    draws: LeaseRequests<DrawOrigin>,
    /// A part has granted more than it may.
    overrun: bool,
}

impl Quotas {
    /// Of a machine that has just started, or has just taken part in the group.
    pub(super) fn new(identity: u64, group: Option<&Group>, terms: QuotaBounds) -> Quotas {
        let own = OwnerId(identity);
        Quotas {
            own,
            ownership: ShardOwnership::new(own, group.map(voters).unwrap_or_default()),
            buckets: Buckets::new(terms),
            draws: LeaseRequests::new(fastrand::u64(..)),
            overrun: false,
        }
    }

    /// When something is due by itself.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.draws.next_wake()
    }

    /// The draws under way, and what they are worked off with.
    fn at<'a>(
        &'a mut self,
        reachable: &'a BTreeSet<OwnerId>,
    ) -> (&'a mut LeaseRequests<DrawOrigin>, LeaseContext<'a>) {
        let place = LeaseContext {
            buckets: &mut self.buckets,
            ownership: &self.ownership,
            own_id: self.own,
            reachable,
        };
        (&mut self.draws, place)
    }
}

/// Voters as holders, in one order.
fn voters(group: &Group) -> Vec<OwnerId> {
    let mut voters: Vec<OwnerId> = group
        .replica
        .membership()
        .all()
        .map(|member| OwnerId(member.identity.0))
        .collect();
    voters.sort_unstable();
    voters
}

impl Machine {
    /// This machine has another part in the group than before: what it held under another identity
    /// is held no more.
    pub(super) fn renew_quotas(&mut self) {
        let terms = self.settings.bounds.quota_terms();
        self.quotas = Quotas::new(self.identity, self.group.as_ref(), terms);
        self.tell_buckets_of_tenants();
    }

    /// Takes in who votes, and whether this machine is in contact with them.
    pub(super) fn look_at_tenure(&mut self, now: Time) {
        let Some(group) = self.group.as_ref() else {
            return;
        };
        self.quotas.ownership.on_voters(now, &voters(group));
        if group.votes() && group.replica.is_current(to_replica(now)) {
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

    /// Another configuration is committed.
    pub(super) fn tell_buckets_of_tenants(&mut self) {
        let now = self.net.clock.now();
        let Some(committed) = &self.committed else {
            return;
        };
        match Document::parse_committed(&committed.document) {
            Ok(document) => {
                let tenants: &[Tenant] = document.tenants().unwrap_or_default();
                self.quotas.buckets.set_tenants(now, tenants);
            }
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(); "what is committed can't be read");
            }
        }
    }

    /// A message about tenants has come.
    pub(super) fn on_tenant_message(&mut self, id: ConnId, message: TenantMessage, now: Time) {
        match (message, self.links.end(id)) {
            (TenantMessage::Confirm { sent_at_us: stamp }, Some(End::Router)) => {
                self.confirm(id, stamp, now)
            }
            (TenantMessage::LeaseRequest(request), Some(End::Router | End::Peer(_))) => {
                self.on_draw(id, request, now)
            }
            (TenantMessage::LeaseResponse(answer), Some(End::Peer(address))) => {
                self.on_drawn(address, answer, now)
            }
            // Nothing that is asked for here, or from whoever has not said who it is.
            _ => {}
        }
    }

    /// Tells a router that what it was sent is current, if that is so.
    fn confirm(&mut self, id: ConnId, stamp: u64, now: Time) {
        // What is committed by now goes before the word that it is current.
        self.look_at_committed(now);
        if self.in_contact(now) {
            let position = self.committed.as_ref().map(|committed| committed.position);
            self.send_tenant_message(
                id,
                &TenantMessage::Confirmed {
                    sent_at_us: stamp,
                    position,
                },
            );
        }
    }

    fn on_draw(&mut self, connection: ConnId, request: QuotaLeaseRequest, now: Time) {
        let (origin, may_forward) = (
            DrawOrigin {
                connection,
                id: request.id,
            },
            request.may_forward,
        );
        let draw = draw_of(request);
        if !may_forward {
            let grant = self
                .quotas
                .buckets
                .lease(now, &draw, &self.quotas.ownership);
            return self.answer_draw(origin, grant);
        }
        let reachable = self.reachable_holders();
        let (draws, mut place) = self.quotas.at(&reachable);
        let orders = draws.on_request(now, origin, draw, &mut place);
        self.do_quota_orders(orders);
    }

    fn on_drawn(&mut self, from: SocketAddr, answer: QuotaLeaseResponse, now: Time) {
        let Some(from) = self.holder_at(from) else {
            return;
        };
        let grant = LeaseGrant {
            granted_bits: answer.granted_bits,
            prefetch_amount: answer.prefetch_amount,
            retry_after_us: answer.retry_after_us,
        };
        let reachable = self.reachable_holders();
        let (draws, mut place) = self.quotas.at(&reachable);
        let orders = draws.on_response(now, from, answer.id, grant, &mut place);
        self.do_quota_orders(orders);
    }

    /// No connection to a peer is left.
    pub(super) fn on_holder_lost(&mut self, address: SocketAddr, now: Time) {
        let Some(holder) = self.holder_at(address) else {
            return;
        };
        let reachable = self.reachable_holders();
        let (draws, mut place) = self.quotas.at(&reachable);
        let orders = draws.on_owner_lost(now, holder, &mut place);
        self.do_quota_orders(orders);
    }

    /// Brings the buckets up to now, and checks what was granted of them.
    pub(super) fn advance_buckets(&mut self, now: Time) {
        let Quotas {
            buckets, ownership, ..
        } = &mut self.quotas;
        buckets.advance(now, ownership);
        if !std::mem::replace(
            &mut self.quotas.overrun,
            !self.quotas.buckets.are_within_bounds(),
        ) {
            invariants::check(!self.quotas.overrun, Invariant::PartIsKept);
        }
    }

    /// Does what is due of draws that are under way.
    pub(super) fn look_at_draws(&mut self, now: Time) {
        if self.quotas.next_wake().is_none_or(|at| at > now) {
            return;
        }
        let reachable = self.reachable_holders();
        let (draws, mut place) = self.quotas.at(&reachable);
        let orders = draws.tick(now, &mut place);
        self.do_quota_orders(orders);
    }

    fn do_quota_orders(&mut self, orders: Vec<LeaseAction<DrawOrigin>>) {
        for order in orders {
            match order {
                LeaseAction::Request {
                    to,
                    id,
                    may_forward,
                    request: draw,
                } => {
                    if let Some(connection) = self.connection_to(to) {
                        let request = request_of(id, draw, may_forward);
                        self.send_tenant_message(connection, &TenantMessage::LeaseRequest(request));
                    }
                }
                LeaseAction::Respond { origin, grant } => self.answer_draw(origin, grant),
            }
        }
    }

    fn answer_draw(&mut self, origin: DrawOrigin, grant: LeaseGrant) {
        let answer = QuotaLeaseResponse {
            id: origin.id,
            granted_bits: grant.granted_bits,
            prefetch_amount: grant.prefetch_amount,
            retry_after_us: grant.retry_after_us,
        };
        self.send_tenant_message(origin.connection, &TenantMessage::LeaseResponse(answer));
    }

    fn send_tenant_message(&mut self, id: ConnId, message: &TenantMessage) {
        match crate::envelopes::encode_tenant_message(message) {
            Ok(bytes) => self.links.send_bytes(&mut self.net, id, &bytes),
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(); "a message can't be sent");
            }
        }
    }

    /// Machines with a disk that can be asked.
    fn reachable_holders(&self) -> BTreeSet<OwnerId> {
        let introduced = self
            .peers
            .connected()
            .filter_map(|(_, peer)| peer.introduction.as_ref());
        introduced
            .filter(|peer| peer.eligible)
            .map(|peer| OwnerId(peer.identity))
            .collect()
    }

    fn holder_at(&self, address: SocketAddr) -> Option<OwnerId> {
        let introduction = self.peers.get(address)?.introduction.as_ref()?;
        Some(OwnerId(introduction.identity))
    }

    fn connection_to(&self, holder: OwnerId) -> Option<ConnId> {
        let is_it = |peer: &super::peers::Peer| {
            peer.introduction
                .as_ref()
                .is_some_and(|introduced| introduced.identity == holder.0)
        };
        let (address, _) = self.peers.connected().find(|(_, peer)| is_it(peer))?;
        self.peers.connection(address)
    }
}

fn draw_of(request: QuotaLeaseRequest) -> LeaseRequest {
    let unit = match request.unit {
        QuotaLeaseUnit::Requests => QuotaUnit::Requests,
        QuotaLeaseUnit::Tokens => QuotaUnit::Tokens,
    };
    LeaseRequest {
        tenant: request.tenant,
        unit,
        amounts: request.amounts,
        prefetch_amount: request.prefetch_amount,
    }
}

fn request_of(id: u64, draw: LeaseRequest, may_forward: bool) -> QuotaLeaseRequest {
    let unit = match draw.unit {
        QuotaUnit::Requests => QuotaLeaseUnit::Requests,
        QuotaUnit::Tokens => QuotaLeaseUnit::Tokens,
    };
    QuotaLeaseRequest {
        id,
        tenant: draw.tenant,
        unit,
        amounts: draw.amounts,
        prefetch_amount: draw.prefetch_amount,
        may_forward,
    }
}

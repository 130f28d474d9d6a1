//! Handles calls of operators, from the request to the response. Calls are answered here or relayed
//! to the primary.

use super::call_types::{Call, CallAction, CallOrigin};
use super::clock::to_replica_time;
use super::node::ControlNode;
use super::request_target::RequestTarget;
use super::responses::{error_response, JSON_CONTENT_TYPE, RETRY_AFTER_S};
use super::status;
use crate::invariants::{self, Invariant};
use lichenswitch_configuration::{parse_base_version, validate, Order};
use lichenswitch_control::{parse_response_version, CallKind, CompletedCall, RejectedOrder};
use lichenswitch_http::{Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_messages::{PeerMessage, RelayedCall, RelayedResponse};
use lichenswitch_net::ConnId;
use std::net::SocketAddr;

impl ControlNode {
    /// Handles a complete HTTP request of a server or an operator.
    pub(super) fn on_request(&mut self, id: ConnId, request: &Request) {
        let now = self.net.clock.now();
        let response = match RequestTarget::of(&request.method, request.path()) {
            RequestTarget::Order => self.on_order(id, request, now),
            RequestTarget::Describe => self.submit_call(id, CallKind::Describe, now),
            RequestTarget::Status if request.query() == "primary" => {
                self.submit_call(id, CallKind::Status, now)
            }
            RequestTarget::Status => Some(Response::new(
                200,
                JSON_CONTENT_TYPE,
                status::node(self, now),
            )),
            RequestTarget::Heartbeat(instance) => self.on_heartbeat(id, &instance, request, now),
            RequestTarget::Deregister(instance) => self.on_deregister(id, &instance, now),
            RequestTarget::InvalidInstance => Some(error_response(
                400,
                "the instance is no text that a header carries",
            )),
            RequestTarget::OtherMethod(method) => {
                Some(error_response(405, "the method is another one").with("allow", method))
            }
            RequestTarget::Unknown => Some(error_response(404, "there is no such path")),
        };
        if let Some(response) = response {
            self.callers.respond(&mut self.net, id, &response);
        }
    }

    /// Handles an order. An order that is invalid regardless of the state is rejected at once. The
    /// primary decides about all others.
    fn on_order(&mut self, id: ConnId, request: &Request, now: Time) -> Option<Response> {
        let base_version =
            match parse_base_version(request.header("base-version").map(str::as_bytes)) {
                Ok(base_version) => base_version,
                Err(e) => return Some(self.reject_order(now, 0, e.to_string())),
            };
        let order = Order {
            path: request.path().to_owned(),
            base_version,
            body: request.body.clone(),
        };
        match validate(&order) {
            Ok(()) => self.submit_call(id, CallKind::Order(order), now),
            Err(e) => Some(self.reject_order(now, base_version, e.to_string())),
        }
    }

    /// Records the rejection of an order that is invalid regardless of the state, and returns the
    /// response.
    fn reject_order(&mut self, now: Time, base_version: u64, reason: String) -> Response {
        let response = error_response(400, &reason);
        self.on_order_rejected(RejectedOrder {
            status: 400,
            base_version,
            reason,
            rejected_at: to_replica_time(now),
        });
        response
    }

    /// Logs and records a rejected order. The rejection comes from this machine as the primary, or
    /// from the check that does not depend on the state.
    fn on_order_rejected(&mut self, rejection: RejectedOrder) {
        log::info!(target: "control", status = rejection.status, base_version = rejection.base_version,
            reason = rejection.reason.as_str(); "order rejected");
        self.rejected_orders.record(rejection);
    }

    /// Submits a call. Returns `None`, since the caller is answered once the call is completed.
    fn submit_call(&mut self, id: ConnId, kind: CallKind, now: Time) -> Option<Response> {
        self.dispatch_call(CallOrigin::Caller(id), kind, now);
        None
    }

    /// Handles a call that another control machine relays.
    pub(super) fn on_relayed_call(
        &mut self,
        address: SocketAddr,
        id: u64,
        call: RelayedCall,
        now: Time,
    ) {
        match CallKind::from_relayed(call) {
            Some(kind) => self.dispatch_call(CallOrigin::Peer { address, id }, kind, now),
            None => self.send_to_peer(
                address,
                PeerMessage::CallResponse {
                    id,
                    response: RelayedResponse::NotPrimary,
                },
            ),
        }
    }

    fn dispatch_call(&mut self, origin: CallOrigin, kind: CallKind, now: Time) {
        let now = to_replica_time(now);
        let replica = self.group.as_mut().map(|group| &mut group.replica);
        self.calls.submit(
            now,
            Call {
                origin,
                kind,
                arrived_at: now,
            },
            replica,
        );
    }

    /// Forwards calls, and responds to completed ones. Returns whether there were any of either.
    pub(super) fn advance_calls(&mut self, now: Time) -> bool {
        let primary = self.primary(now);
        let replica = self.group.as_mut().map(|group| &mut group.replica);
        let actions = self.calls.advance(to_replica_time(now), &primary, replica);
        let has_advanced = !actions.is_empty();
        for action in actions {
            match action {
                CallAction::Forward { to, id, call } => {
                    self.send_to_peer(to, PeerMessage::Call { id, call })
                }
                CallAction::Respond(CompletedCall {
                    call,
                    response,
                    rejection,
                }) => {
                    rejection
                        .into_iter()
                        .for_each(|rejection| self.on_order_rejected(rejection));
                    self.respond_to_call(&call, response);
                }
            }
        }
        has_advanced
    }

    fn respond_to_call(&mut self, call: &Call, response: RelayedResponse) {
        match (call.origin, response) {
            (CallOrigin::Peer { address, id }, response) => {
                self.send_to_peer(address, PeerMessage::CallResponse { id, response })
            }
            (CallOrigin::Caller(id), RelayedResponse::Response { status: 503, body }) => {
                let response =
                    Response::new(503, JSON_CONTENT_TYPE, body).with("retry-after", RETRY_AFTER_S);
                self.callers.respond(&mut self.net, id, &response);
            }
            (CallOrigin::Caller(id), RelayedResponse::Response { status, body }) => {
                self.check_acknowledged_read(call, status, &body);
                self.callers.respond(
                    &mut self.net,
                    id,
                    &Response::new(status, JSON_CONTENT_TYPE, body),
                );
            }
            (CallOrigin::Caller(id), RelayedResponse::NotPrimary) => {
                self.callers.respond(
                    &mut self.net,
                    id,
                    &error_response(503, "no primary is known that could answer"),
                );
            }
            // The order may have been accepted, so no status code would be correct. The connection
            // is closed without a response.
            (CallOrigin::Caller(id), RelayedResponse::Unknown) => {
                self.callers.abort(&mut self.net, id)
            }
        }
    }

    /// Records the version of an acknowledged order. Checks that a read does not return a version
    /// older than those acknowledged before it.
    fn check_acknowledged_read(&mut self, call: &Call, status: u16, body: &[u8]) {
        let Some(version) = parse_response_version(body).filter(|_| status == 200) else {
            return;
        };
        match call.kind {
            CallKind::Order(_) => {
                let now = to_replica_time(self.net.clock.now());
                self.acknowledged.on_acknowledged(now, version);
            }
            CallKind::Describe => {
                let is_recent_enough = self.acknowledged.allows_read(call.arrived_at, version);
                invariants::check(is_recent_enough, Invariant::AcknowledgedConfigurationIsRead);
            }
            CallKind::Status => {}
        }
    }
}

//! Requests of servers and operators.

use super::callers::error;
use super::calls::{Call, CallAction, CallOrigin};
use super::group::to_replica;
use super::machine::Machine;
use super::servers::Beat;
use super::status;
use crate::invariants::{self, Invariant};
use lichenswitch_configuration::{judge_alone, parse_base_version, Order, OrderKind};
use lichenswitch_control::{parse_response_version, CallKind, CompletedCall, RejectedOrder};
use lichenswitch_http::{Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_messages::{PeerMessage, RelayedResponse};
use lichenswitch_net::ConnId;
use lichenswitch_registry::Heartbeat;

/// Kind of all bodies.
const JSON: &str = "application/json";

/// What a request asks for.
#[derive(Debug, PartialEq, Eq)]
enum Target<'a> {
    Order,
    Describe,
    Status,
    Heartbeat(&'a str),
    Deregister(&'a str),
    /// There is such a path, for this method.
    OtherMethod(&'static str),
    Unknown,
}

impl Machine {
    /// A whole request has come.
    pub(super) fn on_request(&mut self, id: ConnId, request: &Request) {
        let now = self.net.clock.now();
        let response = match target(&request.method, request.path()) {
            Target::Order => self.on_order(id, request, now),
            Target::Describe => self.ask(id, CallKind::Describe, now),
            Target::Status if request.query() == "primary" => self.ask(id, CallKind::Status, now),
            Target::Status => Some(Response::new(200, JSON, status::machine(self, now))),
            Target::Heartbeat(instance) => self.on_heartbeat(id, instance, request, now),
            Target::Deregister(instance) => self.on_deregister(id, instance, now),
            Target::OtherMethod(method) => {
                Some(error(405, "the method is another one").with("allow", method))
            }
            Target::Unknown => Some(error(404, "there is no such path")),
        };
        if let Some(response) = response {
            self.callers.answer(&mut self.net, id, response);
        }
    }

    /// What is invalid in itself is refused here; all else is the primary's to judge.
    fn on_order(&mut self, id: ConnId, request: &Request, now: Time) -> Option<Response> {
        let base_version =
            match parse_base_version(request.header("base-version").map(str::as_bytes)) {
                Ok(base_version) => base_version,
                Err(e) => return Some(self.refuse(now, 0, e.to_string())),
            };
        let order = Order {
            path: request.path().to_owned(),
            base_version,
            body: request.body.clone(),
        };
        match judge_alone(&order) {
            Ok(()) => self.ask(id, CallKind::Order(order), now),
            Err(e) => Some(self.refuse(now, base_version, e.to_string())),
        }
    }

    fn refuse(&mut self, now: Time, base_version: u64, reason: String) -> Response {
        let response = error(400, &reason);
        self.on_refused(RejectedOrder {
            status: 400,
            base_version,
            reason,
            at: to_replica(now),
        });
        response
    }

    /// An order was refused, by this machine alone or as primary.
    fn on_refused(&mut self, rejection: RejectedOrder) {
        log::info!(target: "control", status = rejection.status, base_version = rejection.base_version,
            reason = rejection.reason.as_str(); "order refused");
        self.rejected_orders.record(rejection);
    }

    fn ask(&mut self, id: ConnId, kind: CallKind, now: Time) -> Option<Response> {
        self.take_call(CallOrigin::Caller(id), kind, now);
        None
    }

    fn on_heartbeat(
        &mut self,
        id: ConnId,
        instance: &str,
        request: &Request,
        now: Time,
    ) -> Option<Response> {
        if let Err(rejection) = self.may_take_beats(now) {
            return Some(beat_refused(rejection));
        }
        let heartbeat = match Heartbeat::parse(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return Some(error(400, &e.to_string())),
        };
        match self.servers.on_heartbeat(now, id, instance, &heartbeat) {
            Beat::Known => Some(beat_acknowledged()),
            Beat::Waits => None,
        }
    }

    fn on_deregister(&mut self, id: ConnId, instance: &str, now: Time) -> Option<Response> {
        if let Err(rejection) = self.may_take_beats(now) {
            return Some(beat_refused(rejection));
        }
        match self.servers.on_deregister(now, id, instance) {
            Beat::Known => Some(beat_acknowledged()),
            Beat::Waits => None,
        }
    }

    fn may_take_beats(&self, now: Time) -> Result<(), BeatRefusal> {
        match (self.in_contact(now), self.servers.may_take_beats(now)) {
            (false, _) => Err(BeatRefusal::OutOfContact),
            (true, false) => Err(BeatRefusal::TableUnknown),
            (true, true) => Ok(()),
        }
    }

    /// A call has come, from a caller or from another control machine.
    pub(super) fn take_call(&mut self, origin: CallOrigin, kind: CallKind, now: Time) {
        let now = to_replica(now);
        let replica = self.group.as_mut().map(|group| &mut group.replica);
        self.calls.take(
            now,
            Call {
                origin,
                kind,
                arrived: now,
            },
            replica,
        );
    }

    /// Hands calls on, and answers those that have ended.
    pub(super) fn advance_calls(&mut self, now: Time) -> bool {
        let primary = self.primary(now);
        let replica = self.group.as_mut().map(|group| &mut group.replica);
        let actions = self.calls.advance(to_replica(now), &primary, replica);
        let busy = !actions.is_empty();
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
                        .for_each(|rejection| self.on_refused(rejection));
                    self.answer_call(&call, response);
                }
            }
        }
        busy
    }

    fn answer_call(&mut self, call: &Call, response: RelayedResponse) {
        match (call.origin, response) {
            (CallOrigin::Peer { address, id }, response) => {
                self.send_to_peer(address, PeerMessage::CallResponse { id, response })
            }
            (CallOrigin::Caller(id), RelayedResponse::Response { status: 503, body }) => {
                let response = Response::new(503, JSON, body).with("retry-after", "0.2");
                self.callers.answer(&mut self.net, id, response);
            }
            (CallOrigin::Caller(id), RelayedResponse::Response { status, body }) => {
                self.check_answer(call, status, &body);
                self.callers
                    .answer(&mut self.net, id, Response::new(status, JSON, body));
            }
            (CallOrigin::Caller(id), RelayedResponse::NotPrimary) => {
                self.callers.answer(
                    &mut self.net,
                    id,
                    error(503, "no primary is known that could answer"),
                );
            }
            // It may have been taken: no status would be true.
            (CallOrigin::Caller(id), RelayedResponse::Unknown) => {
                self.callers.hang_up(&mut self.net, id)
            }
        }
    }

    /// Remembers what is acknowledged, and checks that no read goes back behind it.
    fn check_answer(&mut self, call: &Call, status: u16, body: &[u8]) {
        let Some(version) = parse_response_version(body).filter(|_| status == 200) else {
            return;
        };
        match call.kind {
            CallKind::Order(_) => {
                let now = to_replica(self.net.clock.now());
                self.acknowledged.on_acknowledged(now, version);
            }
            CallKind::Describe => {
                let holds = self.acknowledged.allows_read(call.arrived, version);
                invariants::check(holds, Invariant::AcknowledgedIsRead);
            }
            CallKind::Status => {}
        }
    }
}

/// Why a server's heartbeat is refused; the server goes on to the next control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum BeatRefusal {
    #[error("this machine is not in contact with a quorum")]
    OutOfContact,
    #[error("this machine has just started and has not got the table of servers yet")]
    TableUnknown,
    #[error("too few control machines hold this news yet")]
    NotReplicated,
}

/// The answer to a heartbeat that is acknowledged.
pub(super) fn beat_acknowledged() -> Response {
    Response::new(200, JSON, "{}")
}

/// The answer to one that is not.
pub(super) fn beat_refused(rejection: BeatRefusal) -> Response {
    error(503, &rejection.to_string())
}

fn target<'a>(method: &str, path: &'a str) -> Target<'a> {
    let (found, wanted) = match path {
        "/configuration/describe" => (Target::Describe, "GET"),
        "/status" => (Target::Status, "GET"),
        _ if OrderKind::of_path(path).is_some() => (Target::Order, "POST"),
        _ => (instance_target(path), "POST"),
    };
    match found {
        Target::Unknown => Target::Unknown,
        found if method == wanted => found,
        _ => Target::OtherMethod(wanted),
    }
}

fn instance_target(path: &str) -> Target<'_> {
    let parts = path
        .strip_prefix("/instances/")
        .and_then(|rest| rest.split_once('/'));
    match parts {
        Some((instance, "heartbeat")) if !instance.is_empty() => Target::Heartbeat(instance),
        Some((instance, "deregister")) if !instance.is_empty() => Target::Deregister(instance),
        _ => Target::Unknown,
    }
}

//! Calls from outside and relayed ones, at a control process.

use lichenswitch_configuration::validate;
use lichenswitch_control::{describe_configuration, error_response, CallKind, CompletedCall};
use lichenswitch_messages::{PeerMessage, RelayedCall, RelayedResponse};
use lichenswitch_replication::{Message, Time};

use super::{Call, CallAction, CallOrigin, ControlProcess, Effect, GlueFault};
use crate::packet::{CallId, Reply};

impl ControlProcess {
    /// A call from outside.
    pub fn on_call(&mut self, now: Time, id: CallId, kind: RelayedCall) {
        self.open_calls.push(id);
        let origin = CallOrigin::Caller(id);
        let Some(kind) = CallKind::from_relayed(kind) else {
            return self.end_call(origin, error_response(400, "there is no such path"));
        };
        let invalid = kind.as_order().and_then(|order| validate(order).err());
        if let Some(error) = invalid {
            return self.end_call(origin, error_response(400, &error.to_string()));
        }
        match self.respond_without_contact(&kind) {
            Some(response) => self.end_call(origin, response),
            None => self.take_call(now, origin, kind),
        }
    }

    /// A message of another control machine.
    ///
    /// # Panics
    /// Where replication can't decode what it encoded.
    pub fn on_peer(&mut self, now: Time, from: &str, message: PeerMessage) {
        match message {
            PeerMessage::Replication(bytes) => {
                let message = Message::decode(&bytes).expect("what a replica encoded is decoded");
                self.replica.on_message(now, message);
            }
            PeerMessage::Call { id, call } => {
                let origin = CallOrigin::Peer {
                    address: from.to_owned(),
                    id,
                };
                match CallKind::from_relayed(call) {
                    Some(kind) => self.take_call(now, origin, kind),
                    None => self.end_call(origin, RelayedResponse::NotPrimary),
                }
            }
            PeerMessage::CallResponse { id, response } => {
                self.calls.on_response(now, &from.to_owned(), id, response)
            }
            _ => {}
        }
    }

    fn take_call(&mut self, now: Time, origin: CallOrigin, kind: CallKind) {
        let call = Call {
            origin,
            kind,
            arrived_at: now,
        };
        self.calls.submit(now, call, Some(&mut self.replica));
    }

    /// The response by which a planted fault answers from the committed state of this machine.
    fn respond_without_contact(&self, kind: &CallKind) -> Option<RelayedResponse> {
        let (_, committed) = self.replica.committed()?;
        match kind.as_order() {
            None if self.faults.has(GlueFault::DescribeWithoutContact) => {
                Some(describe_configuration(&self.replica))
            }
            Some(order) if self.faults.has(GlueFault::RejectWithoutContact) => {
                let state = committed.state();
                let is_stale = order.base_version != state.version();
                let is_applied = state.has_applied(&order.digest());
                (is_stale && !is_applied).then(|| error_response(412, "by what is held here"))
            }
            _ => None,
        }
    }

    /// Carries out what the dispatcher of calls requests.
    pub(super) fn do_action(&mut self, action: CallAction) {
        match action {
            CallAction::Forward { to, id, call } => {
                self.effects
                    .push(Effect::SendPeer(to, PeerMessage::Call { id, call }));
            }
            CallAction::Respond(CompletedCall { call, response, .. }) => {
                self.end_call(call.origin, response)
            }
        }
    }

    fn end_call(&mut self, origin: CallOrigin, response: RelayedResponse) {
        let effect = match origin {
            CallOrigin::Peer { address, id } => {
                Effect::SendPeer(address, PeerMessage::CallResponse { id, response })
            }
            CallOrigin::Caller(id) => {
                self.open_calls.retain(|open| *open != id);
                Effect::Reply(id, reply_of(response))
            }
        };
        self.effects.push(effect);
    }
}

fn reply_of(response: RelayedResponse) -> Reply {
    match response {
        RelayedResponse::Response { status, body } => Reply::Response { status, body },
        RelayedResponse::NotPrimary => Reply::Response {
            status: 503,
            body: Vec::new(),
        },
        RelayedResponse::Unknown => Reply::Closed,
    }
}

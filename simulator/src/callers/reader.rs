//! A reader: it asks any machine for the newest configuration.

use lichenswitch_messages::RelayedCall;
use lichenswitch_replication::Time;

use super::{CallerContext, CALL_TIMEOUT_US};
use crate::network::Host;
use crate::oracle::CallPurpose;
use crate::packet::{CallId, Packet, Reply};

/// Longest pause between two calls, in microseconds.
const MAX_REST_US: u64 = 200_000;

/// A reader.
#[derive(Debug, Default)]
pub struct Reader {
    in_flight: Option<(CallId, Time)>,
    wake_at: Time,
    /// The machine that it prefers, if any.
    first: Option<Host>,
}

impl Reader {
    /// Every second question goes to this machine.
    pub fn set_first(&mut self, first: Option<Host>) {
        self.first = first;
    }

    /// When [`Self::on_wake`] has something to do.
    pub fn next_wake(&self) -> Time {
        self.in_flight
            .map_or(self.wake_at, |(_, sent)| sent.after(CALL_TIMEOUT_US))
    }

    /// Time has passed.
    pub fn on_wake(&mut self, context: &mut CallerContext<'_>) {
        if context.now < self.next_wake() {
            return;
        }
        self.in_flight = None;
        self.wake_at = context.now.after(MAX_REST_US);
        let first = self.first.filter(|_| context.random.bool());
        let Some(target) = first.or_else(|| context.another(None)) else {
            return;
        };
        let call = context.new_call();
        context
            .oracle
            .on_call(context.now, call, CallPurpose::Describe);
        self.in_flight = Some((call, context.now));
        context
            .outgoing
            .push((target, Packet::Call(call, RelayedCall::Describe)));
    }

    /// A call has ended.
    pub fn on_reply(&mut self, context: &mut CallerContext<'_>, call: CallId, _reply: &Reply) {
        if self.in_flight.is_some_and(|(pending, _)| pending == call) {
            self.in_flight = None;
            self.wake_at = context.now.after(context.random.u64(0..MAX_REST_US));
        }
    }
}

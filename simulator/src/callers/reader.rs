//! A reader: it calls any machine for the newest configuration.

use lichenswitch_messages::RelayedCall;
use lichenswitch_replication::Time;

use super::{CallerContext, CALL_TIMEOUT_US};
use crate::network::Host;
use crate::oracle::CallPurpose;
use crate::packet::{CallId, Packet, Reply};

/// Longest pause between two calls, in microseconds.
const MAX_PAUSE_US: u64 = 200_000;

/// A reader.
#[derive(Debug, Default)]
pub struct Reader {
    in_flight: Option<(CallId, Time)>,
    wake_at: Time,
    /// The machine that it prefers, if any.
    preferred: Option<Host>,
}

impl Reader {
    /// Sets the machine that every second call goes to, at random.
    pub fn set_preferred(&mut self, preferred: Option<Host>) {
        self.preferred = preferred;
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
        self.wake_at = context.now.after(MAX_PAUSE_US);
        let preferred = self.preferred.filter(|_| context.random.bool());
        let Some(target) = preferred.or_else(|| context.pick_machine(None)) else {
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
            self.wake_at = context.now.after(context.random.u64(0..MAX_PAUSE_US));
        }
    }
}

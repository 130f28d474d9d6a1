//! A reader: it asks any machine for the newest configuration.

use lichenswitch_messages::RelayedCall;
use lichenswitch_replication::Time;

use super::{Surroundings, CALL_TIMEOUT};
use crate::ledger::RequestedRead;
use crate::network::Host;
use crate::packet::{CallId, Packet, Reply};

/// Most rest between two questions, in microseconds.
const MOST_REST: u64 = 200_000;

/// A reader.
#[derive(Debug, Default)]
pub struct Reader {
    in_flight: Option<(CallId, Time)>,
    wake_at: Time,
    /// Asked first, if it is stubborn about that.
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
            .map_or(self.wake_at, |(_, sent)| sent.after(CALL_TIMEOUT))
    }

    /// Time has passed.
    pub fn on_wake(&mut self, around: &mut Surroundings<'_>) {
        if around.now < self.next_wake() {
            return;
        }
        self.in_flight = None;
        self.wake_at = around.now.after(MOST_REST);
        let first = self.first.filter(|_| around.random.bool());
        let Some(target) = first.or_else(|| around.another(None)) else {
            return;
        };
        let call = around.new_call();
        around
            .ledger
            .on_call(around.now, call, RequestedRead::Describe);
        self.in_flight = Some((call, around.now));
        around
            .outgoing
            .push((target, Packet::Call(call, RelayedCall::Describe)));
    }

    /// A call has ended.
    pub fn on_reply(&mut self, around: &mut Surroundings<'_>, call: CallId, _reply: &Reply) {
        if self.in_flight.is_some_and(|(own, _)| own == call) {
            self.in_flight = None;
            self.wake_at = around.now.after(around.random.u64(0..MOST_REST));
        }
    }
}

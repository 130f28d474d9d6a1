//! State of a server and of the calls pending there.

use crate::{DecayingMean, DecayingValue};
use lichenswitch_interface::{Load, ServerMode, Time};

/// Call to a server. It may stay pending after all its parts ended, see [`Call::pending_until`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Identifier; later calls have greater ones.
    pub id: u64,
    /// Time of the send.
    pub sent_at: Time,
    /// Number of its parts in flight.
    pub in_flight_parts: u32,
    /// Number of parts that it was sent with.
    pub size: u32,
    /// Time until which the call counts as pending after a part ended without an answer, since the
    /// server may still work on it.
    pub pending_until: Option<Time>,
}

impl Call {
    /// Returns whether the call counts as pending at `now`.
    #[must_use]
    pub fn is_pending(&self, now: Time) -> bool {
        self.in_flight_parts > 0 || self.pending_until.is_some_and(|until| until > now)
    }
}

/// State of a server as known to one instance.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Cell, from the server list.
    pub cell: u32,
    /// Zone, from the server list.
    pub zone: u32,
    /// State, from the server list.
    pub mode: ServerMode,
    /// Last start, from the server list; set only if slow start may apply.
    pub slow_start_from: Option<Time>,
    /// Slow-start tokens at `tokens_at`, in parts; negative after the allowance was exceeded.
    pub slow_start_tokens: f64,
    /// Time of the last update of the slow-start tokens.
    pub tokens_at: Time,
    /// Calls of this instance that are pending at the server.
    pub calls: Vec<Call>,
    /// Other load: streams that outlive their answered parts, and the backlog of all instances.
    pub load: Load,
    /// Share of faults by class; the last entry counts faults that affect all classes. Empty before
    /// the first fault.
    pub faults: Vec<DecayingValue>,
    /// Recent response time of its parts (microseconds).
    pub response_time: DecayingMean,
    /// Parts of this instance that were pending when the parts behind `response_time` were sent.
    pub pending_at_send: DecayingMean,
    /// Time of the last update of `response_time`.
    pub response_time_at: Time,
    /// Time of the last send to the server or answer from it.
    pub last_used_at: Time,
    /// Whether the pending parts were sent on a connection that had been idle.
    pub on_idle_connection: bool,
    /// Latest send time of all answered parts.
    pub newest_answered_send: Time,
}

impl Server {
    /// Returns the number of this instance's parts in flight at the server.
    #[must_use]
    pub fn pending(&self) -> f64 {
        f64::from(self.calls.iter().map(|c| c.in_flight_parts).sum::<u32>())
    }
    /// Clears the faults of changed classes; `same` tells for each class whether it is unchanged.
    pub fn reset_changed_classes(&mut self, same: &[bool]) {
        let Some(all) = self.faults.pop() else { return };
        self.faults.resize(same.len(), DecayingValue::default());
        let others = self.faults.iter_mut().zip(same).filter(|(_, same)| !**same);
        others.for_each(|(fault, _)| *fault = DecayingValue::default());
        self.faults.push(all);
    }
}

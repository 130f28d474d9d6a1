//! What the decision module remembers of a server and of the calls pending there.

use crate::{DecayingMean, DecayingValue};
use lichenswitch_interface::{Load, ServerMode, Time};

/// One call to a server, or what is left of it: parts that ended unanswered keep it in the count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Names it; later ones are greater.
    pub id: u64,
    /// When it was sent.
    pub sent_at: Time,
    /// Its parts that are in flight.
    pub in_flight_parts: u32,
    /// All parts that it was sent with.
    pub size: u32,
    /// Set once a part ended without an answer: the call counts as pending until then, since the
    /// server may still work on it.
    pub pending_until: Option<Time>,
}

impl Call {
    /// Whether it counts as pending.
    #[must_use]
    pub fn is_pending(&self, now: Time) -> bool {
        self.in_flight_parts > 0 || self.pending_until.is_some_and(|until| until > now)
    }
}

/// A server, as the module remembers it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Its cell, by the list.
    pub cell: u32,
    /// Its zone, by the list.
    pub zone: u32,
    /// Its state, by the list.
    pub mode: ServerMode,
    /// Its last start by the list, while it may still be in slow start.
    pub slow_start_from: Option<Time>,
    /// Its allowance in slow start, in parts.
    pub slow_start_tokens: f64,
    /// When that allowance was counted.
    pub tokens_at: Time,
    /// Calls that are pending there.
    pub calls: Vec<Call>,
    /// What else loads it: streams that run on after their parts were answered, and the backlog of
    /// all instances.
    pub load: Load,
    /// Share of bad ends by class, the last one for what befalls all classes; empty before the
    /// first.
    pub faults: Vec<DecayingValue>,
    /// Recent response time (microseconds).
    pub response_time: DecayingMean,
    /// How many parts of this instance were pending when those parts were sent.
    pub pending_at_send: DecayingMean,
    /// When the response time was last learnt.
    pub response_time_at: Time,
    /// Last time that something was sent to it or came from it.
    pub last_used_at: Time,
    /// Whether what is pending went on a connection that had been idle.
    pub on_idle_connection: bool,
    /// When the youngest part was sent that it has answered.
    pub newest_answered_send: Time,
}

impl Server {
    /// Parts of this instance in flight there.
    #[must_use]
    pub fn pending(&self) -> f64 {
        f64::from(self.calls.iter().map(|c| c.in_flight_parts).sum::<u32>())
    }
    /// Follows a change of the classes, each the same as before or not: faults in a class that
    /// changed are forgotten.
    pub fn reset_changed_classes(&mut self, same: &[bool]) {
        let Some(all) = self.faults.pop() else { return };
        self.faults.resize(same.len(), DecayingValue::default());
        let others = self.faults.iter_mut().zip(same).filter(|(_, same)| !**same);
        others.for_each(|(fault, _)| *fault = DecayingValue::default());
        self.faults.push(all);
    }
}

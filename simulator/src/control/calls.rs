//! Calls as they pass from the machine that took them to the primary.

use lichenswitch_configuration::Order;
use lichenswitch_messages::{RelayedAnswer, RelayedCall};
use lichenswitch_replication::Time;

use crate::packet::CallId;

/// A call that can't be begun is answered after so many microseconds: a caller goes on after a second of silence.
const PATIENCE: u64 = 650_000;
/// A call that was handed to the primary is given up after so many microseconds.
const RELAY_DEADLINE: u64 = 800_000;

/// Who waits for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller at this machine.
    Caller(CallId),
    /// Another control machine, which relays.
    Peer {
        /// Where it is.
        address: String,
        /// Its number of the call.
        id: u64,
    },
}

/// A call that waits for its answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Call {
    pub(super) origin: Origin,
    pub(super) question: RelayedCall,
    pub(super) arrived: Time,
}

impl Call {
    /// Until when it may wait before it is begun.
    pub(super) fn patience(&self) -> Time {
        self.arrived.after(PATIENCE)
    }

    /// Until when the primary may answer it.
    pub(super) fn deadline(&self) -> Time {
        self.arrived.after(RELAY_DEADLINE)
    }

    /// The order that it is.
    pub(super) fn order(&self) -> Option<Order> {
        match &self.question {
            RelayedCall::Order { path, base_version, body } => {
                Some(Order { path: path.clone(), base_version: *base_version, body: body.clone() })
            }
            RelayedCall::Describe | RelayedCall::Status => None,
        }
    }

    /// What it is answered if it was handed on and its outcome isn't known. Only an order may have been taken.
    pub(super) fn unanswered(&self) -> RelayedAnswer {
        match self.question {
            RelayedCall::Order { .. } => RelayedAnswer::Unknown,
            RelayedCall::Describe | RelayedCall::Status => RelayedAnswer::NotPrimary,
        }
    }
}

/// An answer without a body.
pub(super) fn answer(status: u16) -> RelayedAnswer {
    RelayedAnswer::Answer { status, body: Vec::new() }
}

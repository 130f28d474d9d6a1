//! Calls of operators, as they pass from the machine that took them to the primary.

use lichenswitch_configuration::{Order, OrderKind};
use lichenswitch_interface::Time;
use lichenswitch_messages::{RelayedAnswer, RelayedCall};
use lichenswitch_net::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// A caller goes on to another control machine after a second of silence: a call that can't be begun is answered before that.
const PATIENCE: Duration = Duration::from_millis(650);
/// A call that was handed to the primary is given up after this time.
const RELAY_DEADLINE: Duration = Duration::from_millis(800);
/// Callers wait longer for the answer to a large body, which takes longer to read and check: a millisecond for so many bytes.
const BYTES_PER_MILLISECOND: usize = 4 << 10;

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller at this machine.
    Caller(ConnId),
    /// A caller at another control machine, which relays.
    Peer {
        /// Which one.
        address: SocketAddr,
        /// Its number of the call.
        id: u64,
    },
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Question {
    /// To take an order.
    Order(Order),
    /// For the newest configuration.
    Describe,
    /// For the primary's view of the group.
    Status,
}

/// A call that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Call {
    pub(super) origin: Origin,
    pub(super) question: Question,
    pub(super) arrived: Time,
}

impl Question {
    pub(super) fn of_relayed(call: RelayedCall) -> Option<Question> {
        match call {
            RelayedCall::Order { path, base_version, body } => {
                OrderKind::of_path(&path)?;
                Some(Question::Order(Order { path, base_version, body }))
            }
            RelayedCall::Describe => Some(Question::Describe),
            RelayedCall::Status => Some(Question::Status),
        }
    }

    pub(super) fn to_relayed(&self) -> RelayedCall {
        match self {
            Question::Order(Order { path, base_version, body }) => {
                RelayedCall::Order { path: path.clone(), base_version: *base_version, body: body.clone() }
            }
            Question::Describe => RelayedCall::Describe,
            Question::Status => RelayedCall::Status,
        }
    }

    /// Bytes that it holds.
    pub(super) fn weight(&self) -> usize {
        match self {
            Question::Order(order) => order.body.len(),
            Question::Describe | Question::Status => 0,
        }
    }

    /// What a call is answered that was handed to the primary and whose outcome isn't known. Only an order may have been taken.
    pub(super) fn unanswered(&self) -> RelayedAnswer {
        match self {
            Question::Order(_) => RelayedAnswer::Unknown,
            Question::Describe | Question::Status => RelayedAnswer::NotPrimary,
        }
    }
}

impl Call {
    /// Until when it may wait before it is begun.
    pub(super) fn patience(&self) -> Time {
        super::program::after(self.arrived, PATIENCE + self.for_its_size())
    }

    /// Until when the primary may answer it.
    pub(super) fn deadline(&self) -> Time {
        super::program::after(self.arrived, RELAY_DEADLINE + self.for_its_size())
    }

    fn for_its_size(&self) -> Duration {
        Duration::from_millis((self.question.weight() / BYTES_PER_MILLISECOND) as u64)
    }
}

/// An answer with a reason in JSON.
pub(super) fn answer(status: u16, reason: &str) -> RelayedAnswer {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason)).into_bytes();
    RelayedAnswer::Answer { status, body }
}

/// An answer to an order that is in force.
pub(super) fn taken(version: u64) -> RelayedAnswer {
    RelayedAnswer::Answer { status: 200, body: format!("{{\"version\":{version}}}").into_bytes() }
}

//! A call of an operator, as it passes from the machine that took them to the primary.

use lichenswitch_configuration::{Order, OrderKind};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;

/// A caller goes on to another control machine after a second of silence: a call that can't be
/// begun is answered before that (microseconds).
const PATIENCE: u64 = 650_000;
/// A call that was handed to the primary is given up after this time (microseconds).
const RELAY_DEADLINE: u64 = 800_000;
/// Callers wait longer for the answer to a large body, which takes longer to read and check: a
/// millisecond for so many bytes.
const BYTES_PER_MILLISECOND: usize = 4 << 10;
const MILLISECOND: u64 = 1_000;

/// Who waits for the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<C, A> {
    /// A caller at this machine.
    Caller(C),
    /// A caller at another control machine, which relays.
    Peer {
        /// Which one.
        address: A,
        /// Its number of the call.
        id: u64,
    },
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// To take an order.
    Order(Order),
    /// For the newest configuration.
    Describe,
    /// For the primary's view of the group.
    Status,
}

/// A call that waits for its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call<C, A> {
    /// Who waits.
    pub origin: Origin<C, A>,
    /// What is asked.
    pub question: Question,
    /// When it came to this machine.
    pub arrived: Time,
}

impl Question {
    /// Of a message; `None` if it names a path that is none.
    pub fn of_relayed(call: RelayedCall) -> Option<Question> {
        match call {
            RelayedCall::Order {
                path,
                base_version,
                body,
            } => {
                OrderKind::of_path(&path)?;
                Some(Question::Order(Order {
                    path,
                    base_version,
                    body,
                }))
            }
            RelayedCall::Describe => Some(Question::Describe),
            RelayedCall::Status => Some(Question::Status),
        }
    }

    /// As a message.
    pub fn to_relayed(&self) -> RelayedCall {
        match self {
            Question::Order(Order {
                path,
                base_version,
                body,
            }) => RelayedCall::Order {
                path: path.clone(),
                base_version: *base_version,
                body: body.clone(),
            },
            Question::Describe => RelayedCall::Describe,
            Question::Status => RelayedCall::Status,
        }
    }

    /// Bytes that it holds.
    pub(crate) fn weight(&self) -> usize {
        match self {
            Question::Order(order) => order.body.len(),
            Question::Describe | Question::Status => 0,
        }
    }

    /// What a call is answered that was handed to the primary and whose outcome isn't known. Only
    /// an order may have been taken.
    pub(crate) fn unanswered(&self) -> RelayedResponse {
        match self {
            Question::Order(_) => RelayedResponse::Unknown,
            Question::Describe | Question::Status => RelayedResponse::NotPrimary,
        }
    }
}

impl<C, A> Call<C, A> {
    /// Until when it may wait before it is begun.
    pub fn patience(&self) -> Time {
        self.arrived.after(PATIENCE + self.for_its_size())
    }

    /// Until when the primary may answer it.
    pub fn deadline(&self) -> Time {
        self.arrived.after(RELAY_DEADLINE + self.for_its_size())
    }

    fn for_its_size(&self) -> u64 {
        (self.question.weight() / BYTES_PER_MILLISECOND) as u64 * MILLISECOND
    }
}

/// An answer with a reason in JSON.
pub fn answer(status: u16, reason: &str) -> RelayedResponse {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason)).into_bytes();
    RelayedResponse::Response { status, body }
}

/// An answer to an order that is in force.
pub(crate) fn taken(version: u64) -> RelayedResponse {
    RelayedResponse::Response {
        status: 200,
        body: format!("{{\"version\":{version}}}").into_bytes(),
    }
}

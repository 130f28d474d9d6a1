//! A call of an operator, as it passes from the machine that received it to the primary.

use crate::rejected_orders::RejectedOrder;
use lichenswitch_configuration::{Order, OrderKind};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;

/// A call that can't be begun is answered after this time (microseconds): before its caller, after a
/// second without a response, turns to another control machine.
const BEGIN_TIMEOUT_US: u64 = 650_000;
/// A call that was forwarded to the primary is given up after this time (microseconds).
const RESPONSE_TIMEOUT_US: u64 = 800_000;
/// Callers wait longer for the response to a large body, which takes longer to read and check: one
/// millisecond more for each of these.
const BYTES_PER_MILLISECOND: usize = 4 << 10;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// Who awaits the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin<C, A> {
    /// A caller at this machine.
    Caller(C),
    /// A caller at another control machine, which relays.
    Peer {
        /// Address of that machine.
        address: A,
        /// Number that it gave the call.
        id: u64,
    },
}

/// What a call requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// To accept an order that changes the configuration.
    Order(Order),
    /// To return the newest configuration.
    Describe,
    /// To return the primary's view of the group.
    Status,
}

/// A call that awaits its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call<C, A> {
    /// Who awaits the response.
    pub origin: CallOrigin<C, A>,
    /// What it requests.
    pub kind: CallKind,
    /// When it arrived at this machine.
    pub arrived_at: Time,
}

/// A call with its response.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall<C, A> {
    /// The call.
    pub call: Call<C, A>,
    /// What the caller, or the machine that relayed the call, is sent.
    pub response: RelayedResponse,
    /// Set when the call was an order that this machine rejected as primary.
    pub rejection: Option<RejectedOrder>,
}

impl<C, A> CompletedCall<C, A> {
    /// A call that completes with this response, and is no rejected order.
    pub(crate) fn new(call: Call<C, A>, response: RelayedResponse) -> Self {
        Self {
            call,
            response,
            rejection: None,
        }
    }
}

impl CallKind {
    /// From a message of another machine; `None` if it names a path that is no order's.
    pub fn from_relayed(call: RelayedCall) -> Option<CallKind> {
        match call {
            RelayedCall::Order {
                path,
                base_version,
                body,
            } => {
                OrderKind::of_path(&path)?;
                Some(CallKind::Order(Order {
                    path,
                    base_version,
                    body,
                }))
            }
            RelayedCall::Describe => Some(CallKind::Describe),
            RelayedCall::Status => Some(CallKind::Status),
        }
    }

    /// As a message.
    pub fn to_relayed(&self) -> RelayedCall {
        match self {
            CallKind::Order(Order {
                path,
                base_version,
                body,
            }) => RelayedCall::Order {
                path: path.clone(),
                base_version: *base_version,
                body: body.clone(),
            },
            CallKind::Describe => RelayedCall::Describe,
            CallKind::Status => RelayedCall::Status,
        }
    }

    /// The order, if it is one.
    pub fn as_order(&self) -> Option<&Order> {
        match self {
            CallKind::Order(order) => Some(order),
            CallKind::Describe | CallKind::Status => None,
        }
    }

    /// Bytes of its body.
    pub(crate) fn body_bytes(&self) -> usize {
        self.as_order().map_or(0, |order| order.body.len())
    }

    /// The response to a call that was forwarded to the primary and whose outcome is unknown. Only
    /// an order may have had an effect.
    pub(crate) fn response_when_outcome_unknown(&self) -> RelayedResponse {
        match self {
            CallKind::Order(_) => RelayedResponse::Unknown,
            CallKind::Describe | CallKind::Status => RelayedResponse::NotPrimary,
        }
    }
}

impl<C, A> Call<C, A> {
    /// When it is given up unless it has been begun.
    pub fn begin_deadline(&self) -> Time {
        self.arrived_at
            .after(BEGIN_TIMEOUT_US + self.body_size_allowance())
    }

    /// When it is given up unless the primary has responded.
    pub fn response_deadline(&self) -> Time {
        self.arrived_at
            .after(RESPONSE_TIMEOUT_US + self.body_size_allowance())
    }

    fn body_size_allowance(&self) -> u64 {
        (self.kind.body_bytes() / BYTES_PER_MILLISECOND) as u64 * MICROS_PER_MILLISECOND
    }
}

/// A response whose body gives the reason as JSON.
pub fn error_response(status: u16, reason: &str) -> RelayedResponse {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason)).into_bytes();
    RelayedResponse::Response { status, body }
}

/// The response to an order that is in force.
pub(crate) fn accepted_response(version: u64) -> RelayedResponse {
    success_response(format!("{{\"version\":{version}}}").into_bytes())
}

/// A response of status 200.
pub(crate) fn success_response(body: Vec<u8>) -> RelayedResponse {
    RelayedResponse::Response { status: 200, body }
}

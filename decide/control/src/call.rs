//! Operator calls and their responses, shared by the machine that received a call and the primary.

use crate::rejected_orders::RejectedOrder;
use lichenswitch_configuration::{Order, OrderKind};
use lichenswitch_messages::{RelayedCall, RelayedResponse};
use lichenswitch_replication::Time;

/// Time after which the machine answers a call that it could not begin (microseconds). It is
/// shorter than the second after which a caller without a response retries at another control
/// machine.
const BEGIN_TIMEOUT_US: u64 = 650_000;
/// Time after which the machine stops waiting for the primary's response (microseconds).
const RESPONSE_TIMEOUT_US: u64 = 800_000;
/// Body size (bytes) for each millisecond that is added to both timeouts. Callers wait longer for
/// the response to a large body, because it takes longer to read and check.
const BYTES_PER_MILLISECOND: usize = 4 << 10;
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// Recipient of the response to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOrigin<C, A> {
    /// A caller at this machine.
    Caller(C),
    /// Another control machine, which relays the call of one of its callers.
    Peer {
        /// Address of the relaying machine.
        address: A,
        /// Call number that the relaying machine assigned, to be repeated in the response.
        id: u64,
    },
}

/// Operation that a call requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Change the configuration as the order says.
    Order(Order),
    /// Return the newest committed configuration.
    Describe,
    /// Return the primary's view of the group.
    Status,
}

/// A call that awaits its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call<C, A> {
    /// Recipient of the response.
    pub origin: CallOrigin<C, A>,
    /// Requested operation.
    pub kind: CallKind,
    /// When the call arrived at this machine. Its deadlines count from here.
    pub arrived_at: Time,
}

/// A call together with the response to send.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedCall<C, A> {
    /// The call, whose origin is the recipient.
    pub call: Call<C, A>,
    /// Response to the caller or to the machine that relayed the call.
    pub response: RelayedResponse,
    /// Details of the rejection if this machine, as primary, rejected an order; otherwise `None`.
    pub rejection: Option<RejectedOrder>,
}

impl<C, A> CompletedCall<C, A> {
    /// Returns a completed call that is not a rejected order.
    pub(crate) fn new(call: Call<C, A>, response: RelayedResponse) -> Self {
        Self {
            call,
            response,
            rejection: None,
        }
    }
}

impl CallKind {
    /// Converts a call from another machine's message. Returns `None` for an order with an unknown
    /// path.
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

    /// Converts the call into a message to another machine.
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

    /// Returns the order, or `None` for a read.
    pub fn as_order(&self) -> Option<&Order> {
        match self {
            CallKind::Order(order) => Some(order),
            CallKind::Describe | CallKind::Status => None,
        }
    }

    /// Returns the size of the order's body in bytes; 0 for a read.
    pub(crate) fn body_bytes(&self) -> usize {
        self.as_order().map_or(0, |order| order.body.len())
    }

    /// Returns the response to a forwarded call whose outcome is unknown. A read has no effect and
    /// may be retried, so only an order is answered with [`RelayedResponse::Unknown`].
    pub(crate) fn response_when_outcome_unknown(&self) -> RelayedResponse {
        match self {
            CallKind::Order(_) => RelayedResponse::Unknown,
            CallKind::Describe | CallKind::Status => RelayedResponse::NotPrimary,
        }
    }
}

impl<C, A> Call<C, A> {
    /// Returns when the machine answers the call with an error unless it has begun the call.
    pub fn begin_deadline(&self) -> Time {
        self.arrived_at
            .after(BEGIN_TIMEOUT_US + self.body_size_allowance())
    }

    /// Returns when the machine stops waiting for the primary's response to the call.
    pub fn response_deadline(&self) -> Time {
        self.arrived_at
            .after(RESPONSE_TIMEOUT_US + self.body_size_allowance())
    }

    fn body_size_allowance(&self) -> u64 {
        (self.kind.body_bytes() / BYTES_PER_MILLISECOND) as u64 * MICROS_PER_MILLISECOND
    }
}

/// Returns a response whose JSON body `{"error": …}` contains the reason.
pub fn error_response(status: u16, reason: &str) -> RelayedResponse {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason)).into_bytes();
    RelayedResponse::Response { status, body }
}

/// Returns the response to an order whose change is committed; the body contains its version.
pub(crate) fn accepted_response(version: u64) -> RelayedResponse {
    success_response(format!("{{\"version\":{version}}}").into_bytes())
}

/// Returns a response with status 200.
pub(crate) fn success_response(body: Vec<u8>) -> RelayedResponse {
    RelayedResponse::Response { status: 200, body }
}

//! Messages about tenants: whether a router's configuration is current, and leases of quotas.
//!
//! A kind of its own beside [`Envelope`](crate::Envelope), whose format it leaves as it was, so that
//! processes of an earlier version and of this one understand each other. It is sent only where the
//! configuration has tenants, which earlier versions did not know.

use crate::ConfigurationPosition;
use rkyv::{Archive, Deserialize, Serialize};

/// Unit of the amounts of a lease.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum QuotaLeaseUnit {
    /// Requests.
    Requests,
    /// Tokens.
    Tokens,
}

/// Requests a lease on a tenant's quota.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct QuotaLeaseRequest {
    /// Unique in the lifetime of the sender.
    pub id: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// Unit of the amounts.
    pub unit: QuotaLeaseUnit,
    /// Amounts of queued requests, 64 at most; each is granted in full or not at all.
    pub amounts: Vec<u64>,
    /// An additional amount for requests that are expected soon.
    pub prefetch_amount: u64,
    /// Whether the receiver forwards the request to other owners where its own shard has too
    /// little.
    pub may_forward: bool,
}

/// What is granted of a [`QuotaLeaseRequest`].
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct QuotaLeaseResponse {
    /// Number of the request.
    pub id: u64,
    /// Bit `i` is set where amount `i` is granted.
    pub granted_bits: u64,
    /// Granted of the prefetch amount.
    pub prefetch_amount: u64,
    /// When the first amount that was not granted might be (microseconds from now); 0 where all
    /// are.
    pub retry_after_us: u64,
}

/// All messages about tenants.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum TenantMessage {
    /// From a router: asks whether the configuration that it has in force is current.
    Confirm {
        /// Its monotonic clock (microseconds); has a meaning for the router alone.
        sent_at_us: u64,
    },
    /// Response of a control machine that is in contact: all that was acknowledged when the request
    /// was sent, but for the delay that contact allows, precedes this message on its connection.
    Confirmed {
        /// `sent_at_us` of the request.
        sent_at_us: u64,
        /// The newest configuration that this control machine knows to be committed.
        position: Option<ConfigurationPosition>,
    },
    /// From a router or a control machine to a control machine.
    LeaseRequest(QuotaLeaseRequest),
    /// The response to it.
    LeaseResponse(QuotaLeaseResponse),
}

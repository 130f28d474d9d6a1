//! Messages about tenants: how fresh a router's configuration is, and draws on quotas.
//!
//! They are a kind of their own beside [`Envelope`](crate::Envelope), which stays as it was, so
//! that processes of an earlier version read each other and this one as before. They are sent only
//! where the configuration has tenants, which earlier versions did not know.

use crate::ConfigurationPosition;
use rkyv::{Archive, Deserialize, Serialize};

/// What the amounts of a draw count.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum QuotaLeaseUnit {
    /// Requests.
    Requests,
    /// Tokens.
    Tokens,
}

/// Asks for a part of a tenant's quota.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct QuotaLeaseRequest {
    /// Unique in the life of the sender.
    pub id: u64,
    /// Name of the tenant.
    pub tenant: String,
    /// What the amounts count.
    pub unit: QuotaLeaseUnit,
    /// Amounts of requests that wait.
    pub amounts: Vec<u64>,
    /// An amount beside them.
    pub prefetch_amount: u64,
    /// Whether the receiver is to ask others where it has too little itself.
    pub may_forward: bool,
}

/// What is granted of a draw.
#[derive(Archive, Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub struct QuotaLeaseResponse {
    /// Number of the request.
    pub id: u64,
    /// The bit of each need that is granted.
    pub granted_bits: u64,
    /// The amount that is granted ahead.
    pub prefetch_amount: u64,
    /// When what was not granted might be (microseconds from now).
    pub retry_after_us: u64,
}

/// All messages about tenants.
#[derive(Archive, Serialize, Deserialize, Clone, Debug, PartialEq, Eq)]
#[rkyv(attr(allow(missing_docs)))]
pub enum TenantMessage {
    /// From a router: asks whether what it has in force is current.
    Confirm {
        /// Its steady clock (microseconds); means something to it alone.
        sent_at_us: u64,
    },
    /// Answer of a control machine in contact: all that was acknowledged by the time of the
    /// question, but for what contact may be behind, went before this on the same connection.
    Confirmed {
        /// Of the question.
        sent_at_us: u64,
        /// The newest configuration that this control machine knows to be committed.
        position: Option<ConfigurationPosition>,
    },
    /// From a router or a control machine to a control machine.
    LeaseRequest(QuotaLeaseRequest),
    /// Its answer.
    LeaseResponse(QuotaLeaseResponse),
}

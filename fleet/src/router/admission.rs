//! A request between its reading and the request table: its route's terms, service, sender and
//! deadline, and how much of its tenant's quota it uses.

use super::client_request::{ClientRequest, TokenUsage};
use super::configuration::RouteTerms;
use super::ids::ServiceId;
use super::rejection::RejectionReason;
use super::sender::Sender;
use lichenswitch_configuration::{QuotaUnit, Tenant};
use lichenswitch_interface::Time;
use std::rc::Rc;

/// How a request is to be served, as resolved before its quota is checked.
#[derive(Debug)]
pub(crate) struct Admission {
    /// The terms of its route, with the rank of its tenant.
    pub terms: RouteTerms,
    /// The service that was chosen for it.
    pub service: ServiceId,
    /// Version of the configuration that was used.
    pub configuration_version: u64,
    /// Its sender, where it bears the key of a tenant.
    pub sender: Option<Rc<Sender>>,
    /// When its time is over: the client's deadline or the route's timeout, whichever is earlier.
    pub deadline: Time,
}

/// A request that waits for its tenant's quota.
#[derive(Debug)]
pub(crate) struct QuotaWaiter {
    /// The request.
    pub request: ClientRequest,
    /// How it is to be served.
    pub admission: Admission,
}

/// How much of its tenant's quota a request uses, in the quota's unit (requests or tokens).
///
/// # Errors
/// Its `Token-Usage` can't be parsed, and the quota counts tokens.
pub(crate) fn quota_demand(
    tenant: &Tenant,
    request: &ClientRequest,
) -> Result<u64, RejectionReason> {
    match (tenant.unit, request.tokens) {
        (QuotaUnit::Requests, _) => Ok(1),
        (QuotaUnit::Tokens, TokenUsage::Unspecified) => Ok(tenant.uncached_tokens),
        (QuotaUnit::Tokens, TokenUsage::Declared(tokens)) => Ok(tokens),
        (QuotaUnit::Tokens, TokenUsage::Invalid) => Err(RejectionReason::Malformed),
    }
}

#[cfg(test)]
mod tests;

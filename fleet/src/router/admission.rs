//! What a request was found to be before it enters the request table: route terms, service, sender and
//! deadline, and what it counts as in its tenant's quota.

use super::client_request::{ClientRequest, TokenUsage};
use super::configuration::RouteTerms;
use super::ids::ServiceId;
use super::rejection::RejectionReason;
use super::sender::Sender;
use lichenswitch_configuration::{QuotaUnit, Tenant};
use lichenswitch_interface::Time;
use std::rc::Rc;

/// What a request was found to be before its quota is looked at.
#[derive(Debug)]
pub(crate) struct Admission {
    /// What its route says, with the rank of its tenant.
    pub terms: RouteTerms,
    /// The service that was drawn for it.
    pub service: ServiceId,
    /// Version of the configuration that says so.
    pub configuration_version: u64,
    /// Who sent it, where it bears a key that a tenant holds.
    pub sender: Option<Rc<Sender>>,
    /// When its time is over.
    pub deadline: Time,
}

/// A request that waits for its tenant's quota.
#[derive(Debug)]
pub(crate) struct QuotaWaiter {
    /// The request.
    pub request: ClientRequest,
    /// What it was found to be.
    pub admission: Admission,
}

/// What a request counts as in its tenant's quota.
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

//! Conversion between the lease requests and grants that [`lichenswitch_quota`] decides on and the
//! messages that carry them, the same for both roles.

use lichenswitch_configuration::QuotaUnit;
use lichenswitch_messages::{QuotaLeaseRequest, QuotaLeaseResponse, QuotaLeaseUnit};
use lichenswitch_quota::{LeaseGrant, LeaseRequest};

/// Builds the message that requests a lease. The response repeats `id`. `may_forward` allows the
/// receiving control machine to request amounts that it does not own from other control machines.
pub(crate) fn request_message(
    id: u64,
    request: LeaseRequest,
    may_forward: bool,
) -> QuotaLeaseRequest {
    let unit = match request.unit {
        QuotaUnit::Requests => QuotaLeaseUnit::Requests,
        QuotaUnit::Tokens => QuotaLeaseUnit::Tokens,
    };
    QuotaLeaseRequest {
        id,
        tenant: request.tenant,
        unit,
        amounts: request.amounts,
        prefetch_amount: request.prefetch_amount,
        may_forward,
    }
}

/// Extracts the lease request from a message. Drops its `id` and `may_forward`.
pub(crate) fn requested_lease(message: QuotaLeaseRequest) -> LeaseRequest {
    let unit = match message.unit {
        QuotaLeaseUnit::Requests => QuotaUnit::Requests,
        QuotaLeaseUnit::Tokens => QuotaUnit::Tokens,
    };
    LeaseRequest {
        tenant: message.tenant,
        unit,
        amounts: message.amounts,
        prefetch_amount: message.prefetch_amount,
    }
}

/// Builds the response to the lease request with this id.
pub(crate) fn response_message(id: u64, grant: LeaseGrant) -> QuotaLeaseResponse {
    QuotaLeaseResponse {
        id,
        granted_bits: grant.granted_bits,
        prefetch_amount: grant.prefetch_amount,
        retry_after_us: grant.retry_after_us,
    }
}

/// Extracts the grant from a response.
pub(crate) fn granted_lease(response: &QuotaLeaseResponse) -> LeaseGrant {
    LeaseGrant {
        granted_bits: response.granted_bits,
        prefetch_amount: response.prefetch_amount,
        retry_after_us: response.retry_after_us,
    }
}

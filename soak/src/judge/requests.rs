//! Responses and executions of requests that break the protocol.

use super::executions::Executions;
use crate::bounds::{CONFIG_APPLY, CONTACT, DRAIN_TIMEOUT};
use crate::journal::{ClientRequest, FaultKind, InjectedFault, Journal, RequestEnd, ServerRecord};
use crate::violation::Violation;
use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_emulators::model_server::heartbeat::ServerReport;
use lichenswitch_emulators::model_server::{Entry, Event};
use std::collections::BTreeSet;
use std::time::Duration;

/// Statuses that promise that the request has not run and never will.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What of a response breaks the protocol.
pub(super) fn wrong_responses(request: &ClientRequest) -> impl Iterator<Item = Violation> + '_ {
    request
        .faults
        .iter()
        .map(|fault| Violation::InvalidResponse(request.attempt.clone(), fault.clone()))
}

/// The violation, if a request that is not idempotent ran too often, or against a promise.
pub(super) fn wrong_execution(
    executions: &Executions,
    request: &ClientRequest,
) -> Option<Violation> {
    let run_count = executions
        .get(&request.attempt)
        .map_or(0, |execution| execution.run_count);
    match request.end {
        _ if request.idempotent => None,
        _ if run_count > 1 => Some(Violation::RanTwice(request.attempt.clone(), run_count)),
        RequestEnd::Responded(status)
            if run_count > 0 && NOT_EXECUTED_STATUSES.contains(&status) =>
        {
            Some(Violation::RejectedAndRan(request.attempt.clone(), status))
        }
        _ => None,
    }
}

/// The violation, if a server was told another tenant than the one whose key the request bore.
pub(super) fn wrong_tenant(executions: &Executions, request: &ClientRequest) -> Option<Violation> {
    let execution = executions.get(&request.attempt)?;
    let told = execution
        .tenants
        .iter()
        .find(|told| **told != request.tenant)?;
    Some(Violation::WrongTenant {
        attempt: request.attempt.clone(),
        tenant: request.tenant.clone(),
        told: told.clone(),
    })
}

/// The violation, if a request was refused for its key. Keys never change on a day.
pub(super) fn refused_key(request: &ClientRequest) -> Option<Violation> {
    let is_refused = request.tenant.is_some() && request.end == RequestEnd::Responded(401);
    is_refused.then(|| Violation::KeyRefused(request.attempt.clone()))
}

/// The violation, if a route was not found that had been acknowledged for `configApplyMs`, with no
/// unplanned fault near.
pub(super) fn missing_route(journal: &Journal, request: &ClientRequest) -> Option<Violation> {
    let acknowledged = request.route_acknowledged_at?;
    let is_not_found = request.end == RequestEnd::Responded(404);
    let is_late = request.sent > acknowledged + CONFIG_APPLY;
    let contact_from = request.sent.saturating_sub(CONTACT);
    if !is_not_found || !is_late || journal.has_unplanned_fault(contact_from, request.ended) {
        return None;
    }
    Some(Violation::RouteNotFound {
        attempt: request.attempt.clone(),
        machine: request.machine,
        sent: request.sent,
        acknowledged,
    })
}

/// Executions of what no client sent.
pub(super) fn executions_without_request(journal: &Journal) -> Vec<Violation> {
    let sent: BTreeSet<&str> = journal
        .client_requests
        .iter()
        .map(|request| request.attempt.as_str())
        .collect();
    journal
        .servers
        .iter()
        .flat_map(|server| &server.entries)
        .filter(|entry| entry.event == Event::Started && !sent.contains(entry.attempt.as_str()))
        .map(|entry| Violation::RunWithoutRequest(entry.attempt.clone()))
        .collect()
}

/// Requests that reached a server later than `drainTimeoutMs` after it was acknowledged that it
/// leaves.
pub(super) fn arrivals_after_drain(journal: &Journal, server: &ServerRecord) -> Vec<Violation> {
    let is_acknowledged_departure = |entry: &&Entry| {
        matches!(
            entry.event,
            Event::Acknowledged(ServerReport::Draining(_) | ServerReport::Deregister, _)
        )
    };
    let departure = server.entries.iter().find(is_acknowledged_departure);
    let Some(acknowledged) = departure.map(|entry| entry.at) else {
        return Vec::new();
    };
    let misdirected: BTreeSet<&str> = server
        .entries
        .iter()
        .filter(|entry| entry.event == Event::Rejected(421))
        .map(|entry| entry.attempt.as_str())
        .collect();
    let is_late = |entry: &&Entry| {
        matches!(entry.event, Event::Arrived(_))
            && entry.at > acknowledged + DRAIN_TIMEOUT
            && !misdirected.contains(entry.attempt.as_str())
            && router_had_contact(journal, &entry.attempt, server.started + entry.at)
    };
    let violation = |entry: &Entry| Violation::ArrivedAfterDrain {
        attempt: entry.attempt.clone(),
        instance: server.instance.clone(),
        late: entry.at.saturating_sub(acknowledged),
    };
    server
        .entries
        .iter()
        .filter(is_late)
        .map(violation)
        .collect()
}

/// Whether the router that forwarded a request had contact: there was no fault of it, and no
/// unplanned one of any control machine, for `contactMs`. Planned work on control machines is no
/// excuse here: each hands over what it knows before it ends.
fn router_had_contact(journal: &Journal, attempt: &str, at: Duration) -> bool {
    let Some(request) = journal
        .client_requests
        .iter()
        .find(|request| request.attempt == attempt)
    else {
        return true;
    };
    let breaks_contact = |fault: &InjectedFault| {
        let (role, machine) = fault.target;
        let concerns_router = match role {
            Role::Router => machine == request.machine && fault.kind != FaultKind::HungUp,
            Role::Control => !fault.kind.is_planned(),
        };
        concerns_router && fault.from <= at && fault.to.saturating_add(CONTACT) >= at
    };
    !journal.faults.iter().any(breaks_contact)
}

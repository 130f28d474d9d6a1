//! Requests that were sent completely and got no complete response.

use super::executions::{Execution, Executions};
use crate::bounds::{CONFIG_APPLY, CONTACT, GRACE, LOSS_MARGIN};
use crate::journal::{ClientRequest, FaultKind, InjectedFault, Journal, OrderRecord, RequestEnd};
use crate::violation::{PlannedWork, Violation};
use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_emulators::operator::Outcome;
use std::time::Duration;

/// A request that ends this shortly before its time limit has used it up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// After its acknowledgement a configuration explains a loss for so long.
const CONFIGURATION_WINDOW: Duration = CONFIG_APPLY.saturating_add(Duration::from_secs(1));
/// SIGTERM explains a loss for so long.
const TERMINATION_WINDOW: Duration = GRACE.saturating_add(Duration::from_secs(1));
/// A request sent so soon after SIGTERM may be cut off in the last sixth of the grace.
const SENT_EARLY: Duration = Duration::from_secs(3);
/// The share of the grace before its last sixth.
const LATE_GRACE_SHARE: f64 = 5.0 / 6.0;
/// A signal reaches its process within this; what was sent before that, the process accepted
/// without knowing of it.
const SIGNAL_DELIVERY: Duration = Duration::from_millis(20);

/// The violation, if this request was lost and the rules don't excuse it.
pub(super) fn lost_request(
    journal: &Journal,
    executions: &Executions,
    request: &ClientRequest,
) -> Option<Violation> {
    let end = match request.end {
        RequestEnd::Responded(_) | RequestEnd::Abandoned => return None,
        RequestEnd::Truncated => "a cut answer",
        RequestEnd::NoResponse => "a closed connection",
        RequestEnd::TimedOut => "silence",
    };
    let execution = executions.get(&request.attempt);
    let duration = request.duration();
    let crossed_the_end = execution.is_none_or(|e| !e.arrived) && duration <= LOSS_MARGIN;
    let reached_deadline = duration + DEADLINE_MARGIN >= request.time_limit;
    let aborted_by_server = execution.is_some_and(|e| e.aborted_by_server);
    let contact_from = request.sent.saturating_sub(CONTACT);
    if crossed_the_end
        || reached_deadline
        || aborted_by_server
        || journal.has_unplanned_fault(contact_from, request.ended)
    {
        return None;
    }
    Some(Violation::RequestLost {
        attempt: request.attempt.clone(),
        machine: request.machine,
        turn: request.turn,
        sent: request.sent,
        ended: request.ended,
        end,
        planned_work: planned_work(journal, execution, request)?,
    })
}

/// What SIGTERM of its router says of a lost request.
enum Termination {
    /// It explains nothing: it came too long before.
    Over,
    /// The loss counts.
    Counts,
    /// The loss is excused, whatever else happened.
    Excused,
    /// The loss is excused unless a change of the configuration explains it: that rule knows no
    /// such excuse.
    ExcusedBesideConfiguration,
}

/// The planned work beside which a request was lost; `None`: the rules excuse it.
fn planned_work(
    journal: &Journal,
    execution: Option<&Execution>,
    request: &ClientRequest,
) -> Option<PlannedWork> {
    let of_its_router = journal.faults.iter().filter(|fault| {
        fault.target == (Role::Router, request.machine) && fault.from <= request.ended
    });
    let (mut is_excused, mut found) = (false, None);
    for fault in of_its_router {
        match fault.kind {
            FaultKind::Terminated => match termination(fault, execution, request) {
                Termination::Over => {}
                Termination::Counts => {
                    return Some(PlannedWork::Termination(
                        request.ended.saturating_sub(fault.from),
                    ))
                }
                Termination::Excused => return None,
                Termination::ExcusedBesideConfiguration => is_excused = true,
            },
            FaultKind::HungUp if request.sent <= fault.from + CONFIG_APPLY => {
                found = Some(PlannedWork::HangUp);
            }
            _ => {}
        }
    }
    let is_beside_configuration = journal
        .orders
        .iter()
        .any(|order| may_apply_during(order, request));
    if found.is_none() && is_beside_configuration {
        let is_early = request.duration().mul_f64(10.0) < request.time_limit.mul_f64(7.0);
        return is_early.then_some(PlannedWork::Configuration);
    }
    found.or((!is_excused).then_some(PlannedWork::Nothing))
}

fn termination(
    fault: &InjectedFault,
    execution: Option<&Execution>,
    request: &ClientRequest,
) -> Termination {
    if request.ended.saturating_sub(fault.from) > TERMINATION_WINDOW {
        Termination::Over
    } else if !is_late_work(fault.from, execution, request) {
        Termination::Counts
    } else if request.sent <= fault.from + SIGNAL_DELIVERY {
        // The router could not know when it accepted the request that it would not end in the grace.
        Termination::Excused
    } else {
        Termination::ExcusedBesideConfiguration
    }
}

/// Whether a server was still at work in the last sixth of the grace on a request that was sent in
/// its beginning.
fn is_late_work(
    terminated_at: Duration,
    execution: Option<&Execution>,
    request: &ClientRequest,
) -> bool {
    let worked_until = execution
        .map_or(Duration::ZERO, |execution| execution.worked_until)
        .min(request.ended);
    worked_until >= terminated_at + GRACE.mul_f64(LATE_GRACE_SHARE)
        && request.sent <= terminated_at + SENT_EARLY
}

/// Whether a configuration came into force, or may have, while a request was in flight.
fn may_apply_during(order: &OrderRecord, request: &ClientRequest) -> bool {
    let is_rejected = order
        .outcomes
        .iter()
        .any(|outcome| matches!(outcome, Outcome::OtherVersion));
    let applied_at = order
        .acknowledged
        .map_or(Duration::MAX, |at| at + CONFIGURATION_WINDOW);
    !is_rejected && order.sent <= request.ended && applied_at >= request.sent
}

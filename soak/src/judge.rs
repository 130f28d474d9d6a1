//! The judge: it reads the journal of a day and returns the rules that the day breaks. Pure.
//!
//! Where the published rules leave a choice, the stricter reading is taken: losses beside a change
//! of the configuration count without a comparison with other times, and losses beside nothing
//! count too.

mod configuration;
mod executions;
mod losses;
mod requests;

use crate::journal::Journal;
use crate::violation::Violation;
use executions::Executions;

/// All rules that the day breaks.
#[must_use]
pub fn judge(journal: &Journal) -> Vec<Violation> {
    let executions = Executions::of(journal);
    let mut violations: Vec<Violation> = journal
        .process_faults
        .iter()
        .cloned()
        .map(Violation::Process)
        .collect();
    for request in &journal.client_requests {
        violations.extend(losses::lost_request(journal, &executions, request));
        violations.extend(requests::wrong_responses(request));
        violations.extend(requests::wrong_execution(&executions, request));
        violations.extend(requests::missing_route(journal, request));
        violations.extend(requests::wrong_tenant(&executions, request));
        violations.extend(requests::refused_key(request));
    }
    violations.extend(requests::executions_without_request(journal));
    violations.extend(
        journal
            .servers
            .iter()
            .flat_map(|server| requests::arrivals_after_drain(journal, server)),
    );
    violations.extend(configuration::wrong_orders(journal));
    violations.extend(configuration::stale_reads(journal));
    violations.extend(configuration::lost_configurations(journal));
    violations
}

//! What the model servers saw of each request.

use crate::journal::{Journal, ServerRecord};
use lichenswitch_emulators::model_server::{Event, Fault};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the model servers saw of one request.
#[derive(Default)]
pub(super) struct Execution {
    /// How often it was run.
    pub(super) run_count: usize,
    /// Whether it reached a server.
    pub(super) arrived: bool,
    /// The `Tenant` of each send that reached a server.
    pub(super) tenants: Vec<Option<String>>,
    /// Whether a server ended it without a complete response.
    pub(super) aborted_by_server: bool,
    /// When the last server stopped work on it.
    pub(super) worked_until: Duration,
}

/// What the model servers saw of each request, by its `Attempt-Id`.
pub(super) struct Executions(BTreeMap<String, Execution>);

impl Executions {
    pub(super) fn of(journal: &Journal) -> Executions {
        let mut executions = Executions(BTreeMap::new());
        for server in &journal.servers {
            executions.add(server);
        }
        executions
    }

    /// What is known of a request; `None`: no server saw it.
    pub(super) fn get(&self, attempt: &str) -> Option<&Execution> {
        self.0.get(attempt)
    }

    fn add(&mut self, server: &ServerRecord) {
        let mut running: BTreeSet<&str> = BTreeSet::new();
        for entry in server.entries.iter().filter(|e| !e.attempt.is_empty()) {
            let execution = self.0.entry(entry.attempt.clone()).or_default();
            let at = server.started + entry.at;
            match entry.event {
                Event::Arrived(ref head) => {
                    execution.arrived = true;
                    let tenant = head.field("tenant").map(str::to_owned);
                    execution.tenants.push(tenant);
                }
                Event::Started => {
                    execution.run_count += 1;
                    running.insert(&entry.attempt);
                }
                Event::FaultApplied(fault) => {
                    execution.aborted_by_server |= !responds_completely(fault);
                }
                Event::Responded(_) | Event::Aborted => {
                    execution.worked_until = execution.worked_until.max(at);
                    running.remove(entry.attempt.as_str());
                    let was_stopped = server.stopped.is_some_and(|stopped| stopped <= at);
                    execution.aborted_by_server |= entry.event == Event::Aborted && was_stopped;
                }
                _ => {}
            }
        }
        for attempt in running {
            // The server works on it to the end of the day, or stopped with it.
            let execution = self.0.entry(attempt.to_owned()).or_default();
            execution.aborted_by_server |= server.stopped.is_some();
            execution.worked_until = server.stopped.unwrap_or(Duration::MAX);
        }
    }
}

/// Whether a server with this fault sends a complete response all the same.
fn responds_completely(fault: Fault) -> bool {
    matches!(
        fault,
        Fault::ExtraResponse
            | Fault::ExtraBytes
            | Fault::LateResponse
            | Fault::NoLength
            | Fault::EarlyResponse(_)
            | Fault::Rejected(_)
            | Fault::Failed(_)
    )
}

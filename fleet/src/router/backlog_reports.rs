//! Backlogs at servers that this router causes, and what of them was reported to control last.
//!
//! It promises that nothing is sent while nothing changes.

use super::request_table::{RequestPhase, RequestState};
use lichenswitch_backlog::Backlog;
use lichenswitch_interface::{ServerId, Time};
use lichenswitch_messages::ServerBacklog;
use std::collections::BTreeMap;

/// The state of reports to control.
#[derive(Debug, Default)]
pub(crate) struct BacklogReports {
    /// The backlogs that control knows of (tokens).
    pub last_reported: BTreeMap<ServerId, Backlog>,
    /// A timer for the next report is set.
    pub is_scheduled: bool,
    /// When the last report was due.
    pub last_report_at: Time,
}

impl BacklogReports {
    /// Backlogs that differ from what was reported last, which they replace.
    pub(crate) fn take_changes(&mut self, now: BTreeMap<ServerId, Backlog>) -> Vec<ServerBacklog> {
        let ended = self
            .last_reported
            .keys()
            .filter(|server| !now.contains_key(server))
            .map(|server| (*server, 0));
        let changed = now
            .iter()
            .map(|(s, b)| (*s, *b))
            .filter(|(s, b)| self.last_reported.get(s) != Some(b));
        let changes = ended
            .chain(changed)
            .map(|(server, tokens)| ServerBacklog {
                server: server.0,
                tokens,
            })
            .collect();
        self.last_reported = now;
        changes
    }
}

/// The backlog that these requests cause at each server (tokens): prompts of attempts that have not
/// begun to be answered.
pub(crate) fn backlogs_by_server<'a>(
    requests: impl Iterator<Item = &'a RequestState>,
) -> BTreeMap<ServerId, Backlog> {
    let mut sums = BTreeMap::new();
    for request in requests.filter(|request| !matches!(request.phase, RequestPhase::Relaying(_))) {
        for attempt in &request.in_flight {
            let sum: &mut Backlog = sums.entry(attempt.server).or_default();
            *sum = sum.saturating_add(request.client_request.prompt.uncached_tokens);
        }
    }
    sums
}

#[cfg(test)]
mod tests;

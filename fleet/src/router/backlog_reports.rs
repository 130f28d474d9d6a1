//! What waits at servers for this router, and what of it control was sent last.
//!
//! It promises that nothing is sent while nothing changes.

use super::request_table::{RequestPhase, RequestState};
use lichenswitch_backlog::Backlog;
use lichenswitch_interface::{ServerId, Time};
use lichenswitch_messages::ServerBacklog;
use std::collections::BTreeMap;

/// What control was told last.
#[derive(Debug, Default)]
pub(crate) struct BacklogReports {
    pub(crate) last_reported: BTreeMap<ServerId, Backlog>,
    /// A report is due at a set time.
    pub(crate) is_scheduled: bool,
    pub(crate) last_report_at: Time,
}

impl BacklogReports {
    /// Servers whose backlog is another than control was told, with what it is; control is told of
    /// them now.
    pub(crate) fn take_changes(&mut self, now: BTreeMap<ServerId, Backlog>) -> Vec<ServerBacklog> {
        let gone = self
            .last_reported
            .keys()
            .filter(|server| !now.contains_key(server))
            .map(|server| (*server, 0));
        let other = now
            .iter()
            .map(|(s, b)| (*s, *b))
            .filter(|(s, b)| self.last_reported.get(s) != Some(b));
        let changes = gone
            .chain(other)
            .map(|(server, tokens)| ServerBacklog {
                server: server.0,
                tokens,
            })
            .collect();
        self.last_reported = now;
        changes
    }
}

/// What waits at each server.
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

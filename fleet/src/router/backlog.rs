//! What waits at servers for this router, as it is told to control.
//!
//! It promises that a report says of each server what is held in the table of requests at that
//! moment, and that nothing is sent while nothing changes.

use super::exchange::{Exchange, Phase};
use super::program::Timer;
use super::Router;
use lichenswitch_backlog::Backlog;
use lichenswitch_interface::{Micros, ServerId, Time};
use lichenswitch_messages::{BacklogReport, ServerBacklog};
use std::collections::BTreeMap;

/// Between two reports at the least (microseconds).
const REPORT_INTERVAL: Micros = 20_000;

/// What control was told last.
#[derive(Debug, Default)]
pub(super) struct BacklogReports {
    told: BTreeMap<ServerId, Backlog>,
    /// A report is due at a set time.
    planned: bool,
    last: Time,
}

impl BacklogReports {
    /// Servers whose backlog is another than control was told, with what it is; control is told of
    /// them now.
    fn changes(&mut self, now: BTreeMap<ServerId, Backlog>) -> Vec<ServerBacklog> {
        let gone = self
            .told
            .keys()
            .filter(|server| !now.contains_key(server))
            .map(|server| (*server, 0));
        let other = now
            .iter()
            .map(|(s, b)| (*s, *b))
            .filter(|(s, b)| self.told.get(s) != Some(b));
        let changes = gone
            .chain(other)
            .map(|(server, tokens)| ServerBacklog {
                server: server.0,
                tokens,
            })
            .collect();
        self.told = now;
        changes
    }
}

impl Router {
    /// Something was sent to a server: control is to be told soon.
    pub(super) fn plan_backlog_report(&mut self) {
        if !std::mem::replace(&mut self.backlog_reports.planned, true) {
            let due = self
                .backlog_reports
                .last
                .plus(REPORT_INTERVAL)
                .max(self.net.clock.now());
            self.net.wheel.set(due, Timer::Backlog);
        }
    }

    /// Tells control what waits, where that has changed.
    pub(super) fn report_backlog(&mut self) {
        self.backlog_reports.planned = false;
        self.backlog_reports.last = self.net.clock.now();
        let waits = backlogs(self.exchanges.iter());
        // What waits may end at any time, and control may come back.
        let goes_on = !waits.is_empty();
        if self.link.is_greeted() {
            let servers = self.backlog_reports.changes(waits);
            if !servers.is_empty() {
                self.link.send_backlog_report(
                    &mut self.net,
                    &BacklogReport {
                        is_complete: false,
                        servers,
                    },
                );
            }
        }
        if goes_on {
            self.plan_backlog_report();
        }
    }

    /// The connection to control is gone: what came on it may be out of date, and the next control
    /// machine knows nothing of this router.
    pub(super) fn on_backlog_link_lost(&mut self) {
        self.services.forget_backlogs();
        self.backlog_reports.told.clear();
        self.plan_backlog_report();
    }
}

/// What waits at each server.
fn backlogs<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> BTreeMap<ServerId, Backlog> {
    let mut sums = BTreeMap::new();
    for exchange in exchanges.filter(|exchange| !matches!(exchange.phase, Phase::Relaying(_))) {
        for out in &exchange.out {
            let sum: &mut Backlog = sums.entry(out.server).or_default();
            *sum = sum.saturating_add(exchange.request.prompt.own_tokens);
        }
    }
    sums
}

#[cfg(test)]
mod tests;

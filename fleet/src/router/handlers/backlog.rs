//! Reports to control of what waits at servers for this router.

use crate::router::backlog_reports::backlogs_by_server;
use crate::router::reactor::Timer;
use crate::router::state::Router;
use lichenswitch_interface::Micros;
use lichenswitch_messages::BacklogReport;

/// Shortest time between two reports (microseconds).
const REPORT_INTERVAL_US: Micros = 20_000;

impl Router {
    /// Schedules a report, unless one is scheduled: an attempt was started.
    pub(super) fn schedule_backlog_report(&mut self) {
        if !std::mem::replace(&mut self.backlog_reports.is_scheduled, true) {
            let due = self
                .backlog_reports
                .last_report_at
                .plus(REPORT_INTERVAL_US)
                .max(self.net.clock.now());
            self.net.wheel.set(due, Timer::BacklogReport);
        }
    }

    /// Reports to control the backlogs that have changed.
    pub(super) fn report_backlog(&mut self) {
        self.backlog_reports.is_scheduled = false;
        self.backlog_reports.last_report_at = self.net.clock.now();
        let backlogs = backlogs_by_server(self.requests.iter());
        // Attempts may end at any time, and control may come back.
        let is_any_waiting = !backlogs.is_empty();
        if self.control_link.is_handshake_sent() {
            let servers = self.backlog_reports.take_changes(backlogs);
            if !servers.is_empty() {
                self.control_link.send_backlog_report(
                    &mut self.net,
                    &BacklogReport {
                        is_complete: false,
                        servers,
                    },
                );
            }
        }
        if is_any_waiting {
            self.schedule_backlog_report();
        }
    }

    /// The connection to control is lost: backlogs of other routers may be outdated, and the next
    /// control machine knows nothing of this router's.
    pub(super) fn on_backlog_link_lost(&mut self) {
        self.services.forget_backlogs();
        self.backlog_reports.last_reported.clear();
        self.schedule_backlog_report();
    }
}

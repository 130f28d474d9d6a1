//! Reports to control of what waits at servers for this router.

use crate::router::backlog_reports::backlogs;
use crate::router::reactor::Timer;
use crate::router::state::Router;
use lichenswitch_interface::Micros;
use lichenswitch_messages::BacklogReport;

/// Between two reports at the least (microseconds).
pub(crate) const REPORT_INTERVAL_US: Micros = 20_000;

impl Router {
    /// Something was sent to a server: control is to be told soon.
    pub(crate) fn schedule_backlog_report(&mut self) {
        if !std::mem::replace(&mut self.backlog_reports.planned, true) {
            let due = self
                .backlog_reports
                .last
                .plus(REPORT_INTERVAL_US)
                .max(self.net.clock.now());
            self.net.wheel.set(due, Timer::BacklogReport);
        }
    }

    /// Tells control what waits, where that has changed.
    pub(crate) fn report_backlog(&mut self) {
        self.backlog_reports.planned = false;
        self.backlog_reports.last = self.net.clock.now();
        let waits = backlogs(self.requests.iter());
        // What waits may end at any time, and control may come back.
        let continues_after = !waits.is_empty();
        if self.control_link.is_handshake_sent() {
            let servers = self.backlog_reports.changes(waits);
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
        if continues_after {
            self.schedule_backlog_report();
        }
    }

    /// The connection to control is gone: what came on it may be out of date, and the next control
    /// machine knows nothing of this router.
    pub(crate) fn on_backlog_link_lost(&mut self) {
        self.services.forget_backlogs();
        self.backlog_reports.told.clear();
        self.schedule_backlog_report();
    }
}

//! The end of the process: SIGTERM to exit.
//!
//! It promises: not ready from the signal on; every request that was read is answered. Until the
//! platform has had time to notice, new requests are accepted, but only those whose deadline lies
//! before the end of the process, so that no response is begun which the end would abort; others are
//! rejected at once, which sends their clients to another router. The process ends as soon as nothing
//! is left, and shortly before the grace period is over in any case, with a final response for all
//! requests in hand. A stream that its client can resume elsewhere, and whose deadline lies beyond
//! the end, is aborted between two events as early as allowed, so that most of its time is left for
//! the rest.

use crate::invariants::{self, Invariant};
use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::reactor::{SocketOwner, Timer};
use crate::router::request_table::RequestPhase;
use crate::router::shutdown::{Shutdown, FINAL_RESPONSE_RESERVE};
use crate::router::state::Router;
use crate::router::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// How often a process that shuts down checks whether it has finished.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Router {
    /// Starts the shutdown. Further signals change nothing: the end is never put off.
    pub(super) fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        let now = self.net.clock.now();
        self.shutdown = Some(Shutdown::new(now, self.options.grace_period));
        self.clients.begin_shutdown();
        log::info!(requests = self.requests.len(), clients = self.clients.connection_count(); "stopping");
        self.net
            .wheel
            .set(after(now, SHUTDOWN_CHECK_INTERVAL), Timer::Shutdown);
    }

    /// Carries out the steps of the shutdown that are due.
    pub(super) fn continue_shutdown(&mut self) {
        let now = self.net.clock.now();
        let Some(mut shutdown) = self.shutdown else {
            return;
        };
        if now >= shutdown.listeners_close_at && !shutdown.are_listeners_closed {
            shutdown.are_listeners_closed = true;
            // Clients that have connected already get a response.
            self.clients.accept(&mut self.net);
            self.net.close_listeners(SocketOwner::Client);
        }
        if now >= shutdown.handover_at && !shutdown.are_requests_ended {
            self.hand_over_streams(shutdown.ends_at);
        }
        if now >= shutdown.ends_at && !shutdown.are_requests_ended {
            shutdown.are_requests_ended = true;
            self.reject_quota_waiters();
            for id in self.requests.ids() {
                self.check_accepted_is_answered(id, shutdown.started_at);
                self.end_request(id, AbortReason::Shutdown);
            }
        }
        self.shutdown = Some(shutdown);
        self.net
            .wheel
            .set(after(now, SHUTDOWN_CHECK_INTERVAL), Timer::Shutdown);
    }

    /// Aborts the streams that their clients can resume elsewhere, and that have time for it.
    fn hand_over_streams(&mut self, ends_at: Time) {
        for id in self.requests.ids() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let can_resume_elsewhere = request.terms.is_resumable && request.deadline > ends_at;
            if can_resume_elsewhere && matches!(request.phase, RequestPhase::Relaying(_)) {
                self.abort_response(id, AbortReason::ResumableElsewhere);
            }
        }
    }

    /// Checks that a request which is ended by the shutdown was received before it began, or is at its
    /// deadline.
    fn check_accepted_is_answered(&self, id: RequestId, started_at: Time) {
        let now = self.net.clock.now();
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let holds = request.received_at <= started_at || request.deadline <= now;
        invariants::check(holds, Invariant::AcceptedRequestIsFinished);
    }

    /// Whether all that was read has been answered, and no client can connect any more.
    pub(super) fn is_finished(&self) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let is_time_over = shutdown.are_requests_ended
            && self.net.clock.now() >= after(shutdown.ends_at, FINAL_RESPONSE_RESERVE / 2);
        let is_empty = self.requests.is_empty() && self.quota_waiters.is_empty();
        shutdown.are_listeners_closed
            && is_empty
            && (is_time_over || self.clients.busy_count(&self.net) == 0)
    }
}

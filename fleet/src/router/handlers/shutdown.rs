//! The end of the process: SIGTERM to exit.
//!
//! It promises: not ready at once; what has been read is answered; until the platform has had time
//! to learn, new requests are taken, but only those whose time is over before this process ends, so
//! that no answer is begun which the end would cut off; the others are refused at once, which sends
//! their clients to another router. The process ends as soon as nothing is left, and shortly before
//! the grace is over in any case, with a final answer for all that it held when it was told. A
//! stream that its client may go on with elsewhere, and whose time reaches beyond that, is cut
//! between two events as early as may be, so that as much as can be of its time is left for the
//! rest.

use crate::invariants::{self, Invariant};
use crate::router::abort_reason::AbortReason;
use crate::router::ids::RequestId;
use crate::router::reactor::{SocketOwner, Timer};
use crate::router::request_table::RequestPhase;
use crate::router::shutdown::{Shutdown, FINAL_ANSWER_RESERVE};
use crate::router::state::Router;
use crate::router::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// How often a process that stops looks whether it has finished.
pub(crate) const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Router {
    /// The platform wants this process to end.
    pub(crate) fn begin_shutdown(&mut self) {
        // Guards the end: it comes in time however often it is asked for.
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

    /// Does what is due of a shutdown.
    pub(crate) fn continue_shutdown(&mut self) {
        let now = self.net.clock.now();
        let Some(mut shutdown) = self.shutdown else {
            return;
        };
        if now >= shutdown.listeners_close_at && !shutdown.are_listeners_closed {
            shutdown.are_listeners_closed = true;
            // Who has connected already is served or told.
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

    /// Cuts the streams that their clients may go on with elsewhere, and that have time for it.
    fn hand_over_streams(&mut self, ends: Time) {
        for id in self.requests.ids() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            let continues_after = request.terms.resumable && request.deadline > ends;
            if continues_after && matches!(request.phase, RequestPhase::Relaying(_)) {
                self.abort_response(id, AbortReason::HandedOver);
            }
        }
    }

    /// Of what is held still, all was in hand when the signal came; but for what is over at this
    /// very moment.
    fn check_accepted_is_answered(&self, id: RequestId, began: Time) {
        let now = self.net.clock.now();
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let holds = request.received_at <= began || request.deadline <= now;
        invariants::check(holds, Invariant::TakenIsFinished);
    }

    /// Whether all that was read has been answered, and nobody new can come.
    pub(crate) fn is_finished(&self) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let over = shutdown.are_requests_ended
            && self.net.clock.now() >= after(shutdown.ends_at, FINAL_ANSWER_RESERVE / 2);
        let empty = self.requests.is_empty() && self.quota_waiters.is_empty();
        shutdown.are_listeners_closed && empty && (over || self.clients.busy_count(&self.net) == 0)
    }
}

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
use crate::router::shutdown::{Shutdown, RESERVE};
use crate::router::state::Router;
use crate::router::time::after;
use lichenswitch_interface::Time;
use std::time::Duration;

/// How often a process that stops looks whether it has finished.
pub(crate) const LOOK: Duration = Duration::from_millis(100);

impl Router {
    /// The platform wants this process to end.
    pub(crate) fn stop(&mut self) {
        // Guards the end: it comes in time however often it is asked for.
        if self.shutdown.is_some() {
            return;
        }
        let now = self.net.clock.now();
        self.shutdown = Some(Shutdown::new(now, self.options.grace));
        self.clients.stop();
        log::info!(requests = self.exchanges.len(), clients = self.clients.count(); "stopping");
        self.net.wheel.set(after(now, LOOK), Timer::Shutdown);
    }

    /// Does what is due of a shutdown.
    pub(crate) fn go_on_stopping(&mut self) {
        let now = self.net.clock.now();
        let Some(mut shutdown) = self.shutdown else {
            return;
        };
        if now >= shutdown.closes && !shutdown.closed {
            shutdown.closed = true;
            // Who has connected already is served or told.
            self.clients.accept(&mut self.net);
            self.net.close_listeners(SocketOwner::Client);
        }
        if now >= shutdown.hands_over && !shutdown.ended {
            self.hand_streams_over(shutdown.ends);
        }
        if now >= shutdown.ends && !shutdown.ended {
            shutdown.ended = true;
            self.refuse_awaiting_quota();
            for id in self.exchanges.ids() {
                self.check_finished(id, shutdown.began);
                self.end_now(id, AbortReason::Shutdown);
            }
        }
        self.shutdown = Some(shutdown);
        self.net.wheel.set(after(now, LOOK), Timer::Shutdown);
    }

    /// Cuts the streams that their clients may go on with elsewhere, and that have time for it.
    fn hand_streams_over(&mut self, ends: Time) {
        for id in self.exchanges.ids() {
            let Some(exchange) = self.exchanges.get(id) else {
                continue;
            };
            let goes_on = exchange.terms.resumable && exchange.deadline > ends;
            if goes_on && matches!(exchange.phase, RequestPhase::Relaying(_)) {
                self.cut(id, AbortReason::HandedOver);
            }
        }
    }

    /// Of what is held still, all was in hand when the signal came; but for what is over at this
    /// very moment.
    fn check_finished(&self, id: RequestId, began: Time) {
        let now = self.net.clock.now();
        let Some(exchange) = self.exchanges.get(id) else {
            return;
        };
        let holds = exchange.taken <= began || exchange.deadline <= now;
        invariants::check(holds, Invariant::TakenIsFinished);
    }

    /// Whether all that was read has been answered, and nobody new can come.
    pub(crate) fn is_finished(&self) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let over = shutdown.ended && self.net.clock.now() >= after(shutdown.ends, RESERVE / 2);
        let empty = self.exchanges.is_empty() && self.awaiting_quota.is_empty();
        shutdown.closed && empty && (over || self.clients.busy(&self.net) == 0)
    }
}

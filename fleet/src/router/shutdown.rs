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

use super::cut::CutReason;
use super::exchange::Phase;
use super::ids::ExchangeId;
use super::program::{after, Owner, Timer};
use super::Router;
use crate::invariants::{self, Invariant};
use lichenswitch_interface::Time;
use std::time::Duration;

/// The platform asks each second and acts on the second miss: after this long it sends nobody new.
const LISTEN_ON: Duration = Duration::from_millis(3_000);
/// So long before the grace is over everything still held gets its final answer.
const RESERVE: Duration = Duration::from_millis(600);
/// Part of the grace after which a stream may be cut: before it, it counts as lost.
const CUT_FROM: f64 = 5.0 / 6.0;
/// So long after that a stream is cut (the signal may have been sent a little before it was heard).
const CUT_MARGIN: Duration = Duration::from_millis(30);
/// How often a process that stops looks whether it has finished.
const LOOK: Duration = Duration::from_millis(100);

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shutdown {
    /// When the process was told.
    began: Time,
    /// Listeners close then. Connections that rest are kept to the end of the process: a request
    /// that crosses their end would have been read for nothing.
    closes: Time,
    /// Streams that may go on elsewhere, and can't end here, are cut from then on.
    hands_over: Time,
    /// All that is still held ends then.
    ends: Time,
    closed: bool,
    /// Everything has been ended; only bytes are still to be written.
    ended: bool,
}

impl Shutdown {
    /// Of a process that is told now that it is killed after the grace.
    #[must_use]
    pub(super) fn new(now: Time, grace: Duration) -> Shutdown {
        let reserve = RESERVE.min(grace / 4);
        let ends = after(now, grace.saturating_sub(reserve));
        Shutdown {
            began: now,
            closes: after(now, LISTEN_ON.min(grace / 2)),
            hands_over: after(now, grace.mul_f64(CUT_FROM) + CUT_MARGIN).min(ends),
            ends,
            closed: false,
            ended: false,
        }
    }

    /// When the process was told to end.
    #[must_use]
    pub(super) fn began(&self) -> Time {
        self.began
    }

    /// Whether a request is still taken whose time is over at this deadline.
    #[must_use]
    pub(super) fn takes(&self, now: Time, deadline: Time) -> bool {
        now < self.closes && deadline <= self.ends
    }
}

impl Router {
    /// The platform wants this process to end.
    pub(super) fn stop(&mut self) {
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
    pub(super) fn go_on_stopping(&mut self) {
        let now = self.net.clock.now();
        let Some(mut shutdown) = self.shutdown else {
            return;
        };
        if now >= shutdown.closes && !shutdown.closed {
            shutdown.closed = true;
            // Who has connected already is served or told.
            self.clients.accept(&mut self.net);
            self.net.close_listeners(Owner::Client);
        }
        if now >= shutdown.hands_over && !shutdown.ended {
            self.hand_streams_over(shutdown.ends);
        }
        if now >= shutdown.ends && !shutdown.ended {
            shutdown.ended = true;
            self.refuse_awaiting_quota();
            for id in self.exchanges.ids() {
                self.check_finished(id, shutdown.began);
                self.end_now(id, CutReason::Shutdown);
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
            if goes_on && matches!(exchange.phase, Phase::Relaying(_)) {
                self.cut(id, CutReason::HandedOver);
            }
        }
    }

    /// Of what is held still, all was in hand when the signal came; but for what is over at this
    /// very moment.
    fn check_finished(&self, id: ExchangeId, began: Time) {
        let now = self.net.clock.now();
        let Some(exchange) = self.exchanges.get(id) else {
            return;
        };
        let holds = exchange.taken <= began || exchange.deadline <= now;
        invariants::check(holds, Invariant::TakenIsFinished);
    }

    /// Whether all that was read has been answered, and nobody new can come.
    pub(super) fn is_finished(&self) -> bool {
        let Some(shutdown) = self.shutdown else {
            return false;
        };
        let over = shutdown.ended && self.net.clock.now() >= after(shutdown.ends, RESERVE / 2);
        let empty = self.exchanges.is_empty() && self.awaiting_quota.is_empty();
        shutdown.closed && empty && (over || self.clients.busy(&self.net) == 0)
    }
}

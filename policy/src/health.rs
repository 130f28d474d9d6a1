//! Health of servers: what is held against each, and against the way to its zone.

use crate::tuned::*;
use crate::Coordinator;
use lichenswitch_interface::{Action, Micros, Outcome, ServerId};
use lichenswitch_stats::{Aged, Flight};

impl Coordinator {
    /// Whether an attempt of a class at a server will end well and in time, as the faded share of
    /// bad ends. Errors and silence count by class, silence half for the others, what befalls the
    /// connection for all. Guards against servers that fail, hang, stall, slow down, lose answers
    /// or connections, for one class or all, or for this instance alone. It fades, so that a real
    /// part tries again. Harm: a few unlucky parts suffice; under load the slowest are passed over
    /// in turn.
    pub(super) fn judge(&mut self, flight: &Flight, end: (Outcome, Micros), out: &mut Vec<Action>) {
        let (outcome, elapsed) = end;
        let (class, all, now) = (flight.norm / 2, self.set.classes.len(), self.now);
        let (norm, took) = (self.norms[flight.norm].or(elapsed as f64), elapsed as f64);
        if let Some(s) = self.servers.get_mut(&flight.server) {
            let (ok, wait) = (outcome == Outcome::Ok, s.wait.or(norm));
            // What did not answer would have taken as long at least; a full queue is half the aim
            // long.
            let (sample, pace) = match outcome {
                Outcome::Ok => (took.min(2.0 * wait.max(norm)), WAIT_PACE),
                Outcome::Rejected => (
                    self.set.classes[class].latency_target as f64 / 2.0,
                    LEAST_PACE,
                ),
                Outcome::Timeout | Outcome::Cancelled => (took, LEAST_PACE),
                _ => (0.0, 0.0),
            };
            if ok || sample > wait {
                s.wait.add(sample, pace);
                s.depth.add(flight.depth, pace);
                s.wait_at = now;
            }
            (s.used, s.idle) = (if ok { now } else { s.used }, s.idle && !ok);
        }
        match outcome {
            Outcome::Ok => {
                self.losses[usize::from(flight.idle)].add(now, 0.0, IDLE_PACE, IDLE_HALF);
                self.answered_at = now;
                self.answered += 1;
                self.norms[flight.norm].add(took.min(3.0 * norm), NORM_PACE);
                let norm = self.norms[flight.norm].or(took);
                let bad = ((took / norm - SLOW_FROM) / (SLOW_FULL - SLOW_FROM)).clamp(0.0, 1.0);
                self.blame(flight.server, class, bad, SLOW_PACE, out);
                self.blame(flight.server, all, bad, SLOW_PACE, out);
            }
            Outcome::Error => self.blame(flight.server, class, 1.0, ERROR_PACE, out),
            Outcome::Timeout => self.silent(flight.server, class, flight.idle, out),
            Outcome::Reset if self.lost(flight.idle, RESET_PACE) => {}
            Outcome::Cancelled | Outcome::Moot => {}
            _ => self.blame(flight.server, all, 1.0, BROKEN_PACE, out),
        }
    }

    /// Time that halves what is held against a server: the less often one is met, the longer it
    /// must last.
    pub(super) fn memory(&self) -> f64 {
        let between =
            self.now.since(self.began) as f64 * self.ready as f64 / self.answered.max(1) as f64;
        (FAULT_PARTS * between).clamp(FAULT_HALF, MEMORY_MOST * FAULT_HALF)
    }

    /// What is wrong with the way to a zone, where ends are far worse than at the best zone (alike
    /// is load). Guards against slow or lossy links and lost zones where an instance has too few
    /// parts to learn each server. Harm: the other zones carry more until some seconds have passed.
    pub(super) fn way_fault(&self, zone: u32) -> f64 {
        let share = |a: &Aged| a.left(self.now, FAULT_HALF);
        let best = self.zones.values().map(share).fold(1.0, f64::min);
        let here = self.zones.get(&zone).map_or(0.0, share);
        f64::from(u8::from(here - best > ZONE_WORSE)) * here
    }

    /// Whether connections that had been idle are lost more than others: dropped unseen. They are
    /// closed before a send then (for unsafe parts always) and no server is to blame. Harm: some
    /// new connections.
    pub(super) fn reaped(&self) -> bool {
        let [used, idle] = self.losses.map(|l| l.left(self.now, IDLE_HALF));
        idle > used + IDLE_WORSE
    }

    pub(super) fn silent(&mut self, id: ServerId, class: usize, idle: bool, out: &mut Vec<Action>) {
        if !self.lost(idle, IDLE_PACE) {
            self.blame(id, class, 1.0, LATE_PACE, out);
            self.blame(id, self.set.classes.len(), 1.0, LATE_PACE / 2.0, out);
        }
    }

    /// Notes a loss, and tells whether that the connection had been idle explains it.
    pub(super) fn lost(&mut self, idle: bool, pace: f64) -> bool {
        self.losses[usize::from(idle)].add(self.now, 1.0, pace, IDLE_HALF);
        idle && self.reaped()
    }

    pub(super) fn blame(
        &mut self,
        id: ServerId,
        which: usize,
        bad: f64,
        pace: f64,
        out: &mut Vec<Action>,
    ) {
        let (now, all, half) = (self.now, self.set.classes.len(), self.memory());
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.faults.resize(all + 1, Aged::default());
        let was = s.faults[which].left(now, half);
        s.faults[which].add(now, bad, pace, half);
        if which == all {
            self.zones
                .entry(s.zone)
                .or_default()
                .add(now, bad, ZONE_PACE, FAULT_HALF);
        }
        let faulty = FAULTY[usize::from(half > FAULT_HALF)];
        let suspected = s.faults[which].left(now, half) > faulty;
        let word = if suspected {
            "suspected"
        } else {
            "trusted again"
        };
        out.extend(
            (suspected != (was > faulty)).then(|| Action::Log(format!("server {} {word}", id.0))),
        );
    }
}

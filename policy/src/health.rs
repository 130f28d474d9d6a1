//! Health of servers: faults counted against each, and against the path to its zone.

use crate::tuning::{
    BROKEN_GAIN, COMMON_TIME_GAIN, ERROR_GAIN, FAULT_HALF_LIFE, FAULT_THRESHOLD, HALF_LIFE_PARTS,
    IDLE_GAIN, IDLE_LOSS_HALF_LIFE, IDLE_LOSS_MARGIN, LATE_GAIN, LOWER_BOUND_GAIN,
    MAX_HALF_LIFE_FACTOR, RESET_GAIN, RESPONSE_TIME_GAIN, SLOW_GAIN, SLOW_MAX, SLOW_MIN,
    ZONE_FAULT_GAIN, ZONE_FAULT_MARGIN,
};
use crate::Coordinator;
use lichenswitch_interface::{Action, Micros, Outcome, ServerId};
use lichenswitch_stats::{DecayingValue, InFlightAttempt};

impl Coordinator {
    /// Whether an attempt of a class at a server will end well and in time, as the faded share of
    /// bad ends. Errors and silence count by class, silence half for the others, what befalls the
    /// connection for all. Guards against servers that fail, hang, stall, slow down, lose answers
    /// or connections, for one class or all, or for this instance alone. It fades, so that a real
    /// part tries again. Harm: a few unlucky parts suffice; under load the slowest are passed over
    /// in turn.
    pub(super) fn record_outcome(
        &mut self,
        flight: &InFlightAttempt,
        end: (Outcome, Micros),
        actions: &mut Vec<Action>,
    ) {
        let (outcome, elapsed) = end;
        let (class, all, now) = (flight.time_index / 2, self.settings.classes.len(), self.now);
        let (common, took) = (
            self.common_times[flight.time_index].value_or(elapsed as f64),
            elapsed as f64,
        );
        self.learn_response_time(flight, outcome, elapsed);
        match outcome {
            Outcome::Ok => {
                self.losses[usize::from(flight.on_idle_connection)].add(
                    now,
                    0.0,
                    IDLE_GAIN,
                    IDLE_LOSS_HALF_LIFE,
                );
                self.answered_at = now;
                self.answer_count += 1;
                self.common_times[flight.time_index].add(took.min(3.0 * common), COMMON_TIME_GAIN);
                let common = self.common_times[flight.time_index].value_or(took);
                let bad = ((took / common - SLOW_MIN) / (SLOW_MAX - SLOW_MIN)).clamp(0.0, 1.0);
                self.record_fault(flight.server, class, bad, SLOW_GAIN, actions);
                self.record_fault(flight.server, all, bad, SLOW_GAIN, actions);
            }
            Outcome::Error => self.record_fault(flight.server, class, 1.0, ERROR_GAIN, actions),
            Outcome::Timeout => {
                self.on_missing_answer(flight.server, class, flight.on_idle_connection, actions)
            }
            Outcome::Reset if self.record_loss(flight.on_idle_connection, RESET_GAIN) => {}
            Outcome::Cancelled | Outcome::NeverSent => {}
            _ => self.record_fault(flight.server, all, 1.0, BROKEN_GAIN, actions),
        }
    }

    /// Learns from an outcome how long a server takes.
    fn learn_response_time(&mut self, flight: &InFlightAttempt, outcome: Outcome, elapsed: Micros) {
        let took = elapsed as f64;
        let common = self.common_times[flight.time_index].value_or(took);
        let latency_target = self.settings.classes[flight.time_index / 2].latency_target;
        let Some(s) = self.servers.get_mut(&flight.server) else {
            return;
        };
        let (is_ok, known) = (outcome == Outcome::Ok, s.response_time.value_or(common));
        // What was not answered would have taken as long at least; a full queue is half the latency
        // target long.
        let (sample, gain) = match outcome {
            Outcome::Ok => (took.min(2.0 * known.max(common)), RESPONSE_TIME_GAIN),
            Outcome::Rejected => (latency_target as f64 / 2.0, LOWER_BOUND_GAIN),
            Outcome::Timeout | Outcome::Cancelled => (took, LOWER_BOUND_GAIN),
            _ => (0.0, 0.0),
        };
        if is_ok || sample > known {
            s.response_time.add(sample, gain);
            s.pending_at_send.add(flight.pending_at_send, gain);
            s.response_time_at = self.now;
        }
        if is_ok {
            s.last_used_at = self.now;
            s.on_idle_connection = false;
        }
    }

    /// Half-life of the faults counted against a server (microseconds): the less often a server is
    /// met, the longer they must last.
    pub(super) fn fault_half_life(&self) -> f64 {
        let between = self.now.since(self.began) as f64 * self.ready_servers as f64
            / self.answer_count.max(1) as f64;
        (HALF_LIFE_PARTS * between).clamp(FAULT_HALF_LIFE, MAX_HALF_LIFE_FACTOR * FAULT_HALF_LIFE)
    }

    /// What is wrong with the path to a zone, where ends are far worse than at the best zone (alike
    /// is load). Guards against slow or lossy links and lost zones where an instance has too few
    /// parts to learn each server. Harm: the other zones carry more until some seconds have passed.
    pub(super) fn zone_fault(&self, zone: u32) -> f64 {
        let share = |a: &DecayingValue| a.value_at(self.now, FAULT_HALF_LIFE);
        let best = self.zones.values().map(share).fold(1.0, f64::min);
        let here = self.zones.get(&zone).map_or(0.0, share);
        f64::from(u8::from(here - best > ZONE_FAULT_MARGIN)) * here
    }

    /// Whether connections that had been idle are lost more than others: dropped unseen. They are
    /// closed before a send then (for unsafe parts always) and no server is to blame. Harm: some
    /// new connections.
    pub(super) fn are_idle_connections_dropped(&self) -> bool {
        let [last_used_at, on_idle_connection] = self
            .losses
            .map(|l| l.value_at(self.now, IDLE_LOSS_HALF_LIFE));
        on_idle_connection > last_used_at + IDLE_LOSS_MARGIN
    }

    /// An attempt is late, or has timed out.
    pub(super) fn on_missing_answer(
        &mut self,
        id: ServerId,
        class: usize,
        on_idle_connection: bool,
        actions: &mut Vec<Action>,
    ) {
        if !self.record_loss(on_idle_connection, IDLE_GAIN) {
            self.record_fault(id, class, 1.0, LATE_GAIN, actions);
            self.record_fault(
                id,
                self.settings.classes.len(),
                1.0,
                LATE_GAIN / 2.0,
                actions,
            );
        }
    }

    /// Counts a loss; returns whether that the connection had been idle explains it.
    pub(super) fn record_loss(&mut self, on_idle_connection: bool, gain: f64) -> bool {
        self.losses[usize::from(on_idle_connection)].add(self.now, 1.0, gain, IDLE_LOSS_HALF_LIFE);
        on_idle_connection && self.are_idle_connections_dropped()
    }

    /// Counts a bad end (0 to 1) against a server for a class, or for all classes; logs where that
    /// makes it suspected, or trusted again.
    pub(super) fn record_fault(
        &mut self,
        id: ServerId,
        which: usize,
        bad: f64,
        gain: f64,
        actions: &mut Vec<Action>,
    ) {
        let (now, all, half) = (
            self.now,
            self.settings.classes.len(),
            self.fault_half_life(),
        );
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.faults.resize(all + 1, DecayingValue::default());
        let was = s.faults[which].value_at(now, half);
        s.faults[which].add(now, bad, gain, half);
        if which == all {
            self.zones
                .entry(s.zone)
                .or_default()
                .add(now, bad, ZONE_FAULT_GAIN, FAULT_HALF_LIFE);
        }
        let faulty = FAULT_THRESHOLD[usize::from(half > FAULT_HALF_LIFE)];
        let suspected = s.faults[which].value_at(now, half) > faulty;
        let word = if suspected {
            "suspected"
        } else {
            "trusted again"
        };
        actions.extend(
            (suspected != (was > faulty)).then(|| Action::Log(format!("server {} {word}", id.0))),
        );
    }
}

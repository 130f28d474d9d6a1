//! Health of servers and of the paths to their zones, from the outcomes of attempts.

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
    /// Updates the decayed share of faults of a server. Errors and missing answers count for their
    /// class, missing answers by half for all classes, connection faults for all. This detects
    /// servers that fail, hang, stall, slow down or lose answers or connections, for one class, for
    /// all, or for this instance alone. The share decays so that a later part tests the server
    /// again. Drawback: a few unlucky parts suffice, and under load the slowest servers are passed
    /// over in turn.
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

    /// Updates a server's recent response time from an outcome.
    fn learn_response_time(&mut self, flight: &InFlightAttempt, outcome: Outcome, elapsed: Micros) {
        let took = elapsed as f64;
        let common = self.common_times[flight.time_index].value_or(took);
        let latency_target = self.settings.classes[flight.time_index / 2].latency_target;
        let Some(s) = self.servers.get_mut(&flight.server) else {
            return;
        };
        let (is_ok, known) = (outcome == Outcome::Ok, s.response_time.value_or(common));
        // An unanswered attempt gives a lower bound. A full queue is assumed to take half the
        // latency target.
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

    /// Returns the half-life of faults (microseconds). It is longer if a server is met seldom.
    pub(super) fn fault_half_life(&self) -> f64 {
        let between = self.now.since(self.began) as f64 * self.ready_servers as f64
            / self.answer_count.max(1) as f64;
        (HALF_LIFE_PARTS * between).clamp(FAULT_HALF_LIFE, MAX_HALF_LIFE_FACTOR * FAULT_HALF_LIFE)
    }

    /// Returns the fault share of the path to a zone, or 0 if it is close to that of the best zone
    /// (equal shares indicate load). This detects slow or lossy links and lost zones when an
    /// instance has too few parts to learn about each server. Drawback: the other zones carry more
    /// load for some seconds.
    pub(super) fn zone_fault(&self, zone: u32) -> f64 {
        let share = |a: &DecayingValue| a.value_at(self.now, FAULT_HALF_LIFE);
        let best = self.zones.values().map(share).fold(1.0, f64::min);
        let here = self.zones.get(&zone).map_or(0.0, share);
        f64::from(u8::from(here - best > ZONE_FAULT_MARGIN)) * here
    }

    /// Returns whether idle connections are lost more often than others, as when a middlebox drops
    /// them silently. They are then closed before a send (for unsafe parts always), and their
    /// losses count against no server. Drawback: some additional connections.
    pub(super) fn are_idle_connections_dropped(&self) -> bool {
        let [last_used_at, on_idle_connection] = self
            .losses
            .map(|l| l.value_at(self.now, IDLE_LOSS_HALF_LIFE));
        on_idle_connection > last_used_at + IDLE_LOSS_MARGIN
    }

    /// Records that an attempt is late or has timed out.
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

    /// Records a loss. Returns whether it is explained by the connection having been idle.
    pub(super) fn record_loss(&mut self, on_idle_connection: bool, gain: f64) -> bool {
        self.losses[usize::from(on_idle_connection)].add(self.now, 1.0, gain, IDLE_LOSS_HALF_LIFE);
        on_idle_connection && self.are_idle_connections_dropped()
    }

    /// Records a fault (0 to 1) of a server for class index `which`, or for all classes if `which`
    /// is the number of classes. Logs when the server becomes suspected or trusted again.
    pub(super) fn record_fault(
        &mut self,
        id: ServerId,
        which: usize,
        bad: f64,
        gain: f64,
        actions: &mut Vec<Action>,
    ) {
        let (now, all, half_life) = (
            self.now,
            self.settings.classes.len(),
            self.fault_half_life(),
        );
        let Some(s) = self.servers.get_mut(&id) else {
            return;
        };
        s.faults.resize(all + 1, DecayingValue::default());
        let was = s.faults[which].value_at(now, half_life);
        s.faults[which].add(now, bad, gain, half_life);
        if which == all {
            self.zones
                .entry(s.zone)
                .or_default()
                .add(now, bad, ZONE_FAULT_GAIN, FAULT_HALF_LIFE);
        }
        let faulty = FAULT_THRESHOLD[usize::from(half_life > FAULT_HALF_LIFE)];
        let suspected = s.faults[which].value_at(now, half_life) > faulty;
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

//! Outcomes of attempts, and parts that became unneeded.

use crate::tuning::{
    COPY_TOKENS_PER_LOSS, COPY_USEFULNESS_GAIN, LOST_WAIT_RATIO, MAX_COPY_TOKENS,
    PENDING_LATENCY_TARGETS, POISON_BROKEN_SERVERS,
};
use crate::{AttemptId, Coordinator};
use lichenswitch_interface::{Action, Micros, Outcome, PartId, QueryId, Time};
use lichenswitch_stats::{scaled, AttemptState, InFlightAttempt, Query};

impl Coordinator {
    /// Counts an unneeded part of the current step as answered and cancels its attempts.
    pub(super) fn on_unneeded(&mut self, part: PartId, actions: &mut Vec<Action>) {
        let Some(&(id, index)) = self.parts.get(&part) else {
            return;
        };
        let present = |query: &&mut Query| query.parts[index].step == query.step;
        let Some(query) = self.queries.get_mut(&id).filter(present) else {
            return;
        };
        if std::mem::replace(&mut query.parts[index].is_answered, true) {
            return;
        }
        query.check_at = self.now;
        count_answered(query, index);
        self.cancel_attempts(id, index, actions);
    }

    /// Handles the end of an attempt.
    pub(super) fn on_finished(
        &mut self,
        id: AttemptId,
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.in_flight.remove(&id) else {
            return;
        };
        self.end_call(&flight, outcome);
        let Some(&(query, index)) = self.parts.get(&id.part) else {
            return self.record_outcome(&flight, (outcome, elapsed), actions);
        };
        // Poison also resets connections: at most two resets of a query count as idle losses.
        let breaks_servers = outcome == Outcome::Reset
            && self
                .queries
                .get(&query)
                .is_some_and(|q| q.broken_servers.len() + 1 >= POISON_BROKEN_SERVERS);
        let recorded_outcome = if breaks_servers {
            Outcome::ConnectFailed
        } else {
            outcome
        };
        self.record_outcome(&flight, (recorded_outcome, elapsed), actions);
        let now = self.now;
        let Some(q) = self.queries.get_mut(&query) else {
            return;
        };
        q.check_at = now;
        if !end_attempt(q, index, id.attempt, outcome, now) {
            return;
        }
        if outcome == Outcome::Reset && !(breaks_servers && flight.on_idle_connection) {
            q.sends_one_part_ahead |= !q.has_answer;
            q.broken_servers.insert(flight.server);
        }
        let part = &q.parts[index];
        if part.step == q.step && !part.is_answered && part.in_flight().next().is_none() {
            q.checks.set_idle(index);
        }
        if outcome == Outcome::Ok && !q.parts[index].is_answered {
            self.on_answered(query, index, id.attempt, elapsed, actions);
        }
    }

    /// Removes an attempt from its call. The call stays pending if the server may still work on it.
    fn end_call(&mut self, flight: &InFlightAttempt, outcome: Outcome) {
        let class = &self.settings.classes[flight.time_index / 2];
        let pending_until = self
            .now
            .plus(scaled(class.latency_target, PENDING_LATENCY_TARGETS));
        let Some(server) = self.servers.get_mut(&flight.server) else {
            return;
        };
        if let Some(call) = server.calls.iter_mut().find(|c| c.id == flight.call_id) {
            call.in_flight_parts = call.in_flight_parts.saturating_sub(1);
            if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
                call.pending_until = Some(pending_until);
            }
        }
        if outcome == Outcome::Ok || outcome == Outcome::Error {
            let sent = flight.sent_at;
            server.newest_answered_send = server.newest_answered_send.max(sent);
            server.calls.retain_mut(|c| {
                c.pending_until = c.pending_until.filter(|_| c.sent_at > sent);
                c.in_flight_parts > 0 || c.pending_until.is_some()
            });
        }
    }

    /// Handles the first answer of a part.
    ///
    /// Useful copies earn more copies. This covers faults that affect more parts than may be copied
    /// (hung servers, lost answers, an unanswered class, a cut path) and limits copies in an
    /// overload, where the first attempt answers as soon and the share of copies falls. Drawback:
    /// uneven load causes more duplicate work, and the first parts of a new fault wait for its
    /// proof.
    fn on_answered(
        &mut self,
        id: QueryId,
        index: usize,
        attempt: u16,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        (query.sends_one_part_ahead, query.has_answer) = (false, true);
        query.parts[index].is_answered = true;
        if query.parts[index].step == query.step {
            count_answered(query, index);
        }
        let part = &query.parts[index];
        let first = &part.attempts[0];
        let first_in_flight = first.state == AttemptState::InFlight;
        let waited = part.attempts[usize::from(attempt)]
            .sent_at
            .since(first.sent_at);
        let first_was_lost = first_in_flight && elapsed as f64 * LOST_WAIT_RATIO < waited as f64;
        if part.attempts.len() > 1 && (attempt == 0 || first_in_flight) {
            self.copy_usefulness
                .add(f64::from(u8::from(first_was_lost)), COPY_USEFULNESS_GAIN);
            let earned = if first_was_lost {
                COPY_TOKENS_PER_LOSS
            } else {
                0.0
            };
            self.copy_tokens = (self.copy_tokens + earned).min(MAX_COPY_TOKENS);
        }
        self.cancel_attempts(id, index, actions);
    }

    /// Cancels the attempts of a part that are in flight, if the settings allow it.
    fn cancel_attempts(&self, id: QueryId, index: usize, actions: &mut Vec<Action>) {
        if !self.settings.limits.may_cancel {
            return;
        }
        let part = self.queries.get(&id).map(|query| &query.parts[index]);
        let attempts = part.into_iter().flat_map(|part| {
            part.in_flight().map(|attempt| Action::Cancel {
                part: part.id,
                attempt,
            })
        });
        actions.extend(attempts);
    }
}

/// Counts a part of the current step as answered.
fn count_answered(query: &mut Query, index: usize) {
    query.checks.remove(index);
    let part = &query.parts[index];
    query.answered_weight += part.weight;
    query.single_attempt_parts -= usize::from(part.attempts.len() < 2);
}

/// Records the end of an attempt of a part. Returns `false` if there is no such attempt.
fn end_attempt(query: &mut Query, index: usize, attempt: u16, outcome: Outcome, now: Time) -> bool {
    let Some(part) = query.parts.get_mut(index) else {
        return false;
    };
    let Some(ended) = part.attempts.get_mut(usize::from(attempt)) else {
        return false;
    };
    ended.state = if outcome.never_ran() {
        AttemptState::NeverRan
    } else {
        AttemptState::MayHaveRun
    };
    ended.ended_at = now;
    part.never_left += usize::from(outcome == Outcome::NeverSent);
    part.is_unreachable = outcome == Outcome::ConnectFailed;
    true
}

//! Ends of queries, and their admission: what is answered, refused or failed, and when.

use crate::intake::RefusedQuery;
use crate::tuning::{
    ADMIT_CUT, ADMIT_CUT_SHARE, ADMIT_LEAST, ADMIT_MOST, ADMIT_STEP, ASSUMED_CONCURRENCY,
    FAULT_HALF_LIFE, FIRST_SPARSE, FIRST_STEP, PARTIAL_SHARE, POISON_MEMORY, POISON_SERVERS,
    RESPONSE_TIME_HALF_LIFE, VALUE_LEAST, VALUE_MOST, VALUE_PACE,
};
use crate::Coordinator;
use lichenswitch_interface::{Action, Class, Micros, QueryId, RetrySafety, Time};
use lichenswitch_stats::{remaining_share, scaled, Agenda, AttemptState, Part, Query, Server};

/// Sums of weights are compared with this much room for rounding.
const ROUNDING: f64 = 1e-5;

/// Weights that an answer needs.
struct WeightBounds {
    /// For a complete answer.
    need: f64,
    /// For any answer.
    floor: f64,
}

/// A query that was stopped since servers broke under it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoisonQuery {
    pub(super) class: usize,
    pub(super) key: u64,
    pub(super) stopped_at: Time,
}

impl Coordinator {
    pub(super) fn class(&self, q: &Query) -> &Class {
        &self.settings.classes[q.class]
    }

    /// Last moment for a final answer: two turns before the client leaves, or before an answer
    /// earns too little: past its latency target a query has the share of the client's time that a
    /// late answer has of the value. Attempts time out then: where a cancel stops nothing that is the only
    /// brake on work that waits. Guards against jams of work that earns nothing, whatever the
    /// cause, and ends retries that come too late. Harm: at little load some late answers are
    /// not waited for.
    pub(super) fn end_of(&self, q: &Query) -> Time {
        let class = self.class(q);
        let earns = q.target_at.plus(scaled(
            class.deadline.saturating_sub(class.latency_target),
            class.late_share,
        ));
        q.deadline
            .min(earns)
            .minus(2 * self.settings.resolution.max(1_000))
    }

    /// Weight that is in, and weight that is in or can still come, of the present step.
    pub(super) fn weights(&self, q: &Query) -> (f64, f64) {
        let stuck = q
            .agenda
            .idle_parts()
            .map(|i| &q.parts[i])
            .filter(|p| !self.may_send(q, p, false));
        (
            q.answered_weight,
            q.total_weight - stuck.map(|p| p.weight).sum::<f64>(),
        )
    }

    /// Whether the rules allow another attempt of a part now.
    pub(super) fn may_send(&self, q: &Query, p: &Part, copy: bool) -> bool {
        let copies =
            self.settings.limits.second_copies && self.class(q).retry_safety == RetrySafety::Safe;
        if p.attempts_made() >= self.settings.attempts_of(q.class) as usize || copy && !copies {
            return false;
        }
        match self.class(q).retry_safety {
            RetrySafety::Safe => true,
            RetrySafety::Unsafe => p.attempts.iter().all(|t| t.state == AttemptState::NeverRan),
            RetrySafety::Keyed(window) => {
                let first = p
                    .attempts
                    .iter()
                    .find(|t| t.state != AttemptState::NeverRan);
                first.is_none_or(|t| self.now.since(t.sent) + 2 * self.settings.resolution < window)
            }
        }
    }

    /// Decides what is to be done for a query now: an answer, an end without one, or sends.
    pub(super) fn advance(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let bounds = self.bounds_of(q);
        let (answered, reachable) = self.weights(q);
        let is_new = q.arrived == self.now && q.parts.iter().all(|p| p.attempts.is_empty());
        let has_parts = q.count > 0;
        let is_over = self.now >= self.end_of(q);
        let may_be_partial = q.is_closing
            || self.now >= q.arrived.plus(self.partial_after(q))
            || reachable + ROUNDING < bounds.need
            || is_over;
        if has_parts && answered + ROUNDING >= bounds.need {
            return self.answer(id, true, actions);
        }
        let is_partial_enough = bounds.floor < bounds.need && answered + ROUNDING >= bounds.floor;
        if has_parts && is_partial_enough && may_be_partial {
            return self.answer(id, false, actions);
        }
        let is_hopeless = if has_parts {
            reachable + ROUNDING < bounds.floor
        } else {
            q.step == 1
        };
        if self.is_poison(id, actions) || is_over || is_hopeless || (is_new && self.is_shed(id)) {
            return self.give_up(id, actions);
        }
        self.dispatch(id, actions);
        // It would only wait for the budget: its client is answered at once, and may come back.
        if self.queries.get(&id).is_some_and(Query::is_stranded) {
            return if answered + ROUNDING >= bounds.floor {
                self.answer(id, false, actions)
            } else {
                self.give_up(id, actions)
            };
        }
        let next_look_at = self
            .queries
            .get(&id)
            .map_or(self.now, |q| self.next_look_of(q));
        self.queries
            .entry(id)
            .and_modify(|q| q.next_look_at = next_look_at);
    }

    /// Weights that make the answer to the present step complete, or partial.
    fn bounds_of(&self, q: &Query) -> WeightBounds {
        let class = self.class(q);
        let is_second = q.step == 2;
        WeightBounds {
            need: if is_second { 1.0 } else { class.need },
            floor: if is_second && class.floor >= class.need {
                1.0
            } else {
                class.floor
            },
        }
    }

    /// Whether a query crashes what takes it: connections to several servers broke under it and no
    /// part was answered. After two it is withdrawn and sent by one part alone, after the third it
    /// ends, and another query of its key ends at arrival. Differs from a crash of servers, whose
    /// victims get answers from others. Harm: a victim that met dead servers alone waits for an
    /// answer; honest queries of the key are refused.
    pub(super) fn is_poison(&mut self, id: QueryId, actions: &mut Vec<Action>) -> bool {
        let Some(q) = self.queries.get(&id) else {
            return false;
        };
        let (class, key, now, count) = (q.class, q.key, self.now, q.broken_servers.len());
        if q.sends_one_part_ahead && count >= POISON_SERVERS {
            self.poison
                .retain(|p| now.since(p.stopped_at) < POISON_MEMORY);
            self.poison.push(PoisonQuery {
                class,
                key,
                stopped_at: now,
            });
            actions.push(Action::Log(format!(
                "class {class}: a query broke {count} servers"
            )));
            return true;
        }
        if q.sends_one_part_ahead
            && count + 1 == POISON_SERVERS
            && q.parts.iter().flat_map(Part::in_flight).count() > 1
        {
            self.cancel_open(id, actions);
        }
        q.arrived == now && key != 0 && self.recent_poison(class).any(|p| p.key == key)
    }

    /// The queries of a class that were stopped recently.
    pub(super) fn recent_poison(&self, class: usize) -> impl Iterator<Item = &PoisonQuery> {
        self.poison
            .iter()
            .filter(move |p| p.class == class && self.now.since(p.stopped_at) < POISON_MEMORY)
    }

    /// How long after its arrival a query is better answered in part than not yet.
    pub(super) fn partial_after(&self, q: &Query) -> Micros {
        let first = q.step == 1 && self.class(q).second_step > 0;
        let sparse = self.settings.instances as usize > self.ready
            && self.fault_half_life() > FAULT_HALF_LIFE;
        let share = self.class(q).first_share * if sparse { FIRST_SPARSE } else { 1.0 };
        scaled(
            self.class(q).latency_target,
            if first { share } else { PARTIAL_SHARE },
        )
    }

    /// Answers the present step, complete or partial; the final one ends the query.
    pub(super) fn answer(&mut self, id: QueryId, whole: bool, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        let two_steps = self.settings.classes[q.class].second_step > 0;
        if two_steps && q.step == 1 {
            (q.step, q.is_first_step_complete, q.step_at) = (2, whole, self.now);
            (
                q.agenda,
                q.count,
                q.single_attempt_parts,
                q.total_weight,
                q.answered_weight,
            ) = (Agenda::default(), 0, 0, 0.0, 0.0);
            (q.is_closing, q.next_look_at) = (false, self.now.plus(self.settings.resolution));
            actions.push(Action::Answer { query: id, whole });
            return self.cancel_open(id, actions);
        }
        let whole = whole && (!two_steps || q.is_first_step_complete);
        self.learn_lateness(id, true);
        actions.push(Action::Answer { query: id, whole });
        self.remove_query(id, actions);
    }

    /// Calibrates admission by how admitted queries end. Guards against a forecast that is off on
    /// this fleet or for this trouble; harm: queries late for another cause (a hung server) make it
    /// stricter for a while.
    pub(super) fn learn_lateness(&mut self, id: QueryId, answered: bool) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let had_full_target =
            q.window as f64 > ADMIT_CUT_SHARE * self.class(q).latency_target as f64;
        if self.now < q.target_at.min(self.end_of(q)) || answered && self.now <= q.target_at {
            self.admit = (self.admit + if answered { ADMIT_STEP } else { 0.0 }).min(ADMIT_MOST);
        } else if had_full_target && q.parts.iter().any(|p| !p.attempts.is_empty()) {
            self.admit = (self.admit * ADMIT_CUT).max(ADMIT_LEAST);
        }
    }

    /// Ends a query that gets no answer, at once: as a refusal where asking again is harmless.
    pub(super) fn give_up(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.learn_lateness(id, false);
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let untouched = q
            .parts
            .iter()
            .all(|p| p.attempts.iter().all(|t| t.state == AttemptState::NeverRan));
        if untouched || self.class(q).retry_safety != RetrySafety::Unsafe {
            let half = self.settings.limits.retry_after.unwrap_or(0) / 2;
            actions.push(Action::Refuse {
                query: id,
                retry_after: half + self.rng.0.u64(0..=half),
            });
            let latency_target = self.class(q).latency_target;
            self.refused.push_back(RefusedQuery {
                class: q.class,
                key: q.key,
                began: q.target_at.minus(latency_target),
                value_share: q.value_share,
            });
        } else {
            actions.push(Action::Fail(id));
        }
        self.remove_query(id, actions);
    }

    /// Cancels the attempts of parts that have no answer.
    pub(super) fn cancel_open(&self, id: QueryId, actions: &mut Vec<Action>) {
        let query = self
            .queries
            .get(&id)
            .filter(|_| self.settings.limits.may_cancel);
        for p in query
            .into_iter()
            .flat_map(|q| &q.parts)
            .filter(|p| !p.is_answered)
        {
            actions.extend(p.in_flight().map(|attempt| Action::Cancel {
                part: p.id,
                attempt,
            }));
        }
    }

    /// Ends a query whose final answer has been given, or whose client has left.
    pub(super) fn remove_query(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.cancel_open(id, actions);
        let Some(q) = self.queries.remove(&id) else {
            return;
        };
        if self.numbers.get(&q.number) == Some(&id) {
            self.numbers.remove(&q.number);
        }
        q.parts.iter().for_each(|p| _ = self.parts.remove(&p.id));
    }

    /// How long a part of this class sent to a server now is expected to take: the server's recent
    /// answer time (which holds what peers send; it fades towards the common one), scaled by own
    /// parts pending now against then; no less than the age of the oldest part younger than any
    /// answered there: an older one was lost or held up alone, and would turn away all that need
    /// its shard.
    pub(super) fn expected(&self, s: &Server, class: usize) -> f64 {
        // All of it is forgotten while nothing is answered: else refusals alone would keep a past
        // jam alive.
        let common = self.common_times[class * 2].or(0.0)
            * remaining_share(self.now, self.answered_at, RESPONSE_TIME_HALF_LIFE);
        let fading = remaining_share(self.now, s.response_time_at, RESPONSE_TIME_HALF_LIFE);
        let response_time = common + fading * (s.response_time.or(common) - common);
        let pending_at_send = fading * s.pending_at_send.or(0.0);
        let unanswered = s
            .calls
            .iter()
            .filter(|c| c.in_flight_parts > 0 && c.sent > s.newest_answered_send);
        let oldest = unanswered
            .map(|c| self.now.since(c.sent))
            .max()
            .unwrap_or(0);
        (response_time * (s.pending() + ASSUMED_CONCURRENCY)
            / (pending_at_send + ASSUMED_CONCURRENCY))
            .max(oldest as f64)
    }

    /// Whether a query is refused at its arrival, since one of its parts finds all replicas too far
    /// behind. The queue that is admitted is shorter for queries of less value for their work, and
    /// beyond a tenant's quota.
    pub(super) fn is_shed(&mut self, id: QueryId) -> bool {
        let Some(q) = self.queries.get(&id) else {
            return false;
        };
        let class = self.class(q);
        let window = q.window as f64
            * if class.second_step > 0 {
                FIRST_STEP
            } else {
                1.0
            };
        let parts = q.parts.len() as f64 + f64::from(class.second_step) / 2.0;
        // Work is counted in parts and not by how long they take: in a jam all take long.
        let value = class.value
            / if self.settings.worth_by_work {
                1.0
            } else {
                parts.max(1.0)
            };
        let value_factor = (value / self.value.or(value))
            .sqrt()
            .clamp(VALUE_LEAST, VALUE_MOST)
            * q.value_share.sqrt();
        let most = window * self.admit * value_factor;
        // Of the holders that it would be sent to: a hung one, not heard of for a while, would look
        // idle.
        let slowest = q.parts.iter().map(|p| {
            let open = self
                .replicas_of(p.shard)
                .filter(|(_, s)| !self.has_no_allowance(s));
            let keys = open.map(|(_, s)| (self.rank(s, q.class).0, self.expected(s, q.class)));
            keys.fold((u8::MAX, f64::INFINITY), |a, b| if b < a { b } else { a })
                .1
        });
        let is_shed = slowest.fold(0.0, f64::max) > most;
        self.value.add(value, VALUE_PACE);
        is_shed
    }
}

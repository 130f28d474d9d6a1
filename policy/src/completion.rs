//! Admission and completion of queries: when each is answered, refused or failed.

use crate::intake::RefusedQuery;
use crate::tuning::{
    ADMISSION_CUT, ADMISSION_CUT_SHARE, ADMISSION_MAX, ADMISSION_MIN, ADMISSION_STEP,
    ASSUMED_CONCURRENCY, FAULT_HALF_LIFE, FIRST_STEP_SHARE, MAX_VALUE_RATIO, MIN_VALUE_RATIO,
    PARTIAL_ANSWER_SHARE, POISON_BROKEN_SERVERS, POISON_RETENTION, RESPONSE_TIME_HALF_LIFE,
    SPARSE_FACTOR, VALUE_GAIN,
};
use crate::Coordinator;
use lichenswitch_interface::{Action, Class, Micros, QueryId, RetrySafety, Time};
use lichenswitch_stats::{remaining_share, scaled, AttemptState, Part, PartChecks, Query, Server};

/// Rounding tolerance in comparisons of weight sums.
const ROUNDING: f64 = 1e-5;

/// Minimum weights of answered parts for an answer.
struct WeightBounds {
    /// Minimum weight for a complete answer.
    need: f64,
    /// Minimum weight for any answer.
    floor: f64,
}

/// Query that was stopped because connections to several servers broke under it.
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

    /// Returns the latest time for a final answer: two turns before the client's deadline, or
    /// earlier when a late answer earns little. After its latency target a query gets the fraction
    /// `late_share` of the client's remaining time. Its attempts time out then, which is the only
    /// limit on queued work if attempts cannot be cancelled. This prevents congestion by work
    /// without value and ends late retries. Drawback: at low load some late answers are not
    /// awaited.
    pub(super) fn end_time_of(&self, q: &Query) -> Time {
        let class = self.class(q);
        let earns = q.target_at.plus(scaled(
            class.deadline.saturating_sub(class.latency_target),
            class.late_share,
        ));
        q.deadline
            .min(earns)
            .minus(2 * self.settings.resolution.max(1_000))
    }

    /// Returns the answered weight and the answered or still reachable weight of the current step.
    pub(super) fn weights(&self, q: &Query) -> (f64, f64) {
        let stuck = q
            .checks
            .idle_parts()
            .map(|i| &q.parts[i])
            .filter(|p| !self.may_send(q, p, false));
        (
            q.answered_weight,
            q.total_weight - stuck.map(|p| p.weight).sum::<f64>(),
        )
    }

    /// Returns whether the limits and the class allow another attempt of a part now.
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
                first.is_none_or(|t| {
                    self.now.since(t.sent_at) + 2 * self.settings.resolution < window
                })
            }
        }
    }

    /// Answers or ends a query if it is due; otherwise sends attempts and sets the next check.
    pub(super) fn advance(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let bounds = self.bounds_of(q);
        let (answered, reachable) = self.weights(q);
        let is_new = q.arrived_at == self.now && q.parts.iter().all(|p| p.attempts.is_empty());
        let has_parts = q.part_count > 0;
        let is_over = self.now >= self.end_time_of(q);
        let may_be_partial = q.is_closing
            || self.now >= q.arrived_at.plus(self.partial_answer_delay(q))
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
        // Only the retry budget holds it up: the client is answered at once and may retry.
        if self.queries.get(&id).is_some_and(Query::is_out_of_budget) {
            return if answered + ROUNDING >= bounds.floor {
                self.answer(id, false, actions)
            } else {
                self.give_up(id, actions)
            };
        }
        let check_at = self
            .queries
            .get(&id)
            .map_or(self.now, |q| self.check_time_of(q));
        self.queries.entry(id).and_modify(|q| q.check_at = check_at);
    }

    /// Returns the minimum weights of the current step.
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

    /// Returns whether a query crashes servers: connections to several broke and no part was
    /// answered. After two broken servers its attempts are cancelled and one part is sent alone.
    /// After the third it ends, and later queries of its key end at arrival. If servers crash for
    /// another cause, other servers answer their queries. Drawback: a query that met only crashed
    /// servers waits, and harmless queries of the key are refused.
    pub(super) fn is_poison(&mut self, id: QueryId, actions: &mut Vec<Action>) -> bool {
        let Some(q) = self.queries.get(&id) else {
            return false;
        };
        let (class, key, now, count) = (q.class, q.key, self.now, q.broken_servers.len());
        if q.sends_one_part_ahead && count >= POISON_BROKEN_SERVERS {
            self.poison_queries
                .retain(|p| now.since(p.stopped_at) < POISON_RETENTION);
            self.poison_queries.push(PoisonQuery {
                class,
                key,
                stopped_at: now,
            });
            actions.push(Action::Log(format!(
                "class {class}: query stopped, connections to {count} servers broke"
            )));
            return true;
        }
        if q.sends_one_part_ahead
            && count + 1 == POISON_BROKEN_SERVERS
            && q.parts.iter().flat_map(Part::in_flight).count() > 1
        {
            self.cancel_unanswered(id, actions);
        }
        q.arrived_at == now && key != 0 && self.recent_poison(class).any(|p| p.key == key)
    }

    /// Returns the poison queries of a class that were stopped recently.
    pub(super) fn recent_poison(&self, class: usize) -> impl Iterator<Item = &PoisonQuery> {
        self.poison_queries
            .iter()
            .filter(move |p| p.class == class && self.now.since(p.stopped_at) < POISON_RETENTION)
    }

    /// Returns the time after its arrival from which a query may be answered in part.
    pub(super) fn partial_answer_delay(&self, q: &Query) -> Micros {
        let first = q.step == 1 && self.class(q).second_step > 0;
        let sparse = self.settings.instances as usize > self.ready_servers
            && self.fault_half_life() > FAULT_HALF_LIFE;
        let share = self.class(q).first_share * if sparse { SPARSE_FACTOR } else { 1.0 };
        scaled(
            self.class(q).latency_target,
            if first { share } else { PARTIAL_ANSWER_SHARE },
        )
    }

    /// Answers the current step, completely or in part. The answer to the last step ends the query.
    pub(super) fn answer(&mut self, id: QueryId, whole: bool, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        let two_steps = self.settings.classes[q.class].second_step > 0;
        if two_steps && q.step == 1 {
            (q.step, q.is_first_step_complete, q.step_at) = (2, whole, self.now);
            (
                q.checks,
                q.part_count,
                q.single_attempt_parts,
                q.total_weight,
                q.answered_weight,
            ) = (PartChecks::default(), 0, 0, 0.0, 0.0);
            (q.is_closing, q.check_at) = (false, self.now.plus(self.settings.resolution));
            actions.push(Action::Answer { query: id, whole });
            return self.cancel_unanswered(id, actions);
        }
        let whole = whole && (!two_steps || q.is_first_step_complete);
        self.update_admission(id, true);
        actions.push(Action::Answer { query: id, whole });
        self.remove_query(id, actions);
    }

    /// Adjusts admission by the lateness of an admitted query, which corrects a biased forecast.
    /// Drawback: queries that are late for another cause (a hung server) tighten it for a while.
    pub(super) fn update_admission(&mut self, id: QueryId, answered: bool) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let had_full_target =
            q.window as f64 > ADMISSION_CUT_SHARE * self.class(q).latency_target as f64;
        if self.now < q.target_at.min(self.end_time_of(q)) || answered && self.now <= q.target_at {
            self.admission =
                (self.admission + if answered { ADMISSION_STEP } else { 0.0 }).min(ADMISSION_MAX);
        } else if had_full_target && q.parts.iter().any(|p| !p.attempts.is_empty()) {
            self.admission = (self.admission * ADMISSION_CUT).max(ADMISSION_MIN);
        }
    }

    /// Ends a query without an answer: refused if a retry is harmless, otherwise failed.
    pub(super) fn give_up(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.update_admission(id, false);
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
            self.recent_refusals.push_back(RefusedQuery {
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
    pub(super) fn cancel_unanswered(&self, id: QueryId, actions: &mut Vec<Action>) {
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

    /// Removes a query after its final answer or its client's disconnect.
    pub(super) fn remove_query(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        self.cancel_unanswered(id, actions);
        let Some(q) = self.queries.remove(&id) else {
            return;
        };
        if self.queries_by_number.get(&q.number) == Some(&id) {
            self.queries_by_number.remove(&q.number);
        }
        q.parts.iter().for_each(|p| _ = self.parts.remove(&p.id));
    }

    /// Returns the expected response time of a part of this class at a server: the recent response
    /// time, which includes load of other instances and decays towards the common one, scaled by
    /// the own parts pending now and then. It is at least the age of the oldest pending part sent
    /// after the newest answered one. An older part was lost or delayed alone and would cause the
    /// refusal of every query that needs its shard.
    pub(super) fn expected(&self, s: &Server, class: usize) -> f64 {
        // Decays without answers; otherwise refusals alone would prolong a past congestion.
        let common = self.common_times[class * 2].value_or(0.0)
            * remaining_share(self.now, self.answered_at, RESPONSE_TIME_HALF_LIFE);
        let fading = remaining_share(self.now, s.response_time_at, RESPONSE_TIME_HALF_LIFE);
        let response_time = common + fading * (s.response_time.value_or(common) - common);
        let pending_at_send = fading * s.pending_at_send.value_or(0.0);
        let unanswered = s
            .calls
            .iter()
            .filter(|c| c.in_flight_parts > 0 && c.sent_at > s.newest_answered_send);
        let oldest = unanswered
            .map(|c| self.now.since(c.sent_at))
            .max()
            .unwrap_or(0);
        (response_time * (s.pending() + ASSUMED_CONCURRENCY)
            / (pending_at_send + ASSUMED_CONCURRENCY))
            .max(oldest as f64)
    }

    /// Returns whether a query is refused at its arrival because all replicas of one of its parts
    /// are too slow. The limit is lower for queries with less value per unit of work and for
    /// queries beyond their tenant's quota.
    pub(super) fn is_shed(&mut self, id: QueryId) -> bool {
        let Some(q) = self.queries.get(&id) else {
            return false;
        };
        let class = self.class(q);
        let window = q.window as f64
            * if class.second_step > 0 {
                FIRST_STEP_SHARE
            } else {
                1.0
            };
        let parts = q.parts.len() as f64 + f64::from(class.second_step) / 2.0;
        // Work is counted in parts, not in time: under congestion all parts take long.
        let value = class.value
            / if self.settings.worth_by_work {
                1.0
            } else {
                parts.max(1.0)
            };
        let value_factor = (value / self.mean_value.value_or(value))
            .sqrt()
            .clamp(MIN_VALUE_RATIO, MAX_VALUE_RATIO)
            * q.value_share.sqrt();
        let most = window * self.admission * value_factor;
        // Considers only the replica that would be chosen: a hung one without recent answers would
        // look idle.
        let slowest = q.parts.iter().map(|p| {
            let open = self
                .replicas_of(p.shard)
                .filter(|(_, s)| !self.has_no_allowance(s));
            let keys = open.map(|(_, s)| (self.rank(s, q.class).0, self.expected(s, q.class)));
            keys.fold((u8::MAX, f64::INFINITY), |a, b| if b < a { b } else { a })
                .1
        });
        let is_shed = slowest.fold(0.0, f64::max) > most;
        self.mean_value.add(value, VALUE_GAIN);
        is_shed
    }
}

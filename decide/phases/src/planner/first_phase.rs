//! Decides when a first phase is closed.

use super::Planner;
use crate::budget;
use crate::query::{Phase, QueryState};
use crate::verdict::{Reason, Verdict};
use crate::Rules;
use lichenswitch_interface::{Micros, QueryId, Time};

/// Interval at which a first phase that may be closed is checked again (microseconds).
const CHECK_INTERVAL: Micros = 10_000;
/// Minimum by which the expected value of waiting must exceed that of continuing now.
pub(super) const WAITING_MARGIN: f64 = 0.002;
/// Amount by which the answered weight may fall short of [`Rules::floor`].
const FLOOR_TOLERANCE: f64 = 1e-4;
/// Amount by which the answered weight may fall short of [`Rules::need`].
const NEED_TOLERANCE: f64 = 1e-5;

impl Planner {
    /// Returns the verdict that closes the first phase, or schedules the next check.
    pub(super) fn decide_first_phase(&mut self, now: Time, id: QueryId) -> Option<Verdict> {
        let query = self.queries.get(&id)?;
        let rules = self.rules.get(query.class)?.clone()?;
        let limit = query.first_phase_limit(&rules);
        if !may_close(query, &rules) {
            let is_before_limit = now < limit && !query.is_closed;
            // Past the limit but below the floor, the phase needs no timer: each arriving answer
            // triggers another check.
            self.set_wake(id, is_before_limit.then_some(limit));
            return None;
        }
        let Some(reason) = self.reason_to_close(now, id, &rules, limit) else {
            self.set_wake(id, Some(now.plus(CHECK_INTERVAL).min(limit)));
            return None;
        };
        self.queries.get_mut(&id)?.is_closed = true;
        self.set_wake(id, None);
        Some(Verdict::Close { query: id, reason })
    }

    /// Returns why the first phase ends now: it has used its share of the latency target, or
    /// waiting is not worth it. Returns `None` if the phase continues.
    fn reason_to_close(
        &mut self,
        now: Time,
        id: QueryId,
        rules: &Rules,
        limit: Time,
    ) -> Option<Reason> {
        let query = self.queries.get(&id)?;
        let answered_weight = query.answered_weight;
        if now >= limit {
            let elapsed = query.age(now);
            return Some(Reason::FirstPhaseShareUsed {
                elapsed,
                answered_weight,
            });
        }
        let latencies = self.latencies.get_mut(query.class)?;
        if !latencies.first.has_enough_samples() {
            return None;
        }
        let missing = query.missing_parts(now);
        let prospect = budget::prospect(
            rules,
            latencies,
            now,
            query.target_at,
            answered_weight,
            &missing,
        );
        let closes = prospect.value_now + WAITING_MARGIN >= prospect.value_of_waiting;
        closes.then_some(Reason::WaitingNotWorthwhile {
            answered_weight,
            now: prospect.value_now,
            waiting: prospect.value_of_waiting,
        })
    }
}

/// Returns whether the planner may close the first phase. Below the floor no answer is allowed, and
/// a complete first phase ends without the planner.
fn may_close(query: &QueryState, rules: &Rules) -> bool {
    let is_open = query.phase == Phase::First && !query.is_closed;
    let has_least = query.answered_weight + FLOOR_TOLERANCE >= rules.floor;
    let is_complete = query.answered_weight + NEED_TOLERANCE >= rules.need;
    is_open && has_least && !is_complete
}

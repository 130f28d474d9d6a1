//! When a first phase is closed.

use super::Planner;
use crate::budget;
use crate::query::{Phase, QueryState};
use crate::verdict::{Reason, Verdict};
use crate::Rules;
use lichenswitch_interface::{Micros, QueryId, Time};

/// How soon a first phase that could be closed is looked at again (microseconds).
const CHECK_INTERVAL: Micros = 10_000;
/// By how much waiting has to be worth more than going on.
pub(super) const WAITING_MARGIN: f64 = 0.002;
/// By how much the weight of the least share may fall short.
const FLOOR_TOLERANCE: f64 = 1e-4;
/// By how much the weight of a complete first phase may fall short.
const NEED_TOLERANCE: f64 = 1e-5;

impl Planner {
    /// Whether the first phase is to end now.
    pub(super) fn decide_first_phase(&mut self, now: Time, id: QueryId) -> Option<Verdict> {
        let query = self.queries.get(&id)?;
        let rules = self.rules.get(query.class)?.clone()?;
        let limit = query.first_phase_limit(&rules);
        if !may_close(query, &rules) {
            let is_before_limit = now < limit && !query.is_closed;
            // Past its share and still under the least: looked at again as parts come in.
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

    /// Why the first phase ends now: it has had its share, or waiting is not worth it.
    fn reason_to_close(
        &mut self,
        now: Time,
        id: QueryId,
        rules: &Rules,
        limit: Time,
    ) -> Option<Reason> {
        let query = self.queries.get(&id)?;
        let have = query.answered_weight;
        if now >= limit {
            let took = query.age(now);
            return Some(Reason::FirstShare { took, have });
        }
        let latencies = self.latencies.get_mut(query.class)?;
        if !latencies.first.has_enough_samples() {
            return None;
        }
        let missing = query.missing_parts(now);
        let prospect = budget::prospect(rules, latencies, now, query.target_at, have, &missing);
        let closes = prospect.now + WAITING_MARGIN >= prospect.waiting;
        closes.then_some(Reason::Worth {
            have,
            now: prospect.now,
            waiting: prospect.waiting,
        })
    }
}

/// Whether there is something to decide: under the least share there is nothing, and a complete
/// first phase ends by itself.
fn may_close(query: &QueryState, rules: &Rules) -> bool {
    let is_open = query.phase == Phase::First && !query.is_closed;
    let has_least = query.answered_weight + FLOOR_TOLERANCE >= rules.floor;
    let is_complete = query.answered_weight + NEED_TOLERANCE >= rules.need;
    is_open && has_least && !is_complete
}

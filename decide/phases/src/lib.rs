//! Queries of two phases: how long the first may take, what the second asks for, and what is
//! withdrawn because it can no longer help.
//!
//! The module (`policy`) goes on to choose servers, copies and further attempts. The planner tells
//! it when a first phase is closed, which parts the second has, and which are not needed any more.
//! Events go in with their time; verdicts come out with the figures behind them. Without rules for
//! a class nothing is planned for it, and all is as the settings say.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod budget;
pub mod learn;
pub mod prune;
mod rules;
mod verdict;

use budget::{Candidate, Missing, Times};
use lichenswitch_interface::{Micros, QueryId, Time};
use prune::{Bound, Race, Reach, Way};
use std::collections::{BTreeMap, BTreeSet};

pub use rules::Rules;
pub use verdict::{First, Goal, Plan, Reason, Verdict};

/// One part of a query that the planner knows of.
#[derive(Clone, Copy, Debug)]
struct PartState {
    weight: f64,
    /// When it was last sent and what was pending there; `None`: no attempt is in flight.
    in_flight: Option<(Time, f64)>,
    is_answered: bool,
}

struct Query {
    class: usize,
    arrived: Time,
    target_at: Time,
    is_second: bool,
    is_closed: bool,
    parts: BTreeMap<u32, PartState>,
    answered_weight: f64,
    /// Parts of a complete second phase.
    wanted: usize,
    /// Those of them that were proved to be unneeded.
    unneeded_count: usize,
    race: Option<Race>,
    /// When it is to be looked at next.
    next_look: Option<Time>,
}

/// How soon a first phase that could be closed is looked at again (microseconds).
const CHECK_INTERVAL: Micros = 10_000;
/// What waiting has to bring more to be waited for.
const WAITING_MARGIN: f64 = 0.002;

/// The planner of one broker.
#[derive(Default)]
pub struct Planner {
    rules: Vec<Option<Rules>>,
    times: Vec<Times>,
    queries: BTreeMap<QueryId, Query>,
    next_look: BTreeSet<(Time, QueryId)>,
}

impl Planner {
    /// A planner with rules by class; a class without any is not planned.
    #[must_use]
    pub fn new(rules: Vec<Option<Rules>>) -> Self {
        let times = rules.iter().map(|_| Times::default()).collect();
        Planner {
            rules,
            times,
            ..Planner::default()
        }
    }

    /// Whether queries of a class are planned.
    #[must_use]
    pub fn plans(&self, class: usize) -> bool {
        self.rules.get(class).is_some_and(Option::is_some)
    }

    /// When the planner wants to look again.
    #[must_use]
    pub fn next(&self) -> Option<Time> {
        self.next_look.first().map(|d| d.0)
    }

    fn set_due(&mut self, id: QueryId, at: Option<Time>) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        if let Some(was) = q.next_look.take() {
            self.next_look.remove(&(was, id));
        }
        if let Some(at) = at {
            q.next_look = Some(at);
            self.next_look.insert((at, id));
        }
    }

    /// A query of two phases was taken, with the slices of its first and their weights.
    pub fn on_query(&mut self, now: Time, id: QueryId, class: usize, parts: &[(u32, f64)]) {
        let Some(rules) = self.rules.get(class).and_then(Option::as_ref) else {
            return;
        };
        let target_at = now.plus(rules.latency_target);
        let most = now.plus((rules.latency_target as f64 * rules.first_share) as Micros);
        let query = Query {
            class,
            arrived: now,
            target_at,
            is_second: false,
            is_closed: false,
            parts: parts
                .iter()
                .map(|&(slice, weight)| (slice, PartState::new(weight)))
                .collect(),
            answered_weight: 0.0,
            wanted: 0,
            unneeded_count: 0,
            race: None,
            next_look: None,
        };
        self.queries.insert(id, query);
        self.set_due(id, Some(most));
    }

    /// A part was sent to a server that has so many parts pending.
    pub fn on_sent(&mut self, now: Time, id: QueryId, slice: u32, pending: f64) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        let is_second = q.is_second;
        if let Some(part) = q.parts.get_mut(&slice) {
            part.in_flight = Some((now, pending));
        }
        if let Some(times) = self.times.get_mut(q.class).filter(|_| is_second) {
            times.usual_pending += 0.05 * (pending - times.usual_pending);
        }
    }

    /// An attempt ended well after so long; `pending` as it was when it was sent. Of a sorted
    /// second phase the keys and count that came.
    pub fn on_response(
        &mut self,
        now: Time,
        (id, slice): (QueryId, u32),
        (is_second, took, pending): (bool, Micros, f64),
        bound: Option<Bound>,
    ) -> Vec<Verdict> {
        let Some(q) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(times) = self.times.get_mut(q.class) {
            let learnt = if is_second {
                &mut times.second
            } else {
                &mut times.first
            };
            learnt.add(now, took, pending);
        }
        if q.is_second != is_second {
            return Vec::new();
        }
        let Some(part) = q.parts.get_mut(&slice).filter(|p| !p.is_answered) else {
            return Vec::new();
        };
        (part.is_answered, part.in_flight) = (true, None);
        q.answered_weight += part.weight;
        if !is_second {
            return self.decide_first_phase(now, id).into_iter().collect();
        }
        let mut verdicts = Vec::new();
        if let (Some(race), Some(bound)) = (&mut q.race, bound) {
            if race.extend(slice, bound.keys, bound.matched).is_err() {
                // Nothing that rests on bounds is proved any more.
                q.race = None;
                verdicts.push(Verdict::Doubt(id, Reason::WrongBound { slice }));
            }
        }
        verdicts.extend(self.drop_unneeded(id));
        verdicts
    }

    /// An attempt that was sent then ended without an answer; `gave_up`: it was out for so long,
    /// where so much was pending, and was not waited for any longer.
    pub fn on_loss(
        &mut self,
        now: Time,
        (id, slice): (QueryId, u32),
        is_second: bool,
        sent: Time,
        gave_up: Option<(Micros, f64)>,
    ) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        if let (Some(times), Some((out, pending))) = (self.times.get_mut(q.class), gave_up) {
            let learnt = if is_second {
                &mut times.second
            } else {
                &mut times.first
            };
            learnt.add_unanswered(now, out, pending);
        }
        // A copy that is out goes on: only the attempt that was sent last is forgotten.
        if let Some(part) = q.parts.get_mut(&slice).filter(|_| q.is_second == is_second) {
            part.in_flight = part.in_flight.filter(|out| out.0 != sent);
        }
    }

    /// A query is over.
    pub fn on_end(&mut self, id: QueryId) {
        self.set_due(id, None);
        self.queries.remove(&id);
    }

    /// Looks at the queries that are due.
    pub fn on_time(&mut self, now: Time) -> Vec<Verdict> {
        let next_look: Vec<QueryId> = self
            .next_look
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1)
            .collect();
        let mut verdicts = Vec::new();
        for id in next_look {
            self.set_due(id, None);
            let is_second = self.queries.get(&id).is_some_and(|q| q.is_second);
            verdicts.extend(if is_second {
                self.decide_second_phase(now, id)
            } else {
                self.decide_first_phase(now, id).into_iter().collect()
            });
        }
        verdicts
    }

    /// Whether the first phase is to end now.
    fn decide_first_phase(&mut self, now: Time, id: QueryId) -> Option<Verdict> {
        let q = self.queries.get(&id)?;
        let rules = self.rules.get(q.class)?.clone()?;
        let most = q
            .arrived
            .plus((rules.latency_target as f64 * rules.first_share) as Micros);
        // Under the least share there is nothing to decide, and a whole first phase ends by itself.
        if q.is_closed
            || q.is_second
            || q.answered_weight + 1e-4 < rules.floor
            || q.answered_weight + 1e-5 >= rules.need
        {
            let later = (now < most && !q.is_closed).then_some(most);
            // Past its share and still under the least: looked at again as parts come in.
            self.set_due(id, later);
            return None;
        }
        let (took, answered_weight) = (now.since(q.arrived), q.answered_weight);
        let reason = if now >= most {
            Some(Reason::FirstShare {
                took,
                have: answered_weight,
            })
        } else {
            let times = self.times.get_mut(q.class)?;
            let missing: Vec<Missing> = q
                .parts
                .values()
                .filter(|p| !p.is_answered)
                .map(|p| Missing {
                    weight: p.weight,
                    out: p.in_flight.map(|(sent, _)| now.since(sent)),
                    pending: p.in_flight.map_or(0.0, |o| o.1),
                })
                .collect();
            if times.first.known() {
                let found =
                    budget::prospect(&rules, times, now, q.target_at, answered_weight, &missing);
                let closes = found.now + WAITING_MARGIN >= found.waiting;
                closes.then_some(Reason::Worth {
                    have: answered_weight,
                    now: found.now,
                    waiting: found.waiting,
                })
            } else {
                None
            }
        };
        match reason {
            Some(reason) => {
                self.queries.get_mut(&id)?.is_closed = true;
                self.set_due(id, None);
                Some(Verdict::Close(id, reason))
            }
            None => {
                self.set_due(id, Some(now.plus(CHECK_INTERVAL).min(most)));
                None
            }
        }
    }

    /// The latency target has passed: whether what is left can still earn enough.
    fn decide_second_phase(&mut self, now: Time, id: QueryId) -> Vec<Verdict> {
        let Some(q) = self.queries.get(&id) else {
            return Vec::new();
        };
        let Some(rules) = self.rules.get(q.class).and_then(Option::as_ref) else {
            return Vec::new();
        };
        if now < q.target_at {
            let target_at = q.target_at;
            self.set_due(id, Some(target_at));
            return Vec::new();
        }
        let in_time = q.parts.values().filter(|p| p.is_answered).count() + q.unneeded_count;
        // From the least share on the module answers with what is in.
        if in_time >= rules.least_parts(q.wanted) {
            return Vec::new();
        }
        let reason = Reason::TooLittle {
            expected: rules.late_share,
            least: rules.least_gain,
        };
        if rules.late_share < rules.least_gain {
            vec![Verdict::GiveUp(id, reason)]
        } else {
            Vec::new()
        }
    }

    /// Parts of a sorted second phase that are in flight and can't change the answer any more.
    fn drop_unneeded(&mut self, id: QueryId) -> Vec<Verdict> {
        let Some(q) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let Some((race, k)) = q.race.as_ref().map(|race| (race, race.k())) else {
            return Vec::new();
        };
        let mut verdicts = Vec::new();
        for (&slice, part) in q.parts.iter_mut().filter(|(_, p)| !p.is_answered) {
            if matches!(race.reach(slice), Reach::Beaten | Reach::Exhausted) {
                (part.is_answered, part.in_flight) = (true, None);
                q.answered_weight += part.weight;
                verdicts.push(Verdict::Unneeded(id, slice, Reason::Bound { slice, k }));
            }
        }
        verdicts
    }

    /// The first phase has ended with these answers: what the second is to be. `pending` returns how
    /// many parts of this broker wait at the server that a part for a slice would go to; `None`: no
    /// server takes it.
    pub fn between(
        &mut self,
        now: Time,
        id: QueryId,
        goal: Goal,
        firsts: Vec<First>,
        pending: impl Fn(u32) -> Option<f64>,
    ) -> Option<Plan> {
        let q = self.queries.get_mut(&id)?;
        let rules = self.rules.get(q.class)?.as_ref()?;
        let times = self.times.get_mut(q.class)?;
        let ranking = match goal {
            Goal::BestScores => Ranking::by_score(firsts, rules.wanted),
            Goal::Top(k, way) => Ranking::by_keys(firsts, k, way, rules.prune),
        };
        let unneeded = ranking.unneeded.len();
        let wanted = ranking.order.len() + unneeded;
        let left = q.target_at.since(now);
        let candidates: Vec<Candidate> = ranking
            .order
            .iter()
            .map(|&(slice, _)| Candidate {
                slice,
                pending: pending(slice),
            })
            .collect();
        let shrunk = budget::shrink(rules, times, now, left, &candidates, (wanted, unneeded));
        let keep: BTreeSet<u32> = shrunk.keep.iter().copied().collect();
        let mut reasons = vec![Reason::Fits {
            sent: keep.len(),
            wanted,
            unneeded,
            left,
            weakest: shrunk.weakest,
        }];
        let give_up = !ranking.order.is_empty() && shrunk.expected < rules.least_gain;
        if give_up {
            reasons.push(Reason::TooLittle {
                expected: shrunk.expected,
                least: rules.least_gain,
            });
        }
        let (parts, left_out): (Vec<RankedSlice>, Vec<RankedSlice>) =
            ranking.order.into_iter().partition(|p| keep.contains(&p.0));
        q.begin_second(&parts, wanted, unneeded, ranking.race);
        let target_at = q.target_at;
        self.set_due(id, Some(target_at));
        Some(Plan {
            parts,
            wanted,
            left_out: left_out.into_iter().map(|p| p.0).collect(),
            unneeded: ranking.unneeded,
            give_up,
            reasons,
        })
    }
}

/// A slice of the second phase, with how many elements to ask for where the answer is sorted.
type RankedSlice = (u32, Option<usize>);

/// The slices of a second phase, before it is known how many fit into its time.
struct Ranking {
    /// Slices that could get a part, the best first.
    order: Vec<RankedSlice>,
    /// Slices that were proved to be unneeded.
    unneeded: Vec<u32>,
    /// Set where answers of the second phase may prove further ones to be unneeded.
    race: Option<Race>,
}

impl Ranking {
    fn by_score(mut firsts: Vec<First>, wanted: usize) -> Ranking {
        firsts.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.slice.cmp(&b.slice)));
        Ranking {
            order: firsts
                .iter()
                .take(wanted)
                .map(|f| (f.slice, None))
                .collect(),
            unneeded: Vec::new(),
            race: None,
        }
    }

    /// The first `k` elements by their keys; `prunes`: slices that can't have any of them get no
    /// part.
    fn by_keys(firsts: Vec<First>, k: usize, way: Way, prunes: bool) -> Ranking {
        let mut race = Race::new(k, way);
        for first in firsts {
            let empty = Bound {
                slice: first.slice,
                keys: Vec::new(),
                matched: None,
            };
            race.enter(first.bound.unwrap_or(empty));
        }
        let (mut order, mut unneeded) = (Vec::new(), Vec::new());
        for (slice, reach) in race.reaches() {
            match reach {
                Reach::Elements(most) => order.push((slice, Some(most))),
                Reach::Unknown => order.push((slice, Some(k))),
                Reach::Exhausted => unneeded.push(slice),
                Reach::Beaten if prunes => unneeded.push(slice),
                Reach::Beaten => order.push((slice, Some(k))),
            }
        }
        Ranking {
            order,
            unneeded,
            race: prunes.then_some(race),
        }
    }
}

impl Query {
    /// The second phase begins with these parts; those that are unneeded count as answered.
    fn begin_second(
        &mut self,
        parts: &[RankedSlice],
        wanted: usize,
        unneeded: usize,
        race: Option<Race>,
    ) {
        let weight = 1.0 / wanted.max(1) as f64;
        self.is_second = true;
        self.answered_weight = weight * unneeded as f64;
        self.wanted = wanted;
        self.unneeded_count = unneeded;
        self.parts = parts
            .iter()
            .map(|&(slice, _)| (slice, PartState::new(weight)))
            .collect();
        self.race = race;
    }
}

impl PartState {
    fn new(weight: f64) -> PartState {
        PartState {
            weight,
            in_flight: None,
            is_answered: false,
        }
    }
}

#[cfg(test)]
mod tests;

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
use prune::{Bound, Race, Reach};
use std::collections::{BTreeMap, BTreeSet};

pub use rules::Rules;
pub use verdict::{First, Goal, Plan, Reason, Verdict};

/// One part of a query that the planner knows of.
#[derive(Clone, Copy, Debug)]
struct Held {
    weight: f64,
    /// When it was last sent and what was pending there; `None`: nothing is out.
    out: Option<(Time, f64)>,
    done: bool,
}

struct Query {
    class: usize,
    arrived: Time,
    aim_at: Time,
    second: bool,
    closed: bool,
    parts: BTreeMap<u32, Held>,
    have: f64,
    /// Parts of a whole second phase, and those of it that need none.
    wanted: usize,
    granted: usize,
    race: Option<Race>,
    /// The next look.
    due: Option<Time>,
}

/// How soon a first phase that could be closed is looked at again.
const LOOK: Micros = 10_000;
/// What waiting has to bring more to be waited for.
const MARGIN: f64 = 0.002;

/// The planner of one broker.
#[derive(Default)]
pub struct Planner {
    rules: Vec<Option<Rules>>,
    times: Vec<Times>,
    queries: BTreeMap<QueryId, Query>,
    due: BTreeSet<(Time, QueryId)>,
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
        self.due.first().map(|d| d.0)
    }

    fn set_due(&mut self, id: QueryId, at: Option<Time>) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        if let Some(was) = q.due.take() {
            self.due.remove(&(was, id));
        }
        if let Some(at) = at {
            q.due = Some(at);
            self.due.insert((at, id));
        }
    }

    /// A query of two phases was taken, with the slices of its first and their weights.
    pub fn on_query(&mut self, now: Time, id: QueryId, class: usize, parts: &[(u32, f64)]) {
        let Some(rules) = self.rules.get(class).and_then(Option::as_ref) else {
            return;
        };
        let held = |&(slice, weight): &(u32, f64)| {
            (
                slice,
                Held {
                    weight,
                    out: None,
                    done: false,
                },
            )
        };
        let aim_at = now.plus(rules.latency_target);
        let most = now.plus((rules.latency_target as f64 * rules.first_share) as Micros);
        let query = Query {
            class,
            arrived: now,
            aim_at,
            second: false,
            closed: false,
            parts: parts.iter().map(held).collect(),
            have: 0.0,
            wanted: 0,
            granted: 0,
            race: None,
            due: None,
        };
        self.queries.insert(id, query);
        self.set_due(id, Some(most));
    }

    /// A part was sent to a server that has so many parts pending.
    pub fn on_sent(&mut self, now: Time, id: QueryId, slice: u32, pending: f64) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        let second = q.second;
        if let Some(part) = q.parts.get_mut(&slice) {
            part.out = Some((now, pending));
        }
        if let Some(times) = self.times.get_mut(q.class).filter(|_| second) {
            times.usual_pending += 0.05 * (pending - times.usual_pending);
        }
    }

    /// An attempt ended well after so long; `pending` as it was when it was sent. Of a sorted
    /// second phase the keys and count that came.
    pub fn on_answer(
        &mut self,
        now: Time,
        (id, slice): (QueryId, u32),
        (second, took, pending): (bool, Micros, f64),
        told: Option<Bound>,
    ) -> Vec<Verdict> {
        let Some(q) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        if let Some(times) = self.times.get_mut(q.class) {
            let learnt = if second {
                &mut times.second
            } else {
                &mut times.first
            };
            learnt.add(now, took, pending);
        }
        if q.second != second {
            return Vec::new();
        }
        let Some(part) = q.parts.get_mut(&slice).filter(|p| !p.done) else {
            return Vec::new();
        };
        (part.done, part.out) = (true, None);
        q.have += part.weight;
        if !second {
            return self.judge_first(now, id).into_iter().collect();
        }
        let mut verdicts = Vec::new();
        if let (Some(race), Some(bound)) = (&mut q.race, told) {
            if race.tell(slice, bound.keys, bound.matched).is_err() {
                // Nothing that rests on bounds is proved any more.
                q.race = None;
                verdicts.push(Verdict::Doubt(id, Reason::WrongBound { slice }));
            }
        }
        verdicts.extend(self.beaten(id));
        verdicts
    }

    /// An attempt that was sent then ended without an answer; `gave_up`: it was out for so long,
    /// where so much was pending, and was not waited for any longer.
    pub fn on_loss(
        &mut self,
        now: Time,
        (id, slice): (QueryId, u32),
        second: bool,
        sent: Time,
        gave_up: Option<(Micros, f64)>,
    ) {
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        if let (Some(times), Some((out, pending))) = (self.times.get_mut(q.class), gave_up) {
            let learnt = if second {
                &mut times.second
            } else {
                &mut times.first
            };
            learnt.add_unanswered(now, out, pending);
        }
        // A copy that is out goes on: only the attempt that was sent last is forgotten.
        if let Some(part) = q.parts.get_mut(&slice).filter(|_| q.second == second) {
            part.out = part.out.filter(|out| out.0 != sent);
        }
    }

    /// A query is over.
    pub fn on_end(&mut self, id: QueryId) {
        self.set_due(id, None);
        self.queries.remove(&id);
    }

    /// Looks at the queries that are due.
    pub fn on_time(&mut self, now: Time) -> Vec<Verdict> {
        let due: Vec<QueryId> = self
            .due
            .iter()
            .take_while(|d| d.0 <= now)
            .map(|d| d.1)
            .collect();
        let mut verdicts = Vec::new();
        for id in due {
            self.set_due(id, None);
            let second = self.queries.get(&id).is_some_and(|q| q.second);
            verdicts.extend(if second {
                self.judge_second(now, id)
            } else {
                self.judge_first(now, id).into_iter().collect()
            });
        }
        verdicts
    }

    /// Whether the first phase is to end now.
    fn judge_first(&mut self, now: Time, id: QueryId) -> Option<Verdict> {
        let q = self.queries.get(&id)?;
        let rules = self.rules.get(q.class)?.clone()?;
        let most = q
            .arrived
            .plus((rules.latency_target as f64 * rules.first_share) as Micros);
        // Under the least share there is nothing to decide, and a whole first phase ends by itself.
        if q.closed || q.second || q.have + 1e-4 < rules.floor || q.have + 1e-5 >= rules.need {
            let later = (now < most && !q.closed).then_some(most);
            // Past its share and still under the least: looked at again as parts come in.
            self.set_due(id, later);
            return None;
        }
        let (took, have) = (now.since(q.arrived), q.have);
        let why = if now >= most {
            Some(Reason::FirstShare { took, have })
        } else {
            let times = self.times.get_mut(q.class)?;
            let missing: Vec<Missing> = q
                .parts
                .values()
                .filter(|p| !p.done)
                .map(|p| Missing {
                    weight: p.weight,
                    out: p.out.map(|(sent, _)| now.since(sent)),
                    pending: p.out.map_or(0.0, |o| o.1),
                })
                .collect();
            if times.first.known() {
                let found = budget::prospect(&rules, times, now, q.aim_at, have, &missing);
                let closes = found.now + MARGIN >= found.waiting;
                closes.then_some(Reason::Worth {
                    have,
                    now: found.now,
                    waiting: found.waiting,
                })
            } else {
                None
            }
        };
        match why {
            Some(why) => {
                self.queries.get_mut(&id)?.closed = true;
                self.set_due(id, None);
                Some(Verdict::Close(id, why))
            }
            None => {
                self.set_due(id, Some(now.plus(LOOK).min(most)));
                None
            }
        }
    }

    /// The aim has passed: whether what is left can still earn enough.
    fn judge_second(&mut self, now: Time, id: QueryId) -> Vec<Verdict> {
        let Some(q) = self.queries.get(&id) else {
            return Vec::new();
        };
        let Some(rules) = self.rules.get(q.class).and_then(Option::as_ref) else {
            return Vec::new();
        };
        if now < q.aim_at {
            let aim_at = q.aim_at;
            self.set_due(id, Some(aim_at));
            return Vec::new();
        }
        let in_time = q.parts.values().filter(|p| p.done).count() + q.granted;
        // From the least share on the module answers with what is in.
        if in_time >= rules.least_parts(q.wanted) {
            return Vec::new();
        }
        let why = Reason::TooLittle {
            expected: rules.late_share,
            least: rules.least_gain,
        };
        if rules.late_share < rules.least_gain {
            vec![Verdict::GiveUp(id, why)]
        } else {
            Vec::new()
        }
    }

    /// Parts of a sorted second phase that are out and can't change the answer any more.
    fn beaten(&mut self, id: QueryId) -> Vec<Verdict> {
        let Some(q) = self.queries.get_mut(&id) else {
            return Vec::new();
        };
        let Some((race, k)) = q.race.as_ref().map(|race| (race, race.k())) else {
            return Vec::new();
        };
        let mut verdicts = Vec::new();
        for (&slice, part) in q.parts.iter_mut().filter(|(_, p)| !p.done) {
            if matches!(race.reach(slice), Reach::Beaten | Reach::Exhausted) {
                (part.done, part.out) = (true, None);
                q.have += part.weight;
                verdicts.push(Verdict::Unneeded(id, slice, Reason::Bound { slice, k }));
            }
        }
        verdicts
    }

    /// The first phase has ended with these answers: what the second is to be. `pending` tells how
    /// many parts of this broker wait at the server that a part for a slice would go to; `None`: no
    /// server takes it.
    pub fn between(
        &mut self,
        now: Time,
        id: QueryId,
        goal: Goal,
        mut firsts: Vec<First>,
        pending: impl Fn(u32) -> Option<f64>,
    ) -> Option<Plan> {
        let q = self.queries.get_mut(&id)?;
        let rules = self.rules.get(q.class)?.as_ref()?;
        let times = self.times.get_mut(q.class)?;
        let (mut race, mut proved, mut order) = (None, Vec::new(), Vec::new());
        match goal {
            Goal::BestScores => {
                firsts.sort_by(|a, b| b.score.total_cmp(&a.score).then(a.slice.cmp(&b.slice)));
                order.extend(firsts.iter().take(rules.wanted).map(|f| (f.slice, None)));
            }
            Goal::Top(k, way) => {
                let mut all = Race::new(k, way);
                firsts.into_iter().for_each(|f| {
                    let empty = Bound {
                        slice: f.slice,
                        keys: Vec::new(),
                        matched: None,
                    };
                    all.enter(f.bound.unwrap_or(empty));
                });
                for (slice, reach) in all.reaches() {
                    match reach {
                        Reach::Elements(most) => order.push((slice, Some(most))),
                        Reach::Unknown => order.push((slice, Some(k))),
                        Reach::Exhausted => proved.push(slice),
                        Reach::Beaten if rules.prune => proved.push(slice),
                        Reach::Beaten => order.push((slice, Some(k))),
                    }
                }
                race = rules.prune.then_some(all);
            }
        }
        let (wanted, granted) = match goal {
            Goal::BestScores => (order.len(), 0),
            Goal::Top(..) => (order.len() + proved.len(), proved.len()),
        };
        let left = q.aim_at.since(now);
        let candidates: Vec<Candidate> = order
            .iter()
            .map(|&(slice, _)| Candidate {
                slice,
                pending: pending(slice),
            })
            .collect();
        let shrunk = budget::shrink(rules, times, now, left, &candidates, (wanted, granted));
        let keep: BTreeSet<u32> = shrunk.keep.iter().copied().collect();
        let mut why = vec![Reason::Fits {
            sent: keep.len(),
            wanted,
            proved: proved.len(),
            left,
            weakest: shrunk.weakest,
        }];
        let give_up = !order.is_empty() && shrunk.expected < rules.least_gain;
        if give_up {
            why.push(Reason::TooLittle {
                expected: shrunk.expected,
                least: rules.least_gain,
            });
        }
        let parts: Vec<(u32, Option<usize>)> = order
            .iter()
            .copied()
            .filter(|p| keep.contains(&p.0))
            .collect();
        let left_out = order
            .iter()
            .map(|p| p.0)
            .filter(|s| !keep.contains(s))
            .collect();
        let weight = 1.0 / wanted.max(1) as f64;
        let held = |&(slice, _): &(u32, Option<usize>)| {
            (
                slice,
                Held {
                    weight,
                    out: None,
                    done: false,
                },
            )
        };
        (q.second, q.have, q.wanted, q.granted) = (true, weight * granted as f64, wanted, granted);
        (q.parts, q.race) = (parts.iter().map(held).collect(), race);
        let aim_at = q.aim_at;
        self.set_due(id, Some(aim_at));
        Some(Plan {
            parts,
            wanted,
            left_out,
            proved,
            give_up,
            why,
        })
    }
}

#[cfg(test)]
mod tests;

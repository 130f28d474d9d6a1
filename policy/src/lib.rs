//! Every decision of the co-ordinator. Its types, events and actions are the package `interface`.
//!
//! The ordinary path is BASIC with REQS (Friedman and Mosse 1996): a part goes to the replica with
//! the fewest calls of this instance pending, is copied once at half its aim, and the losing twin
//! is cancelled. All else is a guard with its condition at the code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod completion;
mod health;
mod selection;
mod server_list;
mod tuning;

use lichenswitch_interface::{
    Action, Class, Discovery, Event, Micros, Outcome, PartId, QueryId, ServerId, Settings, Time,
};
use lichenswitch_stats::{
    scaled, AttemptState, DecayingMean, DecayingValue, InFlightAttempt, Part, Query, SeededRng,
    Server, TenantQuotas, WindowCount,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tuning::*;

/// One co-ordinator: the decisions of one broker.
#[derive(Default)]
pub struct Coordinator {
    settings: Settings,
    rng: SeededRng,
    salt: u64,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers of each cell, and how many there are in all.
    cells: BTreeMap<u32, Vec<ServerId>>,
    ready: usize,
    /// Share of bad ends at the servers of each zone, for what befalls all classes.
    zones: BTreeMap<u32, DecayingValue>,
    /// Share of losses on connections in use and on those that had been idle.
    losses: [DecayingValue; 2],
    queries: BTreeMap<QueryId, Query>,
    numbers: BTreeMap<u32, QueryId>,
    /// The query of each part, and its place there.
    parts: HashMap<PartId, (QueryId, usize)>,
    in_flight: HashMap<(PartId, u16), InFlightAttempt>,
    /// Common answer time by class and step.
    common_times: Vec<DecayingMean>,
    calls: u64,
    /// The first call of this turn.
    first_call: u64,
    copy_tokens: f64,
    /// Share of copied parts whose copy proved the first attempt lost or held up alone.
    copy_usefulness: DecayingMean,
    /// Share of its aim that a query's forecast may take.
    admit: f64,
    /// Mean worth of queries for their work.
    value: DecayingMean,
    /// Class, key, start and gain of queries turned away, whose clients may be back.
    refused: VecDeque<(usize, u64, Time, f64)>,
    quotas: TenantQuotas,
    /// Class, key and time of queries stopped as poison.
    poison: Vec<(usize, u64, Time)>,
    /// Processes that share what is allowed to this instance.
    processes: u32,
    /// The first turn, and the answers since.
    began: Time,
    answered: u64,
    answered_at: Time,
    admitted: WindowCount,
    retries: WindowCount,
    wake_at: Option<Time>,
    subscribe_at: Option<Time>,
    subscribe_backoff: Micros,
}

impl Coordinator {
    /// A new instance that knows nothing yet. The same seed, settings and events give the same
    /// actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Coordinator {
            rng: SeededRng(fastrand::Rng::with_seed(seed)),
            salt: seed,
            common_times: vec![DecayingMean::default(); settings.classes.len() * 2],
            copy_tokens: COPY_SAVED / 2.0,
            admit: ADMIT,
            processes: 1,
            began: Time(u64::MAX),
            subscribe_at: Some(Time(0)),
            subscribe_backoff: ASK_FIRST,
            quotas: TenantQuotas::new(&settings.quotas, settings.instances),
            settings,
            ..Coordinator::default()
        }
    }

    /// Takes in all events of this turn, then decides.
    pub fn turn(&mut self, now: Time, events: Vec<Event>, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.began = self.began.min(self.now);
        self.first_call = self.calls;
        for event in events {
            self.on_event(event, actions);
        }
        let next_look_at = self
            .queries
            .iter()
            .filter(|(_, q)| q.next_look_at <= self.now)
            .map(|(&id, _)| id);
        for id in next_look_at.collect::<Vec<_>>() {
            self.advance(id, actions);
        }
        if self.subscribe_at.is_some_and(|at| at <= self.now) {
            self.subscribe_at = None;
            actions.extend(
                matches!(self.settings.discovery, Discovery::Ask(_)).then_some(Action::Subscribe),
            );
        }
        self.schedule_wake(actions);
    }

    /// When a query has to be looked at again: at its end, when it may be answered in part, when a
    /// part is to be copied, and soon while something that it wants to send is withheld.
    fn next_look_of(&self, q: &Query) -> Time {
        let soon = self.now.plus(if self.settings.limits.second_copies {
            LOOK
        } else {
            TRAVEL
        });
        let partial = q.arrived.plus(self.partial_after(q));
        let mut next_look_at = self
            .end_of(q)
            .min(if partial > self.now { partial } else { soon });
        let again =
            |i: usize| q.parts[i].attempts_made() < self.settings.attempts_of(q.class) as usize;
        if q.agenda.idle_parts().next().is_some() || q.agenda.due_parts(self.now).any(again) {
            next_look_at = next_look_at.min(soon);
        }
        next_look_at = next_look_at.min(q.agenda.next_check(self.now).unwrap_or(next_look_at));
        next_look_at
    }

    fn schedule_wake(&mut self, actions: &mut Vec<Action>) {
        let Some(next_look_at) = self
            .queries
            .values()
            .map(|q| q.next_look_at)
            .chain(self.subscribe_at)
            .min()
        else {
            return;
        };
        let next_look_at = next_look_at.max(self.now.plus(self.settings.resolution.max(1)));
        if self.wake_at.is_none_or(|at| next_look_at < at) {
            actions.push(Action::Wake(next_look_at.since(self.now).min(60_000_000)));
            self.wake_at = Some(next_look_at);
        }
    }

    fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        if matches!(event, Event::Query { .. } | Event::Part { .. })
            && self.settings.limits.budget.is_some()
        {
            self.admitted.add(self.now);
        }
        match event {
            Event::Query {
                query,
                number,
                class,
                deadline,
                key,
                again,
                tenant,
            } => {
                let Some(last) = self.settings.classes.len().checked_sub(1) else {
                    return;
                };
                let class = usize::from(class).min(last);
                let (target_at, value_share) = self.target_and_value(class, key, again, tenant);
                let (latency_target, patience) = (
                    self.settings.classes[class].latency_target,
                    deadline.since(self.now),
                );
                let left = target_at.since(self.now);
                let window = if left > latency_target / 10 {
                    left
                } else {
                    latency_target
                }
                .min(patience);
                // One part goes ahead where another query of the class was poison, if there is time
                // for it.
                let sends_one_part_ahead =
                    window as f64 > self.common_times[class * 2].or(0.0) * POISON_AIMS;
                let q = Query {
                    number,
                    class,
                    arrived: self.now,
                    deadline,
                    key,
                    target_at,
                    value_share,
                    window,
                    step: 1,
                    step_at: self.now,
                    sends_one_part_ahead: sends_one_part_ahead
                        && self.recent_poison(class).next().is_some(),
                    next_look_at: self.now,
                    ..Query::default()
                };
                self.numbers.insert(number, query);
                self.queries.insert(query, q);
            }
            Event::Placement { number, placement } => {
                let query = self
                    .numbers
                    .get(&number)
                    .and_then(|id| self.queries.get_mut(id));
                query.into_iter().for_each(|q| q.placement = placement);
            }
            Event::Part {
                part,
                number,
                shard,
                weight,
            } => {
                let Some(&id) = self.numbers.get(&number) else {
                    return;
                };
                let Some(q) = self.queries.get_mut(&id) else {
                    return;
                };
                let step = q.step;
                q.agenda.set_idle(q.parts.len());
                self.parts.insert(part, (id, q.parts.len()));
                q.parts.push(Part {
                    id: part,
                    shard,
                    weight,
                    step,
                    ..Part::default()
                });
                (
                    q.count,
                    q.single_attempt_parts,
                    q.total_weight,
                    q.next_look_at,
                ) = (
                    q.count + 1,
                    q.single_attempt_parts + 1,
                    q.total_weight + weight,
                    self.now,
                );
            }
            Event::Hangup(id) => self.remove_query(id, actions),
            Event::Close(id) => drop(
                self.queries
                    .get_mut(&id)
                    .map(|q| (q.is_closing, q.next_look_at) = (true, self.now)),
            ),
            Event::GiveUp(id) => self.give_up(id, actions),
            Event::Unneeded(part) => self.unneeded(part, actions),
            Event::Finished {
                part,
                attempt,
                outcome,
                elapsed,
                ..
            } => {
                self.finished((part, attempt), outcome, elapsed, actions);
            }
            Event::Probed { .. } => {} // It proves a process, not a service; none is sent.
            Event::List(listing) => self.on_server_list(listing),
            Event::Classes(classes) => self.set_classes(classes),
            Event::Budget(budget) => self.settings.limits.budget = budget,
            Event::Load { server, load } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.load = load;
                }
            }
            Event::Processes(count) => {
                self.processes = count.map_or(u32::MAX, |count| count.max(1));
                self.quotas.share(
                    &self.settings.quotas,
                    self.settings.instances.saturating_mul(self.processes),
                );
            }
            Event::Wake => self.wake_at = self.wake_at.filter(|&at| at > self.now),
        }
    }

    /// What was learnt of a class goes with it.
    fn set_classes(&mut self, mut classes: Vec<Class>) {
        let old = &self.settings.classes;
        classes.extend_from_slice(old.get(classes.len()..).unwrap_or_default());
        let same: Vec<bool> = (0..classes.len())
            .map(|i| old.get(i) == Some(&classes[i]))
            .collect();
        self.common_times
            .resize(classes.len() * 2, DecayingMean::default());
        let changed = self
            .common_times
            .iter_mut()
            .zip(0usize..)
            .filter(|(_, i)| !same[i / 2]);
        changed.for_each(|(norm, _)| *norm = DecayingMean::default());
        self.servers.values_mut().for_each(|s| s.on_classes(&same));
        self.settings.classes = classes;
    }

    /// When the aim of a query is over, from the client's first try on, and that try's gain. A
    /// further try is of a class and key turned away before and, where clients mark such, marked.
    /// Guards against late tries that crowd out fresh ones. Harm: unmarked, a fresh query of a hot
    /// key may be taken for one.
    fn target_and_value(
        &mut self,
        class: usize,
        key: u64,
        again: bool,
        tenant: u32,
    ) -> (Time, f64) {
        let (classes, now) = (&self.settings.classes, self.now);
        self.refused
            .retain(|a| now.since(a.2) < classes[a.0].deadline);
        let known = if self.settings.marks_retry {
            again
        } else {
            key != 0
        };
        let back = self
            .refused
            .iter()
            .position(|a| known && a.0 == class && a.1 == key);
        let first = back
            .and_then(|i| self.refused.remove(i))
            .map(|(.., began, value_share)| (began, value_share));
        let fresh = || {
            (
                now,
                if self.quotas.within(now, tenant) {
                    1.0
                } else {
                    self.settings.over_quota
                },
            )
        };
        let (began, value_share) = first.unwrap_or_else(fresh);
        (began.plus(classes[class].latency_target), value_share)
    }

    /// A part of the present step that is not needed any more counts as answered.
    fn unneeded(&mut self, part: PartId, actions: &mut Vec<Action>) {
        let Some(&(id, i)) = self.parts.get(&part) else {
            return;
        };
        let Some(q) = self
            .queries
            .get_mut(&id)
            .filter(|q| q.parts[i].step == q.step)
        else {
            return;
        };
        if !std::mem::replace(&mut q.parts[i].is_answered, true) {
            q.agenda.remove(i);
            (q.answered_weight, q.next_look_at) = (q.answered_weight + q.parts[i].weight, self.now);
            q.single_attempt_parts -= usize::from(q.parts[i].attempts.len() < 2);
            let losers = q.parts[i]
                .in_flight()
                .filter(|_| self.settings.limits.cancel);
            actions.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }

    fn finished(
        &mut self,
        attempt_id: (PartId, u16),
        outcome: Outcome,
        elapsed: Micros,
        actions: &mut Vec<Action>,
    ) {
        let (part, attempt) = attempt_id;
        let Some(flight) = self.in_flight.remove(&attempt_id) else {
            return;
        };
        let ghost_until = self.now.plus(scaled(
            self.settings.classes[flight.norm / 2].latency_target,
            GHOST_AIMS,
        ));
        if let Some(server) = self.servers.get_mut(&flight.server) {
            if let Some(call) = server.calls.iter_mut().find(|c| c.id == flight.call) {
                call.in_flight_parts = call.in_flight_parts.saturating_sub(1);
                if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
                    call.ghost_until = Some(ghost_until);
                }
            }
            if outcome == Outcome::Ok || outcome == Outcome::Error {
                let sent = flight.sent;
                server.newest_answered_send = server.newest_answered_send.max(sent);
                server.calls.retain_mut(|c| {
                    c.ghost_until = c.ghost_until.filter(|_| c.sent > sent);
                    c.in_flight_parts > 0 || c.ghost_until.is_some()
                });
            }
        }
        let Some(&(id, i)) = self.parts.get(&part) else {
            return self.record_outcome(&flight, (outcome, elapsed), actions);
        };
        let query = self.queries.get(&id);
        // Of one query two resets at most are those of idle connections: poison looks like them.
        let broken = outcome == Outcome::Reset
            && query.is_some_and(|q| q.broken_servers.len() + 1 >= POISON);
        self.record_outcome(
            &flight,
            (
                if broken {
                    Outcome::ConnectFailed
                } else {
                    outcome
                },
                elapsed,
            ),
            actions,
        );
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        q.next_look_at = self.now;
        let Some(p) = q.parts.get_mut(i) else { return };
        let Some(this) = p.attempts.get_mut(usize::from(attempt)) else {
            return;
        };
        this.state = if outcome.never_ran() {
            AttemptState::NeverRan
        } else {
            AttemptState::MayHaveRun
        };
        this.ended = self.now;
        p.never_left += usize::from(outcome == Outcome::Moot);
        p.is_unreachable = outcome == Outcome::ConnectFailed;
        if outcome == Outcome::Reset && !(broken && flight.on_idle_connection) {
            q.sends_one_part_ahead |= !q.answered;
            q.broken_servers.insert(flight.server);
        }
        let present = p.step == q.step && !p.is_answered;
        if present && p.in_flight().next().is_none() {
            q.agenda.set_idle(i);
        }
        if outcome == Outcome::Ok && !p.is_answered {
            (q.sends_one_part_ahead, q.answered, p.is_answered) = (false, true, true);
            if present {
                q.agenda.remove(i);
                q.answered_weight += p.weight;
                q.single_attempt_parts -= usize::from(p.attempts.len() < 2);
            }
            // Guards against silence that befalls more parts than may be copied: hung servers, lost
            // answers, a class unanswered, a path cut; and against copies that feed an overload:
            // there the first attempt answers as soon, and the share of copies falls. Harm: where
            // load is uneven more is done twice; the first parts of a new silence wait for its
            // proof.
            let (sent, first) = (p.attempts[usize::from(attempt)].sent, &p.attempts[0]);
            let first_was_lost = first.state == AttemptState::InFlight
                && elapsed as f64 * LOST < sent.since(first.sent) as f64;
            if p.attempts.len() > 1 && (attempt == 0 || first.state == AttemptState::InFlight) {
                self.copy_usefulness
                    .add(f64::from(u8::from(first_was_lost)), USE_PACE);
                self.copy_tokens =
                    (self.copy_tokens + if first_was_lost { PROVED } else { 0.0 }).min(COPY_SAVED);
            }
            let losers = p.in_flight().filter(|_| self.settings.limits.cancel);
            actions.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }
}

//! Every decision of the co-ordinator. Its types, events and actions are the package `interface`.
//!
//! The ordinary path is BASIC with REQS (Friedman and Mosse 1996): a part goes to the replica with
//! the fewest calls of this instance pending, is copied once at half its aim, and the losing twin
//! is cancelled. All else is a guard with its condition at the code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod choice;
mod ends;
mod health;
mod list;
mod tuned;

use lichenswitch_interface::{
    Action, Class, Discovery, Event, Micros, Outcome, PartId, QueryId, ServerId, Settings, Time,
};
use lichenswitch_stats::{
    scaled, Aged, Dice, Fading, Fate, Flight, Part, Query, Quotas, Server, WindowCount,
};
use std::collections::{BTreeMap, HashMap, VecDeque};
use tuned::*;

/// One co-ordinator: the decisions of one broker.
#[derive(Default)]
pub struct Coordinator {
    set: Settings,
    rng: Dice,
    salt: u64,
    now: Time,
    servers: BTreeMap<ServerId, Server>,
    /// The ready servers of each cell, and how many there are in all.
    cells: BTreeMap<u32, Vec<ServerId>>,
    ready: usize,
    /// Share of bad ends at the servers of each zone, for what befalls all classes.
    zones: BTreeMap<u32, Aged>,
    /// Share of losses on connections in use and on those that had been idle.
    losses: [Aged; 2],
    queries: BTreeMap<QueryId, Query>,
    numbers: BTreeMap<u32, QueryId>,
    /// The query of each part, and its place there.
    parts: HashMap<PartId, (QueryId, usize)>,
    flights: HashMap<(PartId, u16), Flight>,
    /// Common answer time by class and step.
    norms: Vec<Fading>,
    calls: u64,
    /// The first call of this turn.
    first_call: u64,
    copy_tokens: f64,
    /// Share of copied parts whose copy proved the first attempt lost or held up alone.
    copy_use: Fading,
    /// Share of its aim that a query's forecast may take.
    admit: f64,
    /// Mean worth of queries for their work.
    value: Fading,
    /// Class, key, start and gain of queries turned away, whose clients may be back.
    away: VecDeque<(usize, u64, Time, f64)>,
    quotas: Quotas,
    /// Class, key and time of queries stopped as poison.
    poison: Vec<(usize, u64, Time)>,
    /// Processes that share what is allowed to this instance.
    processes: u32,
    /// The first turn, and the answers since.
    began: Time,
    answered: u64,
    answered_at: Time,
    taken: WindowCount,
    further: WindowCount,
    wake_at: Option<Time>,
    ask_at: Option<Time>,
    ask_gap: Micros,
}

impl Coordinator {
    /// A new instance that knows nothing yet. The same seed, settings and events give the same
    /// actions.
    #[must_use]
    pub fn new(seed: u64, settings: Settings) -> Self {
        Coordinator {
            rng: Dice(fastrand::Rng::with_seed(seed)),
            salt: seed,
            norms: vec![Fading::default(); settings.classes.len() * 2],
            copy_tokens: COPY_SAVED / 2.0,
            admit: ADMIT,
            processes: 1,
            began: Time(u64::MAX),
            ask_at: Some(Time(0)),
            ask_gap: ASK_FIRST,
            quotas: Quotas::new(&settings.quotas, settings.instances),
            set: settings,
            ..Coordinator::default()
        }
    }

    /// Takes in all events of this turn, then decides.
    pub fn turn(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.began = self.began.min(self.now);
        self.first_call = self.calls;
        for event in events {
            self.take_in(event, out);
        }
        let due = self
            .queries
            .iter()
            .filter(|(_, q)| q.due <= self.now)
            .map(|(&id, _)| id);
        for id in due.collect::<Vec<_>>() {
            self.advance(id, out);
        }
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            out.extend(
                matches!(self.set.discovery, Discovery::Ask(_)).then_some(Action::Subscribe),
            );
        }
        self.sleep(out);
    }

    /// When a query has to be looked at again: at its end, when it may be answered in part, when a
    /// part is to be copied, and soon while something that it wants to send is withheld.
    fn due_of(&self, q: &Query) -> Time {
        let soon = self.now.plus(if self.set.limits.second_copies {
            LOOK
        } else {
            TRAVEL
        });
        let partial = q.arrived.plus(self.partial_after(q));
        let mut due = self
            .end_of(q)
            .min(if partial > self.now { partial } else { soon });
        let again = |i: usize| q.parts[i].made() < self.set.attempts_of(q.class) as usize;
        if q.agenda.idle().next().is_some() || q.agenda.due(self.now).any(again) {
            due = due.min(soon);
        }
        due = due.min(q.agenda.next(self.now).unwrap_or(due));
        due
    }

    fn sleep(&mut self, out: &mut Vec<Action>) {
        let Some(due) = self
            .queries
            .values()
            .map(|q| q.due)
            .chain(self.ask_at)
            .min()
        else {
            return;
        };
        let due = due.max(self.now.plus(self.set.resolution.max(1)));
        if self.wake_at.is_none_or(|at| due < at) {
            out.push(Action::Wake(due.since(self.now).min(60_000_000)));
            self.wake_at = Some(due);
        }
    }

    fn take_in(&mut self, event: Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Query { .. } | Event::Part { .. })
            && self.set.limits.budget.is_some()
        {
            self.taken.add(self.now);
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
                let Some(last) = self.set.classes.len().checked_sub(1) else {
                    return;
                };
                let class = usize::from(class).min(last);
                let (aim_at, gain) = self.start_of(class, key, again, tenant);
                let (latency_target, patience) = (
                    self.set.classes[class].latency_target,
                    deadline.since(self.now),
                );
                let left = aim_at.since(self.now);
                let window = if left > latency_target / 10 {
                    left
                } else {
                    latency_target
                }
                .min(patience);
                // One part goes ahead where another query of the class was poison, if there is time
                // for it.
                let ahead = window as f64 > self.norms[class * 2].or(0.0) * POISON_AIMS;
                let q = Query {
                    number,
                    class,
                    arrived: self.now,
                    deadline,
                    key,
                    aim_at,
                    gain,
                    window,
                    step: 1,
                    step_at: self.now,
                    ahead: ahead && self.stopped(class).next().is_some(),
                    due: self.now,
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
                q.agenda.rest(q.parts.len());
                self.parts.insert(part, (id, q.parts.len()));
                q.parts.push(Part {
                    id: part,
                    shard,
                    weight,
                    step,
                    ..Part::default()
                });
                (q.count, q.once, q.total, q.due) =
                    (q.count + 1, q.once + 1, q.total + weight, self.now);
            }
            Event::Hangup(id) => self.forget(id, out),
            Event::Close(id) => drop(
                self.queries
                    .get_mut(&id)
                    .map(|q| (q.closed, q.due) = (true, self.now)),
            ),
            Event::GiveUp(id) => self.give_up(id, out),
            Event::Unneeded(part) => self.unneeded(part, out),
            Event::Finished {
                part,
                attempt,
                outcome,
                elapsed,
                ..
            } => {
                self.finished((part, attempt), outcome, elapsed, out);
            }
            Event::Probed { .. } => {} // It proves a process, not a service; none is sent.
            Event::List(listing) => self.listed(listing),
            Event::Classes(classes) => self.set_classes(classes),
            Event::Budget(budget) => self.set.limits.budget = budget,
            Event::Load { server, load } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.load = load;
                }
            }
            Event::Processes(count) => {
                self.processes = count.map_or(u32::MAX, |count| count.max(1));
                self.quotas.share(
                    &self.set.quotas,
                    self.set.instances.saturating_mul(self.processes),
                );
            }
            Event::Wake => self.wake_at = self.wake_at.filter(|&at| at > self.now),
        }
    }

    /// What was learnt of a class goes with it.
    fn set_classes(&mut self, mut classes: Vec<Class>) {
        let old = &self.set.classes;
        classes.extend_from_slice(old.get(classes.len()..).unwrap_or_default());
        let same: Vec<bool> = (0..classes.len())
            .map(|i| old.get(i) == Some(&classes[i]))
            .collect();
        self.norms.resize(classes.len() * 2, Fading::default());
        let changed = self
            .norms
            .iter_mut()
            .zip(0usize..)
            .filter(|(_, i)| !same[i / 2]);
        changed.for_each(|(norm, _)| *norm = Fading::default());
        self.servers.values_mut().for_each(|s| s.on_classes(&same));
        self.set.classes = classes;
    }

    /// When the aim of a query is over, from the client's first try on, and that try's gain. A
    /// further try is of a class and key turned away before and, where clients mark such, marked.
    /// Guards against late tries that crowd out fresh ones. Harm: unmarked, a fresh query of a hot
    /// key may be taken for one.
    fn start_of(&mut self, class: usize, key: u64, again: bool, tenant: u32) -> (Time, f64) {
        let (classes, now) = (&self.set.classes, self.now);
        self.away.retain(|a| now.since(a.2) < classes[a.0].deadline);
        let known = if self.set.marks_retry {
            again
        } else {
            key != 0
        };
        let back = self
            .away
            .iter()
            .position(|a| known && a.0 == class && a.1 == key);
        let first = back
            .and_then(|i| self.away.remove(i))
            .map(|(.., began, gain)| (began, gain));
        let fresh = || {
            (
                now,
                if self.quotas.within(now, tenant) {
                    1.0
                } else {
                    self.set.over_quota
                },
            )
        };
        let (began, gain) = first.unwrap_or_else(fresh);
        (began.plus(classes[class].latency_target), gain)
    }

    /// A part of the present step that is not needed any more counts as answered.
    fn unneeded(&mut self, part: PartId, out: &mut Vec<Action>) {
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
        if !std::mem::replace(&mut q.parts[i].done, true) {
            q.agenda.settled(i);
            (q.have, q.due) = (q.have + q.parts[i].weight, self.now);
            q.once -= usize::from(q.parts[i].tries.len() < 2);
            let losers = q.parts[i].out().filter(|_| self.set.limits.cancel);
            out.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }

    fn finished(
        &mut self,
        tried: (PartId, u16),
        outcome: Outcome,
        elapsed: Micros,
        out: &mut Vec<Action>,
    ) {
        let (part, attempt) = tried;
        let Some(flight) = self.flights.remove(&tried) else {
            return;
        };
        let ghost = self.now.plus(scaled(
            self.set.classes[flight.norm / 2].latency_target,
            GHOST_AIMS,
        ));
        if let Some(server) = self.servers.get_mut(&flight.server) {
            if let Some(call) = server.calls.iter_mut().find(|c| c.id == flight.call) {
                call.left = call.left.saturating_sub(1);
                if matches!(outcome, Outcome::Timeout | Outcome::Cancelled) {
                    call.ghost = Some(ghost);
                }
            }
            if outcome == Outcome::Ok || outcome == Outcome::Error {
                let sent = flight.sent;
                server.proved = server.proved.max(sent);
                server.calls.retain_mut(|c| {
                    c.ghost = c.ghost.filter(|_| c.sent > sent);
                    c.left > 0 || c.ghost.is_some()
                });
            }
        }
        let Some(&(id, i)) = self.parts.get(&part) else {
            return self.judge(&flight, (outcome, elapsed), out);
        };
        let query = self.queries.get(&id);
        // Of one query two resets at most are those of idle connections: poison looks like them.
        let broken =
            outcome == Outcome::Reset && query.is_some_and(|q| q.broke.len() + 1 >= POISON);
        self.judge(
            &flight,
            (
                if broken {
                    Outcome::ConnectFailed
                } else {
                    outcome
                },
                elapsed,
            ),
            out,
        );
        let Some(q) = self.queries.get_mut(&id) else {
            return;
        };
        q.due = self.now;
        let Some(p) = q.parts.get_mut(i) else { return };
        let Some(this) = p.tries.get_mut(usize::from(attempt)) else {
            return;
        };
        this.fate = if outcome.never_ran() {
            Fate::NeverRan
        } else {
            Fate::MayHaveRun
        };
        this.ended = self.now;
        p.unsent += usize::from(outcome == Outcome::Moot);
        p.unmet = outcome == Outcome::ConnectFailed;
        if outcome == Outcome::Reset && !(broken && flight.idle) {
            q.ahead |= !q.answered;
            q.broke.insert(flight.server);
        }
        let present = p.step == q.step && !p.done;
        if present && p.out().next().is_none() {
            q.agenda.rest(i);
        }
        if outcome == Outcome::Ok && !p.done {
            (q.ahead, q.answered, p.done) = (false, true, true);
            if present {
                q.agenda.settled(i);
                q.have += p.weight;
                q.once -= usize::from(p.tries.len() < 2);
            }
            // Guards against silence that befalls more parts than may be copied: hung servers, lost
            // answers, a class unanswered, a path cut; and against copies that feed an overload:
            // there the first attempt answers as soon, and the share of copies falls. Harm: where
            // load is uneven more is done twice; the first parts of a new silence wait for its
            // proof.
            let (sent, first) = (p.tries[usize::from(attempt)].sent, &p.tries[0]);
            let lost =
                first.fate == Fate::Out && elapsed as f64 * LOST < sent.since(first.sent) as f64;
            if p.tries.len() > 1 && (attempt == 0 || first.fate == Fate::Out) {
                self.copy_use.add(f64::from(u8::from(lost)), USE_PACE);
                self.copy_tokens =
                    (self.copy_tokens + if lost { PROVED } else { 0.0 }).min(COPY_SAVED);
            }
            let losers = p.out().filter(|_| self.set.limits.cancel);
            out.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }
}

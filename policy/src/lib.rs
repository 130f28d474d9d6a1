//! Every decision of the co-ordinator. Its types, events and actions are the package `interface`.
//!
//! The ordinary path is BASIC with REQS (Friedman and Mosse 1996): a part goes to the replica with the fewest
//! calls of this instance pending, is copied once at half its aim, and the losing twin is cancelled. All else
//! is a guard with its condition at the code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use lichenswitch_interface::{
    Action, Budget, Class, Discovery, Event, Listed, Listing, Micros, Mode, Outcome, PartId, QueryId, Repeat,
    ServerId, Settings, Shard, Time,
};
use lichenswitch_stats::{
    drawn, faded, scaled, Aged, Agenda, Bid, Call, Dice, Fading, Fate, Flight, Part, Quotas, Server, Try,
    Wanted, WindowCount,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

// ---- Tuned values ------------------------------------------------------------------------------------
/// Share of the aim (of a step's window) after which a part is copied. Lower: more copies in vain.
const COPY_SHARE: f64 = 0.5;
/// Copies to this share of recent parts. Higher: heals faster, feeds an overload.
const COPY_RATE: f64 = 0.1;
/// That share falls to this part of itself as copies prove useless, with no budget and with one; how fast
/// that is learnt; places that a copy gives back that proved its twin lost. Fewer heal late, more feed a jam.
const COPY_LEAST: [f64; 2] = [0.6, 0.2];
const USE_PACE: f64 = 0.3;
const PROVED: f64 = 2.0;
/// Copies that may be saved up while none are needed.
const COPY_SAVED: f64 = 6.0;
/// A copy that is answered in less than this part of the time that its twin had been waited for shows that
/// the twin was lost or held up there alone; it does not count to the tenth. Higher: fewer are let off.
const LOST: f64 = 2.0;
/// Share of the aim that the first of two steps may take.
const FIRST_STEP: f64 = 0.6;
/// Of its limit the first step takes this part where more instances than servers meet these seldom: what is
/// late then is at servers that others fill, or slow ones not known yet, and takes the second step's time.
const FIRST_SPARSE: f64 = 0.8;
/// Share of the aim before its end at which a partial answer is worth more than waiting.
const PARTIAL_AT: f64 = 0.92;
/// An unanswered attempt goes on counting against its server for this multiple of the class's aim.
const GHOST_AIMS: f64 = 3.0;
/// Faded share of bad ends above which a server is passed over: one met often must have been late twice, for
/// it may only have stood still, one met seldom once. What halves it: this long (microseconds), or the time
/// in which a server gets so many parts of this instance, up to MEMORY_MOST times as long.
const FAULTY: [f64; 2] = [0.55, 0.3];
const FAULT_HALF: f64 = 8_000_000.0;
const FAULT_PARTS: f64 = 8.0;
const MEMORY_MOST: f64 = 4.0;
/// Answer times this many times the common one begin to count as bad, and this many are fully bad.
const SLOW_FROM: f64 = 2.0;
const SLOW_FULL: f64 = 5.0;
/// How far one outcome moves that share: an answer (by its slowness), an error, one late at half its aim or
/// timed out, a broken connection or a part turned away as full; how fast common answer times are learnt.
const SLOW_PACE: f64 = 0.25;
const ERROR_PACE: f64 = 0.4;
const LATE_PACE: f64 = 0.45;
const BROKEN_PACE: f64 = 0.6;
const NORM_PACE: f64 = 0.05;
/// How fast the share of bad ends at all servers of a zone follows, and how far it must be above that of the
/// best zone for the way to be blamed; lower: one bad server of a small zone closes it.
const ZONE_PACE: f64 = 0.1;
const ZONE_WORSE: f64 = 0.5;
/// A connection unused for so long (microseconds) may have been dropped unseen: it is closed before a send
/// while the share of losses on such ones is this far above that on others; how both move and fade.
const IDLE: Micros = 700_000;
const IDLE_WORSE: f64 = 0.2;
const IDLE_PACE: f64 = 0.1;
const RESET_PACE: f64 = 0.25;
const IDLE_HALF: f64 = 20_000_000.0;
/// A query none of whose parts was answered is stopped when it has broken connections to this many servers;
/// for so long (microseconds) queries of its class that have time for some common answers send a part ahead.
const POISON: usize = 3;
const POISON_FOR: Micros = 20_000_000;
const POISON_AIMS: f64 = 4.0;
/// How fast the mean worth of queries for their work is learnt, and how much of the queue that may be waited
/// in a query gets by its own at least (no class is starved) and at most.
const VALUE_PACE: f64 = 0.05;
const VALUE_LEAST: f64 = 0.5;
const VALUE_MOST: f64 = 1.3;
/// Parts that a warm server works off in a common answer time (it has cores, the time holds waiting); part of
/// its allowance while cold that instances share alike, the rest goes by traffic; parts that may be saved;
/// answers after which an instance knows its traffic.
const COLD_PARTS: f64 = 1.5;
const COLD_ALIKE: f64 = 0.5;
const COLD_SAVED: f64 = 2.0;
const COLD_KNOWN: u64 = 20;
/// A query is turned away when its slowest part is expected to need more than a share of its aim: at first,
/// and within these bounds as answers come in time (a step) or late (a cut, if they had so much of the aim).
const ADMIT: f64 = 1.2;
const ADMIT_LEAST: f64 = 0.5;
const ADMIT_MOST: f64 = 2.0;
const ADMIT_STEP: f64 = 0.01;
const ADMIT_CUT: f64 = 0.85;
const ADMIT_AIM: f64 = 0.75;
/// How fast a server's recent answer time follows answers, and what shows that it is longer; its half-life.
const WAIT_PACE: f64 = 0.2;
const LEAST_PACE: f64 = 0.4;
const WAIT_HALF: f64 = 2_000_000.0;
/// Parts that a server is taken to work on at once beside those that wait, in the forecast.
const AT_ONCE: f64 = 2.0;
/// First wait before asking for the list again; doubles up to the most (microseconds).
const ASK_FIRST: Micros = 300_000;
const ASK_MOST: Micros = 4_000_000;
/// A server that is passed over counts as avoided once nothing went there or came back for so long.
const AVOIDED: Micros = 1_000_000;
/// Longest sleep between two looks at what is held; where no second copies are allowed, how long a part rests
/// after an attempt that may have run, of whose end the server may hear late (microseconds).
const LOOK: Micros = 100_000;
const TRAVEL: Micros = 20_000;

// ---- What is remembered ------------------------------------------------------------------------------
#[derive(Default)]
struct Query {
    number: u32,
    class: usize,
    key: u64,
    arrived: Time,
    deadline: Time,
    aim_at: Time,
    /// Share of its class's worth that it has: less beyond its tenant's quota.
    gain: f64,
    /// Time that it really has: to its aim, or to its end where that comes first or the aim has passed.
    window: Micros,
    step: u8,
    step_at: Time,
    first_whole: bool,
    /// Its present step is to end with what is in, if that is enough.
    closed: bool,
    /// One part goes ahead of the others until one has been answered.
    ahead: bool,
    /// Servers whose connection broke under a part of it.
    broke: BTreeSet<ServerId>,
    /// When it has to be looked at again, if nothing befalls it before.
    due: Time,
    parts: Vec<Part>,
    answered: bool, // A part, of whichever step.
    /// Of the present step: parts to look at, how many there are and how many are not done with fewer than
    /// two attempts, weight of all and of those done.
    agenda: Agenda,
    count: usize,
    once: usize,
    total: f64,
    have: f64,
}

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
    /// A new instance that knows nothing yet. The same seed, settings and events give the same actions.
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

    // ---- A turn ------------------------------------------------------------------------------------------
    /// Takes in all events of this turn, then decides.
    pub fn turn(&mut self, now: Time, events: Vec<Event>, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.began = self.began.min(self.now);
        self.first_call = self.calls;
        for event in events {
            self.take_in(event, out);
        }
        let due = self.queries.iter().filter(|(_, q)| q.due <= self.now).map(|(&id, _)| id);
        for id in due.collect::<Vec<_>>() {
            self.advance(id, out);
        }
        if self.ask_at.is_some_and(|at| at <= self.now) {
            self.ask_at = None;
            out.extend(matches!(self.set.discovery, Discovery::Ask(_)).then_some(Action::Subscribe));
        }
        self.sleep(out);
    }

    /// When a query has to be looked at again: at its end, when it may be answered in part, when a part is to
    /// be copied, and soon while something that it wants to send is withheld.
    fn due_of(&self, q: &Query) -> Time {
        let soon = self.now.plus(if self.set.limits.second_copies { LOOK } else { TRAVEL });
        let partial = q.arrived.plus(self.partial_after(q));
        let mut due = self.end_of(q).min(if partial > self.now { partial } else { soon });
        let again = |i: usize| q.parts[i].made() < self.set.attempts_of(q.class) as usize;
        if q.agenda.idle().next().is_some() || q.agenda.due(self.now).any(again) {
            due = due.min(soon);
        }
        due = due.min(q.agenda.next(self.now).unwrap_or(due));
        due
    }

    fn sleep(&mut self, out: &mut Vec<Action>) {
        let Some(due) = self.queries.values().map(|q| q.due).chain(self.ask_at).min() else { return };
        let due = due.max(self.now.plus(self.set.resolution.max(1)));
        if self.wake_at.is_none_or(|at| due < at) {
            out.push(Action::Wake(due.since(self.now).min(60_000_000)));
            self.wake_at = Some(due);
        }
    }

    // ---- Taking in events --------------------------------------------------------------------------------
    fn take_in(&mut self, event: Event, out: &mut Vec<Action>) {
        if matches!(event, Event::Query { .. } | Event::Part { .. }) && self.set.limits.budget.is_some() {
            self.taken.add(self.now);
        }
        match event {
            Event::Query { query, number, class, deadline, key, again, tenant } => {
                let Some(last) = self.set.classes.len().checked_sub(1) else { return };
                let class = usize::from(class).min(last);
                let (aim_at, gain) = self.start_of(class, key, again, tenant);
                let (aim, patience) = (self.set.classes[class].aim, deadline.since(self.now));
                let left = aim_at.since(self.now);
                let window = if left > aim / 10 { left } else { aim }.min(patience);
                // One part goes ahead where another query of the class was poison, if there is time for it.
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
            Event::Part { part, number, shard, weight } => {
                let Some(&id) = self.numbers.get(&number) else { return };
                let Some(q) = self.queries.get_mut(&id) else { return };
                let step = q.step;
                q.agenda.rest(q.parts.len());
                self.parts.insert(part, (id, q.parts.len()));
                q.parts.push(Part { id: part, shard, weight, step, ..Part::default() });
                (q.count, q.once, q.total, q.due) = (q.count + 1, q.once + 1, q.total + weight, self.now);
            }
            Event::Hangup(id) => self.forget(id, out),
            Event::Close(id) => drop(self.queries.get_mut(&id).map(|q| (q.closed, q.due) = (true, self.now))),
            Event::GiveUp(id) => self.give_up(id, out),
            Event::Unneeded(part) => self.unneeded(part, out),
            Event::Finished { part, attempt, outcome, elapsed, .. } => {
                self.finished((part, attempt), outcome, elapsed, out);
            }
            Event::Probed { .. } => {} // It proves a process, not a service; none is sent.
            Event::List(listing) => self.listed(listing),
            Event::Classes(classes) => self.set_classes(classes),
            Event::Budget(budget) => self.set.limits.budget = budget,
            Event::Running { server, streams } => {
                self.servers.entry(server).and_modify(|s| s.running = streams);
            }
            Event::Processes(count) => {
                self.processes = count.map_or(u32::MAX, |count| count.max(1));
                self.quotas.share(&self.set.quotas, self.set.instances.saturating_mul(self.processes));
            }
            Event::Wake => self.wake_at = self.wake_at.filter(|&at| at > self.now),
        }
    }

    /// What was learnt of a class goes with it.
    fn set_classes(&mut self, mut classes: Vec<Class>) {
        let old = &self.set.classes;
        classes.extend_from_slice(old.get(classes.len()..).unwrap_or_default());
        let same: Vec<bool> = (0..classes.len()).map(|i| old.get(i) == Some(&classes[i])).collect();
        self.norms.resize(classes.len() * 2, Fading::default());
        let forget =
            |(i, norm): (usize, &mut Fading)| *norm = if same[i / 2] { *norm } else { Fading::default() };
        self.norms.iter_mut().enumerate().for_each(forget);
        self.servers.values_mut().for_each(|s| s.on_classes(&same));
        self.set.classes = classes;
    }

    /// When the aim of a query is over, from the client's first try on, and that try's gain. A further try is
    /// of a class and key turned away before and, where clients mark such, marked. Guards against late tries
    /// that crowd out fresh ones. Harm: unmarked, a fresh query of a hot key may be taken for one.
    fn start_of(&mut self, class: usize, key: u64, again: bool, tenant: u32) -> (Time, f64) {
        let (classes, now) = (&self.set.classes, self.now);
        self.away.retain(|a| now.since(a.2) < classes[a.0].deadline);
        let known = if self.set.marks_retry { again } else { key != 0 };
        let back = self.away.iter().position(|a| known && a.0 == class && a.1 == key);
        let first = back.and_then(|i| self.away.remove(i)).map(|(.., began, gain)| (began, gain));
        let fresh = || (now, if self.quotas.within(now, tenant) { 1.0 } else { self.set.over_quota });
        let (began, gain) = first.unwrap_or_else(fresh);
        (began.plus(classes[class].aim), gain)
    }

    /// A part of the present step that is not needed any more counts as answered.
    fn unneeded(&mut self, part: PartId, out: &mut Vec<Action>) {
        let Some(&(id, i)) = self.parts.get(&part) else { return };
        let Some(q) = self.queries.get_mut(&id).filter(|q| q.parts[i].step == q.step) else { return };
        if !std::mem::replace(&mut q.parts[i].done, true) {
            q.agenda.settled(i);
            (q.have, q.due) = (q.have + q.parts[i].weight, self.now);
            q.once -= usize::from(q.parts[i].tries.len() < 2);
            let losers = q.parts[i].out().filter(|_| self.set.limits.cancel);
            out.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }

    fn finished(&mut self, tried: (PartId, u16), outcome: Outcome, elapsed: Micros, out: &mut Vec<Action>) {
        let (part, attempt) = tried;
        let Some(flight) = self.flights.remove(&tried) else { return };
        let ghost = self.now.plus(scaled(self.set.classes[flight.norm / 2].aim, GHOST_AIMS));
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
            return self.judge(&flight, outcome, elapsed, out);
        };
        let query = self.queries.get(&id);
        // Of one query two resets at most are those of idle connections: poison looks like them.
        let broken = outcome == Outcome::Reset && query.is_some_and(|q| q.broke.len() + 1 >= POISON);
        self.judge(&flight, if broken { Outcome::ConnectFailed } else { outcome }, elapsed, out);
        let Some(q) = self.queries.get_mut(&id) else { return };
        q.due = self.now;
        let Some(p) = q.parts.get_mut(i) else { return };
        let Some(this) = p.tries.get_mut(usize::from(attempt)) else { return };
        this.fate = if outcome.never_ran() { Fate::NeverRan } else { Fate::MayHaveRun };
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
            // Guards against silence that befalls more parts than may be copied: hung servers, lost answers,
            // a class unanswered, a path cut; and against copies that feed an overload: there the first
            // attempt answers as soon, and the share of copies falls. Harm: where load is uneven more is done
            // twice; the first parts of a new silence wait for its proof.
            let (sent, first) = (p.tries[usize::from(attempt)].sent, &p.tries[0]);
            let lost = first.fate == Fate::Out && elapsed as f64 * LOST < sent.since(first.sent) as f64;
            if p.tries.len() > 1 && (attempt == 0 || first.fate == Fate::Out) {
                self.copy_use.add(f64::from(u8::from(lost)), USE_PACE);
                self.copy_tokens = (self.copy_tokens + if lost { PROVED } else { 0.0 }).min(COPY_SAVED);
            }
            let losers = p.out().filter(|_| self.set.limits.cancel);
            out.extend(losers.map(|attempt| Action::Cancel { part, attempt }));
        }
    }

    // ---- Health of servers -------------------------------------------------------------------------------
    /// Whether an attempt of a class at a server will end well and in time, as the faded share of bad ends.
    /// Errors and silence count by class, silence half for the others, what befalls the connection for all.
    /// Guards against servers that fail, hang, stall, slow down, lose answers or connections, for one class
    /// or all, or for this instance alone. It fades, so that a real part tries again. Harm: a few unlucky
    /// parts suffice; under load the slowest are passed over in turn.
    fn judge(&mut self, flight: &Flight, outcome: Outcome, elapsed: Micros, out: &mut Vec<Action>) {
        let (class, all, now) = (flight.norm / 2, self.set.classes.len(), self.now);
        let (norm, took) = (self.norms[flight.norm].or(elapsed as f64), elapsed as f64);
        if let Some(s) = self.servers.get_mut(&flight.server) {
            let (ok, wait) = (outcome == Outcome::Ok, s.wait.or(norm));
            // What did not answer would have taken as long at least; a full queue is half the aim long.
            let (sample, pace) = match outcome {
                Outcome::Ok => (took.min(2.0 * wait.max(norm)), WAIT_PACE),
                Outcome::Rejected => (self.set.classes[class].aim as f64 / 2.0, LEAST_PACE),
                Outcome::Timeout | Outcome::Cancelled => (took, LEAST_PACE),
                _ => (0.0, 0.0),
            };
            if ok || sample > wait {
                s.wait.add(sample, pace);
                s.depth.add(flight.depth, pace);
                s.wait_at = now;
            }
            (s.used, s.idle) = (if ok { now } else { s.used }, s.idle && !ok);
        }
        match outcome {
            Outcome::Ok => {
                self.losses[usize::from(flight.idle)].add(now, 0.0, IDLE_PACE, IDLE_HALF);
                self.answered_at = now;
                self.answered += 1;
                self.norms[flight.norm].add(took.min(3.0 * norm), NORM_PACE);
                let norm = self.norms[flight.norm].or(took);
                let bad = ((took / norm - SLOW_FROM) / (SLOW_FULL - SLOW_FROM)).clamp(0.0, 1.0);
                self.blame(flight.server, class, bad, SLOW_PACE, out);
                self.blame(flight.server, all, bad, SLOW_PACE, out);
            }
            Outcome::Error => self.blame(flight.server, class, 1.0, ERROR_PACE, out),
            Outcome::Timeout => self.silent(flight.server, class, flight.idle, out),
            Outcome::Reset if self.lost(flight.idle, RESET_PACE) => {}
            Outcome::Cancelled | Outcome::Moot => {}
            _ => self.blame(flight.server, all, 1.0, BROKEN_PACE, out),
        }
    }

    /// Time that halves what is held against a server: the less often one is met, the longer it must last.
    fn memory(&self) -> f64 {
        let between = self.now.since(self.began) as f64 * self.ready as f64 / self.answered.max(1) as f64;
        (FAULT_PARTS * between).clamp(FAULT_HALF, MEMORY_MOST * FAULT_HALF)
    }

    /// What is wrong with the way to a zone, where ends are far worse than at the best zone (alike is load).
    /// Guards against slow or lossy links and lost zones where an instance has too few parts to learn each
    /// server. Harm: the other zones carry more until some seconds have passed.
    fn way_fault(&self, zone: u32) -> f64 {
        let share = |a: &Aged| a.left(self.now, FAULT_HALF);
        let best = self.zones.values().map(share).fold(1.0, f64::min);
        let here = self.zones.get(&zone).map_or(0.0, share);
        f64::from(u8::from(here - best > ZONE_WORSE)) * here
    }

    /// Whether connections that had been idle are lost more than others: dropped unseen. They are closed
    /// before a send then (for unsafe parts always) and no server is to blame. Harm: some new connections.
    fn reaped(&self) -> bool {
        let [used, idle] = self.losses.map(|l| l.left(self.now, IDLE_HALF));
        idle > used + IDLE_WORSE
    }

    fn silent(&mut self, id: ServerId, class: usize, idle: bool, out: &mut Vec<Action>) {
        if !self.lost(idle, IDLE_PACE) {
            self.blame(id, class, 1.0, LATE_PACE, out);
            self.blame(id, self.set.classes.len(), 1.0, LATE_PACE / 2.0, out);
        }
    }

    /// Notes a loss, and tells whether that the connection had been idle explains it.
    fn lost(&mut self, idle: bool, pace: f64) -> bool {
        self.losses[usize::from(idle)].add(self.now, 1.0, pace, IDLE_HALF);
        idle && self.reaped()
    }

    fn blame(&mut self, id: ServerId, which: usize, bad: f64, pace: f64, out: &mut Vec<Action>) {
        let (now, all, half) = (self.now, self.set.classes.len(), self.memory());
        let Some(s) = self.servers.get_mut(&id) else { return };
        s.faults.resize(all + 1, Aged::default());
        let was = s.faults[which].left(now, half);
        s.faults[which].add(now, bad, pace, half);
        if which == all {
            self.zones.entry(s.zone).or_default().add(now, bad, ZONE_PACE, FAULT_HALF);
        }
        let faulty = FAULTY[usize::from(half > FAULT_HALF)];
        let suspected = s.faults[which].left(now, half) > faulty;
        let word = if suspected { "suspected" } else { "trusted again" };
        out.extend((suspected != (was > faulty)).then(|| Action::Log(format!("server {} {word}", id.0))));
    }

    // ---- Ends of queries ---------------------------------------------------------------------------------
    fn class(&self, q: &Query) -> &Class {
        &self.set.classes[q.class]
    }

    /// Last moment for a final answer: two turns before the client leaves, or before an answer earns too
    /// little: past its aim a query has the share of the client's time that a late answer has of the worth.
    /// Attempts time out then: where a cancel stops nothing that is the only brake on work that waits. Guards
    /// against jams of work that earns nothing, whatever the cause, and ends further tries that come too
    /// late. Harm: at little load some late answers are not waited for.
    fn end_of(&self, q: &Query) -> Time {
        let class = self.class(q);
        let earns = q.aim_at.plus(scaled(class.deadline.saturating_sub(class.aim), class.late_share));
        q.deadline.min(earns).minus(2 * self.set.resolution.max(1_000))
    }

    /// Weight that is in, and weight that is in or can still come, of the present step.
    fn weights(&self, q: &Query) -> (f64, f64) {
        let stuck = q.agenda.idle().map(|i| &q.parts[i]).filter(|p| !self.may_send(q, p, false));
        (q.have, q.total - stuck.map(|p| p.weight).sum::<f64>())
    }

    /// Whether the rules allow another attempt of a part now.
    fn may_send(&self, q: &Query, p: &Part, copy: bool) -> bool {
        let copies = self.set.limits.second_copies && self.class(q).repeat == Repeat::Safe;
        if p.made() >= self.set.attempts_of(q.class) as usize || copy && !copies {
            return false;
        }
        match self.class(q).repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => p.tries.iter().all(|t| t.fate == Fate::NeverRan),
            Repeat::Keyed(window) => {
                let first = p.tries.iter().find(|t| t.fate != Fate::NeverRan);
                first.is_none_or(|t| self.now.since(t.sent) + 2 * self.set.resolution < window)
            }
        }
    }

    fn advance(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else { return };
        let class = self.class(q);
        let (have, can) = self.weights(q);
        let fresh = q.arrived == self.now && q.parts.iter().all(|p| p.tries.is_empty());
        let none = q.count == 0;
        let floor = if q.step == 2 && class.floor >= class.need { 1.0 } else { class.floor };
        let need = if q.step == 2 { 1.0 } else { class.need };
        let (slack, late) = (1e-5, self.now >= self.end_of(q));
        let short =
            q.closed || self.now >= q.arrived.plus(self.partial_after(q)) || can + slack < need || late;
        if !none && have + slack >= need {
            return self.answer(id, true, out);
        }
        if !none && floor < need && have + slack >= floor && short {
            return self.answer(id, false, out);
        }
        let hopeless = if none { q.step == 1 } else { can + slack < floor };
        if self.is_poison(id, out) || late || hopeless || (fresh && self.turned_away(id)) {
            return self.give_up(id, out);
        }
        self.dispatch(id, out);
        let due = self.queries.get(&id).map_or(self.now, |q| self.due_of(q));
        self.queries.entry(id).and_modify(|q| q.due = due);
    }

    /// Whether a query crashes what takes it: connections to several servers broke under it and no part was
    /// answered. After two it is withdrawn and tried by one part alone, after the third it ends, and another
    /// try of its key ends at arrival. Told from a crash of servers, whose victims get answers from others.
    /// Harm: a victim that met dead servers alone waits for an answer; honest queries of the key are refused.
    fn is_poison(&mut self, id: QueryId, out: &mut Vec<Action>) -> bool {
        let Some(q) = self.queries.get(&id) else { return false };
        let (class, key, now, count) = (q.class, q.key, self.now, q.broke.len());
        if q.ahead && count >= POISON {
            self.poison.retain(|&(_, _, at)| now.since(at) < POISON_FOR);
            self.poison.push((class, key, now));
            out.push(Action::Log(format!("class {class}: a query broke {count} servers")));
            return true;
        }
        if q.ahead && count + 1 == POISON && q.parts.iter().flat_map(Part::out).count() > 1 {
            self.cancel_open(id, out);
        }
        q.arrived == now && key != 0 && self.stopped(class).any(|&(_, k, _)| k == key)
    }

    /// The queries of a class that were stopped of late.
    fn stopped(&self, class: usize) -> impl Iterator<Item = &(usize, u64, Time)> {
        self.poison.iter().filter(move |&&(c, _, at)| c == class && self.now.since(at) < POISON_FOR)
    }

    /// How long after its arrival a query is better answered in part than not yet.
    fn partial_after(&self, q: &Query) -> Micros {
        let first = q.step == 1 && self.class(q).second_step > 0;
        let sparse = self.set.instances as usize > self.ready && self.memory() > FAULT_HALF;
        let share = self.class(q).first_share * if sparse { FIRST_SPARSE } else { 1.0 };
        scaled(self.class(q).aim, if first { share } else { PARTIAL_AT })
    }

    fn answer(&mut self, id: QueryId, whole: bool, out: &mut Vec<Action>) {
        let Some(q) = self.queries.get_mut(&id) else { return };
        let two_steps = self.set.classes[q.class].second_step > 0;
        if two_steps && q.step == 1 {
            (q.step, q.first_whole, q.step_at) = (2, whole, self.now);
            (q.agenda, q.count, q.once, q.total, q.have) = (Agenda::default(), 0, 0, 0.0, 0.0);
            q.closed = false;
            q.due = self.now.plus(self.set.resolution);
            out.push(Action::Answer { query: id, whole });
            return self.cancel_open(id, out);
        }
        let whole = whole && (!two_steps || q.first_whole);
        self.learn_lateness(id, true);
        out.push(Action::Answer { query: id, whole });
        self.forget(id, out);
    }

    /// Calibrates admission by how let-in queries end. Guards against a forecast that is off on this fleet or
    /// for this trouble; harm: queries late for another cause (a hung server) make it stricter for a while.
    fn learn_lateness(&mut self, id: QueryId, answered: bool) {
        let Some(q) = self.queries.get(&id) else { return };
        let whole_aim = q.window as f64 > ADMIT_AIM * self.class(q).aim as f64;
        if self.now < q.aim_at.min(self.end_of(q)) || answered && self.now <= q.aim_at {
            self.admit = (self.admit + if answered { ADMIT_STEP } else { 0.0 }).min(ADMIT_MOST);
        } else if whole_aim && q.parts.iter().any(|p| !p.tries.is_empty()) {
            self.admit = (self.admit * ADMIT_CUT).max(ADMIT_LEAST);
        }
    }

    /// Ends a query that gets no answer, at once: as a refusal where asking again is harmless.
    fn give_up(&mut self, id: QueryId, out: &mut Vec<Action>) {
        self.learn_lateness(id, false);
        let Some(q) = self.queries.get(&id) else { return };
        let untouched = q.parts.iter().all(|p| p.tries.iter().all(|t| t.fate == Fate::NeverRan));
        if untouched || self.class(q).repeat != Repeat::Unsafe {
            let half = self.set.limits.retry_after.unwrap_or(0) / 2;
            out.push(Action::Refuse { query: id, retry_after: half + self.rng.0.u64(0..=half) });
            self.away.push_back((q.class, q.key, q.aim_at.minus(self.set.classes[q.class].aim), q.gain));
        } else {
            out.push(Action::Fail(id));
        }
        self.forget(id, out);
    }

    /// Withdraws what is still out for parts that have no answer.
    fn cancel_open(&self, id: QueryId, out: &mut Vec<Action>) {
        let query = self.queries.get(&id).filter(|_| self.set.limits.cancel);
        for p in query.into_iter().flat_map(|q| &q.parts).filter(|p| !p.done) {
            out.extend(p.out().map(|attempt| Action::Cancel { part: p.id, attempt }));
        }
    }

    fn forget(&mut self, id: QueryId, out: &mut Vec<Action>) {
        self.cancel_open(id, out);
        let Some(q) = self.queries.remove(&id) else { return };
        if self.numbers.get(&q.number) == Some(&id) {
            self.numbers.remove(&q.number);
        }
        q.parts.iter().for_each(|p| _ = self.parts.remove(&p.id));
    }

    // ---- Admission ---------------------------------------------------------------------------------------
    /// How long a part of this class sent to a server now is expected to take: the server's recent answer
    /// time (which holds what peers send; it fades towards the common one), scaled by own parts pending now
    /// against then; no less than the age of the oldest part younger than any answered there: an older one
    /// was lost or held up alone, and would turn away all that need its shard.
    fn expected(&self, s: &Server, class: usize) -> f64 {
        // All of it is forgotten while nothing is answered: else refusals alone would keep a past jam alive.
        let common = self.norms[class * 2].or(0.0) * faded(self.now, self.answered_at, WAIT_HALF);
        let fading = faded(self.now, s.wait_at, WAIT_HALF);
        let wait = common + fading * (s.wait.or(common) - common);
        let depth = fading * s.depth.or(0.0);
        let held = s.calls.iter().filter(|c| c.left > 0 && c.sent > s.proved);
        let oldest = held.map(|c| self.now.since(c.sent)).max().unwrap_or(0);
        (wait * (s.pending() + AT_ONCE) / (depth + AT_ONCE)).max(oldest as f64)
    }

    /// Turns a query away at its arrival when one of its parts finds all replicas too far behind. The
    /// queue that is let in is shorter for queries of less worth for their work, and beyond a tenant's quota.
    fn turned_away(&mut self, id: QueryId) -> bool {
        let Some(q) = self.queries.get(&id) else { return false };
        let class = self.class(q);
        let window = q.window as f64 * if class.second_step > 0 { FIRST_STEP } else { 1.0 };
        let parts = q.parts.len() as f64 + f64::from(class.second_step) / 2.0;
        // Work is counted in parts and not by how long they take: in a jam all take long.
        let value = class.worth / if self.set.worth_by_work { 1.0 } else { parts.max(1.0) };
        let dear = (value / self.value.or(value)).sqrt().clamp(VALUE_LEAST, VALUE_MOST) * q.gain.sqrt();
        let most = window * self.admit * dear;
        // Of the holders that it would be sent to: a hung one, not heard of for a while, would look idle.
        let slowest = q.parts.iter().map(|p| {
            let open = self.holders(p.shard).filter(|(_, s)| !self.closed(s));
            let keys = open.map(|(_, s)| (self.rank(s, q.class).0, self.expected(s, q.class)));
            keys.fold((u8::MAX, f64::INFINITY), |a, b| if b < a { b } else { a }).1
        });
        let away = slowest.fold(0.0, f64::max) > most;
        self.value.add(value, VALUE_PACE);
        away
    }

    // ---- Choice of replicas ------------------------------------------------------------------------------
    fn holders(&self, shard: Shard) -> impl Iterator<Item = (ServerId, &Server)> {
        let (cells, width) = (self.set.layout.cells, self.set.layout.width);
        let near = (0..width.min(cells)).map(move |j| (shard.0 % cells + j) % cells);
        near.filter_map(|cell| self.cells.get(&cell)).flatten().map(|id| (*id, &self.servers[id]))
    }

    /// Own parts pending at the server that a part would go to; `None`: no server takes it now.
    #[must_use]
    pub fn pending_for(&self, shard: Shard, class: usize) -> Option<f64> {
        let open = self.holders(shard).filter(|(_, s)| !self.closed(s));
        open.min_by_key(|(_, s)| self.rank(s, class)).map(|(_, s)| s.pending())
    }

    /// How many of the ready servers are avoided by choice: passed over for queries of some class, and sent
    /// nothing for a while.
    #[must_use]
    pub fn avoided(&self) -> usize {
        let rests = |s: &Server| s.pending() == 0.0 && self.now.since(s.used) > AVOIDED;
        let classes = 0..self.set.classes.len();
        let passed_over = |s: &&Server| rests(s) && classes.clone().any(|class| self.rank(s, class).0 > 0);
        self.servers.values().filter(|s| s.mode == Mode::Ready).filter(passed_over).count()
    }

    /// Whether a cold server has used up its allowance: nothing is sent, rather than push it over.
    fn closed(&self, s: &Server) -> bool {
        self.cold_tokens(s).is_some_and(|(_, call)| call == 0)
    }

    /// Whether a part joins a call opened this turn.
    fn joins(&self, s: &Server) -> bool {
        s.calls.last().is_some_and(|c| c.id >= self.first_call && c.size < self.set.layout.parts_a_call)
    }

    /// How little a server is wanted: its class of trust, then the calls it would have pending.
    fn rank(&self, s: &Server, class: usize) -> (u8, usize) {
        let half = self.memory();
        let fault = |which| s.faults.get(which).map_or(0.0, |f: &Aged| f.left(self.now, half));
        let fault = fault(class).max(fault(self.set.classes.len())).max(self.way_fault(s.zone));
        let tier = if fault > FAULTY[usize::from(half > FAULT_HALF)] { 1 + (fault * 4.0) as u8 } else { 0 };
        // One that is about to be taken out comes after all that are trusted.
        let tier = tier.max(u8::from(s.mode == Mode::Leaving));
        let pending = s.calls.iter().filter(|c| c.counts(self.now)).count() + s.running as usize;
        (tier, pending + usize::from(!self.joins(s)))
    }

    /// Sends what a query still has to send: first attempts together, then retries and copies.
    fn dispatch(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else { return };
        let after = self.copy_after(q);
        let (now, mut open, mut again) = (self.now, Vec::new(), Vec::new());
        for i in q.agenda.now(self.now) {
            let p = &q.parts[i];
            match p.tries.last() {
                None => open.push(i),
                // Guards the attempts left where nobody is at any holder; a full one may have a place soon.
                Some(t) if p.out().next().is_none() => {
                    let all = p.unmet && p.tries.len() >= self.set.layout.width as usize;
                    let told = self.set.limits.second_copies || t.fate == Fate::NeverRan;
                    let rests = all && now < t.sent.plus(LOOK) || !told && now < t.ended.plus(TRAVEL);
                    again.extend((!rests && self.may_send(q, p, false)).then_some((i, false)));
                }
                Some(t) if self.now >= t.sent.plus(after / p.tries.len() as u64) => {
                    again.extend(self.may_send(q, p, true).then_some((i, true)));
                }
                Some(_) => {}
            }
        }
        if q.ahead {
            let out = q.parts.iter().flat_map(Part::out).count();
            open.truncate(usize::from(out == 0));
            again.retain(|&(_, copy)| copy == (out > 0));
            again.truncate(1 - open.len());
        }
        self.send_first(id, &open, out);
        again.into_iter().for_each(|(i, copy)| self.send_again(id, i, copy, out));
    }

    /// First attempts: each part to a replica with the fewest calls pending. Of equals the one that most
    /// of the query's open parts can share, so that neighbours travel in one call, then the own zone.
    fn send_first(&mut self, id: QueryId, open: &[usize], out: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id).filter(|_| !open.is_empty()) else { return };
        let (class, room) = (q.class, self.set.layout.parts_a_call as usize);
        let holders = |i: usize| self.holders(q.parts[i].shard).map(|h| h.0).collect();
        let parts = open.iter().map(|&i| (i, holders(i))).collect();
        let mut wanted = Wanted::new(parts, room > 1, |server| self.bid(&self.servers[&server], class));
        while let Some((server, mut parts)) = wanted.best(&mut self.rng) {
            let cold = self.cold_tokens(&self.servers[&server]);
            parts.truncate(cold.map_or(room, |(_, call)| room.min(call)));
            parts.iter().for_each(|&i| self.send(id, i, server, out));
            wanted.sent(server, &parts, self.bid(&self.servers[&server], class));
        }
    }

    fn bid(&self, s: &Server, class: usize) -> Bid<(u8, usize)> {
        let rank = (!self.closed(s)).then(|| self.rank(s, class));
        Bid { rank, joins: self.joins(s), near: s.zone == self.set.zone }
    }

    fn send(&mut self, id: QueryId, i: usize, server: ServerId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(s) = self.servers.get(&server) else { return };
        let (tokens, joined) = (self.cold_tokens(s).map_or(0.0, |t| t.0), self.joins(s));
        let Some(q) = self.queries.get(&id) else { return };
        let timeout = self.end_of(q).since(now).max(1);
        let fresh = q.ahead || self.class(q).repeat == Repeat::Unsafe || self.reaped();
        let copy_after = self.copy_after(q);
        let (Some(q), Some(s)) = (self.queries.get_mut(&id), self.servers.get_mut(&server)) else { return };
        s.calls.retain(|c| c.counts(now));
        let p = &mut q.parts[i];
        let (attempt, depth) = (p.tries.len() as u16, s.pending());
        if !joined {
            s.calls.push(Call { id: self.calls, sent: now, left: 0, size: 0, ghost: None });
            self.calls += 1;
        }
        let Some(call) = s.calls.last_mut() else { return };
        call.left += 1;
        call.size += 1;
        (s.cold_tokens, s.filled_at) = (tokens - 1.0, now);
        let norm = q.class * 2 + usize::from(p.step - 1);
        if depth == 0.0 && now > s.used {
            let idle = now.since(s.used) > IDLE;
            s.idle = idle && !fresh;
            out.extend((idle && fresh).then_some(Action::CloseIdle(server)));
        }
        let idle = s.idle;
        s.used = now;
        self.flights.insert((p.id, attempt), Flight { server, call: call.id, sent: now, norm, depth, idle });
        if attempt == 0 {
            let least = COPY_LEAST[usize::from(self.set.limits.budget.is_some())];
            let rate = COPY_RATE * self.copy_use.or(1.0).max(least);
            self.copy_tokens = (self.copy_tokens + rate).min(COPY_SAVED);
        }
        p.tries.push(Try { server, sent: now, ended: now, fate: Fate::Out });
        q.once -= usize::from(p.tries.len() == 2);
        q.agenda.look(i, now.plus(copy_after / p.tries.len() as u64));
        out.push(Action::Send { part: p.id, server, timeout });
    }

    /// How long after its send a part is copied: half of what its step may take.
    fn copy_after(&self, q: &Query) -> Micros {
        let class = self.class(q);
        let window = match (class.second_step > 0, q.step) {
            (false, _) => q.window,
            (true, 1) => scaled(q.window, FIRST_STEP),
            (true, _) => q.aim_at.since(q.step_at).max(class.aim / 4),
        };
        scaled(window, COPY_SHARE)
    }

    /// A retry after a failure, or the one copy of a late part; to a replica not yet tried if there is one.
    /// After a copy has been silent for half as long the older twin is withdrawn and a third attempt made.
    fn send_again(&mut self, id: QueryId, i: usize, copy: bool, out: &mut Vec<Action>) {
        let budget = self.budget_allows();
        let Some(q) = self.queries.get(&id) else { return };
        let (p, class) = (&q.parts[i], q.class);
        let tried: Vec<ServerId> = p.tries.iter().map(|t| t.server).collect();
        let out_at: Vec<usize> = p.out().map(usize::from).collect();
        let missing = q.once;
        let last_zone = tried.last().and_then(|t| self.servers.get(t)).map(|s| s.zone);
        let rng = &mut self.rng.clone();
        let target = self
            .holders(p.shard)
            .filter(|(server, s)| !out_at.iter().any(|&t| tried[t] == *server) && !self.closed(s))
            .map(|(server, s)| {
                let (tier, pending) = self.rank(s, class);
                let key = (tried.contains(&server), tier, pending, Some(s.zone) == last_zone, rng.0.u32(..));
                (key, server, self.expected(s, class))
            })
            .min_by_key(|&(key, ..)| key);
        self.rng = rng.clone();
        let Some((_, server, expected)) = target else { return };
        let end = if self.now < q.aim_at { q.aim_at } else { self.end_of(q) };
        if copy {
            let Some(&oldest) = out_at.first() else { return };
            if expected > end.since(self.now) as f64 {
                return;
            }
            // It is silent where another would have answered: if none would, it is load and no one's fault.
            let part = p.id;
            if !p.late {
                let idle = self.flights.get(&(part, oldest as u16)).is_some_and(|f| f.idle);
                self.silent(tried[oldest], class, idle, out);
                self.queries.entry(id).and_modify(|q| q.parts[i].late = true);
            }
            // All missing parts are needed: copies go to the last part of a query before the first of many.
            if self.copy_tokens < (missing as f64).clamp(1.0, COPY_SAVED / 2.0) {
                return;
            }
            if budget && out_at.len() > 1 {
                let withdraw = Action::Cancel { part, attempt: oldest as u16 };
                return out.extend(self.set.limits.cancel.then_some(withdraw));
            }
            self.copy_tokens -= f64::from(u8::from(budget));
        }
        if budget {
            self.further.add(self.now);
            self.send(id, i, server, out);
        }
    }

    fn budget_allows(&mut self) -> bool {
        let free = Budget { window: 0, least: f64::INFINITY, share: 0.0 };
        let budget = self.set.limits.budget.unwrap_or(free);
        let further = self.further.count(self.now, budget.window, true) + 1;
        let taken = self.taken.count(self.now, budget.window, false);
        further as f64 <= budget.least / f64::from(self.processes) + budget.share * taken as f64
    }

    // ---- The list and cold servers ------------------------------------------------------------------------
    fn listed(&mut self, listing: Listing) {
        if listing == Listing::Failed {
            self.ask_at = Some(self.now.plus(self.ask_gap / 2 + self.rng.0.u64(0..=self.ask_gap)));
            self.ask_gap = (self.ask_gap * 2).min(ASK_MOST);
        } else if !matches!(listing, Listing::Cached(_)) {
            (self.ask_at, self.ask_gap) = (None, ASK_FIRST);
        }
        if matches!(listing, Listing::Whole(_)) {
            self.servers.values_mut().for_each(|s| s.mode = Mode::Gone);
        }
        if let Listing::Changes(lines) | Listing::Whole(lines) | Listing::Cached(lines) = listing {
            lines.iter().for_each(|line| self.list_line(line));
        }
        // Guards memory and time on long days: what is gone is forgotten once nothing is out there.
        self.servers.retain(|_, s| s.mode != Mode::Gone || s.pending() > 0.0 || s.running > 0);
        // What the list changed is summed up: no decision walks the fleet.
        (self.cells, self.ready) = (BTreeMap::new(), 0);
        for (&id, s) in self.servers.iter().filter(|(_, s)| matches!(s.mode, Mode::Ready | Mode::Leaving)) {
            self.cells.entry(s.cell % self.set.layout.cells).or_default().push(id);
            self.ready += 1;
        }
    }

    fn list_line(&mut self, line: &Listed) {
        // Instances start at random points of their first part, since all hear of a start at once: else none
        // would send for long, or all together. One that knows its traffic is held by chance.
        let known = f64::from(u8::from(self.answered >= COLD_KNOWN));
        let (now, first) = (self.now, self.rng.0.f64() + known);
        let s = self.servers.entry(line.server).or_default();
        (s.cell, s.zone, s.mode) = (line.cell, line.zone, line.mode);
        if let Some(started) = line.started {
            let newer = s.cold_from.is_none_or(|from| from < started);
            if newer && now.since(started) < self.set.cold.warm_after {
                (s.cold_from, s.cold_tokens, s.filled_at) = (Some(started), first, now);
            }
        }
    }

    /// Allowance of a cold server by now, in parts, and how many a call may hold (0: it is closed). Of what
    /// the rule allows each instance has its part; they sum to less. Less than one a window is saved, as a
    /// sparse instance seldom has work as it comes; there chance decides in each window whether the server is
    /// open, by its part over what its shards may ask for. Harm: a shard with cold holders alone waits.
    fn cold_tokens(&self, s: &Server) -> Option<(f64, usize)> {
        let (from, cold, now) = (s.cold_from?, &self.set.cold, self.now);
        let age = now.since(from) as f64 / cold.warm_after.max(1) as f64;
        let allowed = (age < 1.0).then_some(cold.share + (1.0 - cold.share) * age)? * cold.fall_multiple;
        // An instance that has had no answer yet knows no more than what is wanted.
        let aim = self.set.classes.iter().map(|c| c.aim as f64).fold(1_000.0, f64::max);
        let norm = self.norms.iter().map(|n| n.or(0.0)).fold(0.0, f64::max);
        let works = COLD_PARTS / if norm > 0.0 { norm.max(1_000.0) } else { aim };
        let time = (now.since(self.began) + cold.fall_after) as f64 * self.ready.max(1) as f64;
        let mean = self.answered as f64 / time;
        let alike = COLD_ALIKE * works / f64::from(self.set.instances);
        let rate = allowed * (alike + (1.0 - COLD_ALIKE) * mean) / f64::from(self.processes);
        let together = (allowed * works * cold.fall_after as f64).sqrt() / 3.5;
        let sparse = rate * (cold.fall_after as f64) < 1.0;
        // Where few instances meet it often, chance adds less than it may: by the root of the allowance.
        let rate = if sparse { rate } else { rate * (1.0 + 0.35 / together.max(1.0)) };
        let window = rate * cold.fall_after as f64;
        let most = if sparse { COLD_SAVED.min(1.0 + together) } else { (window / 4.0).max(1.0) };
        let tokens = (s.cold_tokens + rate * now.since(s.filled_at) as f64).clamp(-most, most);
        let chance = drawn(self.salt ^ from.0.rotate_left(20) ^ u64::from(s.cell), now, cold.fall_after);
        let asked = (1.0 + f64::from(self.set.layout.width)) / 2.0 * mean;
        let open = tokens >= 1.0 && (!sparse || chance * asked <= rate);
        let more = if sparse { tokens.min(together).max(0.0) as usize } else { 0 };
        Some((tokens, if open { 1 + more } else { 0 }))
    }
}

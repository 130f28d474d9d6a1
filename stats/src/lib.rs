//! Plain containers for what the decision module remembers. Every parameter is passed in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod assignment;

pub use assignment::{PartAssignment, ServerScore};

use lichenswitch_interface::{Load, Micros, PartId, Placement, ServerId, ServerMode, Shard, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A seeded source of chance.
#[derive(Clone, Debug)]
pub struct SeededRng(pub fastrand::Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng(fastrand::Rng::with_seed(0))
    }
}

/// A number from 0 to 1 that is drawn anew in each window, which begins at a point of its own for
/// each seed. It is the same whenever it is asked for.
#[must_use]
pub fn windowed_random(seed: u64, now: Time, window: Micros) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let slice = (now.0 + rng.u64(0..=window)) / window.max(1);
    fastrand::Rng::with_seed(rng.u64(..) ^ slice.rotate_left(40)).f64()
}

/// How little a server suits a query; the least is best. The backlog's level comes first, then the
/// server's place in the order that each beginning has, which is the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    level: u32,
    order: u32,
}

impl Preference {
    /// Of a query, for a server that is loaded like this.
    #[must_use]
    pub fn new(placement: &Placement, server: ServerId, load: Load) -> Preference {
        let level = load
            .backlog
            .checked_div(placement.backlog_step)
            .unwrap_or(0);
        let order = match placement.prefix {
            0 => 0,
            prefix => (mixed(prefix ^ mixed(u64::from(server.0) + 1)) >> 32) as u32,
        };
        Preference { level, order }
    }
}

/// The finalizer of SplitMix64: neighbours come out far apart.
fn mixed(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// What has become of an attempt, as far as its part may be sent again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptState {
    /// It is out.
    InFlight,
    /// It has ended, and never ran.
    NeverRan,
    /// It has ended, and may have run.
    MayHaveRun,
}

/// An attempt of a part, as the part remembers it.
#[derive(Clone, Copy, Debug)]
pub struct PartAttempt {
    /// Where it was sent.
    pub server: ServerId,
    /// When.
    pub sent: Time,
    /// When it ended, once it has.
    pub ended: Time,
    /// What has become of it.
    pub state: AttemptState,
}

/// A part of a query, as the module remembers it.
#[derive(Debug, Default)]
pub struct Part {
    /// Names it.
    pub id: PartId,
    /// Its shard.
    pub shard: Shard,
    /// Its share of its step.
    pub weight: f64,
    /// Its step, from 1.
    pub step: u8,
    /// Its attempts, in order.
    pub attempts: Vec<PartAttempt>,
    /// Those of them that never left, which are none of the attempts allowed; the last met nobody
    /// there.
    pub never_left: usize,
    /// See `never_left`.
    pub is_unreachable: bool,
    /// It is in.
    pub is_answered: bool,
    /// Its first lateness has been counted against its server.
    pub is_lateness_counted: bool,
    /// Nothing of it was out, and the budget for further attempts did not let it be sent again.
    pub is_withheld: bool,
}

impl Part {
    /// Attempts that were made.
    #[must_use]
    pub fn attempts_made(&self) -> usize {
        self.attempts.len() - self.never_left
    }
    /// Its attempts that are out.
    pub fn in_flight(&self) -> impl Iterator<Item = u16> + '_ {
        (0u16..)
            .zip(&self.attempts)
            .filter(|(_, t)| t.state == AttemptState::InFlight)
            .map(|(i, _)| i)
    }
}

/// An attempt that is out, as its server is judged by it.
#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    /// Where it was sent.
    pub server: ServerId,
    /// The call that it travelled in.
    pub call: u64,
    /// When.
    pub sent: Time,
    /// Index of the common answer time that it is measured by.
    pub norm: usize,
    /// Own parts pending there when it was sent.
    pub depth: f64,
    /// It went on a connection that had been idle.
    pub on_idle_connection: bool,
}

/// A mean in which older samples fade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingMean {
    value: Option<f64>,
}

impl DecayingMean {
    /// Moves the mean towards `sample` by the share `pace`; the first sample is taken whole.
    pub fn add(&mut self, sample: f64, pace: f64) {
        self.value = Some(self.value.map_or(sample, |v| v + pace * (sample - v)));
    }
    /// The mean, or `otherwise` before the first sample.
    #[must_use]
    pub fn or(self, otherwise: f64) -> f64 {
        self.value.unwrap_or(otherwise)
    }
}

/// What is left at `now` of something of the time `since` that halves in `half` microseconds.
#[must_use]
pub fn remaining_share(now: Time, since: Time, half: f64) -> f64 {
    0.5f64.powf(now.since(since) as f64 / half)
}

/// A figure that fades towards zero with time and moves towards its samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingValue {
    value: f64,
    at: Time,
}

impl DecayingValue {
    /// What is left of it at `now` if it halves in `half` microseconds.
    #[must_use]
    pub fn value_at(self, now: Time, half: f64) -> f64 {
        // Most figures are at rest: that is told without the power.
        if self.value == 0.0 {
            return 0.0;
        }
        self.value * remaining_share(now, self.at, half)
    }
    /// Moves what is left of it towards `sample` by the share `pace`.
    pub fn add(&mut self, now: Time, sample: f64, pace: f64, half: f64) {
        let left = self.value_at(now, half);
        *self = DecayingValue {
            value: left + pace * (sample - left),
            at: now,
        };
    }
}

/// Counts events within a window that ends now.
#[derive(Clone, Debug, Default)]
pub struct WindowCount {
    times: VecDeque<Time>,
}

impl WindowCount {
    /// Notes an event.
    pub fn add(&mut self, at: Time) {
        self.times.push_back(at);
    }
    /// Forgets events before `now - window` and counts the others; those exactly at the edge count
    /// only if `edge` says so.
    pub fn count(&mut self, now: Time, window: Micros, edge: bool) -> usize {
        let start = now.minus(window);
        while self
            .times
            .front()
            .is_some_and(|&t| t < start || (!edge && t == start))
        {
            self.times.pop_front();
        }
        self.times.len()
    }
}

/// What tenants may ask, in queries: each has a rate and may save up a second of it.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Queries a second, those saved up, and when they were counted.
    tenants: Vec<(f64, f64, Time)>,
}

/// So much of its rate a tenant may save up (seconds).
const QUOTA_SAVED: f64 = 1.0;

impl TenantQuotas {
    /// The part of one of `instances` alike instances in these rates (queries a second).
    #[must_use]
    pub fn new(rates: &[f64], instances: u32) -> Self {
        let share = |rate: &f64| rate / f64::from(instances.max(1));
        let full = |rate: f64| (rate, (rate * QUOTA_SAVED).max(1.0), Time(0));
        TenantQuotas {
            tenants: rates.iter().map(share).map(full).collect(),
        }
    }
    /// The same for another number of instances; what is saved up is cut to what the new rate
    /// allows.
    pub fn share(&mut self, rates: &[f64], instances: u32) {
        let alike = TenantQuotas::new(rates, instances).tenants;
        for ((rate, saved, _), (new, full, _)) in self.tenants.iter_mut().zip(alike) {
            (*rate, *saved) = (new, saved.min(full));
        }
    }
    /// Counts a query and tells whether it is within the tenant's quota; one that is beyond takes
    /// nothing from it. A tenant that there is not has no quota to go beyond.
    pub fn within(&mut self, now: Time, tenant: u32) -> bool {
        let Some((rate, saved, at)) = self.tenants.get_mut(tenant as usize) else {
            return true;
        };
        let gained = *rate * now.since(*at) as f64 / 1e6;
        (*saved, *at) = ((*saved + gained).min((*rate * QUOTA_SAVED).max(1.0)), now);
        let within = *saved >= 1.0;
        *saved -= f64::from(u8::from(within));
        within
    }
}

/// One call to a server, or what is left of it: parts that ended unanswered keep it in the count.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Call {
    /// Names it; later ones are greater.
    pub id: u64,
    /// When it was sent.
    pub sent: Time,
    /// Its parts that are out, and all of them.
    pub in_flight_parts: u32,
    /// See `in_flight_parts`.
    pub size: u32,
    /// Set once a part ended without an answer: the call counts until then.
    pub ghost_until: Option<Time>,
}

impl Call {
    /// Whether it is pending.
    #[must_use]
    pub fn counts(&self, now: Time) -> bool {
        self.in_flight_parts > 0 || self.ghost_until.is_some_and(|until| until > now)
    }
}

/// What is remembered of a query that is held.
#[derive(Default)]
pub struct Query {
    /// Number that its parts carry.
    pub number: u32,
    /// Index of its class.
    pub class: usize,
    /// What it is about; 0: not known.
    pub key: u64,
    /// Which of equal servers it goes to.
    pub placement: Placement,
    /// When it came.
    pub arrived: Time,
    /// When its client gives up.
    pub deadline: Time,
    /// When its aim is over, from the client's first try on.
    pub target_at: Time,
    /// Share of its class's worth that it has: less beyond its tenant's quota.
    pub value_share: f64,
    /// Time that it really has: to its aim, or to its end where that comes first or the aim has
    /// passed.
    pub window: Micros,
    /// Which of two steps it is in, from 1.
    pub step: u8,
    /// When that step began.
    pub step_at: Time,
    /// Whether the first step was whole.
    pub is_first_step_complete: bool,
    /// Its present step is to end with what is in, if that is enough.
    pub is_closing: bool,
    /// One part goes ahead of the others until one has been answered.
    pub sends_one_part_ahead: bool,
    /// Servers whose connection broke under a part of it.
    pub broken_servers: BTreeSet<ServerId>,
    /// When it has to be looked at again, if nothing befalls it before.
    pub next_look_at: Time,
    /// Its parts, of both steps.
    pub parts: Vec<Part>,
    /// Whether a part, of whichever step, was answered.
    pub answered: bool,
    /// Of the present step: parts to look at.
    pub agenda: Agenda,
    /// Of the present step: how many parts there are.
    pub count: usize,
    /// Of these, how many are not done with fewer than two attempts.
    pub single_attempt_parts: usize,
    /// Weight of all parts of the present step.
    pub total_weight: f64,
    /// Weight of those that are done.
    pub answered_weight: f64,
}

impl Query {
    /// Whether nothing of it is out, while a part that it needs may not be sent again for now: it
    /// waits for nothing but the budget.
    #[must_use]
    pub fn is_stranded(&self) -> bool {
        let is_withheld = self.agenda.idle_parts().any(|i| self.parts[i].is_withheld);
        is_withheld
            && self
                .parts
                .iter()
                .all(|part| part.in_flight().next().is_none())
    }
}

/// A server, as the module remembers it.
#[derive(Clone, Debug, Default)]
pub struct Server {
    /// Its cell, its zone and its state, by the list.
    pub cell: u32,
    /// See `cell`.
    pub zone: u32,
    /// See `cell`.
    pub mode: ServerMode,
    /// Last start that the list told, while it may still be cold.
    pub slow_start_from: Option<Time>,
    /// Its allowance while it is cold, in parts, and when that was counted.
    pub slow_start_tokens: f64,
    /// See `slow_start_tokens`.
    pub tokens_at: Time,
    /// What is out there.
    pub calls: Vec<Call>,
    /// What else loads it: streams that run on after their parts were answered, and the backlog of
    /// all instances.
    pub load: Load,
    /// Share of bad ends by class, the last one for what befalls all classes; empty before the
    /// first.
    pub faults: Vec<DecayingValue>,
    /// Recent answer time, how many own parts were pending when those parts were sent, and the last
    /// of them.
    pub wait: DecayingMean,
    /// See `wait`.
    pub depth: DecayingMean,
    /// See `wait`.
    pub response_time_at: Time,
    /// Last time that something was sent to it or came from it, and whether what is pending went on
    /// a connection that had been idle.
    pub last_used_at: Time,
    /// See `last_used_at`.
    pub on_idle_connection: bool,
    /// When the youngest part was sent that it has answered.
    pub newest_answered_send: Time,
}

impl Server {
    /// Own parts out there.
    #[must_use]
    pub fn pending(&self) -> f64 {
        f64::from(self.calls.iter().map(|c| c.in_flight_parts).sum::<u32>())
    }
    /// So many classes there are now, each the same as before or not: what was held against it for
    /// another one goes.
    pub fn on_classes(&mut self, same: &[bool]) {
        let Some(all) = self.faults.pop() else { return };
        self.faults.resize(same.len(), DecayingValue::default());
        let others = self.faults.iter_mut().zip(same).filter(|(_, same)| !**same);
        others.for_each(|(fault, _)| *fault = DecayingValue::default());
        self.faults.push(all);
    }
}

/// A share of a time.
#[must_use]
pub fn scaled(time: Micros, by: f64) -> Micros {
    (time as f64 * by) as Micros
}

/// Which parts of a query's step have to be checked and when, so that no decision walks over all
/// of them.
#[derive(Clone, Debug, Default)]
pub struct Agenda {
    /// Parts without an answer that have nothing out.
    idle_parts: BTreeSet<usize>,
    /// Parts that have something out, by the time of their next look.
    checks: BTreeSet<(Time, usize)>,
    /// That time, by part.
    check_times: BTreeMap<usize, Time>,
}

impl Agenda {
    /// A part has nothing out.
    pub fn set_idle(&mut self, part: usize) {
        self.remove(part);
        self.idle_parts.insert(part);
    }
    /// A part has something out and is to be looked at then.
    pub fn schedule(&mut self, part: usize, at: Time) {
        self.remove(part);
        self.checks.insert((at, part));
        self.check_times.insert(part, at);
    }
    /// A part needs nothing more.
    pub fn remove(&mut self, part: usize) {
        self.idle_parts.remove(&part);
        if let Some(at) = self.check_times.remove(&part) {
            self.checks.remove(&(at, part));
        }
    }
    /// Parts that have nothing out, in order.
    pub fn idle_parts(&self) -> impl Iterator<Item = usize> + '_ {
        self.idle_parts.iter().copied()
    }
    /// Parts that have something out and whose look is due, earliest first.
    pub fn due_parts(&self, now: Time) -> impl Iterator<Item = usize> + '_ {
        self.checks.range(..=(now, usize::MAX)).map(|l| l.1)
    }
    /// Parts that have nothing out or whose look is due, in order.
    #[must_use]
    pub fn parts_to_check(&self, now: Time) -> Vec<usize> {
        let mut parts: Vec<usize> = self.idle_parts().chain(self.due_parts(now)).collect();
        parts.sort_unstable();
        parts
    }
    /// The next look after now.
    #[must_use]
    pub fn next_check(&self, now: Time) -> Option<Time> {
        self.checks
            .range((now, usize::MAX)..)
            .map(|l| l.0)
            .find(|&at| at > now)
    }
}

#[cfg(test)]
mod tests;

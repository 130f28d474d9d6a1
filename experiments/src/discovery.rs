//! How soon all brokers of a fleet hear of a change after discovery was down, in virtual time: each
//! calls at its own pace, and discovery handles one call after another and fails those that have
//! waited for too long.

use lichenswitch::decide::discovery::call_pacer::CallPacer;
use lichenswitch::interface::{Micros, Time};
use serde::Serialize;
use std::collections::VecDeque;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000 * MS;
/// Discovery goes down after this long, and is back after that, with a change.
const DOWN: Time = Time(1_000 * SECOND);
const BACK: Time = Time(1_010 * SECOND);
/// For so long the brokers are looked at from then on.
const AFTER: Micros = 30 * SECOND;
/// A change counts as told so long after discovery had it and could be reached.
const TOLD: Micros = 6 * SECOND;
/// Where nothing else is set, a broker that has not asked for so long counts as told.
const EVERY: Micros = 10 * SECOND;

/// A discovery.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Calls that it handles in a second.
    pub rate: f64,
    /// Calls that have waited for so long are failed (milliseconds).
    pub fails_after_ms: u64,
    /// Calls that were failed or given up are worked off all the same.
    pub works_in_vain: bool,
}

/// The figures of a fleet before a discovery.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Brokers.
    pub brokers: u32,
    /// Calls that discovery handles in a second.
    pub rate: f64,
    /// See [`Kind::works_in_vain`].
    pub works_in_vain: bool,
    /// Calls a second while discovery is down, over all brokers.
    pub refused_per_s: f64,
    /// Calls after its return, and how many of them failed or were given up.
    pub calls: usize,
    /// See `calls`.
    pub failed: usize,
    /// Until half of the brokers had heard, and until the last one had (seconds; the end of the
    /// look where it had not).
    pub half_s: f64,
    /// See `half_s`.
    pub last_s: f64,
    /// Brokers that had not heard when the change counted as told.
    pub late: usize,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    /// The next call is made then.
    Waits(Time),
    /// A call is out since then.
    Out(Time),
    /// It has heard of the change.
    Told,
}

/// Plays one return of discovery to so many brokers.
#[must_use]
#[expect(
    clippy::too_many_lines,
    reason = "an experiment is read from top to bottom"
)]
pub fn play(seed: u64, brokers: u32, kind: Kind) -> Figures {
    let mut pacers: Vec<CallPacer> = (0..brokers)
        .map(|i| CallPacer::new(seed << 16 | u64::from(i), brokers, EVERY))
        .collect();
    let patience = pacers[0].watch_times().first_timeout();
    // All watches end as discovery goes down; each of them was answered often before.
    let mut states: Vec<State> = Vec::new();
    for pacer in &mut pacers {
        (0..50).for_each(|_| _ = pacer.on_response(DOWN));
        states.push(State::Waits(pacer.on_failure(DOWN, DOWN).at));
    }
    let (mut queue, mut free) = (VecDeque::<(Time, usize)>::new(), BACK);
    let (mut refused, mut calls, mut failed) = (0_usize, 0, 0);
    let mut heard: Vec<Micros> = Vec::new();
    let handles = (1e6 / kind.rate) as Micros;
    let mut now = DOWN;
    while now < BACK.plus(AFTER) && heard.len() < states.len() {
        for (i, state) in states.iter_mut().enumerate() {
            match *state {
                State::Waits(at) if at <= now && now < BACK => {
                    refused += 1;
                    *state = State::Waits(pacers[i].on_failure(now, now).at);
                }
                State::Waits(at) if at <= now => {
                    calls += 1;
                    queue.push_back((now, i));
                    *state = State::Out(now);
                }
                State::Out(began) if now.since(began) >= patience => {
                    failed += 1;
                    *state = State::Waits(pacers[i].on_timeout(now, began).at);
                }
                State::Out(began) if now.since(began) >= kind.fails_after_ms * MS => {
                    failed += 1;
                    *state = State::Waits(pacers[i].on_failure(now, began).at);
                }
                _ => {}
            }
        }
        while free <= now {
            let Some((at, i)) = queue.pop_front() else {
                break;
            };
            let waits = states[i] == State::Out(at);
            if waits {
                heard.push(now.since(BACK));
                states[i] = State::Told;
                pacers[i].on_response(now);
            }
            if waits || kind.works_in_vain {
                free = free.max(now.minus(MS)).plus(handles);
            }
        }
        now = now.plus(MS);
    }
    let late = states.len() - heard.iter().filter(|h| **h <= TOLD).count();
    heard.resize(states.len(), AFTER);
    let seconds = |at: usize| heard[at] as f64 / 1e6;
    Figures {
        brokers,
        rate: kind.rate,
        works_in_vain: kind.works_in_vain,
        refused_per_s: refused as f64 / (BACK.since(DOWN) as f64 / 1e6),
        calls,
        failed,
        half_s: seconds(states.len() / 2),
        last_s: seconds(states.len() - 1),
        late,
    }
}

/// Calls that discovery handles in a second: one a third of a second as the smallest fleets have
/// it, 16 as measured before 100 brokers, and as many as the largest ones have for whole lists and
/// for changes alone.
const RATES: [f64; 4] = [2.7, 16.0, 33.0, 128.0];

/// The worst of some seeds, by size of the fleet and kind of discovery.
#[must_use]
pub fn run(seed: u64, seeds: u64) -> Vec<Figures> {
    let mut all = Vec::new();
    for brokers in [6, 20, 60, 100, 300] {
        for rate in RATES {
            for works_in_vain in [false, true] {
                let kind = Kind {
                    rate,
                    fails_after_ms: 1_000,
                    works_in_vain,
                };
                let played = (seed..seed + seeds).map(|seed| play(seed, brokers, kind));
                all.extend(played.max_by(|a, b| a.last_s.total_cmp(&b.last_s)));
            }
        }
    }
    all
}

/// The figures as a table.
#[must_use]
pub fn table(all: &[Figures]) -> String {
    let mut out = format!(
        "{:>8} {:>8} {:>8} {:>10} {:>7} {:>7} {:>7} {:>7} {:>6}\n",
        "brokers", "calls/s", "in vain", "refused/s", "calls", "failed", "half s", "last s", "late"
    );
    for f in all {
        out += &format!(
            "{:>8} {:>8} {:>8} {:>10.1} {:>7} {:>7} {:>7.1} {:>7.1} {:>6}\n",
            f.brokers,
            f.rate,
            f.works_in_vain,
            f.refused_per_s,
            f.calls,
            f.failed,
            f.half_s,
            f.last_s,
            f.late
        );
    }
    out
}

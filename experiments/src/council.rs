//! Voters and holders as processes under faults from a seed: who held a duty when is judged. Times
//! are real, so figures differ from run to run; the faults do not.

use crate::ExperimentError;
use lichenswitch_emulators::relay::Faults;
use lichenswitch_emulators::rig::{judge_holders, Entry, Event, Rig};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// Leases, and how long a process that stood still has to find out.
const LEASE_MS: u64 = 1_500;
const WAKES: Duration = Duration::from_millis(500);
/// The longest that a holder is waited for.
const MOST: Duration = Duration::from_secs(30);

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Brokers, and how many of them vote.
    pub brokers: usize,
    /// See `brokers`.
    pub voters: usize,
    /// Faults by kind: killed, killed without its folder, stopped, split, ways cut, all ways rough
    /// (a fifth of the messages lost, a fifth doubled, all late), what one says held back and let
    /// go all together.
    pub kills: usize,
    /// See `kills`.
    pub forgot: usize,
    /// See `kills`.
    pub stops: usize,
    /// See `kills`.
    pub splits: usize,
    /// See `kills`.
    pub ways: usize,
    /// See `kills`.
    pub rough: usize,
    /// See `kills`.
    pub held: usize,
    /// Times that the duty was said to be held.
    pub checked: usize,
    /// Two that held it at a time, or a fence that did not grow.
    pub double_held: usize,
    /// From a fault to the next holder's word, where the holder was befallen, milliseconds, in
    /// order.
    pub taken_over_ms: Vec<u64>,
    /// Messages that links carried and lost.
    pub carried: u64,
    /// See `carried`.
    pub lost: u64,
}

/// Who said last that it holds the duty and did not take it back, of those that run.
fn holder(entries: &[Entry]) -> Option<usize> {
    let mut holds = None;
    for entry in entries {
        match &entry.event {
            Event::Logged(line) if line.contains("duty d: held under fence") => {
                holds = Some(entry.process)
            }
            Event::Logged(line)
                if line.contains("duty d: not held") && holds == Some(entry.process) =>
            {
                holds = None
            }
            Event::Killed if holds == Some(entry.process) => holds = None,
            _ => {}
        }
    }
    holds
}

/// Starts so many brokers, of which the first vote, and lets faults befall them one after the
/// other.
///
/// # Errors
/// When a process can't be started, no holder comes after a fault that leaves a majority, or the
/// ledger can't be written.
pub fn run(
    program: &Path,
    seed: u64,
    brokers: usize,
    voters: usize,
    faults: usize,
    ledger: Option<&Path>,
) -> Result<Report, ExperimentError> {
    let mut rig = Rig::new(program, brokers, seed)?;
    let ran = befall(&mut rig, seed, brokers, voters.min(brokers), faults);
    if let Some(path) = ledger {
        let line = |e: &Entry| format!("{:.3} n{} {:?}\n", e.at.as_secs_f64(), e.process, e.event);
        let lines: String = rig.ledger.all().iter().map(line).collect();
        std::fs::write(path, lines).map_err(ExperimentError::write(path))?;
    }
    ran
}

#[expect(clippy::too_many_lines, reason = "one arm for each fault")]
fn befall(
    rig: &mut Rig,
    seed: u64,
    brokers: usize,
    voters: usize,
    faults: usize,
) -> Result<Report, ExperimentError> {
    let mut dice = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut report = Report {
        seed,
        brokers,
        voters,
        ..Report::default()
    };
    let names: Vec<String> = (0..voters).map(|v| format!("n{v}")).collect();
    let folder = |rig: &Rig, who: usize| rig.folder().join(format!("memory-{who}"));
    let mut files = Vec::new();
    for who in 0..brokers {
        let (names, folder) = (names.join(", "), folder(rig, who));
        let lines = format!(
            "  probe_ms: 200\n  suspicion_ms: 1500\n  voters: [{names}]\n  folder: {}\n  duties: [d]\n  lease_ms: {LEASE_MS}\n",
            folder.display()
        );
        files.push(rig.broker_files(who, &lines)?);
    }
    for (who, files) in files.iter().enumerate() {
        rig.start_broker(who, files)?;
    }
    let comes = |rig: &Rig, since: usize, what: &str| match rig
        .until(MOST, |e| holder(&e[since..]).is_some())
    {
        true => Ok(()),
        false => Err(ExperimentError::Unmet(format!(
            "nobody holds the duty after {what}"
        ))),
    };
    comes(rig, 0, "the start")?;
    let all: Vec<usize> = (0..brokers).collect();
    // Voters that may still forget: a majority has to remember.
    let mut forgettable = (voters - 1) / 2;
    for _ in 0..faults {
        // As often as not it is the holder whom it befalls.
        let held_by = holder(&rig.ledger.all());
        let drawn = dice.random_range(0..brokers);
        let who = held_by.filter(|_| dice.random_bool(0.6)).unwrap_or(drawn);
        let (since, at, befalls) = (rig.ledger.all().len(), rig.now(), held_by == Some(who));
        let pause = Duration::from_millis(dice.random_range(100..5_000));
        let over = |rig: &Rig| {
            rig.until(pause, |_| false);
        };
        match dice.random_range(0..7) {
            kind @ 0..=1 => {
                rig.kill(who);
                over(rig);
                if kind == 1 && who < voters && forgettable > 0 {
                    (forgettable, report.forgot) = (forgettable - 1, report.forgot + 1);
                    // One that had not kept anything yet has nothing to forget.
                    let _ = std::fs::remove_dir_all(folder(rig, who));
                }
                report.kills += 1;
                rig.start_broker(who, &files[who])?;
            }
            2 => {
                report.stops += 1;
                rig.stop(who);
                over(rig);
                rig.resume(who);
            }
            3 => {
                report.splits += 1;
                let mut side = all.clone();
                side.shuffle(&mut dice);
                side.truncate(brokers / 2);
                side.retain(|s| *s != who);
                side.push(who);
                let across = |a: usize, b: usize| side.contains(&a) != side.contains(&b);
                let ways = || all.iter().flat_map(|a| all.iter().map(move |b| (*a, *b)));
                ways()
                    .filter(|(a, b)| across(*a, *b))
                    .for_each(|(a, b)| rig.cut(a, b, true));
                over(rig);
                ways()
                    .filter(|(a, b)| across(*a, *b))
                    .for_each(|(a, b)| rig.cut(a, b, false));
            }
            4 => {
                report.rough += 1;
                let ways = || {
                    all.iter()
                        .flat_map(|a| all.iter().map(move |b| (*a, *b)))
                        .filter(|(a, b)| a != b)
                };
                let rough = Faults {
                    lost: 0.2,
                    twice: 0.2,
                    delay_ms: 20,
                    ..Faults::default()
                };
                ways().for_each(|(a, b)| rig.link(a, b).set(rough));
                over(rig);
                ways().for_each(|(a, b)| rig.link(a, b).set(Faults::default()));
            }
            5 => {
                report.held += 1;
                let to: Vec<usize> = all.iter().filter(|t| **t != who).copied().collect();
                to.iter().for_each(|t| {
                    rig.link(who, *t).set(Faults {
                        held: true,
                        ..Faults::default()
                    })
                });
                over(rig);
                to.iter()
                    .for_each(|t| rig.link(who, *t).set(Faults::default()));
            }
            _ => {
                report.ways += 1;
                let to: Vec<usize> = all
                    .iter()
                    .filter(|t| **t != who && dice.random_bool(0.7))
                    .copied()
                    .collect();
                to.iter().for_each(|t| rig.cut(who, *t, true));
                over(rig);
                to.iter().for_each(|t| rig.cut(who, *t, false));
            }
        }
        if befalls {
            let began = rig.until(MOST, |e| {
                holder(&e[since..]).is_some() || holder(e) == held_by
            });
            let next = rig.ledger.all()[since..]
                .iter()
                .find_map(|e| match &e.event {
                    Event::Logged(line) if line.contains("held under fence") => Some(e.at),
                    _ => None,
                });
            report
                .taken_over_ms
                .extend(next.filter(|_| began).map(|t| (t - at).as_millis() as u64));
        }
        if holder(&rig.ledger.all()).is_none() {
            comes(
                rig,
                rig.ledger.all().len().min(since),
                "a fault that is over",
            )?;
        }
    }
    let found = judge_holders(&rig.ledger.all(), "d", WAKES);
    (report.checked, report.double_held) = (found.checked, found.wrong.len());
    let pairs = all
        .iter()
        .flat_map(|a| all.iter().map(move |b| (*a, *b)))
        .filter(|(a, b)| a != b);
    for (carried, lost) in pairs.map(|(a, b)| rig.link(a, b).counts()) {
        (report.carried, report.lost) = (report.carried + carried, report.lost + lost);
    }
    report.taken_over_ms.sort_unstable();
    Ok(report)
}

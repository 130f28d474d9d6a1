//! A fleet of processes whose brokers die, stand still and are cut off, from a seed: what each of
//! them says of the others is judged, and what it costs is measured. Times are real, so figures
//! differ from run to run; the faults do not.

use crate::ExperimentError;
use lichenswitch_emulators::rig::{judge_deaths, members_agree, Entry, Rig};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// What a fault may still be told after it is over.
const AFTER: Duration = Duration::from_secs(8);
/// The longest that a view is waited for.
const MOST: Duration = Duration::from_secs(60);
/// Clock ticks a second in the system's figures of a process, and bytes of a page.
const TICKS: f64 = 100.0;
const PAGE: f64 = 4_096.0;

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Brokers.
    pub brokers: usize,
    /// Until all had told that they listen, and until all knew all, milliseconds.
    pub started_ms: u64,
    /// See `started_ms`.
    pub agreed_ms: u64,
    /// Faults, by kind.
    pub kills: usize,
    /// See `kills`.
    pub stops: usize,
    /// See `kills`.
    pub cuts: usize,
    /// Ways cut in one direction.
    pub ways: usize,
    /// From a kill to the time when all others knew it, milliseconds, in order.
    pub missed_ms: Vec<u64>,
    /// Deaths that were told and looked at.
    pub checked: usize,
    /// Those that nothing explains.
    pub false_deaths: usize,
    /// Messages that the links carried and lost.
    pub carried: u64,
    /// See `carried`.
    pub lost: u64,
    /// Processor time of a broker, share of a core in the mean, and its memory at the most,
    /// megabytes.
    pub cpu_share_each: f64,
    /// See `cpu_share_each`.
    pub memory_mb_each: f64,
}

/// Processor seconds and megabytes of a process by now.
fn cost(pid: i32) -> Option<(f64, f64)> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // Behind the name, which may hold anything: the twelfth and thirteenth are ticks, the
    // twenty-second pages.
    let words: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let figure = |i: usize| words.get(i)?.parse::<f64>().ok();
    Some((
        (figure(11)? + figure(12)?) / TICKS,
        figure(21)? * PAGE / f64::from(1 << 20),
    ))
}

/// Starts so many brokers and lets faults befall them one after the other; all that happened goes
/// into `ledger`.
///
/// # Errors
/// When a process can't be started, the fleet does not come to know itself after a fault, or the
/// ledger can't be written.
pub fn run(
    program: &Path,
    seed: u64,
    brokers: usize,
    faults: usize,
    ledger: Option<&Path>,
) -> Result<Report, ExperimentError> {
    let mut dice = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut rig = Rig::new(program, brokers, seed)?;
    let ran = befall(&mut rig, &mut dice, seed, brokers, faults);
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
    dice: &mut Xoshiro256PlusPlus,
    seed: u64,
    brokers: usize,
    faults: usize,
) -> Result<Report, ExperimentError> {
    let mut report = Report {
        seed,
        brokers,
        ..Report::default()
    };
    let files: Result<Vec<_>, _> = (0..brokers).map(|who| rig.broker_files(who, "")).collect();
    let files = files?;
    for (who, files) in files.iter().enumerate() {
        rig.start_broker(who, files)?;
    }
    let all: Vec<usize> = (0..brokers).collect();
    let knows = |rig: &Rig, living: &[usize], what: &str| match rig
        .until(MOST, |e| members_agree(e, living))
    {
        true => Ok(()),
        false => Err(ExperimentError::Unmet(format!(
            "{living:?} do not know each other after {what}"
        ))),
    };
    let listen = |rig: &Rig| {
        rig.ledger
            .all()
            .iter()
            .filter(|e| format!("{e:?}").contains("peers: n"))
            .count()
    };
    if !rig.until(MOST, |_| listen(rig) == brokers) {
        return Err(ExperimentError::Unmet("not all brokers listen".into()));
    }
    report.started_ms = rig.now().as_millis() as u64;
    knows(rig, &all, "the start")?;
    report.agreed_ms = rig.now().as_millis() as u64;
    let (began, mut spent) = (rig.now(), 0.0);
    for _ in 0..faults {
        let who = dice.random_range(0..brokers);
        let living: Vec<usize> = all.iter().filter(|w| **w != who).copied().collect();
        let others = living.clone();
        match dice.random_range(0..4) {
            0 => {
                report.kills += 1;
                spent += rig.pid(who).and_then(cost).map_or(0.0, |c| c.0);
                let at = rig.now();
                rig.kill(who);
                knows(rig, &living, "a kill")?;
                report.missed_ms.push((rig.now() - at).as_millis() as u64);
                rig.start_broker(who, &files[who])?;
            }
            1 => {
                report.stops += 1;
                rig.stop(who);
                knows(rig, &living, "a stop")?;
                rig.resume(who);
            }
            2 => {
                report.cuts += 1;
                others.iter().for_each(|to| rig.cut(who, *to, true));
                knows(rig, &living, "a cut")?;
                others.iter().for_each(|to| rig.cut(who, *to, false));
            }
            _ => {
                report.ways += 1;
                let to = others[dice.random_range(0..others.len())];
                rig.cut(who, to, true);
                let lost = rig.link(who, to).message_counts().dropped;
                // Until some messages were lost there: it has been asked in vain.
                rig.until(MOST, |_| {
                    rig.link(who, to).message_counts().dropped >= lost + 5
                });
                rig.cut(who, to, false);
            }
        }
        knows(rig, &all, "a fault that is over")?;
    }
    let found = judge_deaths(&rig.ledger.all(), brokers, AFTER);
    (report.checked, report.false_deaths) = (found.checked, found.wrong.len());
    let pairs = all
        .iter()
        .flat_map(|a| all.iter().map(move |b| (*a, *b)))
        .filter(|(a, b)| a != b);
    for counts in pairs.map(|(a, b)| rig.link(a, b).message_counts()) {
        report.carried += counts.forwarded;
        report.lost += counts.dropped;
    }
    let costs: Vec<(f64, f64)> = all.iter().filter_map(|w| cost(rig.pid(*w)?)).collect();
    spent += costs.iter().map(|c| c.0).sum::<f64>();
    report.cpu_share_each = spent / brokers as f64 / (rig.now() - began).as_secs_f64();
    report.memory_mb_each = costs.iter().map(|c| c.1).fold(0.0, f64::max);
    report.missed_ms.sort_unstable();
    Ok(report)
}

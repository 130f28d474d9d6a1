//! A fleet of broker processes that are killed, paused and partitioned, from a seed: the deaths that
//! they declare are checked, and the cost of failure detection is measured. Times are real, so figures
//! differ from run to run; the faults do not.

use crate::ExperimentError;
use lichenswitch_emulators::rig::{judge_deaths, members_agree, Entry, Rig};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long after the end of a fault a death may still be declared because of it.
const DETECTION_GRACE: Duration = Duration::from_secs(8);
/// The longest wait until brokers agree on who is alive.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Messages that are lost on a link before it is restored.
const LOST_PROBES: u64 = 5;
/// Clock ticks a second in the system's figures of a process.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page.
const PAGE_BYTES: f64 = 4_096.0;
const MEGABYTE: f64 = (1 << 20) as f64;

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Brokers.
    pub brokers: usize,
    /// Until all brokers listened, and until all knew all others, milliseconds.
    pub started_ms: u64,
    /// See `started_ms`.
    pub agreed_ms: u64,
    /// Faults, by kind.
    pub kills: usize,
    /// See `kills`.
    pub stops: usize,
    /// See `kills`.
    pub cuts: usize,
    /// Links cut in one direction.
    pub ways: usize,
    /// From each kill until all others knew of it, milliseconds, ascending.
    pub missed_ms: Vec<u64>,
    /// Deaths that were declared and checked.
    pub checked: usize,
    /// Those that no fault explains.
    pub false_deaths: usize,
    /// Messages that the links carried and lost.
    pub carried: u64,
    /// See `carried`.
    pub lost: u64,
    /// Mean processor time of a broker as a share of a core, and the largest memory of one, megabytes.
    pub cpu_share_each: f64,
    /// See `cpu_share_each`.
    pub memory_mb_each: f64,
}

/// What a process has used so far.
#[derive(Clone, Copy)]
struct ProcessCost {
    cpu_seconds: f64,
    memory_mb: f64,
}

/// The cost of a process that runs, by `/proc`.
fn process_cost(pid: i32) -> Option<ProcessCost> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // After the name, which may contain anything: the twelfth and thirteenth field are ticks, the
    // twenty-second is pages.
    let fields: Vec<&str> = text.rsplit(')').next()?.split_whitespace().collect();
    let field = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(ProcessCost {
        cpu_seconds: (field(11)? + field(12)?) / TICKS_PER_SECOND,
        memory_mb: field(21)? * PAGE_BYTES / MEGABYTE,
    })
}

/// Starts this many brokers and injects faults one after another. The events are written to
/// `event_log`, one line each.
///
/// # Errors
/// When a process can't be started, the brokers don't agree on who is alive after a fault, or the event
/// log can't be written.
pub fn run(
    program: &Path,
    seed: u64,
    brokers: usize,
    faults: usize,
    event_log: Option<&Path>,
) -> Result<Report, ExperimentError> {
    let rig = Rig::new(program, brokers, seed)?;
    let mut experiment = Experiment::new(rig, seed, brokers);
    let result = experiment.run(faults);
    if let Some(path) = event_log {
        let line = |e: &Entry| format!("{:.3} n{} {:?}\n", e.at.as_secs_f64(), e.process, e.event);
        let entries = experiment.rig.ledger.all();
        let lines: String = entries.iter().map(line).collect();
        std::fs::write(path, lines).map_err(ExperimentError::write(path))?;
    }
    result.map(|()| experiment.report)
}

/// The brokers, and the report so far.
struct Experiment {
    rig: Rig,
    rng: Xoshiro256PlusPlus,
    report: Report,
    files: Vec<[PathBuf; 2]>,
    /// Processor seconds of processes that have ended.
    ended_cpu_seconds: f64,
}

impl Experiment {
    fn new(rig: Rig, seed: u64, brokers: usize) -> Experiment {
        Experiment {
            rig,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            report: Report {
                seed,
                brokers,
                ..Report::default()
            },
            files: Vec::new(),
            ended_cpu_seconds: 0.0,
        }
    }

    fn run(&mut self, faults: usize) -> Result<(), ExperimentError> {
        self.start_all()?;
        let started_at = self.rig.now();
        for _ in 0..faults {
            self.inject_fault()?;
            self.wait_for_agreement(&self.all_brokers(), "a fault that is over")?;
        }
        self.complete_report(self.rig.now() - started_at);
        Ok(())
    }

    fn all_brokers(&self) -> Vec<usize> {
        (0..self.report.brokers).collect()
    }

    /// Starts all brokers, and waits until they listen and then until they know each other.
    fn start_all(&mut self) -> Result<(), ExperimentError> {
        for broker in self.all_brokers() {
            self.files.push(self.rig.broker_files(broker, "")?);
        }
        for (broker, files) in self.files.iter().enumerate() {
            self.rig.start_broker(broker, files)?;
        }
        let brokers = self.report.brokers;
        let listens = |entry: &&Entry| format!("{entry:?}").contains("peers: n");
        let all_listen = |entries: &[Entry]| entries.iter().filter(listens).count() == brokers;
        if !self.rig.until(AGREEMENT_TIMEOUT, all_listen) {
            return Err(ExperimentError::Unmet("not all brokers listen".into()));
        }
        self.report.started_ms = self.rig.now().as_millis() as u64;
        self.wait_for_agreement(&self.all_brokers(), "the start")?;
        self.report.agreed_ms = self.rig.now().as_millis() as u64;
        Ok(())
    }

    /// Waits until these brokers know that exactly they are alive.
    fn wait_for_agreement(&self, living: &[usize], event: &str) -> Result<(), ExperimentError> {
        let agree = |entries: &[Entry]| members_agree(entries, living);
        match self.rig.until(AGREEMENT_TIMEOUT, agree) {
            true => Ok(()),
            false => Err(ExperimentError::Unmet(format!(
                "{living:?} do not know each other after {event}"
            ))),
        }
    }

    /// Injects a fault from the seed, and waits until the others know of it.
    fn inject_fault(&mut self) -> Result<(), ExperimentError> {
        let broker = self.rng.random_range(0..self.report.brokers);
        let mut others = self.all_brokers();
        others.retain(|other| *other != broker);
        match self.rng.random_range(0..4) {
            0 => self.crash(broker, &others),
            1 => self.pause(broker, &others),
            2 => self.isolate(broker, &others),
            _ => {
                let other = others[self.rng.random_range(0..others.len())];
                self.cut_link(broker, other);
                Ok(())
            }
        }
    }

    fn crash(&mut self, broker: usize, others: &[usize]) -> Result<(), ExperimentError> {
        self.report.kills += 1;
        let cost = self.rig.pid(broker).and_then(process_cost);
        self.ended_cpu_seconds += cost.map_or(0.0, |cost| cost.cpu_seconds);
        let crashed_at = self.rig.now();
        self.rig.kill(broker);
        self.wait_for_agreement(others, "a kill")?;
        let detection_time = self.rig.now() - crashed_at;
        self.report
            .missed_ms
            .push(detection_time.as_millis() as u64);
        self.rig.start_broker(broker, &self.files[broker])?;
        Ok(())
    }

    fn pause(&mut self, broker: usize, others: &[usize]) -> Result<(), ExperimentError> {
        self.report.stops += 1;
        self.rig.stop(broker);
        self.wait_for_agreement(others, "a stop")?;
        self.rig.resume(broker);
        Ok(())
    }

    /// Cuts all links on which a broker sends.
    fn isolate(&mut self, broker: usize, others: &[usize]) -> Result<(), ExperimentError> {
        self.report.cuts += 1;
        others.iter().for_each(|to| self.rig.cut(broker, *to, true));
        self.wait_for_agreement(others, "a cut")?;
        others
            .iter()
            .for_each(|to| self.rig.cut(broker, *to, false));
        Ok(())
    }

    /// Cuts one link in one direction until some messages were lost on it: the broker has probed the
    /// other one in vain.
    fn cut_link(&mut self, from: usize, to: usize) {
        self.report.ways += 1;
        self.rig.cut(from, to, true);
        let lost = || self.rig.link(from, to).message_counts().dropped;
        let lost_before = lost();
        self.rig
            .until(AGREEMENT_TIMEOUT, |_| lost() >= lost_before + LOST_PROBES);
        self.rig.cut(from, to, false);
    }

    fn complete_report(&mut self, elapsed: Duration) {
        let brokers = self.report.brokers;
        let found = judge_deaths(&self.rig.ledger.all(), brokers, DETECTION_GRACE);
        (self.report.checked, self.report.false_deaths) = (found.checked, found.wrong.len());
        let links = (0..brokers).flat_map(|a| (0..brokers).map(move |b| (a, b)));
        for (a, b) in links.filter(|(a, b)| a != b) {
            let counts = self.rig.link(a, b).message_counts();
            self.report.carried += counts.forwarded;
            self.report.lost += counts.dropped;
        }
        let costs: Vec<ProcessCost> = (0..brokers)
            .filter_map(|broker| process_cost(self.rig.pid(broker)?))
            .collect();
        let cpu_seconds =
            self.ended_cpu_seconds + costs.iter().map(|cost| cost.cpu_seconds).sum::<f64>();
        self.report.cpu_share_each = cpu_seconds / brokers as f64 / elapsed.as_secs_f64();
        self.report.memory_mb_each = costs.iter().map(|cost| cost.memory_mb).fold(0.0, f64::max);
        self.report.missed_ms.sort_unstable();
    }
}

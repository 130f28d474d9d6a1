//! Voters and lease holders as processes under faults from a seed: which broker held a role when is
//! checked. Times are real, so figures differ from run to run; the faults do not.

use crate::ExperimentError;
use lichenswitch_emulators::relay::Faults;
use lichenswitch_emulators::rig::{judge_holders, Entry, Event, Rig};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::Serialize;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The duration of leases (milliseconds).
const LEASE_MS: u64 = 1_500;
/// How long a process that was paused may take to find that its lease has expired.
const RESUME_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(30);
/// The probability that a fault is the holder's, where there is one.
const HOLDER_FAULT_PROBABILITY: f64 = 0.6;
/// The probability that a link is among those that are cut.
const LINK_CUT_PROBABILITY: f64 = 0.7;
/// How long a fault lasts (milliseconds).
const FAULT_MS: Range<u64> = 100..5_000;

/// The figures of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Brokers, and how many of them vote.
    pub brokers: usize,
    /// See `brokers`.
    pub voters: usize,
    /// Faults by kind: killed, killed and its folder removed, paused, partitioned, links cut, all
    /// links impaired (a fifth of the messages lost, a fifth duplicated, all delayed), the messages
    /// of one broker withheld and delivered all together.
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
    /// How many times a broker logged that it holds the role.
    pub checked: usize,
    /// How many times two brokers held it, or a token did not grow.
    pub double_held: usize,
    /// From each fault of the holder until another broker held the role, milliseconds, ascending.
    pub taken_over_ms: Vec<u64>,
    /// Messages that links carried and lost.
    pub carried: u64,
    /// See `carried`.
    pub lost: u64,
}

/// The broker that has logged last that it holds the role, and not since that it does not, of those
/// that run.
fn current_holder(entries: &[Entry]) -> Option<usize> {
    let mut holder = None;
    for entry in entries {
        match &entry.event {
            Event::Logged(line) if line.contains("duty d: held under fence") => {
                holder = Some(entry.process);
            }
            Event::Logged(line)
                if line.contains("duty d: not held") && holder == Some(entry.process) =>
            {
                holder = None;
            }
            Event::Killed if holder == Some(entry.process) => holder = None,
            _ => {}
        }
    }
    holder
}

/// Starts this many brokers, of which the first vote, and injects faults one after another. The events
/// are written to `event_log`, one line each.
///
/// # Errors
/// When a process can't be started, no broker holds the role after a fault that leaves a majority, or
/// the event log can't be written.
pub fn run(
    program: &Path,
    seed: u64,
    brokers: usize,
    voters: usize,
    faults: usize,
    event_log: Option<&Path>,
) -> Result<Report, ExperimentError> {
    let rig = Rig::new(program, brokers, seed)?;
    let mut experiment = Experiment::new(rig, seed, brokers, voters.min(brokers));
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
    /// How many voters may still lose their storage: a majority has to keep theirs.
    losable_storages: usize,
}

impl Experiment {
    fn new(rig: Rig, seed: u64, brokers: usize, voters: usize) -> Experiment {
        Experiment {
            rig,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            report: Report {
                seed,
                brokers,
                voters,
                ..Report::default()
            },
            files: Vec::new(),
            losable_storages: (voters - 1) / 2,
        }
    }

    fn run(&mut self, faults: usize) -> Result<(), ExperimentError> {
        self.start_all()?;
        self.wait_for_holder(0, "the start")?;
        for _ in 0..faults {
            self.inject_fault()?;
        }
        self.complete_report();
        Ok(())
    }

    fn start_all(&mut self) -> Result<(), ExperimentError> {
        let voters: Vec<String> = (0..self.report.voters).map(|v| format!("n{v}")).collect();
        let voters = voters.join(", ");
        for broker in 0..self.report.brokers {
            let lines = format!(
                "  probe_ms: 200\n  suspicion_ms: 1500\n  voters: [{voters}]\n  folder: {}\n  duties: [d]\n  lease_ms: {LEASE_MS}\n",
                self.folder(broker).display()
            );
            self.files.push(self.rig.broker_files(broker, &lines)?);
        }
        for (broker, files) in self.files.iter().enumerate() {
            self.rig.start_broker(broker, files)?;
        }
        Ok(())
    }

    fn folder(&self, broker: usize) -> PathBuf {
        self.rig.folder().join(format!("memory-{broker}"))
    }

    fn brokers(&self) -> Range<usize> {
        0..self.report.brokers
    }

    /// All links, by their two brokers.
    fn links(&self) -> Vec<(usize, usize)> {
        self.brokers()
            .flat_map(|a| self.brokers().map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
            .collect()
    }

    /// Waits until a broker holds the role, by the entries of the ledger from `since` on.
    fn wait_for_holder(&self, since: usize, event: &str) -> Result<(), ExperimentError> {
        let has_holder = |entries: &[Entry]| current_holder(&entries[since..]).is_some();
        match self.rig.until(HOLDER_TIMEOUT, has_holder) {
            true => Ok(()),
            false => Err(ExperimentError::Unmet(format!(
                "nobody holds the duty after {event}"
            ))),
        }
    }

    /// Injects a fault from the seed, as often as not at the holder, and waits for its end.
    fn inject_fault(&mut self) -> Result<(), ExperimentError> {
        let holder = current_holder(&self.rig.ledger.all());
        let any = self.rng.random_range(0..self.report.brokers);
        let broker = holder
            .filter(|_| self.rng.random_bool(HOLDER_FAULT_PROBABILITY))
            .unwrap_or(any);
        let (since, injected_at) = (self.rig.ledger.all().len(), self.rig.now());
        let duration = Duration::from_millis(self.rng.random_range(FAULT_MS));
        match self.rng.random_range(0..7) {
            0 => self.crash(broker, duration, false)?,
            1 => self.crash(broker, duration, true)?,
            2 => self.pause(broker, duration),
            3 => self.partition(broker, duration),
            4 => self.impair_links(duration),
            5 => self.withhold_messages(broker, duration),
            _ => self.cut_links(broker, duration),
        }
        if holder == Some(broker) {
            self.report_takeover(holder, since, injected_at);
        }
        if current_holder(&self.rig.ledger.all()).is_none() {
            let since = self.rig.ledger.all().len().min(since);
            self.wait_for_holder(since, "a fault that is over")?;
        }
        Ok(())
    }

    /// Lets a fault last.
    fn wait(&self, duration: Duration) {
        self.rig.until(duration, |_| false);
    }

    fn crash(
        &mut self,
        broker: usize,
        duration: Duration,
        loses_storage: bool,
    ) -> Result<(), ExperimentError> {
        self.rig.kill(broker);
        self.wait(duration);
        if loses_storage && broker < self.report.voters && self.losable_storages > 0 {
            self.losable_storages -= 1;
            self.report.forgot += 1;
            // A voter that has not stored anything yet has no folder.
            let _ = std::fs::remove_dir_all(self.folder(broker));
        }
        self.report.kills += 1;
        self.rig.start_broker(broker, &self.files[broker])?;
        Ok(())
    }

    fn pause(&mut self, broker: usize, duration: Duration) {
        self.report.stops += 1;
        self.rig.stop(broker);
        self.wait(duration);
        self.rig.resume(broker);
    }

    /// Cuts the links between two halves; the broker is in the first one.
    fn partition(&mut self, broker: usize, duration: Duration) {
        self.report.splits += 1;
        let mut side: Vec<usize> = self.brokers().collect();
        side.shuffle(&mut self.rng);
        side.truncate(self.report.brokers / 2);
        side.retain(|s| *s != broker);
        side.push(broker);
        let mut across = self.links();
        across.retain(|(a, b)| side.contains(a) != side.contains(b));
        self.cut(&across, duration);
    }

    fn impair_links(&mut self, duration: Duration) {
        self.report.rough += 1;
        let impaired = Faults {
            loss_share: 0.2,
            duplicate_share: 0.2,
            delay_ms: 20,
            ..Faults::default()
        };
        let links = self.links();
        self.set_links(&links, impaired, duration);
    }

    fn withhold_messages(&mut self, broker: usize, duration: Duration) {
        self.report.held += 1;
        let withheld = Faults {
            is_paused: true,
            ..Faults::default()
        };
        let mut links = self.links();
        links.retain(|(from, _)| *from == broker);
        self.set_links(&links, withheld, duration);
    }

    /// Cuts some of the links on which a broker sends.
    fn cut_links(&mut self, broker: usize, duration: Duration) {
        self.report.ways += 1;
        let mut links = self.links();
        links.retain(|(from, _)| *from == broker && self.rng.random_bool(LINK_CUT_PROBABILITY));
        self.cut(&links, duration);
    }

    fn cut(&self, links: &[(usize, usize)], duration: Duration) {
        links.iter().for_each(|(a, b)| self.rig.cut(*a, *b, true));
        self.wait(duration);
        links.iter().for_each(|(a, b)| self.rig.cut(*a, *b, false));
    }

    fn set_links(&self, links: &[(usize, usize)], faults: Faults, duration: Duration) {
        let set = |faults| {
            for (a, b) in links {
                self.rig.link(*a, *b).set(faults);
            }
        };
        set(faults);
        self.wait(duration);
        set(Faults::default());
    }

    /// Reports how long after a fault of the holder another broker held the role.
    fn report_takeover(&mut self, holder: Option<usize>, since: usize, injected_at: Duration) {
        let is_over = self.rig.until(HOLDER_TIMEOUT, |entries| {
            current_holder(&entries[since..]).is_some() || current_holder(entries) == holder
        });
        let entries = self.rig.ledger.all();
        let acquired_at = entries[since..]
            .iter()
            .find_map(|entry| match &entry.event {
                Event::Logged(line) if line.contains("held under fence") => Some(entry.at),
                _ => None,
            });
        let takeover = acquired_at.filter(|_| is_over).map(|at| at - injected_at);
        let takeover_ms = takeover.map(|elapsed| elapsed.as_millis() as u64);
        self.report.taken_over_ms.extend(takeover_ms);
    }

    fn complete_report(&mut self) {
        let found = judge_holders(&self.rig.ledger.all(), "d", RESUME_TIMEOUT);
        (self.report.checked, self.report.double_held) = (found.checked, found.wrong.len());
        for (a, b) in self.links() {
            let counts = self.rig.link(a, b).message_counts();
            self.report.carried += counts.forwarded;
            self.report.lost += counts.dropped;
        }
        self.report.taken_over_ms.sort_unstable();
    }
}

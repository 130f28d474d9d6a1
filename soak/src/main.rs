//! The soak's command line: days from seeds, several at a time. Exit codes: 0 when no rule was
//! broken, 1 when one was or a day could not be played, 2 when the arguments can't be used.
#![forbid(unsafe_code)]

use bpaf::Bpaf;
use lichenswitch_soak::day::{play, DayError, Stage};
use lichenswitch_soak::journal::{Journal, RequestEnd};
use lichenswitch_soak::judge::judge;
use lichenswitch_soak::plan::Plan;
use lichenswitch_soak::violation::Violation;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use thiserror::Error;

/// Days of a fleet as real processes, with troubles from seeds.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Seeds, FIRST..BEYOND, or how many from 0 on.
    #[bpaf(argument("RANGE"), fallback(SeedRange(0..1)))]
    seeds: SeedRange,
    /// Length of a day up to its final fault, in seconds; 12 at least.
    #[bpaf(
        argument("SECONDS"),
        fallback(30),
        guard(long_enough, "a day has 12 seconds at least")
    )]
    seconds: u64,
    /// Days at a time; each has 8 processes.
    #[bpaf(argument("NUMBER"), fallback(2))]
    jobs: usize,
    /// The program; without it, `lichenswitch-fleet` beside this one, or
    /// `lichenswitch-volatile-fleet` on days whose disks lose what was not synced.
    #[bpaf(argument("PATH"))]
    program: Option<PathBuf>,
    /// A fault that `lichenswitch-volatile-fleet` is to have, to see whether it is found:
    /// `primary_commits_alone`.
    #[bpaf(argument("FAULT"))]
    plant: Option<String>,
    /// Folder for the logs of days that break a rule.
    #[bpaf(argument("FOLDER"), fallback_with(|| Ok::<_, std::io::Error>(std::env::temp_dir().join("lichenswitch-soak"))))]
    logs: PathBuf,
}

/// A day has room for a planned and an unplanned moment then.
fn long_enough(seconds: &u64) -> bool {
    *seconds >= 12
}

/// Seeds, the last one not included.
#[derive(Clone, Debug)]
struct SeedRange(Range<u64>);

#[derive(Debug, Error)]
#[error("a range of seeds is FIRST..BEYOND, or a count")]
struct NoRange;

impl FromStr for SeedRange {
    type Err = NoRange;

    fn from_str(text: &str) -> Result<SeedRange, NoRange> {
        let (first, beyond) = text.split_once("..").unwrap_or(("0", text));
        let [first, beyond] = [first, beyond].map(|text| text.parse().map_err(|_| NoRange));
        Ok(SeedRange(first?..beyond?))
    }
}

fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [SIGINT, SIGTERM] {
        if let Err(error) = signal_hook::flag::register(signal, interrupted.clone()) {
            eprintln!("lichenswitch-soak: signals can't be taken: {error}");
            return ExitCode::from(2);
        }
    }
    let (next, played, broken) = (
        AtomicU64::new(options.seeds.0.start),
        AtomicU64::new(0),
        AtomicU64::new(0),
    );
    thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::SeqCst);
                if seed >= options.seeds.0.end || interrupted.load(Ordering::SeqCst) {
                    return;
                }
                played.fetch_add(1, Ordering::SeqCst);
                if !is_sound(seed, &options, &interrupted) {
                    broken.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    let (days, broken) = (played.into_inner(), broken.into_inner());
    println!("{days} days of {} s, {broken} broken", options.seconds);
    if broken == 0 && !interrupted.load(Ordering::SeqCst) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Plays a day and prints its verdict; tells whether no rule was broken.
fn is_sound(seed: u64, options: &Options, interrupted: &AtomicBool) -> bool {
    let plan = Plan::generate_order(seed, Duration::from_secs(options.seconds));
    let folder = options
        .logs
        .join(format!("seed-{seed}-{}", std::process::id()));
    let program = program(options, &plan);
    let more_settings = options
        .plant
        .as_ref()
        .map_or_else(String::new, |fault| format!("[soak]\nplant = {fault:?}\n"));
    let stage = Stage {
        program: &program,
        more_settings: &more_settings,
        logs: &folder,
    };
    let played = play(&plan, stage, interrupted);
    let violations = played.as_ref().map(judge).unwrap_or_default();
    let mut text = verdict(seed, &played, &violations);
    let sound = played.is_ok() && violations.is_empty();
    if sound {
        // What can't be removed is left to whoever cleans the folder for temporary files.
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        let own = std::env::current_exe().unwrap_or_default();
        let (own, program) = (own.display(), program.display());
        let planted = options
            .plant
            .as_ref()
            .map_or_else(String::new, |fault| format!(" --plant {fault}"));
        let (beyond, seconds) = (seed + 1, options.seconds);
        let again = format!(
            "{own} --seeds {seed}..{beyond} --seconds {seconds} --program {program}{planted}"
        );
        let _ = write!(text, "\n  again: {again}\n  logs: {}", folder.display());
        let whole = format!("{text}\n\n{plan:#?}\n\n{:#?}\n", played.as_ref().map(brief));
        if let Err(error) = std::fs::write(folder.join("journal.txt"), whole) {
            let _ = write!(text, "\n  the journal can't be kept: {error}");
        }
    }
    println!("{text}");
    sound
}

/// The program that a day is played with.
fn program(options: &Options, plan: &Plan) -> PathBuf {
    let volatile = plan.volatile_disks || options.plant.is_some();
    let name = if volatile {
        "lichenswitch-volatile-fleet"
    } else {
        "lichenswitch-fleet"
    };
    let beside = || {
        std::env::current_exe()
            .unwrap_or_default()
            .with_file_name(name)
    };
    options.program.clone().unwrap_or_else(beside)
}

fn verdict(seed: u64, played: &Result<Journal, DayError>, violations: &[Violation]) -> String {
    let journal = match played {
        Ok(journal) => journal,
        Err(error) => return format!("seed {seed}: could not be played: {error}"),
    };
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for one in &journal.client_requests {
        let end = match one.end {
            RequestEnd::Answered(status) => status.to_string(),
            other => format!("{other:?}"),
        };
        *ends.entry(end).or_default() += 1;
    }
    let acknowledged = journal
        .orders
        .iter()
        .filter(|order| order.acknowledged.is_some())
        .count();
    let (orders, reads) = (journal.orders.len(), journal.reads.len());
    let verdict = if violations.is_empty() {
        "sound"
    } else {
        "BROKEN"
    };
    let mut text = format!(
        "seed {seed}: {verdict}; {acknowledged} of {orders} orders acknowledged, {reads} reads, requests {ends:?}"
    );
    for violation in violations {
        let _ = write!(text, "\n  {violation}");
    }
    text
}

/// The journal without the requests that went well and all that servers saw.
fn brief(journal: &Journal) -> Journal {
    let mut brief = journal.clone();
    brief
        .client_requests
        .retain(|one| !matches!(one.end, RequestEnd::Answered(_)) || !one.faults.is_empty());
    let kept: Vec<String> = brief
        .client_requests
        .iter()
        .map(|one| one.attempt.clone())
        .collect();
    for server in &mut brief.servers {
        server.entries.retain(|entry| kept.contains(&entry.attempt));
    }
    brief.reads.clear();
    brief
}

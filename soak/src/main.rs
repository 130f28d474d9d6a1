//! The soak's command line: days from seeds, several at a time. Exit codes: 0 when no rule was
//! broken, 1 when one was or a day could not be run, 2 when the arguments can't be used.
#![forbid(unsafe_code)]

use bpaf::Bpaf;
use lichenswitch_soak::bounds::MACHINES;
use lichenswitch_soak::day::{run_day, DayError, DaySettings};
use lichenswitch_soak::journal::{Journal, RequestEnd};
use lichenswitch_soak::judge::judge;
use lichenswitch_soak::plan::{Plan, Profile};
use lichenswitch_soak::violation::Violation;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::ops::Range;
use std::path::{Path, PathBuf};
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
        guard(is_long_enough, "a day has 12 seconds at least")
    )]
    seconds: u64,
    /// Kind of the days: `mixed`; `series` for planned work in series that overlap; `overload` for
    /// that beside servers that are about full and repeat responses, and with tenants.
    #[bpaf(argument("PROFILE"), fallback(Profile::Mixed))]
    profile: Profile,
    /// Machines of a day of the profiles `series` and `overload`, with two processes each; 3 to 100.
    #[bpaf(
        argument("NUMBER"),
        fallback(MACHINES),
        guard(is_fleet_size, "a fleet has 3 to 100 machines")
    )]
    machines: usize,
    /// Days at a time; each has two processes for each machine.
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

/// Whether a day has room for planned work and unplanned faults.
fn is_long_enough(seconds: &u64) -> bool {
    *seconds >= 12
}

/// Whether a fleet of so many machines can be played.
fn is_fleet_size(machines: &usize) -> bool {
    (3..=100).contains(machines)
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
    let counts = run_days(&options, &interrupted);
    println!(
        "{} days of {} s, {} broken",
        counts.run, options.seconds, counts.broken
    );
    if counts.broken == 0 && !interrupted.load(Ordering::SeqCst) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The numbers of days.
struct DayCounts {
    /// Days that were run.
    run: u64,
    /// Those of them that broke a rule or could not be run to their end.
    broken: u64,
}

/// Runs the days of all seeds, `jobs` at a time.
fn run_days(options: &Options, interrupted: &AtomicBool) -> DayCounts {
    let next_seed = AtomicU64::new(options.seeds.0.start);
    let (run, broken) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for _ in 0..options.jobs.max(1) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::SeqCst);
                if seed >= options.seeds.0.end || interrupted.load(Ordering::SeqCst) {
                    return;
                }
                run.fetch_add(1, Ordering::SeqCst);
                if !is_sound(seed, options, interrupted) {
                    broken.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    DayCounts {
        run: run.into_inner(),
        broken: broken.into_inner(),
    }
}

/// Runs a day and prints its verdict; returns whether no rule was broken.
fn is_sound(seed: u64, options: &Options, interrupted: &AtomicBool) -> bool {
    let length = Duration::from_secs(options.seconds);
    let plan = Plan::of_profile(options.profile, seed, length, options.machines);
    let logs = options
        .logs
        .join(format!("seed-{seed}-{}", std::process::id()));
    let program = program(options, &plan);
    let more_settings = options
        .plant
        .as_ref()
        .map_or_else(String::new, |fault| format!("[soak]\nplant = {fault:?}\n"));
    let settings = DaySettings {
        program: &program,
        more_settings: &more_settings,
        logs: &logs,
    };
    let journal = run_day(&plan, settings, interrupted);
    let violations = journal.as_ref().map(judge).unwrap_or_default();
    let mut text = verdict(seed, &journal, &violations);
    let is_sound = journal.is_ok() && violations.is_empty();
    if is_sound {
        // What can't be removed stays until the folder for temporary files is cleaned.
        let _ = std::fs::remove_dir_all(&logs);
    } else {
        let command = command_of_day(seed, options, &program);
        let _ = write!(text, "\n  again: {command}\n  logs: {}", logs.display());
        let file = format!(
            "{text}\n\n{plan:#?}\n\n{:#?}\n",
            journal.as_ref().map(brief)
        );
        if let Err(error) = std::fs::write(logs.join("journal.txt"), file) {
            let _ = write!(text, "\n  the journal can't be kept: {error}");
        }
    }
    println!("{text}");
    is_sound
}

/// The command that runs the day of a seed once more.
fn command_of_day(seed: u64, options: &Options, program: &Path) -> String {
    let soak = std::env::current_exe().unwrap_or_default();
    let planted = options
        .plant
        .as_ref()
        .map_or_else(String::new, |fault| format!(" --plant {fault}"));
    let profile = match options.profile {
        Profile::Mixed => String::new(),
        Profile::Series => format!(" --profile series --machines {}", options.machines),
        Profile::Overload => format!(" --profile overload --machines {}", options.machines),
    };
    format!(
        "{} --seeds {seed}..{} --seconds {}{profile} --program {}{planted}",
        soak.display(),
        seed + 1,
        options.seconds,
        program.display()
    )
}

/// The program that a day is run with.
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

fn verdict(seed: u64, journal: &Result<Journal, DayError>, violations: &[Violation]) -> String {
    let journal = match journal {
        Ok(journal) => journal,
        Err(error) => return format!("seed {seed}: could not be played: {error}"),
    };
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for request in &journal.client_requests {
        *ends.entry(request.end.label()).or_default() += 1;
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

/// The journal without successful requests, what servers observed of them, and reads.
fn brief(journal: &Journal) -> Journal {
    let mut brief = journal.clone();
    brief.client_requests.retain(|request| {
        !matches!(request.end, RequestEnd::Responded(_)) || !request.faults.is_empty()
    });
    let attempts: Vec<String> = brief
        .client_requests
        .iter()
        .map(|request| request.attempt.clone())
        .collect();
    for server in &mut brief.servers {
        server
            .entries
            .retain(|entry| attempts.contains(&entry.attempt));
    }
    brief.reads.clear();
    brief
}

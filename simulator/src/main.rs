//! The simulator's command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use bpaf::Bpaf;
use lichenswitch_simulator::overlaps;
use lichenswitch_simulator::walk::{walk, Walk, WalkEnd};
use lichenswitch_simulator::world::WorldSettings;

mod measure;
mod seed_range;

use self::seed_range::SeedRange;

/// Lines of the trace that are shown of a seed that fails.
const TRACE_SHOWN: usize = 60;

/// Whole control groups in virtual time from a seed.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Random walks: faults one after another, judged by an oracle.
    #[bpaf(command)]
    Walk {
        /// Seeds, FIRST..BEYOND.
        #[bpaf(argument("RANGE"))]
        seeds: SeedRange,
        /// Control machines.
        #[bpaf(argument("NUMBER"), fallback(4))]
        voters: u32,
        /// Losses that must be borne.
        #[bpaf(argument("NUMBER"), fallback(1))]
        tolerate: u32,
        /// Faults in each walk.
        #[bpaf(argument("NUMBER"), fallback(8))]
        episodes: u32,
        /// Operators; eight are what the pages allow at once.
        #[bpaf(argument("NUMBER"), fallback(2))]
        operators: u32,
        /// Readers of the configuration.
        #[bpaf(argument("NUMBER"), fallback(1))]
        readers: u32,
        /// The faults overlap, and more is lost at a time than service has to bear, but for the
        /// disks.
        overlaps: bool,
        /// Show the whole trace of each seed.
        trace: bool,
    },
    /// Measure acknowledgements, sizes and messages, and print them as tables.
    #[bpaf(command)]
    Measure {
        /// Seeds of each figure.
        #[bpaf(argument("NUMBER"), fallback(20))]
        runs: u64,
    },
}

fn main() -> ExitCode {
    match command().run() {
        Command::Walk {
            seeds,
            voters,
            tolerate,
            episodes,
            operators,
            readers,
            overlaps,
            trace,
        } => {
            let schedule = if overlaps {
                FaultSchedule::Overlapping
            } else {
                FaultSchedule::OneByOne
            };
            let world = WorldSettings {
                voters,
                tolerate,
                operators,
                readers,
                trace,
                ..WorldSettings::new(seeds.first)
            };
            walk_seeds(seeds, &Walk { world, episodes }, schedule)
        }
        Command::Measure { runs } => {
            measure::print(runs);
            ExitCode::SUCCESS
        }
    }
}

/// How the faults of a walk are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultSchedule {
    /// One after another, within what must be tolerated.
    OneByOne,
    /// Overlapping, beyond what must be tolerated, but for the disks.
    Overlapping,
}

impl FaultSchedule {
    fn walk(self, walked: &Walk) -> WalkEnd {
        match self {
            FaultSchedule::OneByOne => walk(walked),
            FaultSchedule::Overlapping => overlaps::walk(walked),
        }
    }
}

/// Walks with each seed, prints those that fail and a summary; fails if one of them does.
fn walk_seeds(seeds: SeedRange, settings: &Walk, schedule: FaultSchedule) -> ExitCode {
    let mut failed = 0;
    let (mut acknowledged, mut faults) = (0, 0);
    for seed in seeds.seeds() {
        let walked = Walk {
            world: WorldSettings {
                seed,
                ..settings.world.clone()
            },
            ..*settings
        };
        let end = schedule.walk(&walked);
        acknowledged += end.world.oracle.acknowledgements().len();
        faults += end.world.counts.faults;
        if let Some(violation) = &end.violation {
            failed += 1;
            println!("seed {seed}: {violation}");
            println!("  again: {}", command_line(&walked, schedule));
            print_failing_walk(&walked, schedule);
        } else if settings.world.trace {
            end.world.trace().for_each(|line| println!("  {line}"));
        }
    }
    let walks = seeds.len();
    println!(
        "{walks} seeds, {failed} failed; {faults} faults, {acknowledged} acknowledged changes"
    );
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// The command that repeats a walk with its whole trace.
fn command_line(walked: &Walk, schedule: FaultSchedule) -> String {
    let WorldSettings {
        seed,
        voters,
        tolerate,
        operators,
        readers,
        ..
    } = walked.world;
    let (beyond, episodes) = (seed + 1, walked.episodes);
    let flag = match schedule {
        FaultSchedule::OneByOne => "",
        FaultSchedule::Overlapping => " --overlaps",
    };
    format!(
        "walk --seeds {seed}..{beyond} --voters {voters} --tolerate {tolerate} --operators {operators} \
         --readers {readers} --episodes {episodes}{flag} --trace"
    )
}

/// Repeats a failing walk with a trace, and prints the end of that, or all of it where the walk was
/// to be traced.
fn print_failing_walk(walked: &Walk, schedule: FaultSchedule) {
    let world = WorldSettings {
        trace: true,
        ..walked.world
    };
    let end = schedule.walk(&Walk { world, ..*walked });
    let lines: Vec<&str> = end.world.trace().collect();
    let skipped = if walked.world.trace {
        0
    } else {
        lines.len().saturating_sub(TRACE_SHOWN)
    };
    lines
        .iter()
        .skip(skipped)
        .for_each(|line| println!("  {line}"));
}

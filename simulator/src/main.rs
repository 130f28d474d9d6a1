//! The simulator's command line.
#![forbid(unsafe_code)]

use std::process::ExitCode;

use bpaf::Bpaf;
use lichenswitch_simulator::walk::{walk, Walk};
use lichenswitch_simulator::world::WorldSettings;

mod measure;

/// Lines of the trace that are shown of a seed that fails.
const TRACE_SHOWN: usize = 60;

/// Whole control groups in virtual time from a seed.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Random walks: faults one after another, judged by a ledger.
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

/// Seeds from one to another, without the last.
#[derive(Clone, Copy, Debug)]
struct SeedRange {
    first: u64,
    beyond: u64,
}

impl std::str::FromStr for SeedRange {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once("..").ok_or("a range is FIRST..BEYOND")?;
        let number = |text: &str| text.parse::<u64>().map_err(|error| format!("`{text}`: {error}"));
        Ok(Self { first: number(parts.0)?, beyond: number(parts.1)? })
    }
}

fn main() -> ExitCode {
    match command().run() {
        Command::Walk { seeds, voters, tolerate, episodes, trace } => {
            walk_seeds(seeds, voters, tolerate, episodes, trace)
        }
        Command::Measure { runs } => {
            measure::print(runs);
            ExitCode::SUCCESS
        }
    }
}

fn walk_seeds(seeds: SeedRange, voters: u32, tolerate: u32, episodes: u32, trace: bool) -> ExitCode {
    let mut failed = 0;
    let (mut acknowledged, mut faults) = (0, 0);
    for seed in seeds.first..seeds.beyond {
        let world = WorldSettings { voters, tolerate, trace, ..WorldSettings::new(seed) };
        let walked = Walk { world, episodes };
        let end = walk(&walked);
        acknowledged += end.world.ledger.acknowledgements().len();
        faults += end.world.counts.faults;
        if let Some(violation) = &end.violation {
            failed += 1;
            println!("seed {seed}: {violation}");
            println!("  again: walk --seeds {seed}..{} --voters {voters} --tolerate {tolerate} --episodes {episodes} --trace", seed + 1);
            show(walked, trace);
        } else if trace {
            end.world.trace().for_each(|line| println!("  {line}"));
        }
    }
    let walked = seeds.beyond.saturating_sub(seeds.first);
    println!("{walked} seeds, {failed} failed; {faults} faults, {acknowledged} acknowledged changes");
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Walks a failing seed again with a trace, and shows its end.
fn show(walked: Walk, whole: bool) {
    let world = WorldSettings { trace: true, ..walked.world };
    let end = walk(&Walk { world, ..walked });
    let lines: Vec<&str> = end.world.trace().collect();
    let skipped = if whole { 0 } else { lines.len().saturating_sub(TRACE_SHOWN) };
    lines.iter().skip(skipped).for_each(|line| println!("  {line}"));
}

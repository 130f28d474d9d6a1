//! `cargo run --release -p lichenswitch-experiments -- NAME --seed N --json FILE`: one experiment, its
//! table and its figures.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use lichenswitch_experiments::{
    cold, council, discovery, fleet, members, replay, scale, two_phase, ExperimentError,
};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;

/// Experiments on the broker's core and decisions.
#[derive(Parser)]
#[command(name = "lichenswitch-experiments", version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// What core and module cost for a part, by parts of a query, data nodes and queries a second.
    Scale(ScaleArgs),
    /// Queries of two phases with the planner off and on.
    TwoPhase(TwoPhaseArgs),
    /// Random days for the module alone, as digests of its actions.
    Replay(Common),
    /// What a view of the fleet costs and how soon it is right, at 9, 30 and 300 brokers.
    Members(Common),
    /// What all brokers together send to a server that has just started, against what it is
    /// allowed.
    SlowStart(ColdArgs),
    /// How soon a fleet hears of a change after discovery was down, by the calls that it handles in
    /// a second.
    Discovery(Common),
    /// A fleet of processes with faults between them.
    Fleet(FleetArgs),
    /// Voters and holders of a duty as processes, with faults between them.
    Council(FleetArgs),
}

#[derive(Args)]
struct FleetArgs {
    #[command(flatten)]
    common: Common,
    /// The broker.
    #[arg(long, default_value = "target/release/lichenswitch")]
    program: PathBuf,
    /// How many of it.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u64).range(2..=60))]
    brokers: u64,
    /// How many of them vote, where they do.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Faults, one after the other.
    #[arg(long, default_value_t = 12)]
    faults: usize,
    /// Where all that happened goes, a line an entry.
    #[arg(long)]
    ledger: Option<PathBuf>,
}

#[derive(Args)]
struct Common {
    /// Seed of all that is random.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the figures go, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct ColdArgs {
    #[command(flatten)]
    common: Common,
    /// How many seeds, from that one on.
    #[arg(long, default_value_t = 100)]
    seeds: u64,
}

#[derive(Args)]
struct ScaleArgs {
    #[command(flatten)]
    common: Common,
    /// Only queries of so many parts.
    #[arg(long)]
    parts: Option<u32>,
    /// Only so many data nodes.
    #[arg(long)]
    nodes: Option<u32>,
    /// Only so many queries a second.
    #[arg(long)]
    rate: Option<f64>,
}

#[derive(Args)]
struct TwoPhaseArgs {
    #[command(flatten)]
    common: Common,
    /// Virtual seconds in which queries arrive.
    #[arg(long, default_value_t = 200.0)]
    seconds: f64,
    /// Only this scenario.
    #[arg(long, value_parser = two_phase::SCENARIOS)]
    scenario: Option<String>,
}

fn write(common: &Common, report: &impl Serialize) -> Result<(), ExperimentError> {
    let Some(path) = &common.json else {
        return Ok(());
    };
    let text = serde_json::to_string(report)?;
    std::fs::write(path, text + "\n").map_err(ExperimentError::write(path))
}

#[expect(clippy::too_many_lines, reason = "one arm for each experiment")]
fn main() -> ExitCode {
    let result = match Cli::parse().experiment {
        Experiment::Scale(args) => {
            let only = scale::Only {
                parts: args.parts,
                nodes: args.nodes,
                rate: args.rate,
            };
            let report = scale::run(args.common.seed, &only);
            print!("{}", scale::table(&report));
            write(&args.common, &report)
        }
        Experiment::TwoPhase(args) => {
            let report = two_phase::run(args.common.seed, args.seconds, args.scenario.as_deref());
            print!("{}", two_phase::table(&report));
            write(&args.common, &report)
        }
        Experiment::Replay(common) => {
            let days = replay::run(common.seed);
            for d in &days {
                println!(
                    "{:>8} {:>8} events {:>8} actions  {}",
                    d.seed, d.events, d.actions, d.digest
                );
            }
            write(&common, &days)
        }
        Experiment::Members(common) => {
            let all: Vec<_> = [9, 30, 300]
                .iter()
                .map(|n| members::play(common.seed, *n, 6))
                .collect();
            println!(
                "{:>8} {:>10} {:>10} {:>22} {:>8} {:>6}",
                "brokers", "agreed ms", "bytes/s", "detected ms", "told", "false"
            );
            for f in &all {
                let detected = format!(
                    "{} / {} / {}",
                    f.detected_ms_p50, f.detected_ms_p99, f.detected_ms_most
                );
                let told = format!("{}/{}", f.told, f.to_be_told);
                let bytes = f.peer_bytes_per_s_each;
                println!(
                    "{:>8} {:>10} {bytes:>10.0} {detected:>22} {told:>8} {:>6}",
                    f.brokers, f.agreed_ms, f.false_deaths
                );
            }
            write(&common, &all)
        }
        Experiment::SlowStart(args) => {
            let all = cold::run(args.common.seed, args.seeds);
            print!("{}", cold::table(&all));
            write(&args.common, &all)
        }
        Experiment::Discovery(common) => {
            let all = discovery::run(common.seed, 10);
            print!("{}", discovery::table(&all));
            write(&common, &all)
        }
        Experiment::Council(args) => {
            let (seed, brokers, voters) = (
                args.common.seed,
                args.brokers as usize,
                args.voters as usize,
            );
            let ran = council::run(
                &args.program,
                seed,
                brokers,
                voters,
                args.faults,
                args.ledger.as_deref(),
            );
            ran.and_then(|report| {
                println!("{report:#?}");
                write(&args.common, &report)
            })
        }
        Experiment::Fleet(args) => {
            let (seed, brokers) = (args.common.seed, args.brokers as usize);
            let ran = fleet::run(
                &args.program,
                seed,
                brokers,
                args.faults,
                args.ledger.as_deref(),
            );
            ran.and_then(|report| {
                println!("{report:#?}");
                write(&args.common, &report)
            })
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("lichenswitch-experiments: {why}");
            ExitCode::FAILURE
        }
    }
}

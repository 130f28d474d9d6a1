//! `cargo run --release -p lichenswitch-experiments -- NAME --seed N --json FILE`: one experiment, its
//! table and its figures.
#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use lichenswitch_experiments::{
    consensus, discovery, fleet, members, replay, scale, slow_start, two_phase, ExperimentError,
};
use serde::Serialize;
use std::path::PathBuf;
use std::process::ExitCode;

/// Sizes of the fleets in which failure detection is measured.
const MEMBERS_FLEETS: [usize; 3] = [9, 30, 300];
/// Brokers of each that crash.
const MEMBERS_CRASHES: usize = 6;
/// Seeds of each fleet before a discovery.
const DISCOVERY_SEEDS: u64 = 10;

/// Experiments on the broker's core and decisions.
#[derive(Parser)]
#[command(name = "lichenswitch-experiments", version)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Subcommand)]
enum Experiment {
    /// The cost of core and module per part, by parts of a query, data nodes and queries a second.
    Scale(ScaleArgs),
    /// Queries of two phases with the planner off and on.
    TwoPhase(TwoPhaseArgs),
    /// Random days for the decision module alone, as digests of its actions.
    Replay(Common),
    /// The cost and the delay of failure detection, in fleets of 9, 30 and 300 brokers.
    Members(Common),
    /// The load that all brokers together send to a server in slow start, against its allowance.
    SlowStart(SlowStartArgs),
    /// The delay until a fleet knows of a change after discovery was down, by the calls that
    /// discovery handles in a second.
    Discovery(Common),
    /// A fleet of processes with faults between them.
    Fleet(FleetArgs),
    /// Voters and lease holders as processes, with faults between them.
    #[command(alias = "council")]
    Consensus(FleetArgs),
}

#[derive(Args)]
struct FleetArgs {
    #[command(flatten)]
    common: Common,
    /// The broker's program.
    #[arg(long, default_value = "target/release/lichenswitch")]
    program: PathBuf,
    /// Number of brokers.
    #[arg(long, default_value_t = 9, value_parser = clap::value_parser!(u64).range(2..=60))]
    brokers: u64,
    /// Number of them that vote, in `consensus`.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Number of faults, one after another.
    #[arg(long, default_value_t = 12)]
    faults: usize,
    /// The file for the log of events, one line each.
    #[arg(long = "ledger", value_name = "LEDGER")]
    event_log: Option<PathBuf>,
}

#[derive(Args)]
struct Common {
    /// The seed of all random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The file for the figures, as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct SlowStartArgs {
    #[command(flatten)]
    common: Common,
    /// Number of seeds, from that one on.
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

fn main() -> ExitCode {
    match run(Cli::parse().experiment) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lichenswitch-experiments: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(experiment: Experiment) -> Result<(), ExperimentError> {
    match experiment {
        Experiment::Scale(args) => run_scale(&args),
        Experiment::TwoPhase(args) => run_two_phase(&args),
        Experiment::Replay(common) => run_replay(&common),
        Experiment::Members(common) => run_members(&common),
        Experiment::SlowStart(args) => run_slow_start(&args),
        Experiment::Discovery(common) => run_discovery(&common),
        Experiment::Consensus(args) => run_consensus(&args),
        Experiment::Fleet(args) => run_fleet(&args),
    }
}

fn run_scale(args: &ScaleArgs) -> Result<(), ExperimentError> {
    let only = scale::Only {
        parts: args.parts,
        nodes: args.nodes,
        rate: args.rate,
    };
    let report = scale::run(args.common.seed, &only);
    print!("{}", scale::table(&report));
    write_json(&args.common, &report)
}

fn run_two_phase(args: &TwoPhaseArgs) -> Result<(), ExperimentError> {
    let report = two_phase::run(args.common.seed, args.seconds, args.scenario.as_deref());
    print!("{}", two_phase::table(&report));
    write_json(&args.common, &report)
}

fn run_replay(common: &Common) -> Result<(), ExperimentError> {
    let days = replay::run(common.seed);
    for day in &days {
        println!(
            "{:>8} {:>8} events {:>8} actions  {}",
            day.seed, day.events, day.actions, day.digest
        );
    }
    write_json(common, &days)
}

fn run_members(common: &Common) -> Result<(), ExperimentError> {
    let figures: Vec<_> = MEMBERS_FLEETS
        .iter()
        .map(|brokers| members::play(common.seed, *brokers, MEMBERS_CRASHES))
        .collect();
    print!("{}", members::table(&figures));
    write_json(common, &figures)
}

fn run_slow_start(args: &SlowStartArgs) -> Result<(), ExperimentError> {
    let figures = slow_start::run(args.common.seed, args.seeds);
    print!("{}", slow_start::table(&figures));
    write_json(&args.common, &figures)
}

fn run_discovery(common: &Common) -> Result<(), ExperimentError> {
    let figures = discovery::run(common.seed, DISCOVERY_SEEDS);
    print!("{}", discovery::table(&figures));
    write_json(common, &figures)
}

fn run_consensus(args: &FleetArgs) -> Result<(), ExperimentError> {
    let report = consensus::run(
        &args.program,
        args.common.seed,
        args.brokers as usize,
        args.voters as usize,
        args.faults,
        args.event_log.as_deref(),
    )?;
    println!("{report:#?}");
    write_json(&args.common, &report)
}

fn run_fleet(args: &FleetArgs) -> Result<(), ExperimentError> {
    let report = fleet::run(
        &args.program,
        args.common.seed,
        args.brokers as usize,
        args.faults,
        args.event_log.as_deref(),
    )?;
    println!("{report:#?}");
    write_json(&args.common, &report)
}

/// Writes the figures of an experiment, if a file for them is named.
fn write_json(common: &Common, figures: &impl Serialize) -> Result<(), ExperimentError> {
    let Some(path) = &common.json else {
        return Ok(());
    };
    let text = serde_json::to_string(figures)?;
    std::fs::write(path, text + "\n").map_err(ExperimentError::write(path))
}

//! Helpers of the tests: scenarios that run for several seeds, and the start of a group.
#![allow(dead_code)]

use lichenswitch_simulator::oracle::Violation;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// A second of virtual time.
pub const SECOND: u64 = 1_000_000;
/// `catchUpS`.
pub const CATCH_UP: u64 = 4 * SECOND;

/// Runs a world of these settings to its end; the oracle of the world has the violations.
pub type Scenario = fn(WorldSettings) -> World;

/// Lines of the trace that are shown of a seed that fails.
const TRACE_SHOWN: usize = 80;

/// Runs a scenario for each seed. Asserts that no rule is violated, and that more than 20 changes
/// were acknowledged, so that a run in which nothing happens doesn't pass.
///
/// # Panics
/// With the seed and the violation, after the end of the trace was printed.
pub fn assert_no_violations(
    seeds: std::ops::Range<u64>,
    change: fn(&mut WorldSettings),
    scenario: Scenario,
) {
    assert_no_violations_with(seeds, change, scenario, |_| {});
}

/// The same; `inspect` may assert more of each run.
pub fn assert_no_violations_with(
    seeds: std::ops::Range<u64>,
    change: fn(&mut WorldSettings),
    scenario: Scenario,
    inspect: fn(&World),
) {
    for seed in seeds {
        let world = scenario(settings(seed, change));
        if let Some(violation) = world.oracle.violations.first() {
            print_trace_end(&scenario(WorldSettings {
                trace: true,
                ..settings(seed, change)
            }));
            panic!("seed {seed}: {violation}");
        }
        let acknowledged = world.oracle.acknowledgements().len();
        assert!(
            acknowledged > 20,
            "seed {seed}: only {acknowledged} changes were acknowledged"
        );
        inspect(&world);
    }
}

/// Prints the end of a trace, without the lines of the routers.
fn print_trace_end(world: &World) {
    let lines: Vec<&str> = world.trace().collect();
    let is_of_no_router = |line: &&&str| {
        ![" puts ", " connects ", " leaves "]
            .iter()
            .any(|word| line.contains(word))
    };
    let lines: Vec<&&str> = lines.iter().filter(is_of_no_router).collect();
    lines
        .iter()
        .skip(lines.len().saturating_sub(TRACE_SHOWN))
        .for_each(|line| println!("{line}"));
}

/// Number of changes that were acknowledged between two times of a run (seconds).
pub fn acknowledged_between(world: &World, from: u64, to: u64) -> usize {
    let within = |at: u64| (from * SECOND..to * SECOND).contains(&at);
    world
        .oracle
        .acknowledgements()
        .iter()
        .filter(|(at, _)| within(at.0))
        .count()
}

/// Asserts that a scenario with a planted fault violates a rule for one of these seeds at least;
/// returns the first violation.
///
/// # Panics
/// Where no seed violates a rule.
pub fn assert_violation_found(
    seeds: std::ops::Range<u64>,
    plant: fn(&mut WorldSettings),
    scenario: Scenario,
) -> Violation {
    let found = seeds.clone().find_map(|seed| {
        let violation = scenario(settings(seed, plant))
            .oracle
            .violations
            .first()
            .cloned()?;
        println!("found by seed {seed}: {violation}");
        Some(violation)
    });
    found.unwrap_or_else(|| panic!("the planted fault is not found within seeds {seeds:?}"))
}

fn settings(seed: u64, change: fn(&mut WorldSettings)) -> WorldSettings {
    let mut settings = WorldSettings::new(seed);
    change(&mut settings);
    settings
}

/// The settings as they are: no planted fault.
pub fn unchanged(_: &mut WorldSettings) {}

/// A group that has been bootstrapped and has committed its first changes.
pub fn started_group(settings: WorldSettings) -> World {
    let mut world = World::new(settings);
    world.run_for(5 * SECOND);
    world
}

/// A partition of these machines from all others for `duration` microseconds, with a fifth of the
/// callers on each side. `holds`: messages are delivered when it ends; otherwise they are lost.
pub fn cut(targets: Vec<Target>, kind: CutKind, duration: u64, holds: bool) -> Action {
    Action::Cut {
        targets,
        kind,
        duration,
        holds,
        callers_bound: 20,
    }
}

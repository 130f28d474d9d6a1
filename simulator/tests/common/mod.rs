//! What the tests of the five points share.
#![allow(dead_code)]

use lichenswitch_simulator::oracle::Violation;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// A second of virtual time.
pub const SECOND: u64 = 1_000_000;
/// `catchUpS`.
pub const CATCH_UP: u64 = 4 * SECOND;

/// A run of one seed: what it consists of, and the first rule that was broken.
pub type Scenario = fn(WorldSettings) -> World;

/// Lines of the trace that are shown of a seed that fails.
const TRACE_SHOWN: usize = 80;

/// Runs a scenario for each seed; none may break a rule.
pub fn assert_no_violations(
    seeds: std::ops::Range<u64>,
    change: fn(&mut WorldSettings),
    scenario: Scenario,
) {
    assert_no_violations_with(seeds, change, scenario, |_| {});
}

/// The same, with a look at each run.
pub fn assert_no_violations_with(
    seeds: std::ops::Range<u64>,
    change: fn(&mut WorldSettings),
    scenario: Scenario,
    look: fn(&World),
) {
    for seed in seeds {
        let world = scenario(settings(seed, change));
        if let Some(violation) = world.oracle.violations.first() {
            show(scenario(WorldSettings {
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
        look(&world);
    }
}

fn show(world: World) {
    let lines: Vec<&str> = world.trace().collect();
    let plain = |line: &&&str| {
        ![" puts ", " connects ", " leaves "]
            .iter()
            .any(|word| line.contains(word))
    };
    let lines: Vec<&&str> = lines.iter().filter(plain).collect();
    lines
        .iter()
        .skip(lines.len().saturating_sub(TRACE_SHOWN))
        .for_each(|line| println!("{line}"));
}

/// Changes that were acknowledged from one second of a run to another.
pub fn acknowledged_between(world: &World, from: u64, to: u64) -> usize {
    let within = |at: u64| (from * SECOND..to * SECOND).contains(&at);
    world
        .oracle
        .acknowledgements()
        .iter()
        .filter(|(at, _)| within(at.0))
        .count()
}

/// A planted fault is found within these seeds; tells by which violation.
pub fn finds(
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

/// Nothing is planted.
pub fn nothing(_: &mut WorldSettings) {}

/// A group that has founded itself and taken its first changes.
pub fn begun(settings: WorldSettings) -> World {
    let mut world = World::new(settings);
    world.run_for(5 * SECOND);
    world
}

/// A cut of these machines from all others, with a fifth of the callers on each side.
pub fn cut(targets: Vec<Target>, kind: CutKind, duration: u64, holds: bool) -> Action {
    Action::Cut {
        targets,
        kind,
        duration,
        holds,
        callers_bound: 20,
    }
}

//! Random faults in virtual time, never more than a group has to tolerate: the group makes progress
//! and is complete again after the faults.

use std::sync::atomic::{AtomicU64, Ordering};

use lichenswitch_replication::model::timed::{NetworkConditions, TimedWorld};
use lichenswitch_replication::model::walk::SeededRng;
use lichenswitch_replication::Settings;

mod environment;
use environment::number;

const SECOND: u64 = 1_000_000;
/// Number of groups unless `REPLICATION_SEEDS` sets it.
const SEEDS: u64 = 200;

/// Injects one fault at one node, runs until it has ended, and returns its name. At most one node
/// is faulty at a time.
fn inject_fault(timed: &mut TimedWorld, node: usize, rng: &mut SeededRng) -> &'static str {
    let duration_micros = 100_000 + rng.below(4 * SECOND);
    match rng.below(8) {
        0 => {
            timed.crash(node);
            timed.run_for(duration_micros);
            timed.restart(node);
            "crash"
        }
        1 => {
            timed.wipe(node);
            timed.run_for(duration_micros);
            timed.restart(node);
            "wipe"
        }
        2 => {
            timed.freeze(node, duration_micros);
            timed.run_for(duration_micros);
            "freeze"
        }
        3 => {
            timed.isolate(node);
            timed.run_for(duration_micros);
            "partition"
        }
        4 => {
            (0..timed.world.nodes.len()).for_each(|other| timed.block_link(other, node));
            timed.run_for(duration_micros);
            "receives nothing"
        }
        5 => {
            (0..timed.world.nodes.len()).for_each(|other| timed.block_link(node, other));
            timed.run_for(duration_micros);
            "sends nothing"
        }
        6 => {
            timed.stall_disk(node, duration_micros);
            timed.run_for(duration_micros);
            "stall"
        }
        _ => {
            timed.call(node, |world| world.leave(node));
            timed.run_for(duration_micros.min(SECOND));
            timed.crash(node);
            timed.run_for(duration_micros);
            timed.restart(node);
            "leave"
        }
    }
}

/// Runs a group of `voters` through 12 faults, with changes and reads throughout.
fn run(voters: usize, seed: u64) {
    let mut rng = SeededRng(seed ^ 0x5eed);
    let mut timed = TimedWorld::with_group(Settings::default(), voters, voters, seed);
    timed.conditions = NetworkConditions {
        loss: [0, 200, 50][rng.index(3)],
        repeat: [0, 50][rng.index(2)],
        ..NetworkConditions::default()
    };
    let mut done = Vec::new();
    for _ in 0..12 {
        let node = rng.index(voters);
        let before = timed.world.oracle.acknowledged.len();
        done.push((inject_fault(&mut timed, node, &mut rng), node));
        timed.heal();
        let took = timed.commit_within(8 * SECOND);
        let context = || format!("voters {voters}, seed {seed}, after {done:?}");
        assert_eq!(timed.world.oracle.violation, None, "{}", context());
        assert!(
            took.is_some(),
            "no change is committed within 8 s: {}",
            context()
        );
        assert!(timed.world.oracle.acknowledged.len() > before);
        let elapsed = timed.run_until(15 * SECOND, |timed| timed.is_complete(voters));
        assert!(elapsed.is_some(), "not complete within 15 s: {}", context());
        if let Some(primary) = timed.world.serving_node() {
            timed.call(primary, |world| world.confirm(primary));
        }
    }
}

#[test]
fn groups_stay_available_and_become_complete_again() {
    let first = number("REPLICATION_FIRST_SEED", 0);
    let last = first + number("REPLICATION_SEEDS", SEEDS);
    let next = AtomicU64::new(first);
    let one = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= last {
            return;
        }
        run(4 + seed as usize % 3, seed);
    };
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(one);
        }
    });
    println!(
        "{} groups of 4 to 6 voters through 12 faults each",
        last - first
    );
}

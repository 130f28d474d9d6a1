//! Random walks over the orders of events: no promise made to a client may be broken.
//!
//! `REPLICATION_SEEDS` sets the number of walks of each kind and `REPLICATION_FIRST_SEED` the first
//! seed; a failure prints its seed.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use lichenswitch_replication::model::walk::{walk, Walk};
use lichenswitch_replication::model::World;
use lichenswitch_replication::Settings;

mod environment;
use environment::number;

/// Number of walks of each kind unless `REPLICATION_SEEDS` sets it.
const SEEDS: u64 = 1000;
/// Number of threads that run walks.
const THREADS: usize = 4;

/// Runs a walk with every seed and checks each for violations and all of them for progress.
fn run_walks(name: &str, kind: Walk) {
    let first = number("REPLICATION_FIRST_SEED", 0);
    let last = first + number("REPLICATION_SEEDS", SEEDS);
    let next = AtomicU64::new(first);
    let (acknowledged, confirmed) = (AtomicUsize::new(0), AtomicU64::new(0));
    let one = || loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= last {
            return;
        }
        let world = World::new(Settings::default(), kind.voters + kind.spares, seed);
        let end = walk(world, Walk { seed, ..kind });
        assert_eq!(
            end.oracle.violation, None,
            "{name}, REPLICATION_FIRST_SEED={seed} REPLICATION_SEEDS=1"
        );
        acknowledged.fetch_add(end.oracle.acknowledged.len(), Ordering::Relaxed);
        confirmed.fetch_add(end.oracle.confirmed, Ordering::Relaxed);
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(one);
        }
    });
    let (acknowledged, confirmed) = (acknowledged.into_inner(), confirmed.into_inner());
    println!(
        "{name}: {} walks, {acknowledged} acknowledged, {confirmed} confirmed",
        last - first
    );
    // The test is meaningful only if the walks made progress.
    assert!(
        acknowledged as u64 > last - first,
        "{name}: hardly anything was acknowledged"
    );
    assert!(
        confirmed > last - first,
        "{name}: hardly anything was confirmed"
    );
}

/// Walks of a group that keeps its members.
const STEADY: Walk = Walk {
    seed: 0,
    voters: 3,
    spares: 0,
    steps: 2000,
    has_wipes: false,
    has_departures: false,
};
/// Walks of a group that changes its members.
const CHANGING: Walk = Walk {
    seed: 0,
    voters: 4,
    spares: 2,
    steps: 3000,
    has_wipes: true,
    has_departures: true,
};

#[test]
fn three_steady_members() {
    run_walks("three that stay", STEADY);
}

#[test]
fn four_steady_members() {
    run_walks(
        "four that stay",
        Walk {
            voters: 4,
            ..STEADY
        },
    );
}

#[test]
fn five_steady_members() {
    run_walks(
        "five that stay",
        Walk {
            voters: 5,
            ..STEADY
        },
    );
}

#[test]
fn three_changing_members() {
    run_walks(
        "three that change",
        Walk {
            voters: 3,
            spares: 3,
            ..CHANGING
        },
    );
}

#[test]
fn four_changing_members() {
    run_walks("four that change", CHANGING);
}

#[test]
fn six_changing_members() {
    run_walks(
        "six that change",
        Walk {
            voters: 6,
            ..CHANGING
        },
    );
}

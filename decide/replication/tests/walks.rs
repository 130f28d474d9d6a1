//! Random walks over all orders of events: nothing that clients were promised may turn out wrong.
//!
//! `REPLICATION_SEEDS` sets the walks of each kind, `REPLICATION_FIRST_SEED` the first; a failure
//! names its seed.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use lichenswitch_replication::model::walk::{walk, Walk};
use lichenswitch_replication::model::World;
use lichenswitch_replication::Settings;

mod environment;
use environment::number;

/// Walks of each kind if the environment doesn't say.
const SEEDS: u64 = 1000;
/// Threads that walk.
const THREADS: usize = 4;

/// Walks with every seed; what was done in all of them.
fn walks(name: &str, kind: Walk) {
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
    // A model in which nothing happens shows nothing.
    assert!(
        acknowledged as u64 > last - first,
        "{name}: hardly anything was acknowledged"
    );
    assert!(
        confirmed > last - first,
        "{name}: hardly anything was confirmed"
    );
}

/// A group that keeps its members.
const STEADY: Walk = Walk {
    seed: 0,
    voters: 3,
    spares: 0,
    steps: 2000,
    has_wipes: false,
    has_departures: false,
};
/// A group that changes its members.
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
    walks("three that stay", STEADY);
}

#[test]
fn four_steady_members() {
    walks(
        "four that stay",
        Walk {
            voters: 4,
            ..STEADY
        },
    );
}

#[test]
fn five_steady_members() {
    walks(
        "five that stay",
        Walk {
            voters: 5,
            ..STEADY
        },
    );
}

#[test]
fn three_changing_members() {
    walks(
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
    walks("four that change", CHANGING);
}

#[test]
fn six_changing_members() {
    walks(
        "six that change",
        Walk {
            voters: 6,
            ..CHANGING
        },
    );
}

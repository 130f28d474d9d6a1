//! Plants one fault at a time and checks that the model finds it; `walks.rs` checks that the model
//! finds nothing without a planted fault. Faults that a search from a chosen state finds sooner are
//! in `exhaustive.rs`; the one that breaks liveness is in `scenarios.rs`.

use lichenswitch_replication::model::walk::{walk, Walk};
use lichenswitch_replication::model::{PlantedFaults, World};
use lichenswitch_replication::{Fault, Faults, Settings};

/// Maximum number of seeds to try before a fault counts as not found.
const MAX_SEEDS: u64 = 3000;

/// Parameters of the walks of a search.
#[derive(Clone, Copy)]
struct Profile {
    voters: usize,
    spares: usize,
    steps: usize,
    has_wipes: bool,
    has_departures: bool,
}

/// Walks of a group that keeps its members: the shortest way to faults of elections, rounds and
/// disks.
const STEADY: Profile = Profile {
    voters: 3,
    spares: 0,
    steps: 2000,
    has_wipes: false,
    has_departures: false,
};
/// Walks of a group that changes its members.
const CHANGING: Profile = Profile {
    voters: 3,
    spares: 3,
    steps: 3000,
    has_wipes: true,
    has_departures: true,
};
/// Walks of four voters, where half of the voters are not a quorum.
const EVEN: Profile = Profile {
    voters: 4,
    ..STEADY
};

/// Returns the first seed that exposes the fault, and the violation.
fn search(faults: Faults, planted: PlantedFaults, profile: Profile) -> Option<(u64, String)> {
    let Profile {
        voters,
        spares,
        steps,
        has_wipes,
        has_departures,
    } = profile;
    (0..MAX_SEEDS).find_map(|seed| {
        let mut world = World::new(
            Settings {
                faults,
                ..Settings::default()
            },
            voters + spares,
            seed,
        );
        world.planted = planted;
        let end = walk(
            world,
            Walk {
                seed,
                voters,
                spares,
                steps,
                has_wipes,
                has_departures,
            },
        );
        end.oracle.violation.map(|violation| (seed, violation))
    })
}

fn must_find(name: &str, faults: Faults, planted: PlantedFaults, profile: Profile) {
    let found = search(faults, planted, profile);
    println!("{name}: {found:?}");
    assert!(found.is_some(), "{name} was not found in {MAX_SEEDS} seeds");
}

macro_rules! planted {
    ($($test:ident, $fault:ident, $profile:expr;)*) => {$(
        #[test]
        fn $test() {
            let faults = Faults::of(Fault::$fault);
            must_find(stringify!($test), faults, PlantedFaults::default(), $profile);
        }
    )*};
}

planted! {
    early_lease_is_found, EarlyLease, STEADY;
    confirmation_from_memory_is_found, ConfirmFromMemory, STEADY;
    counted_earlier_round_is_found, CountEarlierRound, STEADY;
    response_before_sync_is_found, RespondBeforeSync, STEADY;
    quorum_of_half_is_found, HalfIsQuorum, EVEN;
    newest_by_number_is_found, NewestByNumber, STEADY;
    commit_by_leaving_primary_alone_is_found, LeaverCommitsAlone, CHANGING;
    change_without_joint_record_is_found, NoJointRecord, CHANGING;
    promise_that_is_not_durable_is_found, PromiseNotDurable, STEADY;
    election_not_postponed_is_found, ElectionNotPostponed, STEADY;
}

#[test]
fn vote_of_empty_disk_is_found() {
    let faults = Faults::of(Fault::EmptyDiskVotes);
    let planted = PlantedFaults {
        wiped_keeps_identity: true,
        ..PlantedFaults::default()
    };
    must_find("vote_of_empty_disk", faults, planted, CHANGING);
}

#[test]
fn second_bootstrap_of_wiped_founder_is_found() {
    let planted = PlantedFaults {
        wiped_founder_bootstraps: true,
        ..PlantedFaults::default()
    };
    must_find("second_bootstrap", Faults::default(), planted, CHANGING);
}

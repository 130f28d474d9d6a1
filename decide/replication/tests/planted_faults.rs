//! Faults that are planted, one at a time: the model must find each, and nothing where none is
//! (`walks.rs`). Those that a search from a chosen beginning finds sooner are in `exhaustive.rs`,
//! the one that is a matter of what happens in `scenarios.rs`.

use lichenswitch_replication::model::walk::{walk, Walk};
use lichenswitch_replication::model::{PlantedFaults, World};
use lichenswitch_replication::{Faults, Settings};

/// Most seeds until a fault must have been found.
const MOST_SEEDS: u64 = 3000;

/// What the walks of a search are like.
#[derive(Clone, Copy)]
struct Profile {
    voters: usize,
    spares: usize,
    steps: usize,
    wipes: bool,
    leaves: bool,
}

/// A group that keeps its members: the shortest way to faults of elections, rounds and disks.
const STEADY: Profile = Profile {
    voters: 3,
    spares: 0,
    steps: 2000,
    wipes: false,
    leaves: false,
};
/// A group that changes its members.
const CHANGING: Profile = Profile {
    voters: 3,
    spares: 3,
    steps: 3000,
    wipes: true,
    leaves: true,
};
/// Four voters, half of which are no quorum.
const EVEN: Profile = Profile {
    voters: 4,
    ..STEADY
};

/// The first seed that shows the fault, and what it shows.
fn search(faults: Faults, machinery: PlantedFaults, profile: Profile) -> Option<(u64, String)> {
    let Profile {
        voters,
        spares,
        steps,
        wipes,
        leaves,
    } = profile;
    (0..MOST_SEEDS).find_map(|seed| {
        let mut world = World::new(
            Settings {
                faults,
                ..Settings::default()
            },
            voters + spares,
            seed,
        );
        world.machinery = machinery;
        let end = walk(
            world,
            Walk {
                seed,
                voters,
                spares,
                steps,
                wipes,
                leaves,
            },
        );
        end.ledger.violation.map(|violation| (seed, violation))
    })
}

fn must_find(name: &str, faults: Faults, machinery: PlantedFaults, profile: Profile) {
    let found = search(faults, machinery, profile);
    println!("{name}: {found:?}");
    assert!(
        found.is_some(),
        "{name} was not found in {MOST_SEEDS} seeds"
    );
}

macro_rules! planted {
    ($($name:ident, $profile:expr;)*) => {$(
        #[test]
        fn $name() {
            must_find(stringify!($name), Faults { $name: true, ..Faults::default() }, PlantedFaults::default(), $profile);
        }
    )*};
}

planted! {
    early_lease, STEADY;
    answer_from_memory, STEADY;
    count_old_round, STEADY;
    answer_before_sync, STEADY;
    half_is_quorum, EVEN;
    newest_by_number, STEADY;
    leaver_commits_alone, CHANGING;
    no_joint_record, CHANGING;
    promise_not_durable, STEADY;
    election_not_put_off, STEADY;
}

#[test]
fn empty_disk_votes() {
    let faults = Faults {
        empty_disk_votes: true,
        ..Faults::default()
    };
    let machinery = PlantedFaults {
        wiped_keeps_identity: true,
        ..PlantedFaults::default()
    };
    must_find("empty_disk_votes", faults, machinery, CHANGING);
}

#[test]
fn founds_again() {
    let machinery = PlantedFaults {
        founds_again: true,
        ..PlantedFaults::default()
    };
    must_find("founds_again", Faults::default(), machinery, CHANGING);
}

//! A bounded number of random walks. More:
//! `cargo run --release -p lichenswitch-simulator -- walk --seeds 0..1000`.

use lichenswitch_simulator::walk::{walk, Walk};
use lichenswitch_simulator::world::WorldSettings;

fn walk_all(seeds: std::ops::Range<u64>, voters: u32, tolerate: u32) {
    for seed in seeds {
        let world = WorldSettings {
            voters,
            tolerate,
            ..WorldSettings::new(seed)
        };
        let end = walk(&Walk { world, episodes: 8 });
        let again = format!(
            "walk --seeds {seed}..{} --voters {voters} --tolerate {tolerate}",
            seed + 1
        );
        assert_eq!(end.violation, None, "again: {again}");
    }
}

#[test]
fn four_voters_walk() {
    walk_all(0..12, 4, 1);
}

#[test]
fn five_voters_walk() {
    walk_all(100..106, 5, 1);
}

#[test]
fn eight_voters_walk() {
    walk_all(200..203, 8, 2);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let world = WorldSettings {
            trace: true,
            ..WorldSettings::new(7)
        };
        let end = walk(&Walk { world, episodes: 4 });
        (
            end.world.trace().map(str::to_owned).collect::<Vec<_>>(),
            end.world.counts.messages,
        )
    };
    assert_eq!(run(), run());
}

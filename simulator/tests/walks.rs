//! A bounded number of random walks. More:
//! `cargo run --release -p lichenswitch-simulator -- walk --seeds 0..1000`.

use lichenswitch_simulator::walk::{walk, Walk};
use lichenswitch_simulator::world::WorldSettings;

/// Walks with each of these seeds; none may violate a rule.
fn assert_no_violations_in_walks(seeds: std::ops::Range<u64>, voters: u32, tolerate: u32) {
    for seed in seeds {
        let world = WorldSettings {
            voters,
            tolerate,
            ..WorldSettings::new(seed)
        };
        let end = walk(&Walk { world, episodes: 8 });
        let command = format!(
            "walk --seeds {seed}..{} --voters {voters} --tolerate {tolerate}",
            seed + 1
        );
        assert_eq!(end.violation, None, "reproduce with: {command}");
    }
}

#[test]
fn random_walks_of_four_voters_violate_no_rule() {
    assert_no_violations_in_walks(0..12, 4, 1);
}

#[test]
fn random_walks_of_five_voters_violate_no_rule() {
    assert_no_violations_in_walks(100..106, 5, 1);
}

#[test]
fn random_walks_of_eight_voters_violate_no_rule() {
    assert_no_violations_in_walks(200..203, 8, 2);
}

#[test]
fn same_seed_produces_the_same_run() {
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

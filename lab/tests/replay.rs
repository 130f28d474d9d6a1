//! The module decides as its last change on purpose left it: such a change takes the digests anew
//! (`lichenswitch-lab replay`) and says so in its commit.

use lichenswitch_lab::{replay, scale};

/// Seeds of days with the digest of every action on them.
const DAYS: [(u64, &str); 12] = [
    (1_000, "6d6d0d40a16ad673"),
    (1_001, "9671d97689316067"),
    (1_002, "099815d3f6ace441"),
    (1_003, "f44b2ff9e93eb292"),
    (1_004, "c8429c4066b557d5"),
    (1_005, "a2b592b76c37319a"),
    (2_000, "21076c81dde2c809"),
    (2_001, "ff20cc621ee57a0b"),
    (2_002, "5a9c7c60d9a57ef2"),
    (2_003, "5d2b24761c273578"),
    (2_004, "1c904fd0d3d0a89e"),
    (2_005, "bfaba7404d88e46d"),
];

#[test]
fn the_same_events_give_the_same_actions_as_ever() {
    for (seed, digest) in DAYS {
        assert_eq!(replay::day(seed, 4_000).digest, digest, "day {seed}");
    }
}

#[test]
fn the_same_seed_gives_the_same_commands_and_another_one_does_not() {
    let digest = |seed| scale::play(seed, 20, 12, 50.0, 2.0).digest;
    assert_eq!(digest(3), digest(3));
    assert_ne!(digest(3), digest(4));
}

//! The module decides as its last change on purpose left it: such a change takes the digests anew
//! (`lichenswitch-lab replay`) and says so in its commit.

use lichenswitch_lab::{replay, scale};

/// Seeds of days with the digest of every action on them.
const DAYS: [(u64, &str); 12] = [
    (1_000, "44892b6826a8b57a"),
    (1_001, "70a85681bdc2c1ed"),
    (1_002, "2601d29cf0a8eb3a"),
    (1_003, "ac0934098e82ccb1"),
    (1_004, "a52435f8ab3d698f"),
    (1_005, "3f4e97c3192f9667"),
    (2_000, "1b66eb7bcf4140b7"),
    (2_001, "775ff09868f7da74"),
    (2_002, "af08a260fc9a3c62"),
    (2_003, "3ae546f269ccec5e"),
    (2_004, "24f2f655124c8780"),
    (2_005, "f93f042c2f59b597"),
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

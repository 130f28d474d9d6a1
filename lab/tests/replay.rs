//! The module decides as its last change on purpose left it: such a change takes the digests anew
//! (`lichenswitch-lab replay`) and says so in its commit.

use lichenswitch_lab::{replay, scale};

/// Seeds of days with the digest of every action on them.
const DAYS: [(u64, &str); 12] = [
    (1_000, "efc960cbe9fd1335"),
    (1_001, "846add00d5516ce3"),
    (1_002, "331f8e72c6e398b2"),
    (1_003, "bc267208730193d5"),
    (1_004, "a7a62f1303c09d34"),
    (1_005, "6336e2637a4d8119"),
    (2_000, "07f34f81447fe75c"),
    (2_001, "d99a463737a5672e"),
    (2_002, "c5a94e4616e99ba4"),
    (2_003, "a5c0208bf7444553"),
    (2_004, "c72c6943a6240771"),
    (2_005, "5c566ceb1477d20a"),
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

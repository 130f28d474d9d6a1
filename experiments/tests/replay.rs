//! The module decides as after its last intended change: such a change replaces the digests
//! (`lichenswitch-experiments replay`) and says so in its commit.

use lichenswitch_experiments::{replay, scale};

/// Seeds of days with the digest of every action on them.
const DAYS: [(u64, &str); 12] = [
    (1_000, "6afd146995a1a9c4"),
    (1_001, "e78d82a2b556fca2"),
    (1_002, "1be025230706efa5"),
    (1_003, "9bd2b8ae84d81a9a"),
    (1_004, "288a99c75161ac71"),
    (1_005, "48b11b9ad3201292"),
    (2_000, "02397e2ed8c56a18"),
    (2_001, "552cc0b96016797c"),
    (2_002, "be11a2d5cb68ae05"),
    (2_003, "3bd75ea29d8c4ca7"),
    (2_004, "bf605c2dc7e8f305"),
    (2_005, "ac329f07a2c218be"),
];

#[test]
fn same_events_result_in_the_recorded_actions() {
    for (seed, digest) in DAYS {
        assert_eq!(replay::day(seed, 4_000).digest, digest, "day {seed}");
    }
}

#[test]
fn commands_are_the_same_for_the_same_seed_only() {
    let digest = |seed| scale::play(seed, 20, 12, 50.0, 2.0).digest;
    assert_eq!(digest(3), digest(3));
    assert_ne!(digest(3), digest(4));
}

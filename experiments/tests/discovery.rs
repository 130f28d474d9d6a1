//! Discovery is down and returns with a change, for fleets of every size: where it can answer all
//! calls in time, all brokers know of the change within its bound, and while it is down it is not
//! flooded.

use lichenswitch_experiments::discovery::{play, DiscoveryModel};

/// Sizes of fleets, each with the calls that its discovery handles in a second.
const FITS: [(u32, f64); 6] = [
    (1, 2.7),
    (6, 2.7),
    (20, 16.0),
    (60, 16.0),
    (100, 33.0),
    (300, 128.0),
];

#[test]
fn change_reaches_all_brokers_in_time_where_discovery_can_answer() {
    for (brokers, rate) in FITS {
        for seed in 100..110 {
            let figures = play(
                seed,
                brokers,
                DiscoveryModel {
                    rate,
                    fails_after_ms: 1_000,
                    handles_abandoned_calls: false,
                },
            );
            assert_eq!(figures.late, 0, "seed {seed}: {figures:?}");
        }
    }
}

#[test]
fn discovery_that_is_down_is_called_by_each_broker_about_once_a_second() {
    for (brokers, rate) in FITS.into_iter().skip(1) {
        let figures = play(
            7,
            brokers,
            DiscoveryModel {
                rate,
                fails_after_ms: 1_000,
                handles_abandoned_calls: false,
            },
        );
        let each = figures.refused_per_s / f64::from(brokers);
        assert!(
            (0.5..1.3).contains(&each),
            "{each:.2} a second: {figures:?}"
        );
    }
}

#[test]
fn overloaded_discovery_answers_as_many_calls_as_it_can() {
    // 300 brokers before 33 calls a second: 198 in 6 s if no call is wasted.
    for seed in 100..103 {
        let figures = play(
            seed,
            300,
            DiscoveryModel {
                rate: 33.0,
                fails_after_ms: 1_000,
                handles_abandoned_calls: false,
            },
        );
        assert!(
            300 - figures.late >= 190 && figures.last_s < 11.0,
            "{figures:?}"
        );
    }
}

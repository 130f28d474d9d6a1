//! Discovery is down and comes back with a change, before fleets of every size: where it can answer
//! all of them in time, all have heard before the change counts as told, and while it is down it is
//! not flooded.

use lichenswitch_experiments::discovery::{play, Kind};

/// A fleet, and calls that discovery handles in a second before it.
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
                Kind {
                    rate,
                    fails_after_ms: 1_000,
                    works_in_vain: false,
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
            Kind {
                rate,
                fails_after_ms: 1_000,
                works_in_vain: false,
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
            Kind {
                rate: 33.0,
                fails_after_ms: 1_000,
                works_in_vain: false,
            },
        );
        assert!(
            300 - figures.late >= 190 && figures.last_s < 11.0,
            "{figures:?}"
        );
    }
}

//! A cold server's allowance holds for the sum of all brokers, with few and many of them, even and
//! uneven.

use lichenswitch_experiments::cold::{worst, Plan, BUDGETS};

#[test]
fn all_brokers_together_stay_within_a_slow_start_allowance() {
    for brokers in [2, 5, 20, 30, 100] {
        for (budget, capacity, multiple) in BUDGETS {
            let plan = Plan {
                brokers,
                budget,
                uneven: brokers == 30,
                cores: 2,
                capacity,
                load: 0.6,
                multiple,
            };
            let figures = worst(700, 2, &plan);
            assert_eq!(figures.broken, 0, "{figures:?}");
            // It gets work all the same, where its budget holds some and brokers know their
            // traffic.
            assert!(figures.got > 0.1 || budget < 4.0, "{figures:?}");
        }
    }
}

#[test]
fn servers_of_one_core_and_of_four_and_a_busy_fleet_get_no_more() {
    for (cores, load) in [(1, 0.6), (4, 0.6), (2, 0.9)] {
        for brokers in [5, 30, 100] {
            let (budget, capacity, multiple) = BUDGETS[2];
            let plan = Plan {
                brokers,
                budget,
                uneven: true,
                cores,
                capacity,
                load,
                multiple,
            };
            let figures = worst(800, 2, &plan);
            assert_eq!(figures.broken, 0, "{cores} cores, load {load}: {figures:?}");
        }
    }
}

#[test]
fn brokers_without_answers_do_not_overload_a_slow_start_server() {
    // 300 brokers before slow servers: most have asked for nothing when one starts.
    let (budget, capacity, multiple) = BUDGETS[0];
    let plan = Plan {
        brokers: 300,
        budget,
        uneven: false,
        cores: 2,
        capacity,
        load: 0.6,
        multiple,
    };
    let figures = worst(900, 5, &plan);
    assert!(figures.broken == 0 && figures.got < 0.5, "{figures:?}");
}

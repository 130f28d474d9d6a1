//! The allowance of a server in slow start bounds the sum of all brokers, few or many, with even or
//! uneven traffic.

use lichenswitch_experiments::slow_start::{worst, Plan, BUDGETS};

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
            // It receives work all the same, where its budget allows some and brokers know their
            // traffic.
            assert!(figures.got > 0.1 || budget < 4.0, "{figures:?}");
        }
    }
}

#[test]
fn allowance_holds_for_other_numbers_of_cores_and_a_busy_fleet() {
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
    // 300 brokers with slow servers: most have sent no request when one starts.
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

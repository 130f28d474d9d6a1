//! Quotas over whole fleets: no window is overrun under any faults, and nine tenths of the limit are
//! admitted.

use lichenswitch_simulator::quotas::{run, Fault, PlantedBug, Settings};

const SEEDS: std::ops::Range<u64> = 0..8;
/// The interval in which admission is steady (microseconds): demand begins at 10 s, and the tokens
/// that were saved up until then are used within some seconds.
const STEADY_US: (u64, u64) = (18_000_000, 30_000_000);

fn settings(seed: u64) -> Settings {
    Settings {
        seed,
        control: 8,
        routers: 12,
        demand: 6.0,
        one_router: false,
        length_s: 20,
        faults: Fault::ALL,
        fault_interval_ms: Some(if seed.is_multiple_of(2) { 1_600 } else { 300 }),
        planted_bug: PlantedBug::NoBug,
    }
}

#[test]
fn no_window_is_overrun_under_faults_and_clock_drift() {
    for seed in SEEDS {
        let (overrun, _) = run(settings(seed));
        assert_eq!(overrun, None, "seed {seed}");
    }
}

#[test]
fn no_window_is_overrun_in_small_groups() {
    for seed in SEEDS {
        let (overrun, _) = run(Settings {
            control: 1 + seed as usize % 4,
            routers: 3,
            ..settings(seed)
        });
        assert_eq!(overrun, None, "seed {seed}");
    }
}

#[test]
fn nine_tenths_of_the_limit_are_admitted_at_one_router_and_at_many() {
    for (seed, one_router) in [(1, false), (2, false), (3, true), (4, true)] {
        let calm = Settings {
            fault_interval_ms: None,
            demand: 2.0,
            one_router,
            ..settings(seed)
        };
        let (overrun, history) = run(calm);
        assert_eq!(overrun, None, "seed {seed}");
        let share = history.least_share(STEADY_US.0, STEADY_US.1);
        assert!(share >= 0.9, "seed {seed}: {share}");
    }
}

#[test]
fn demand_below_the_limit_is_admitted() {
    for seed in [5, 6] {
        let calm = Settings {
            fault_interval_ms: None,
            demand: 0.8,
            ..settings(seed)
        };
        let share = run(calm).1.least_share(STEADY_US.0, STEADY_US.1);
        assert!((0.75..=0.85).contains(&share), "seed {seed}: {share}");
    }
}

/// The admission history finds bugs of the program.
#[test]
fn planted_quota_bugs_are_found() {
    // Each with the faults that make it show.
    let cases: [(PlantedBug, &[Fault], u64); 3] = [
        (PlantedBug::StartsFull, &[Fault::Restart], 120),
        (PlantedBug::EndlessOwnership, &[Fault::RemoveVoter], 4_000),
        (PlantedBug::NoSettlingTime, &[Fault::RemoveVoter], 1_000),
    ];
    for (planted_bug, faults, fault_interval_ms) in cases {
        let overrun_of = |seed: u64| {
            let case = Settings {
                control: 4,
                routers: 3,
                faults,
                planted_bug,
                ..settings(seed)
            };
            run(Settings {
                fault_interval_ms: Some(fault_interval_ms),
                ..case
            })
            .0
        };
        assert!(
            (0..20).any(|seed| overrun_of(seed).is_some()),
            "{planted_bug:?} was not found"
        );
        let sound = Settings {
            planted_bug: PlantedBug::NoBug,
            control: 4,
            faults,
            ..settings(1)
        };
        assert_eq!(
            run(Settings {
                fault_interval_ms: Some(fault_interval_ms),
                ..sound
            })
            .0,
            None
        );
    }
}

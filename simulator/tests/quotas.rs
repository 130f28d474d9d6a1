//! Quotas over whole fleets: no window is overrun whatever fails, and what is allowed can be used.

use lichenswitch_simulator::quotas::{play, Planted, Settings, Trouble};

const SEEDS: std::ops::Range<u64> = 0..8;
/// Demand begins at 10 s; what was saved up till then is gone some seconds later (microseconds).
const SETTLED: (u64, u64) = (18_000_000, 30_000_000);

fn settings(seed: u64) -> Settings {
    Settings {
        seed,
        control: 8,
        routers: 12,
        demand: 6.0,
        one_router: false,
        length_s: 20,
        troubles: Trouble::ALL,
        trouble_every_ms: Some(if seed.is_multiple_of(2) { 1_600 } else { 300 }),
        planted: Planted::Nothing,
    }
}

#[test]
fn no_window_is_overrun_while_machines_fail_and_clocks_drift() {
    for seed in SEEDS {
        let (overrun, _) = play(settings(seed));
        assert_eq!(overrun, None, "seed {seed}");
    }
}

#[test]
fn small_groups_keep_the_rule_as_well() {
    for seed in SEEDS {
        let (overrun, _) = play(Settings {
            control: 1 + seed as usize % 4,
            routers: 3,
            ..settings(seed)
        });
        assert_eq!(overrun, None, "seed {seed}");
    }
}

#[test]
fn nine_tenths_of_a_limit_are_usable_wherever_requests_come_in() {
    for (seed, one_router) in [(1, false), (2, false), (3, true), (4, true)] {
        let calm = Settings {
            trouble_every_ms: None,
            demand: 2.0,
            one_router,
            ..settings(seed)
        };
        let (overrun, ledger) = play(calm);
        assert_eq!(overrun, None, "seed {seed}");
        let share = ledger.least_share(SETTLED.0, SETTLED.1);
        assert!(share >= 0.9, "seed {seed}: {share}");
    }
}

#[test]
fn demand_below_the_limit_is_let_through() {
    for seed in [5, 6] {
        let calm = Settings {
            trouble_every_ms: None,
            demand: 0.8,
            ..settings(seed)
        };
        let share = play(calm).1.least_share(SETTLED.0, SETTLED.1);
        assert!((0.75..=0.85).contains(&share), "seed {seed}: {share}");
    }
}

/// The ledger is worth something: it finds each of these.
#[test]
fn planted_mistakes_are_found() {
    // Each by the troubles that it takes to show.
    let cases: [(Planted, &[Trouble], u64); 3] = [
        (Planted::StartsFull, &[Trouble::Restart], 120),
        (Planted::EndlessTenure, &[Trouble::VoteOut], 4_000),
        (Planted::NoSettling, &[Trouble::VoteOut], 1_000),
    ];
    for (planted, troubles, every_ms) in cases {
        let plays = |seed: u64| {
            let case = Settings {
                control: 4,
                routers: 3,
                troubles,
                planted,
                ..settings(seed)
            };
            play(Settings {
                trouble_every_ms: Some(every_ms),
                ..case
            })
            .0
        };
        assert!(
            (0..20).any(|seed| plays(seed).is_some()),
            "{planted:?} was not found"
        );
        let sound = Settings {
            planted: Planted::Nothing,
            control: 4,
            troubles,
            ..settings(1)
        };
        assert_eq!(
            play(Settings {
                trouble_every_ms: Some(every_ms),
                ..sound
            })
            .0,
            None
        );
    }
}

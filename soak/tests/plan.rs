//! What seeds draw: the same for the same seed, troubles that overlap, and no more disks lost than
//! one.

use lichenswitch_soak::plan::{Action, Plan};
use std::collections::BTreeSet;
use std::mem::discriminant;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(20);

fn wipes(action: &Action) -> bool {
    matches!(action, Action::Wipe(..) | Action::KillAll(Some(_), _))
}

#[test]
fn a_seed_draws_the_same_day_again() {
    for seed in 0..50 {
        assert_eq!(
            Plan::generate_order(seed, LENGTH),
            Plan::generate_order(seed, LENGTH)
        );
    }
    assert_ne!(
        Plan::generate_order(1, LENGTH).actions,
        Plan::generate_order(2, LENGTH).actions
    );
}

#[test]
fn one_disk_is_lost_on_a_day_at_the_most() {
    for seed in 0..500 {
        let plan = Plan::generate_order(seed, LENGTH);
        let lost = plan
            .actions
            .iter()
            .map(|(_, action)| action)
            .chain(&plan.final_fault)
            .filter(|a| wipes(a));
        assert!(lost.count() <= 1, "seed {seed}");
    }
}

#[test]
fn all_that_can_befall_a_fleet_is_drawn_by_some_seed() {
    let mut generated = Vec::new();
    for seed in 0..100 {
        let plan = Plan::generate_order(seed, LENGTH);
        assert!(
            plan.actions.iter().all(|(at, _)| *at <= LENGTH),
            "seed {seed}"
        );
        assert!(plan.actions.is_sorted(), "seed {seed}");
        generated.extend(plan.actions.iter().map(|(_, action)| *action));
    }
    let kinds: BTreeSet<String> = generated
        .iter()
        .map(|action| format!("{:?}", discriminant(action)))
        .collect();
    assert_eq!(kinds.len(), 13, "{kinds:?}");
}

#[test]
fn two_troubles_or_three_fall_into_one_moment() {
    for seed in 0..100 {
        let plan = Plan::generate_order(seed, LENGTH);
        let moment = LENGTH.mul_f64(0.65)..LENGTH.mul_f64(0.95);
        let is_cut =
            |action: &Action| matches!(action, Action::CutPrimary(_) | Action::CutHalves(..));
        let late = plan
            .actions
            .iter()
            .filter(|(at, action)| moment.contains(at) && !is_cut(action))
            .count();
        assert!((2..=3).contains(&late), "seed {seed}: {late}");
        let cuts = plan
            .actions
            .iter()
            .filter(|(at, action)| *at >= LENGTH.mul_f64(0.65) && is_cut(action));
        assert!((1..=3).contains(&cuts.count()), "seed {seed}");
    }
}

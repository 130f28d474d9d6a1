//! What seeds draw: the same for the same seed, troubles that overlap, and no more disks lost than
//! one.

use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_soak::plan::{Action, Plan, Target};
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

/// Numbers that stand for an action, whatever its variant is called.
fn action_code(action: &Action) -> [u64; 4] {
    let milliseconds = |time: &Duration| u64::try_from(time.as_millis()).unwrap();
    let target = |(role, machine): &Target| match role {
        Role::Control => *machine as u64,
        Role::Router => 100 + *machine as u64,
    };
    match action {
        Action::Restart(machine, delay) => [1, *machine as u64, milliseconds(delay), 0],
        Action::HangUp(machine) => [2, *machine as u64, 0, 0],
        Action::Kill(process, delay) => [3, target(process), milliseconds(delay), 0],
        Action::Wipe(machine, delay) => [4, *machine as u64, milliseconds(delay), 0],
        Action::ProcessPause(process, time) => [5, target(process), milliseconds(time), 0],
        Action::KillAll(wiped, delay) => [
            6,
            wiped.map_or(99, |machine| machine as u64),
            milliseconds(delay),
            0,
        ],
        Action::IsolatePrimary(time) => [7, milliseconds(time), 0, 0],
        Action::CutPrimary(time) => [8, milliseconds(time), 0, 0],
        Action::CutHalves(machine, time) => [9, *machine as u64, milliseconds(time), 0],
        Action::Drain(server) => [10, *server as u64, 0, 0],
        Action::Deregister(server) => [11, *server as u64, 0, 0],
        Action::Crash(server) => [12, *server as u64, 0, 0],
        Action::ServerFaults(server, seed) => [13, *server as u64, *seed, 0],
    }
}

/// A hash (FNV-1a) of the plans of many seeds.
fn plans_hash(seeds: std::ops::Range<u64>) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    let mut add = |number: u64| {
        for byte in number.to_be_bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        }
    };
    for seed in seeds {
        let plan = Plan::generate_order(seed, LENGTH);
        for (at, action) in &plan.actions {
            add(u64::try_from(at.as_nanos()).unwrap());
            action_code(action).into_iter().for_each(&mut add);
        }
        let final_fault = plan.final_fault.as_ref().map_or([0; 4], action_code);
        final_fault.into_iter().for_each(&mut add);
        add(u64::from(plan.volatile_disks));
    }
    hash
}

#[test]
fn seed_yields_the_plan_that_it_yielded_in_earlier_versions() {
    assert_eq!(plans_hash(0..500), 11_184_662_508_926_385_206);
}

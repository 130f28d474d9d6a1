//! Plans of seeds: the same for the same seed, with overlapping faults, and with one lost disk at
//! most.

use lichenswitch_emulators::fleet_processes::Role;
use lichenswitch_soak::plan::{Action, Plan, Profile, Target};
use std::collections::BTreeSet;
use std::mem::discriminant;
use std::time::Duration;

const LENGTH: Duration = Duration::from_secs(20);

fn wipes(action: &Action) -> bool {
    matches!(action, Action::Wipe(..) | Action::KillAll(Some(_), _))
}

#[test]
fn same_seed_yields_the_same_plan() {
    for seed in 0..50 {
        assert_eq!(Plan::from_seed(seed, LENGTH), Plan::from_seed(seed, LENGTH));
    }
    assert_ne!(
        Plan::from_seed(1, LENGTH).actions,
        Plan::from_seed(2, LENGTH).actions
    );
}

#[test]
fn at_most_one_disk_is_lost_on_a_day() {
    for seed in 0..500 {
        let plan = Plan::from_seed(seed, LENGTH);
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
fn every_action_is_drawn_by_some_seed() {
    let mut generated = Vec::new();
    for seed in 0..100 {
        let plan = Plan::from_seed(seed, LENGTH);
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
fn two_or_three_unplanned_faults_overlap() {
    for seed in 0..100 {
        let plan = Plan::from_seed(seed, LENGTH);
        let moment = LENGTH.mul_f64(0.65)..LENGTH.mul_f64(0.95);
        let is_cut = |action: &Action| {
            matches!(
                action,
                Action::PartitionPrimary(_) | Action::PartitionHalves(..)
            )
        };
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
        Action::Pause(process, time) => [5, target(process), milliseconds(time), 0],
        Action::KillAll(wiped, delay) => [
            6,
            wiped.map_or(99, |machine| machine as u64),
            milliseconds(delay),
            0,
        ],
        Action::IsolatePrimary(time) => [7, milliseconds(time), 0, 0],
        Action::PartitionPrimary(time) => [8, milliseconds(time), 0, 0],
        Action::PartitionHalves(machine, time) => [9, *machine as u64, milliseconds(time), 0],
        Action::Drain(server) => [10, *server as u64, 0, 0],
        Action::Deregister(server) => [11, *server as u64, 0, 0],
        Action::Crash(server) => [12, *server as u64, 0, 0],
        Action::ServerFaults(server, seed) => [13, *server as u64, *seed, 0],
        Action::TerminateAgain(machine) => [14, *machine as u64, 0, 0],
        Action::ServerResets(server) => [15, *server as u64, 0, 0],
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
        let plan = Plan::from_seed(seed, LENGTH);
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

#[test]
fn series_overlap_all_day_and_name_machines_of_the_fleet() {
    const MACHINES: usize = 40;
    let seeds = (0..100).flat_map(|seed| [(Profile::Series, seed), (Profile::Overload, seed)]);
    for (profile, seed) in seeds {
        let plan = Plan::of_profile(profile, seed, LENGTH, MACHINES);
        let again = Plan::of_profile(profile, seed, LENGTH, MACHINES);
        assert_eq!(plan, again, "seed {seed}");
        assert!(plan.actions.is_sorted(), "seed {seed}");
        let times: Vec<Duration> = plan.actions.iter().map(|(at, _)| *at).collect();
        let longest_rest = times.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(longest_rest < Some(Duration::from_secs(4)), "seed {seed}");
        let is_known = |machine: usize| machine < MACHINES;
        assert!(
            plan.actions.iter().all(|(_, action)| match action {
                Action::Restart(machine, _) | Action::HangUp(machine) => is_known(*machine),
                _ => true,
            }),
            "seed {seed}"
        );
    }
    let is_long =
        |seed| Plan::of_profile(Profile::Series, seed, LENGTH, MACHINES).has_long_configuration;
    assert_eq!((0..30).filter(|seed| is_long(*seed)).count(), 10);
}

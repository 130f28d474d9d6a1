//! Work that waits at servers, as control machines sum it and tell it on.

mod control_support;

use control_support::{configuration, FakeRouter, Fleet};
use std::collections::BTreeMap;

#[test]
fn routers_of_all_machines_hear_the_sum_and_a_router_that_leaves_takes_its_part_along() {
    let mut fleet = Fleet::of("backlog", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet
            .order("/configuration/replace", 0, &configuration(1, 1))
            .status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let mut one = FakeRouter::connect(fleet.machines[0].internal, "router-1");
    let mut other = FakeRouter::connect(fleet.machines[2].internal, "router-22");
    let (mut one_knows, mut other_knows) = (BTreeMap::new(), BTreeMap::new());
    one.say_backlogs(&[(1, 100), (2, 20)]);
    other.say_backlogs(&[(1, 7)]);
    one.await_backlogs(&mut one_knows, &[(1, 107), (2, 20)]);
    other.await_backlogs(&mut other_knows, &[(1, 107), (2, 20)]);
    // What is not named stands; what is gone is told.
    one.say_backlogs(&[(2, 0)]);
    other.await_backlogs(&mut other_knows, &[(1, 107)]);
    // A router that connects hears all at once.
    let mut late = FakeRouter::connect(fleet.machines[1].internal, "router-333");
    late.await_backlogs(&mut BTreeMap::new(), &[(1, 107)]);
    drop(one);
    other.await_backlogs(&mut other_knows, &[(1, 7)]);
}

#[test]
fn what_routers_of_a_machine_said_goes_with_it() {
    let mut fleet = Fleet::of("backlog-lost", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet
            .order("/configuration/replace", 0, &configuration(1, 1))
            .status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let mut stays = FakeRouter::connect(fleet.machines[0].internal, "router-1");
    let mut goes = FakeRouter::connect(fleet.machines[2].internal, "router-22");
    let mut known = BTreeMap::new();
    stays.say_backlogs(&[(1, 1)]);
    goes.say_backlogs(&[(1, 100)]);
    stays.await_backlogs(&mut known, &[(1, 101)]);
    fleet.kill(2);
    stays.await_backlogs(&mut known, &[(1, 1)]);
}

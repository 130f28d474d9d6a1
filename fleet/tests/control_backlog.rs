//! Backlogs of servers, as control machines sum and forward them.

mod control_support;

use control_support::{configuration, ControlFleet, FakeRouter};
use std::collections::BTreeMap;

#[test]
fn routers_of_all_machines_get_sum_of_backlogs_without_departed_router() {
    let mut fleet = ControlFleet::of("backlog", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet
            .send_order("/configuration/replace", 0, &configuration(1, 1))
            .status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let mut one = FakeRouter::connect(fleet.machines[0].internal, "router-1");
    let mut other = FakeRouter::connect(fleet.machines[2].internal, "router-22");
    let (mut one_knows, mut other_knows) = (BTreeMap::new(), BTreeMap::new());
    one.send_backlogs(&[(1, 100), (2, 20)]);
    other.send_backlogs(&[(1, 7)]);
    one.await_backlogs(&mut one_knows, &[(1, 107), (2, 20)]);
    other.await_backlogs(&mut other_knows, &[(1, 107), (2, 20)]);
    // Servers that are not named keep their backlogs; a backlog that is gone is sent as 0.
    one.send_backlogs(&[(2, 0)]);
    other.await_backlogs(&mut other_knows, &[(1, 107)]);
    // A router that connects gets all backlogs at once.
    let mut late = FakeRouter::connect(fleet.machines[1].internal, "router-333");
    late.await_backlogs(&mut BTreeMap::new(), &[(1, 107)]);
    drop(one);
    other.await_backlogs(&mut other_knows, &[(1, 7)]);
}

#[test]
fn backlogs_of_lost_control_machine_are_dropped() {
    let mut fleet = ControlFleet::of("backlog-lost", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet
            .send_order("/configuration/replace", 0, &configuration(1, 1))
            .status,
        200
    );
    fleet.await_voters(fleet.primary(&[0, 1, 2]), 3);
    let mut stays = FakeRouter::connect(fleet.machines[0].internal, "router-1");
    let mut goes = FakeRouter::connect(fleet.machines[2].internal, "router-22");
    let mut known = BTreeMap::new();
    stays.send_backlogs(&[(1, 1)]);
    goes.send_backlogs(&[(1, 100)]);
    stays.await_backlogs(&mut known, &[(1, 101)]);
    fleet.kill(2);
    stays.await_backlogs(&mut known, &[(1, 1)]);
}

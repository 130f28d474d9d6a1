//! A voter that was unreachable reports that it is current only once it has caught up.

mod common;

use common::{assert_no_violations, cut, started_group, unchanged, SECOND};
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// How long the voter is unreachable, in microseconds.
const ABSENCE: u64 = 17 * SECOND;
/// Routers restart so long before the voter is reachable again, in microseconds.
const RESTART_LEAD: u64 = SECOND / 10;

/// A voter that is not the primary.
fn backup(world: &World) -> Target {
    let primary = world.primary().expect("a primary serves");
    Target::This(if primary == Host(1) { Host(2) } else { Host(1) })
}

/// A fault makes a voter unreachable for [`ABSENCE`]; routers restart just before its end, and connect
/// to that voter first.
fn absence(settings: WorldSettings, fault: fn(Target) -> Action) -> World {
    let mut world = started_group(settings);
    let backup = backup(&world);
    world.act_after(0, fault(backup));
    world.act_after(ABSENCE - RESTART_LEAD, Action::RestartRouters(backup));
    world.run_for(ABSENCE + 2 * SECOND);
    world.finish();
    world
}

/// Messages to it are lost meanwhile.
fn partition_with_lost_messages(settings: WorldSettings) -> World {
    absence(settings, |backup| {
        cut(vec![backup], CutKind::Full, ABSENCE, false)
    })
}

/// Messages to it arrive when the partition ends.
fn partition_with_delayed_messages(settings: WorldSettings) -> World {
    absence(settings, |backup| {
        cut(vec![backup], CutKind::Full, ABSENCE, true)
    })
}

fn frozen(settings: WorldSettings) -> World {
    absence(settings, |backup| Action::Freeze(backup, ABSENCE))
}

#[test]
fn first_heartbeat_after_a_partition_does_not_make_a_lagging_voter_current() {
    assert_no_violations(0..10, unchanged, partition_with_lost_messages);
}

#[test]
fn delayed_heartbeats_do_not_make_a_voter_current() {
    assert_no_violations(0..10, unchanged, partition_with_delayed_messages);
}

#[test]
fn heartbeats_read_late_do_not_make_a_voter_current() {
    assert_no_violations(0..10, unchanged, frozen);
}

//! A member that was away is current again only once it has caught up.

mod common;

use common::{assert_no_violations, begun, cut, nothing, SECOND};
use lichenswitch_simulator::network::Host;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

const AWAY: u64 = 17 * SECOND;
/// Routers start so long before the member is reached again.
const BEFORE: u64 = SECOND / 10;

/// One that is not the primary.
fn other(world: &World) -> Target {
    let primary = world.primary().expect("a primary serves");
    Target::This(if primary == Host(1) { Host(2) } else { Host(1) })
}

/// A voter is away; routers start just before the end of that, with its address first.
fn away(settings: WorldSettings, fault: fn(Target) -> Action) -> World {
    let mut world = begun(settings);
    let other = other(&world);
    world.act_after(0, fault(other));
    world.act_after(AWAY - BEFORE, Action::RestartRouters(other));
    world.run_for(AWAY + 2 * SECOND);
    world.finish();
    world
}

/// What is sent to it meanwhile is lost.
fn cut_off(settings: WorldSettings) -> World {
    away(settings, |other| {
        cut(vec![other], CutKind::Full, AWAY, false)
    })
}

/// What is sent to it meanwhile comes at the end.
fn delayed(settings: WorldSettings) -> World {
    away(settings, |other| {
        cut(vec![other], CutKind::Full, AWAY, true)
    })
}

fn frozen(settings: WorldSettings) -> World {
    away(settings, |other| Action::Freeze(other, AWAY))
}

#[test]
fn first_heartbeat_after_a_partition_does_not_make_a_lagging_voter_current() {
    assert_no_violations(0..10, nothing, cut_off);
}

#[test]
fn delayed_heartbeats_do_not_make_a_voter_current() {
    assert_no_violations(0..10, nothing, delayed);
}

#[test]
fn heartbeats_read_late_do_not_make_a_voter_current() {
    assert_no_violations(0..10, nothing, frozen);
}

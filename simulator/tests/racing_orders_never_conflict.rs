//! Two orders on one version are never both acknowledged, and the repetition of an acknowledged
//! order is never rejected. Point 2 of `docs/operate/control.md`.

mod common;

use common::{assert_no_violations, assert_violation_found, cut, started_group, SECOND};
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::control::GlueFault;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// Four operators that act at the same moments, mostly pick the same version, and repeat often.
fn with_racing_operators(settings: &mut WorldSettings) {
    settings.operators = 4;
    settings.pace = Pace {
        min_pause_us: 0,
        max_pause_us: 400_000,
        step_us: 200_000,
        repeat_percent: 30,
        invalid_percent: 5,
        max_version_step: 2,
    };
}

/// All responses to callers are lost while the primary is partitioned; failovers and losses of disks
/// follow.
fn lost_responses(settings: WorldSettings) -> World {
    let mut world = started_group(settings);
    world.act_after(
        0,
        cut(vec![Target::Primary], CutKind::Full, 6 * SECOND, true),
    );
    world.act_after(0, Action::LoseReplies(6 * SECOND));
    world.run_for(8 * SECOND);
    for after in [
        Action::Kill(Target::Primary),
        Action::PowerOffAll,
        Action::PowerLoss(Target::Primary),
    ] {
        world.act_after_acknowledgement(after);
        world.run_for(5 * SECOND);
    }
    world.run_for(5 * SECOND);
    world.act_after_acknowledgement(Action::Wipe(Target::Oldest));
    world.run_for(8 * SECOND);
    world.act_after(0, Action::Replace(Target::Primary, SECOND));
    world.run_for(8 * SECOND);
    world.finish();
    world
}

#[test]
fn racing_orders_with_lost_responses_never_conflict() {
    assert_no_violations(0..6, with_racing_operators, lost_responses);
}

#[test]
fn order_recognized_by_version_alone_is_found() {
    fn plant(settings: &mut WorldSettings) {
        with_racing_operators(settings);
        settings.glue.plant(GlueFault::RecognizeByVersion);
    }
    assert_violation_found(0..10, plant, lost_responses);
}

#[test]
fn snapshot_without_order_history_is_found() {
    fn plant(settings: &mut WorldSettings) {
        with_racing_operators(settings);
        settings.glue.plant(GlueFault::LoseHistory);
    }
    assert_violation_found(0..10, plant, lost_responses);
}

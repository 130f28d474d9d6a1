//! Point 2: two changes under one number are never both confirmed, and a repeat of one that was
//! taken is never refused.

mod common;

use common::{assert_no_violations, begun, cut, finds, SECOND};
use lichenswitch_simulator::callers::Pace;
use lichenswitch_simulator::world::{Action, CutKind, Target, World, WorldSettings};

/// Four operators who act at the same moments, mostly pick the same number, and repeat a lot.
fn racing(settings: &mut WorldSettings) {
    settings.operators = 4;
    settings.pace = Pace {
        least_rest: 0,
        most_rest: 400_000,
        in_step: 200_000,
        repeats: 30,
        invalid: 5,
        most_step: 2,
    };
}

/// All answers to callers are lost while the primary is cut off; then the group goes through
/// failovers and losses of disks.
fn answers_lost(settings: WorldSettings) -> World {
    let mut world = begun(settings);
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
fn races_and_lost_answers_keep_orders_apart() {
    assert_no_violations(0..6, racing, answers_lost);
}

#[test]
fn orders_known_by_number_are_found() {
    fn plant(settings: &mut WorldSettings) {
        racing(settings);
        settings.glue.known_by_number = true;
    }
    finds(0..10, plant, answers_lost);
}

#[test]
fn a_history_that_does_not_travel_is_found() {
    fn plant(settings: &mut WorldSettings) {
        racing(settings);
        settings.glue.history_lost = true;
    }
    finds(0..10, plant, answers_lost);
}

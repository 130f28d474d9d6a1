//! Liveness tests in virtual time for members: elections, replacements and departures.

mod scenario;

use lichenswitch_replication::model::timed::TimedWorld;
use lichenswitch_replication::{
    DurableItem, Epoch, Fault, Faults, MembershipChange, Notice, Settings,
};
use scenario::*;

#[test]
fn sole_founder_serves_within_a_second() {
    let mut timed = TimedWorld::new(Settings::default(), 1, 7);
    timed.call(0, |world| world.bootstrap());
    let served_after = timed.run_until(SECOND, |timed| timed.world.serving_node().is_some());
    assert!(
        served_after.is_some_and(|took| took < 20_000),
        "{served_after:?}"
    );
}

#[test]
fn four_members_form_a_group_within_a_second() {
    let timed = group_of_four(4);
    println!("four voters after {} us", timed.now.0 - SECOND);
    assert!(timed.now.0 - SECOND < SECOND, "{}", timed.now.0);
}

#[test]
fn nine_members_form_a_group_and_a_tenth_is_not_added() {
    let mut timed = TimedWorld::with_group(Settings::default(), 9, 10, 3);
    timed.restart(9);
    timed.run_for(5 * SECOND);
    assert!(timed.is_complete(9));
    assert_no_violation(&timed);
}

#[test]
fn change_and_confirmation_take_one_round() {
    let mut timed = group_of_four(4);
    let took = timed.commit_within(SECOND).expect("a change is committed");
    println!("a change took {took} us");
    assert!(took < 5_000, "{took}");
    let primary = serving_node(&timed);
    timed.call(primary, |world| world.confirm(primary));
    let before = timed.world.oracle.confirmed;
    let took = timed
        .run_until(SECOND, |timed| timed.world.oracle.confirmed > before)
        .expect("it is confirmed");
    println!("a confirmation took {took} us");
    // A round takes at most 1,000 us here; the one that announces the commit is still in flight and
    // does not count.
    assert!(took <= 2_000, "{took}");
    assert_no_violation(&timed);
}

#[test]
fn lost_primary_is_succeeded_by_another() {
    for seed in 0..20 {
        let mut timed = TimedWorld::with_group(Settings::default(), 4, 4, seed);
        let primary = serving_node(&timed);
        timed.crash(primary);
        let took = timed
            .commit_within(5 * SECOND)
            .expect("another primary commits");
        assert!(took < 2 * SECOND, "seed {seed}: {took}");
        assert_no_violation(&timed);
    }
}

#[test]
fn two_losses_in_a_row_are_tolerated_twice() {
    let mut timed = group_of_four(8);
    for learner in 4..8 {
        let lost = other_voters(&timed)[0];
        timed.wipe(lost);
        timed.run_for(SECOND / 2);
        timed.restart(learner);
        assert!(
            timed.commit_within(3 * SECOND).is_some(),
            "before {learner} has its place"
        );
        let replaced = timed
            .run_until(3 * SECOND, |timed| timed.is_complete(4))
            .expect("it takes the place");
        println!("replaced after {replaced} us");
        let membership_changes = membership_changes(&mut timed);
        assert!(
            matches!(
                membership_changes.last(),
                Some(MembershipChange::ReplaceUnresponsive { .. })
            ),
            "{membership_changes:?}"
        );
    }
    assert!(timed.commit_within(SECOND).is_some());
    assert_no_violation(&timed);
}

#[test]
fn learner_added_during_a_loss_stays_beside_the_lost_voter_until_its_removal() {
    let mut timed = group_of_four(6);
    for learner in [4, 5] {
        let lost = other_voters(&timed)[0];
        timed.wipe(lost);
        timed.restart(learner);
        timed.run_for(SECOND / 10);
        assert!(timed.commit_within(SECOND / 10).is_some());
    }
    let elapsed = timed.run_until(10 * SECOND, |timed| timed.is_complete(4));
    assert!(
        elapsed.is_some(),
        "the lost ones are removed: {:?}",
        membership_changes(&mut timed)
    );
    assert!(timed.commit_within(SECOND).is_some());
    assert_no_violation(&timed);
}

#[test]
fn wiped_voter_at_the_same_address_is_replaced_in_one_step() {
    let mut timed = group_of_four(4);
    membership_changes(&mut timed);
    for _ in 0..3 {
        let lost = other_voters(&timed)[0];
        timed.wipe(lost);
        timed.restart(lost);
        let replaced = timed
            .run_until(SECOND, |timed| timed.is_complete(4))
            .expect("it takes its place again");
        println!("replaced after {replaced} us");
        let membership_changes = membership_changes(&mut timed);
        assert!(
            matches!(
                &membership_changes[..],
                [MembershipChange::ReplaceWiped { .. }]
            ),
            "{membership_changes:?}"
        );
    }
    assert_no_violation(&timed);
}

/// The planted fault makes the second replacement fatal: no member can commit afterwards.
fn second_replacement(faults: Faults) -> Option<u64> {
    let mut timed = TimedWorld::with_group(
        Settings {
            faults,
            ..Settings::default()
        },
        4,
        6,
        1,
    );
    for learner in [4, 5] {
        let lost = other_voters(&timed).into_iter().min()?;
        timed.wipe(lost);
        timed.restart(learner);
        timed.run_for(3 * SECOND);
    }
    // The group tolerates and repairs both losses, so it handles a further loss like the first.
    let lost = other_voters(&timed)
        .into_iter()
        .find(|index| timed.world.nodes[*index].replica.is_some())?;
    timed.wipe(lost);
    timed.run_for(SECOND);
    timed.commit_within(5 * SECOND)
}

#[test]
fn lost_voter_that_is_never_removed_is_found() {
    assert!(second_replacement(Faults::default()).is_some());
    assert_eq!(
        second_replacement(Faults::of(Fault::NeverRemoveVoters)),
        None
    );
}

#[test]
fn unresponsive_voter_is_removed_and_rejoins_under_its_identity() {
    let mut timed = group_of_four(4);
    membership_changes(&mut timed);
    let lost = other_voters(&timed)[0];
    timed.crash(lost);
    assert!(timed
        .run_until(8 * SECOND, |timed| timed.is_complete(3))
        .is_some_and(|took| took > 4 * SECOND));
    let identity = timed.world.nodes[lost].identity;
    timed.restart(lost);
    assert!(timed
        .run_until(5 * SECOND, |timed| timed.is_complete(4))
        .is_some());
    assert_eq!(timed.world.nodes[lost].identity, identity);
    let membership_changes = membership_changes(&mut timed);
    assert!(matches!(
        &membership_changes[..],
        [
            MembershipChange::RemoveUnresponsive { .. },
            MembershipChange::Add { .. }
        ]
    ));
    assert_no_violation(&timed);
}

#[test]
fn group_of_three_never_shrinks_to_two() {
    let mut timed = TimedWorld::with_group(Settings::default(), 3, 3, 5);
    let lost = other_voters(&timed)[0];
    timed.crash(lost);
    timed.run_for(20 * SECOND);
    let primary = serving_node(&timed);
    assert_eq!(
        timed.world.nodes[primary]
            .replica
            .as_ref()
            .unwrap()
            .membership()
            .voters
            .len(),
        3
    );
    let is_rejected_removal =
        |(_, notice): &(usize, Notice)| matches!(notice, Notice::RemovalRejected { .. });
    let reported = timed
        .world
        .notices
        .as_ref()
        .unwrap()
        .iter()
        .filter(|notice| is_rejected_removal(notice))
        .count();
    assert_eq!(reported, 1, "a rejection is reported once");
    assert!(timed.commit_within(SECOND).is_some());
}

#[test]
fn leaving_primary_transfers_leadership_and_is_removed() {
    for seed in 0..20 {
        let mut timed = TimedWorld::with_group(Settings::default(), 4, 4, seed);
        let primary = serving_node(&timed);
        timed.call(primary, |world| world.leave(primary));
        let left = timed.run_until(3 * SECOND, |timed| {
            timed.world.nodes[primary]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.has_left())
        });
        assert!(
            left.is_some_and(|took| took < SECOND / 2),
            "seed {seed}: {left:?}"
        );
        timed.crash(primary);
        let took = timed
            .commit_within(SECOND)
            .expect("the next primary commits");
        assert!(took < 50_000, "seed {seed}: {took}");
        assert!(timed.is_complete(3), "seed {seed}");
        assert_no_violation(&timed);
    }
}

#[test]
fn member_whose_removal_would_leave_two_stays_in_the_membership() {
    let mut timed = TimedWorld::with_group(Settings::default(), 3, 3, 5);
    let leaver = other_voters(&timed)[0];
    timed.call(leaver, |world| world.leave(leaver));
    let left = timed.run_until(SECOND, |timed| {
        timed.world.nodes[leaver]
            .replica
            .as_ref()
            .is_some_and(|replica| replica.has_left())
    });
    assert!(left.is_some());
    assert!(timed.is_complete(3));
}

#[test]
fn all_members_restart_one_after_the_other() {
    let mut timed = group_of_four(4);
    for index in 0..4 {
        timed.call(index, |world| world.leave(index));
        timed.run_for(SECOND);
        timed.crash(index);
        timed.run_for(SECOND / 2);
        timed.restart(index);
        let back = timed.run_until(10 * SECOND, |timed| timed.is_complete(4));
        assert!(back.is_some(), "{index} is back");
        assert!(timed.commit_within(2 * SECOND).is_some());
    }
    assert_no_violation(&timed);
}

#[test]
fn leaving_member_learns_of_its_removal_by_a_primary_that_was_lost() {
    for seed in 0..20 {
        let mut timed = TimedWorld::with_group(Settings::default(), 5, 5, seed);
        let (primary, leaver) = (serving_node(&timed), other_voters(&timed)[0]);
        timed.block_link(primary, leaver);
        timed.call(leaver, |world| world.leave(leaver));
        timed.run_for(SECOND / 10);
        timed.crash(primary);
        let left = timed.run_until(5 * SECOND, |timed| {
            timed.world.nodes[leaver]
                .replica
                .as_ref()
                .is_some_and(|replica| replica.has_left())
        });
        assert!(left.is_some(), "seed {seed}");
        assert_no_violation(&timed);
    }
}

#[test]
fn group_of_eight_tolerates_two_losses_at_once_and_two_more() {
    let settings = Settings {
        fault_tolerance: 2,
        ..Settings::default()
    };
    let mut timed = TimedWorld::with_group(settings, 8, 12, 2);
    for newcomers in [[8, 9], [10, 11]] {
        let lost = other_voters(&timed);
        let primary = serving_node(&timed);
        for index in [primary, lost[0]] {
            timed.wipe(index);
        }
        timed.run_for(SECOND / 2);
        for index in newcomers {
            timed.restart(index);
        }
        assert!(timed.commit_within(3 * SECOND).is_some());
        assert!(timed
            .run_until(5 * SECOND, |timed| timed.is_complete(8))
            .is_some());
    }
    assert_no_violation(&timed);
}

#[test]
fn voter_at_another_address_keeps_its_identity() {
    let mut timed = group_of_four(4);
    membership_changes(&mut timed);
    let moved = other_voters(&timed)[0];
    timed.crash(moved);
    timed.world.nodes[moved].address = "elsewhere".to_owned();
    timed.restart(moved);
    let named = timed.run_until(5 * SECOND, |timed| {
        let primary = timed
            .world
            .serving_node()
            .and_then(|index| timed.world.nodes[index].replica.as_ref());
        primary.is_some_and(|replica| {
            replica
                .membership()
                .all()
                .any(|member| member.address == "elsewhere")
        })
    });
    assert!(named.is_some());
    assert!(timed
        .run_until(SECOND, |timed| timed.is_complete(4))
        .is_some());
    let membership_changes = membership_changes(&mut timed);
    assert!(
        matches!(
            &membership_changes[..],
            [MembershipChange::ChangeAddress { .. }]
        ),
        "{membership_changes:?}"
    );
    assert_no_violation(&timed);
}

#[test]
fn removed_member_with_a_much_higher_promise_rejoins() {
    for counter in [2, 100] {
        let mut timed = group_of_four(4);
        let away = other_voters(&timed)[2];
        timed.crash(away);
        // It had chosen an epoch, and its process ended before it requested grants for it.
        let primary = timed.world.nodes[away].identity;
        timed.world.nodes[away]
            .disk
            .push(DurableItem::Promise(Epoch { counter, primary }));
        assert!(timed
            .run_until(8 * SECOND, |timed| timed.is_complete(3))
            .is_some());
        timed.restart(away);
        let back = timed.run_until(10 * SECOND, |timed| timed.is_complete(4));
        println!("back after {back:?} us");
        assert!(back.is_some(), "epoch {counter}");
        assert!(timed.commit_within(SECOND).is_some());
        assert_no_violation(&timed);
    }
}

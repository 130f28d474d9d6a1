//! Liveness tests in virtual time for disks and links: stalls, power loss, partitions, freezes and
//! catching up.

mod scenario;

use lichenswitch_replication::model::timed::{NetworkConditions, TimedWorld};
use lichenswitch_replication::model::History;
use lichenswitch_replication::{DurableItem, Notice, Settings};
use scenario::*;

#[test]
fn group_recovers_from_power_loss_of_all_members() {
    let mut timed = group_of_four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    let committed = timed.world.oracle.committed.len();
    for index in 0..4 {
        timed.crash(index);
    }
    for index in 0..4 {
        timed.restart(index);
    }
    timed
        .commit_within(4 * SECOND)
        .expect("a change is committed again");
    assert!(timed.world.oracle.committed.len() > committed);
    assert_no_violation(&timed);
}

/// Restarts all members of a group within 0.4 s. Returns the microseconds from the moment at which
/// a majority runs until the group commits a change.
fn micros_to_commit_after_restart(seed: u64) -> u64 {
    let mut timed = TimedWorld::with_group(Settings::default(), 4, 4, seed);
    timed.commit_within(SECOND).expect("a change is committed");
    (0..4).for_each(|index| timed.crash(index));
    for index in 0..3 {
        timed.restart(index);
        timed.run_for(SECOND / 8);
    }
    let taken = timed
        .commit_within(4 * SECOND)
        .expect("a change is committed again");
    assert_no_violation(&timed);
    taken
}

#[test]
fn group_that_starts_together_elects_without_waiting_for_a_primary() {
    let mut taken: Vec<u64> = (100..140).map(micros_to_commit_after_restart).collect();
    taken.sort_unstable();
    assert!(taken[20] < SECOND / 4, "at the median {} us", taken[20]);
    assert!(taken[39] < SECOND, "at the worst {} us", taken[39]);
}

#[test]
fn primary_with_stalled_disk_transfers_leadership() {
    let mut timed = group_of_four(4);
    let primary = serving_node(&timed);
    timed.stall_disk(primary, 30 * SECOND);
    timed
        .commit_within(SECOND)
        .expect("the others' disks are enough");
    timed.run_for(3 * SECOND);
    assert_ne!(serving_node(&timed), primary);
    timed
        .commit_within(SECOND)
        .expect("the next primary commits");
    let is_observed =
        |(_, notice): &(usize, Notice)| matches!(notice, Notice::LeadershipTransferStarted { .. });
    assert!(timed
        .world
        .notices
        .as_ref()
        .unwrap()
        .iter()
        .any(is_observed));
    assert_no_violation(&timed);
}

#[test]
fn stalled_disk_of_a_voter_blocks_nothing() {
    let mut timed = group_of_four(4);
    let (primary, voter) = (serving_node(&timed), other_voters(&timed)[0]);
    timed.stall_disk(voter, 10 * SECOND);
    for _ in 0..200 {
        assert!(timed
            .commit_within(SECOND)
            .is_some_and(|took| took < 50_000));
    }
    assert_eq!(serving_node(&timed), primary);
    timed.run_for(12 * SECOND);
    let head = |index: usize| {
        timed.world.nodes[index]
            .replica
            .as_ref()
            .unwrap()
            .status(timed.now)
            .synced
    };
    assert_eq!(head(voter), head(primary), "it has caught up");
    assert_no_violation(&timed);
}

#[test]
fn primary_partitioned_in_either_direction_steps_down() {
    for both in [false, true] {
        let mut timed = group_of_four(4);
        let primary = serving_node(&timed);
        for other in other_voters(&timed) {
            timed.block_link(other, primary);
            if both {
                timed.block_link(primary, other);
            }
        }
        timed.run_for(650_000);
        let replica = timed.world.nodes[primary].replica.as_ref().unwrap();
        assert!(!replica.is_serving() && !replica.in_contact(timed.now));
        let took = timed.commit_within(3 * SECOND).expect("others go on");
        assert!(took < 2 * SECOND, "{took}");
        assert_ne!(serving_node(&timed), primary);
        timed.heal();
        timed.run_for(2 * SECOND);
        assert!(timed.world.nodes[primary]
            .replica
            .as_ref()
            .unwrap()
            .in_contact(timed.now));
        assert_no_violation(&timed);
    }
}

#[test]
fn voter_that_receives_nothing_starts_no_epoch() {
    let mut timed = group_of_four(4);
    let (primary, isolated_receiver) = (serving_node(&timed), other_voters(&timed)[0]);
    let epoch = timed.world.nodes[primary]
        .replica
        .as_ref()
        .unwrap()
        .promised();
    for other in 0..4 {
        timed.block_link(other, isolated_receiver);
    }
    timed.run_for(4 * SECOND);
    timed.heal();
    timed.run_for(4 * SECOND);
    assert_eq!(
        timed.world.nodes[primary]
            .replica
            .as_ref()
            .unwrap()
            .promised(),
        epoch
    );
}

#[test]
fn frozen_primary_resumes_as_follower() {
    let mut timed = group_of_four(4);
    let primary = serving_node(&timed);
    timed.freeze(primary, 3 * SECOND);
    timed.commit_within(3 * SECOND).expect("others go on");
    assert_ne!(serving_node(&timed), primary);
    timed.run_for(3 * SECOND);
    assert_no_violation(&timed);
}

#[test]
fn member_that_missed_hundreds_of_changes_receives_one_snapshot() {
    let mut timed = group_of_four(4);
    let away = other_voters(&timed)[0];
    timed.crash(away);
    for _ in 0..500 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.world.notices = Some(Vec::new());
    timed.restart(away);
    timed.run_for(SECOND);
    let head = |index: usize| {
        timed.world.nodes[index]
            .replica
            .as_ref()
            .unwrap()
            .status(timed.now)
            .synced
    };
    assert_eq!(head(away), head(serving_node(&timed)));
    let images = timed.world.notices.take().unwrap();
    let images = images
        .iter()
        .filter(|(_, notice)| matches!(notice, Notice::SnapshotReceived { .. }))
        .count();
    assert_eq!(images, 1);
    assert_no_violation(&timed);
}

#[test]
fn member_catches_up_while_changes_go_on() {
    let mut timed = group_of_four(4);
    let away = other_voters(&timed)[0];
    timed.crash(away);
    for _ in 0..300 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.restart(away);
    for _ in 0..300 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.run_for(2_500);
    let position = |index: usize| {
        timed.world.nodes[index]
            .replica
            .as_ref()
            .unwrap()
            .status(timed.now)
            .head
    };
    assert!(position(serving_node(&timed)).number - position(away).number <= 1);
    assert_no_violation(&timed);
}

#[test]
fn large_snapshot_is_received_with_one_message_in_five_lost() {
    let mut timed = TimedWorld::new(Settings::default(), 4, 9);
    // 320 KB: eleven chunks.
    timed.world.initial_state = History {
        changes: (1_000_000..1_040_000).collect(),
    };
    timed.call(0, |world| world.bootstrap());
    timed.conditions = NetworkConditions {
        loss: 5,
        ..NetworkConditions::default()
    };
    for index in 1..4 {
        timed.restart(index);
    }
    let elapsed = timed.run_until(10 * SECOND, |timed| timed.is_complete(4));
    println!("complete after {elapsed:?} us");
    assert!(elapsed.is_some());
    timed
        .commit_within(2 * SECOND)
        .expect("a change is committed");
    for node in &timed.world.nodes {
        let bytes: usize = node.disk.iter().map(|item| item.encode().len()).sum();
        assert!(bytes > 320_000, "{} holds {bytes} bytes", node.address);
    }
    assert_no_violation(&timed);
}

#[test]
fn snapshot_is_written_after_a_failed_write() {
    let mut timed = group_of_four(4);
    timed.run_for(SECOND);
    let voter = other_voters(&timed)[0];
    let primary = serving_node(&timed);
    timed.call(primary, |world| world.propose(primary));
    timed
        .run_until(SECOND, |timed| !timed.world.nodes[voter].pending.is_empty())
        .expect("it is to write");
    timed.call(voter, |world| world.fail_sync(voter));
    timed.run_for(SECOND);
    let last = timed.world.nodes[voter].disk.last();
    assert!(matches!(last, Some(DurableItem::Snapshot(_))), "{last:?}");
    let synced = |index: usize| {
        timed.world.nodes[index]
            .replica
            .as_ref()
            .unwrap()
            .status(timed.now)
            .synced
    };
    assert_eq!(synced(voter), synced(primary));
    assert_no_violation(&timed);
}

#[test]
fn durable_items_survive_encoding() {
    let mut timed = group_of_four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    for node in &timed.world.nodes {
        for item in &node.disk {
            assert_eq!(DurableItem::decode(&item.encode()).as_ref(), Ok(item));
        }
    }
}

#[test]
fn acknowledged_change_survives_lost_disk_with_power_loss() {
    for seed in 0..60 {
        let mut timed = TimedWorld::with_group(Settings::default(), 4, 5, seed);
        timed
            .commit_within(SECOND)
            .expect("a change is acknowledged");
        let lost = seed as usize % 4;
        for index in (0..4).filter(|index| *index != lost) {
            timed.crash_keeping(index, 0);
        }
        timed.wipe(lost);
        for index in (0..4).filter(|index| *index != lost) {
            timed.restart(index);
        }
        timed.restart(4);
        assert!(timed.commit_within(5 * SECOND).is_some(), "seed {seed}");
        let acknowledged = &timed.world.oracle.acknowledged;
        assert!(acknowledged
            .iter()
            .all(|change| timed.world.oracle.committed.contains(change)));
        assert!(
            timed
                .run_until(8 * SECOND, |timed| timed.is_complete(4))
                .is_some(),
            "seed {seed}"
        );
        assert_no_violation(&timed);
    }
}

#[test]
fn two_learners_receive_a_large_snapshot_while_changes_go_on() {
    let mut timed = TimedWorld::new(Settings::default(), 5, 9);
    // 480 KB: fifteen chunks, four windows.
    timed.world.initial_state = History {
        changes: (1_000_000..1_060_000).collect(),
    };
    timed.call(0, |world| world.bootstrap());
    (1..3).for_each(|index| timed.restart(index));
    assert!(timed
        .run_until(5 * SECOND, |timed| timed.is_complete(3))
        .is_some());
    (3..5).for_each(|index| timed.restart(index));
    for _ in 0..150 {
        assert!(timed
            .commit_within(SECOND)
            .is_some_and(|took| took < 50_000));
    }
    let primary = serving_node(&timed);
    let membership = timed.world.nodes[primary]
        .replica
        .as_ref()
        .unwrap()
        .membership()
        .clone();
    assert_eq!(
        membership.voters.len(),
        5,
        "both came in while changes went on"
    );
    assert_no_violation(&timed);
}

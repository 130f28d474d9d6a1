//! What must happen, in virtual time: elections, replacements, leavers, stalled disks, catching up.

use std::collections::BTreeSet;

use lichenswitch_replication::model::timed::{Timed, Weather};
use lichenswitch_replication::model::History;
use lichenswitch_replication::{DurableItem, Epoch, Faults, MembershipChange, Notice, Settings};

const SECOND: u64 = 1_000_000;

fn four(nodes: usize) -> Timed {
    Timed::gathered(Settings::default(), 4, nodes, 1)
}

fn serving(timed: &Timed) -> usize {
    timed.world.serving().expect("a primary serves")
}

fn others(timed: &Timed) -> Vec<usize> {
    let primary = serving(timed);
    let named = &timed.world.nodes[primary].replica.as_ref().expect("it runs").membership().voters;
    let named: BTreeSet<_> = named.iter().map(|member| member.identity).collect();
    let nodes = timed.world.nodes.iter().enumerate();
    let runs = nodes.filter(|(at, node)| *at != primary && node.replica.is_some());
    runs.filter(|(_, node)| named.contains(&node.identity)).map(|(at, _)| at).collect()
}

fn clean(timed: &Timed) {
    assert_eq!(timed.world.ledger.violation, None);
}

fn changes(timed: &mut Timed) -> Vec<MembershipChange> {
    let notices = timed.world.notices.replace(Vec::new()).unwrap_or_default();
    let change = |(_, notice)| match notice {
        Notice::MembershipChange { change, .. } => Some(change),
        _ => None,
    };
    notices.into_iter().filter_map(change).collect()
}

#[test]
fn a_founder_serves_alone_within_a_second() {
    let mut timed = Timed::new(Settings::default(), 1, 7);
    timed.call(0, |world| world.found());
    let served = timed.run_until(SECOND, |timed| timed.world.serving().is_some());
    assert!(served.is_some_and(|took| took < 20_000), "{served:?}");
}

#[test]
fn four_come_together_within_a_second() {
    let timed = four(4);
    println!("four voters after {} us", timed.now.0 - SECOND);
    assert!(timed.now.0 - SECOND < SECOND, "{}", timed.now.0);
}

#[test]
fn nine_come_together_and_a_tenth_is_refused() {
    let mut timed = Timed::gathered(Settings::default(), 9, 10, 3);
    timed.restart(9);
    timed.run_for(5 * SECOND);
    assert!(timed.is_whole(9));
    clean(&timed);
}

#[test]
fn a_change_and_a_read_take_a_round() {
    let mut timed = four(4);
    let took = timed.commit_within(SECOND).expect("a change is committed");
    println!("a change took {took} us");
    assert!(took < 5_000, "{took}");
    let primary = serving(&timed);
    timed.call(primary, |world| world.confirm(primary));
    let before = timed.world.ledger.confirmed;
    let took =
        timed.run_until(SECOND, |timed| timed.world.ledger.confirmed > before).expect("it is confirmed");
    println!("a confirmation took {took} us");
    // A round takes at most 1,000 us here; the one that tells of the commit is still in flight and doesn't count.
    assert!(took <= 2_000, "{took}");
    clean(&timed);
}

#[test]
fn a_dead_primary_is_followed_by_another() {
    for seed in 0..20 {
        let mut timed = Timed::gathered(Settings::default(), 4, 4, seed);
        let primary = serving(&timed);
        timed.crash(primary);
        let took = timed.commit_within(5 * SECOND).expect("another primary commits");
        assert!(took < 2 * SECOND, "seed {seed}: {took}");
        clean(&timed);
    }
}

#[test]
fn two_losses_right_after_one_another_and_two_more() {
    let mut timed = four(8);
    for newcomer in 4..8 {
        let lost = others(&timed)[0];
        timed.wipe(lost);
        timed.run_for(SECOND / 2);
        timed.restart(newcomer);
        assert!(timed.commit_within(3 * SECOND).is_some(), "before {newcomer} has its place");
        let replaced = timed.run_until(3 * SECOND, |timed| timed.is_whole(4)).expect("it takes the place");
        println!("replaced after {replaced} us");
        let changes = changes(&mut timed);
        assert!(matches!(changes.last(), Some(MembershipChange::ReplaceSilent { .. })), "{changes:?}");
    }
    assert!(timed.commit_within(SECOND).is_some());
    clean(&timed);
}

#[test]
fn a_newcomer_in_the_moment_of_a_loss_stands_beside_the_dead_one_until_that_is_removed() {
    let mut timed = four(6);
    for newcomer in [4, 5] {
        let lost = others(&timed)[0];
        timed.wipe(lost);
        timed.restart(newcomer);
        timed.run_for(SECOND / 10);
        assert!(timed.commit_within(SECOND / 10).is_some());
    }
    let whole = timed.run_until(10 * SECOND, |timed| timed.is_whole(4));
    assert!(whole.is_some(), "the dead ones are gone: {:?}", changes(&mut timed));
    assert!(timed.commit_within(SECOND).is_some());
    clean(&timed);
}

#[test]
fn a_wiped_disk_at_the_same_address_is_replaced_in_one_step() {
    let mut timed = four(4);
    changes(&mut timed);
    for _ in 0..3 {
        let lost = others(&timed)[0];
        timed.wipe(lost);
        timed.restart(lost);
        let replaced = timed.run_until(SECOND, |timed| timed.is_whole(4)).expect("it takes its place again");
        println!("replaced after {replaced} us");
        let changes = changes(&mut timed);
        assert!(matches!(&changes[..], [MembershipChange::ReplaceWiped { .. }]), "{changes:?}");
    }
    clean(&timed);
}

/// The fault that is planted here makes the second replacement fatal: nobody commits any more.
fn second_replacement(faults: Faults) -> Option<u64> {
    let mut timed = Timed::gathered(Settings { faults, ..Settings::default() }, 4, 6, 1);
    for newcomer in [4, 5] {
        let lost = others(&timed).into_iter().min()?;
        timed.wipe(lost);
        timed.restart(newcomer);
        timed.run_for(3 * SECOND);
    }
    // Both losses are borne and repaired: the next one is like the first.
    let lost = others(&timed).into_iter().find(|index| timed.world.nodes[*index].replica.is_some())?;
    timed.wipe(lost);
    timed.run_for(SECOND);
    timed.commit_within(5 * SECOND)
}

#[test]
fn a_dead_voter_that_is_never_voted_out_is_found() {
    assert!(second_replacement(Faults::default()).is_some());
    assert_eq!(second_replacement(Faults { never_vote_out: true, ..Faults::default() }), None);
}

#[test]
fn a_silent_voter_is_removed_and_comes_back_under_its_identity() {
    let mut timed = four(4);
    changes(&mut timed);
    let lost = others(&timed)[0];
    timed.crash(lost);
    assert!(timed.run_until(8 * SECOND, |timed| timed.is_whole(3)).is_some_and(|took| took > 4 * SECOND));
    let identity = timed.world.nodes[lost].identity;
    timed.restart(lost);
    assert!(timed.run_until(5 * SECOND, |timed| timed.is_whole(4)).is_some());
    assert_eq!(timed.world.nodes[lost].identity, identity);
    let changes = changes(&mut timed);
    assert!(matches!(&changes[..], [MembershipChange::RemoveSilent { .. }, MembershipChange::Add { .. }]));
    clean(&timed);
}

#[test]
fn three_never_become_two() {
    let mut timed = Timed::gathered(Settings::default(), 3, 3, 5);
    let lost = others(&timed)[0];
    timed.crash(lost);
    timed.run_for(20 * SECOND);
    let primary = serving(&timed);
    assert_eq!(timed.world.nodes[primary].replica.as_ref().unwrap().membership().voters.len(), 3);
    let refused = |(_, notice): &(usize, Notice)| matches!(notice, Notice::RemovalRefused { .. });
    let told = timed.world.notices.as_ref().unwrap().iter().filter(|notice| refused(notice)).count();
    assert_eq!(told, 1, "a refusal is told once");
    assert!(timed.commit_within(SECOND).is_some());
}

#[test]
fn a_primary_that_leaves_hands_over_and_is_removed() {
    for seed in 0..20 {
        let mut timed = Timed::gathered(Settings::default(), 4, 4, seed);
        let primary = serving(&timed);
        timed.call(primary, |world| world.leave(primary));
        let left = timed.run_until(3 * SECOND, |timed| {
            timed.world.nodes[primary].replica.as_ref().is_some_and(|replica| replica.has_left())
        });
        assert!(left.is_some_and(|took| took < SECOND / 2), "seed {seed}: {left:?}");
        timed.crash(primary);
        let took = timed.commit_within(SECOND).expect("the next primary commits");
        assert!(took < 50_000, "seed {seed}: {took}");
        assert!(timed.is_whole(3), "seed {seed}");
        clean(&timed);
    }
}

#[test]
fn a_leaver_that_would_leave_two_stays_on_paper() {
    let mut timed = Timed::gathered(Settings::default(), 3, 3, 5);
    let leaver = others(&timed)[0];
    timed.call(leaver, |world| world.leave(leaver));
    let left = timed.run_until(SECOND, |timed| {
        timed.world.nodes[leaver].replica.as_ref().is_some_and(|replica| replica.has_left())
    });
    assert!(left.is_some());
    assert!(timed.is_whole(3));
}

#[test]
fn all_restart_one_after_the_other() {
    let mut timed = four(4);
    for index in 0..4 {
        timed.call(index, |world| world.leave(index));
        timed.run_for(SECOND);
        timed.crash(index);
        timed.run_for(SECOND / 2);
        timed.restart(index);
        let back = timed.run_until(10 * SECOND, |timed| timed.is_whole(4));
        assert!(back.is_some(), "{index} is back");
        assert!(timed.commit_within(2 * SECOND).is_some());
    }
    clean(&timed);
}

#[test]
fn power_fails_at_all_at_once() {
    let mut timed = four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    let committed = timed.world.ledger.committed.len();
    for index in 0..4 {
        timed.crash(index);
    }
    for index in 0..4 {
        timed.restart(index);
    }
    timed.commit_within(4 * SECOND).expect("a change is committed again");
    assert!(timed.world.ledger.committed.len() > committed);
    clean(&timed);
}

#[test]
fn a_stalled_disk_at_the_primary_hands_over() {
    let mut timed = four(4);
    let primary = serving(&timed);
    timed.stall_disk(primary, 30 * SECOND);
    timed.commit_within(SECOND).expect("the others' disks are enough");
    timed.run_for(3 * SECOND);
    assert_ne!(serving(&timed), primary);
    timed.commit_within(SECOND).expect("the next primary commits");
    let heard = |(_, notice): &(usize, Notice)| matches!(notice, Notice::HandsOver { .. });
    assert!(timed.world.notices.as_ref().unwrap().iter().any(heard));
    clean(&timed);
}

#[test]
fn a_stalled_disk_at_a_voter_stops_nothing() {
    let mut timed = four(4);
    let (primary, voter) = (serving(&timed), others(&timed)[0]);
    timed.stall_disk(voter, 10 * SECOND);
    for _ in 0..200 {
        assert!(timed.commit_within(SECOND).is_some_and(|took| took < 50_000));
    }
    assert_eq!(serving(&timed), primary);
    timed.run_for(12 * SECOND);
    let head = |index: usize| timed.world.nodes[index].replica.as_ref().unwrap().status(timed.now).synced;
    assert_eq!(head(voter), head(primary), "it has caught up");
    clean(&timed);
}

#[test]
fn one_that_is_cut_off_in_one_direction_or_both_steps_down() {
    for both in [false, true] {
        let mut timed = four(4);
        let primary = serving(&timed);
        for other in others(&timed) {
            timed.cut(other, primary);
            if both {
                timed.cut(primary, other);
            }
        }
        timed.run_for(650_000);
        let replica = timed.world.nodes[primary].replica.as_ref().unwrap();
        assert!(!replica.is_serving() && !replica.in_contact(timed.now));
        let took = timed.commit_within(3 * SECOND).expect("others go on");
        assert!(took < 2 * SECOND, "{took}");
        assert_ne!(serving(&timed), primary);
        timed.heal();
        timed.run_for(2 * SECOND);
        assert!(timed.world.nodes[primary].replica.as_ref().unwrap().in_contact(timed.now));
        clean(&timed);
    }
}

#[test]
fn one_that_hears_nobody_disturbs_nobody() {
    let mut timed = four(4);
    let (primary, deaf) = (serving(&timed), others(&timed)[0]);
    let epoch = timed.world.nodes[primary].replica.as_ref().unwrap().promised();
    for other in 0..4 {
        timed.cut(other, deaf);
    }
    timed.run_for(4 * SECOND);
    timed.heal();
    timed.run_for(4 * SECOND);
    assert_eq!(timed.world.nodes[primary].replica.as_ref().unwrap().promised(), epoch);
}

#[test]
fn a_frozen_primary_wakes_as_none() {
    let mut timed = four(4);
    let primary = serving(&timed);
    timed.freeze(primary, 3 * SECOND);
    timed.commit_within(3 * SECOND).expect("others go on");
    assert_ne!(serving(&timed), primary);
    timed.run_for(3 * SECOND);
    clean(&timed);
}

#[test]
fn hundreds_of_changes_missed_cost_one_image() {
    let mut timed = four(4);
    let away = others(&timed)[0];
    timed.crash(away);
    for _ in 0..500 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.world.notices = Some(Vec::new());
    timed.restart(away);
    timed.run_for(SECOND);
    let head = |index: usize| timed.world.nodes[index].replica.as_ref().unwrap().status(timed.now).synced;
    assert_eq!(head(away), head(serving(&timed)));
    let images = timed.world.notices.take().unwrap();
    let images = images.iter().filter(|(_, notice)| matches!(notice, Notice::ImageReceived { .. })).count();
    assert_eq!(images, 1);
    clean(&timed);
}

#[test]
fn catches_up_while_changes_go_on() {
    let mut timed = four(4);
    let away = others(&timed)[0];
    timed.crash(away);
    for _ in 0..300 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.restart(away);
    for _ in 0..300 {
        timed.commit_within(SECOND).expect("a change is committed");
    }
    timed.run_for(2_500);
    let position = |index: usize| timed.world.nodes[index].replica.as_ref().unwrap().status(timed.now).head;
    assert!(position(serving(&timed)).number - position(away).number <= 1);
    clean(&timed);
}

#[test]
fn a_leaver_whose_removal_was_the_last_act_of_a_primary_still_learns_of_it() {
    for seed in 0..20 {
        let mut timed = Timed::gathered(Settings::default(), 5, 5, seed);
        let (primary, leaver) = (serving(&timed), others(&timed)[0]);
        timed.cut(primary, leaver);
        timed.call(leaver, |world| world.leave(leaver));
        timed.run_for(SECOND / 10);
        timed.crash(primary);
        let left = timed.run_until(5 * SECOND, |timed| {
            timed.world.nodes[leaver].replica.as_ref().is_some_and(|replica| replica.has_left())
        });
        assert!(left.is_some(), "seed {seed}");
        clean(&timed);
    }
}

#[test]
fn eight_bear_the_loss_of_two_at_once_and_of_two_more() {
    let settings = Settings { fault_tolerance: 2, ..Settings::default() };
    let mut timed = Timed::gathered(settings, 8, 12, 2);
    for newcomers in [[8, 9], [10, 11]] {
        let lost = others(&timed);
        let primary = serving(&timed);
        for index in [primary, lost[0]] {
            timed.wipe(index);
        }
        timed.run_for(SECOND / 2);
        for index in newcomers {
            timed.restart(index);
        }
        assert!(timed.commit_within(3 * SECOND).is_some());
        assert!(timed.run_until(5 * SECOND, |timed| timed.is_whole(8)).is_some());
    }
    clean(&timed);
}

#[test]
fn a_voter_that_comes_back_at_another_address_keeps_its_identity() {
    let mut timed = four(4);
    changes(&mut timed);
    let moved = others(&timed)[0];
    timed.crash(moved);
    timed.world.nodes[moved].address = "elsewhere".to_owned();
    timed.restart(moved);
    let named = timed.run_until(5 * SECOND, |timed| {
        let primary = timed.world.serving().and_then(|index| timed.world.nodes[index].replica.as_ref());
        primary.is_some_and(|replica| replica.membership().all().any(|member| member.address == "elsewhere"))
    });
    assert!(named.is_some());
    assert!(timed.run_until(SECOND, |timed| timed.is_whole(4)).is_some());
    let changes = changes(&mut timed);
    assert!(matches!(&changes[..], [MembershipChange::Move { .. }]), "{changes:?}");
    clean(&timed);
}

#[test]
fn a_large_image_comes_through_a_network_that_loses_a_fifth() {
    let mut timed = Timed::new(Settings::default(), 4, 9);
    // 320 KB: eleven chunks.
    timed.world.founding = History { changes: (1_000_000..1_040_000).collect() };
    timed.call(0, |world| world.found());
    timed.weather = Weather { loss: 5, ..Weather::default() };
    for index in 1..4 {
        timed.restart(index);
    }
    let whole = timed.run_until(10 * SECOND, |timed| timed.is_whole(4));
    println!("whole after {whole:?} us");
    assert!(whole.is_some());
    timed.commit_within(2 * SECOND).expect("a change is committed");
    for node in &timed.world.nodes {
        let bytes: usize = node.disk.iter().map(|item| item.encode().len()).sum();
        assert!(bytes > 320_000, "{} holds {bytes} bytes", node.address);
    }
    clean(&timed);
}

#[test]
fn a_disk_that_fails_writes_the_whole_image_next() {
    let mut timed = four(4);
    timed.run_for(SECOND);
    let voter = others(&timed)[0];
    let primary = serving(&timed);
    timed.call(primary, |world| world.propose(primary));
    timed.run_until(SECOND, |timed| !timed.world.nodes[voter].pending.is_empty()).expect("it is to write");
    timed.call(voter, |world| world.fail_sync(voter));
    timed.run_for(SECOND);
    let last = timed.world.nodes[voter].disk.last();
    assert!(matches!(last, Some(DurableItem::Image(_))), "{last:?}");
    let synced = |index: usize| timed.world.nodes[index].replica.as_ref().unwrap().status(timed.now).synced;
    assert_eq!(synced(voter), synced(primary));
    clean(&timed);
}

#[test]
fn what_was_written_survives_its_encoding() {
    let mut timed = four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    for node in &timed.world.nodes {
        for item in &node.disk {
            assert_eq!(DurableItem::decode(&item.encode()).as_ref(), Ok(item));
        }
    }
}

#[test]
fn one_that_promised_a_far_epoch_and_was_removed_comes_back() {
    for counter in [2, 100] {
        let mut timed = four(4);
        let away = others(&timed)[2];
        timed.crash(away);
        // It had drawn an epoch and lost its process before it asked for it.
        let primary = timed.world.nodes[away].identity;
        timed.world.nodes[away].disk.push(DurableItem::Promise(Epoch { counter, primary }));
        assert!(timed.run_until(8 * SECOND, |timed| timed.is_whole(3)).is_some());
        timed.restart(away);
        let back = timed.run_until(10 * SECOND, |timed| timed.is_whole(4));
        println!("back after {back:?} us");
        assert!(back.is_some(), "epoch {counter}");
        assert!(timed.commit_within(SECOND).is_some());
        clean(&timed);
    }
}

#[test]
fn what_is_acknowledged_survives_a_lost_disk_and_a_loss_of_power_in_that_moment() {
    for seed in 0..60 {
        let mut timed = Timed::gathered(Settings::default(), 4, 5, seed);
        timed.commit_within(SECOND).expect("a change is acknowledged");
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
        let acknowledged = &timed.world.ledger.acknowledged;
        assert!(acknowledged.iter().all(|change| timed.world.ledger.committed.contains(change)));
        assert!(timed.run_until(8 * SECOND, |timed| timed.is_whole(4)).is_some(), "seed {seed}");
        clean(&timed);
    }
}

#[test]
fn two_newcomers_take_a_large_image_while_changes_go_on() {
    let mut timed = Timed::new(Settings::default(), 5, 9);
    // 480 KB: fifteen chunks, four windows.
    timed.world.founding = History { changes: (1_000_000..1_060_000).collect() };
    timed.call(0, |world| world.found());
    (1..3).for_each(|index| timed.restart(index));
    assert!(timed.run_until(5 * SECOND, |timed| timed.is_whole(3)).is_some());
    (3..5).for_each(|index| timed.restart(index));
    for _ in 0..150 {
        assert!(timed.commit_within(SECOND).is_some_and(|took| took < 50_000));
    }
    let primary = serving(&timed);
    let membership = timed.world.nodes[primary].replica.as_ref().unwrap().membership().clone();
    assert_eq!(membership.voters.len(), 5, "both came in while changes went on");
    clean(&timed);
}

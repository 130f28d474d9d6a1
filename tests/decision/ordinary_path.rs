//! The design's ordinary path: choice by pending calls, shared calls, one copy at half the aim,
//! cancel.

use crate::support::*;
use lichenswitch::interface::*;

#[test]
fn part_goes_to_the_replica_with_the_fewest_pending_calls() {
    let mut stage = Stage::new(settings(class()));
    let mut used = Vec::new();
    for _ in 0..3 {
        let (_, events) = stage.query(&[0]);
        used.push(sends(&stage.after(MS, events))[0].1);
    }
    used.sort();
    assert_eq!(
        used,
        [ServerId(1), ServerId(2), ServerId(3)],
        "each idle server before any second call"
    );
}

#[test]
fn neighbouring_parts_share_a_call_and_count_once() {
    let mut stage = Stage::new(settings(class()));
    let (_, events) = stage.query(&[0, 1, 2]);
    let first = sends(&stage.turn(events));
    assert_eq!(first.len(), 3);
    assert!(
        first.iter().all(|s| s.1 == first[0].1),
        "all parts travel in one call"
    );
    let (_, events) = stage.query(&[0]);
    assert_ne!(
        sends(&stage.after(MS, events))[0].1,
        first[0].1,
        "the call counts against its server"
    );
}

#[test]
fn without_shared_calls_parts_spread() {
    let mut configuration = settings(class());
    configuration.layout.parts_a_call = 1;
    let mut stage = Stage::new(configuration);
    let (_, events) = stage.query(&[0, 1, 2]);
    let mut servers: Vec<ServerId> = sends(&stage.turn(events)).iter().map(|s| s.1).collect();
    servers.sort();
    assert_eq!(servers, [ServerId(1), ServerId(2), ServerId(3)]);
}

#[test]
fn ties_are_broken_by_the_local_zone() {
    for zone in 0..3 {
        let mut configuration = settings(class());
        configuration.zone = zone;
        let mut stage = Stage::new(configuration);
        let (_, events) = stage.query(&[0]);
        assert_eq!(sends(&stage.turn(events))[0].1, ServerId(zone + 1));
    }
}

#[test]
fn late_part_is_hedged_once_and_the_loser_cancelled() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[0]);
    let first = sends(&stage.turn(events))[0];
    assert!(
        sends(&stage.after(LATENCY_TARGET / 2 - MS, vec![Event::Wake])).is_empty(),
        "not before half the aim"
    );
    let copy = sends(&stage.after(MS, vec![Event::Wake]));
    assert_eq!(copy.len(), 1);
    assert_ne!(copy[0].1, first.1, "on another replica");
    assert!(
        sends(&stage.after(LATENCY_TARGET / 4, vec![Event::Wake])).is_empty(),
        "only once"
    );
    let end = stage.after(
        MS,
        vec![finished(
            id + 1,
            1,
            copy[0].1,
            Outcome::Ok,
            LATENCY_TARGET / 4,
        )],
    );
    assert!(end.contains(&Action::Cancel {
        part: PartId(id + 1),
        attempt: 0
    }));
    assert!(end.contains(&Action::Answer {
        query: QueryId(id),
        whole: true
    }));
}

#[test]
fn hedges_stay_near_a_tenth_of_parts() {
    let mut stage = Stage::new(settings(class()));
    let (mut sent, mut copies) = (0, 0);
    for round in 0..200 {
        let (_, events) = stage.query(&[0]);
        let id = sends(&stage.turn(events)).first().copied();
        let Some((part, server)) = id else { continue };
        sent += 1;
        let late = stage.after(LATENCY_TARGET / 2, vec![Event::Wake]);
        copies += sends(&late).len();
        let mut ends = vec![finished(part, 0, server, Outcome::Ok, LATENCY_TARGET / 2)];
        ends.extend(
            sends(&late)
                .iter()
                .map(|&(p, s)| finished(p, 1, s, Outcome::Ok, MS)),
        );
        stage.after(MS * (1 + round % 3), ends);
    }
    assert!(sent > 100 && copies >= 5, "{sent} parts, {copies} copies");
    assert!(copies <= sent / 10 + 7, "{sent} parts, {copies} copies");
}

#[test]
fn unanswered_attempt_counts_until_its_server_responds() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[0]);
    let silent = sends(&stage.turn(events))[0].1;
    stage.after(MS, vec![Event::Hangup(QueryId(id))]);
    stage.after(
        MS,
        vec![finished(id + 1, 0, silent, Outcome::Cancelled, 2 * MS)],
    );
    for _ in 0..2 {
        let (_, events) = stage.query(&[0]);
        assert_ne!(
            sends(&stage.after(MS, events))[0].1,
            silent,
            "it looks no idler than its peers"
        );
    }
}

//! Queries under which servers break.

use crate::support::*;
use lichenswitch::interface::*;
use std::collections::BTreeSet;

#[test]
fn poison_query_crashes_few_servers_and_its_key_is_not_admitted_again() {
    let mut stage = fleet(30, settings(class()));
    for i in 0..20 {
        assert!(play(&mut stage, &[i, i + 1, i + 2], 7, healthy).1);
    }
    let crashes = |_| Some((Outcome::Reset, 5 * MS));
    let (servers_reached, answered) = play(&mut stage, &[3], 66, crashes);
    assert!(!answered);
    assert!(
        servers_reached.len() <= 3,
        "one part, at most three servers: {servers_reached:?}"
    );
    let (servers_reached, _) = play(&mut stage, &[3], 66, crashes);
    assert!(
        servers_reached.is_empty(),
        "the same key is refused at arrival: {servers_reached:?}"
    );
    assert!(
        play(&mut stage, &[3, 4, 5], 7, healthy).1,
        "honest queries of the class are served"
    );
}

#[test]
fn after_poison_a_query_of_its_class_sends_one_part_ahead() {
    let mut stage = fleet(30, settings(class()));
    play(&mut stage, &[1, 2, 3], 7, healthy);
    play(&mut stage, &[10, 14, 18, 22], 66, |_| {
        Some((Outcome::Reset, 5 * MS))
    });
    let (id, events) = stage.query(&[4, 5, 6, 7]);
    let first = sends(&stage.turn(events));
    assert_eq!(first.len(), 1, "one part goes ahead: {first:?}");
    let (part, server) = first[0];
    let other_parts = sends(&stage.after(
        50 * MS,
        vec![finished(part, 0, server, Outcome::Ok, 50 * MS)],
    ));
    assert_eq!(other_parts.len(), 3, "the others of {id} follow its answer");
}

#[test]
fn victims_of_a_poison_query_are_trusted_again() {
    let mut configuration = settings(class());
    configuration.zone = 9;
    let mut stage = fleet(6, configuration);
    for i in 0..12 {
        play(&mut stage, &[i % 6], 7, healthy);
    }
    let (crashed_servers, _) = play(&mut stage, &[0], 66, |_| Some((Outcome::Reset, 5 * MS)));
    stage.after(12_000 * MS, vec![Event::Wake]);
    let mut servers_reached = BTreeSet::new();
    for i in 0..60 {
        servers_reached.extend(play(&mut stage, &[i % 6], 7, healthy).0);
    }
    assert!(
        crashed_servers.iter().all(|s| servers_reached.contains(s)),
        "{crashed_servers:?} of {servers_reached:?}"
    );
}

#[test]
fn server_crashes_are_not_taken_for_a_poison_query() {
    let mut stage = fleet(30, settings(class()));
    for i in 0..10 {
        play(&mut stage, &[i, i + 3], 7, healthy);
    }
    let partly_crashed = |s: ServerId| {
        Some(if s.0.is_multiple_of(5) {
            (Outcome::Reset, 60 * MS)
        } else {
            (Outcome::Ok, 50 * MS)
        })
    };
    for i in 0..10 {
        assert!(
            play(&mut stage, &[i, i + 4, i + 8, i + 12], 7, partly_crashed).1,
            "victims are served elsewhere"
        );
    }
}

//! The ends of queries: one final answer, in time, and complete only if all is there.

use crate::support::*;
use lichenswitch::interface::*;

#[test]
fn unanswered_query_ends_once_before_its_deadline() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[0, 1]);
    stage.turn(events);
    let mut before = wake_repeatedly(&mut stage, 4 * LATENCY_TARGET - MS);
    before.extend(stage.after(8 * MS, vec![Event::Wake]));
    assert_eq!(finals(&before), [(id, false)]);
    let after = wake_repeatedly(&mut stage, LATENCY_TARGET);
    assert!(finals(&after).is_empty() && sends(&after).is_empty());
}

#[test]
fn late_outcomes_and_disconnects_in_the_same_turn_change_nothing() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[0]);
    let server = sends(&stage.turn(events))[0].1;
    let ok = finished(id + 1, 0, server, Outcome::Ok, 9 * MS);
    let both = stage.after(9 * MS, vec![Event::Hangup(QueryId(id)), ok.clone()]);
    assert!(finals(&both).is_empty(), "the client has left");
    assert!(finals(&stage.after(MS, vec![ok, Event::Hangup(QueryId(id))])).is_empty());
    assert!(stage
        .after(MS, vec![finished(999, 3, ServerId(55), Outcome::Error, 1)])
        .iter()
        .all(|a| matches!(a, Action::Wake(_))));
}

#[test]
fn query_with_a_finally_failed_part_ends_at_once_and_cancels_the_others() {
    let mut configuration = settings(class());
    configuration.limits.attempts = 1;
    let mut stage = Stage::new(configuration);
    let (id, events) = stage.query(&[0, 1]);
    let sent = sends(&stage.turn(events));
    let actions = stage.after(
        MS,
        vec![finished(sent[0].0, 0, sent[0].1, Outcome::Error, MS)],
    );
    assert_eq!(finals(&actions), [(id, false)]);
    assert!(actions.contains(&Action::Cancel {
        part: PartId(sent[1].0),
        attempt: 0
    }));
}

#[test]
fn partial_answer_needs_the_floor_and_no_gain_from_waiting() {
    for (answered, expected) in [(4u64, Some(false)), (3, None)] {
        let mut configuration = settings(Class {
            floor: 0.8,
            ..class()
        });
        configuration.limits.second_copies = false;
        let mut stage = Stage::new(configuration);
        let (id, events) = stage.query(&[0, 1, 2, 3, 4]);
        let sent = sends(&stage.turn(events));
        let early = |parts| sent.iter().filter(move |s| s.0 <= id + parts);
        let outcomes = early(answered)
            .map(|s| finished(s.0, 0, s.1, Outcome::Ok, MS))
            .collect();
        assert_eq!(
            answer_of(&stage.after(MS, outcomes)),
            None,
            "a whole answer may still come"
        );
        assert_eq!(
            answer_of(&stage.after(LATENCY_TARGET, vec![Event::Wake])),
            expected
        );
    }
}

#[test]
fn two_step_query_is_complete_only_if_both_steps_are() {
    let mut stage = Stage::new(settings(Class {
        second_step: 2,
        ..class()
    }));
    let (id, events) = stage.query(&[0, 1]);
    let sent = sends(&stage.turn(events));
    let outcomes = sent
        .iter()
        .map(|s| finished(s.0, 0, s.1, Outcome::Ok, MS))
        .collect();
    let first = stage.after(MS, outcomes);
    assert_eq!(finals(&first).len(), 1);
    let second_step_parts = (0..2u32).map(|i| Event::Part {
        part: PartId(900 + u64::from(i)),
        number: id as u32,
        shard: Shard(i),
        weight: 0.5,
    });
    let second = sends(&stage.after(MS, second_step_parts.collect()));
    assert_eq!(second.len(), 2);
    assert_eq!(
        answer_of(&stage.after(MS, vec![finished(900, 0, second[0].1, Outcome::Ok, MS)])),
        None
    );
    assert_eq!(
        answer_of(&stage.after(MS, vec![finished(901, 0, second[1].1, Outcome::Ok, MS)])),
        Some(true)
    );
}

#[test]
fn query_worthless_after_its_target_ends_there() {
    for (late_share, expected_end) in [
        (0.0, LATENCY_TARGET),
        (0.1, LATENCY_TARGET + 3 * LATENCY_TARGET / 10),
    ] {
        let mut stage = Stage::new(settings(Class {
            late_share,
            ..class()
        }));
        let (id, events) = stage.query(&[0]);
        let start = stage.now;
        let actions = stage.turn(events);
        let timeout = |a: &Action| {
            if let Action::Send { timeout, .. } = a {
                Some(*timeout)
            } else {
                None
            }
        };
        assert!(
            actions
                .iter()
                .filter_map(timeout)
                .all(|t| t <= expected_end),
            "the server drops it when it is worthless"
        );
        let mut all = Vec::new();
        while all.is_empty() {
            all = finals(&stage.after(10 * MS, vec![Event::Wake]));
        }
        assert_eq!(all, [(id, false)]);
        let elapsed = stage.now.since(start);
        assert!(
            elapsed <= expected_end && elapsed + 20 * MS > expected_end,
            "ended after {elapsed} us"
        );
    }
}

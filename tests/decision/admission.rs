//! Which queries are rejected at their arrival: by forecast, quota and congestion, and retries of clients.

use crate::support::*;
use lichenswitch::interface::*;

#[test]
fn queue_too_long_for_the_target_rejects_queries_with_retry_advice() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 300 * MS));
    let mut refused = 0;
    for _ in 0..60 {
        let (_, events) = stage.query(&[0]);
        let actions = stage.after(MS, events);
        let advice =
            |a: &&Action| matches!(a, Action::Refuse { retry_after, .. } if *retry_after > 0);
        refused += actions.iter().filter(advice).count();
    }
    assert!(refused > 20, "{refused} of 60");
}

#[test]
fn expensive_first_query_does_not_block_cheaper_ones() {
    let mut configuration = settings(Class {
        value: 50.0,
        ..class()
    });
    configuration.classes.push(class());
    let mut stage = Stage::new(configuration);
    let cheap_query = |stage: &mut Stage| {
        let (id, mut events) = stage.query(&[0]);
        of_class(&mut events, 1);
        (id, events)
    };
    stage.serve(450 * MS);
    for _ in 0..40 {
        let (id, events) = cheap_query(&mut stage);
        let sent = sends(&stage.turn(events));
        assert_eq!(sent.len(), 1, "servers are idle");
        stage.after(
            450 * MS,
            vec![finished(id + 1, 0, sent[0].1, Outcome::Ok, 450 * MS)],
        );
    }
}

#[test]
fn load_beyond_a_tenants_quota_is_shed_first() {
    let mut configuration = settings(class());
    // This one of three instances has 40 and 4 a second of them; both tenants ask for 20.
    (configuration.quotas, configuration.over_quota) = (vec![120.0, 12.0], 0.2);
    let mut stage = Stage::new(configuration);
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 300 * MS));
    let mut admitted = [0, 0];
    let mut in_flight: Vec<(Time, u64, ServerId)> = Vec::new();
    for turn in 0..400 {
        let tenant = turn % 2;
        let (id, mut events) = stage.query(&[0]);
        of_tenant(&mut events, tenant);
        let done: Vec<_> = in_flight
            .extract_if(.., |o| stage.now.since(o.0) >= 700 * MS)
            .collect();
        events.extend(
            done.iter()
                .map(|o| finished(o.1, 0, o.2, Outcome::Ok, 700 * MS)),
        );
        for (part, server) in sends(&stage.after(25 * MS, events)) {
            if part == id + 1 {
                admitted[tenant as usize] += 1;
                in_flight.push((stage.now, part, server));
            }
        }
    }
    assert!(
        admitted[0] > 190 && admitted[1] < 175,
        "{admitted:?} of 200 each"
    );
}

#[test]
fn client_retry_keeps_its_first_value_and_uses_no_quota() {
    let mut configuration = settings(class());
    // This one of three instances has one a second of them.
    (
        configuration.quotas,
        configuration.over_quota,
        configuration.marks_retry,
    ) = (vec![3.0], 0.2, true);
    let mut stage = Stage::new(configuration);
    (0..12).for_each(|_| stage.serve(700 * MS));
    let send_query = |stage: &mut Stage, is_retry: bool| {
        let (id, mut events) = stage.query(&[0]);
        of_tenant(&mut events, 0);
        if let Event::Query {
            is_retry: again, ..
        } = &mut events[0]
        {
            *again = is_retry;
        }
        (id, sends(&stage.after(MS, events)))
    };
    let (id, sent) = send_query(&mut stage, false);
    assert_eq!(sent.len(), 1, "within the quota");
    assert!(send_query(&mut stage, false).1.is_empty(), "beyond it");
    stage.after(
        700 * MS,
        vec![finished(id + 1, 0, sent[0].1, Outcome::Ok, 700 * MS)],
    );
    stage.after(350 * MS, vec![Event::Wake]);
    assert!(
        send_query(&mut stage, true).1.is_empty(),
        "beyond it as its first try was, though there is a place by now"
    );
    assert_eq!(
        send_query(&mut stage, false).1.len(),
        1,
        "which is left to the next one"
    );
}

#[test]
fn congestion_is_forgotten_while_nothing_is_sent() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 60, |_| (Outcome::Ok, 2_900 * MS));
    let refused = |stage: &mut Stage| {
        let (_, events) = stage.query(&[0]);
        sends(&stage.turn(events)).is_empty()
    };
    assert!(
        refused(&mut stage),
        "answers have been taking three times the aim"
    );
    stage.after(12_000 * MS, vec![Event::Wake]);
    assert!(
        !refused(&mut stage),
        "refusals alone must not keep the jam alive"
    );
}

#[test]
fn late_responses_make_admission_stricter() {
    let is_rejected_after = |late: usize| {
        let mut stage = Stage::new(settings(class()));
        (0..10).for_each(|_| stage.serve(550 * MS));
        for _ in 0..late {
            let (id, events) = stage.query(&[0]);
            let first = sends(&stage.turn(events));
            let Some(&(part, server)) = first.first() else {
                break;
            };
            let error = finished(part, 0, server, Outcome::Error, 550 * MS);
            let second = sends(&stage.after(550 * MS, vec![error]))[0].1;
            stage.after(
                550 * MS,
                vec![finished(id + 1, 1, second, Outcome::Ok, 550 * MS)],
            );
        }
        let (_, events) = stage.query(&[0]);
        sends(&stage.turn(events)).is_empty()
    };
    assert!(!is_rejected_after(0), "550 ms of an aim of a second");
    assert!(
        is_rejected_after(12),
        "queries forecast alike came late one after another"
    );
}

#[test]
fn servers_whose_attempts_all_time_out_do_not_look_idle_to_admission() {
    let mut configuration = settings(Class {
        late_share: 0.0,
        ..class()
    });
    configuration.limits.second_copies = false;
    let mut stage = Stage::new(configuration);
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 20 * MS));
    let mut rejections = 0;
    for _ in 0..8 {
        let mut open = Vec::new();
        for _ in 0..3 {
            let (_, events) = stage.query(&[0]);
            let actions = stage.after(MS, events);
            rejections += finals(&actions).len();
            open.extend(sends(&actions));
        }
        stage.after(LATENCY_TARGET, vec![Event::Wake]);
        let end = |&(part, server): &(u64, ServerId)| {
            finished(part, 0, server, Outcome::Timeout, LATENCY_TARGET)
        };
        stage.after(MS, open.iter().map(end).collect());
    }
    assert!(
        rejections >= 4,
        "the wait was an aim at least: {rejections} of 24 turned away"
    );
}

#[test]
fn hung_server_does_not_look_idle_to_admission() {
    let mut stage = fleet(3, settings(class()));
    for _ in 0..30 {
        play(&mut stage, &[0], 7, healthy);
    }
    let partly_hung = |s: ServerId| {
        if s.0 == 100 {
            None
        } else {
            Some((Outcome::Ok, 900 * MS))
        }
    };
    let mut rejections = 0;
    for _ in 0..40 {
        let (servers_reached, answered) = play(&mut stage, &[0], 7, partly_hung);
        rejections += usize::from(servers_reached.is_empty() && !answered);
    }
    assert!(
        rejections > 3,
        "{rejections} of 40: the holders left take nearly the whole aim"
    );
}

#[test]
fn marked_client_retry_without_a_key_keeps_its_first_target() {
    let mut configuration = settings(Class {
        late_share: 0.0,
        ..class()
    });
    configuration.marks_retry = true;
    let mut stage = Stage::new(configuration);
    let (id, events) = stage.query(&[0]);
    stage.turn(events);
    let mut ended = Vec::new();
    while ended.is_empty() {
        ended = finals(&stage.after(10 * MS, vec![Event::Wake]));
    }
    assert_eq!(ended, [(id, false)]);
    for (is_retry, sent) in [(false, 1), (true, 0)] {
        let (_, mut events) = stage.query(&[0]);
        if let Event::Query {
            is_retry: again, ..
        } = &mut events[0]
        {
            *again = is_retry;
        }
        assert_eq!(
            sends(&stage.after(20 * MS, events)).len(),
            sent,
            "marked: {is_retry}"
        );
    }
}

/// Answer times of 320 ms: a fresh query is let in, a further try that is past its aim is not.
fn is_retry_rejected(are_retries_marked: bool, is_retry: bool) -> bool {
    let mut configuration = settings(Class {
        late_share: 0.01,
        ..class()
    });
    configuration.marks_retry = are_retries_marked;
    let mut stage = Stage::new(configuration);
    for _ in 0..60 {
        stage.serve(320 * MS);
    }
    stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![]))]);
    let (id, mut events) = stage.query(&[0]);
    with_key(&mut events, 5, false);
    assert_eq!(
        finals(&stage.turn(events)),
        [(id, false)],
        "nobody holds the shard"
    );
    stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![
        line(1, 0),
        line(2, 1),
        line(3, 2),
    ]))]);
    stage.now = stage.now.plus(LATENCY_TARGET);
    stage.serve(320 * MS);
    let (_, mut events) = stage.query(&[0]);
    with_key(&mut events, 5, is_retry);
    sends(&stage.turn(events)).is_empty()
}

#[test]
fn client_retry_is_recognised_by_its_mark() {
    assert!(is_retry_rejected(true, true), "marked: past its aim");
    assert!(
        !is_retry_rejected(true, false),
        "not marked: fresh, though the key is the same"
    );
    assert!(
        is_retry_rejected(false, false),
        "no marks: told by class and key"
    );
}

#[test]
fn query_without_a_server_for_a_shard_is_rejected_at_once() {
    let mut configuration = settings(class());
    configuration.layout.width = 1;
    let mut stage = Stage::new(configuration);
    stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![line(
        1, 0,
    )]))]);
    let (id, events) = stage.query(&[0, 1]);
    let actions = stage.turn(events);
    assert!(
        matches!(actions[..], [Action::Refuse { query, retry_after }, ..] if query.0 == id && retry_after > 0)
    );
    assert!(sends(&actions).is_empty());
}

#[test]
fn query_without_replicas_is_answered_at_once() {
    let mut stage = fleet(9, settings(class()));
    let removed = (0..3)
        .map(|i| ListedServer {
            mode: ServerMode::Gone,
            ..line(100 + i, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Changes(removed))]);
    let (id, events) = stage.query(&[0]);
    assert_eq!(finals(&stage.turn(events)), [(id, false)]);
}

#[test]
fn query_without_parts_is_rejected() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[]);
    assert_eq!(finals(&stage.turn(events)), [(id, false)]);
}

//! Failures met, each as a small case of the module alone.

mod common;
use common::*;
use lichenswitch::interface::*;

fn send_counts(
    stage: &mut Stage,
    n: usize,
    outcome_of: impl Fn(ServerId) -> (Outcome, Micros),
) -> [usize; 4] {
    let mut sent_by_server = [0; 4];
    for _ in 0..n {
        let (_, events) = stage.query(&[0]);
        let mut open: Vec<(u64, u16, ServerId)> = sends(&stage.turn(events))
            .into_iter()
            .map(|(p, s)| (p, 0, s))
            .collect();
        while let Some((part, attempt, server)) = open.pop() {
            sent_by_server[server.0 as usize] += 1;
            let (outcome, elapsed) = outcome_of(server);
            let actions = stage.after(
                elapsed,
                vec![finished(part, attempt, server, outcome, elapsed)],
            );
            open.extend(
                sends(&actions)
                    .into_iter()
                    .map(|(p, s)| (p, attempt + 1, s)),
            );
        }
        stage.after(MS, vec![Event::Wake]);
    }
    sent_by_server
}

#[test]
fn server_that_fails_fast_does_not_attract_traffic() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 20 * MS));
    let failing_first = |s: ServerId| {
        if s.0 == 1 {
            (Outcome::Error, MS)
        } else {
            (Outcome::Ok, 20 * MS)
        }
    };
    let sent_by_server = send_counts(&mut stage, 100, failing_first);
    assert!(sent_by_server[1] < 12, "{sent_by_server:?}");
}

#[test]
fn slow_server_is_avoided_and_used_again_after_recovery() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 20 * MS));
    let slow = |s: ServerId| (Outcome::Ok, if s.0 == 1 { 200 * MS } else { 20 * MS });
    let sent_by_server = send_counts(&mut stage, 100, slow);
    assert!(sent_by_server[1] < 15, "{sent_by_server:?}");
    for _ in 0..8 {
        stage.after(
            1_000 * MS,
            vec![Event::Probed {
                server: ServerId(1),
                outcome: Outcome::Ok,
                elapsed: MS,
            }],
        );
        send_counts(&mut stage, 4, |_| (Outcome::Ok, 20 * MS));
    }
    let sent_by_server = send_counts(&mut stage, 60, |_| (Outcome::Ok, 20 * MS));
    assert!(sent_by_server[1] > 10, "{sent_by_server:?}");
}

#[test]
fn single_lost_part_causes_no_rejections() {
    let mut stage = Stage::new(settings(class()));
    stage.after(
        MS,
        vec![Event::List(ServerListUpdate::Complete(vec![line(1, 0)]))],
    );
    (0..20).for_each(|_| stage.serve(20 * MS));
    let (_, events) = stage.query(&[0]);
    assert_eq!(sends(&stage.turn(events)).len(), 1);
    // It is never answered, those after it are: its server is as well as before.
    (0..150).for_each(|_| stage.serve(20 * MS));
}

#[test]
fn returned_server_is_treated_as_a_new_one() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 30, |_| (Outcome::Ok, 20 * MS));
    send_counts(&mut stage, 20, |s| {
        if s.0 == 1 {
            (Outcome::Error, MS)
        } else {
            (Outcome::Ok, 20 * MS)
        }
    });
    stage.after(
        MS,
        vec![Event::List(ServerListUpdate::Complete(vec![
            line(2, 1),
            line(3, 2),
        ]))],
    );
    stage.after(
        MS,
        vec![Event::List(ServerListUpdate::Changes(vec![line(1, 0)]))],
    );
    let sent_by_server = send_counts(&mut stage, 30, |_| (Outcome::Ok, 20 * MS));
    assert!(
        sent_by_server[1] >= 8,
        "what was held against it is forgotten: {sent_by_server:?}"
    );
}

#[test]
fn least_unhealthy_server_serves_when_all_are_unhealthy() {
    let mut stage = Stage::new(settings(class()));
    send_counts(&mut stage, 40, |_| (Outcome::Error, MS));
    let (_, events) = stage.query(&[0]);
    assert_eq!(
        sends(&stage.turn(events)).len(),
        1,
        "a shard's last replicas are never shut out"
    );
}

#[test]
fn full_server_is_avoided_for_a_while() {
    let mut stage = Stage::new(settings(class()));
    let (_, events) = stage.query(&[0]);
    let (part, server) = sends(&stage.turn(events))[0];
    stage.after(MS, vec![finished(part, 0, server, Outcome::Rejected, MS)]);
    for _ in 0..6 {
        let (_, events) = stage.query(&[0]);
        assert!(sends(&stage.after(MS, events))
            .iter()
            .all(|s| s.1 != server));
    }
}

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
fn list_is_subscribed_and_requested_again_with_growing_backoff() {
    let mut configuration = settings(class());
    configuration.discovery = Discovery::Ask(10_000 * MS);
    let mut stage = Stage::new(configuration.clone());
    stage.coordinator = lichenswitch::policy::Coordinator::new(3, configuration);
    let subscriptions =
        |actions: &[Action]| actions.iter().filter(|a| **a == Action::Subscribe).count();
    assert_eq!(
        subscriptions(
            &stage.turn(vec![Event::List(ServerListUpdate::Cached(vec![line(
                1, 0
            )]))])
        ),
        1
    );
    let mut times = Vec::new();
    stage.turn(vec![Event::List(ServerListUpdate::Failed)]);
    for _ in 0..2_000 {
        let actions = stage.after(5 * MS, vec![Event::Wake]);
        if subscriptions(&actions) > 0 {
            times.push(stage.now);
            stage.turn(vec![Event::List(ServerListUpdate::Failed)]);
        }
    }
    assert!((3..12).contains(&times.len()), "{times:?}");
    assert!(
        times.windows(2).all(|w| w[1].since(w[0]) < 9_000 * MS),
        "{times:?}"
    );
    stage.turn(vec![Event::List(ServerListUpdate::Changes(vec![]))]);
    let later: usize = (0..2_000)
        .map(|_| subscriptions(&stage.after(5 * MS, vec![Event::Wake])))
        .sum();
    assert_eq!(later, 0, "a list that came ends the asking");
}

#[test]
fn clock_that_jumps_ahead_or_stands_still_is_tolerated() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[0]);
    stage.turn(events);
    let actions = stage.after(1 << 50, vec![Event::Wake]);
    assert_eq!(finals(&actions), [(id, false)]);
    assert!(sends(&actions).is_empty());
    stage.now = Time(5);
    let (_, events) = stage.query(&[0]);
    stage.turn(events);
}

#[test]
fn empty_or_contradictory_list_is_tolerated() {
    let mut stage = Stage::new(settings(class()));
    stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![]))]);
    let (id, events) = stage.query(&[0]);
    assert_eq!(finals(&stage.turn(events)), [(id, false)]);
    let twice = vec![
        line(1, 0),
        ListedServer {
            mode: ServerMode::Gone,
            ..line(1, 4)
        },
        line(1, 2),
    ];
    stage.turn(vec![Event::List(ServerListUpdate::Complete(twice))]);
    let (_, events) = stage.query(&[0]);
    assert_eq!(
        sends(&stage.turn(events)).len(),
        1,
        "the last line of a server holds"
    );
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
fn frequently_used_server_is_avoided_after_two_late_responses() {
    let mut stage = Stage::new(settings(class()));
    (0..30).for_each(|_| stage.serve(20 * MS));
    let mut late: Option<ServerId> = None;
    let mut suspicions = Vec::new();
    while suspicions.len() < 2 {
        let (id, events) = stage.query(&[0]);
        let server = sends(&stage.turn(events))[0].1;
        if late.is_some_and(|first| first != server) {
            stage.after(
                20 * MS,
                vec![finished(id + 1, 0, server, Outcome::Ok, 20 * MS)],
            );
            continue;
        }
        late = Some(server);
        let mut actions = stage.after(LATENCY_TARGET / 2, vec![Event::Wake]);
        let copy = sends(&actions)[0].1;
        actions.extend(stage.after(
            20 * MS,
            vec![finished(id + 1, 1, copy, Outcome::Ok, 20 * MS)],
        ));
        actions.extend(stage.turn(vec![finished(
            id + 1,
            0,
            server,
            Outcome::Cancelled,
            LATENCY_TARGET / 2,
        )]));
        let is_suspicion_log =
            |a: &Action| matches!(a, Action::Log(line) if line.ends_with("suspected"));
        suspicions.push(actions.iter().any(is_suspicion_log));
        // What is still counted against it as pending ends meanwhile.
        stage.after(3 * LATENCY_TARGET, vec![Event::Wake]);
    }
    assert_eq!(suspicions, [false, true]);
}

/// Makes the query that these events begin one of a tenant.
fn of_tenant(events: &mut [Event], index: u32) {
    if let Event::Query { tenant, .. } = &mut events[0] {
        *tenant = index;
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
        if let Event::Query { again, .. } = &mut events[0] {
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
fn server_that_fails_one_class_is_avoided_for_that_class_alone() {
    let mut configuration = settings(class());
    configuration.classes.push(class());
    let mut stage = Stage::new(configuration);
    let mut sent = [[0usize; 4]; 2];
    for i in 0..200u16 {
        let (id, mut events) = stage.query(&[0]);
        of_class(&mut events, i % 2);
        let mut open: Vec<(u16, ServerId)> = sends(&stage.turn(events))
            .into_iter()
            .map(|s| (0, s.1))
            .collect();
        while let Some((attempt, server)) = open.pop() {
            sent[usize::from(i % 2)][server.0 as usize] += 1;
            let outcome = if server.0 == 1 && i % 2 == 1 {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            let actions = stage.after(
                20 * MS,
                vec![finished(id + 1, attempt, server, outcome, 20 * MS)],
            );
            open.extend(sends(&actions).into_iter().map(|s| (attempt + 1, s.1)));
        }
    }
    assert!(sent[1][1] < 15 && sent[0][1] > 50, "{sent:?}");
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
fn hedge_that_would_arrive_too_late_is_not_sent() {
    let hedges_after = |elapsed: Micros| {
        let mut stage = Stage::new(settings(class()));
        (0..30).for_each(|_| stage.serve(elapsed));
        let (_, events) = stage.query(&[0]);
        assert_eq!(sends(&stage.turn(events)).len(), 1);
        sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake])).len()
    };
    assert_eq!(
        hedges_after(200 * MS),
        1,
        "half the aim is left and a fifth is needed"
    );
    assert_eq!(
        hedges_after(800 * MS),
        0,
        "half the aim is left and four fifths are needed"
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

/// Answers each part that was sent, or breaks it where its connection had been dropped: the server
/// was not used for a second and its connections were not closed before the send. Counts those
/// broken and closed.
fn serve_with_dropped_connections(stage: &mut Stage, n: usize) -> (usize, usize) {
    let (mut last_used, mut resets, mut closes) = ([Time(0); 4], 0, 0);
    for _ in 0..n {
        let (id, events) = stage.query(&[0]);
        let mut actions = stage.after(1_200 * MS, events);
        for attempt in 0..3 {
            let Some((_, server)) = sends(&actions).first().copied() else {
                break;
            };
            let new = actions.contains(&Action::CloseIdle(server));
            closes += usize::from(new);
            let last = std::mem::replace(&mut last_used[server.0 as usize], stage.now);
            let is_lost = !new && stage.now.since(last) > 1_000 * MS;
            resets += usize::from(is_lost);
            let end = if is_lost { Outcome::Reset } else { Outcome::Ok };
            actions = stage.after(
                20 * MS,
                vec![finished(id + 1, attempt, server, end, 20 * MS)],
            );
            if !is_lost {
                break;
            }
        }
    }
    (resets, closes)
}

#[test]
fn idle_connection_drops_are_no_poison_and_no_server_fault() {
    let mut stage = Stage::new(settings(class()));
    let (resets, closes) = serve_with_dropped_connections(&mut stage, 100);
    assert!(resets <= 12, "learnt after a few: {resets} broken");
    assert!(closes >= 40, "closed before the send: {closes}");
    let (_, events) = stage.query(&[0, 1, 2]);
    assert_eq!(
        sends(&stage.after(MS, events)).len(),
        3,
        "no query of the class was taken for poison"
    );
}

#[test]
fn connections_are_kept_while_nothing_is_lost_on_them() {
    let mut stage = Stage::new(settings(class()));
    for _ in 0..20 {
        let (id, events) = stage.query(&[0]);
        let actions = stage.after(2_000 * MS, events);
        assert!(!actions.iter().any(|a| matches!(a, Action::CloseIdle(_))));
        let server = sends(&actions)[0].1;
        stage.after(
            20 * MS,
            vec![finished(id + 1, 0, server, Outcome::Ok, 20 * MS)],
        );
    }
}

#[test]
fn unsafe_part_never_uses_a_connection_that_may_be_dropped() {
    let mut stage = Stage::new(settings(Class {
        repeat: RetrySafety::Unsafe,
        ..class()
    }));
    let (_, events) = stage.query(&[0]);
    let actions = stage.after(2_000 * MS, events);
    let server = sends(&actions)[0].1;
    let close = actions.iter().position(|a| *a == Action::CloseIdle(server));
    let send = actions
        .iter()
        .position(|a| matches!(a, Action::Send { .. }));
    assert!(close.is_some() && close < send, "{actions:?}");
}

#[test]
fn path_to_a_zone_is_learnt_from_all_its_servers() {
    let mut configuration = settings(class());
    configuration.layout = Layout {
        cells: 30,
        width: 30,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let mut stage = Stage::new(configuration);
    let lines = (0..30)
        .map(|i| ListedServer {
            zone: i % 3,
            ..line(i + 1, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Complete(lines))]);
    let zone = |server: ServerId| (server.0 - 1) % 3;
    let mut far_zone_parts = [0; 60];
    for parts_to_far_zone in &mut far_zone_parts {
        let (id, events) = stage.query(&[0, 1, 2, 3, 4, 5]);
        let sent = sends(&stage.turn(events));
        *parts_to_far_zone = sent.iter().filter(|s| zone(s.1) == 2).count();
        for (i, &(part, server)) in (1..).zip(&sent) {
            assert_eq!(part, id + i);
            // Its own zone holds two parts in a hundred milliseconds; the way to zone 2 takes long.
            let elapsed = if zone(server) == 2 { 700 * MS } else { 50 * MS };
            stage.turn(vec![finished(part, 0, server, Outcome::Ok, elapsed)]);
        }
        stage.after(100 * MS, vec![]);
    }
    let late: usize = far_zone_parts[30..].iter().sum();
    assert!(
        late <= 12,
        "each of ten servers need not be learnt alone: {far_zone_parts:?}"
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
        if let Event::Query { again, .. } = &mut events[0] {
            *again = is_retry;
        }
        assert_eq!(
            sends(&stage.after(20 * MS, events)).len(),
            sent,
            "marked: {is_retry}"
        );
    }
}

//! What larger fleets and many instances brought: each failure met as a small case of the module
//! alone.

mod common;
use common::*;
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;
use std::collections::BTreeSet;

/// A fleet of one server for each cell, shards held by three in a row, parts that share no calls.
fn fleet(servers: u32, mut configuration: Settings) -> Stage {
    configuration.layout = Layout {
        cells: servers,
        width: 3,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let mut stage = Stage::new(configuration);
    let lines = (0..servers)
        .map(|i| ListedServer {
            zone: i % 2,
            ..line(100 + i, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Complete(lines))]);
    stage
}

fn is_replica(server: ServerId, shard: u32, cells: u32) -> bool {
    (server.0 - 100 + cells - shard % cells) % cells < 3
}

fn with_key(events: &mut [Event], query_key: u64, is_retry: bool) {
    if let Event::Query { key, again, .. } = &mut events[0] {
        (*key, *again) = (query_key, is_retry);
    }
}

/// Plays a query to its end. `fate` says how an attempt of a server ends; `None`: never. Returns
/// the servers that its attempts went to and whether it was answered.
fn play(
    stage: &mut Stage,
    shards: &[u32],
    key: u64,
    outcome_of: impl Fn(ServerId) -> Option<(Outcome, Micros)>,
) -> (Vec<ServerId>, bool) {
    let (id, mut events) = stage.query(shards);
    with_key(&mut events, key, false);
    let mut actions = stage.turn(events);
    let (mut servers_reached, mut open) = (Vec::new(), Vec::<(u64, u16, ServerId, Time)>::new());
    let mut attempts = std::collections::BTreeMap::<u64, u16>::new();
    for _ in 0..4_000 {
        for (part, server) in sends(&actions) {
            let attempt = attempts.entry(part).or_default();
            open.push((part, *attempt, server, stage.now));
            *attempt += 1;
            servers_reached.push(server);
        }
        let mut events = vec![Event::Wake];
        for action in &actions {
            if let Action::Cancel { part, attempt } = action {
                open.retain(|o| (o.0, o.1) != (part.0, *attempt));
                events.push(finished(
                    part.0,
                    *attempt,
                    ServerId(100),
                    Outcome::Cancelled,
                    MS,
                ));
            }
        }
        if let Some((_, answered)) = finals(&actions).first() {
            // What is still out ends as its server has it, so that nothing stays behind.
            for (part, attempt, server, _) in open {
                let (outcome, elapsed) = outcome_of(server).unwrap_or((Outcome::Cancelled, MS));
                stage.turn(vec![finished(part, attempt, server, outcome, elapsed)]);
            }
            return (servers_reached, *answered);
        }
        stage.now = stage.now.plus(5 * MS);
        open.retain(|&(part, attempt, server, sent)| {
            let due = outcome_of(server).filter(|&(_, elapsed)| stage.now >= sent.plus(elapsed));
            events.extend(
                due.map(|(outcome, elapsed)| finished(part, attempt, server, outcome, elapsed)),
            );
            due.is_none()
        });
        actions = stage.turn(events);
    }
    panic!("query {id} never ended");
}

fn healthy(_: ServerId) -> Option<(Outcome, Micros)> {
    Some((Outcome::Ok, 50 * MS))
}

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

#[test]
fn timeouts_of_more_than_a_tenth_recover_in_time() {
    let mut stage = fleet(12, settings(class()));
    for i in 0..24 {
        play(&mut stage, &[i % 12, (i + 4) % 12], 7, healthy);
    }
    let partly_unresponsive = |s: ServerId| {
        if s.0.is_multiple_of(3) {
            None
        } else {
            Some((Outcome::Ok, 50 * MS))
        }
    };
    let mut late = 0;
    for i in 0..30 {
        let began = stage.now;
        let (_, answered) = play(
            &mut stage,
            &[i % 12, (i + 3) % 12, (i + 6) % 12, (i + 9) % 12],
            7,
            partly_unresponsive,
        );
        late += usize::from(!answered || stage.now.since(began) > LATENCY_TARGET);
    }
    assert!(
        late <= 3,
        "{late} of 30 late with a third of the servers silent"
    );
}

#[test]
fn unanswered_class_ejects_a_server_for_that_class() {
    let mut configuration = settings(class());
    configuration.classes.push(class());
    let mut stage = Stage::new(configuration);
    let mut sent = [[0usize; 4]; 2];
    for i in 0..2_000u16 {
        let (id, mut events) = stage.query(&[0]);
        of_class(&mut events, i % 2);
        let server = sends(&stage.turn(events))[0].1;
        sent[usize::from(i % 2)][server.0 as usize] += 1;
        if server.0 == 1 && i % 2 == 1 {
            let hedges = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake]));
            assert_eq!(hedges.len(), 1, "a silent part is copied");
            let copy = hedges[0].1;
            stage.after(
                20 * MS,
                vec![finished(id + 1, 1, copy, Outcome::Ok, 20 * MS)],
            );
            stage.turn(vec![finished(
                id + 1,
                0,
                server,
                Outcome::Cancelled,
                LATENCY_TARGET / 2,
            )]);
        } else {
            stage.after(
                20 * MS,
                vec![finished(id + 1, 0, server, Outcome::Ok, 20 * MS)],
            );
        }
    }
    assert!(sent[1][1] * 5 < sent[0][1], "{sent:?}");
}

#[test]
fn passed_probe_does_not_clear_an_unresponsive_server() {
    let mut stage = fleet(6, settings(class()));
    for i in 0..12 {
        play(&mut stage, &[i % 6], 7, healthy);
    }
    let first_unresponsive = |s: ServerId| {
        if s.0 == 100 {
            None
        } else {
            Some((Outcome::Ok, 50 * MS))
        }
    };
    let mut servers_reached = 0;
    for _ in 0..40 {
        stage.turn(vec![Event::Probed {
            server: ServerId(100),
            outcome: Outcome::Ok,
            elapsed: MS,
        }]);
        servers_reached += play(&mut stage, &[4], 7, first_unresponsive)
            .0
            .iter()
            .filter(|s| s.0 == 100)
            .count();
    }
    assert!(
        servers_reached < 10,
        "{servers_reached} attempts at the silent server"
    );
}

#[test]
fn short_client_timeout_gets_a_plan_for_the_remaining_time() {
    let mut stage = Stage::new(settings(class()));
    for _ in 0..20 {
        stage.serve(50 * MS);
    }
    let (_, mut events) = stage.query(&[0]);
    if let Event::Query { deadline, .. } = &mut events[0] {
        *deadline = stage.now.plus(400 * MS);
    }
    assert_eq!(
        sends(&stage.turn(events)).len(),
        1,
        "a short patience is no further try"
    );
    assert_eq!(sends(&stage.after(150 * MS, vec![Event::Wake])).len(), 0);
    assert_eq!(
        sends(&stage.after(55 * MS, vec![Event::Wake])).len(),
        1,
        "copied at half of the 400 ms"
    );
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

/// Parts that a cold server gets of all instances, each of so many processes, just restarted and
/// busy, against what the rule lets it take.
fn warming_server_load(instances: u32, processes: u32, cold: SlowStart) -> f64 {
    let mut configuration = settings(class());
    (configuration.instances, configuration.cold) = (instances, cold);
    configuration.layout = Layout {
        cells: 1,
        width: 1,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let (response_time, initial_share) = (100 * MS, configuration.cold.share);
    let mut total = 0;
    for seed in 0..u64::from(instances * processes) {
        let mut broker = Coordinator::new(seed, configuration.clone());
        let mut now = Time(1_000_000 * MS);
        let cold = ListedServer {
            started: Some(now),
            ..line(2, 0)
        };
        let mut actions = Vec::new();
        let known = Event::List(ServerListUpdate::Cached(vec![line(1, 0)]));
        broker.turn(
            now,
            vec![Event::Processes(Some(processes)), known],
            &mut actions,
        );
        let query_events = |id: u64, now: Time| {
            let deadline = now.plus(4 * LATENCY_TARGET);
            let query = Event::Query {
                query: QueryId(id),
                number: id as u32,
                class: 0,
                deadline,
                key: 0,
                again: false,
                tenant: u32::MAX,
            };
            vec![
                query,
                Event::Part {
                    part: PartId(id + 1),
                    number: id as u32,
                    shard: Shard(0),
                    weight: 1.0,
                },
            ]
        };
        broker.turn(now, query_events(10, now), &mut actions);
        now = now.plus(response_time);
        broker.turn(
            now,
            vec![finished(11, 0, ServerId(1), Outcome::Ok, response_time)],
            &mut actions,
        );
        let removed = ListedServer {
            mode: ServerMode::Gone,
            ..line(1, 0)
        };
        broker.turn(
            now,
            vec![Event::List(ServerListUpdate::Changes(vec![cold, removed]))],
            &mut actions,
        );
        actions.clear();
        for id in 0..configuration.cold.fall_after / (100 * MS) {
            broker.turn(now, query_events(100 + 2 * id, now), &mut actions);
            now = now.plus(100 * MS);
        }
        total += sends(&actions)
            .iter()
            .filter(|s| s.1 == ServerId(2))
            .count();
    }
    // What a server that does two parts at a time can take by the rule within its window.
    let average_growth = (1.0 - initial_share) * configuration.cold.fall_after as f64
        / configuration.cold.warm_after as f64
        / 2.0;
    let allowed_parts = 2.0
        * configuration.cold.fall_multiple
        * (initial_share + average_growth)
        * configuration.cold.fall_after as f64
        / response_time as f64;
    total as f64 / allowed_parts
}

#[test]
fn restarted_instances_do_not_overload_a_warming_server_together() {
    let cases = [
        (80, 0.25, 2.5, 2_000),
        (33, 0.16, 2.0, 1_500),
        (67, 0.2, 2.5, 3_000),
        (41, 0.19, 3.0, 3_000),
    ];
    for (instances, share, fall_multiple, fall_ms) in cases {
        let cold = SlowStart {
            share,
            warm_after: 18_000 * MS,
            fall_multiple,
            fall_after: fall_ms * MS,
        };
        let part = warming_server_load(instances, 1, cold);
        assert!(
            part > 0.0 && part < 1.0,
            "{instances} instances: {part} of the rule"
        );
    }
}

#[test]
fn processes_of_an_instance_share_one_slow_start_allowance() {
    let cold = |share| SlowStart {
        share,
        warm_after: 18_000 * MS,
        fall_multiple: 3.0,
        fall_after: 3_000 * MS,
    };
    for (instances, share) in [(3, 0.32), (8, 0.3), (33, 0.16)] {
        let [one, two] =
            [1, 2].map(|processes| warming_server_load(instances, processes, cold(share)));
        assert!(
            two > 0.0 && two < 1.0 && two < one * 1.4,
            "{instances} instances: {one} and {two} of the rule"
        );
    }
}

#[test]
fn busy_zone_sends_its_traffic_to_the_other() {
    let mut configuration = settings(class());
    configuration.layout.parts_a_call = 1;
    let mut stage = Stage::new(configuration);
    let mut servers_reached = BTreeSet::new();
    for _ in 0..3 {
        let (_, events) = stage.query(&[0]);
        servers_reached.extend(sends(&stage.turn(events)).into_iter().map(|s| s.1));
    }
    assert_eq!(
        servers_reached.len(),
        3,
        "fewest pending comes before the own zone"
    );
}

#[test]
fn fleet_of_three_hundred_sends_only_to_shard_replicas() {
    let mut stage = fleet(300, settings(class()));
    for i in 0..300 {
        let shards: Vec<u32> = (i..i + 20).collect();
        let (id, events) = stage.query(&shards);
        let sent = sends(&stage.turn(events));
        assert_eq!(sent.len(), 20);
        for &(part, server) in &sent {
            let shard = shards[(part - id - 1) as usize];
            assert!(is_replica(server, shard, 300), "{server:?} for {shard}");
        }
        let ends = sent
            .iter()
            .map(|&(p, s)| finished(p, 0, s, Outcome::Ok, 30 * MS))
            .collect();
        stage.after(30 * MS, ends);
    }
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
fn useless_hedges_decrease_and_return_as_losses_are_proved() {
    let mut configuration = settings(class());
    configuration.layout.parts_a_call = 1;
    configuration.limits.budget = Some(Budget {
        window: 10 * LATENCY_TARGET,
        least: 1_000.0,
        share: 1.0,
    });
    let mut stage = Stage::new(configuration);
    // Every fourth part is late; its copy is answered at once where the first attempt was lost,
    // else never.
    let mut serve_round = |is_first_attempt_lost: bool| {
        let mut hedges = 0;
        for n in 0..300 {
            let (id, events) = stage.query(&[0]);
            let first = sends(&stage.turn(events))[0].1;
            if n % 4 > 0 {
                stage.after(
                    50 * MS,
                    vec![finished(id + 1, 0, first, Outcome::Ok, 50 * MS)],
                );
                continue;
            }
            let copy = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake]));
            hedges += copy.len();
            let hedge_server = copy.first().map(|&(_, server)| server);
            let ends = match hedge_server {
                Some(hedge_server) if is_first_attempt_lost => {
                    stage.after(
                        50 * MS,
                        vec![finished(id + 1, 1, hedge_server, Outcome::Ok, 50 * MS)],
                    );
                    vec![finished(
                        id + 1,
                        0,
                        first,
                        Outcome::Cancelled,
                        LATENCY_TARGET * 6 / 10,
                    )]
                }
                _ => {
                    stage.after(
                        LATENCY_TARGET / 10,
                        vec![finished(
                            id + 1,
                            0,
                            first,
                            Outcome::Ok,
                            LATENCY_TARGET * 6 / 10,
                        )],
                    );
                    let cancelled =
                        |s| finished(id + 1, 1, s, Outcome::Cancelled, LATENCY_TARGET / 10);
                    hedge_server.map(cancelled).into_iter().collect()
                }
            };
            stage.after(MS, ends);
        }
        hedges
    };
    serve_round(false);
    let useless_hedges = serve_round(false);
    assert!(
        (1..=15).contains(&useless_hedges),
        "a slow fleet is not helped by copies: {useless_hedges} of 75 late parts"
    );
    let useful_hedges = serve_round(true);
    assert!(
        useful_hedges > 60,
        "silence is healed beyond the tenth: {useful_hedges} of 75 late parts"
    );
}

/// A ring of cells of one server each, three of which hold a shard; no call is shared.
fn ring(cells: u32) -> Stage {
    let mut configuration = settings(class());
    configuration.layout = Layout {
        cells,
        width: 3,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let mut stage = Stage::new(configuration);
    let lines = (0..cells)
        .map(|i| ListedServer {
            zone: 9,
            ..line(i + 1, i)
        })
        .collect();
    stage.turn(vec![Event::List(ServerListUpdate::Complete(lines))]);
    stage
}

#[test]
fn faults_of_a_rarely_used_server_last_until_its_next_part() {
    let mut stage = ring(60);
    // A sixth of the servers fails all; an instance meets each every ten seconds or so.
    let (mut failed_attempts, mut rounds) = (0, 0);
    while rounds < 2_400 {
        let (id, events) = stage.query(&[rounds * 7 % 60]);
        let mut actions = stage.after(150 * MS, events);
        for attempt in 0..3 {
            let Some(&(_, server)) = sends(&actions).first() else {
                break;
            };
            let is_failing = server.0 % 6 == 0;
            failed_attempts += u32::from(is_failing);
            let end = if is_failing {
                Outcome::Error
            } else {
                Outcome::Ok
            };
            actions = stage.after(
                10 * MS,
                vec![finished(id + 1, attempt, server, end, 10 * MS)],
            );
        }
        rounds += 1;
    }
    assert!(
        failed_attempts < 230,
        "{failed_attempts} of 2400 parts met a server that fails all"
    );
}

#[test]
fn hedge_goes_to_a_querys_last_part_before_the_first_of_many() {
    let mut stage = ring(24);
    stage.serve(20 * MS);
    // Three places are saved at the start: a silent query of twelve parts takes one, and leaves the
    // rest.
    let (_, wide) = stage.query(&(0..12).collect::<Vec<_>>());
    stage.turn(wide);
    let wide = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake])).len();
    let (_, narrow) = stage.query(&[18]);
    stage.turn(narrow);
    let narrow = sends(&stage.after(LATENCY_TARGET / 2, vec![Event::Wake]));
    assert!(
        wide <= 2,
        "{wide} copies for a query that lacks all its parts"
    );
    assert!(
        narrow.iter().any(|&(part, _)| part > 14),
        "the last part of the narrow one is copied: {narrow:?}"
    );
}

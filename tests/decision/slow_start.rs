//! Servers that have just started.

use crate::support::*;
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;

#[test]
fn warming_server_gets_little_and_is_skipped_rather_than_overloaded() {
    let mut configuration = settings(class());
    (configuration.zone, configuration.instances) = (9, 10);
    let mut stage = Stage::new(configuration);
    for _ in 0..100 {
        stage.serve(10 * MS);
    }
    let warming = ListedServer {
        started_at: Some(stage.now),
        ..line(3, 2)
    };
    stage.turn(vec![Event::List(ServerListUpdate::Changes(vec![warming]))]);
    let mut counts = [0u32; 4];
    for _ in 0..200 {
        let (id, events) = stage.query(&[0]);
        for (_, server) in sends(&stage.turn(events)) {
            counts[server.0 as usize] += 1;
            stage.after(
                10 * MS,
                vec![finished(id + 1, 0, server, Outcome::Ok, 10 * MS)],
            );
        }
    }
    let average_warm = f64::from(counts[1] + counts[2]) / 2.0;
    assert!(f64::from(counts[3]) < 0.8 * average_warm, "{counts:?}");
    assert!(counts[3] > 0, "{counts:?}");
    let only_warming = vec![ListedServer {
        started_at: Some(stage.now),
        ..line(9, 0)
    }];
    stage.turn(vec![Event::List(ServerListUpdate::Complete(only_warming))]);
    let mut sent = 0;
    for _ in 0..50 {
        let (_, events) = stage.query(&[0, 1, 2]);
        sent += sends(&stage.after(MS, events)).len();
    }
    assert!(
        sent < 30,
        "150 parts in 50 ms would push it over; {sent} sent"
    );
}

/// Parts that a cold server gets of all instances, each of so many processes, just restarted and
/// busy, against what the rule lets it take.
fn warming_server_load(instances: u32, processes: u32, cold: SlowStart) -> f64 {
    let mut configuration = settings(class());
    (configuration.instances, configuration.slow_start) = (instances, cold);
    configuration.layout = Layout {
        cells: 1,
        width: 1,
        shards: u32::MAX,
        parts_a_call: 1,
    };
    let (response_time, initial_share) = (100 * MS, configuration.slow_start.share);
    let mut total = 0;
    for seed in 0..u64::from(instances * processes) {
        let mut broker = Coordinator::new(seed, configuration.clone());
        let mut now = Time(1_000_000 * MS);
        let cold = ListedServer {
            started_at: Some(now),
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
                is_retry: false,
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
        for id in 0..configuration.slow_start.fall_after / (100 * MS) {
            broker.turn(now, query_events(100 + 2 * id, now), &mut actions);
            now = now.plus(100 * MS);
        }
        total += sends(&actions)
            .iter()
            .filter(|s| s.1 == ServerId(2))
            .count();
    }
    // What a server that does two parts at a time can take by the rule within its window.
    let average_growth = (1.0 - initial_share) * configuration.slow_start.fall_after as f64
        / configuration.slow_start.warm_after as f64
        / 2.0;
    let allowed_parts = 2.0
        * configuration.slow_start.fall_multiple
        * (initial_share + average_growth)
        * configuration.slow_start.fall_after as f64
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

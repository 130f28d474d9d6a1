//! The list of servers: which servers are sent to, and how changes are requested.

use crate::support::*;
use lichenswitch::interface::*;
use lichenswitch::policy::Coordinator;
use std::collections::BTreeSet;

#[test]
fn nothing_is_sent_to_a_draining_or_removed_server() {
    let mut stage = Stage::new(settings(class()));
    let draining_server = ListedServer {
        mode: ServerMode::Draining,
        ..line(1, 0)
    };
    let removed = ListedServer {
        mode: ServerMode::Gone,
        ..line(2, 1)
    };
    stage.turn(vec![Event::List(ServerListUpdate::Changes(vec![
        draining_server,
        removed,
    ]))]);
    for _ in 0..8 {
        let (_, events) = stage.query(&[0, 1]);
        assert!(sends(&stage.after(MS, events))
            .iter()
            .all(|s| s.1 == ServerId(3)));
    }
    stage.turn(vec![Event::List(ServerListUpdate::Complete(vec![line(
        2, 1,
    )]))]);
    let (_, events) = stage.query(&[0]);
    assert!(
        sends(&stage.after(MS, events))
            .iter()
            .all(|s| s.1 == ServerId(2)),
        "absent means gone"
    );
}

#[test]
fn draining_server_gets_only_what_no_healthy_replica_accepts() {
    let mut stage = Stage::new(settings(class()));
    let leaving_server = ListedServer {
        mode: ServerMode::Leaving,
        ..line(1, 0)
    };
    stage.turn(vec![Event::List(ServerListUpdate::Changes(vec![
        leaving_server,
    ]))]);
    for _ in 0..20 {
        let (_, events) = stage.query(&[0]);
        assert!(
            sends(&stage.turn(events))
                .iter()
                .all(|s| s.1 != ServerId(1)),
            "however much the others have"
        );
    }
    let removed = [2, 3].map(|id| ListedServer {
        mode: ServerMode::Gone,
        ..line(id, id - 1)
    });
    stage.turn(vec![Event::List(ServerListUpdate::Changes(removed.into()))]);
    let (_, events) = stage.query(&[0]);
    let sent = sends(&stage.turn(events));
    assert!(!sent.is_empty() && sent.iter().all(|s| s.1 == ServerId(1)));
    stage.turn(vec![Event::List(ServerListUpdate::Changes(vec![
        ListedServer {
            mode: ServerMode::Draining,
            ..leaving_server
        },
    ]))]);
    let (_, events) = stage.query(&[0]);
    assert!(
        sends(&stage.after(100 * MS, events)).is_empty(),
        "and then nothing"
    );
}

#[test]
fn list_is_subscribed_and_requested_again_with_growing_backoff() {
    let mut configuration = settings(class());
    configuration.discovery = Discovery::Ask(10_000 * MS);
    let mut stage = Stage::new(configuration.clone());
    stage.coordinator = Coordinator::new(3, configuration);
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

fn is_replica(server: ServerId, shard: u32, cells: u32) -> bool {
    (server.0 - 100 + cells - shard % cells) % cells < 3
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

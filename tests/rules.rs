//! The six rules, one by one, and the ends of queries.

mod common;
use common::*;
use lichenswitch::interface::*;

fn wake_repeatedly(stage: &mut Stage, by: Micros) -> Vec<Action> {
    let mut all = Vec::new();
    for _ in 0..by / (10 * MS) {
        all.extend(stage.after(10 * MS, vec![Event::Wake]));
    }
    all
}

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
fn query_without_parts_is_rejected() {
    let mut stage = Stage::new(settings(class()));
    let (id, events) = stage.query(&[]);
    assert_eq!(finals(&stage.turn(events)), [(id, false)]);
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
fn unsafe_part_is_retried_only_if_it_never_ran() {
    let mut stage = Stage::new(settings(Class {
        repeat: RetrySafety::Unsafe,
        ..class()
    }));
    let (id, events) = stage.query(&[0]);
    let first = sends(&stage.turn(events))[0];
    let retry = sends(&stage.after(
        MS,
        vec![finished(first.0, 0, first.1, Outcome::Rejected, MS)],
    ));
    assert_eq!(retry.len(), 1, "a rejected part never ran");
    assert!(
        sends(&stage.after(LATENCY_TARGET, vec![Event::Wake])).is_empty(),
        "never copied"
    );
    let actions = stage.after(
        MS,
        vec![finished(
            first.0,
            1,
            retry[0].1,
            Outcome::Reset,
            LATENCY_TARGET,
        )],
    );
    assert!(
        actions.contains(&Action::Fail(QueryId(id))),
        "it may have run: no refusal"
    );
}

#[test]
fn keyed_part_is_retried_only_within_its_window() {
    for (wait, expected) in [(100 * MS, 1), (400 * MS, 0)] {
        let mut stage = Stage::new(settings(Class {
            repeat: RetrySafety::Keyed(300 * MS),
            ..class()
        }));
        let (_, events) = stage.query(&[0]);
        let first = sends(&stage.turn(events))[0];
        let retry = sends(&stage.after(
            wait,
            vec![finished(first.0, 0, first.1, Outcome::Error, wait)],
        ));
        assert_eq!(retry.len(), expected);
    }
}

#[test]
fn retries_and_hedges_stay_within_the_budget() {
    let mut configuration = settings(class());
    configuration.limits.budget = Some(Budget {
        window: 10 * LATENCY_TARGET,
        least: 2.0,
        share: 0.0,
    });
    let mut stage = Stage::new(configuration);
    let mut retries = 0;
    for _ in 0..6 {
        let (_, events) = stage.query(&[0]);
        for (part, server) in sends(&stage.after(MS, events)) {
            retries +=
                sends(&stage.after(MS, vec![finished(part, 0, server, Outcome::Error, MS)])).len();
        }
    }
    assert_eq!(retries, 2);
}

#[test]
fn warming_server_gets_little_and_is_skipped_rather_than_overloaded() {
    let mut configuration = settings(class());
    (configuration.zone, configuration.instances) = (9, 10);
    let mut stage = Stage::new(configuration);
    for _ in 0..100 {
        stage.serve(10 * MS);
    }
    let warming = ListedServer {
        started: Some(stage.now),
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
        started: Some(stage.now),
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

fn answer_of(actions: &[Action]) -> Option<bool> {
    actions.iter().find_map(|a| {
        if let Action::Answer { whole, .. } = a {
            Some(*whole)
        } else {
            None
        }
    })
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

/// A stage whose budget is `least` and a tenth of what is taken, over ten aims.
fn with_budget(least: f64) -> Stage {
    let mut configuration = settings(class());
    configuration.limits.budget = Some(Budget {
        window: 10 * LATENCY_TARGET,
        least,
        share: 0.1,
    });
    configuration.layout.parts_a_call = 1;
    Stage::new(configuration)
}

/// Sends a query of `n` parts and lets all fail in one turn: how many are sent again in it.
fn retries_in_one_turn(stage: &mut Stage, parts: usize) -> usize {
    let (_, events) = stage.query(&vec![0; parts]);
    let sent = sends(&stage.after(MS, events));
    let outcomes = sent
        .iter()
        .map(|&(part, server)| finished(part, 0, server, Outcome::Error, MS))
        .collect();
    sends(&stage.after(MS, outcomes)).len()
}

#[test]
fn several_retries_of_one_turn_are_counted_each() {
    // 20 parts and their query: 2 + 2.1 allowed.
    assert_eq!(retries_in_one_turn(&mut with_budget(2.0), 20), 4);
}

#[test]
fn attempts_at_the_window_edge_count_and_queries_do_not() {
    let mut stage = with_budget(2.0);
    assert_eq!(retries_in_one_turn(&mut stage, 4), 2);
    // The next outcomes, two milliseconds on, come just as far after those attempts as the window
    // is long.
    stage.after(10 * LATENCY_TARGET - 2 * MS, vec![Event::Wake]);
    let (_, events) = stage.query(&[0, 0]);
    let (part, server) = sends(&stage.after(MS, events))[0];
    let actions = stage.after(MS, vec![finished(part, 0, server, Outcome::Error, MS)]);
    assert_eq!(
        sends(&actions).len(),
        0,
        "both attempts lie at the edge and count"
    );
    // A part that was withheld is looked at again soon, while another part of its query is out.
    // Where nothing is out the query ends at once.
    let later = stage.after(200 * MS, vec![Event::Wake]);
    assert_eq!(sends(&later).len(), 1, "they are out of the window");
}

#[test]
fn query_with_nothing_in_flight_does_not_wait_for_the_budget() {
    let mut stage = with_budget(0.0);
    let (id, events) = stage.query(&[0]);
    let (part, server) = sends(&stage.after(MS, events))[0];
    let actions = stage.after(MS, vec![finished(part, 0, server, Outcome::Error, MS)]);
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { query, .. } if query.0 == id)),
        "{actions:?}"
    );
}

#[test]
fn restarted_instance_counts_from_its_start() {
    let mut first = with_budget(1.0);
    assert_eq!(retries_in_one_turn(&mut first, 5), 1);
    let mut second = with_budget(1.0);
    assert_eq!(
        retries_in_one_turn(&mut second, 5),
        1,
        "nothing taken before its start raises the budget"
    );
}

#[test]
fn unsafe_query_is_rejected_only_if_no_part_may_have_run() {
    use Outcome::{Cancelled, ConnectFailed, Error, Rejected, Reset, Timeout};
    for outcome in [Rejected, ConnectFailed, Error, Timeout, Reset, Cancelled] {
        let mut configuration = settings(Class {
            repeat: RetrySafety::Unsafe,
            ..class()
        });
        configuration.limits.attempts = 1;
        let mut stage = Stage::new(configuration);
        let (id, events) = stage.query(&[0]);
        let (part, server) = sends(&stage.turn(events))[0];
        let actions = stage.after(MS, vec![finished(part, 0, server, outcome, MS)]);
        let is_rejected = actions
            .iter()
            .any(|a| matches!(a, Action::Refuse { query, .. } if query.0 == id));
        assert_eq!(is_rejected, outcome.never_ran(), "{outcome:?}");
        assert_eq!(
            actions.contains(&Action::Fail(QueryId(id))),
            !is_rejected,
            "{outcome:?}: it ends at once"
        );
    }
}

#[test]
fn attempt_that_never_left_counts_neither_as_attempt_nor_as_fault() {
    let mut configuration = settings(Class {
        repeat: RetrySafety::Unsafe,
        ..class()
    });
    configuration.limits.attempts = 1;
    let mut stage = Stage::new(configuration);
    let (_, events) = stage.query(&[0]);
    let (part, mut server) = sends(&stage.turn(events))[0];
    for attempt in 0..5 {
        let actions = stage.after(
            100 * MS,
            vec![finished(part, attempt, server, Outcome::NeverSent, 50 * MS)],
        );
        assert!(
            !actions.iter().any(|a| matches!(a, Action::Log(_))),
            "nobody is suspected: {actions:?}"
        );
        server = sends(&actions)[0].1;
    }
    let actions = stage.after(MS, vec![finished(part, 5, server, Outcome::Error, MS)]);
    assert!(
        sends(&actions).is_empty() && finals(&actions).len() == 1,
        "the one that left was the only one allowed"
    );
}

#[test]
fn unreachable_replicas_are_retried_later_and_full_ones_at_once() {
    for outcome in [Outcome::ConnectFailed, Outcome::Rejected] {
        let mut configuration = settings(class());
        configuration.limits.attempts = 4;
        configuration.layout = Layout {
            cells: 3,
            width: 2,
            ..configuration.layout
        };
        let mut stage = Stage::new(configuration);
        let (_, events) = stage.query(&[0]);
        let mut sent = sends(&stage.turn(events));
        let mut replicas = Vec::new();
        for attempt in 0..2 {
            let (part, server) = sent[0];
            replicas.push(server);
            sent = sends(&stage.after(MS, vec![finished(part, attempt, server, outcome, MS)]));
        }
        assert!(
            replicas[0] != replicas[1],
            "the other holder is tried at once"
        );
        if outcome == Outcome::Rejected {
            assert_eq!(sent.len(), 1, "a place may be free by now");
            continue;
        }
        assert!(sent.is_empty(), "both were tried within 2 ms");
        for _ in 0..9 {
            assert!(sends(&stage.after(10 * MS, vec![Event::Wake])).is_empty());
        }
        assert_eq!(
            sends(&stage.after(20 * MS, vec![Event::Wake])).len(),
            1,
            "after a tenth of a second"
        );
    }
}

#[test]
fn without_hedging_a_retry_waits_for_the_cancel_to_arrive() {
    for outcome in [Outcome::Cancelled, Outcome::Reset] {
        for copies in [false, true] {
            let mut configuration = settings(class());
            configuration.limits.second_copies = copies;
            let mut stage = Stage::new(configuration);
            let (id, events) = stage.query(&[0]);
            let server = sends(&stage.turn(events))[0].1;
            let outcome_event = finished(id + 1, 0, server, outcome, 9 * MS);
            let at_once = sends(&stage.after(9 * MS, vec![outcome_event])).len();
            let mut soon = 0;
            for _ in 0..3 {
                soon += sends(&stage.after(5 * MS, vec![Event::Wake])).len();
            }
            let later = sends(&stage.after(10 * MS, vec![Event::Wake])).len();
            let sent = if copies { (1, 0, 0) } else { (0, 0, 1) };
            assert_eq!((at_once, soon, later), sent, "{outcome:?}, copies {copies}");
        }
    }
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

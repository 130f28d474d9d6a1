//! Retries: which parts may be sent again, when, and within which budget.

use crate::support::*;
use lichenswitch::interface::*;

#[test]
fn unsafe_part_is_retried_only_if_it_never_ran() {
    let mut stage = Stage::new(settings(Class {
        retry_safety: RetrySafety::Unsafe,
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
            retry_safety: RetrySafety::Keyed(300 * MS),
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
        min_retries: 2.0,
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

/// A stage whose budget is `least` and a tenth of what is taken, over ten aims.
fn with_budget(least: f64) -> Stage {
    let mut configuration = settings(class());
    configuration.limits.budget = Some(Budget {
        window: 10 * LATENCY_TARGET,
        min_retries: least,
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
            retry_safety: RetrySafety::Unsafe,
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
        retry_safety: RetrySafety::Unsafe,
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

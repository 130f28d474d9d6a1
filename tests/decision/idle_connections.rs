//! Connections that servers drop while they are idle.

use crate::support::*;
use lichenswitch::interface::*;

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
        retry_safety: RetrySafety::Unsafe,
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

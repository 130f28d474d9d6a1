//! Calls that wait for a descriptor, and the idle connections that are closed for them.

use super::{answer, ended, frame, Stage, LIMITS};
use crate::interface::{Outcome, ServerId};
use std::net::TcpStream;

#[test]
fn call_without_a_descriptor_waits_and_ends_as_never_sent() {
    let mut stage = Stage::new(LIMITS);
    let streams = stage.fill();
    let open = streams.len();
    assert!(open >= 19, "half of 38 at the least: {open}");
    let late = stage.attempts;
    assert!(stage.pool.is_parked(late) && !stage.pool.is_parked(1));
    let (ended, log) = stage.pool.take_ended();
    assert!(ended.is_empty(), "nobody has failed: {ended:?}");
    assert!(
        log.len() == 1 && log[0].contains("had to wait for a descriptor: 1; all 35 descriptors"),
        "{log:?}"
    );
    assert_eq!(stage.tended(), [(late, Outcome::NeverSent)]);
    assert_eq!(stage.pool.links.len(), open, "those with work stay");
    // One that is given up while it waits is gone without a word.
    let given_up = stage.send_to(ServerId(99), "x");
    stage.pool.withdraw(&mut stage.net, given_up);
    assert!(!stage.pool.is_parked(given_up) && stage.pool.parked.is_empty());
}

#[test]
fn a_call_that_waits_gets_the_first_connection_that_falls_idle() {
    let mut stage = Stage::new(LIMITS);
    let mut streams = stage.fill();
    let (late, open) = (stage.attempts, streams.len());
    answer(&mut streams[3], "q.4 OK 1 -");
    assert_eq!(stage.tended(), [(4, Outcome::Ok)]);
    stage.pool.serve_parked(&mut stage.net);
    assert!(stage.pool.parked.is_empty() && stage.pool.links.len() == open);
    let mut stream = stage.accept_silently();
    assert!(frame(&mut stream).starts_with(&format!("Rq.{late} ")));
    assert!(ended(&mut streams[3]), "the idle one was closed");
}

#[test]
fn least_recently_used_connection_is_closed_after_second_ones() {
    let mut stage = Stage::new(LIMITS);
    let mut streams = stage.fill();
    let late = stage.attempts;
    stage.pool.withdraw(&mut stage.net, late);
    let idle = |stage: &mut Stage, streams: &mut Vec<TcpStream>, i: usize| {
        answer(&mut streams[i], &format!("q.{} OK 1 -", i + 1));
        assert_eq!(stage.tended(), [(i as u64 + 1, Outcome::Ok)]);
    };
    for i in [5, 2, 7] {
        idle(&mut stage, &mut streams, i);
    }
    stage.send_to(ServerId(98), "x");
    let _other = stage.accept_silently();
    assert!(ended(&mut streams[5]));
    // A second connection to the node of 7, opened while the first was full.
    for _ in 0..3 {
        stage.send_to(ServerId(107), "x");
    }
    let mut second = stage.accept_silently();
    assert!(ended(&mut streams[2]));
    assert!(frame(&mut second).starts_with("R"));
    answer(&mut second, &format!("q.{} OK 1 -", stage.attempts));
    assert_eq!(stage.tended(), [(stage.attempts, Outcome::Ok)]);
    assert_eq!(
        stage.pool.yield_idle(&mut stage.net, 5),
        1,
        "none that carries a call goes"
    );
    assert!(ended(&mut second));
}

#[test]
fn a_part_that_waits_for_a_descriptor_is_recalled() {
    let mut stage = Stage::new(LIMITS);
    let _streams = stage.fill();
    assert!(!stage.pool.parked.is_empty());
    let attempt = stage.attempts;
    assert!(stage.pool.is_parked(attempt) && stage.pool.recall(&mut stage.net, attempt));
    assert!(stage.pool.parked.is_empty() && !stage.pool.recall(&mut stage.net, attempt));
}

#[test]
fn call_waiting_for_a_draining_node_ends_as_never_sent() {
    let mut stage = Stage::new(LIMITS);
    let streams = stage.fill();
    let (attempt, server) = (stage.attempts, ServerId(100 + streams.len() as u32));
    stage.pool.drop_unsent(ServerId(1_000));
    assert!(
        stage.pool.is_parked(attempt),
        "another node's drain moves nothing"
    );
    stage.pool.drop_unsent(server);
    assert!(!stage.pool.is_parked(attempt));
    let ended: Vec<_> = stage
        .pool
        .take_ended()
        .0
        .into_iter()
        .map(|e| (e.attempt, e.outcome))
        .collect();
    assert_eq!(ended, [(attempt, Outcome::NeverSent)]);
}

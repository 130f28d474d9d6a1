//! Connections for calls, and when a call leaves.

use super::super::frames::Job;
use super::{answer, call, frame, Limits, Stage, LIMITS, SERVER};
use crate::core::Dispatch;
use crate::interface::{Outcome, ServerId, Shard};
use std::io::{Read, Write};
use std::rc::Rc;

#[test]
fn a_refused_connection_never_ran() {
    let mut stage = Stage::new(LIMITS);
    // Its port is taken, and nobody listens: one that was free a moment ago may be another test's.
    let refuses = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    refuses
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let gone = refuses.local_addr().unwrap().as_socket().unwrap();
    let job = Rc::new(Job::default());
    let part = Dispatch {
        attempt: 9,
        job,
        class: 0,
        shard: Shard(0),
        first: None,
        max_elements: None,
        timeout: 1,
        send_by: None,
    };
    stage.pool.send(&mut stage.net, SERVER, gone, vec![part]);
    assert_eq!(stage.ended(), [(9, Outcome::ConnectFailed)]);
    assert!(stage.pool.links.is_empty() && stage.pool.by_server.is_empty());
}

#[test]
fn a_connection_that_does_not_come_up_in_time_never_ran() {
    let mut stage = Stage::new(Limits {
        connect_timeout: 10_000,
        ..LIMITS
    });
    // A full backlog: connections to it neither come up nor are refused.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    stage.listener = socket.into();
    let address = stage.listener.local_addr().unwrap();
    let fill = |_| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    let _held: Vec<_> = (0..8).map(fill).collect();
    let attempt = stage.send("x");
    assert_eq!(stage.ended(), [(attempt, Outcome::ConnectFailed)]);
}

#[test]
fn a_connection_carries_so_many_calls_and_a_further_one_gets_another() {
    let mut stage = Stage::new(LIMITS);
    for _ in 0..3 {
        stage.send("x");
    }
    let (mut first, mut second) = (stage.accept(), stage.accept());
    stage.pump();
    assert!(frame(&mut first).starts_with("Rq.1 ") && frame(&mut first).starts_with("Rq.2 "));
    assert!(frame(&mut second).starts_with("Rq.3 "));
    answer(&mut first, "q.1 OK 1 -");
    assert_eq!(stage.ended().len(), 1);
    stage.send("x");
    stage.pump();
    assert!(
        frame(&mut first).starts_with("Rq.4 "),
        "the place that was given back is used"
    );
}

#[test]
fn idle_connections_are_closed_when_asked_and_before_the_node_does() {
    let mut stage = Stage::new(Limits {
        idle_timeout: 100_000,
        ..LIMITS
    });
    stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    stage.pool.close_idle(&mut stage.net, SERVER);
    assert_eq!(stage.pool.links.len(), 1, "it carries a call");
    answer(&mut stream, "q.1 OK 1 -");
    stage.ended();
    stage.pool.close_idle(&mut stage.net, SERVER);
    assert!(stage.pool.links.is_empty());
    stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    answer(&mut stream, "q.2 OK 1 -");
    stage.ended();
    assert!(stage.ended().is_empty());
    assert!(stage.pool.links.is_empty(), "its timer closed it");
}

#[test]
fn no_call_leaves_before_its_connection_is_served() {
    let mut stage = Stage::new(LIMITS);
    let one = stage.send("x");
    let mut stream = stage.accept_silently();
    assert_eq!(frame(&mut stream), "G");
    stage.pool.withdraw(&mut stage.net, one);
    stage.send("x");
    stream.write_all(b"\0\0\0\x06GERROR").unwrap();
    stage.net.wait(None).unwrap();
    stage.pump();
    assert!(
        frame(&mut stream).starts_with("Rq.2 "),
        "the first was over before the node answered"
    );
}

#[test]
fn only_nodes_that_may_stand_still_are_greeted() {
    let mut stage = Stage::new(LIMITS);
    stage.pool.forget_node(&mut stage.net, SERVER);
    let first = stage.send("x");
    let (mut node, _) = stage.listener.accept().unwrap();
    assert!(stage.ended().is_empty());
    let written = || {
        let mut bytes = [0; 5];
        node.read_exact(&mut bytes).unwrap();
        bytes[4]
    };
    assert_eq!({ written }(), b'R', "a call, and no probe before it");
    // The connection breaks under the part: the next one is greeted.
    drop(node);
    assert_eq!(stage.ended(), [(first, Outcome::Reset)]);
    stage.send("x");
    let (mut node, _) = stage.listener.accept().unwrap();
    assert!(stage.ended().is_empty());
    let mut bytes = [0; 5];
    node.read_exact(&mut bytes).unwrap();
    assert_eq!(&bytes, b"\0\0\0\x01G");
}

#[test]
fn what_is_held_of_nodes_that_are_gone_ends_with_its_time() {
    let mut stage = Stage::new(LIMITS);
    let past = stage.net.clock.now().minus(1);
    (100..200).for_each(|gone| stage.pool.greet_until(ServerId(gone), past));
    stage.send("x");
    assert_eq!(
        stage.pool.greeted_until.len(),
        1,
        "only the one that has just started"
    );
}

#[test]
fn repeat_delayed_beyond_its_window_is_not_sent() {
    for (late, leaves) in [(true, false), (false, true)] {
        let mut stage = Stage::new(Limits {
            connect_timeout: 100_000,
            ..LIMITS
        });
        let now = stage.net.clock.now();
        // The module let it leave until a while ago: what a connection may take has been added, and
        // is over or not.
        let leave_by = if late {
            now.minus(150_000)
        } else {
            now.plus(60_000_000)
        };
        let address = stage.listener.local_addr().unwrap();
        let mut parts = call(2);
        parts[0].send_by = Some(leave_by);
        stage.pool.send(&mut stage.net, SERVER, address, parts);
        // The node is slow to answer the greeting, which the call waits for.
        let mut stream = stage.accept_silently();
        assert_eq!(frame(&mut stream), "G");
        stream.write_all(b"\0\0\0\x03GOK").unwrap();
        stage.net.wait(None).unwrap();
        stage.pump();
        let sent = frame(&mut stream);
        assert!(
            sent.contains("q2.1 1 ") && sent.contains("q1.1 1 ") == leaves,
            "{late}: {sent}"
        );
        let ended: Vec<_> = stage
            .pool
            .take_ended()
            .0
            .into_iter()
            .map(|e| (e.attempt, e.outcome))
            .collect();
        assert_eq!(
            ended,
            if late {
                vec![(1, Outcome::NeverSent)]
            } else {
                Vec::new()
            }
        );
    }
}

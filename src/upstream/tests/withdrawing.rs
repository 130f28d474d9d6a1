//! Parts that are given up, recalled, or held back for a node that drains.

use super::{answer, call, frame, Limits, Stage, LIMITS, SERVER};
use crate::interface::Outcome;
use std::io::{Read, Write};
use std::net::TcpListener;

/// A listener to which no connection comes up until those that fill its queue have been accepted.
fn full_backlog() -> (TcpListener, Vec<socket2::Socket>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let fill = |_| {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    (listener, (0..4).map(fill).collect())
}

#[test]
fn cancel_reaches_the_node_unless_the_call_never_left() {
    let mut stage = Stage::new(LIMITS);
    let never = stage.send("x");
    stage.pool.withdraw(&mut stage.net, never);
    let case = stage.send("x");
    let mut stream = stage.accept();
    assert!(
        frame(&mut stream).starts_with("Rq.2 "),
        "the first call stayed at home"
    );
    stage.pool.withdraw(&mut stage.net, case);
    assert_eq!(frame(&mut stream), "Aq.2");
    answer(&mut stream, "q.2 OK 1 -");
    assert!(stage.ended().is_empty(), "too late: it was given up");
}

#[test]
fn what_is_given_up_before_its_connection_is_up_never_leaves() {
    let mut stage = Stage::new(LIMITS);
    let (one, _) = (stage.send("x"), stage.send("x"));
    stage.pool.withdraw(&mut stage.net, one);
    let mut stream = stage.accept();
    assert!(
        frame(&mut stream).starts_with("Rq.2 "),
        "the first was over before the connection came up"
    );
}

#[test]
fn recalled_part_is_not_sent_while_others_of_its_call_are() {
    let mut stage = Stage::new(Limits {
        connect_timeout: 60_000_000,
        ..LIMITS
    });
    stage.pool.greeted_until.clear();
    let (listener, fillers) = full_backlog();
    let address = listener.local_addr().unwrap();
    stage.pool.send(&mut stage.net, SERVER, address, call(3));
    assert!(stage.pool.recall(&mut stage.net, 2), "it has not left");
    assert!(!stage.pool.recall(&mut stage.net, 2), "once");
    drop(fillers);
    // The connection comes up: the other two leave, in one call.
    let mut frames = Vec::new();
    listener.set_nonblocking(true).unwrap();
    let mut unsent = Vec::new();
    while frames.is_empty() {
        unsent.extend(listener.accept().map(|(stream, _)| stream));
        stage
            .net
            .wait(Some(stage.net.clock.now().plus(10_000)))
            .unwrap();
        stage.pump();
        for stream in &mut unsent {
            stream.set_nonblocking(true).unwrap();
            if matches!(stream.peek(&mut [0; 4]), Ok(4)) {
                stream.set_nonblocking(false).unwrap();
                frames.push(frame(stream));
            }
        }
    }
    assert!(
        frames[0].starts_with("Rq1.1 1 ") && frames[0].contains("xq3.1 1 "),
        "{frames:?}"
    );
    assert!(!frames[0].contains("q2."), "{frames:?}");
    assert!(!stage.pool.recall(&mut stage.net, 1), "it has left");
    assert_eq!(stage.pool.attempts.len(), 2);
}

#[test]
fn partly_written_call_never_begins_once_its_part_is_recalled() {
    for recalled in [true, false] {
        let mut stage = Stage::new(LIMITS);
        stage.pool.greeted_until.clear();
        // Far more than the system's buffers take: its last byte can't be written while nobody
        // reads.
        let attempt = stage.send(&"y".repeat(32 << 20));
        let mut stream = stage.accept_silently();
        match recalled {
            true => assert!(stage.pool.recall(&mut stage.net, attempt)),
            false => stage.pool.withdraw(&mut stage.net, attempt),
        }
        // The node reads all that comes: the frame is never whole.
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut payload = Vec::new();
        let _ = stream.read_to_end(&mut payload);
        assert!(
            payload.len() < u32::from_be_bytes(length) as usize,
            "{recalled}: {} bytes",
            payload.len()
        );
        assert!(stage.pool.links.is_empty() && stage.pool.attempts.is_empty());
    }
}

#[test]
fn what_waits_to_leave_for_a_node_that_drains_never_does() {
    let mut stage = Stage::new(LIMITS);
    let (one, two) = (stage.send("x"), stage.send("x"));
    // Its greeting is on the way: both calls wait for the answer. Then the drain is told.
    let mut stream = stage.accept_silently();
    assert_eq!(frame(&mut stream), "G");
    stage.pool.drop_unsent(SERVER);
    assert_eq!(
        stage.ended(),
        [(one, Outcome::NeverSent), (two, Outcome::NeverSent)]
    );
    assert!(stage.pool.attempts.is_empty());
    stream.write_all(b"\0\0\0\x03GOK").unwrap();
    stage.net.wait(None).unwrap();
    stage.pump();
    // The node serves again: the first that comes is new.
    stage.send("x");
    assert!(frame(&mut stream).starts_with("Rq.3 3 "));
}

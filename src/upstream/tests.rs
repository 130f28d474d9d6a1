//! Tests of the pool on loopback: which end of a connection means which outcome.

use super::frames::{Frames, Job};
use super::*;
use crate::interface::Shard;
use crate::net::Ready;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

const LIMITS: Limits = Limits { streams: 2, connect: 250_000, idle: 30_000_000 };
const SERVER: ServerId = ServerId(1);

struct Stage {
    net: Net,
    pool: Pool<Frames>,
    listener: TcpListener,
    attempts: u64,
}

impl Stage {
    fn new(limits: Limits) -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut pool = Pool::new(Frames, limits);
        // Most tests are of a node that has just started.
        pool.beware(SERVER, Time(u64::MAX));
        Stage { net: Net::new(64).unwrap(), pool, listener, attempts: 0 }
    }

    /// Sends a call of one part and tells its attempt.
    fn send(&mut self, text: &str) -> u64 {
        self.send_to(SERVER, text)
    }

    fn send_to(&mut self, server: ServerId, text: &str) -> u64 {
        self.attempts += 1;
        let (attempt, shard) = (self.attempts, Shard(self.attempts as u32));
        let job = Rc::new(Job { id: "q".into(), text: text.into(), key: None });
        let part = Dispatch {
            attempt,
            job,
            class: 0,
            shard,
            first: None,
            most: None,
            wait: 1_000_000,
            leave_by: None,
        };
        let address = self.listener.local_addr().unwrap();
        self.pool.send(&mut self.net, server, address, vec![part]);
        attempt
    }

    /// One call to each of as many servers as there are descriptors for, and the servers' ends of their connections.
    fn fill(&mut self) -> Vec<TcpStream> {
        // Answers are slow as a rule: nothing is mute while this test takes its time.
        self.pool.usual.add(60e6, 1.0);
        let mut streams = Vec::new();
        while self.pool.parked.is_empty() {
            self.send_to(ServerId(100 + streams.len() as u32), "x");
            if self.pool.parked.is_empty() {
                streams.push(self.accept_silently());
            }
        }
        streams
    }

    /// Runs the loop, tending those that wait, until something ends.
    fn tended(&mut self) -> Vec<(u64, Outcome)> {
        for _ in 0..200 {
            self.net.wait(Some(self.net.clock.now().plus(10_000))).unwrap();
            self.pump();
            self.pool.tend(&mut self.net);
            let (ended, _) = self.pool.take_ended();
            if !ended.is_empty() {
                return ended.into_iter().map(|e| (e.attempt, e.outcome)).collect();
            }
        }
        panic!("nothing ended");
    }

    /// Runs the loop until an attempt has ended, or for a moment if none does.
    fn ended(&mut self) -> Vec<(u64, Outcome)> {
        for _ in 0..20 {
            let until = self.net.clock.now().plus(50_000);
            for ready in self.net.wait(Some(until)).unwrap() {
                if let Ready::Conn(id, _) = ready {
                    self.pool.ready(&mut self.net, id);
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                match timer {
                    Timer::Conn(id) => self.pool.timer(&mut self.net, id),
                    Timer::Answer(id) => self.pool.stalled(&mut self.net, id),
                    _ => {}
                }
            }
            let (ended, _) = self.pool.take_ended();
            if !ended.is_empty() {
                return ended.into_iter().map(|e| (e.attempt, e.outcome)).collect();
            }
        }
        Vec::new()
    }

    /// The next connection that the pool opened, greeted, with what was written to it by now.
    fn accept(&mut self) -> TcpStream {
        let mut stream = self.accept_silently();
        assert_eq!(frame(&mut stream), "G");
        stream.write_all(b"\0\0\0\x03GOK").unwrap();
        self.net.wait(None).unwrap();
        self.pump();
        stream
    }

    /// The next connection that the pool opened; its greeting is on the way.
    fn accept_silently(&mut self) -> TcpStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
        self.pump();
        stream
    }

    fn pump(&mut self) {
        let ids: Vec<ConnId> = self.pool.links.keys().copied().collect();
        ids.into_iter().for_each(|id| self.pool.ready(&mut self.net, id));
    }
}

/// Reads one frame, letter and rest.
fn frame(stream: &mut TcpStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut rest = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut rest).unwrap();
    String::from_utf8(rest).unwrap()
}

/// Whether the broker has closed its end.
fn ended(stream: &mut TcpStream) -> bool {
    stream.read_to_end(&mut Vec::new()).is_ok()
}

fn answer(stream: &mut TcpStream, line: &str) {
    let mut bytes = (line.len() as u32 + 2).to_be_bytes().to_vec();
    bytes.extend_from_slice(format!("Y{line}\n").as_bytes());
    stream.write_all(&bytes).unwrap();
}

#[test]
fn answers_end_the_attempts_that_they_name() {
    let mut stage = Stage::new(LIMITS);
    let (one, two) = (stage.send("x"), stage.send("x"));
    let mut stream = stage.accept();
    assert!(frame(&mut stream).starts_with("Rq.1 1 d=1000 1\nx"));
    assert!(frame(&mut stream).starts_with("Rq.2 2 "));
    answer(&mut stream, "q.2 REJECTED - -");
    assert_eq!(stage.ended(), [(two, Outcome::Rejected)]);
    answer(&mut stream, "q.2 OK 1 -");
    answer(&mut stream, "q.1 OK 1 -");
    assert_eq!(stage.ended(), [(one, Outcome::Ok)], "an answer that nobody waits for any more is dropped");
    assert!(stage.pool.attempts.is_empty());
}

#[test]
fn a_refused_connection_never_ran() {
    let mut stage = Stage::new(LIMITS);
    // Bound by then nobody: the port was free a moment ago.
    stage.listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = stage.listener.local_addr().unwrap();
    let job = Rc::new(Job::default());
    let gone = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_ne!(address, gone);
    let part = Dispatch {
        attempt: 9,
        job,
        class: 0,
        shard: Shard(0),
        first: None,
        most: None,
        wait: 1,
        leave_by: None,
    };
    stage.pool.send(&mut stage.net, SERVER, gone, vec![part]);
    assert_eq!(stage.ended(), [(9, Outcome::ConnectFailed)]);
    assert!(stage.pool.links.is_empty() && stage.pool.by_server.is_empty());
}

#[test]
fn a_connection_that_ends_after_the_frame_is_a_reset_and_before_its_last_byte_it_is_not() {
    let mut stage = Stage::new(LIMITS);
    // Answers are slow as a rule: it is not mute while this test takes its time.
    stage.pool.usual.add(60e6, 1.0);
    let sent = stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    // Far more than the system's buffers take: its last byte can't be written while nobody reads.
    let unsent = stage.send(&"y".repeat(32 << 20));
    stage.pump();
    drop(stream);
    let mut ended = stage.ended();
    ended.sort_by_key(|e| e.0);
    assert_eq!(ended, [(sent, Outcome::Reset), (unsent, Outcome::ConnectFailed)]);
}

#[test]
fn a_connection_that_does_not_come_up_in_time_never_ran() {
    let mut stage = Stage::new(Limits { connect: 10_000, ..LIMITS });
    // A full backlog: connections to it neither come up nor are refused.
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    stage.listener = socket.into();
    let address = stage.listener.local_addr().unwrap();
    let fill = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
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
    assert!(frame(&mut first).starts_with("Rq.4 "), "the place that was given back is used");
}

#[test]
fn what_is_given_up_is_told_to_the_node_unless_it_never_left() {
    let mut stage = Stage::new(LIMITS);
    let never = stage.send("x");
    stage.pool.withdraw(&mut stage.net, never);
    let told = stage.send("x");
    let mut stream = stage.accept();
    assert!(frame(&mut stream).starts_with("Rq.2 "), "the first call stayed at home");
    stage.pool.withdraw(&mut stage.net, told);
    assert_eq!(frame(&mut stream), "Aq.2");
    answer(&mut stream, "q.2 OK 1 -");
    assert!(stage.ended().is_empty(), "too late: it was given up");
}

#[test]
fn idle_connections_are_closed_when_asked_and_before_the_node_does() {
    let mut stage = Stage::new(Limits { idle: 100_000, ..LIMITS });
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
fn a_node_that_can_not_use_a_frame_is_told_in_the_log() {
    let mut stage = Stage::new(LIMITS);
    let attempt = stage.send("x");
    let mut stream = stage.accept();
    frame(&mut stream);
    stream.write_all(b"\0\0\0\x04Nwhy").unwrap();
    for _ in 0..100 {
        stage.net.wait(Some(stage.net.clock.now().plus(10_000))).unwrap();
        stage.pump();
        let (ended, log) = stage.pool.take_ended();
        if let [ended] = &ended[..] {
            assert_eq!((ended.attempt, ended.outcome), (attempt, Outcome::Error));
            assert!(log[0].contains("could not use a frame: why"), "{log:?}");
            return;
        }
    }
    panic!("it never ended");
}

#[test]
fn a_spoilt_answer_fails_its_part_and_ends_its_connection() {
    for bad in [&b"\0\0\0\x0cYq.7 OK 1 -\n"[..], b"\0\0\0\x0bYq.1 ? 1 -\n", b"xxxxx", b"\0\0\0\0"] {
        let mut stage = Stage::new(LIMITS);
        let one = stage.send("x");
        let mut stream = stage.accept();
        stream.write_all(bad).unwrap();
        assert_eq!(stage.ended(), [(one, Outcome::Error)], "{bad:?}");
        assert!(stage.pool.links.is_empty());
    }
    // Of two that are out it can't be told which it was for: both are reset.
    let mut stage = Stage::new(LIMITS);
    let sent = [stage.send("x"), stage.send("x")];
    stage.accept().write_all(b"xxxxx").unwrap();
    assert_eq!(stage.ended(), sent.map(|attempt| (attempt, Outcome::Reset)));
}

#[test]
fn an_answer_that_never_becomes_whole_is_not_waited_for() {
    let mut stage = Stage::new(LIMITS);
    let one = stage.send("x");
    let mut stream = stage.accept();
    stream.write_all(b"\0\0\0\xffYq.1 OK 1 -\nvalue").unwrap();
    let mut ended = Vec::new();
    while ended.is_empty() {
        ended = stage.ended();
    }
    assert_eq!(ended, [(one, Outcome::Error)]);
}

#[test]
fn what_comes_behind_a_good_answer_spoils_neither_it_nor_the_next() {
    for more in [&b"\0\0"[..], b"\0\0\0\x0cYq.1 OK 1 -\n", b"noise\r\n\r\n"] {
        let mut stage = Stage::new(LIMITS);
        let one = stage.send("x");
        let mut stream = stage.accept();
        stream.write_all(&[b"\0\0\0\x0cYq.1 OK 1 -\n", more].concat()).unwrap();
        assert_eq!(stage.ended(), [(one, Outcome::Ok)], "{more:?}");
        let two = stage.send("x");
        let mut stream =
            if stage.pool.links.len() == 1 && more.len() == 16 { stream } else { stage.accept() };
        answer(&mut stream, "q.2 OK 1 -");
        assert_eq!(stage.ended(), [(two, Outcome::Ok)], "{more:?}");
    }
}

#[test]
fn what_is_given_up_before_its_connection_is_up_never_leaves() {
    let mut stage = Stage::new(LIMITS);
    let (one, _) = (stage.send("x"), stage.send("x"));
    stage.pool.withdraw(&mut stage.net, one);
    let mut stream = stage.accept();
    assert!(frame(&mut stream).starts_with("Rq.2 "), "the first was over before the connection came up");
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
    assert!(frame(&mut stream).starts_with("Rq.2 "), "the first was over before the node answered");
}

#[test]
fn a_connection_that_fell_silent_gets_nothing_new_until_it_speaks() {
    let mut stage = Stage::new(Limits { streams: 32, ..LIMITS });
    let (one, two) = (stage.send("x"), stage.send("x"));
    let mut first = stage.accept();
    std::thread::sleep(std::time::Duration::from_micros(MUTE_LEAST));
    stage.pool.withdraw(&mut stage.net, one);
    stage.send("x");
    let mut second = stage.accept();
    assert!(frame(&mut second).starts_with("Rq.3 "), "another connection carries it");
    answer(&mut first, "q.2 OK 1 -");
    assert_eq!(stage.ended(), [(two, Outcome::Ok)]);
    let four = stage.send("x");
    (0..2).for_each(|_| drop(frame(&mut first)));
    assert_eq!(frame(&mut first), "Aq.1");
    assert!(frame(&mut first).starts_with("Rq.4 "), "it speaks again");
    std::thread::sleep(std::time::Duration::from_micros(2 * MUTE_MOST));
    stage.pool.withdraw(&mut stage.net, four);
    assert_eq!(stage.pool.links.len(), 1, "silent with nothing out: it is closed");
}

#[test]
fn what_is_out_on_a_silent_connection_is_given_up_once_another_to_its_node_speaks() {
    let mut stage = Stage::new(Limits { streams: 32, ..LIMITS });
    let one = stage.send("x");
    let _first = stage.accept();
    std::thread::sleep(std::time::Duration::from_micros(MUTE_LEAST));
    let (two, three) = (stage.send("x"), stage.send("x"));
    let mut second = stage.accept();
    answer(&mut second, "q.2 OK 1 -");
    assert_eq!(stage.ended(), [(two, Outcome::Ok)], "the first may have been held up as well");
    std::thread::sleep(std::time::Duration::from_micros(MUTE_LEAST));
    answer(&mut second, "q.3 OK 1 -");
    assert_eq!(stage.ended(), [(three, Outcome::Ok), (one, Outcome::Cancelled)]);
    assert_eq!(stage.pool.links.len(), 1);
}

#[test]
fn only_nodes_that_may_stand_still_are_greeted() {
    let mut stage = Stage::new(LIMITS);
    stage.pool.leave(&mut stage.net, SERVER);
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
    (100..200).for_each(|gone| stage.pool.beware(ServerId(gone), past));
    stage.send("x");
    assert_eq!(stage.pool.wary.len(), 1, "only the one that has just started");
}

#[test]
fn a_call_without_a_descriptor_waits_and_is_told_as_never_sent() {
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
    assert_eq!(stage.tended(), [(late, Outcome::Moot)]);
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
    stage.pool.tend(&mut stage.net);
    assert!(stage.pool.parked.is_empty() && stage.pool.links.len() == open);
    let mut stream = stage.accept_silently();
    assert!(frame(&mut stream).starts_with(&format!("Rq.{late} ")));
    assert!(ended(&mut streams[3]), "the idle one was closed");
}

#[test]
fn the_connection_unused_for_longest_makes_room_and_a_second_one_to_a_node_before_that() {
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
    assert_eq!(stage.pool.yield_idle(&mut stage.net, 5), 1, "none that carries a call goes");
    assert!(ended(&mut second));
}

/// A listener to which no connection comes up until those that fill its queue have been accepted.
fn full_backlog() -> (TcpListener, Vec<socket2::Socket>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let address = listener.local_addr().unwrap();
    let fill = |_| {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_nonblocking(true).unwrap();
        let _ = socket.connect(&address.into());
        socket
    };
    (listener, (0..4).map(fill).collect())
}

/// Parts of one call, each of a query of its own.
fn call(count: u64) -> Vec<Dispatch<Job>> {
    let part = |attempt: u64| {
        let job = Rc::new(Job { id: format!("q{attempt}"), text: "x".into(), key: None });
        Dispatch {
            attempt,
            job,
            class: 0,
            shard: Shard(1),
            first: None,
            most: None,
            wait: 9_000_000,
            leave_by: None,
        }
    };
    (1..=count).map(part).collect()
}

#[test]
fn a_part_that_waits_for_its_connection_is_recalled_and_those_that_share_its_call_are_sent() {
    let mut stage = Stage::new(Limits { connect: 60_000_000, ..LIMITS });
    stage.pool.wary.clear();
    let (listener, fillers) = full_backlog();
    let address = listener.local_addr().unwrap();
    stage.pool.send(&mut stage.net, SERVER, address, call(3));
    assert!(stage.pool.recall(&mut stage.net, 2), "it has not left");
    assert!(!stage.pool.recall(&mut stage.net, 2), "once");
    drop(fillers);
    // The connection comes up: the other two leave, in one call.
    let mut frames = Vec::new();
    listener.set_nonblocking(true).unwrap();
    let mut held = Vec::new();
    while frames.is_empty() {
        held.extend(listener.accept().map(|(stream, _)| stream));
        stage.net.wait(Some(stage.net.clock.now().plus(10_000))).unwrap();
        stage.pump();
        for stream in &mut held {
            stream.set_nonblocking(true).unwrap();
            if matches!(stream.peek(&mut [0; 4]), Ok(4)) {
                stream.set_nonblocking(false).unwrap();
                frames.push(frame(stream));
            }
        }
    }
    assert!(frames[0].starts_with("Rq1.1 1 ") && frames[0].contains("xq3.1 1 "), "{frames:?}");
    assert!(!frames[0].contains("q2."), "{frames:?}");
    assert!(!stage.pool.recall(&mut stage.net, 1), "it has left");
    assert_eq!(stage.pool.attempts.len(), 2);
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
fn a_call_whose_last_byte_has_not_left_never_begins_once_its_part_is_recalled_or_withdrawn() {
    for recalled in [true, false] {
        let mut stage = Stage::new(LIMITS);
        stage.pool.wary.clear();
        stage.pool.usual.add(60e6, 1.0);
        // Far more than the system's buffers take: its last byte can't be written while nobody reads.
        let attempt = stage.send(&"y".repeat(32 << 20));
        let mut stream = stage.accept_silently();
        match recalled {
            true => assert!(stage.pool.recall(&mut stage.net, attempt)),
            false => stage.pool.withdraw(&mut stage.net, attempt),
        }
        // The node reads all that comes: the frame is never whole.
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest);
        assert!(rest.len() < u32::from_be_bytes(length) as usize, "{recalled}: {} bytes", rest.len());
        assert!(stage.pool.links.is_empty() && stage.pool.attempts.is_empty());
    }
}

#[test]
fn a_repeat_that_its_connection_has_held_back_beyond_its_window_never_leaves() {
    for (late, leaves) in [(true, false), (false, true)] {
        let mut stage = Stage::new(Limits { connect: 100_000, ..LIMITS });
        let now = stage.net.clock.now();
        // The module let it leave until a while ago: what a connection may take has been added, and is over or not.
        let leave_by = if late { now.minus(150_000) } else { now.plus(60_000_000) };
        let address = stage.listener.local_addr().unwrap();
        let mut parts = call(2);
        parts[0].leave_by = Some(leave_by);
        stage.pool.send(&mut stage.net, SERVER, address, parts);
        // The node is slow to answer the greeting, which the call waits for.
        let mut stream = stage.accept_silently();
        assert_eq!(frame(&mut stream), "G");
        stream.write_all(b"\0\0\0\x03GOK").unwrap();
        stage.net.wait(None).unwrap();
        stage.pump();
        let sent = frame(&mut stream);
        assert!(sent.contains("q2.1 1 ") && sent.contains("q1.1 1 ") == leaves, "{late}: {sent}");
        let ended: Vec<_> = stage.pool.take_ended().0.into_iter().map(|e| (e.attempt, e.outcome)).collect();
        assert_eq!(ended, if late { vec![(1, Outcome::Moot)] } else { Vec::new() });
    }
}

#[test]
fn what_waits_to_leave_for_a_node_that_drains_never_does() {
    let mut stage = Stage::new(LIMITS);
    let (one, two) = (stage.send("x"), stage.send("x"));
    // Its greeting is on the way: both calls wait for the answer. Then the drain is told.
    let mut stream = stage.accept_silently();
    assert_eq!(frame(&mut stream), "G");
    stage.pool.hold_back(SERVER);
    assert_eq!(stage.ended(), [(one, Outcome::Moot), (two, Outcome::Moot)]);
    assert!(stage.pool.attempts.is_empty());
    stream.write_all(b"\0\0\0\x03GOK").unwrap();
    stage.net.wait(None).unwrap();
    stage.pump();
    // The node serves again: the first that comes is new.
    stage.send("x");
    assert!(frame(&mut stream).starts_with("Rq.3 3 "));
}

#[test]
fn what_waits_for_a_descriptor_for_a_node_that_drains_is_told_as_never_sent() {
    let mut stage = Stage::new(LIMITS);
    let streams = stage.fill();
    let (attempt, server) = (stage.attempts, ServerId(100 + streams.len() as u32));
    stage.pool.hold_back(ServerId(1_000));
    assert!(stage.pool.is_parked(attempt), "another node's drain moves nothing");
    stage.pool.hold_back(server);
    assert!(!stage.pool.is_parked(attempt));
    let ended: Vec<_> = stage.pool.take_ended().0.into_iter().map(|e| (e.attempt, e.outcome)).collect();
    assert_eq!(ended, [(attempt, Outcome::Moot)]);
}

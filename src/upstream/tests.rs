//! Tests of the pool on loopback: which end of a connection means which outcome.

mod descriptors;
mod receiving;
mod sending;
mod withdrawing;

use super::frames::{Frames, Job};
use super::*;
use crate::interface::Shard;
use crate::net::{Ready, Timer};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;

const LIMITS: Limits = Limits {
    max_streams: 2,
    connect_timeout: 250_000,
    idle_timeout: 30_000_000,
};
const SERVER: ServerId = ServerId(1);

struct Stage {
    net: Net,
    pool: Pool<Frames>,
    listener: TcpListener,
    attempts: u64,
}

impl Stage {
    /// Answers are slow as a rule: no connection is mute while a test takes its time.
    fn new(limits: Limits) -> Stage {
        let mut stage = Stage::with_quick_answers(limits);
        stage.pool.usual_response_time.add(60e6, 1.0);
        stage
    }

    /// Nothing is known of answers: a connection is mute after [`MUTE_MIN`].
    fn with_quick_answers(limits: Limits) -> Stage {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut pool = Pool::new(Frames, limits);
        // Most tests are of a node that has just started.
        pool.greet_until(SERVER, Time(u64::MAX));
        Stage {
            net: Net::new(64).unwrap(),
            pool,
            listener,
            attempts: 0,
        }
    }

    /// Sends a call of one part and tells its attempt.
    fn send(&mut self, text: &str) -> u64 {
        self.send_to(SERVER, text)
    }

    fn send_to(&mut self, server: ServerId, text: &str) -> u64 {
        self.send_attempt(server, text, Shard(self.attempts as u32 + 1))
    }

    /// Sends a call of the part at this shard, for the first time or again.
    fn send_part(&mut self, shard: u32) -> u64 {
        self.send_attempt(SERVER, "x", Shard(shard))
    }

    fn send_attempt(&mut self, server: ServerId, text: &str, shard: Shard) -> u64 {
        self.attempts += 1;
        let attempt = self.attempts;
        let job = Rc::new(Job {
            id: "q".into(),
            text: text.into(),
            key: None,
        });
        let part = Dispatch {
            attempt,
            job,
            class: 0,
            shard,
            first: None,
            max_elements: None,
            timeout: 1_000_000,
            send_by: None,
        };
        let address = self.listener.local_addr().unwrap();
        self.pool.send(&mut self.net, server, address, vec![part]);
        attempt
    }

    /// One call to each of as many servers as there are descriptors for, and the servers' ends of
    /// their connections.
    fn fill(&mut self) -> Vec<TcpStream> {
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
            self.net
                .wait(Some(self.net.clock.now().plus(10_000)))
                .unwrap();
            self.pump();
            self.pool.serve_parked(&mut self.net);
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
                    self.pool.on_ready(&mut self.net, id);
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                match timer {
                    Timer::Conn(id) => self.pool.on_timer(&mut self.net, id),
                    Timer::Answer(id) => self.pool.on_response_timeout(&mut self.net, id),
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
        stream
            .set_read_timeout(Some(std::time::Duration::from_secs(20)))
            .unwrap();
        self.pump();
        stream
    }

    fn pump(&mut self) {
        let ids: Vec<ConnId> = self.pool.links.keys().copied().collect();
        ids.into_iter()
            .for_each(|id| self.pool.on_ready(&mut self.net, id));
    }
}

/// Reads one frame, letter and payload.
fn frame(stream: &mut TcpStream) -> String {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut payload = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut payload).unwrap();
    String::from_utf8(payload).unwrap()
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

/// Parts of one call, each of a query of its own.
fn call(count: u64) -> Vec<Dispatch<Job>> {
    let part = |attempt: u64| {
        let job = Rc::new(Job {
            id: format!("q{attempt}"),
            text: "x".into(),
            key: None,
        });
        Dispatch {
            attempt,
            job,
            class: 0,
            shard: Shard(1),
            first: None,
            max_elements: None,
            timeout: 9_000_000,
            send_by: None,
        }
    };
    (1..=count).map(part).collect()
}

//! Data nodes: connections to them, and the wires that they speak.
//!
//! A [`Pool`] carries calls on connections, as many on each as allowed; a [`Wire`] writes calls and
//! reads answers.

mod closing;
mod error;
pub mod frames;
mod link;
pub mod ogc;
mod receiving;
mod sending;
mod wire;
mod withdrawing;

use crate::core::{Dispatch, Value};
use crate::interface::{Micros, Outcome, ServerId, Time};
use crate::net::{Conn, ConnId, Net};
use crate::stats::DecayingMean;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

pub use error::AnswerError;
pub use wire::{Answer, Wire};

use link::Link;

/// A call that no descriptor was to be had for.
struct ParkedCall<J> {
    server: ServerId,
    address: SocketAddr,
    parts: Vec<Dispatch<J>>,
    parked_at: Time,
}

/// Why there is no connection for a call.
enum NoConnection {
    /// This process has no descriptor left for it.
    NoDescriptor,
    /// The node takes none, or holds too many that bring nothing.
    NodeRefuses,
}

/// How an attempt ended that was given to a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: u64,
    /// Its outcome.
    pub outcome: Outcome,
    /// What was answered.
    pub value: Option<Value>,
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Calls that a connection carries at once.
    pub max_streams: usize,
    /// A connection that is not up after this long never comes up.
    pub connect_timeout: Micros,
    /// A node closes a connection that was idle for so long.
    pub idle_timeout: Micros,
}

/// A connection on which nothing comes for this many usual answer times though a part is in flight,
/// within these bounds, is taken for mute; each one that is mute already doubles that for the
/// others to the same node.
const MUTE_FACTOR: f64 = 8.0;
const MUTE_MIN: Micros = 50_000;
const MUTE_MAX: Micros = 1_000_000;
/// How fast the usual answer time is learnt.
const RESPONSE_TIME_PACE: f64 = 0.02;
/// A call that finds no descriptor waits for one for so long: well under half of any latency
/// target, after which the module would take the delay for the node's. Its parts are then told as never sent,
/// and the module may choose anew.
const MAX_DESCRIPTOR_WAIT: Micros = 50_000;
/// After a connection was left or broke under a part, new ones to that node are greeted for so
/// long.
const GREETING_PERIOD: Micros = 10_000_000;
/// Lines that calls had to wait for a descriptor come this long apart at least.
const SHORTAGE_LOG_INTERVAL: Micros = 5_000_000;

/// Connections to all data nodes of one wire.
pub struct Pool<W: Wire> {
    wire: W,
    limits: Limits,
    links: HashMap<ConnId, Link<W>>,
    by_server: HashMap<ServerId, Vec<ConnId>>,
    /// The connection that each attempt is in flight on.
    attempts: HashMap<u64, ConnId>,
    /// Nodes whose new connections are greeted, and until when.
    greeted_until: HashMap<ServerId, Time>,
    /// Calls that wait for a descriptor, oldest first.
    parked: VecDeque<ParkedCall<W::Job>>,
    /// Calls that had to wait since that was last logged, and when it was.
    unlogged_shortages: u64,
    shortage_logged_at: Option<Time>,
    /// Usual time from a call to an answer.
    usual_response_time: DecayingMean,
    ended: Vec<EndedAttempt>,
    /// Parts whose call was written whole since that was last told, by class.
    written: HashMap<usize, u64>,
    log: Vec<String>,
}

impl<W: Wire> Pool<W> {
    /// A pool without connections.
    #[must_use]
    pub fn new(wire: W, limits: Limits) -> Self {
        Pool {
            wire,
            limits,
            links: HashMap::new(),
            by_server: HashMap::new(),
            attempts: HashMap::new(),
            greeted_until: HashMap::new(),
            parked: VecDeque::new(),
            unlogged_shortages: 0,
            shortage_logged_at: None,
            usual_response_time: DecayingMean::default(),
            ended: Vec::new(),
            written: HashMap::new(),
            log: Vec::new(),
        }
    }

    /// New connections to this node are greeted until then: it has just started, or connections to
    /// it broke. A greeting is work for the node and, where each of many brokers opens many
    /// connections, a good part of all its work.
    pub fn greet_until(&mut self, server: ServerId, until: Time) {
        let at = self.greeted_until.entry(server).or_insert(until);
        *at = until.max(*at);
    }

    /// This node drains or is gone: what still waits to leave for it is ended as never sent, so
    /// that the module may choose anew. Guards the rule on drains: a connection, a greeting or a
    /// descriptor may be waited for, for longer than it allows.
    pub fn drop_unsent(&mut self, server: ServerId) {
        let mut unsent = Vec::new();
        for id in self.by_server.get(&server).into_iter().flatten() {
            if let Some(link) = self.links.get_mut(id) {
                unsent.extend(link.waiting.drain(..).flatten());
            }
        }
        let parked = std::mem::take(&mut self.parked).into_iter();
        let (here, elsewhere): (VecDeque<_>, VecDeque<_>) =
            parked.partition(|call| call.server == server);
        self.parked = elsewhere;
        unsent.extend(here.into_iter().flat_map(|call| call.parts));
        unsent
            .iter()
            .for_each(|p| _ = self.attempts.remove(&p.attempt));
        self.end_parts(&unsent, Outcome::NeverSent);
    }

    /// Records how an attempt ended that was given to a connection.
    fn end_attempt(&mut self, attempt: u64, outcome: Outcome, value: Option<Value>) {
        self.attempts.remove(&attempt);
        self.ended.push(EndedAttempt {
            attempt,
            outcome,
            value,
        });
    }

    /// Ends of attempts and log lines since the last time.
    pub fn take_ended(&mut self) -> (Vec<EndedAttempt>, Vec<String>) {
        (
            std::mem::take(&mut self.ended),
            std::mem::take(&mut self.log),
        )
    }

    /// How many parts of each class were written whole to data nodes since the last time.
    pub fn take_written(&mut self) -> HashMap<usize, u64> {
        std::mem::take(&mut self.written)
    }

    /// Counts the calls whose last byte has been written.
    fn count_written(&mut self, net: &Net, id: ConnId) {
        let written = net.get(id).map_or(0, Conn::written);
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        // They are written in order: those not counted yet are the last ones.
        for call in link
            .calls
            .iter_mut()
            .rev()
            .take_while(|c| !c.unwritten.is_empty())
        {
            if call.end <= written {
                call.unwritten
                    .drain(..)
                    .for_each(|class| *self.written.entry(class).or_default() += 1);
            }
        }
    }
}

/// Bytes written on a connection so far. Of one that is gone all counts as written, so that no call on
/// it counts as one that never ran.
fn written_bytes(net: &Net, id: ConnId) -> u64 {
    net.get(id).map_or(u64::MAX, Conn::written)
}

#[cfg(test)]
mod tests;

//! Data nodes: connections to them, and the wires that they speak.
//!
//! A [`Pool`] carries calls on connections, as many on each as allowed; a [`Wire`] writes calls and
//! reads answers.

mod error;
pub mod frames;
mod link;
pub mod ogc;
mod receiving;
mod sending;
mod withdrawing;

use crate::core::{Dispatch, Value};
use crate::interface::{Micros, Outcome, ServerId, Time};
use crate::net::buffer::Buffer;
use crate::net::{ConnId, Net, Owner, Timer};
use crate::stats::DecayingMean;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

pub use error::AnswerError;
use link::Link;

/// One answer read from a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<N> {
    /// The part that it is for; `None`: the oldest that is out on the connection.
    pub part: Option<N>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What was answered.
    pub value: Option<Value>,
    /// Whether the connection can't be used again.
    pub last: bool,
}

/// How calls and answers look on a connection.
pub trait Wire {
    /// What a query's front says of it.
    type Job;
    /// What a part is called on a connection.
    type Name: Clone + PartialEq;
    /// Whose connections these are.
    const OWNER: Owner;
    /// Most bytes held of answers that are not whole.
    const MAX_INPUT_BYTES: usize;
    /// An answer that has begun is whole after this long, or never.
    const RESPONSE_TIMEOUT: Micros;
    /// What a new connection to a node that may stand still begins with, where the node answers
    /// that; no call is written before it has.
    fn greeting(&self) -> Option<Vec<u8>>;
    /// Writes a call and tells the names of its parts.
    fn call(
        &self,
        parts: &[Dispatch<Self::Job>],
        host: SocketAddr,
        out: &mut Vec<u8>,
    ) -> Vec<Self::Name>;
    /// What tells the node that a part is given up; `None`: only the end of the connection does.
    fn give_up(&self, part: &Self::Name) -> Option<Vec<u8>>;
    /// Reads the next answer, if it is complete; `oldest` is the part that has been in flight for
    /// longest.
    ///
    /// # Errors
    /// Bytes that make no answer: the connection is to be closed.
    fn answer(
        &self,
        input: &mut Buffer,
        ended: bool,
        oldest: Option<&Self::Name>,
    ) -> Result<Option<Answer<Self::Name>>, AnswerError>;
}

/// A call that no descriptor was to be had for.
struct Parked<J> {
    server: ServerId,
    address: SocketAddr,
    parts: Vec<Dispatch<J>>,
    since: Time,
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
pub struct Ended {
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
    pub streams: usize,
    /// A connection that is not up after this long never comes up.
    pub connect: Micros,
    /// A node closes a connection that was idle for so long.
    pub idle: Micros,
}

/// A connection on which nothing comes for this many usual answer times though a part is out,
/// within these bounds, is taken for mute; each one that is mute already doubles that for the
/// others to the same node.
const MUTE_FACTOR: f64 = 8.0;
const MUTE_MIN: Micros = 50_000;
const MUTE_MAX: Micros = 1_000_000;
/// How fast the usual answer time is learnt.
const RESPONSE_TIME_PACE: f64 = 0.02;
/// A call that finds no descriptor waits for one for so long: well under half of any aim, after
/// which the module would take its silence for the node's. Its parts are then told as never sent,
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
    /// The connection that each attempt is out on.
    attempts: HashMap<u64, ConnId>,
    /// Nodes whose new connections are greeted, and until when.
    greeted_until: HashMap<ServerId, Time>,
    /// Calls that wait for a descriptor, oldest first.
    parked: VecDeque<Parked<W::Job>>,
    /// Calls that had to wait since that was last logged, and when it was.
    shortages: u64,
    shortage_logged_at: Option<Time>,
    /// Usual time from a call to an answer.
    usual_response_time: DecayingMean,
    ended: Vec<Ended>,
    /// Parts whose call was written whole since that was last told, by class.
    written: HashMap<usize, u64>,
    log: Vec<String>,
}

impl<W: Wire> Pool<W> {
    /// A pool without connections.
    #[must_use]
    pub fn new(wire: W, limits: Limits) -> Self {
        let (links, by_server, attempts) = (HashMap::new(), HashMap::new(), HashMap::new());
        let (usual_response_time, ended, log) = (DecayingMean::default(), Vec::new(), Vec::new());
        let (greeted_until, parked, shortages, shortage_logged_at) =
            (HashMap::new(), VecDeque::new(), 0, None);
        let written = HashMap::new();
        Pool {
            wire,
            limits,
            links,
            by_server,
            attempts,
            greeted_until,
            parked,
            shortages,
            shortage_logged_at,
            usual_response_time,
            ended,
            written,
            log,
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
            unsent.extend(
                self.links
                    .get_mut(id)
                    .into_iter()
                    .flat_map(|l| l.waiting.drain(..))
                    .flatten(),
            );
        }
        let (here, others) = std::mem::take(&mut self.parked)
            .into_iter()
            .partition(|c| c.server == server);
        self.parked = others;
        let here: VecDeque<Parked<W::Job>> = here;
        unsent.extend(here.into_iter().flat_map(|call| call.parts));
        unsent
            .iter()
            .for_each(|p| _ = self.attempts.remove(&p.attempt));
        self.end_parts(&unsent, Outcome::NeverSent);
    }

    /// Forgets what is known of a node that is gone, and closes the connections to it that carry
    /// nothing.
    pub fn forget_node(&mut self, net: &mut Net, server: ServerId) {
        self.greeted_until.remove(&server);
        self.close_idle(net, server);
    }

    /// Ends of attempts and log lines since the last time.
    pub fn take_ended(&mut self) -> (Vec<Ended>, Vec<String>) {
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
        let written = net.get(id).map_or(0, crate::net::Conn::written);
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

    /// Idle connections are closed after this long: before the node does it, so that no call
    /// crosses its end.
    fn idle(&self) -> Micros {
        self.limits.idle / 5 * 4
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, net: &mut Net, server: ServerId) {
        let known = self.by_server.get(&server).cloned().unwrap_or_default();
        for id in known {
            if self.links.get(&id).is_some_and(Link::idle) {
                self.drop_link(net, id);
            }
        }
    }

    /// A connection's timer: it should be up by now, or may have been idle for too long.
    pub fn timer(&mut self, net: &mut Net, id: ConnId) {
        let (Some(conn), Some(link)) = (net.get(id), self.links.get(&id)) else {
            return;
        };
        let (now, idle) = (net.clock.now(), self.idle());
        if !conn.up || link.idle() && now.since(conn.last_active_at) >= idle {
            return self.broken(net, id);
        }
        let next = conn.last_active_at.plus(idle).max(now.plus(idle / 10));
        net.wheel.set(next, Timer::Conn(id));
    }

    /// Ends a connection. A call whose last byte was written may have run: it was reset; others
    /// never left.
    fn broken(&mut self, net: &mut Net, id: ConnId) {
        let written = net.get(id).map_or(0, crate::net::Conn::written);
        let Some(link) = self.links.get_mut(&id) else {
            return net.close(id);
        };
        let (server, carried) = (link.server, !link.idle() || link.mute);
        for attempt in link.waiting.drain(..).flatten().map(|p| p.attempt) {
            self.attempts.remove(&attempt);
            self.ended.push(Ended {
                attempt,
                outcome: Outcome::ConnectFailed,
                value: None,
            });
        }
        for call in link.calls.drain(..) {
            let outcome = if call.end <= written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            };
            for part in call.parts {
                self.attempts.remove(&part.attempt);
                self.ended.push(Ended {
                    attempt: part.attempt,
                    outcome,
                    value: None,
                });
            }
        }
        if carried {
            self.greet_until(server, net.clock.now().plus(GREETING_PERIOD));
        }
        self.drop_link(net, id);
    }

    /// Takes a connection out of the books: the one place where it is given back.
    fn drop_link(&mut self, net: &mut Net, id: ConnId) {
        if let Some(link) = self.links.remove(&id) {
            if let Some(known) = self.by_server.get_mut(&link.server) {
                known.retain(|&other| other != id);
                if known.is_empty() {
                    self.by_server.remove(&link.server);
                }
            }
        }
        net.close(id);
    }
}

#[cfg(test)]
mod tests;

//! Data nodes: connections to them, and the wires that they speak.
//!
//! A [`Pool`] carries calls on connections, as many on each as allowed; a [`Wire`] writes calls and reads answers.

pub mod frames;
pub mod ogc;

use crate::core::{Dispatch, Value};
use crate::interface::{Micros, Outcome, ServerId, Time};
use crate::net::buffer::Buffer;
use crate::net::{ConnId, Net, Owner, Pumped, Timer};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

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
    const CEILING: usize;
    /// An answer that has begun is whole after this long, or never.
    const STALL: Micros;
    /// Writes a call and tells the names of its parts.
    fn call(&self, parts: &[Dispatch<Self::Job>], host: SocketAddr, out: &mut Vec<u8>) -> Vec<Self::Name>;
    /// What tells the node that a part is given up; `None`: only the end of the connection does.
    fn give_up(&self, part: &Self::Name) -> Option<Vec<u8>>;
    /// Reads the next answer, if it is whole; `oldest` is the part that has been out for longest. An error is a
    /// spoilt answer, and the connection's end.
    fn answer(
        &self,
        input: &mut Buffer,
        ended: bool,
        oldest: Option<&Self::Name>,
    ) -> Result<Option<Answer<Self::Name>>, String>;
}

/// An attempt that is out on a connection.
struct Out<N> {
    part: N,
    attempt: u64,
}

/// One call on a connection, and where its bytes begin and end among all that are written there.
struct Call<N> {
    start: u64,
    end: u64,
    parts: Vec<Out<N>>,
}

struct Link<N> {
    server: ServerId,
    address: SocketAddr,
    calls: Vec<Call<N>>,
    /// The last parts that were given up or answered: what still comes for them is late, not spoilt.
    settled: VecDeque<N>,
    /// When an answer began that is not whole yet.
    begun: Option<Time>,
}

impl<N: PartialEq> Link<N> {
    /// Takes a part out of the books, as `None` the oldest, and tells its attempt.
    fn settle(&mut self, part: Option<&N>) -> Option<u64> {
        let is_it = |p: &Out<N>| part.is_none_or(|part| *part == p.part);
        let at = self.calls.iter().position(|c| c.parts.iter().any(is_it))?;
        let call = &mut self.calls[at];
        let out = call.parts.remove(call.parts.iter().position(is_it)?);
        if call.parts.is_empty() {
            self.calls.remove(at);
        }
        self.remember(out.part);
        Some(out.attempt)
    }

    fn remember(&mut self, part: N) {
        if self.settled.len() >= SETTLED {
            self.settled.pop_front();
        }
        self.settled.push_back(part);
    }
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

/// A connection with more than this still to be written has no room: its node does not read.
const UNSENT: usize = 512 * 1024;
/// Most connections to one data node.
const LINKS: usize = 16;
/// Settled parts that are remembered for a connection.
const SETTLED: usize = 256;

/// Connections to all data nodes of one wire.
pub struct Pool<W: Wire> {
    wire: W,
    limits: Limits,
    links: HashMap<ConnId, Link<W::Name>>,
    by_server: HashMap<ServerId, Vec<ConnId>>,
    /// The connection that each attempt is out on.
    attempts: HashMap<u64, ConnId>,
    ended: Vec<Ended>,
    log: Vec<String>,
}

impl<W: Wire> Pool<W> {
    /// A pool without connections.
    #[must_use]
    pub fn new(wire: W, limits: Limits) -> Self {
        let (links, by_server, attempts) = (HashMap::new(), HashMap::new(), HashMap::new());
        Pool { wire, limits, links, by_server, attempts, ended: Vec::new(), log: Vec::new() }
    }

    /// Ends of attempts and log lines since the last time.
    pub fn take_ended(&mut self) -> (Vec<Ended>, Vec<String>) {
        (std::mem::take(&mut self.ended), std::mem::take(&mut self.log))
    }

    /// Idle connections are closed after this long: before the node does it, so that no call crosses its end.
    fn idle(&self) -> Micros {
        self.limits.idle / 5 * 4
    }

    /// Sends one call.
    pub fn send(&mut self, net: &mut Net, server: ServerId, address: SocketAddr, parts: &[Dispatch<W::Job>]) {
        let Some(id) = self.room(net, server, address) else {
            let failed = parts.iter().map(|p| (p.attempt, Outcome::ConnectFailed, None));
            self.ended.extend(failed.map(|(attempt, outcome, value)| Ended { attempt, outcome, value }));
            return;
        };
        let mut bytes = Vec::new();
        let names = self.wire.call(parts, address, &mut bytes);
        let (Some(conn), Some(link)) = (net.get_mut(id), self.links.get_mut(&id)) else { return };
        let end = conn.send(&bytes);
        let out = names.into_iter().zip(parts).map(|(part, p)| Out { part, attempt: p.attempt }).collect();
        link.calls.push(Call { start: end - bytes.len() as u64, end, parts: out });
        self.attempts.extend(parts.iter().map(|p| (p.attempt, id)));
        if net.flush(id, false) != Pumped::Alive {
            self.broken(net, id);
        }
    }

    /// A connection with room for a call: one that is up, one that is being opened, or a new one.
    fn room(&mut self, net: &mut Net, server: ServerId, address: SocketAddr) -> Option<ConnId> {
        let (streams, known) = (self.limits.streams.max(1), self.by_server.entry(server).or_default());
        let fits = |id: &&ConnId| {
            self.links.get(id).is_some_and(|l| l.calls.len() < streams && l.address == address)
                && net.get(**id).is_some_and(|c| !c.ended && c.unsent() < UNSENT)
        };
        let up = |id: &&ConnId| net.get(**id).is_some_and(|c| c.up);
        // The oldest that is up, so that those opened for a short rush fall idle again.
        let mut open = known.iter().filter(fits);
        if let Some(&id) = open.clone().find(up).or_else(|| open.next()) {
            return Some(id);
        }
        // Guards descriptors and memory against a node that takes connections and reads nothing.
        let connected = match known.len() < LINKS {
            true => net.connect(W::OWNER, address),
            false => Err(std::io::Error::other("too many connections to it")),
        };
        match connected {
            Ok(id) => {
                known.push(id);
                let (calls, settled) = (Vec::new(), VecDeque::new());
                self.links.insert(id, Link { server, address, calls, settled, begun: None });
                let at = net.clock.now().plus(self.limits.connect);
                net.wheel.set(at, Timer::Conn(id));
                Some(id)
            }
            Err(e) => {
                if known.is_empty() {
                    self.by_server.remove(&server);
                }
                self.log.push(format!("connect to server {} failed: {e}", server.0));
                None
            }
        }
    }

    /// Gives up an attempt: the node is told, unless its call never left.
    pub fn withdraw(&mut self, net: &mut Net, attempt: u64) {
        let Some(id) = self.attempts.remove(&attempt) else { return };
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else { return };
        let Some(at) = link.calls.iter().position(|c| c.parts.iter().any(|p| p.attempt == attempt)) else {
            return;
        };
        let last = at + 1 == link.calls.len();
        let call = &mut link.calls[at];
        let Some(i) = call.parts.iter().position(|p| p.attempt == attempt) else { return };
        let part = call.parts.remove(i).part;
        let (empty, unsent, length) =
            (call.parts.is_empty(), conn.written() <= call.start, call.end - call.start);
        if empty {
            link.calls.remove(at);
        }
        if empty && unsent && last {
            // What has not begun to be written need not be: the node never hears of the call.
            conn.take_back(length);
            return;
        }
        link.remember(part.clone());
        if let Some(bytes) = self.wire.give_up(&part) {
            conn.send(&bytes);
            if net.flush(id, false) != Pumped::Alive {
                self.broken(net, id);
            }
        } else {
            self.broken(net, id);
        }
    }

    /// Closes the connections to a server that carry nothing.
    pub fn close_idle(&mut self, net: &mut Net, server: ServerId) {
        let known = self.by_server.get(&server).cloned().unwrap_or_default();
        for id in known {
            if self.links.get(&id).is_some_and(|l| l.calls.is_empty()) {
                self.drop_link(net, id);
            }
        }
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.links.contains_key(&id) {
            return;
        }
        let pumped = net.pump(id, W::CEILING);
        let read = self.read(net, id);
        let done = net.get(id).is_none_or(|c| c.ended || c.input.bytes().len() >= W::CEILING);
        match read {
            Err(why) => self.spoilt(net, id, &why),
            Ok(last) if last || done || pumped != Pumped::Alive => self.broken(net, id),
            Ok(_) => self.begun(net, id),
        }
    }

    /// Notes whether an answer has begun that is not whole.
    fn begun(&mut self, net: &mut Net, id: ConnId) {
        let (now, Some(link)) = (net.clock.now(), self.links.get_mut(&id)) else { return };
        match net.get(id).is_some_and(|c| !c.input.is_empty()) {
            // Guards the next call: noise behind a good answer would be read as the beginning of its answer.
            true if link.calls.is_empty() => self.broken(net, id),
            true if link.begun.is_none() => {
                link.begun = Some(now);
                net.wheel.set(now.plus(W::STALL), Timer::Answer(id));
            }
            true => {}
            false => link.begun = None,
        }
    }

    /// Ends a connection that brought what can't be an answer. It was one to a part that was out, which may have
    /// run; if only one is out, to that. Behind a good answer, with nothing out, it spoils nothing.
    fn spoilt(&mut self, net: &mut Net, id: ConnId, why: &str) {
        let Some(link) = self.links.get_mut(&id) else { return };
        self.log.push(format!("connection to server {} closed: {why}", link.server.0));
        if link.calls.iter().map(|c| c.parts.len()).sum::<usize>() == 1 {
            if let Some(attempt) = link.settle(None) {
                self.attempts.remove(&attempt);
                self.ended.push(Ended { attempt, outcome: Outcome::Error, value: None });
            }
        }
        self.broken(net, id);
    }

    /// Takes in all whole answers; `true`: the connection can't be used again.
    fn read(&mut self, net: &mut Net, id: ConnId) -> Result<bool, String> {
        loop {
            let Some(conn) = net.get_mut(id) else { return Ok(true) };
            let ended = conn.ended;
            let Some(link) = self.links.get_mut(&id) else { return Ok(true) };
            let oldest = link.calls.first().and_then(|c| c.parts.first()).map(|p| &p.part);
            let Some(answer) = self.wire.answer(&mut conn.input, ended, oldest)? else { return Ok(false) };
            link.begun = None;
            match (link.settle(answer.part.as_ref()), answer.part) {
                (Some(attempt), _) => {
                    self.attempts.remove(&attempt);
                    self.ended.push(Ended { attempt, outcome: answer.outcome, value: answer.value });
                }
                // Guards the part that it was meant for, which would be waited for in vain.
                (None, Some(part)) if !link.settled.contains(&part) => {
                    return Err("answer to a part that was never asked for".into());
                }
                // Late, or a second time: it is dropped.
                (None, _) => {}
            }
            if answer.last {
                return Ok(true);
            }
        }
    }

    /// A connection's timer: it should be up by now, or may have been idle for too long.
    pub fn timer(&mut self, net: &mut Net, id: ConnId) {
        let (Some(conn), Some(link)) = (net.get(id), self.links.get(&id)) else { return };
        let (now, idle) = (net.clock.now(), self.idle());
        if !conn.up || link.calls.is_empty() && now.since(conn.used) >= idle {
            return self.broken(net, id);
        }
        let next = conn.used.plus(idle).max(now.plus(idle / 10));
        net.wheel.set(next, Timer::Conn(id));
    }

    /// An answer that had begun should be whole. Guards the parts that are out on its connection: what claims more
    /// than it brings would take their answers in.
    pub fn stalled(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let begun = self.links.get(&id).and_then(|l| l.begun);
        if begun.is_some_and(|at| now.since(at) >= W::STALL) {
            self.spoilt(net, id, "answer that never becomes whole");
        }
    }

    /// Ends a connection. A call whose last byte was written may have run: it was reset; others never left.
    fn broken(&mut self, net: &mut Net, id: ConnId) {
        let written = net.get(id).map_or(0, crate::net::Conn::written);
        for call in self.links.get_mut(&id).map(|l| std::mem::take(&mut l.calls)).unwrap_or_default() {
            let outcome = if call.end <= written { Outcome::Reset } else { Outcome::ConnectFailed };
            for part in call.parts {
                self.attempts.remove(&part.attempt);
                self.ended.push(Ended { attempt: part.attempt, outcome, value: None });
            }
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

//! Data nodes: connections to them, and the wires that they speak.
//!
//! A [`Pool`] carries calls on connections, as many on each as allowed; a [`Wire`] writes calls and reads answers.

pub mod frames;
mod link;
pub mod ogc;

use crate::core::{Dispatch, Value};
use crate::decide::descriptors::LINKS;
use crate::interface::{Micros, Outcome, ServerId, Time};
use crate::net::buffer::Buffer;
use crate::net::{ConnId, Denied, Net, Owner, Pumped, Timer};
use crate::stats::Fading;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use link::{Call, Greeting, Link, Out};

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
    /// What a new connection to a node that may stand still begins with, where the node answers that; no call is
    /// written before it has.
    fn greeting(&self) -> Option<Vec<u8>>;
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

/// A call that no descriptor was to be had for.
struct Parked<J> {
    server: ServerId,
    address: SocketAddr,
    parts: Vec<Dispatch<J>>,
    since: Time,
}

/// Why there is no connection for a call.
enum Closed {
    /// This process has no descriptor left for it.
    Ours,
    /// The node takes none, or holds too many that bring nothing.
    Theirs,
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

/// A connection on which nothing comes for this many usual answer times though a part is out, within these bounds,
/// is taken for mute; each one that is mute already doubles that for the others to the same node.
const MUTE: f64 = 8.0;
const MUTE_LEAST: Micros = 50_000;
const MUTE_MOST: Micros = 1_000_000;
/// How fast the usual answer time is learnt.
const USUAL_PACE: f64 = 0.02;
/// A call that finds no descriptor waits for one for so long: well under half of any aim, after which the module
/// would take its silence for the node's. Its parts are then told as never sent, and the module may choose anew.
const PARKED: Micros = 50_000;
/// After a connection was left or broke under a part, new ones to that node are greeted for so long.
const WARY: Micros = 10_000_000;
/// Lines that calls had to wait for a descriptor come this long apart at least.
const TOLD: Micros = 5_000_000;

/// Connections to all data nodes of one wire.
pub struct Pool<W: Wire> {
    wire: W,
    limits: Limits,
    links: HashMap<ConnId, Link<W>>,
    by_server: HashMap<ServerId, Vec<ConnId>>,
    /// The connection that each attempt is out on.
    attempts: HashMap<u64, ConnId>,
    /// Nodes whose new connections are greeted, and until when.
    wary: HashMap<ServerId, Time>,
    /// Calls that wait for a descriptor, oldest first.
    parked: VecDeque<Parked<W::Job>>,
    /// Calls that had to wait since that was last logged, and when it was.
    short: u64,
    told: Option<Time>,
    /// Usual time from a call to an answer.
    usual: Fading,
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
        let (usual, ended, log) = (Fading::default(), Vec::new(), Vec::new());
        let (wary, parked, short, told) = (HashMap::new(), VecDeque::new(), 0, None);
        let written = HashMap::new();
        Pool {
            wire,
            limits,
            links,
            by_server,
            attempts,
            wary,
            parked,
            short,
            told,
            usual,
            ended,
            written,
            log,
        }
    }

    /// New connections to this node are greeted until then: it has just started, or connections to it broke. A greeting
    /// is work for the node and, where each of many brokers opens many connections, a good part of all its work.
    pub fn beware(&mut self, server: ServerId, until: Time) {
        let at = self.wary.entry(server).or_insert(until);
        *at = until.max(*at);
    }

    /// This node drains or is gone: what still waits to leave for it is ended as never sent, so that the module may choose
    /// anew. Guards the rule on drains: a connection, a greeting or a descriptor may be waited for, for longer than it allows.
    pub fn hold_back(&mut self, server: ServerId) {
        let mut held = Vec::new();
        for id in self.by_server.get(&server).into_iter().flatten() {
            held.extend(self.links.get_mut(id).into_iter().flat_map(|l| l.waiting.drain(..)).flatten());
        }
        let (here, others) = std::mem::take(&mut self.parked).into_iter().partition(|c| c.server == server);
        self.parked = others;
        let here: VecDeque<Parked<W::Job>> = here;
        held.extend(here.into_iter().flat_map(|call| call.parts));
        held.iter().for_each(|p| _ = self.attempts.remove(&p.attempt));
        self.end_parts(&held, Outcome::Moot);
    }

    /// Forgets what is known of a node that is gone, and closes the connections to it that carry nothing.
    pub fn leave(&mut self, net: &mut Net, server: ServerId) {
        self.wary.remove(&server);
        self.close_idle(net, server);
    }

    /// Ends of attempts and log lines since the last time.
    pub fn take_ended(&mut self) -> (Vec<Ended>, Vec<String>) {
        (std::mem::take(&mut self.ended), std::mem::take(&mut self.log))
    }

    /// How many parts of each class were written whole to data nodes since the last time.
    pub fn take_written(&mut self) -> HashMap<usize, u64> {
        std::mem::take(&mut self.written)
    }

    /// Counts the calls whose last byte has been written.
    fn count_written(&mut self, net: &Net, id: ConnId) {
        let written = net.get(id).map_or(0, crate::net::Conn::written);
        let Some(link) = self.links.get_mut(&id) else { return };
        // They are written in order: those not counted yet are the last ones.
        for call in link.calls.iter_mut().rev().take_while(|c| !c.unwritten.is_empty()) {
            if call.end <= written {
                call.unwritten.drain(..).for_each(|class| *self.written.entry(class).or_default() += 1);
            }
        }
    }

    /// Idle connections are closed after this long: before the node does it, so that no call crosses its end.
    fn idle(&self) -> Micros {
        self.limits.idle / 5 * 4
    }

    /// Sends one call.
    pub fn send(
        &mut self,
        net: &mut Net,
        server: ServerId,
        address: SocketAddr,
        parts: Vec<Dispatch<W::Job>>,
    ) {
        let since = net.clock.now();
        let call = Parked { server, address, parts, since };
        // Those that wait already go first, but only a call that needs a new connection waits behind them.
        if let Err(call) = self.place(net, call) {
            self.short(net, since);
            net.wheel.set(since.plus(PARKED), Timer::Parked(W::OWNER));
            self.parked.push_back(call);
        }
    }

    /// Gives a call to a connection, or ends it if its node takes none; the call again if it needs a descriptor and
    /// there is none.
    fn place(&mut self, net: &mut Net, call: Parked<W::Job>) -> Result<(), Parked<W::Job>> {
        match self.room(net, call.server, call.address) {
            Ok(id) => {
                let Some(link) = self.links.get_mut(&id) else { return Ok(()) };
                self.attempts.extend(call.parts.iter().map(|p| (p.attempt, id)));
                link.waiting.push_back(call.parts);
                self.write(net, id);
                Ok(())
            }
            Err(Closed::Theirs) => {
                self.end_parts(&call.parts, Outcome::ConnectFailed);
                Ok(())
            }
            Err(Closed::Ours) => Err(call),
        }
    }

    fn end_parts(&mut self, parts: &[Dispatch<W::Job>], outcome: Outcome) {
        self.ended.extend(parts.iter().map(|p| Ended { attempt: p.attempt, outcome, value: None }));
    }

    /// Notes that a call has to wait for a descriptor. Guards the log, which would have thousands of such lines.
    fn short(&mut self, net: &Net, now: Time) {
        self.short += 1;
        if self.told.is_none_or(|at| now.since(at) >= TOLD) {
            let (count, why) = (self.short, net.why_short());
            self.log.push(format!("calls that had to wait for a descriptor: {count}; {why}"));
            (self.short, self.told) = (0, Some(now));
        }
    }

    /// Tends the calls that wait for a descriptor: in their order they get what has become free; those that have
    /// waited for too long are told as never sent.
    pub fn tend(&mut self, net: &mut Net) {
        let now = net.clock.now();
        while let Some(call) = self.parked.pop_front() {
            if let Err(call) = self.place(net, call) {
                self.parked.push_front(call);
                break;
            }
        }
        while self.parked.front().is_some_and(|c| now.since(c.since) >= PARKED) {
            let Some(call) = self.parked.pop_front() else { return };
            self.end_parts(&call.parts, Outcome::Moot);
        }
    }

    /// Closes so many idle connections, those unused for longest first: second ones to a node before only ones, whose
    /// loss costs the next call there a handshake. Tells how many were closed.
    pub fn yield_idle(&mut self, net: &mut Net, count: usize) -> usize {
        let idle = self.links.iter().filter(|(_, link)| link.idle());
        let mut idle: Vec<(bool, Time, ConnId)> = idle
            .filter_map(|(id, link)| {
                let only = self.by_server.get(&link.server).is_none_or(|known| known.len() < 2);
                Some((only, net.get(*id)?.used, *id))
            })
            .collect();
        idle.sort_unstable();
        idle.truncate(count);
        idle.iter().for_each(|&(.., id)| self.drop_link(net, id));
        idle.len()
    }

    /// Writes the calls that wait for a connection, while it takes them.
    fn write(&mut self, net: &mut Net, id: ConnId) {
        loop {
            let now = net.clock.now();
            let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else { return };
            if !conn.up || !conn.flushed() || link.greeting == Greeting::Sent {
                return;
            }
            if link.greeting == Greeting::Due {
                // Guards queries that end meanwhile: a node that has yet to accept the connection, or stands still,
                // would read their parts long after.
                let greeting = self.wire.greeting();
                link.greeting = if greeting.is_some() { Greeting::Sent } else { Greeting::Done };
                conn.send(&greeting.unwrap_or_default());
                if net.flush(id, false) != Pumped::Alive {
                    return self.broken(net, id);
                }
                continue;
            }
            let Some(mut parts) = link.waiting.pop_front() else { return };
            // Guards the rule on repeats: a connection that comes up late, or a node that is slow to answer its greeting, has
            // held this back for longer than the window bears.
            let waits = self.limits.connect + PARKED;
            let late = |p: &Dispatch<W::Job>| p.leave_by.is_some_and(|at| now > at.plus(waits));
            let (kept, over): (Vec<_>, Vec<_>) = parts.drain(..).partition(|p| !late(p));
            for part in over {
                self.attempts.remove(&part.attempt);
                self.ended.push(Ended { attempt: part.attempt, outcome: Outcome::Moot, value: None });
            }
            if kept.is_empty() {
                continue;
            }
            let parts = kept;
            let mut bytes = Vec::new();
            let names = self.wire.call(&parts, link.address, &mut bytes);
            let out =
                names.into_iter().zip(&parts).map(|(part, p)| Out { part, attempt: p.attempt }).collect();
            let unwritten = parts.iter().map(|p| p.class).collect();
            link.calls.push(Call { sent: now, end: conn.send(&bytes), parts: out, unwritten });
            let flushed = net.flush(id, false);
            self.count_written(net, id);
            if flushed != Pumped::Alive {
                return self.broken(net, id);
            }
        }
    }

    /// Notes which connections to a node are mute. Guards against those that fall silent: what is written to them is
    /// answered by nobody, however well the node is.
    fn listen(&mut self, net: &Net, server: ServerId) {
        let (now, known) = (net.clock.now(), self.by_server.get(&server).map_or(&[][..], Vec::as_slice));
        let mute = known.iter().filter(|id| self.links.get(id).is_some_and(|l| l.mute)).count();
        let usual = (self.usual.or(0.0) * MUTE) as Micros;
        let most = usual.clamp(MUTE_LEAST, MUTE_MOST) << mute.min(4);
        for id in known {
            if let (Some(link), Some(conn)) = (self.links.get_mut(id), net.get(*id)) {
                link.mute |= link.quiet(conn.heard, now) >= most;
            }
        }
    }

    /// Something came on a connection: it is not mute. Others to the same node that stay mute for a while after that
    /// are dead; closing them gives up what is out there, so that it is tried again before it is late.
    fn spoke(&mut self, net: &mut Net, id: ConnId) {
        let (now, Some(link)) = (net.clock.now(), self.links.get_mut(&id)) else { return };
        (link.mute, link.outdone, link.greeting) = (false, None, Greeting::Done);
        let server = link.server;
        if self.by_server.get(&server).is_none_or(|known| known.len() < 2) {
            return;
        }
        self.listen(net, server);
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            let Some(link) = self.links.get_mut(&id).filter(|l| l.mute) else { continue };
            if now.since(*link.outdone.get_or_insert(now)) < MUTE_LEAST {
                continue;
            }
            for out in link.calls.drain(..).flat_map(|c| c.parts) {
                self.attempts.remove(&out.attempt);
                self.ended.push(Ended { attempt: out.attempt, outcome: Outcome::Cancelled, value: None });
            }
            self.broken(net, id);
        }
    }

    /// A connection with room for a call: one that is up, one that is being opened, or a new one, for which an idle one
    /// to another node is closed if need be.
    fn room(&mut self, net: &mut Net, server: ServerId, address: SocketAddr) -> Result<ConnId, Closed> {
        self.listen(net, server);
        let (streams, known) = (self.limits.streams.max(1), self.by_server.entry(server).or_default());
        let fits = |id: &&ConnId| {
            let room =
                |l: &Link<W>| l.calls.len() + l.waiting.len() < streams && l.address == address && !l.mute;
            // One that does not take what was written is left to those that wait for it.
            self.links.get(id).is_some_and(room)
                && net.get(**id).is_some_and(|c| !c.ended && (!c.up || c.flushed()))
        };
        let up = |id: &&ConnId| net.get(**id).is_some_and(|c| c.up);
        // The oldest that is up, so that those opened for a short rush fall idle again.
        let mut open = known.iter().filter(fits);
        if let Some(&id) = open.clone().find(up).or_else(|| open.next()) {
            return Ok(id);
        }
        let mut connected = match known.len() < LINKS {
            true => net.connect(W::OWNER, address),
            false => Err(Denied::Failed(std::io::Error::other("too many connections to it"))),
        };
        if matches!(connected, Err(Denied::Lack(_))) && self.yield_idle(net, 1) > 0 {
            connected = net.connect(W::OWNER, address);
        }
        let known = self.by_server.entry(server).or_default();
        match connected {
            Ok(id) => {
                let (waiting, calls, settled) = (VecDeque::new(), Vec::new(), VecDeque::new());
                // Guards memory: a node that is gone may be entered once more by what still breaks there.
                let now = net.clock.now();
                self.wary.retain(|_, until| now < *until);
                // One beside others that are mute: the node itself may stand still.
                let mute = known.iter().any(|id| self.links.get(id).is_some_and(|l| l.mute));
                let wary = mute || self.wary.contains_key(&server);
                let greeting = if wary { Greeting::Due } else { Greeting::Done };
                let link = Link {
                    server,
                    address,
                    waiting,
                    calls,
                    greeting,
                    settled,
                    begun: None,
                    mute: false,
                    outdone: None,
                };
                known.push(id);
                self.links.insert(id, link);
                let at = net.clock.now().plus(self.limits.connect);
                net.wheel.set(at, Timer::Conn(id));
                Ok(id)
            }
            Err(denied) => {
                if known.is_empty() {
                    self.by_server.remove(&server);
                }
                match denied {
                    Denied::Lack(_) => Err(Closed::Ours),
                    Denied::Failed(e) => {
                        self.log.push(format!("connect to server {} failed: {e}", server.0));
                        Err(Closed::Theirs)
                    }
                }
            }
        }
    }

    /// Gives up an attempt: the node is told, unless its call never left.
    pub fn withdraw(&mut self, net: &mut Net, attempt: u64) {
        let Some(id) = self.attempts.remove(&attempt) else { return self.unpark(attempt) };
        if let Some(server) = self.links.get(&id).map(|l| l.server) {
            self.listen(net, server);
        }
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else { return };
        if link.keep_home(attempt) {
            return;
        }
        let is_it = |p: &Out<W::Name>| p.attempt == attempt;
        let Some(at) = link.calls.iter().position(|c| c.parts.iter().any(is_it)) else { return };
        let call = &mut link.calls[at];
        let Some(i) = call.parts.iter().position(is_it) else { return };
        let part = call.parts.remove(i).part;
        let (empty, partly) = (call.parts.is_empty(), call.end > conn.written());
        if empty {
            link.calls.remove(at);
        }
        // A call whose last byte has not left has not begun at the node, and with the connection's end it never does.
        if empty && partly && link.idle() {
            link.remember(part);
            return self.broken(net, id);
        }
        let told = self.wire.give_up(&part);
        link.remember(part);
        let Some(bytes) = told.filter(|_| !(link.mute && link.idle())) else { return self.broken(net, id) };
        conn.send(&bytes);
        if net.flush(id, false) != Pumped::Alive {
            self.broken(net, id);
        }
    }

    /// Takes back an attempt that has not left; `false`: its call has been written whole, or there is none such. What
    /// shares its call goes on.
    pub fn recall(&mut self, net: &mut Net, attempt: u64) -> bool {
        let Some(&id) = self.attempts.get(&attempt) else {
            let parked = self.is_parked(attempt);
            self.unpark(attempt);
            return parked;
        };
        let written = net.get(id).map_or(0, crate::net::Conn::written);
        let Some(link) = self.links.get_mut(&id) else { return false };
        if link.keep_home(attempt) {
            self.attempts.remove(&attempt);
            return true;
        }
        // The node has a part of its bytes: only the connection's end keeps the rest from it, where nothing else is out.
        let alone = matches!(&link.calls[..], [only] if only.end > written && only.parts.len() == 1);
        if !alone || !link.waiting.is_empty() {
            return false;
        }
        link.calls.clear();
        self.attempts.remove(&attempt);
        self.broken(net, id);
        true
    }

    /// Takes a part out of those that wait for a descriptor.
    fn unpark(&mut self, attempt: u64) {
        self.parked.iter_mut().for_each(|call| call.parts.retain(|p| p.attempt != attempt));
        self.parked.retain(|call| !call.parts.is_empty());
    }

    /// Whether an attempt still waits for a descriptor.
    #[must_use]
    pub fn is_parked(&self, attempt: u64) -> bool {
        self.parked.iter().flat_map(|call| &call.parts).any(|p| p.attempt == attempt)
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

    /// Reads and writes what a connection is ready for.
    pub fn ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.links.contains_key(&id) {
            return;
        }
        let (up, now) = (net.get(id).is_some_and(|c| c.up), net.clock.now());
        let pumped = net.pump(id, W::CEILING);
        self.count_written(net, id);
        let read = self.read(net, id);
        let done = net.get(id).is_none_or(|c| c.ended || c.input.bytes().len() >= W::CEILING);
        if up && net.get(id).is_some_and(|c| c.heard >= now) {
            self.spoke(net, id);
        }
        match read {
            Err(why) => self.spoilt(net, id, &why),
            Ok(last) if last || done || pumped != Pumped::Alive => self.broken(net, id),
            Ok(_) => {
                self.begun(net, id);
                self.write(net, id);
            }
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
            if let Some((attempt, _)) = link.settle(None) {
                self.attempts.remove(&attempt);
                self.ended.push(Ended { attempt, outcome: Outcome::Error, value: None });
            }
        }
        self.broken(net, id);
    }

    /// Takes in all whole answers; `true`: the connection can't be used again.
    fn read(&mut self, net: &mut Net, id: ConnId) -> Result<bool, String> {
        let now = net.clock.now();
        loop {
            let Some(conn) = net.get_mut(id) else { return Ok(true) };
            let ended = conn.ended;
            let Some(link) = self.links.get_mut(&id) else { return Ok(true) };
            let oldest = link.calls.first().and_then(|c| c.parts.first()).map(|p| &p.part);
            let Some(answer) = self.wire.answer(&mut conn.input, ended, oldest)? else { return Ok(false) };
            link.begun = None;
            match (link.settle(answer.part.as_ref()), answer.part) {
                (Some((attempt, sent)), _) => {
                    self.usual.add(now.since(sent) as f64, USUAL_PACE);
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
        if !conn.up || link.idle() && now.since(conn.used) >= idle {
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
        let Some(link) = self.links.get_mut(&id) else { return net.close(id) };
        let (server, carried) = (link.server, !link.idle() || link.mute);
        for attempt in link.waiting.drain(..).flatten().map(|p| p.attempt) {
            self.attempts.remove(&attempt);
            self.ended.push(Ended { attempt, outcome: Outcome::ConnectFailed, value: None });
        }
        for call in link.calls.drain(..) {
            let outcome = if call.end <= written { Outcome::Reset } else { Outcome::ConnectFailed };
            for part in call.parts {
                self.attempts.remove(&part.attempt);
                self.ended.push(Ended { attempt: part.attempt, outcome, value: None });
            }
        }
        if carried {
            self.beware(server, net.clock.now().plus(WARY));
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

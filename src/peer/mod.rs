//! Brokers' talk: a listener for other brokers, and connections to them. What is said to a peer
//! goes on a connection that was opened here, what it says comes on one that it opened: a way that
//! works in one direction alone is used in that one.
//!
//! It owns these connections and what waits for them. It promises: what waits for a peer is
//! bounded, what one may drop goes first; what comes is bounded too, in messages a second; a peer
//! that sends garbage, is of another cluster or version, never gets ready, or does not read is
//! closed with a line that says why; connections that failed are opened again at spread times, and
//! only if something is to be said.

pub mod consensus;
pub mod group;
mod queue;
mod wire;

use crate::decide::fleet::redial::Redial;
use crate::decide::fleet::Member;
use crate::interface::{Micros, Time};
use crate::net::{ConnId, ConnectError, Net, Owner, TransferProgress};
use crate::stats::SeededRng;
use queue::Queue;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use wire::{Greeting, Word};

/// Most connections that peers may hold here, and that are held to them, of which the one unused
/// for longest makes room. Each member speaks to some others in a second: with these a fleet of any
/// size is spoken to in turn.
pub const MOST: usize = 32;
/// A connection is up after this long or never.
const CONNECT: Micros = 500_000;
/// A peer that has connected says who it is, and a message that has begun is whole, after this long
/// or never.
const WHOLE: Micros = 2_000_000;
/// A peer that takes nothing of what was written for so long does not read.
const UNREAD: Micros = 5_000_000;
/// A connection on which nothing was said for so long is closed.
const IDLE: Micros = 10_000_000;
/// So many messages are taken in within a window, then reading rests: with some 5 us for each,
/// 2,000 a second take a hundredth of a core at most.
const BUDGET: u32 = 200;
const WINDOW: Micros = 100_000;
/// Bytes written to a connection before its peer has taken the last ones.
const AHEAD: usize = 16 * 1024;

/// What was said to this broker.
#[derive(Clone, Debug, PartialEq)]
pub struct Heard {
    /// By whom, as it greeted.
    pub from: Member,
    /// What.
    pub what: What,
}

/// See [`Heard`].
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// It has opened a connection: what it said on a former one may be lost.
    Greeting,
    /// For `decide::fleet`.
    Fleet(Vec<u8>),
    /// For [`consensus`].
    Consensus(Vec<u8>),
}

/// A connection that a peer has opened.
struct In {
    from: Option<Member>,
    /// When its greeting or its present message was begun.
    begun: Option<Time>,
}

/// What is said to a peer.
#[derive(Default)]
struct Out {
    conn: Option<ConnId>,
    address: Option<SocketAddr>,
    queue: Queue,
    redial: Redial,
    /// When the connection was begun.
    since: Time,
    /// That it can't be reached has been logged.
    told: bool,
}

/// Figures of the talk.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Messages and bytes said and heard.
    pub said: u64,
    /// See `said`.
    pub said_bytes: u64,
    /// See `said`.
    pub heard: u64,
    /// Messages that were dropped, for want of room or of a way.
    pub dropped: u64,
}

/// Brokers' talk.
pub struct Talk {
    greeting: Greeting,
    /// Ways to peers by name that differ from what they say of themselves.
    ways: BTreeMap<String, SocketAddr>,
    ins: HashMap<ConnId, In>,
    outs: BTreeMap<String, Out>,
    rng: SeededRng,
    /// Messages taken in since the window began; connections that rest until it ends.
    window: Time,
    taken: u32,
    resting: Vec<ConnId>,
    look_at: Time,
    figures: Figures,
    log: Vec<String>,
}

impl Talk {
    /// The talk of `own` in a cluster; `ways`: where some peers are reached, whatever they say of
    /// themselves.
    #[must_use]
    pub fn new(
        now: Time,
        cluster: String,
        own: Member,
        ways: BTreeMap<String, SocketAddr>,
        seed: u64,
    ) -> Talk {
        Talk {
            greeting: Greeting { cluster, from: own },
            ways,
            ins: HashMap::new(),
            outs: BTreeMap::new(),
            rng: SeededRng(fastrand::Rng::with_seed(seed ^ 0x7065_6572)),
            window: now,
            taken: 0,
            resting: Vec::new(),
            look_at: now.plus(WHOLE / 4),
            figures: Figures::default(),
            log: Vec::new(),
        }
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Its figures since the start.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// This broker is known as that from now on: connections opened later say so.
    pub fn renew(&mut self, own: Member) {
        self.greeting.from = own;
    }

    /// When [`Talk::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let rested = (!self.resting.is_empty()).then(|| self.window.plus(WINDOW));
        let dial = self
            .outs
            .values()
            .filter(|o| o.conn.is_none() && !o.queue.is_empty())
            .map(|o| o.redial.at());
        rested.into_iter().chain(dial).fold(self.look_at, Time::min)
    }

    /// Peers have connected.
    pub fn accepted(&mut self, net: &mut Net, ids: Vec<ConnId>) {
        let now = net.clock.now();
        self.ins.extend(ids.into_iter().map(|id| {
            (
                id,
                In {
                    from: None,
                    begun: Some(now),
                },
            )
        }));
    }

    /// Says something of the fleet to a peer, now or once there is a way; `keep`: other words are
    /// dropped for it. `false`: there is no room for it.
    pub fn say(&mut self, net: &mut Net, to: &Member, bytes: Vec<u8>, keep: bool) -> bool {
        self.speak(net, to, &Word::Fleet(bytes), keep)
    }

    /// The same with something of the consensus. It may be dropped: the log says again what was
    /// lost.
    pub fn say_consensus(&mut self, net: &mut Net, to: &Member, bytes: Vec<u8>) -> bool {
        self.speak(net, to, &Word::Consensus(bytes), false)
    }

    fn speak(&mut self, net: &mut Net, to: &Member, word: &Word, keep: bool) -> bool {
        let Some(message) = wire::message(word) else {
            return false;
        };
        let out = self.outs.entry(to.name.clone()).or_default();
        out.address = Some(self.ways.get(&to.name).copied().unwrap_or(to.address));
        let before = out.queue.dropped;
        let taken = out.queue.push(message, keep);
        self.figures.dropped += out.queue.dropped - before;
        self.pour(net, &to.name);
        taken
    }

    /// Writes what waits for a peer, as far as it takes it, and opens a connection if there is
    /// none.
    fn pour(&mut self, net: &mut Net, name: &str) {
        let now = net.clock.now();
        let Some(out) = self.outs.get_mut(name) else {
            return;
        };
        if out.queue.is_empty() {
            return;
        }
        let Some(id) = out.conn else {
            if out.redial.may(now) {
                self.dial(net, name);
            }
            return;
        };
        let Some(conn) = net.get_mut(id) else {
            return self.lost(net, name, "it broke");
        };
        if !conn.up || !conn.flushed() {
            return;
        }
        let mut written = 0;
        while written < AHEAD {
            let Some(message) = out.queue.pop() else {
                break;
            };
            written += message.len();
            self.figures.said += 1;
            self.figures.said_bytes += message.len() as u64;
            conn.send(&message);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            self.lost(net, name, "it broke");
        }
    }

    fn dial(&mut self, net: &mut Net, name: &str) {
        let Some(address) = self.outs.get(name).and_then(|out| out.address) else {
            return;
        };
        let mut connected = net.connect(Owner::PeerOut, address);
        if matches!(connected, Err(ConnectError::NoDescriptor(_))) && self.make_room(net) {
            connected = net.connect(Owner::PeerOut, address);
        }
        match connected {
            Ok(id) => {
                let out = self.outs.entry(name.into()).or_default();
                (out.conn, out.since) = (Some(id), net.clock.now());
                if let Some(conn) = net.get_mut(id) {
                    conn.send(&wire::greeting(&self.greeting));
                }
                if net.flush(id, false) != TransferProgress::Alive {
                    self.lost(net, name, "it broke");
                }
            }
            Err(denied) => self.lost(net, name, &denied.to_string()),
        }
    }

    /// Closes the connection to a peer that was unused for longest; `false`: there is none.
    fn make_room(&mut self, net: &mut Net) -> bool {
        let open = self.outs.values_mut().filter(|o| o.conn.is_some());
        let oldest =
            open.min_by_key(|o| o.conn.and_then(|id| net.get(id)).map(|c| c.last_active_at));
        let closed = oldest.and_then(|out| out.conn.take());
        closed.into_iter().for_each(|id| net.close(id));
        closed.is_some()
    }

    /// A way to a peer is lost: what may be dropped is, since it is about a moment that has passed.
    fn lost(&mut self, net: &mut Net, name: &str, why: &str) {
        let now = net.clock.now();
        let Some(out) = self.outs.get_mut(name) else {
            return;
        };
        out.conn.take().into_iter().for_each(|id| net.close(id));
        out.redial.on_failure(now, &mut self.rng);
        let before = out.queue.dropped;
        out.queue.forget();
        self.figures.dropped += out.queue.dropped - before;
        // Guards the log: a peer that is away is said to be once.
        if !std::mem::replace(&mut out.told, true) {
            self.log
                .push(format!("peer {name}: can't be spoken to: {why}"));
        }
    }

    /// A connection is ready; tells what was heard.
    pub fn ready(&mut self, net: &mut Net, id: ConnId) -> Vec<Heard> {
        if self.ins.contains_key(&id) {
            return self.listen(net, id);
        }
        let name = self
            .outs
            .iter()
            .find(|(_, o)| o.conn == Some(id))
            .map(|(name, _)| name.clone());
        let Some(name) = name else {
            net.close(id);
            return Vec::new();
        };
        let progress = net.transfer(id, wire::LONGEST);
        // A peer says nothing here but why it does not listen.
        let said = net.get(id).and_then(|c| {
            wire::next(c.input.bytes())
                .ok()
                .flatten()
                .map(|m| wire::read(m.0))
        });
        let ended = net.get(id).is_none_or(|c| c.ended);
        match (said, progress) {
            (Some(Ok(Word::Refused(why))), _) => {
                self.lost(net, &name, &format!("it refused: {why}"))
            }
            (Some(_), _) => self.lost(net, &name, "it said what makes no sense"),
            (None, TransferProgress::NeverConnected) => self.lost(net, &name, "it never came up"),
            (None, TransferProgress::Broken) => self.lost(net, &name, "it broke"),
            (None, TransferProgress::Alive) if ended => self.lost(net, &name, "it ended"),
            (None, TransferProgress::Alive) => {
                self.pour(net, &name);
            }
        }
        Vec::new()
    }

    /// Reads what a peer says.
    fn listen(&mut self, net: &mut Net, id: ConnId) -> Vec<Heard> {
        let (now, mut heard) = (net.clock.now(), Vec::new());
        let progress = net.transfer(id, 4 + wire::LONGEST);
        if now.since(self.window) >= WINDOW {
            (self.window, self.taken) = (now, 0);
        }
        loop {
            if self.taken >= BUDGET {
                // Guards the core: what comes faster waits unread, at its sender in the end.
                self.resting.push(id);
                net.flush(id, true);
                return heard;
            }
            let (Some(conn), Some(state)) = (net.get_mut(id), self.ins.get_mut(&id)) else {
                break;
            };
            let (content, used) = match wire::next(conn.input.bytes()) {
                Ok(Some((content, used))) => (content, used),
                Ok(None) => {
                    let waits = state.from.is_none() || !conn.input.is_empty();
                    state.begun = waits.then(|| state.begun.unwrap_or(now));
                    break;
                }
                Err(why) => {
                    self.refuse(net, id, &why);
                    return heard;
                }
            };
            self.taken += 1;
            let read = match &state.from {
                None => wire::read_greeting(content, &self.greeting.cluster).map(|g| {
                    heard.push(Heard {
                        from: g.from.clone(),
                        what: What::Greeting,
                    });
                    state.from = Some(g.from);
                    None
                }),
                Some(from) => wire::read(content).map(|word| Some((from.clone(), word))),
            };
            conn.input.consume(used);
            state.begun = None;
            match read {
                Ok(Some((from, Word::Fleet(bytes)))) => {
                    self.figures.heard += 1;
                    heard.push(Heard {
                        from,
                        what: What::Fleet(bytes),
                    });
                }
                Ok(Some((from, Word::Consensus(bytes)))) => {
                    self.figures.heard += 1;
                    heard.push(Heard {
                        from,
                        what: What::Consensus(bytes),
                    });
                }
                Ok(None) => {}
                Ok(Some((_, Word::Refused(_)))) => {
                    self.refuse(net, id, "a message that has no place here");
                    return heard;
                }
                Err(why) => {
                    self.refuse(net, id, &why);
                    return heard;
                }
            }
        }
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|c| c.ended) {
            self.ins.remove(&id);
            net.close(id);
        }
        heard
    }

    /// Ends a connection that a peer opened, and says why, to it and in the log.
    fn refuse(&mut self, net: &mut Net, id: ConnId, why: &str) {
        let Some(state) = self.ins.remove(&id) else {
            return;
        };
        let who = state
            .from
            .map_or_else(|| "one that did not greet".into(), |m| m.name);
        self.log
            .push(format!("peer {who}: its connection is closed: {why}"));
        if let (Some(conn), Some(told)) =
            (net.get_mut(id), wire::message(&Word::Refused(why.into())))
        {
            conn.send(&told);
            // As much as goes at once: it is not waited for.
            net.flush(id, true);
        }
        net.close(id);
    }

    /// Time has come: reading goes on, peers are called again, connections whose time is over are
    /// closed. Tells what was heard on those that rested.
    pub fn on_time(&mut self, net: &mut Net) -> Vec<Heard> {
        let (now, mut heard) = (net.clock.now(), Vec::new());
        if now.since(self.window) >= WINDOW {
            for id in std::mem::take(&mut self.resting) {
                heard.extend(self.listen(net, id));
            }
        }
        let waiting = self
            .outs
            .iter()
            .filter(|(_, o)| o.conn.is_none() && !o.queue.is_empty());
        let waiting: Vec<String> = waiting.map(|(name, _)| name.clone()).collect();
        waiting.iter().for_each(|name| self.pour(net, name));
        if now >= self.look_at {
            self.look_at = now.plus(WHOLE / 4);
            self.look(net, now);
        }
        heard
    }

    fn look(&mut self, net: &mut Net, now: Time) {
        let slow = |s: &In| s.begun.is_some_and(|at| now.since(at) >= WHOLE);
        let slow = self
            .ins
            .iter()
            .filter(|(id, s)| slow(s) && !self.resting.contains(id));
        for id in slow.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.refuse(net, id, "a message that never becomes whole");
        }
        let gone: Vec<ConnId> = self
            .ins
            .keys()
            .filter(|id| net.get(**id).is_none())
            .copied()
            .collect();
        gone.iter().for_each(|id| drop(self.ins.remove(id)));
        for name in self.outs.keys().cloned().collect::<Vec<_>>() {
            let Some(out) = self.outs.get_mut(&name) else {
                continue;
            };
            let Some(conn) = out.conn.and_then(|id| net.get(id)) else {
                // Guards memory: one that nothing is said to any more is forgotten once its waits
                // are over.
                if out.queue.is_empty() && out.redial.may(now) {
                    self.outs.remove(&name);
                }
                continue;
            };
            let quiet = now.since(conn.last_active_at);
            // Guards peers that take connections and end them: only one that lasts counts as a way.
            if conn.up && conn.flushed() && now.since(out.since) >= WHOLE {
                out.redial.on_success();
                if std::mem::take(&mut out.told) {
                    self.log
                        .push(format!("peer {name}: can be spoken to again"));
                }
            }
            match (conn.up, conn.flushed()) {
                (false, _) if quiet >= CONNECT => self.lost(net, &name, "it never came up"),
                (true, false) if quiet >= UNREAD => self.lost(net, &name, "it reads nothing"),
                (true, true) if quiet >= IDLE => {
                    out.conn.take().into_iter().for_each(|id| net.close(id))
                }
                _ => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;

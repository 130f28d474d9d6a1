//! Connections to model servers: one request at a time on each.
//!
//! It owns every connection to a server. It promises:
//! - an answer is given out only for the request that is out on its connection, and only if it
//!   bears that request's `Attempt-Id`;
//! - a connection is used again only after a whole, framed answer with nothing behind it, and
//!   closed after anything odd;
//! - a request that may not run twice is written only on a connection that is new or was used a
//!   moment ago;
//! - an attempt is told as never sent only while no byte of its request has been given to the
//!   system;
//! - nothing is sent to a server that drains or is gone, however long the attempt had waited.

mod pool;
mod reading;

use super::ids::AttemptId;
use super::program::{micros, Net, Timer, SERVER_USER_TIMEOUT};
use super::request::{ClientRequest, Send};
use super::response::{ResponseHead, ResponseReader};
use super::servers::Endpoint;
use super::tenants::Sender;
use lichenswitch_event_stream::Scanner;
use lichenswitch_interface::{Micros, Outcome, ServerId, Time};
use lichenswitch_net::{ConnId, TransferProgress};
use reading::Taken;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Most bytes read ahead of a server at a time.
const CEILING: usize = 64 * 1_024;
/// A connection that is not up after this long never comes up (microseconds). Links within a region
/// take milliseconds; a lost opening packet is sent again after a second.
const CONNECT: Micros = 1_000_000;
/// How long a connection may have rested before a request that may not run twice is written on it
/// (microseconds). Servers may forget idle connections without a word; those closed sooner than
/// this tell no time in whole seconds either.
const FRESH: Micros = 400_000;
/// A connection whose server told no time is used again within this (microseconds): times under a
/// second are not told.
const UNTOLD_IDLE: Micros = 500_000;
/// Share of the time told by a server for which its idle connections are used.
const TOLD_SHARE: f64 = 0.75;
/// How long an attempt waits where all connections to its server are in use (microseconds).
const WAIT: Micros = 100_000;
/// An answer that is not a stream is passed on whole up to this length, and as it comes beyond it
/// (bytes).
const MAX_WHOLE: usize = 256 * 1_024;
/// A longer body may find no room at a server that has not read its beginning yet (bytes): half of
/// what systems give a connection. A server that is only silent is waited for, also one that
/// answers before it has read all: until its answer is whole nothing but the request's time ends
/// such a connection.
const LONG_BODY: usize = 32 * 1_024;
/// Most bytes of one event.
const MAX_EVENT: usize = 256 * 1_024;

/// One attempt to be made.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Names it.
    pub id: AttemptId,
    /// Its server.
    pub server: ServerId,
    /// Where that is.
    pub endpoint: Endpoint,
    /// The request.
    pub request: Rc<ClientRequest>,
    /// When the time of the request is over.
    pub deadline: Time,
    /// It may run more than once.
    pub idempotent: bool,
    /// Rank of its route, 0 to 9; 0 is the most urgent.
    pub priority: u8,
    /// A stream goes on behind this event.
    pub resume_after: Option<Vec<u8>>,
    /// Who sent the request.
    pub sender: Option<Rc<Sender>>,
    /// Connections to that server that this router may have.
    pub max_connections: usize,
}

impl Attempt {
    /// Whether its server's system may have no room for all of it.
    fn has_long_body(&self) -> bool {
        self.request.body.len() > LONG_BODY
    }
}

/// A server's answer, whole.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Answer {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// A part of an answer that is passed on as it comes; of a stream of events whole events alone.
#[derive(Debug, Default, Clone, PartialEq)]
pub(super) struct Part {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The id of the last event so far.
    pub last_event_id: Option<Vec<u8>>,
}

/// What became of an attempt.
#[derive(Debug)]
pub(super) enum ServerEvent {
    /// It was answered, whole.
    Answered(AttemptId, Answer),
    /// An answer has begun that is passed on as it comes: its head, its length where that is told,
    /// and its first part.
    Begun(AttemptId, Box<ResponseHead>, Option<u64>, Part),
    /// More of it.
    More(AttemptId, Part),
    /// It is complete, with these bytes.
    Completed(AttemptId, Vec<u8>),
    /// It ended without a complete answer.
    Failed(AttemptId, Outcome),
}

/// How the body of the answer that is being read is treated.
#[derive(Debug)]
enum Body {
    /// The head has not come.
    None,
    /// Gathered until it is whole.
    Whole(Box<ResponseHead>, Vec<u8>),
    /// A stream of events; the head until the first event has come.
    Events(Option<Box<ResponseHead>>, Box<Scanner>),
    /// Passed on as it comes.
    Passed,
}

/// The request that is out on a connection.
#[derive(Debug)]
struct Current {
    attempt: Attempt,
    /// Bytes written on the connection before it, and with it.
    begins: u64,
    ends: u64,
    reader: ResponseReader,
    body: Body,
    /// The answer began before the request was written whole.
    early: bool,
}

#[derive(Debug)]
enum State {
    /// Being opened for this attempt.
    Opening(Box<Attempt>),
    Busy(Box<Current>),
    /// Since then, and of use until then.
    Idle(Time, Time),
}

struct Link {
    server: ServerId,
    state: State,
    /// A timer is set that fires then at the latest.
    timer: Option<Time>,
}

/// All connections to servers.
#[derive(Default)]
pub(super) struct ServerConnections {
    links: HashMap<ConnId, Link>,
    by_attempt: HashMap<AttemptId, ConnId>,
    /// Connections of each server, whatever they do.
    by_server: HashMap<ServerId, Vec<ConnId>>,
    waiting: HashMap<ServerId, VecDeque<Attempt>>,
    events: Vec<ServerEvent>,
}

impl ServerConnections {
    /// What became of attempts since the last time.
    pub(super) fn take_events(&mut self) -> Vec<ServerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Whether something became of an attempt since then.
    #[must_use]
    pub(super) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Makes an attempt.
    pub(super) fn send(&mut self, net: &mut Net, attempt: Attempt) {
        if let Some(id) = self.idle_connection(net, &attempt) {
            return self.write(net, id, attempt);
        }
        let open = self.by_server.get(&attempt.server).map_or(0, Vec::len);
        if open >= attempt.max_connections && self.close_one_idle(net, attempt.server).is_none() {
            return self.wait(net, attempt);
        }
        self.open(net, attempt);
    }

    /// Gives an attempt up: its server sees the connection end. Nothing is told of it any more.
    /// `true`: not a byte of it has left.
    pub(super) fn withdraw(&mut self, net: &mut Net, id: AttemptId) -> bool {
        if let Some(connection) = self.by_attempt.remove(&id) {
            let opening = matches!(self.state(connection), Some(State::Opening(_)));
            self.close(net, connection);
            return opening;
        }
        self.take_waiting(id)
    }

    /// A server takes nothing new: what has not left for it is told as never sent, and its idle
    /// connections are closed.
    pub(super) fn hold_back(&mut self, net: &mut Net, server: ServerId) {
        for attempt in self.waiting.remove(&server).unwrap_or_default() {
            self.fail(attempt.id, Outcome::Moot);
        }
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            match self.state(id) {
                Some(State::Opening(attempt)) => {
                    let attempt = attempt.id;
                    self.fail(attempt, Outcome::Moot);
                    self.close(net, id);
                }
                Some(State::Idle(..)) => self.close(net, id),
                Some(State::Busy(_)) | None => {}
            }
        }
    }

    /// Closes the connections to a server that have rested: they may have been dropped unseen.
    pub(super) fn close_idle(&mut self, net: &mut Net, server: ServerId) {
        let now = net.clock.now();
        for id in self.by_server.get(&server).cloned().unwrap_or_default() {
            if matches!(self.state(id), Some(State::Idle(since, _)) if now.since(*since) > FRESH) {
                self.close(net, id);
            }
        }
    }

    /// Reading of an attempt's answer rests, since its client is slow, or goes on.
    pub(super) fn pause(&mut self, net: &mut Net, id: AttemptId, on: bool) {
        let Some(&connection) = self.by_attempt.get(&id) else {
            return;
        };
        if net.pause(connection, on) != TransferProgress::Alive {
            self.broken(net, connection);
        }
    }

    /// Reads and writes what a connection is ready for.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.links.contains_key(&id) {
            return net.close(id);
        }
        let progress = net.transfer(id, CEILING);
        match self.state(id) {
            Some(State::Opening(_)) => self.opened(net, id, &progress),
            // Nothing is due: whatever comes belongs to nobody, and an end is an end.
            Some(State::Idle(..)) if progress == TransferProgress::Alive && is_quiet(net, id) => {}
            Some(State::Idle(..)) => self.close(net, id),
            Some(State::Busy(_)) => self.read(net, id, &progress),
            None => {}
        }
    }

    /// A connection's timer: it should be up by now, or may have rested for too long.
    pub(super) fn timer(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.timer = link.timer.filter(|at| *at > now);
        match &link.state {
            State::Opening(_) => self.opened(net, id, &TransferProgress::NeverConnected),
            State::Idle(_, until) if *until <= now => self.close(net, id),
            State::Idle(_, until) => {
                let until = *until;
                self.arm(net, id, until);
            }
            State::Busy(_) => {}
        }
    }

    /// An attempt has waited for a connection for long enough.
    pub(super) fn waited(&mut self, id: AttemptId) {
        if self.take_waiting(id) {
            self.fail(id, Outcome::Moot);
        }
    }

    fn state(&self, id: ConnId) -> Option<&State> {
        self.links.get(&id).map(|link| &link.state)
    }

    fn fail(&mut self, id: AttemptId, outcome: Outcome) {
        self.by_attempt.remove(&id);
        self.events.push(ServerEvent::Failed(id, outcome));
    }

    /// Takes an attempt out of those that wait; `false`: it is none of them.
    fn take_waiting(&mut self, id: AttemptId) -> bool {
        let before = self.waiting.values().map(VecDeque::len).sum::<usize>();
        self.waiting
            .values_mut()
            .for_each(|queue| queue.retain(|attempt| attempt.id != id));
        self.waiting.retain(|_, queue| !queue.is_empty());
        self.waiting.values().map(VecDeque::len).sum::<usize>() < before
    }

    /// Sets a connection's timer, where none is set that fires before.
    fn arm(&mut self, net: &mut Net, id: ConnId, at: Time) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        if link.timer.is_none_or(|set| at < set) {
            link.timer = Some(at);
            net.wheel.set(at, Timer::Server(id));
        }
    }

    /// A connection has come up, or never will.
    fn opened(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let up = net.get(id).is_some_and(|conn| conn.up);
        if *progress == TransferProgress::Alive && !up {
            return;
        }
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let now = net.clock.now();
        let State::Opening(attempt) = std::mem::replace(&mut link.state, State::Idle(now, now))
        else {
            return;
        };
        // A server that speaks before it was asked speaks to nobody.
        if *progress == TransferProgress::Alive && is_quiet(net, id) {
            return self.write(net, id, *attempt);
        }
        self.fail(attempt.id, Outcome::ConnectFailed);
        self.close(net, id);
    }

    /// Writes a request on a connection that is up and carries nothing.
    fn write(&mut self, net: &mut Net, id: ConnId, attempt: Attempt) {
        let now = net.clock.now();
        let left = Duration::from_micros(attempt.deadline.since(now));
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
            return self.fail(attempt.id, Outcome::Moot);
        };
        if left < Duration::from_millis(1) {
            // The server would find its time over.
            link.state = State::Idle(now, now);
            self.fail(attempt.id, Outcome::Moot);
            return self.close(net, id);
        }
        let send = Send {
            left,
            instance: &attempt.endpoint.instance,
            priority: attempt.priority,
            resume_after: attempt.resume_after.as_deref(),
            sender: attempt.sender.as_deref(),
        };
        if attempt.has_long_body() {
            conn.set_user_timeout(left);
        }
        let mut bytes = Vec::new();
        attempt.request.encode(&send, &mut bytes);
        let begins = conn.written();
        conn.send(&bytes);
        let ends = conn.send(&attempt.request.body);
        let reader = ResponseReader::new(&attempt.request);
        let (attempt_id, body) = (attempt.id, Body::None);
        link.state = State::Busy(Box::new(Current {
            attempt,
            begins,
            ends,
            reader,
            body,
            early: false,
        }));
        self.by_attempt.insert(attempt_id, id);
        if net.flush(id, false) != TransferProgress::Alive {
            self.broken(net, id);
        }
    }

    /// Reads what has come for the request that is out.
    fn read(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let broken = *progress != TransferProgress::Alive;
        loop {
            let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
                return;
            };
            let State::Busy(current) = &mut link.state else {
                return;
            };
            current.early |= !conn.input.is_empty() && conn.written() < current.ends;
            // The end of a connection is the end of an answer only if the connection ended in
            // order.
            let ended = conn.ended && !broken;
            match current.reader.read(&mut conn.input, ended) {
                Ok(Some(piece)) => match current.take(piece) {
                    Taken::Nothing => {}
                    Taken::Event(event) => self.events.push(event),
                    Taken::Whole(event) => {
                        self.events.push(event);
                        return self.finished(net, id);
                    }
                    Taken::Odd => return self.broken(net, id),
                },
                Ok(None) => break,
                Err(_) => return self.broken(net, id),
            }
        }
        let over = net.get(id).is_none_or(|conn| conn.ended);
        if broken || over {
            return self.broken(net, id);
        }
        // Reading may have rested at the ceiling.
        if net.flush(id, false) != TransferProgress::Alive {
            self.broken(net, id);
        }
    }

    /// The answer is whole: the connection rests for the next request, unless something about it
    /// was odd.
    fn finished(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get(id)) else {
            return;
        };
        let State::Busy(current) = std::mem::replace(&mut link.state, State::Idle(now, now)) else {
            return;
        };
        self.by_attempt.remove(&current.attempt.id);
        let clean = conn.input.is_empty()
            && !conn.ended
            && !current.early
            && conn.written() == current.ends;
        let told = current
            .reader
            .idle_time()
            .map(|told| micros(told.mul_f64(TOLD_SHARE)));
        let keep = told.unwrap_or(UNTOLD_IDLE);
        if !clean || !current.reader.keeps_connection() || keep == 0 {
            return self.close(net, id);
        }
        link.state = State::Idle(now, now.plus(keep));
        let server = link.server;
        if current.attempt.has_long_body() {
            conn.set_user_timeout(SERVER_USER_TIMEOUT);
        }
        if let Some(next) = self.next_waiting(server) {
            return self.write(net, id, next);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            return self.close(net, id);
        }
        self.arm(net, id, now.plus(keep));
    }

    /// The connection broke, or brought what is no answer to its request.
    fn broken(&mut self, net: &mut Net, id: ConnId) {
        let written = net.get(id).map_or(u64::MAX, |conn| conn.written());
        if let Some(State::Busy(current)) = self.state(id) {
            // Once the first byte may have gone the request may have run.
            let outcome = if written <= current.begins {
                Outcome::ConnectFailed
            } else {
                Outcome::Reset
            };
            let attempt = current.attempt.id;
            self.fail(attempt, outcome);
        }
        self.close(net, id);
    }
}

/// Nothing has come on a connection, and it has not ended.
fn is_quiet(net: &Net, id: ConnId) -> bool {
    net.get(id)
        .is_some_and(|conn| conn.input.is_empty() && !conn.ended)
}

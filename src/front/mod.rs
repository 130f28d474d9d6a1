//! Clients: their connections, and the fronts that read their requests and word their answers.
//!
//! [`Sessions`] serves HTTP on connections; a [`Front`] says what a request means.

pub mod ogc;
pub mod platform;

use crate::core::{Core, Refusal, Reply, Request};
use crate::http::{self, Parsed, Response};
use crate::interface::{Micros, QueryId, Time};
use crate::net::{Conn, ConnId, Net, Owner, Timer, TransferProgress};
use lichenswitch_management::quiesce::QuiesceStage;
use std::collections::HashMap;

/// What a front makes of a request.
pub enum Verdict<J, C> {
    /// It is answered at once.
    Reply(Response),
    /// It is a query; the context comes back with its answer.
    Take(Box<Request<J>>, C),
}

/// Reads requests and words answers.
pub trait Front {
    /// What the upstream has to know of a query.
    type Job;
    /// What the front has to know to word the answer.
    type Context;
    /// What a request means.
    fn read(&mut self, now: Time, request: &http::Request) -> Verdict<Self::Job, Self::Context>;
    /// Words the refusal of a query that was not taken.
    fn refused(&self, refusal: Refusal) -> Response;
    /// Words the final answer of a query.
    fn format_reply(&mut self, context: Self::Context, reply: Reply) -> Response;
    /// Words the answer to what can't be read.
    fn malformed(&self, status: u16, reason: &str) -> Response;
    /// Whether the broker is about to end.
    fn stop(&mut self);
    /// Whether clients are sent away. A front that tells whether it is ready says that it is not
    /// while they are.
    fn send_away(&mut self, _away: bool) {}
    /// A list of data nodes is here that may be acted on: clients may come. Until then a front that
    /// tells whether it is ready says that it is not.
    fn listed(&mut self) {}
}

/// Most bytes held of a client's requests: a body in small chunks is larger on the wire than in
/// memory.
const MAX_BUFFERED_BYTES: usize = http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES;
/// A request must have arrived whole so long after its first byte; the first one, after its
/// connection.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a client may take to end its side once the last answer is written.
const LINGER_TIMEOUT: Micros = 3_000_000;
/// The same while the broker ends: it may be killed 0.2 s after the last moment of an answer.
const SHUTDOWN_LINGER_TIMEOUT: Micros = 400_000;
/// A client that takes nothing of an answer for so long has gone.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// A connection between requests is closed after this long.
const IDLE_TIMEOUT: Micros = 30_000_000;
/// How often all connections are looked at.
const SWEEP_INTERVAL: Micros = 100_000;
/// Where many are open, a connection that has sent nothing, or between requests, may go after this
/// long, and one whose request is still arriving, or that lingers, after the second.
const EVICTABLE_AFTER: Micros = 100_000;
const BUSY_EVICTABLE_AFTER: Micros = 500_000;

#[derive(Debug, PartialEq)]
enum State {
    /// Between requests, or in the midst of one that is still arriving.
    Reading,
    /// A query is held; the flags: keep the connection after it, and it was a HEAD request.
    Waiting(QueryId, bool, bool),
    /// The last answer is being written.
    Closing,
    /// The last answer is written: reads on to the client's end, so that it is not lost to a reset.
    Lingering,
}

struct Session {
    state: State,
    /// When it came, the last answer was written, or the first byte of the next request came.
    since: Time,
    /// A whole request has come on it.
    has_sent_request: bool,
    /// `100 Continue` was sent for the request that is arriving.
    continued: bool,
}

/// What becomes of a connection that was looked at.
enum SessionAction {
    Keep,
    /// Its request took too long to arrive: the client is told so.
    RejectLate,
    /// It rests, and ends without a loss.
    HalfClose,
    Close,
}

impl Session {
    /// What its time limits say. Guards descriptors against clients that send nothing, never finish
    /// a request, never read an answer or never come back.
    fn action_at(&self, conn: &Conn, now: Time) -> SessionAction {
        let (age, unread) = (
            now.since(self.since),
            now.since(conn.last_active_at) >= WRITE_TIMEOUT,
        );
        let closes = match self.state {
            State::Waiting(..) => false,
            State::Closing => unread,
            State::Lingering => age >= LINGER_TIMEOUT,
            State::Reading if !conn.flushed() => unread,
            State::Reading if !conn.input.is_empty() && age >= REQUEST_TIMEOUT => {
                return SessionAction::RejectLate
            }
            State::Reading if !conn.input.is_empty() => false,
            State::Reading
                if age
                    >= if self.has_sent_request {
                        IDLE_TIMEOUT
                    } else {
                        REQUEST_TIMEOUT
                    } =>
            {
                return SessionAction::HalfClose
            }
            State::Reading => false,
        };
        if closes {
            SessionAction::Close
        } else {
            SessionAction::Keep
        }
    }

    /// How soon it goes where many are open; `None`: it stays. Those that never asked go first.
    fn eviction_key(&self, conn: &Conn, now: Time) -> Option<(bool, Time)> {
        let between = self.state == State::Reading && conn.input.is_empty();
        let stays = matches!(self.state, State::Waiting(..) | State::Closing) || !conn.flushed();
        let least = if between {
            EVICTABLE_AFTER
        } else {
            BUSY_EVICTABLE_AFTER
        };
        (!stays && now.since(self.since) >= least).then_some((self.has_sent_request, self.since))
    }
}

/// The connections of a front's clients.
pub struct Sessions<C> {
    open: HashMap<ConnId, Session>,
    waiting: HashMap<QueryId, (ConnId, C)>,
    /// Most bytes held of requests that are not whole, by all processes of the broker, and how many
    /// those are.
    most_bytes: usize,
    processes: u32,
    /// A look at all connections is due.
    looks: bool,
    stopping: bool,
    /// Whether clients are sent away, and how far that has come.
    away: QuiesceStage,
}

impl<C> Sessions<C> {
    /// No connections yet; requests that are not whole take an eighth of `memory` bytes at most.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        let (open, waiting) = (HashMap::new(), HashMap::new());
        Sessions {
            open,
            waiting,
            most_bytes: memory / 8,
            processes: 1,
            looks: false,
            stopping: false,
            away: QuiesceStage::Serving,
        }
    }

    /// So many processes of this broker run side by side from now on.
    pub fn share(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    fn most_bytes(&self) -> usize {
        self.most_bytes / self.processes as usize
    }

    /// Bytes held of requests that are not whole or not answered yet.
    fn bytes(&self, net: &Net) -> usize {
        self.open
            .keys()
            .filter_map(|id| net.get(*id))
            .map(|c| c.input.bytes().len())
            .sum()
    }

    /// A client has connected.
    pub fn opened(&mut self, net: &mut Net, id: ConnId, owner: Owner) {
        let since = net.clock.now();
        self.open.insert(
            id,
            Session {
                state: State::Reading,
                since,
                has_sent_request: false,
                continued: false,
            },
        );
        if !self.looks {
            self.looks = true;
            net.wheel
                .set(since.plus(SWEEP_INTERVAL), Timer::Clients(owner));
        }
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        let between = net.get(id).is_none_or(|c| c.input.is_empty());
        let progress = net.transfer(id, MAX_BUFFERED_BYTES);
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return net.close(id);
        };
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|c| c.ended) {
            return self.close(net, id, core);
        }
        match session.state {
            State::Reading => {
                if between && session.has_sent_request {
                    session.since = now;
                }
                self.requests(net, id, front, core);
            }
            State::Closing => self.last(net, id),
            State::Lingering => self.read_on(net, id),
            State::Waiting(..) => self.overhear(net, id),
        }
    }

    /// What a client sends while it waits is kept for later, but not more than is held of any
    /// request, nor of all. Guards against clients that are gone unseen: their end lies behind what
    /// they sent. So beyond that it is dropped, and the connection ends with the answer that is
    /// due.
    fn overhear(&mut self, net: &mut Net, id: ConnId) {
        let held = net.get(id).map_or(0, |conn| conn.input.bytes().len());
        if held < MAX_BUFFERED_BYTES
            && (held <= http::MAX_HEAD_BYTES || self.bytes(net) <= self.most_bytes())
        {
            return;
        }
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        if let State::Waiting(_, keep, _) = &mut session.state {
            *keep = false;
        }
        self.read_on(net, id);
    }

    /// Reads requests until one has to be waited for.
    fn requests<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        loop {
            let Some(session) = self
                .open
                .get_mut(&id)
                .filter(|s| matches!(s.state, State::Reading))
            else {
                return;
            };
            // Guards memory: a client that does not read its answers is not asked for more
            // requests.
            let Some(conn) = net
                .get_mut(id)
                .filter(|c| !c.input.is_empty() && c.flushed())
            else {
                return;
            };
            let (request, used) = match http::request(conn.input.bytes()) {
                Ok(Parsed::Complete(request, used)) => (request, used),
                Ok(Parsed::Partial(waits)) => return self.on_partial(net, id, front, waits),
                Err(http::MalformedMessage(status, reason)) => {
                    return self.reject_and_close(net, id, &front.malformed(status, reason));
                }
            };
            conn.input.consume(used);
            (session.continued, session.has_sent_request) = (false, true);
            let now = net.clock.now();
            let head = request.method == "HEAD";
            let response = match front.read(now, &request) {
                Verdict::Reply(response) => response,
                Verdict::Take(query, context) => match core.take(now, *query) {
                    Ok(query) => {
                        session.state = State::Waiting(query, request.keep_alive, head);
                        self.waiting.insert(query, (id, context));
                        return;
                    }
                    Err(refusal) => front.refused(refusal),
                },
            };
            self.write(net, id, &response, request.keep_alive, head);
        }
    }

    /// A request is still arriving; `waits`: its client waits for `100 Continue`.
    fn on_partial<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &F,
        waits: bool,
    ) {
        let buffered = net.get(id).map_or(0, |conn| conn.input.bytes().len());
        if buffered >= MAX_BUFFERED_BYTES {
            let response = front.malformed(413, "request too large");
            return self.reject_and_close(net, id, &response);
        }
        // Guards memory against many large requests that arrive at once.
        if buffered > http::MAX_HEAD_BYTES && self.bytes(net) > self.most_bytes() {
            let response = front.malformed(503, "too much is arriving");
            return self.reject_and_close(net, id, &response);
        }
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        if waits && !session.continued {
            session.continued = true;
            conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
            net.flush(id, false);
        }
    }

    fn write(
        &mut self,
        net: &mut Net,
        id: ConnId,
        response: &Response,
        keep_alive: bool,
        head: bool,
    ) {
        let keep = keep_alive
            && response.keep_alive
            && !self.stopping
            && self.away == QuiesceStage::Serving;
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        (session.state, session.since) = (if keep { State::Reading } else { State::Closing }, now);
        conn.send(&response.encode(keep, head));
        if net.flush(id, false) != TransferProgress::Alive {
            self.open.remove(&id);
            net.close(id);
        } else if !keep {
            self.last(net, id);
        }
    }

    /// Answers what can't be read, and ends the connection once the client has seen it.
    fn reject_and_close(&mut self, net: &mut Net, id: ConnId, response: &Response) {
        self.write(net, id, response, false, false);
    }

    /// The last answer is being written. Once it is, this side ends, and what the client still
    /// sends is read and dropped: a close with bytes unread would reset the connection before the
    /// client has the answer.
    fn last(&mut self, net: &mut Net, id: ConnId) {
        if net.get(id).is_some_and(Conn::flushed) {
            self.half_close(net, id);
        }
    }

    /// Ends this side of a connection. Guards the answers before it, and a request that crosses the
    /// end: with bytes unread a close resets the connection. What is read after this is sent on by
    /// nobody; the client sees the end, and asks anew.
    fn half_close(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        conn.end_output();
        (session.state, session.since) = (State::Lingering, now);
        self.read_on(net, id);
    }

    fn read_on(&mut self, net: &mut Net, id: ConnId) {
        if let Some(conn) = net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
            // A reset is seen at the next look or event: there is nothing left to lose.
            net.flush(id, false);
        }
    }

    /// Gives a query's client its final answer, then reads on.
    pub fn answer<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        query: QueryId,
        reply: Reply,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        let Some((id, context)) = self.waiting.remove(&query) else {
            return;
        };
        let response = front.format_reply(context, reply);
        let Some(State::Waiting(_, keep, head)) = self.open.get(&id).map(|s| &s.state) else {
            return;
        };
        let (keep, head) = (*keep, *head);
        self.write(net, id, &response, keep, head);
        self.requests(net, id, front, core);
    }

    /// Looks at all connections: those whose time is over are told off or closed.
    pub fn look<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        owner: Owner,
        front: &F,
        core: &mut Core<F::Job>,
    ) {
        let now = net.clock.now();
        let action_at = |id: &ConnId, s: &Session| {
            net.get(*id)
                .map_or(SessionAction::Close, |c| s.action_at(c, now))
        };
        let action_at: Vec<_> = self
            .open
            .iter()
            .map(|(id, s)| (*id, action_at(id, s)))
            .collect();
        for (id, action_at) in action_at {
            match action_at {
                SessionAction::Keep => {}
                SessionAction::RejectLate => self.reject_and_close(
                    net,
                    id,
                    &front.malformed(408, "the request took too long"),
                ),
                SessionAction::HalfClose => self.half_close(net, id),
                SessionAction::Close => self.close(net, id, core),
            }
        }
        // Guards usual clients, which find no place while others ask once and keep their
        // connections: clients may hold a third of the descriptors for requests, and what is idle
        // beyond a quarter goes before that. Not while the broker stops: nobody new comes, and who
        // is here may have no other broker to go to.
        self.shed(
            net,
            core,
            if core.goes_on() {
                net.excess_client_connections()
            } else {
                0
            },
        );
        self.looks = !self.open.is_empty();
        if self.looks {
            net.wheel
                .set(now.plus(SWEEP_INTERVAL), Timer::Clients(owner));
        }
    }

    /// Ends a connection; a query that it waits for has nobody left to answer.
    fn close<J>(&mut self, net: &mut Net, id: ConnId, core: &mut Core<J>) {
        if let Some(Session {
            state: State::Waiting(query, ..),
            ..
        }) = self.open.remove(&id)
        {
            self.waiting.remove(&query);
            core.hangup(query);
        }
        net.close(id);
    }

    /// Makes room for those that wait to be accepted: an eighth of the connections at a time.
    pub fn evict_idle<J>(&mut self, net: &mut Net, core: &mut Core<J>) {
        self.shed(net, core, self.open.len().div_ceil(8));
    }

    /// Closes so many connections without an open query, those that were of no use for longest
    /// first.
    fn shed<J>(&mut self, net: &mut Net, core: &mut Core<J>, count: usize) {
        if count == 0 {
            return;
        }
        let now = net.clock.now();
        let eviction_key =
            |(id, s): (&ConnId, &Session)| Some((s.eviction_key(net.get(*id)?, now)?, *id));
        let mut eviction_key: Vec<_> = self.open.iter().filter_map(eviction_key).collect();
        eviction_key.sort_unstable();
        for (_, id) in eviction_key.into_iter().take(count) {
            self.close(net, id, core);
        }
    }

    /// Sends clients away, as far as the stage says; connections that rest are ended where it does.
    pub fn send_away<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        stage: QuiesceStage,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        if std::mem::replace(&mut self.away, stage) != stage {
            front.send_away(stage != QuiesceStage::Serving);
            core.pause_intake(stage == QuiesceStage::Rejecting);
        }
        if stage >= QuiesceStage::ClosingIdle {
            self.close_unused(net, core);
        }
        if stage == QuiesceStage::Rejecting {
            // What is still arriving would be a request of just now when it is whole.
            let arriving = |s: &Session| s.state == State::Reading;
            let arriving: Vec<_> = self
                .open
                .iter()
                .filter(|(_, s)| arriving(s))
                .map(|(id, _)| *id)
                .collect();
            let answer = front.malformed(503, "clients are sent away");
            arriving
                .into_iter()
                .for_each(|id| self.reject_and_close(net, id, &answer));
        }
    }

    /// From now on connections are closed after their answer.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Ends connections between requests, and closes those whose clients do not end theirs soon;
    /// tells how many are left.
    pub fn close_unused<J>(&mut self, net: &mut Net, core: &mut Core<J>) -> usize {
        let now = net.clock.now();
        let unused = |id: &ConnId| {
            net.get(*id)
                .is_none_or(|c| c.input.is_empty() && c.flushed())
        };
        let (mut rest, mut over) = (Vec::new(), Vec::new());
        for (id, session) in &self.open {
            match session.state {
                State::Reading if unused(id) => rest.push(*id),
                State::Lingering if now.since(session.since) >= SHUTDOWN_LINGER_TIMEOUT => {
                    over.push(*id)
                }
                _ => {}
            }
        }
        rest.into_iter().for_each(|id| self.half_close(net, id));
        over.into_iter().for_each(|id| self.close(net, id, core));
        self.open.len()
    }
}

#[cfg(test)]
mod tests;

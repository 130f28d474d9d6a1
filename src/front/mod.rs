//! Clients: their connections, and the fronts that read their requests and word their answers.
//!
//! [`Sessions`] serves HTTP on connections; a [`Front`] says what a request means.

pub mod ogc;
pub mod platform;

use crate::core::{Core, Refusal, Reply, Request};
use crate::http::{self, Parsed, Response};
use crate::interface::{Micros, QueryId, Time};
use crate::net::{ConnId, Net, Pumped, Timer};
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
    fn word(&mut self, context: Self::Context, reply: Reply) -> Response;
    /// Words the answer to what can't be read.
    fn malformed(&self, status: u16, why: &str) -> Response;
    /// Whether the broker is about to end.
    fn stop(&mut self);
}

/// Most bytes held of a client's requests: a body in small chunks is larger on the wire than in memory.
const CEILING: usize = http::HEAD + 2 * http::BODY;
/// How long a client that was told off may take to read it.
const LINGER: Micros = 2_000_000;
/// A connection without a request for so long may be closed when others wait.
const IDLE: Micros = 5_000_000;
/// A request that takes longer than this to arrive is told off.
const SLOW: Micros = 30_000_000;

enum State {
    /// Between requests, or in the midst of one that is still arriving.
    Reading,
    /// A query is held; the flags: keep the connection after it, and it was a HEAD request.
    Waiting(QueryId, bool, bool),
    /// The last answer is being written.
    Closing,
    /// Told off: reads on to the client's end, so that the answer is not lost to a reset.
    Lingering,
}

struct Session {
    state: State,
    /// `100 Continue` was sent for the request that is arriving.
    continued: bool,
}

/// The connections of a front's clients.
pub struct Sessions<C> {
    open: HashMap<ConnId, Session>,
    waiting: HashMap<QueryId, (ConnId, C)>,
    stopping: bool,
}

impl<C> Default for Sessions<C> {
    fn default() -> Self {
        Sessions { open: HashMap::new(), waiting: HashMap::new(), stopping: false }
    }
}

impl<C> Sessions<C> {
    /// A client has connected.
    pub fn opened(&mut self, net: &mut Net, id: ConnId) {
        self.open.insert(id, Session { state: State::Reading, continued: false });
        let at = net.clock.now().plus(SLOW);
        net.wheel.set(at, Timer::Conn(id));
    }

    /// Reads and writes what a connection is ready for.
    pub fn ready<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        let pumped = net.pump(id, CEILING);
        let Some(session) = self.open.get(&id) else { return net.close(id) };
        let gone = pumped != Pumped::Alive || net.get(id).is_none_or(|c| c.ended);
        if gone || matches!(session.state, State::Closing) && net.get(id).is_none_or(|c| c.flushed()) {
            return self.close(net, id, core);
        }
        if let (State::Lingering, Some(conn)) = (&session.state, net.get_mut(id)) {
            return conn.input.consume(conn.input.bytes().len());
        }
        self.requests(net, id, front, core);
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
            let Some(session) = self.open.get_mut(&id).filter(|s| matches!(s.state, State::Reading)) else {
                return;
            };
            // Guards memory: a client that does not read its answers is not asked for more requests.
            let Some(conn) = net.get_mut(id).filter(|c| !c.input.is_empty() && c.flushed()) else { return };
            let (request, used) = match http::request(conn.input.bytes()) {
                Ok(Parsed::Whole(request, used)) => (request, used),
                Ok(Parsed::Partial(waits)) => {
                    if conn.input.bytes().len() >= CEILING {
                        return self.tell_off(net, id, &front.malformed(413, "request too large"));
                    }
                    if waits && !session.continued {
                        session.continued = true;
                        conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                        net.flush(id, false);
                    }
                    return;
                }
                Err(http::Malformed(status, why)) => {
                    return self.tell_off(net, id, &front.malformed(status, why));
                }
            };
            conn.input.consume(used);
            session.continued = false;
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

    fn write(&mut self, net: &mut Net, id: ConnId, response: &Response, keep_alive: bool, head: bool) {
        let keep = keep_alive && response.keep_alive && !self.stopping;
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else { return };
        session.state = if keep { State::Reading } else { State::Closing };
        conn.send(&response.encode(keep, head));
        let alive = net.flush(id, false) == Pumped::Alive;
        if !alive || !keep && net.get(id).is_none_or(|c| c.flushed()) {
            self.open.remove(&id);
            net.close(id);
        }
    }

    /// Answers what can't be read, and ends the connection once the client has seen it.
    fn tell_off(&mut self, net: &mut Net, id: ConnId, response: &Response) {
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else { return };
        session.state = State::Lingering;
        conn.send(&response.encode(false, false));
        conn.input.consume(conn.input.bytes().len());
        net.flush(id, false);
        if let Some(conn) = net.get_mut(id) {
            conn.end_output();
        }
        let at = net.clock.now().plus(LINGER);
        net.wheel.set(at, Timer::Conn(id));
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
        let Some((id, context)) = self.waiting.remove(&query) else { return };
        let response = front.word(context, reply);
        let Some(State::Waiting(_, keep, head)) = self.open.get(&id).map(|s| &s.state) else { return };
        let (keep, head) = (*keep, *head);
        self.write(net, id, &response, keep, head);
        self.requests(net, id, front, core);
    }

    /// A connection's timer: it lingered for long enough, or a request takes too long to arrive.
    pub fn timer<J>(&mut self, net: &mut Net, id: ConnId, core: &mut Core<J>) {
        let (Some(session), Some(conn)) = (self.open.get(&id), net.get(id)) else { return };
        let (now, used) = (net.clock.now(), conn.used);
        let stuck = match session.state {
            State::Lingering => true,
            // Guards descriptors against clients that never finish a request or never read an answer.
            State::Reading => !conn.input.is_empty() && now.since(used) >= SLOW,
            State::Closing => now.since(used) >= SLOW,
            State::Waiting(..) => false,
        };
        if stuck {
            return self.close(net, id, core);
        }
        net.wheel.set(now.plus(SLOW), Timer::Conn(id));
    }

    /// Ends a connection; a query that it waits for has nobody left to answer.
    fn close<J>(&mut self, net: &mut Net, id: ConnId, core: &mut Core<J>) {
        if let Some(Session { state: State::Waiting(query, ..), .. }) = self.open.remove(&id) {
            self.waiting.remove(&query);
            core.hangup(query);
        }
        net.close(id);
    }

    /// Closes connections that carry no request, those idle for longest first, to make room for others.
    pub fn shed<J>(&mut self, net: &mut Net, core: &mut Core<J>) {
        let now = net.clock.now();
        let unused = |id: &ConnId, s: &Session| {
            let conn = net.get(*id).filter(|c| c.input.is_empty() && c.flushed());
            conn.filter(|c| matches!(s.state, State::Reading) && now.since(c.used) >= IDLE).map(|c| c.used)
        };
        let mut idle: Vec<_> =
            self.open.iter().filter_map(|(id, s)| unused(id, s).map(|used| (used, *id))).collect();
        idle.sort_unstable();
        for (_, id) in idle.into_iter().take(16) {
            self.close(net, id, core);
        }
    }

    /// From now on connections are closed after their answer.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Closes connections between requests; tells how many are left.
    pub fn close_unused<J>(&mut self, net: &mut Net, core: &mut Core<J>) -> usize {
        let unused = |id: &ConnId| net.get(*id).is_none_or(|c| c.input.is_empty() && c.flushed());
        let reading = self.open.iter().filter(|(_, s)| matches!(s.state, State::Reading | State::Lingering));
        let ids: Vec<ConnId> = reading.map(|(id, _)| *id).filter(|id| unused(id)).collect();
        ids.into_iter().for_each(|id| self.close(net, id, core));
        self.open.len()
    }
}

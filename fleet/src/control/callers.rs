//! Servers and operators: their connections, requests and answers.
//!
//! It promises that each connection has one request under way, that an answer goes to the
//! connection whose request it is for and to no other, and that one which is not to be answered is
//! closed.

use super::program::{elapsed, Net, Owner};
use lichenswitch_http::{request_up_to, Malformed, Parsed, Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest body of an order (bytes).
pub(super) const BODY: usize = 4 << 20;
/// Most bytes read ahead of a caller: a body in chunks takes more than its length.
const CEILING: usize = BODY + (BODY >> 2);
/// A request that is not whole after this time is given up, and a connection that rests as long is
/// closed.
const IDLE: Duration = Duration::from_secs(30);
/// A connection that was told to end is closed after this time if the other side has not done so.
const LINGER: Duration = Duration::from_secs(2);

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is awaited or being read.
    Reading,
    /// An answer is owed.
    Answering {
        /// Whether the connection goes on after it.
        keep_alive: bool,
    },
    /// The last answer is out or on its way.
    Ending,
}

struct Session {
    phase: Phase,
    since: Time,
}

/// All callers.
#[derive(Default)]
pub(super) struct Callers {
    sessions: BTreeMap<ConnId, Session>,
    /// Connections that have something to write, or to read again.
    touched: Vec<ConnId>,
    /// Answers end their connections: this process is about to end.
    leaving: bool,
}

impl Callers {
    /// Takes all that wait to connect.
    pub(super) fn accept(&mut self, net: &mut Net) {
        let now = net.clock.now();
        for id in net.accept(Owner::Caller) {
            self.sessions.insert(
                id,
                Session {
                    phase: Phase::Reading,
                    since: now,
                },
            );
        }
    }

    /// Something can be read or written. Tells the request that is whole now.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId) -> Option<Request> {
        if net.transfer(id, CEILING) != TransferProgress::Alive {
            self.close(net, id);
            return None;
        }
        self.end_if_done(net, id);
        self.read(net, id)
    }

    fn read(&mut self, net: &mut Net, id: ConnId) -> Option<Request> {
        let now = net.clock.now();
        let (session, conn) = (self.sessions.get_mut(&id)?, net.get_mut(id)?);
        match session.phase {
            Phase::Reading => {}
            Phase::Answering { .. } => return None,
            Phase::Ending => {
                let held = conn.input.bytes().len();
                conn.input.consume(held);
                if conn.ended && conn.flushed() {
                    self.close(net, id);
                }
                return None;
            }
        }
        match request_up_to(conn.input.bytes(), BODY) {
            Ok(Parsed::Whole(request, used)) => {
                conn.input.consume(used);
                *session = Session {
                    phase: Phase::Answering {
                        keep_alive: request.keep_alive,
                    },
                    since: now,
                };
                Some(request)
            }
            Ok(Parsed::Partial(waits)) => {
                if waits {
                    conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.touched.push(id);
                }
                if conn.ended && conn.flushed() {
                    self.close(net, id);
                } else if conn.ended {
                    // It sends no more, and may yet read its last answer.
                    *session = Session {
                        phase: Phase::Ending,
                        since: now,
                    };
                }
                None
            }
            Err(Malformed(status, reason)) => {
                session.phase = Phase::Answering { keep_alive: false };
                self.answer(net, id, error(status, reason));
                None
            }
        }
    }

    /// Answers the request of a connection.
    pub(super) fn answer(&mut self, net: &mut Net, id: ConnId, response: Response) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.sessions.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        let Phase::Answering { keep_alive } = session.phase else {
            return;
        };
        let keep_alive = keep_alive && !self.leaving;
        conn.send(&response.encode(keep_alive, false));
        *session = Session {
            phase: if keep_alive {
                Phase::Reading
            } else {
                Phase::Ending
            },
            since: now,
        };
        self.touched.push(id);
    }

    /// Ends a connection without an answer.
    pub(super) fn hang_up(&mut self, net: &mut Net, id: ConnId) {
        self.close(net, id);
    }

    /// Writes what is to be written. Tells requests that had come behind those that were answered.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<(ConnId, Request)> {
        let mut more = Vec::new();
        for id in std::mem::take(&mut self.touched) {
            if net.flush(id, false) != TransferProgress::Alive {
                self.close(net, id);
                continue;
            }
            self.end_if_done(net, id);
            if let Some(request) = self.read(net, id) {
                more.push((id, request));
            }
        }
        more
    }

    fn end_if_done(&mut self, net: &mut Net, id: ConnId) {
        let ending = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.phase == Phase::Ending);
        if let Some(conn) = net.get_mut(id).filter(|conn| ending && conn.flushed()) {
            // The other side reads to the end of the answer; a close with bytes unread would reset
            // it.
            conn.end_output();
        }
    }

    /// From now on answers end their connections.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether answers are owed or on their way.
    pub(super) fn is_busy(&self, net: &Net) -> bool {
        self.sessions
            .iter()
            .any(|(id, session)| match session.phase {
                Phase::Answering { .. } => true,
                Phase::Reading | Phase::Ending => net.get(*id).is_some_and(|conn| !conn.flushed()),
            })
    }

    /// Closes what has rested too long.
    pub(super) fn sweep(&mut self, net: &mut Net) {
        let now = net.clock.now();
        let flushed = |id: &ConnId| net.get(*id).is_none_or(|conn| conn.flushed());
        let over = |(id, session): &(&ConnId, &Session)| match session.phase {
            Phase::Ending if flushed(id) => elapsed(session.since, now) > LINGER,
            // A long answer may take its time on a narrow link.
            Phase::Reading | Phase::Ending => elapsed(session.since, now) > IDLE,
            Phase::Answering { .. } => false,
        };
        let over: Vec<ConnId> = self
            .sessions
            .iter()
            .filter(over)
            .map(|(id, _)| *id)
            .collect();
        over.into_iter().for_each(|id| self.close(net, id));
    }

    fn close(&mut self, net: &mut Net, id: ConnId) {
        self.sessions.remove(&id);
        net.close(id);
    }
}

/// An answer with a reason in JSON.
pub(super) fn error(status: u16, reason: &str) -> Response {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason));
    let response = Response::new(status, "application/json", body);
    match status {
        // Callers go on to another machine at once, and come back here after this time (seconds).
        503 => response.with("retry-after", "0.2"),
        _ => response,
    }
}

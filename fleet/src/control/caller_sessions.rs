//! HTTP connections of servers and operators.
//!
//! It promises that each connection has one pending request, that a response goes only to the
//! connection whose request it is for, and that a connection whose request gets no response is
//! closed.

use super::clock::elapsed;
use super::net_program::{Net, Owner};
use super::responses::error_response;
use lichenswitch_http::{request_up_to, MalformedMessage, Parsed, Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest body of an order.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
/// Most bytes that are buffered for a caller: a chunked body takes more than its length.
const MAX_BUFFERED_BYTES: usize = MAX_BODY_BYTES + (MAX_BODY_BYTES >> 2);
/// A connection is closed when its request is incomplete, or none arrives, for this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// A connection whose output has ended is closed after this time, unless the caller closes it first.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// A request is awaited or being read.
    Reading,
    /// A response is pending.
    Responding {
        /// Whether the connection stays open after it.
        keep_alive: bool,
    },
    /// The last response is sent or queued.
    Closing,
}

struct Session {
    phase: Phase,
    entered_at: Time,
}

/// All connections of callers.
#[derive(Default)]
pub(super) struct CallerSessions {
    sessions: BTreeMap<ConnId, Session>,
    /// Connections that have something to write, or buffered input to read.
    dirty: Vec<ConnId>,
    /// Whether responses close their connections, since the process shuts down.
    is_draining: bool,
}

impl CallerSessions {
    /// Accepts all pending connections.
    pub(super) fn accept(&mut self, net: &mut Net) {
        let now = net.clock.now();
        for id in net.accept(Owner::Caller) {
            self.sessions.insert(
                id,
                Session {
                    phase: Phase::Reading,
                    entered_at: now,
                },
            );
        }
    }

    /// A connection can be read or written. Returns the request that is complete now, if any.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId) -> Option<Request> {
        if net.transfer(id, MAX_BUFFERED_BYTES) != TransferProgress::Alive {
            self.close(net, id);
            return None;
        }
        self.end_output_if_done(net, id);
        self.read(net, id)
    }

    fn read(&mut self, net: &mut Net, id: ConnId) -> Option<Request> {
        let now = net.clock.now();
        let (session, conn) = (self.sessions.get_mut(&id)?, net.get_mut(id)?);
        match session.phase {
            Phase::Reading => {}
            Phase::Responding { .. } => return None,
            Phase::Closing => {
                let discarded = conn.input.bytes().len();
                conn.input.consume(discarded);
                if conn.ended && conn.flushed() {
                    self.close(net, id);
                }
                return None;
            }
        }
        match request_up_to(conn.input.bytes(), MAX_BODY_BYTES) {
            Ok(Parsed::Complete(request, used)) => {
                conn.input.consume(used);
                *session = Session {
                    phase: Phase::Responding {
                        keep_alive: request.keep_alive,
                    },
                    entered_at: now,
                };
                Some(request)
            }
            Ok(Parsed::Partial(expects_continue)) => {
                if expects_continue {
                    conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.dirty.push(id);
                }
                if conn.ended && conn.flushed() {
                    self.close(net, id);
                } else if conn.ended {
                    // It sends no more, and may yet read its last answer.
                    *session = Session {
                        phase: Phase::Closing,
                        entered_at: now,
                    };
                }
                None
            }
            Err(MalformedMessage(status, reason)) => {
                session.phase = Phase::Responding { keep_alive: false };
                self.respond(net, id, &error_response(status, reason));
                None
            }
        }
    }

    /// Sends the response to the pending request of a connection.
    pub(super) fn respond(&mut self, net: &mut Net, id: ConnId, response: &Response) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.sessions.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        let Phase::Responding { keep_alive } = session.phase else {
            return;
        };
        let keep_alive = keep_alive && !self.is_draining;
        conn.send(&response.encode(keep_alive, false));
        *session = Session {
            phase: if keep_alive {
                Phase::Reading
            } else {
                Phase::Closing
            },
            entered_at: now,
        };
        self.dirty.push(id);
    }

    /// Closes a connection without a response.
    pub(super) fn abort(&mut self, net: &mut Net, id: ConnId) {
        self.close(net, id);
    }

    /// Writes what is queued. Returns pipelined requests behind those that got their responses.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<(ConnId, Request)> {
        let mut more = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            if net.flush(id, false) != TransferProgress::Alive {
                self.close(net, id);
                continue;
            }
            self.end_output_if_done(net, id);
            if let Some(request) = self.read(net, id) {
                more.push((id, request));
            }
        }
        more
    }

    fn end_output_if_done(&mut self, net: &mut Net, id: ConnId) {
        let ending = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.phase == Phase::Closing);
        if let Some(conn) = net.get_mut(id).filter(|conn| ending && conn.flushed()) {
            // The other side reads to the end of the answer; a close with bytes unread would reset
            // it.
            conn.end_output();
        }
    }

    /// From now on a response closes its connection.
    pub(super) fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Whether responses are pending or queued.
    pub(super) fn is_busy(&self, net: &Net) -> bool {
        self.sessions
            .iter()
            .any(|(id, session)| match session.phase {
                Phase::Responding { .. } => true,
                Phase::Reading | Phase::Closing => net.get(*id).is_some_and(|conn| !conn.flushed()),
            })
    }

    /// Closes connections whose timeout has passed.
    pub(super) fn close_expired(&mut self, net: &mut Net) {
        let now = net.clock.now();
        let flushed = |id: &ConnId| net.get(*id).is_none_or(|conn| conn.flushed());
        let expired = |(id, session): &(&ConnId, &Session)| match session.phase {
            Phase::Closing if flushed(id) => elapsed(session.entered_at, now) > LINGER_TIMEOUT,
            // A long answer may take its time on a narrow link.
            Phase::Reading | Phase::Closing => elapsed(session.entered_at, now) > IDLE_TIMEOUT,
            Phase::Responding { .. } => false,
        };
        let expired: Vec<ConnId> = self
            .sessions
            .iter()
            .filter(expired)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.close(net, id));
    }

    fn close(&mut self, net: &mut Net, id: ConnId) {
        self.sessions.remove(&id);
        net.close(id);
    }
}

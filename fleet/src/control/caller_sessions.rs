//! HTTP connections of servers and operators.
//!
//! Each connection has at most one pending request. A response is sent only on the connection of
//! its request. A connection whose request can't be answered is closed.

use super::clock::elapsed;
use super::net_program::{Net, Owner};
use super::responses::error_response;
use crate::envelopes::PAYLOAD_LIMIT_BYTES;
use lichenswitch_http::{request_up_to, MalformedMessage, Parsed, Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum length of a request body.
pub(super) const MAX_BODY_BYTES: usize = 4 << 20;
const _: () = assert!(
    MAX_BODY_BYTES < PAYLOAD_LIMIT_BYTES,
    "an order can be forwarded to the primary"
);
/// Maximum number of bytes that are buffered for a caller. A chunked body takes up more than its
/// length.
const MAX_BUFFERED_BYTES: usize = MAX_BODY_BYTES + (MAX_BODY_BYTES >> 2);
/// Time after which a connection without a complete request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the last response after which a connection is closed, unless the caller closes it
/// first.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The connection waits for a request, or reads one.
    Reading,
    /// A response is pending.
    Responding {
        /// Whether the connection stays open after the response.
        keep_alive: bool,
    },
    /// The last response has been queued or sent.
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
    /// Whether each response closes its connection, because the process shuts down.
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

    /// Reads and writes a connection that is ready. Returns the next request if it is complete.
    pub(super) fn process_ready(&mut self, net: &mut Net, id: ConnId) -> Option<Request> {
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
                    // The caller has closed its sending side, and may still read the last response.
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

    /// Queues the response to the pending request of a connection. Ignores connections without one.
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

    /// Writes queued responses. Returns the pipelined requests that follow answered ones.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<(ConnId, Request)> {
        let mut pipelined_requests = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            if net.flush(id, false) != TransferProgress::Alive {
                self.close(net, id);
                continue;
            }
            self.end_output_if_done(net, id);
            if let Some(request) = self.read(net, id) {
                pipelined_requests.push((id, request));
            }
        }
        pipelined_requests
    }

    fn end_output_if_done(&mut self, net: &mut Net, id: ConnId) {
        let is_closing = self
            .sessions
            .get(&id)
            .is_some_and(|session| session.phase == Phase::Closing);
        if let Some(conn) = net.get_mut(id).filter(|conn| is_closing && conn.flushed()) {
            // Only the output is shut down. Closing the socket with unread input would reset the
            // connection, and the caller might lose the end of the response.
            conn.end_output();
        }
    }

    /// Makes each further response close its connection.
    pub(super) fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// Whether any response is pending, or queued and not yet written.
    pub(super) fn is_busy(&self, net: &Net) -> bool {
        self.sessions
            .iter()
            .any(|(id, session)| match session.phase {
                Phase::Responding { .. } => true,
                Phase::Reading | Phase::Closing => net.get(*id).is_some_and(|conn| !conn.flushed()),
            })
    }

    /// Closes connections whose idle or linger timeout has passed.
    pub(super) fn close_expired(&mut self, net: &mut Net) {
        let now = net.clock.now();
        let is_flushed = |id: &ConnId| net.get(*id).is_none_or(|conn| conn.flushed());
        let is_expired = |(id, session): &(&ConnId, &Session)| match session.phase {
            Phase::Closing if is_flushed(id) => elapsed(session.entered_at, now) > LINGER_TIMEOUT,
            // A long response may take longer than the linger timeout on a slow link.
            Phase::Reading | Phase::Closing => elapsed(session.entered_at, now) > IDLE_TIMEOUT,
            Phase::Responding { .. } => false,
        };
        let expired: Vec<ConnId> = self
            .sessions
            .iter()
            .filter(is_expired)
            .map(|(id, _)| *id)
            .collect();
        expired.into_iter().for_each(|id| self.close(net, id));
    }

    fn close(&mut self, net: &mut Net, id: ConnId) {
        self.sessions.remove(&id);
        net.close(id);
    }
}

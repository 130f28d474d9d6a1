//! What clients send: requests, and what arrives while a request waits for its response.

use super::connection::{ClientEvent, ConnectionPhase};
use super::table::ClientConnections;
use crate::router::local_response::LocalResponse;
use crate::router::reactor::Net;
use crate::router::request_reader::{RequestProgress, RequestReader};
use lichenswitch_net::{ConnId, TransferProgress};

/// Most bytes read ahead of a client at a time: a body goes on into its request as it comes.
const CEILING: usize = 64 * 1_024;

/// Most bytes kept of what a client sends while its request waits. Behind more than that its end
/// could not be seen.
pub(crate) const AHEAD: usize = 32 * 1_024;

impl ClientConnections {
    /// Reads and writes what a connection is ready for.
    pub(crate) fn ready(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let Some(state) = self.open.get(&id).map(|session| session.state) else {
            return net.close(id);
        };
        let progress = net.transfer(id, CEILING);
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|conn| conn.ended) {
            return self.left(net, id, events);
        }
        match state {
            ConnectionPhase::Reading => self.read(net, id, events),
            ConnectionPhase::Waiting => self.overhear(net, id),
            ConnectionPhase::Answering { .. } => {
                self.overhear(net, id);
                if net.get(id).is_some_and(|conn| conn.flushed()) {
                    events.push(ClientEvent::OutputDrained(id));
                }
            }
            ConnectionPhase::Closing => self.close_if_written(net, id),
            ConnectionPhase::Lingering => self.read_on(net, id),
        }
    }

    /// A connection's timer: its time may be over.
    pub(crate) fn timer(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        if session.timer.is_some_and(|at| at <= now) {
            session.timer = None;
        }
        let Some(due) = self.due(net, id).filter(|due| *due <= now) else {
            return self.arm(net, id);
        };
        debug_assert!(due <= now, "only what is due ends");
        match self
            .open
            .get(&id)
            .map(|session| (session.state, session.arriving))
        {
            Some((ConnectionPhase::Reading, true)) => {
                self.answer_own(net, id, &LocalResponse::closing(408), events);
            }
            Some((ConnectionPhase::Reading, false)) => self.half_close(net, id),
            _ => self.left(net, id, events),
        }
    }

    /// Reads a request, if it is whole; the next one is read once this one is answered.
    pub(super) fn read(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return;
        };
        let Some(conn) = net
            .get_mut(id)
            .filter(|conn| !conn.input.is_empty() || session.arriving)
        else {
            return;
        };
        if !session.arriving {
            (session.arriving, session.since) = (true, now);
            session.reader = RequestReader::new(&self.limits);
        }
        let held = session.reader.held();
        let progress = session.reader.read(&mut conn.input);
        self.arriving_bytes = self.arriving_bytes + session.reader.held() - held;
        match progress {
            Ok(RequestProgress::Incomplete { expects_continue }) => {
                if self.arriving_bytes > self.most_bytes {
                    return self.answer_own(
                        net,
                        id,
                        &LocalResponse::refused(None).and_close(),
                        events,
                    );
                }
                if expects_continue {
                    conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
                }
                // Reading rests where the ceiling was reached, and goes on now that there is room.
                if net.flush(id, false) != TransferProgress::Alive {
                    return self.left(net, id, events);
                }
                self.arm(net, id);
            }
            Ok(RequestProgress::Complete(request)) => {
                self.arriving_bytes -= session.reader.held();
                session.reader = RequestReader::new(&self.limits);
                (session.arriving, session.state, session.since) =
                    (false, ConnectionPhase::Waiting, now);
                session.last |= !request.keep_alive;
                session.head_only = request.is_head();
                if net.flush(id, false) != TransferProgress::Alive {
                    return self.close(net, id);
                }
                events.push(ClientEvent::RequestReceived(id, request));
                self.overhear(net, id);
            }
            Err(malformed) => {
                self.answer_own(net, id, &LocalResponse::closing(malformed.0), events);
            }
        }
    }

    /// What a client sends while it waits is kept for later, but not much of it: its end lies
    /// behind what it sent, so beyond that it is dropped, and the connection ends with the answer
    /// that is due.
    pub(super) fn overhear(&mut self, net: &mut Net, id: ConnId) {
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        if session.last || conn.input.bytes().len() > AHEAD {
            session.last = true;
            conn.input.consume(conn.input.bytes().len());
            // A connection that is broken is told of by the poller.
            net.flush(id, false);
        }
    }

    /// Ends this side of a connection. Guards the answers before it, and a request that crosses the
    /// end: with bytes unread a close would reset the connection.
    pub(super) fn half_close(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(session), Some(conn)) = (self.open.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        conn.end_output();
        (session.state, session.since) = (ConnectionPhase::Lingering, now);
        self.read_on(net, id);
        self.arm(net, id);
    }

    pub(super) fn read_on(&mut self, net: &mut Net, id: ConnId) {
        if let Some(conn) = net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
        }
        net.flush(id, false);
    }
}

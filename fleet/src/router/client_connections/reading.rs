//! What clients send: requests, and what arrives while a request waits for its response.

use super::connection::{ClientConnection, ClientEvent, ConnectionPhase};
use super::table::ClientConnections;
use crate::router::client_request::ClientRequest;
use crate::router::local_response::LocalResponse;
use crate::router::reactor::Net;
use crate::router::request_reader::{RequestProgress, RequestReader};
use lichenswitch_net::{ConnId, TransferProgress};

/// Bytes read ahead of a client at a time: a body moves into its request as it comes. A head, which
/// stays in the input until it is complete, may be longer.
const READ_AHEAD_BYTES: usize = 64 * 1_024;

/// Bytes kept of what a client sends while its request waits. The end of the connection could not be
/// seen behind more than that.
const MAX_INPUT_WHILE_WAITING_BYTES: usize = 32 * 1_024;

impl ClientConnections {
    /// Handles a connection that can be read or written.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let Some(connection) = self.connections.get(&id) else {
            return net.close(id);
        };
        let phase = connection.phase;
        let progress = net.transfer(id, read_ahead_bytes(connection));
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|conn| conn.ended) {
            return self.disconnect(net, id, events);
        }
        match phase {
            ConnectionPhase::Reading => self.read_request(net, id, events),
            ConnectionPhase::AwaitingResponse => self.limit_input_while_waiting(net, id),
            ConnectionPhase::Responding { .. } => {
                self.limit_input_while_waiting(net, id);
                if net.get(id).is_some_and(|conn| conn.flushed()) {
                    events.push(ClientEvent::OutputDrained { client: id });
                }
            }
            ConnectionPhase::Closing => self.close_if_flushed(net, id),
            ConnectionPhase::Lingering => self.discard_input(net, id),
        }
    }

    /// Handles a connection's timer: its deadline may have passed.
    pub(crate) fn on_timer(&mut self, net: &mut Net, id: ConnId, events: &mut Vec<ClientEvent>) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.timer_at.is_some_and(|at| at <= now) {
            connection.timer_at = None;
        }
        let Some(due) = self.deadline(net, id).filter(|due| *due <= now) else {
            return self.arm_timer(net, id);
        };
        debug_assert!(due <= now, "only expired connections end");
        match self
            .connections
            .get(&id)
            .map(|connection| (connection.phase, connection.is_receiving))
        {
            Some((ConnectionPhase::Reading, true)) => {
                self.respond_locally(net, id, &LocalResponse::closing(408), events);
            }
            Some((ConnectionPhase::Reading, false)) => self.half_close(net, id),
            _ => self.disconnect(net, id, events),
        }
    }

    /// Reads on in a request, if one has begun. The next one is read once this one is answered.
    pub(super) fn read_request(
        &mut self,
        net: &mut Net,
        id: ConnId,
        events: &mut Vec<ClientEvent>,
    ) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(conn) = net
            .get_mut(id)
            .filter(|conn| !conn.input.is_empty() || connection.is_receiving)
        else {
            return;
        };
        if !connection.is_receiving {
            (connection.is_receiving, connection.phase_started_at) = (true, now);
            connection.reader = RequestReader::new(&self.limits);
        }
        let buffered_before = connection.reader.buffered_bytes();
        let progress = connection.reader.read(&mut conn.input);
        self.incomplete_bytes =
            self.incomplete_bytes + connection.reader.buffered_bytes() - buffered_before;
        match progress {
            Ok(RequestProgress::Incomplete { expects_continue }) => {
                self.on_request_incomplete(net, id, expects_continue, events)
            }
            Ok(RequestProgress::Complete(request)) => {
                self.on_request_complete(net, id, request, events)
            }
            Err(malformed) => {
                self.respond_locally(net, id, &LocalResponse::closing(malformed.0), events);
            }
        }
    }

    /// More of a request is to come, unless too many bytes of such requests are buffered.
    fn on_request_incomplete(
        &mut self,
        net: &mut Net,
        id: ConnId,
        expects_continue: bool,
        events: &mut Vec<ClientEvent>,
    ) {
        if self.incomplete_bytes > self.max_incomplete_bytes {
            let response = LocalResponse::unavailable(None).with_close();
            return self.respond_locally(net, id, &response, events);
        }
        if let Some(conn) = net.get_mut(id).filter(|_| expects_continue) {
            conn.send(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        // Reading is paused at the read-ahead bound, and resumes now that there is room.
        if net.flush(id, false) != TransferProgress::Alive {
            return self.disconnect(net, id, events);
        }
        self.arm_timer(net, id);
    }

    /// A request is complete: its connection waits for the response.
    fn on_request_complete(
        &mut self,
        net: &mut Net,
        id: ConnId,
        request: Box<ClientRequest>,
        events: &mut Vec<ClientEvent>,
    ) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        self.incomplete_bytes -= connection.reader.buffered_bytes();
        connection.reader = RequestReader::new(&self.limits);
        connection.is_receiving = false;
        connection.phase = ConnectionPhase::AwaitingResponse;
        connection.phase_started_at = now;
        connection.closes_after_response |= !request.keep_alive;
        connection.is_head_request = request.is_head();
        if net.flush(id, false) != TransferProgress::Alive {
            return self.close(net, id);
        }
        events.push(ClientEvent::RequestReceived {
            client: id,
            request,
        });
        self.limit_input_while_waiting(net, id);
    }

    /// Bounds what is kept of a client's input while its request waits: beyond the bound it is
    /// dropped, so that the end of the connection is seen, and the connection closes with the pending
    /// response.
    pub(super) fn limit_input_while_waiting(&mut self, net: &mut Net, id: ConnId) {
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
        else {
            return;
        };
        if connection.closes_after_response
            || conn.input.bytes().len() > MAX_INPUT_WHILE_WAITING_BYTES
        {
            connection.closes_after_response = true;
            conn.input.consume(conn.input.bytes().len());
            // The poller reports a broken connection.
            net.flush(id, false);
        }
    }

    /// Ends this side of a connection. A close with unread bytes (a request that crosses the end)
    /// would reset the connection, and could lose the responses before it.
    pub(super) fn half_close(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
        else {
            return;
        };
        conn.end_output();
        (connection.phase, connection.phase_started_at) = (ConnectionPhase::Lingering, now);
        self.discard_input(net, id);
        self.arm_timer(net, id);
    }

    /// Drops what has come.
    pub(super) fn discard_input(&mut self, net: &mut Net, id: ConnId) {
        if let Some(conn) = net.get_mut(id) {
            conn.input.consume(conn.input.bytes().len());
        }
        net.flush(id, false);
    }
}

/// The most bytes of input that a connection buffers. Never less than its reader needs: the poller would
/// report the connection as readable over and over while nothing can be read from it.
fn read_ahead_bytes(connection: &ClientConnection) -> usize {
    match connection.phase {
        ConnectionPhase::Reading => READ_AHEAD_BYTES.max(connection.reader.max_input_bytes()),
        ConnectionPhase::AwaitingResponse
        | ConnectionPhase::Responding { .. }
        | ConnectionPhase::Closing
        | ConnectionPhase::Lingering => READ_AHEAD_BYTES,
    }
}

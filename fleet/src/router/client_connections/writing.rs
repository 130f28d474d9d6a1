//! Responses as they are written to clients: complete, streamed, or cut off.

use super::connection::{ClientEvent, ConnectionPhase};
use super::table::ClientConnections;
use crate::router::local_response::LocalResponse;
use crate::router::reactor::Net;
use crate::router::request_reader::RequestReader;
use lichenswitch_http::{encode_chunk, LAST_CHUNK};
use lichenswitch_net::{ConnId, TransferProgress};

impl ClientConnections {
    /// Sends a response of this program.
    pub(crate) fn respond_locally(
        &mut self,
        net: &mut Net,
        id: ConnId,
        response: &LocalResponse,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.closes_after_response |= response.closes_connection || self.is_stopping;
        let (closes, is_head) = (connection.closes_after_response, connection.is_head_request);
        self.write(net, id, &response.encode(closes, is_head));
        self.on_response_written(net, id, events);
    }

    /// Sends a complete response of a server: its head without the empty line, and its body.
    pub(crate) fn respond_complete(
        &mut self,
        net: &mut Net,
        id: ConnId,
        head: &[u8],
        body: &[u8],
        has_body: bool,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.closes_after_response |= self.is_stopping;
        let mut bytes = Vec::with_capacity(head.len() + body.len() + 64);
        bytes.extend_from_slice(head);
        if has_body {
            bytes.extend_from_slice(format!("content-length: {}\r\n", body.len()).as_bytes());
        }
        end_head(&mut bytes, connection.closes_after_response);
        bytes.extend_from_slice(body);
        self.write(net, id, &bytes);
        self.on_response_written(net, id, events);
    }

    /// Begins a response that is forwarded as it arrives: with this content length, or in chunks.
    pub(crate) fn begin_response(
        &mut self,
        net: &mut Net,
        id: ConnId,
        head: &[u8],
        length: Option<u64>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.closes_after_response |= self.is_stopping;
        connection.phase = ConnectionPhase::Responding {
            is_chunked: length.is_none(),
        };
        let mut bytes = Vec::with_capacity(head.len() + 64);
        bytes.extend_from_slice(head);
        match length {
            Some(length) => {
                bytes.extend_from_slice(format!("content-length: {length}\r\n").as_bytes())
            }
            None => bytes.extend_from_slice(b"transfer-encoding: chunked\r\n"),
        }
        end_head(&mut bytes, connection.closes_after_response);
        self.write(net, id, &bytes);
    }

    /// Queues a chunk of a body; [`ClientConnections::flush`] writes it.
    pub(crate) fn write_chunk(&mut self, net: &mut Net, id: ConnId, body: &[u8]) {
        let Some(ConnectionPhase::Responding { is_chunked }) =
            self.connections.get(&id).map(|connection| connection.phase)
        else {
            return;
        };
        let Some(conn) = net.get_mut(id) else { return };
        match is_chunked {
            true => {
                let mut chunk = Vec::with_capacity(body.len() + 16);
                encode_chunk(body, &mut chunk);
                conn.send(&chunk);
            }
            false => _ = conn.send(body),
        }
    }

    /// Writes what is queued; returns how many bytes are left to be written.
    pub(crate) fn flush(
        &mut self,
        net: &mut Net,
        id: ConnId,
        events: &mut Vec<ClientEvent>,
    ) -> usize {
        if net.flush(id, false) != TransferProgress::Alive {
            self.disconnect(net, id, events);
            return 0;
        }
        let unwritten = net.get(id).map_or(0, |conn| conn.queued_unwritten());
        if unwritten > 0 {
            self.arm_timer(net, id);
        }
        usize::try_from(unwritten).unwrap_or(usize::MAX)
    }

    /// Ends a response whose body is complete.
    pub(crate) fn end_response(
        &mut self,
        net: &mut Net,
        id: ConnId,
        events: &mut Vec<ClientEvent>,
    ) {
        let Some(ConnectionPhase::Responding { is_chunked }) =
            self.connections.get(&id).map(|connection| connection.phase)
        else {
            return;
        };
        if is_chunked {
            self.write(net, id, LAST_CHUNK);
        }
        self.on_response_written(net, id, events);
    }

    /// Ends a response that is not complete: the client sees the connection close in the middle.
    pub(crate) fn abort(&mut self, net: &mut Net, id: ConnId) {
        self.close(net, id);
    }

    /// The same once all that was queued is written, so that the client can ask for the rest of a
    /// stream elsewhere.
    pub(crate) fn abort_after_flush(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        (
            connection.closes_after_response,
            connection.phase,
            connection.phase_started_at,
        ) = (true, ConnectionPhase::Closing, now);
        self.arm_timer(net, id);
        self.close_if_flushed(net, id);
    }

    pub(super) fn write(&mut self, net: &mut Net, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = net.get_mut(id) {
            conn.send(bytes);
        }
        // The poller reports a broken connection: nothing of it can be saved here.
        net.flush(id, false);
    }

    /// A response is written or queued: reads the next request, or ends the connection.
    pub(super) fn on_response_written(
        &mut self,
        net: &mut Net,
        id: ConnId,
        events: &mut Vec<ClientEvent>,
    ) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        self.incomplete_bytes -= connection.reader.buffered_bytes();
        connection.reader = RequestReader::new(&self.limits);
        (connection.is_receiving, connection.phase_started_at) = (false, now);
        if connection.closes_after_response {
            connection.phase = ConnectionPhase::Closing;
            self.arm_timer(net, id);
            return self.close_if_flushed(net, id);
        }
        connection.phase = ConnectionPhase::Reading;
        self.read_request(net, id, events);
        self.arm_timer(net, id);
    }

    /// Ends a connection once its last response is written.
    pub(super) fn close_if_flushed(&mut self, net: &mut Net, id: ConnId) {
        match net.get(id).map(|conn| conn.flushed()) {
            Some(true) => self.half_close(net, id),
            Some(false) => {}
            None => self.close(net, id),
        }
    }
}

/// Writes the end of a head; `last`: the connection closes after this response.
fn end_head(bytes: &mut Vec<u8>, last: bool) {
    // HTTP/1.1 keeps a connection unless told otherwise.
    if last {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
}

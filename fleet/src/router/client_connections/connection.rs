//! One connection of a client: its phase, the request that is being read, and its timer.

use crate::router::client_request::ClientRequest;
use crate::router::request_reader::RequestReader;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;

/// What a client has done. Every event names its connection.
#[derive(Debug)]
pub(crate) enum ClientEvent {
    /// It has sent a complete request.
    RequestReceived {
        client: ConnId,
        request: Box<ClientRequest>,
    },
    /// It has disconnected, or can't be written to, before its request was answered.
    Disconnected { client: ConnId },
    /// It has taken all that was written so far of a response that continues.
    OutputDrained { client: ConnId },
}

/// What a connection is in the middle of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionPhase {
    /// Idle between requests, or receiving one.
    Reading,
    /// Its request is complete, and has no response yet.
    AwaitingResponse,
    /// A response is being forwarded, with a content length or in chunks.
    Responding { is_chunked: bool },
    /// The last response is being written.
    Closing,
    /// The last response is written: input is read and dropped up to the client's end, since a close
    /// with unread bytes would reset the connection and could lose the response.
    Lingering,
}

/// One connection of a client.
pub(crate) struct ClientConnection {
    pub phase: ConnectionPhase,
    pub reader: RequestReader,
    /// When the phase began; while a request is received, when its first byte came.
    pub phase_started_at: Time,
    /// A request has begun and is not complete.
    pub is_receiving: bool,
    /// The connection ends with the pending response.
    pub closes_after_response: bool,
    /// The pending response has no body.
    pub is_head_request: bool,
    /// The earliest timer that is set for it.
    pub timer_at: Option<Time>,
}

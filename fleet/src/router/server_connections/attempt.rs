//! An attempt to be made at a server, and what became of it.

use crate::router::client_request::ClientRequest;
use crate::router::ids::AttemptId;
use crate::router::sender::Sender;
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead};
use crate::router::servers::Endpoint;
use lichenswitch_interface::{Outcome, ServerId, Time};
use std::rc::Rc;

/// A body longer than this may fill the receive buffer of a server that does not read (bytes): half of
/// what systems give a connection. Such a server counts as silent, not as dead: until its response is
/// complete, only the request's deadline ends the connection.
const LONG_BODY_BYTES: usize = 32 * 1_024;

/// An attempt to be made at a server.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Its id.
    pub id: AttemptId,
    /// Its number among the sends of its request, from 1.
    pub send_number: u32,
    /// Its server.
    pub server: ServerId,
    /// Where the server is reached.
    pub endpoint: Endpoint,
    /// The request.
    pub request: Rc<ClientRequest>,
    /// The deadline of the request.
    pub deadline: Time,
    /// It may be executed more than once.
    pub is_idempotent: bool,
    /// Rank of its route, 0 to 9; 0 is the most urgent.
    pub priority: u8,
    /// The stream is to continue behind this event id.
    pub resume_after: Option<Vec<u8>>,
    /// The sender of the request.
    pub sender: Option<Rc<Sender>>,
    /// How many connections to that server this router may have.
    pub max_connections: usize,
}

impl Attempt {
    /// Whether its body may not fit into the server's receive buffer.
    pub(super) fn has_long_body(&self) -> bool {
        self.request.body.len() > LONG_BODY_BYTES
    }
}

/// The beginning of a response that is forwarded as it arrives.
#[derive(Debug)]
pub(crate) struct StreamStart {
    /// Its head.
    pub head: ResponseHead,
    /// The length of its body, where the server declares it.
    pub content_length: Option<u64>,
    /// Its first chunk.
    pub first_chunk: BodyChunk,
}

/// What became of an attempt.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    /// Its response is complete, and nothing of it was forwarded before.
    ResponseReceived {
        attempt: AttemptId,
        response: BufferedResponse,
    },
    /// Its response is forwarded as it arrives from now on.
    StreamStarted {
        attempt: AttemptId,
        start: Box<StreamStart>,
    },
    /// The next chunk of a forwarded response.
    ChunkReceived {
        attempt: AttemptId,
        chunk: BodyChunk,
    },
    /// A forwarded response is complete, with these last bytes.
    StreamCompleted {
        attempt: AttemptId,
        last_bytes: Vec<u8>,
    },
    /// It ended without a complete response.
    AttemptFailed {
        attempt: AttemptId,
        outcome: Outcome,
    },
}

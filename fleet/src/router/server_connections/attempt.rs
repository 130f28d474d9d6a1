//! An attempt to be made at a server, and what became of it.

use crate::router::client_request::ClientRequest;
use crate::router::ids::AttemptId;
use crate::router::sender::Sender;
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead};
use crate::router::servers::Endpoint;
use lichenswitch_interface::{Outcome, ServerId, Time};
use std::rc::Rc;

/// A longer body may find no room at a server that has not read its beginning yet (bytes): half of
/// what systems give a connection. A server that is only silent is waited for, also one that
/// answers before it has read all: until its answer is whole nothing but the request's time ends
/// such a connection.
pub(crate) const LONG_BODY_BYTES: usize = 32 * 1_024;

/// One attempt to be made.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// Names it.
    pub id: AttemptId,
    /// Its server.
    pub server: ServerId,
    /// Where that is.
    pub endpoint: Endpoint,
    /// The request.
    pub request: Rc<ClientRequest>,
    /// When the time of the request is over.
    pub deadline: Time,
    /// It may run more than once.
    pub is_idempotent: bool,
    /// Rank of its route, 0 to 9; 0 is the most urgent.
    pub priority: u8,
    /// A stream goes on behind this event.
    pub resume_after: Option<Vec<u8>>,
    /// Who sent the request.
    pub sender: Option<Rc<Sender>>,
    /// Connections to that server that this router may have.
    pub max_connections: usize,
}

impl Attempt {
    /// Whether its server's system may have no room for all of it.
    pub(super) fn has_long_body(&self) -> bool {
        self.request.body.len() > LONG_BODY_BYTES
    }
}

/// What became of an attempt.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    /// It was answered, whole.
    ResponseReceived(AttemptId, BufferedResponse),
    /// An answer has begun that is passed on as it comes: its head, its length where that is told,
    /// and its first part.
    StreamStarted(AttemptId, Box<ResponseHead>, Option<u64>, BodyChunk),
    /// More of it.
    ChunkReceived(AttemptId, BodyChunk),
    /// It is complete, with these bytes.
    StreamCompleted(AttemptId, Vec<u8>),
    /// It ended without a complete answer.
    AttemptFailed(AttemptId, Outcome),
}

//! The parts of a server's response: its head, its load report, and its body as it is forwarded.

use lichenswitch_http::reason;
use std::io::Write as _;

/// What a server tells of itself in `Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerLoad {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that can run there at once; never 0.
    pub slots: u32,
}

impl ServerLoad {
    /// Reads the header's value: running, waiting and slots, with commas between them.
    #[must_use]
    pub(crate) fn parse(value: &str) -> Option<ServerLoad> {
        let mut figures = value
            .split(',')
            .map(|figure| figure.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (figures.next()??, figures.next()??, figures.next()??);
        (figures.next().is_none() && slots > 0).then_some(ServerLoad {
            running,
            waiting,
            slots,
        })
    }
}

/// The head of a server's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Header lines that are passed on.
    pub(crate) passed: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// It bears a `Response-Seal`.
    pub sealed: bool,
    /// The server says that it has not run the request.
    pub not_executed: bool,
    /// How busy the server says that it is.
    pub load: Option<ServerLoad>,
    /// Its body is a stream of events.
    pub event_stream: bool,
    /// It may have a body.
    pub has_body: bool,
}

impl ResponseHead {
    /// Its bytes for a client, without framing, `Connection` and the empty line.
    #[must_use]
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.passed.len() + 64);
        // Writes to memory don't fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason(self.status)
        );
        bytes.extend_from_slice(&self.passed);
        bytes
    }
}

/// A server's answer, whole.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct BufferedResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// A part of an answer that is passed on as it comes; of a stream of events whole events alone.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct BodyChunk {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The id of the last event so far.
    pub last_event_id: Option<Vec<u8>>,
}

#[cfg(test)]
mod tests;

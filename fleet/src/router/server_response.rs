//! The parts of a server's response: its head, its load report, and its body as it is forwarded.

use lichenswitch_http::reason;
use std::io::Write as _;

/// The load that a server reports in `Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerLoad {
    /// Requests in execution.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that can be executed at once; never 0.
    pub slots: u32,
}

impl ServerLoad {
    /// Parses the header's value: running, waiting and slots, separated by commas.
    #[must_use]
    pub(crate) fn parse(value: &str) -> Option<ServerLoad> {
        let mut numbers = value
            .split(',')
            .map(|number| number.trim().parse::<u32>().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        (numbers.next().is_none() && slots > 0).then_some(ServerLoad {
            running,
            waiting,
            slots,
        })
    }
}

/// What a response states about the execution of its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Execution {
    /// Nothing: the request may have been executed.
    #[default]
    Unstated,
    /// `Not-Executed`: it was not executed and never will be.
    Denied,
}

/// The head of a server's response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    /// Its status code.
    pub status: u16,
    /// Header lines that are forwarded to the client.
    pub forwarded_lines: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// It bears a `Response-Seal`.
    pub is_sealed: bool,
    /// What it states about the execution of the request.
    pub execution: Execution,
    /// The server's load, where it reports it.
    pub load: Option<ServerLoad>,
    /// Its body is a stream of events.
    pub is_event_stream: bool,
    /// It may have a body.
    pub has_body: bool,
}

impl ResponseHead {
    /// Its bytes for a client, without framing headers, `Connection` and the empty line.
    #[must_use]
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.forwarded_lines.len() + 64);
        // Writes to memory don't fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason(self.status)
        );
        bytes.extend_from_slice(&self.forwarded_lines);
        bytes
    }
}

/// A complete response of a server.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct BufferedResponse {
    /// Its head.
    pub head: ResponseHead,
    /// Its body.
    pub body: Vec<u8>,
}

/// A chunk of a response that is forwarded as it arrives; of an event stream, complete events only.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct BodyChunk {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// The id of the last event so far, if any had one.
    pub last_event_id: Option<Vec<u8>>,
}

#[cfg(test)]
mod tests;

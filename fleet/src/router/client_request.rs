//! A complete request of a client, and the head that is written for a server.
//!
//! It promises that a server gets method, target and body as the client sent them, and every header
//! but those that concern one connection alone and those that this program sets.

use super::prompt::Prompt;
use super::sender::Sender;
use lichenswitch_configuration::KeyDigest;
use std::io::Write as _;
use std::time::Duration;

/// The tokens that a request declares in `Token-Usage`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TokenUsage {
    /// No header.
    #[default]
    Unspecified,
    /// The sum of its prompt's tokens and the most that may be generated.
    Declared(u64),
    /// No pair of numbers, or a sum that overflows.
    Invalid,
}

/// A complete request of a client.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ClientRequest {
    /// Its method.
    pub method: String,
    /// Its target, path and query.
    pub target: String,
    /// Its `Host`.
    pub host: String,
    /// Header lines that are forwarded to servers.
    pub forwarded_lines: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// How long its client waits (`Deadline-Ms`).
    pub deadline: Option<Duration>,
    /// What its headers declare of its prompt.
    pub prompt: Prompt,
    /// Digest of its `Api-Key`, where it bears one.
    pub key: Option<KeyDigest>,
    /// Its `Token-Usage`.
    pub tokens: TokenUsage,
    /// Its `Last-Event-Id`: the client resumes a stream behind it.
    pub last_event_id: Option<Vec<u8>>,
    /// Its body.
    pub body: Vec<u8>,
    /// It was framed with a body, maybe an empty one.
    pub has_body: bool,
    /// Whether the client keeps the connection open after it.
    pub keep_alive: bool,
}

/// The headers that this program sets on each send of a request.
#[derive(Debug)]
pub(crate) struct ForwardingHeaders<'a> {
    /// The time left to its deadline.
    pub remaining: Duration,
    /// The instance that the request is sent to.
    pub target_instance: &'a str,
    /// Rank of its route, 0 to 9; 0 is the most urgent.
    pub priority: u8,
    /// The stream is to continue behind this event id.
    pub resume_after: Option<&'a [u8]>,
    /// Its sender.
    pub sender: Option<&'a Sender>,
}

impl ClientRequest {
    /// The target as it came, path and query.
    #[must_use]
    pub(crate) fn target(&self) -> &str {
        &self.target
    }

    /// Whether its response has no body.
    #[must_use]
    pub(crate) fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// Bytes that it takes in memory.
    #[must_use]
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.body.len() + self.forwarded_lines.len() + self.target.len()
    }

    /// Writes its head for a server.
    pub(crate) fn encode_head(&self, headers: &ForwardingHeaders<'_>, to: &mut Vec<u8>) {
        to.reserve(self.forwarded_lines.len() + self.target.len() + 256);
        // Writes to memory don't fail.
        let _ = write!(to, "{} {} HTTP/1.1\r\n", self.method, self.target);
        to.extend_from_slice(&self.forwarded_lines);
        let _ = write!(to, "Deadline-Ms: {}\r\n", headers.remaining.as_millis());
        let _ = write!(to, "Target-Instance: {}\r\n", headers.target_instance);
        let _ = write!(to, "Priority: {}\r\n", headers.priority);
        if let Some(sender) = headers.sender {
            let _ = write!(to, "Tenant: {}\r\n", sender.tenant);
        }
        if let Some(id) = headers.resume_after.or(self.last_event_id.as_deref()) {
            to.extend_from_slice(b"Last-Event-Id: ");
            to.extend_from_slice(id);
            to.extend_from_slice(b"\r\n");
        }
        if self.has_body {
            let _ = write!(to, "Content-Length: {}\r\n", self.body.len());
        }
        to.extend_from_slice(b"\r\n");
    }
}

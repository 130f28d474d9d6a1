//! A complete request of a client, and the head that is written for a server.
//!
//! It promises that a server gets method, target and body as the client sent them, and every header
//! but those that concern one connection alone and those that this program sets.

use super::prompt::Prompt;
use super::sender::Sender;
use lichenswitch_configuration::KeyDigest;
use std::io::Write as _;
use std::time::Duration;

/// What a request tells of its tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum TokenUsage {
    /// Nothing.
    #[default]
    Unspecified,
    /// The sum of those of its prompt and the most to come out.
    Declared(u64),
    /// What is no pair of numbers, or more than can be counted.
    Invalid,
}

/// A request, whole.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct ClientRequest {
    pub(crate) method: String,
    pub(crate) target: String,
    /// Its `Host`.
    pub host: String,
    /// Header lines that are passed on.
    pub(crate) forwarded_lines: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// How long its client waits.
    pub deadline: Option<Duration>,
    /// What is known of its prompt.
    pub prompt: Prompt,
    /// Digest of its `Api-Key`, where it bears one.
    pub key: Option<KeyDigest>,
    /// Its `Token-Usage`.
    pub tokens: TokenUsage,
    pub(crate) last_event_id: Option<Vec<u8>>,
    /// Its body.
    pub body: Vec<u8>,
    pub(crate) has_body: bool,
    /// The connection stays open after it.
    pub keep_alive: bool,
}

/// What goes with one send of a request.
#[derive(Debug)]
pub(crate) struct ForwardingHeaders<'a> {
    /// What is left of its time.
    pub remaining: Duration,
    /// The server that is meant.
    pub target_instance: &'a str,
    /// Rank of its route, 0 to 9; 0 is the most urgent.
    pub priority: u8,
    /// A stream goes on behind this event.
    pub resume_after: Option<&'a [u8]>,
    /// Who sent it.
    pub sender: Option<&'a Sender>,
}

impl ClientRequest {
    /// The target as it came, path and query.
    #[must_use]
    pub(crate) fn target(&self) -> &str {
        &self.target
    }

    /// Whether its answer has no body.
    #[must_use]
    pub(crate) fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// Bytes that it holds.
    #[must_use]
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.body.len() + self.forwarded_lines.len() + self.target.len()
    }

    /// Writes its head for a server.
    pub(crate) fn encode_head(&self, send: &ForwardingHeaders<'_>, to: &mut Vec<u8>) {
        to.reserve(self.forwarded_lines.len() + self.target.len() + 256);
        // Writes to memory don't fail.
        let _ = write!(to, "{} {} HTTP/1.1\r\n", self.method, self.target);
        to.extend_from_slice(&self.forwarded_lines);
        let _ = write!(to, "Deadline-Ms: {}\r\n", send.remaining.as_millis());
        let _ = write!(to, "Target-Instance: {}\r\n", send.target_instance);
        let _ = write!(to, "Priority: {}\r\n", send.priority);
        if let Some(sender) = send.sender {
            let _ = write!(to, "Tenant: {}\r\n", sender.header_value);
        }
        if let Some(id) = send.resume_after.or(self.last_event_id.as_deref()) {
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

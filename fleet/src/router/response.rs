//! Answers: those of servers, read from their connections, and those of this program.
//!
//! It promises that a server's answer is given out only as it came: status, body and every header but those that concern one
//! connection alone; and that it is whole only where its framing says so, or where its connection ended in order if it has none.

use super::framing::{BodyDecoder, Framing};
use super::headers::Headers;
use super::request::ClientRequest;
use lichenswitch_interface::Micros;
use lichenswitch_net::buffer::Buffer;
use std::io::Write as _;
use std::time::Duration;

/// Most bytes of an answer's head, and most headers.
const MAX_HEAD: usize = 32 * 1_024;
const MAX_HEADERS: usize = 100;
/// Advice where the module gives none (microseconds).
const RETRY_AFTER: Micros = 200_000;

/// The head of a server's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status.
    pub status: u16,
    /// Header lines that are passed on.
    passed: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// It bears a `Response-Seal`.
    pub sealed: bool,
    /// The server says that it has not run the request.
    pub not_executed: bool,
    /// Its body is a stream of events.
    pub event_stream: bool,
    /// It may have a body.
    pub has_body: bool,
}

impl ResponseHead {
    /// Its bytes for a client, without framing, `Connection` and the empty line.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.passed.len() + 64);
        // Writes to memory don't fail.
        let _ = write!(bytes, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        bytes.extend_from_slice(&self.passed);
        bytes
    }
}

/// A piece of a server's answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Its head.
    Head(ResponseHead),
    /// Bytes of its body.
    Body(Vec<u8>),
    /// It is whole.
    End,
}

/// Why what came is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no answer in the protocol")]
pub struct NoAnswer;

/// Reads the answer to one request.
#[derive(Debug)]
pub struct ResponseReader {
    head_only: bool,
    body: Option<(BodyDecoder, Framing)>,
    ended: bool,
    closes: bool,
    idle_time: Option<Duration>,
}

impl ResponseReader {
    /// For the answer to this request.
    #[must_use]
    pub fn new(request: &ClientRequest) -> ResponseReader {
        let head_only = request.is_head();
        ResponseReader { head_only, body: None, ended: false, closes: false, idle_time: None }
    }

    /// The next piece; `ended`: the connection has ended in order, and nothing more comes.
    ///
    /// # Errors
    /// What came is no answer, or one that was cut.
    pub fn read(&mut self, input: &mut Buffer, ended: bool) -> Result<Option<Piece>, NoAnswer> {
        let Some((decoder, _)) = &mut self.body else { return self.read_head(input, ended) };
        if self.ended {
            return Ok(None);
        }
        while let Some(decoded) = decoder.decode(input.bytes()).map_err(|_| NoAnswer)? {
            let bytes = decoded.bytes.to_vec();
            input.consume(decoded.used);
            if !bytes.is_empty() {
                return Ok(Some(Piece::Body(bytes)));
            }
        }
        let whole = decoder.is_done() || (ended && decoder.ends_with_connection());
        match (whole, ended) {
            (true, _) => {
                self.ended = true;
                Ok(Some(Piece::End))
            }
            (false, true) => Err(NoAnswer),
            (false, false) => Ok(None),
        }
    }

    /// Whether the server keeps the connection for another request.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        !self.closes && self.is_framed()
    }

    /// Whether the answer tells where it ends.
    #[must_use]
    pub fn is_framed(&self) -> bool {
        self.body.as_ref().is_some_and(|(_, framing)| *framing != Framing::Connection)
    }

    /// For how long the server keeps idle connections, where it tells.
    #[must_use]
    pub fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// Length of the body, where it is told.
    #[must_use]
    pub fn length(&self) -> Option<u64> {
        match self.body.as_ref()?.1 {
            Framing::Length(length) => Some(length),
            Framing::None | Framing::Chunked | Framing::Connection => None,
        }
    }

    fn read_head(&mut self, input: &mut Buffer, ended: bool) -> Result<Option<Piece>, NoAnswer> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut head = httparse::Response::new(&mut headers);
            let bytes = input.bytes();
            let used = match head.parse(bytes) {
                Ok(httparse::Status::Complete(used)) => used,
                Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD && !ended => return Ok(None),
                _ => return Err(NoAnswer),
            };
            let (status, headers) = (head.code.unwrap_or_default(), Headers(head.headers));
            match status {
                // Nothing was asked that this could be the answer to.
                101 => return Err(NoAnswer),
                100..=199 => input.consume(used),
                200..=599 => {
                    let version = head.version;
                    let head = self.take_head(status, headers)?;
                    self.closes |= version != Some(1);
                    input.consume(used);
                    return Ok(Some(Piece::Head(head)));
                }
                _ => return Err(NoAnswer),
            }
        }
    }

    fn take_head(&mut self, status: u16, headers: Headers<'_>) -> Result<ResponseHead, NoAnswer> {
        let has_body = !self.head_only && status != 204 && status != 304;
        let told = headers.framing().map_err(|_| NoAnswer)?;
        let framing = if has_body { told.unwrap_or(Framing::Connection) } else { Framing::None };
        self.body = Some((BodyDecoder::new(framing), framing));
        self.closes = headers.has_token("connection", "close");
        self.idle_time = headers.text("keep-alive").and_then(idle_time);
        let mut passed = Vec::with_capacity(256);
        headers.write_passed(&["content-length"], &mut passed);
        let kind = headers.text("content-type").unwrap_or_default();
        let kind = kind.split(';').next().unwrap_or_default().trim();
        Ok(ResponseHead {
            status,
            passed,
            attempt_id: headers.text("attempt-id").map(str::to_owned),
            sealed: headers.all("response-seal").next().is_some(),
            not_executed: headers.all("not-executed").next().is_some(),
            event_stream: kind.eq_ignore_ascii_case("text/event-stream"),
            has_body,
        })
    }
}

/// The seconds of `timeout=N`.
fn idle_time(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| seconds.trim().parse::<u32>().ok()).flatten()
    });
    seconds.map(|seconds| Duration::from_secs(u64::from(seconds)))
}

/// An answer of this program. It never bears a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnAnswer {
    status: u16,
    retry_after: Option<Micros>,
    /// The connection ends with it.
    pub closes: bool,
}

impl OwnAnswer {
    /// This status and nothing else.
    #[must_use]
    pub fn plain(status: u16) -> OwnAnswer {
        OwnAnswer { status, retry_after: None, closes: false }
    }

    /// This status, and the end of the connection.
    #[must_use]
    pub fn closing(status: u16) -> OwnAnswer {
        OwnAnswer { closes: true, ..OwnAnswer::plain(status) }
    }

    /// A refusal: the request has not run and never will.
    #[must_use]
    pub fn refused(after: Option<Micros>) -> OwnAnswer {
        OwnAnswer { status: 503, retry_after: Some(after.unwrap_or(RETRY_AFTER).max(1_000)), closes: false }
    }

    /// The same, and the end of the connection.
    #[must_use]
    pub fn and_close(self) -> OwnAnswer {
        OwnAnswer { closes: true, ..self }
    }

    /// Its bytes; `last`: the connection ends with it.
    #[must_use]
    pub fn encode(&self, last: bool, head_only: bool) -> Vec<u8> {
        let body = if head_only { "" } else { reason(self.status) };
        let mut bytes = Vec::with_capacity(128);
        // Writes to memory don't fail.
        let _ = write!(bytes, "HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if let Some(after) = self.retry_after {
            let _ = write!(bytes, "retry-after: {:.3}\r\n", after as f64 / 1e6);
        }
        let _ = write!(bytes, "content-type: text/plain\r\ncontent-length: {}\r\n", body.len());
        bytes.extend_from_slice(if last { b"connection: close\r\n\r\n" } else { b"\r\n" });
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        _ => "Status",
    }
}

#[cfg(test)]
mod tests;

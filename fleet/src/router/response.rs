//! Answers: those of servers, read from their connections, and those of this program.
//!
//! It promises that a server's answer is given out only as it came: status, body and every header
//! but those that concern one connection alone; and that it is whole only where its framing says
//! so, or where its connection ended in order if it has none.

use super::request::{lines, ClientRequest};
use lichenswitch_http::{parse_response_head, reason, BodyDecoder, Framing, Headers};
use lichenswitch_interface::Micros;
use lichenswitch_net::buffer::Buffer;
use std::io::Write as _;
use std::time::Duration;

/// Most bytes of an answer's head.
const MAX_HEAD: usize = 32 * 1_024;
/// Advice where the module gives none (microseconds).
const RETRY_AFTER: Micros = 200_000;

/// What a server tells of itself in `Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ServerLoad {
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
    pub(super) fn parse(value: &str) -> Option<ServerLoad> {
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
pub(super) struct ResponseHead {
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
    pub(super) fn encode(&self) -> Vec<u8> {
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

/// A piece of a server's answer.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ResponsePart {
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
pub(super) struct MalformedResponse;

/// Reads the answer to one request.
#[derive(Debug)]
pub(super) struct ResponseReader {
    head_only: bool,
    body: Option<(BodyDecoder, Framing)>,
    ended: bool,
    keeps: bool,
    idle_time: Option<Duration>,
}

impl ResponseReader {
    /// For the answer to this request.
    #[must_use]
    pub(super) fn new(request: &ClientRequest) -> ResponseReader {
        let head_only = request.is_head();
        ResponseReader {
            head_only,
            body: None,
            ended: false,
            keeps: false,
            idle_time: None,
        }
    }

    /// The next piece; `ended`: the connection has ended in order, and nothing more comes.
    ///
    /// # Errors
    /// What came is no answer, or one that was cut.
    pub(super) fn read(
        &mut self,
        input: &mut Buffer,
        ended: bool,
    ) -> Result<Option<ResponsePart>, MalformedResponse> {
        let Some((decoder, _)) = &mut self.body else {
            return self.read_head(input, ended);
        };
        if self.ended {
            return Ok(None);
        }
        loop {
            let decoded = decoder
                .decode(input.bytes())
                .map_err(|_| MalformedResponse)?;
            let (bytes, used, complete) =
                (decoded.body.to_vec(), decoded.consumed, decoded.complete);
            input.consume(used);
            if !bytes.is_empty() {
                return Ok(Some(ResponsePart::Body(bytes)));
            }
            if complete || used == 0 {
                break;
            }
        }
        if ended {
            decoder.end().map_err(|_| MalformedResponse)?;
        }
        self.ended = decoder.is_complete();
        Ok(self.ended.then_some(ResponsePart::End))
    }

    /// Whether the server keeps the connection for another request.
    #[must_use]
    pub(super) fn keeps_connection(&self) -> bool {
        self.keeps
    }

    /// Whether the answer tells where it ends.
    #[must_use]
    pub(super) fn is_framed(&self) -> bool {
        self.body
            .as_ref()
            .is_some_and(|(_, framing)| *framing != Framing::UntilClose)
    }

    /// For how long the server keeps idle connections, where it tells.
    #[must_use]
    pub(super) fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// Length of the body, where it is told.
    #[must_use]
    pub(super) fn length(&self) -> Option<u64> {
        match self.body.as_ref()?.1 {
            Framing::Length(length) => Some(length),
            Framing::None | Framing::Chunked | Framing::UntilClose => None,
        }
    }

    fn read_head(
        &mut self,
        input: &mut Buffer,
        ended: bool,
    ) -> Result<Option<ResponsePart>, MalformedResponse> {
        loop {
            let parsed = parse_response_head(input.bytes(), MAX_HEAD, self.head_only);
            let (head, used) = match parsed.map_err(|_| MalformedResponse)? {
                Some(parsed) => parsed,
                None if ended => return Err(MalformedResponse),
                None => return Ok(None),
            };
            input.consume(used);
            match head.status {
                // Nothing was asked that this could be the answer to.
                101 => return Err(MalformedResponse),
                100..=199 => {}
                200..=599 => {
                    return self
                        .take_head(&head)
                        .map(|head| Some(ResponsePart::Head(head)))
                }
                _ => return Err(MalformedResponse),
            }
        }
    }

    fn take_head(
        &mut self,
        head: &lichenswitch_http::ResponseHead,
    ) -> Result<ResponseHead, MalformedResponse> {
        // What is held is bounded by whoever takes the pieces.
        let decoder = BodyDecoder::new(head.framing, u64::MAX).map_err(|_| MalformedResponse)?;
        self.body = Some((decoder, head.framing));
        let headers = &head.headers;
        (self.keeps, self.idle_time) = (
            head.keep_alive,
            headers.text("keep-alive").and_then(idle_time),
        );
        Ok(ResponseHead {
            status: head.status,
            passed: lines(headers, &["content-length"]),
            attempt_id: headers.text("attempt-id").map(str::to_owned),
            sealed: headers.get("response-seal").is_some(),
            not_executed: headers.get("not-executed").is_some(),
            load: headers.text("server-load").and_then(ServerLoad::parse),
            event_stream: is_event_stream(headers),
            has_body: head.framing != Framing::None,
        })
    }
}

fn is_event_stream(headers: &Headers) -> bool {
    let kind = headers.text("content-type").unwrap_or_default();
    kind.split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .eq_ignore_ascii_case("text/event-stream")
}

/// The seconds of `timeout=N`.
fn idle_time(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| seconds.trim().parse::<u32>().ok())
            .flatten()
    });
    seconds.map(|seconds| Duration::from_secs(u64::from(seconds)))
}

/// An answer of this program. It never bears a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LocalResponse {
    status: u16,
    retry_after: Option<Micros>,
    /// The connection ends with it.
    pub closes: bool,
}

impl LocalResponse {
    /// This status and nothing else.
    #[must_use]
    pub(super) fn plain(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            closes: false,
        }
    }

    /// This status, and the end of the connection.
    #[must_use]
    pub(super) fn closing(status: u16) -> LocalResponse {
        LocalResponse {
            closes: true,
            ..LocalResponse::plain(status)
        }
    }

    /// A refusal: the request has not run and never will.
    #[must_use]
    pub(super) fn refused(after: Option<Micros>) -> LocalResponse {
        LocalResponse {
            status: 503,
            retry_after: Some(after.unwrap_or(RETRY_AFTER).max(1_000)),
            closes: false,
        }
    }

    /// A refusal of what is beyond a quota: the request has not run and never will.
    #[must_use]
    pub(super) fn beyond_quota(after: Micros) -> LocalResponse {
        LocalResponse {
            status: 429,
            ..LocalResponse::refused(Some(after))
        }
    }

    /// The same, and the end of the connection.
    #[must_use]
    pub(super) fn and_close(self) -> LocalResponse {
        LocalResponse {
            closes: true,
            ..self
        }
    }

    /// Its bytes; `last`: the connection ends with it.
    #[must_use]
    pub(super) fn encode(&self, last: bool, head_only: bool) -> Vec<u8> {
        let body = if head_only { "" } else { reason(self.status) };
        let mut bytes = Vec::with_capacity(128);
        // Writes to memory don't fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason(self.status)
        );
        if let Some(after) = self.retry_after {
            let _ = write!(bytes, "retry-after: {:.3}\r\n", after as f64 / 1e6);
        }
        let _ = write!(
            bytes,
            "content-type: text/plain\r\ncontent-length: {}\r\n",
            body.len()
        );
        bytes.extend_from_slice(if last {
            b"connection: close\r\n\r\n"
        } else {
            b"\r\n"
        });
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}

#[cfg(test)]
mod tests;

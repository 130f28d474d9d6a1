//! Reads responses from servers' connections, however their bytes are cut.
//!
//! It promises that a response is given out only as it came (status, body and every header but those
//! that concern one connection alone), and that it is complete only where its framing says so, or where
//! its connection ended in order if it has none.

use super::client_request::ClientRequest;
use super::header_lines::forwarded_header_lines;
use super::request_reader::only;
use super::server_response::{Execution, ResponseHead, ServerLoad};
use lichenswitch_http::{parse_response_head, BodyDecoder, Framing, Headers};
use lichenswitch_net::buffer::Buffer;
use std::time::Duration;

/// Longest head of a response (bytes).
const MAX_HEAD_BYTES: usize = 32 * 1_024;

/// A part of a server's response.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ResponsePart {
    /// Its head.
    Head(ResponseHead),
    /// Bytes of its body.
    Body(Vec<u8>),
    /// It is complete.
    End,
}

/// What came is no valid response. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no valid response")]
pub(crate) struct MalformedResponse;

/// Reads the response to one request.
#[derive(Debug)]
pub(crate) struct ResponseReader {
    is_head_request: bool,
    body: Option<(BodyDecoder, Framing)>,
    is_ended: bool,
    keeps_alive: bool,
    idle_time: Option<Duration>,
}

impl ResponseReader {
    /// A reader for the response to this request.
    #[must_use]
    pub(crate) fn new(request: &ClientRequest) -> ResponseReader {
        let is_head_request = request.is_head();
        ResponseReader {
            is_head_request,
            body: None,
            is_ended: false,
            keeps_alive: false,
            idle_time: None,
        }
    }

    /// The next part, if it has come; `ended`: the connection has closed in order.
    ///
    /// # Errors
    /// What came is no valid response, or one that ends early.
    pub(crate) fn read(
        &mut self,
        input: &mut Buffer,
        ended: bool,
    ) -> Result<Option<ResponsePart>, MalformedResponse> {
        let Some((decoder, _)) = &mut self.body else {
            return self.read_head(input, ended);
        };
        if self.is_ended {
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
        self.is_ended = decoder.is_complete();
        Ok(self.is_ended.then_some(ResponsePart::End))
    }

    /// Whether the server keeps the connection for another request.
    #[must_use]
    pub(crate) fn keeps_connection(&self) -> bool {
        self.keeps_alive
    }

    /// Whether the response declares where it ends.
    #[must_use]
    pub(crate) fn is_framed(&self) -> bool {
        self.body
            .as_ref()
            .is_some_and(|(_, framing)| *framing != Framing::UntilClose)
    }

    /// How long the server keeps idle connections, where it advertises that.
    #[must_use]
    pub(crate) fn idle_time(&self) -> Option<Duration> {
        self.idle_time
    }

    /// Length of the body, where it is declared.
    #[must_use]
    pub(crate) fn content_length(&self) -> Option<u64> {
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
            let parsed = parse_response_head(input.bytes(), MAX_HEAD_BYTES, self.is_head_request);
            let (head, used) = match parsed.map_err(|_| MalformedResponse)? {
                Some(parsed) => parsed,
                None if ended => return Err(MalformedResponse),
                None => return Ok(None),
            };
            input.consume(used);
            match head.status {
                // No upgrade was requested.
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
        // The caller bounds what is buffered.
        let decoder = BodyDecoder::new(head.framing, u64::MAX).map_err(|_| MalformedResponse)?;
        self.body = Some((decoder, head.framing));
        let headers = &head.headers;
        (self.keeps_alive, self.idle_time) = (
            head.keep_alive,
            headers.text("keep-alive").and_then(idle_time),
        );
        Ok(ResponseHead {
            status: head.status,
            forwarded_lines: forwarded_header_lines(headers, &["content-length"]),
            // One that is no text, or comes twice, names no request.
            attempt_id: only(headers, "attempt-id")
                .map_err(|_| MalformedResponse)?
                .map(str::to_owned),
            is_sealed: headers.get("response-seal").is_some(),
            execution: match headers.get("not-executed") {
                Some(_) => Execution::Denied,
                None => Execution::Unstated,
            },
            load: headers.text("server-load").and_then(ServerLoad::parse),
            is_event_stream: is_event_stream(headers),
            has_body: head.framing != Framing::None,
        })
    }
}

pub(crate) fn is_event_stream(headers: &Headers) -> bool {
    let kind = headers.text("content-type").unwrap_or_default();
    kind.split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .eq_ignore_ascii_case("text/event-stream")
}

/// The seconds of `timeout=N`.
pub(crate) fn idle_time(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| {
        let (name, seconds) = part.trim().split_once('=')?;
        name.trim()
            .eq_ignore_ascii_case("timeout")
            .then(|| seconds.trim().parse::<u32>().ok())
            .flatten()
    });
    seconds.map(|seconds| Duration::from_secs(u64::from(seconds)))
}

#[cfg(test)]
mod tests;

//! Reads requests from clients' connections, however their bytes are cut.
//!
//! It promises that a request has one reading or none: what two programs could read in two ways is
//! rejected.

use super::client_request::{ClientRequest, TokenUsage};
use super::header_lines::forwarded_header_lines;
use super::prompt::Prompt;
use lichenswitch_configuration::{KeyDigest, Limits};
use lichenswitch_http::{
    parse_request_head, BodyDecoder, Framing, Headers, MalformedMessage, RequestHead,
};
use lichenswitch_net::buffer::Buffer;
use std::time::Duration;

/// Headers that this program sets itself, that concern how a body travels, or that are for this
/// program alone.
const NOT_FORWARDED: [&str; 8] = [
    "content-length",
    "deadline-ms",
    "target-instance",
    "last-event-id",
    "expect",
    "priority",
    "api-key",
    "tenant",
];

/// Upper bound on a client's deadline: longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(86_400);

/// How far the reading of a request has got.
#[derive(Debug)]
pub(crate) enum RequestProgress {
    /// More bytes are needed.
    Incomplete {
        /// The client waits for `100 Continue`. Reported once.
        expects_continue: bool,
    },
    /// It is complete.
    Complete(Box<ClientRequest>),
}

/// Reads one request.
#[derive(Debug)]
pub(crate) struct RequestReader {
    max_header_bytes: usize,
    max_body_bytes: usize,
    request: Option<(Box<ClientRequest>, BodyDecoder)>,
    /// Bytes of an incomplete head, which stay in the connection's input.
    incomplete_head_bytes: usize,
    expects_continue: bool,
}

impl RequestReader {
    /// A reader under these limits.
    #[must_use]
    pub(crate) fn new(limits: &Limits) -> RequestReader {
        RequestReader {
            max_header_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
            max_body_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
            request: None,
            incomplete_head_bytes: 0,
            expects_continue: false,
        }
    }

    /// Whether the head has come.
    #[must_use]
    pub(crate) fn has_head(&self) -> bool {
        self.request.is_some()
    }

    /// The most bytes of a connection's input that it may need at once: a head is read only when it
    /// is complete.
    #[must_use]
    pub(crate) fn max_input_bytes(&self) -> usize {
        match self.request {
            None => self.max_header_bytes,
            Some(_) => 0,
        }
    }

    /// Bytes that are buffered of the request: its incomplete head, or what has come of its body.
    #[must_use]
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.incomplete_head_bytes + self.buffered_body_bytes()
    }

    fn buffered_body_bytes(&self) -> usize {
        self.request
            .as_ref()
            .map_or(0, |(request, _)| request.body.len())
    }

    /// Reads on in the request.
    ///
    /// # Errors
    /// What comes is no valid request, or exceeds the limits.
    pub(crate) fn read(&mut self, input: &mut Buffer) -> Result<RequestProgress, MalformedMessage> {
        if self.request.is_none() && !self.read_head(input)? {
            self.incomplete_head_bytes = input.bytes().len();
            return Ok(RequestProgress::Incomplete {
                expects_continue: false,
            });
        }
        let is_complete = self.read_body(input)?;
        match self.request.take_if(|_| is_complete) {
            Some((request, _)) => Ok(RequestProgress::Complete(request)),
            None => {
                let expects_continue = std::mem::take(&mut self.expects_continue);
                Ok(RequestProgress::Incomplete {
                    expects_continue: expects_continue && self.buffered_body_bytes() == 0,
                })
            }
        }
    }

    /// `false` while more bytes are needed.
    fn read_head(&mut self, input: &mut Buffer) -> Result<bool, MalformedMessage> {
        let parsed = parse_request_head(input.bytes(), self.max_header_bytes)?;
        let Some((head, used)) = parsed else {
            return Ok(false);
        };
        let line = input
            .bytes()
            .split(|byte| *byte == b'\r')
            .next()
            .unwrap_or_default();
        // Forwarding a stream needs chunked encoding, which older clients can't read.
        if !line.ends_with(b"HTTP/1.1") {
            return Err(MalformedMessage(505, "version"));
        }
        let decoder = BodyDecoder::new(head.framing, self.max_body_bytes as u64)?;
        self.expects_continue = head.expects_continue;
        self.request = Some((Box::new(request_of(head)?), decoder));
        self.incomplete_head_bytes = 0;
        input.consume(used);
        Ok(true)
    }

    /// `false` while more bytes are needed.
    fn read_body(&mut self, input: &mut Buffer) -> Result<bool, MalformedMessage> {
        let Some((request, decoder)) = &mut self.request else {
            return Ok(false);
        };
        loop {
            let decoded = decoder.decode(input.bytes())?;
            request.body.extend_from_slice(decoded.body);
            let (used, complete) = (decoded.consumed, decoded.complete);
            input.consume(used);
            if complete || used == 0 {
                return Ok(complete);
            }
        }
    }
}

fn request_of(head: RequestHead) -> Result<ClientRequest, MalformedMessage> {
    // The route is chosen by the path that the server sees.
    if !head.target.starts_with('/') {
        return Err(MalformedMessage(400, "target without a path"));
    }
    let headers = &head.headers;
    let host = only(headers, "host")?
        .ok_or(MalformedMessage(400, "no host"))?
        .to_owned();
    let deadline = only(headers, "deadline-ms")?.and_then(|text| text.parse::<u64>().ok());
    Ok(ClientRequest {
        host,
        forwarded_lines: forwarded_header_lines(headers, &NOT_FORWARDED),
        attempt_id: only(headers, "attempt-id")?.map(str::to_owned),
        deadline: deadline.map(|ms| Duration::from_millis(ms).min(MAX_DEADLINE)),
        prompt: Prompt::from_headers(headers.get("model"), headers.get("prompt-prefix")),
        key: only_bytes(headers, "api-key")?
            .filter(|key| !key.is_empty())
            .map(KeyDigest::of),
        tokens: token_usage(only_bytes(headers, "token-usage")?),
        last_event_id: headers.get("last-event-id").map(<[u8]>::to_vec),
        body: Vec::new(),
        has_body: head.framing != Framing::None,
        keep_alive: head.keep_alive,
        method: head.method,
        target: head.target,
    })
}

/// The value of a header that must not be repeated.
pub(crate) fn only<'a>(
    headers: &'a Headers,
    name: &'a str,
) -> Result<Option<&'a str>, MalformedMessage> {
    let text = |value| {
        std::str::from_utf8(value).map_err(|_| MalformedMessage(400, "a header is no text"))
    };
    only_bytes(headers, name)?.map(text).transpose()
}

/// The same as bytes, which may be no text.
fn only_bytes<'a>(
    headers: &'a Headers,
    name: &'a str,
) -> Result<Option<&'a [u8]>, MalformedMessage> {
    let mut values = headers.all(name);
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        (_, Some(_)) => Err(MalformedMessage(400, "a header comes twice")),
    }
}

/// Parses `Token-Usage`: two whole numbers separated by a comma.
fn token_usage(value: Option<&[u8]>) -> TokenUsage {
    let Some(value) = value else {
        return TokenUsage::Unspecified;
    };
    let number = |text: &str| text.trim_matches([' ', '\t']).parse::<u64>().ok();
    let sum = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.split_once(','))
        .and_then(|(prompt, max_output)| number(prompt)?.checked_add(number(max_output)?));
    sum.map_or(TokenUsage::Invalid, TokenUsage::Declared)
}

#[cfg(test)]
mod tests;

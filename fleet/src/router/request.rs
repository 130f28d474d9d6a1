//! Requests of clients: read from their connections, and written for servers.
//!
//! It promises that a server gets method, target and body as the client sent them, and every header but those that concern one
//! connection alone and those that this program sets. A request has one reading or none: what two programs could read in two ways is
//! refused.

use super::framing::{BodyDecoder, Framing, FramingError};
use super::headers::Headers;
use lichenswitch_configuration::Limits;
use lichenswitch_net::buffer::Buffer;
use std::io::Write as _;
use std::time::Duration;

/// Most headers of a request.
const MAX_HEADERS: usize = 100;
/// Headers that this program sets itself, or that concern how a body travels.
const OWN: [&str; 5] = ["content-length", "deadline-ms", "target-instance", "last-event-id", "expect"];
/// Longest time that a client may say it waits: longer ones are no different.
const MAX_DEADLINE: Duration = Duration::from_secs(86_400);

/// A request, whole.
#[derive(Debug, Default, PartialEq)]
pub struct ClientRequest {
    method: String,
    target: String,
    /// Its `Host`.
    pub host: String,
    /// Header lines that are passed on.
    passed: Vec<u8>,
    /// Its `Attempt-Id`.
    pub attempt_id: Option<String>,
    /// How long its client waits.
    pub deadline: Option<Duration>,
    last_event_id: Option<Vec<u8>>,
    /// Its body.
    pub body: Vec<u8>,
    has_body: bool,
    /// The connection stays open after it.
    pub keep_alive: bool,
}

/// What goes with one send of a request.
#[derive(Debug)]
pub struct Send<'a> {
    /// What is left of its time.
    pub left: Duration,
    /// The server that is meant.
    pub instance: &'a str,
    /// A stream goes on behind this event.
    pub resume_after: Option<&'a [u8]>,
}

/// Why a request can't be read: the status that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The status.
    pub status: u16,
}

/// How far the reading of a request has come.
#[derive(Debug)]
pub enum Progress {
    /// More bytes are needed.
    More {
        /// The client waits to be told that it may go on; told once.
        expects_continue: bool,
    },
    /// It is whole.
    Whole(Box<ClientRequest>),
}

/// Reads one request.
#[derive(Debug)]
pub struct RequestReader {
    max_header_bytes: usize,
    max_body_bytes: usize,
    request: Option<(Box<ClientRequest>, BodyDecoder)>,
    expects_continue: bool,
}

impl ClientRequest {
    /// The target as it came, path and query.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.target
    }

    /// Whether its answer has no body.
    #[must_use]
    pub fn is_head(&self) -> bool {
        self.method == "HEAD"
    }

    /// Bytes that it holds.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.body.len() + self.passed.len() + self.target.len()
    }

    /// Writes its head for a server.
    pub fn encode(&self, send: &Send<'_>, to: &mut Vec<u8>) {
        to.reserve(self.passed.len() + self.target.len() + 256);
        // Writes to memory don't fail.
        let _ = write!(to, "{} {} HTTP/1.1\r\n", self.method, self.target);
        to.extend_from_slice(&self.passed);
        let _ = write!(to, "Deadline-Ms: {}\r\n", send.left.as_millis());
        let _ = write!(to, "Target-Instance: {}\r\n", send.instance);
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

impl RequestReader {
    /// A reader under these limits.
    #[must_use]
    pub fn new(limits: &Limits) -> RequestReader {
        RequestReader {
            max_header_bytes: usize::try_from(limits.max_header_bytes).unwrap_or(usize::MAX),
            max_body_bytes: usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX),
            request: None,
            expects_continue: false,
        }
    }

    /// Whether the head has come.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.request.is_some()
    }

    /// Bytes of a body that it holds.
    #[must_use]
    pub fn held(&self) -> usize {
        self.request.as_ref().map_or(0, |(request, _)| request.body.len())
    }

    /// Reads on.
    ///
    /// # Errors
    /// What comes is no request within the limits.
    pub fn read(&mut self, input: &mut Buffer) -> Result<Progress, Malformed> {
        if self.request.is_none() && !self.read_head(input)? {
            return Ok(Progress::More { expects_continue: false });
        }
        let whole = self.read_body(input)?;
        match self.request.take_if(|_| whole) {
            Some((request, _)) => Ok(Progress::Whole(request)),
            None => {
                let waits = std::mem::take(&mut self.expects_continue);
                Ok(Progress::More { expects_continue: waits && self.held() == 0 })
            }
        }
    }

    /// `false`: it is not whole yet.
    fn read_head(&mut self, input: &mut Buffer) -> Result<bool, Malformed> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let bytes = input.bytes();
        let used = match head.parse(bytes) {
            Ok(httparse::Status::Complete(used)) if used <= self.max_header_bytes => used,
            Ok(httparse::Status::Partial) if bytes.len() < self.max_header_bytes => return Ok(false),
            Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Malformed { status: 431 }),
            Err(httparse::Error::Version) => return Err(Malformed { status: 505 }),
            Err(_) => return Err(Malformed { status: 400 }),
        };
        // What is passed on as it comes needs chunks, which older clients can't read.
        if head.version != Some(1) {
            return Err(Malformed { status: 505 });
        }
        let headers = Headers(head.headers);
        let framing = headers.framing().map_err(status_of)?.unwrap_or(Framing::None);
        if matches!(framing, Framing::Length(length) if length > self.max_body_bytes as u64) {
            return Err(Malformed { status: 413 });
        }
        let request = request_of(head.method, head.path, headers, framing)?;
        self.expects_continue = headers.has_token("expect", "100-continue");
        self.request = Some((Box::new(request), BodyDecoder::new(framing)));
        input.consume(used);
        Ok(true)
    }

    /// `false`: it is not whole yet.
    fn read_body(&mut self, input: &mut Buffer) -> Result<bool, Malformed> {
        let Some((request, decoder)) = &mut self.request else { return Ok(false) };
        while let Some(decoded) = decoder.decode(input.bytes()).map_err(status_of)? {
            if request.body.len() + decoded.bytes.len() > self.max_body_bytes {
                return Err(Malformed { status: 413 });
            }
            request.body.extend_from_slice(decoded.bytes);
            input.consume(decoded.used);
        }
        Ok(decoder.is_done())
    }
}

fn status_of(error: FramingError) -> Malformed {
    Malformed { status: if error == FramingError::Coding { 501 } else { 400 } }
}

fn request_of(
    method: Option<&str>,
    target: Option<&str>,
    headers: Headers<'_>,
    framing: Framing,
) -> Result<ClientRequest, Malformed> {
    let malformed = Malformed { status: 400 };
    let target = target.unwrap_or_default();
    // Guards the choice of the route: it is made by the path that the server sees.
    if !target.starts_with('/') {
        return Err(malformed);
    }
    let host = only(headers, "host")?.ok_or(malformed)?;
    let mut passed = Vec::with_capacity(512);
    headers.write_passed(&OWN, &mut passed);
    let deadline = only(headers, "deadline-ms")?.and_then(|text| text.parse::<u64>().ok());
    Ok(ClientRequest {
        method: method.unwrap_or_default().to_owned(),
        target: target.to_owned(),
        host: host.to_owned(),
        passed,
        attempt_id: only(headers, "attempt-id")?.map(str::to_owned),
        deadline: deadline.map(|ms| Duration::from_millis(ms).min(MAX_DEADLINE)),
        last_event_id: headers.all("last-event-id").next().map(<[u8]>::to_vec),
        body: Vec::new(),
        has_body: framing != Framing::None,
        keep_alive: !headers.has_token("connection", "close"),
    })
}

/// The value of a header that may come once.
fn only<'a>(headers: Headers<'a>, name: &'a str) -> Result<Option<&'a str>, Malformed> {
    let mut values = headers.all(name);
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => match std::str::from_utf8(value) {
            Ok(text) => Ok(Some(text.trim())),
            Err(_) => Err(Malformed { status: 400 }),
        },
        (Some(_), Some(_)) => Err(Malformed { status: 400 }),
    }
}

#[cfg(test)]
mod tests;

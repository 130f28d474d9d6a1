//! HTTP/1.1 messages: requests of clients, and responses of servers that this program asks.
//!
//! Small messages are read whole: [`request`], [`response`]. Whoever passes a message on as it
//! comes reads its head with [`parse_request_head`] or [`parse_response_head`] and its body with a
//! [`BodyDecoder`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body;
mod head;

pub use body::{encode_chunk, BodyDecoder, Decoded, LAST_CHUNK};
pub use head::{
    parse_request_head, parse_response_head, Framing, HeaderField, Headers, RequestHead,
    ResponseHead,
};

use std::fmt::Write as _;

/// Most bytes of a message's head.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
const MAX_HEADERS: usize = 64;

/// A request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target as it came.
    pub target: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
}

/// A response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after it.
    pub keep_alive: bool,
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
}

impl Request {
    /// The value of a header, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
    /// The target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
    /// What follows the first `?` of the target.
    #[must_use]
    pub fn query(&self) -> &str {
        self.target
            .split_once('?')
            .map_or("", |t| t.1)
            .split('#')
            .next()
            .unwrap_or_default()
    }
}

impl Response {
    /// The value of a header, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A response of this program with a body of this kind.
    #[must_use]
    pub fn new(status: u16, kind: &str, body: impl Into<Vec<u8>>) -> Response {
        let headers = vec![("content-type".into(), kind.into())];
        Response {
            status,
            headers,
            body: body.into(),
            keep_alive: true,
        }
    }

    /// One more header.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Response {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Its bytes; without the body for the answer to a HEAD request.
    #[must_use]
    pub fn encode(&self, keep_alive: bool, head_only: bool) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        for (name, value) in &self.headers {
            // A value with line ends would forge headers.
            let value: String = value.chars().filter(|c| !c.is_control()).collect();
            let _ = write!(head, "{name}: {value}\r\n");
        }
        let connection = if keep_alive { "keep-alive" } else { "close" };
        let _ = write!(
            head,
            "content-length: {}\r\nconnection: {connection}\r\n\r\n",
            self.body.len()
        );
        let mut bytes = head.into_bytes();
        if !head_only {
            bytes.extend_from_slice(&self.body);
        }
        bytes
    }
}

/// The words that stand beside a status code.
#[must_use]
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        406 => "Not Acceptable",
        408 => "Request Timeout",
        409 => "Conflict",
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

/// What was read so far.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed<T> {
    /// More bytes are needed; `true`: the client waits for `100 Continue` before it sends its body.
    Partial(bool),
    /// A message, and how many bytes it took.
    Complete(T, usize),
}

/// Why a message can't be read: the status that says so, and words for a log.
#[derive(Clone, Debug, PartialEq)]
pub struct MalformedMessage(pub u16, pub &'static str);

fn text(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, MalformedMessage> {
    let one = |h: &httparse::Header<'_>| {
        let value =
            std::str::from_utf8(h.value).map_err(|_| MalformedMessage(400, "header is no text"))?;
        // Other white space is a part of the value.
        let value = value.trim_matches([' ', '\t']);
        Ok((h.name.to_ascii_lowercase(), value.to_string()))
    };
    headers.iter().map(one).collect()
}

/// The body that begins the bytes and what it took; `None` while it is not whole.
fn body(
    framing: Framing,
    rest: &[u8],
    most: usize,
) -> Result<Option<(Vec<u8>, usize)>, MalformedMessage> {
    let mut decoder = BodyDecoder::new(framing, most as u64)?;
    if let Framing::Length(length) = framing {
        // Nothing is copied before it is here.
        let whole = usize::try_from(length)
            .ok()
            .and_then(|length| rest.get(..length));
        return Ok(whole.map(|body| (body.to_vec(), body.len())));
    }
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let decoded = decoder.decode(&rest[at..])?;
        body.extend_from_slice(decoded.body);
        at += decoded.consumed;
        match decoded {
            Decoded { complete: true, .. } => return Ok(Some((body, at))),
            Decoded { consumed: 0, .. } => return Ok(None),
            Decoded { .. } => {}
        }
    }
}

/// Reads a request from the bytes that a client has sent so far.
///
/// # Errors
/// What makes the bytes no request, with the status to refuse them with.
pub fn request(bytes: &[u8]) -> Result<Parsed<Request>, MalformedMessage> {
    request_up_to(bytes, MAX_BODY_BYTES)
}

/// As [`request`], with a body of at most `most` bytes.
///
/// # Errors
/// What makes the bytes no request, with the status to refuse them with.
pub fn request_up_to(bytes: &[u8], most: usize) -> Result<Parsed<Request>, MalformedMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let Some(used) = head::request_line_and_fields(&mut head, bytes, MAX_HEAD_BYTES)? else {
        return Ok(Parsed::Partial(false));
    };
    let headers = text(head.headers)?;
    let Some(found) = body(head::framing(head.headers)?, &bytes[used..], most)? else {
        let waits =
            find(&headers, "expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
        return Ok(Parsed::Partial(waits && bytes.len() == used));
    };
    let request = Request {
        method: head.method.unwrap_or_default().to_string(),
        target: head.path.unwrap_or_default().to_string(),
        keep_alive: head::keeps_connection(head.version, head.headers),
        headers,
        body: found.0,
    };
    Ok(Parsed::Complete(request, used + found.1))
}

/// Reads a response with a body of at most `most` bytes; `ended`: the server sends nothing more.
///
/// # Errors
/// What makes the bytes no response.
pub fn response(
    bytes: &[u8],
    ended: bool,
    most: usize,
) -> Result<Parsed<Response>, MalformedMessage> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Some(used) = head::status_line_and_fields(&mut head, bytes, MAX_HEAD_BYTES)? else {
        return Ok(Parsed::Partial(false));
    };
    let (status, rest) = (head.code.unwrap_or_default(), &bytes[used..]);
    let headers = text(head.headers)?;
    let mut keep_alive = head::keeps_connection(head.version, head.headers);
    let found = match head::framing(head.headers)? {
        _ if head::has_no_body(status) => Some((Vec::new(), 0)),
        // Without a length the body goes on until the server ends the connection.
        Framing::None if rest.len() > most => return Err(MalformedMessage(413, "body too large")),
        Framing::None => {
            keep_alive = false;
            ended.then(|| (rest.to_vec(), rest.len()))
        }
        framing => body(framing, rest, most)?,
    };
    let Some((body, length)) = found else {
        return Ok(Parsed::Partial(false));
    };
    Ok(Parsed::Complete(
        Response {
            status,
            headers,
            body,
            keep_alive,
        },
        used + length,
    ))
}

#[cfg(test)]
mod tests;

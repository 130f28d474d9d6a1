//! Heads of messages, read without their bodies: what a relay needs to pass a message on as it
//! comes.
//!
//! It owns how a body is framed and whether a connection stays open, for messages read whole as
//! well. It promises that a head has one reading or none: what two programs could read in two ways
//! is refused.

use super::MalformedMessage;
use httparse::{Header, Status, EMPTY_HEADER};

/// Header fields of a head.
const FIELDS: usize = 128;

/// Where a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    None,
    /// After so many bytes.
    Length(u64),
    /// With its last chunk.
    Chunked,
    /// With the connection: nothing tells whether it is whole.
    UntilClose,
}

/// One field of a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeaderField {
    /// Its name as it came.
    pub name: String,
    /// Its value without the white space around it.
    pub value: Vec<u8>,
}

/// The fields of a head, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<HeaderField>);

/// Fields that concern one connection, whatever `Connection` says.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    fn copied(fields: &[Header<'_>]) -> Headers {
        let copy = |h: &Header<'_>| HeaderField {
            name: h.name.to_owned(),
            value: h.value.trim_ascii().to_vec(),
        };
        Headers(fields.iter().map(copy).collect())
    }

    /// All values of a name, in whichever case that is written.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case(name))
            .map(|h| h.value.as_slice())
    }

    /// The first value of a name.
    #[must_use]
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    /// The first value of a name, if it is text.
    #[must_use]
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// The fields that are passed on: none that concerns one connection alone, by the standard or
    /// by `Connection`. The length is among them; whoever frames the body anew leaves it out.
    pub fn end_to_end(&self) -> impl Iterator<Item = &HeaderField> {
        let named: Vec<&[u8]> = self.all("connection").flat_map(tokens).collect();
        self.0.iter().filter(move |h| {
            let name = h.name.as_bytes();
            !HOP_BY_HOP
                .iter()
                .any(|own| name.eq_ignore_ascii_case(own.as_bytes()))
                && !named.iter().any(|other| name.eq_ignore_ascii_case(other))
        })
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Its target as it came.
    pub target: String,
    /// Its fields.
    pub headers: Headers,
    /// Where its body ends.
    pub framing: Framing,
    /// Whether the connection stays open after the request.
    pub keep_alive: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Its status code.
    pub status: u16,
    /// Its fields.
    pub headers: Headers,
    /// Where its body ends.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Whether the final response is still to come.
    #[must_use]
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Reads the head of a request of at most `most` bytes; tells how many it took. `None`: more bytes
/// are needed.
///
/// # Errors
/// Why it can't be read, with the status that tells the client.
pub fn parse_request_head(
    bytes: &[u8],
    most: usize,
) -> Result<Option<(RequestHead, usize)>, MalformedMessage> {
    let mut fields = [EMPTY_HEADER; FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let Some(used) = request_line_and_fields(&mut head, bytes, most)? else {
        return Ok(None);
    };
    let framing = framing_of(head.version, head.headers)?;
    let expects = values(head.headers, "expect").any(|v| v.eq_ignore_ascii_case(b"100-continue"));
    let parsed = RequestHead {
        method: head.method.unwrap_or_default().to_owned(),
        target: head.path.unwrap_or_default().to_owned(),
        keep_alive: keeps_connection(head.version, head.headers),
        headers: Headers::copied(head.headers),
        framing,
        // Nobody waits where nothing is to come.
        expects_continue: expects && !matches!(framing, Framing::None | Framing::Length(0)),
    };
    Ok(Some((parsed, used)))
}

/// Reads the head of a response of at most `most` bytes; tells how many it took. `None`: more bytes
/// are needed. `to_head`: it answers a HEAD request, so that it has no body whatever its fields
/// say.
///
/// # Errors
/// Why it can't be read.
pub fn parse_response_head(
    bytes: &[u8],
    most: usize,
    to_head: bool,
) -> Result<Option<(ResponseHead, usize)>, MalformedMessage> {
    let mut fields = [EMPTY_HEADER; FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let Some(used) = status_line_and_fields(&mut head, bytes, most)? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or_default();
    let framing = match framing_of(head.version, head.headers)? {
        _ if to_head || has_no_body(status) => Framing::None,
        Framing::None => Framing::UntilClose,
        framing => framing,
    };
    let forwarded_headers = keeps_connection(head.version, head.headers);
    // After a switch of protocols the connection speaks another one.
    let keep_alive = forwarded_headers && framing != Framing::UntilClose && status != 101;
    Ok(Some((
        ResponseHead {
            status,
            headers: Headers::copied(head.headers),
            framing,
            keep_alive,
        },
        used,
    )))
}

/// Interim responses and these two have no body, whatever their fields say.
pub(crate) fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// Parses the head of a request; its length, or `None` while it is not whole.
pub(crate) fn request_line_and_fields<'h, 'b>(
    head: &mut httparse::Request<'h, 'b>,
    bytes: &'b [u8],
    most: usize,
) -> Result<Option<usize>, MalformedMessage> {
    length_of_head(head.parse(bytes), bytes.len(), most).map_err(|e| match e {
        httparse::Error::TooManyHeaders => MalformedMessage(431, "head too large"),
        httparse::Error::Version => MalformedMessage(505, "version"),
        _ => MalformedMessage(400, "malformed head"),
    })
}

/// Parses the head of a response; its length, or `None` while it is not whole.
pub(crate) fn status_line_and_fields<'h, 'b>(
    head: &mut httparse::Response<'h, 'b>,
    bytes: &'b [u8],
    most: usize,
) -> Result<Option<usize>, MalformedMessage> {
    length_of_head(head.parse(bytes), bytes.len(), most)
        .map_err(|_| MalformedMessage(502, "malformed head of a response"))
}

/// The length of a head of which so many bytes are here, or `None` while it is not whole. One that
/// is longer than `most` is refused as one with too many fields is.
fn length_of_head(
    parsed: httparse::Result<usize>,
    here: usize,
    most: usize,
) -> Result<Option<usize>, httparse::Error> {
    match parsed? {
        Status::Complete(used) if used <= most => Ok(Some(used)),
        Status::Partial if here < most => Ok(None),
        Status::Complete(_) | Status::Partial => Err(httparse::Error::TooManyHeaders),
    }
}

fn values<'a>(fields: &'a [Header<'a>], name: &'a str) -> impl Iterator<Item = &'a [u8]> {
    fields
        .iter()
        .filter(move |h| h.name.eq_ignore_ascii_case(name))
        .map(|h| h.value.trim_ascii())
}

fn tokens(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split(|b| *b == b',').map(<[u8]>::trim_ascii)
}

/// Where the body ends by the fields; [`Framing::None`] where they don't tell.
fn framing_of(version: Option<u8>, fields: &[Header<'_>]) -> Result<Framing, MalformedMessage> {
    // Guards against request smuggling: programs that know the older version alone don't read the
    // field.
    if version == Some(0) && values(fields, "transfer-encoding").next().is_some() {
        return Err(MalformedMessage(400, "transfer-encoding in HTTP/1.0"));
    }
    framing(fields)
}

/// The same, whatever the version is.
pub(crate) fn framing(fields: &[Header<'_>]) -> Result<Framing, MalformedMessage> {
    let mut codings = values(fields, "transfer-encoding")
        .flat_map(tokens)
        .peekable();
    if codings.peek().is_some() {
        // Guards against request smuggling: with both, two readers may see two different messages.
        if values(fields, "content-length").next().is_some() {
            return Err(MalformedMessage(
                400,
                "both content-length and transfer-encoding",
            ));
        }
        let chunked = codings
            .next()
            .is_some_and(|c| c.eq_ignore_ascii_case(b"chunked"));
        return match (chunked, codings.next()) {
            (true, None) => Ok(Framing::Chunked),
            _ => Err(MalformedMessage(
                501,
                "transfer-encoding other than chunked",
            )),
        };
    }
    let mut lengths = values(fields, "content-length").flat_map(tokens);
    let Some(first) = lengths.next() else {
        return Ok(Framing::None);
    };
    // The same: lengths that differ are two messages in one.
    if lengths.any(|other| other != first)
        || first.is_empty()
        || !first.iter().all(u8::is_ascii_digit)
    {
        return Err(MalformedMessage(400, "bad content-length"));
    }
    let length = std::str::from_utf8(first)
        .ok()
        .and_then(|digits| digits.parse().ok());
    length
        .map(Framing::Length)
        .ok_or(MalformedMessage(413, "content-length out of bounds"))
}

pub(crate) fn keeps_connection(version: Option<u8>, fields: &[Header<'_>]) -> bool {
    let mut options = values(fields, "connection").flat_map(tokens);
    match version {
        Some(1) => !options.any(|t| t.eq_ignore_ascii_case(b"close")),
        _ => options.any(|t| t.eq_ignore_ascii_case(b"keep-alive")),
    }
}

#[cfg(test)]
mod tests;

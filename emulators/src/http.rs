//! The subset of HTTP/1.1 that a data node needs: requests and responses with a `Content-Length`.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its method.
    pub method: String,
    /// Its target as received.
    pub target: String,
}

impl Request {
    /// The target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The value of a parameter of the query.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?').map_or("", |t| t.1);
        let found = form_urlencoded::parse(query.as_bytes()).find(|p| p.0 == name);
        found.map(|p| p.1.to_string())
    }
}

/// Removes the next complete request from the buffer; `None`: there is none yet.
///
/// # Errors
/// When the bytes are no request.
pub fn take_request(buffer: &mut Vec<u8>) -> Result<Option<Request>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(buffer)? {
        httparse::Status::Complete(used) => used,
        httparse::Status::Partial => return Ok(None),
    };
    let length = head
        .headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("content-length"));
    let length = length
        .and_then(|h| std::str::from_utf8(h.value).ok()?.trim().parse().ok())
        .unwrap_or(0usize);
    let request = Request {
        method: head.method.unwrap_or_default().into(),
        target: head.path.unwrap_or_default().into(),
    };
    if buffer.len() < used + length {
        return Ok(None);
    }
    buffer.drain(..used + length);
    Ok(Some(request))
}

/// The standard reason phrase of a status, for the status line; empty for one that no emulator is
/// known to send.
#[must_use]
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}

/// Writes a response with this content type and body; `false`: the connection is gone.
pub fn respond(stream: &mut TcpStream, status: u16, content_type: &str, body: &str) -> bool {
    let head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\nContent-Length: {}\r\n\r\n",
        reason_phrase(status),
        body.len()
    );
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .is_ok()
}

/// Reads requests from a connection until it ends, or `handle` returns `false`.
pub fn serve(mut stream: TcpStream, mut handle: impl FnMut(&mut TcpStream, &Request) -> bool) {
    let (mut buffer, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut chunk) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&chunk[..n]),
            _ => return,
        }
        loop {
            match take_request(&mut buffer) {
                Ok(Some(request)) if handle(&mut stream, &request) => {}
                Ok(None) => break,
                _ => return,
            }
        }
    }
}

#[cfg(test)]
mod tests;

//! The subset of HTTP/1.1 that the emulators of a fleet need: heads, bodies with a length, in chunks
//! or up to the end of the connection, and calls with one response.

use std::fmt;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;
use thiserror::Error;

/// The greatest length of a line of a head.
const MAX_LINE_BYTES: usize = 64 * 1024;

/// Why a message could not be sent or received.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum MessageError {
    /// The connection was refused, or broke.
    #[error("the connection failed: {0}")]
    Connection(std::io::ErrorKind),
    /// Nothing arrived within the timeout.
    #[error("nothing came in time")]
    Timeout,
    /// The connection ended before the message did.
    #[error("the message ended before its end")]
    Truncated,
    /// The bytes are no message of the protocol.
    #[error("no message of the protocol: {0}")]
    NotHttp(String),
}

impl From<std::io::Error> for MessageError {
    fn from(error: std::io::Error) -> MessageError {
        match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => MessageError::Timeout,
            std::io::ErrorKind::UnexpectedEof => MessageError::Truncated,
            kind => MessageError::Connection(kind),
        }
    }
}

/// The first line of a message and its fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The three words of the first line.
    pub first_line: [String; 3],
    /// Names as received, and values, in order.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field of that name, which is compared without case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|f| f.0.eq_ignore_ascii_case(name))
            .map(|f| f.1.as_str())
    }

    /// The status of a response; 0 where the first line has none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.first_line[1].parse().unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    #[must_use]
    pub fn closes(&self) -> bool {
        self.field("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    /// How the end of the body is found; `None` where the head does not say.
    #[must_use]
    pub fn framing(&self) -> Option<Framing> {
        if self
            .field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            return Some(Framing::Chunked);
        }
        self.field("content-length")
            .and_then(|value| value.trim().parse().ok())
            .map(Framing::Length)
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// After this number of bytes.
    Length(usize),
    /// Chunks, up to an empty one.
    Chunked,
}

/// Reads a line without its end; `None`: the connection ended before the line began.
fn line(from: &mut impl BufRead) -> Result<Option<String>, MessageError> {
    let mut bytes = Vec::new();
    if from
        .by_ref()
        .take(MAX_LINE_BYTES as u64)
        .read_until(b'\n', &mut bytes)?
        == 0
    {
        return Ok(None);
    }
    if bytes.pop() != Some(b'\n') {
        return Err(MessageError::Truncated);
    }
    if bytes.last() == Some(&b'\r') {
        bytes.pop();
    }
    String::from_utf8(bytes)
        .map(Some)
        .map_err(|_| MessageError::NotHttp("a line that is no text".into()))
}

/// Reads a head; `None`: the connection ended before it began.
///
/// # Errors
/// When it is truncated, late or no head.
pub fn read_head(from: &mut impl BufRead) -> Result<Option<Head>, MessageError> {
    let Some(first) = line(from)? else {
        return Ok(None);
    };
    let mut words = first.splitn(3, ' ').map(str::to_string);
    let mut word = || words.next().unwrap_or_default();
    let mut head = Head {
        first_line: [word(), word(), word()],
        fields: Vec::new(),
    };
    // A status line begins with the version, a request line ends with it.
    if !head.first_line[0].starts_with("HTTP/1.") && !head.first_line[2].starts_with("HTTP/1.") {
        return Err(MessageError::NotHttp(first));
    }
    loop {
        let text = line(from)?.ok_or(MessageError::Truncated)?;
        if text.is_empty() {
            return Ok(Some(head));
        }
        let (name, value) = text
            .split_once(':')
            .ok_or_else(|| MessageError::NotHttp(text.clone()))?;
        head.fields
            .push((name.to_string(), value.trim().to_string()));
    }
}

/// Reads the next chunk; `None`: that was the last one.
///
/// # Errors
/// When it is truncated, late or no chunk.
pub fn read_chunk(from: &mut impl BufRead) -> Result<Option<Vec<u8>>, MessageError> {
    let size = line(from)?.ok_or(MessageError::Truncated)?;
    let digits = size.split(';').next().unwrap_or_default().trim();
    let length =
        usize::from_str_radix(digits, 16).map_err(|_| MessageError::NotHttp(size.clone()))?;
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    let end = line(from)?.ok_or(MessageError::Truncated)?;
    if !end.is_empty() {
        return Err(MessageError::NotHttp(end));
    }
    Ok((length > 0).then_some(bytes))
}

/// Reads the complete body of a message. Without a length, the body of a response lasts to the end of
/// the connection, and a request has none.
///
/// # Errors
/// When it is truncated, late or against the protocol.
pub fn read_body(
    from: &mut impl BufRead,
    head: &Head,
    is_response: bool,
) -> Result<Vec<u8>, MessageError> {
    let mut body = Vec::new();
    match head.framing() {
        Some(Framing::Length(length)) => {
            body.resize(length, 0);
            from.read_exact(&mut body)?;
        }
        Some(Framing::Chunked) => {
            while let Some(chunk) = read_chunk(from)? {
                body.extend(chunk);
            }
        }
        None if is_response => drop(from.read_to_end(&mut body)?),
        None => {}
    }
    Ok(body)
}

/// A call to one of the system's own interfaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Fields beside those that every call has.
    pub fields: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Call {
    /// A call that only reads.
    #[must_use]
    pub fn get(path: &str) -> Call {
        Call {
            method: "GET".into(),
            path: path.into(),
            ..Call::default()
        }
    }

    /// A call with a JSON body.
    #[must_use]
    pub fn post(path: &str, body: impl Into<Vec<u8>>) -> Call {
        let fields = vec![("Content-Type".into(), "application/json".into())];
        Call {
            method: "POST".into(),
            path: path.into(),
            fields,
            body: body.into(),
        }
    }

    /// The same with one more field.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl fmt::Display) -> Call {
        self.fields.push((name.into(), value.to_string()));
        self
    }

    fn bytes(&self, host: &str) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.path);
        for (name, value) in &self.fields {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!(
            "Connection: close\r\nContent-Length: {}\r\n\r\n",
            self.body.len()
        );
        [text.as_bytes(), &self.body].concat()
    }

    /// Makes the call on a new connection; `timeout` bounds the connect and each read and write.
    ///
    /// # Errors
    /// When no complete response arrives in time.
    pub fn send(&self, to: SocketAddr, timeout: Duration) -> Result<Response, MessageError> {
        let mut stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(&self.bytes(&to.to_string()))?;
        let mut from = BufReader::new(stream);
        let head = read_head(&mut from)?.ok_or(MessageError::Truncated)?;
        let body = read_body(&mut from, &head, true)?;
        Ok(Response { head, body })
    }

    /// Makes the call, and follows a 307, twice at most.
    ///
    /// # Errors
    /// When no complete response arrives in time.
    pub fn send_following(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<Response, MessageError> {
        let (mut call, mut to) = (self.clone(), to);
        let mut response = call.send(to, timeout)?;
        for _ in 0..2 {
            let Some((address, path)) = response.redirect_target() else {
                break;
            };
            (call.path, to) = (path, address);
            response = call.send(to, timeout)?;
        }
        Ok(response)
    }

    /// Sends the call, and closes the connection before its response: the outcome stays unknown.
    ///
    /// # Errors
    /// When it could not be sent.
    pub fn send_without_waiting(
        &self,
        to: SocketAddr,
        timeout: Duration,
    ) -> Result<(), MessageError> {
        let mut stream = TcpStream::connect_timeout(&to, timeout)?;
        stream.set_write_timeout(Some(timeout))?;
        stream.write_all(&self.bytes(&to.to_string()))?;
        Ok(())
    }
}

/// A complete response to a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Response {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

impl Response {
    /// Its status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    fn redirect_target(&self) -> Option<(SocketAddr, String)> {
        let target = self
            .head
            .field("location")
            .filter(|_| self.status() == 307)?
            .strip_prefix("http://")?;
        let (address, path) = target.split_once('/')?;
        Some((address.parse().ok()?, format!("/{path}")))
    }
}

#[cfg(test)]
mod tests;

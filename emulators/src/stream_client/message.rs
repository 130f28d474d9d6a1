//! As much of HTTP/1.1 as the stand-ins of a fleet need: heads, bodies with a length, in chunks or
//! up to the end of the connection, and calls that are answered once.

use std::fmt;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The most that a head may hold.
const HEAD_BYTES: usize = 64 * 1024;

/// Why a message could not be had.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageError {
    /// Nobody took the connection, or it broke.
    Connection(std::io::ErrorKind),
    /// Nothing came for the time allowed.
    Silence,
    /// It ended before its end.
    CutShort,
    /// What came is no message of the protocol.
    NotHttp(String),
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::Connection(kind) => write!(f, "the connection failed: {kind}"),
            MessageError::Silence => f.write_str("nothing came in time"),
            MessageError::CutShort => f.write_str("the message ended before its end"),
            MessageError::NotHttp(what) => write!(f, "no message of the protocol: {what}"),
        }
    }
}

impl std::error::Error for MessageError {}

impl From<std::io::Error> for MessageError {
    fn from(error: std::io::Error) -> MessageError {
        match error.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => MessageError::Silence,
            std::io::ErrorKind::UnexpectedEof => MessageError::CutShort,
            kind => MessageError::Connection(kind),
        }
    }
}

/// The first line of a message and its fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The three words of the first line.
    pub first_line: [String; 3],
    /// Names as they came, and values, in order.
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// The value of the first field of that name, in whatever case.
    #[must_use]
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|f| f.0.eq_ignore_ascii_case(name))
            .map(|f| f.1.as_str())
    }

    /// The status of an answer; 0 where the first line has none.
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

    /// How long the body is; `None` where the head does not tell.
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
    /// So many bytes.
    Length(usize),
    /// Chunks, up to one of no bytes.
    Chunked,
}

/// Reads a line without its end; `None`: the connection ended before the line began.
fn line(from: &mut impl BufRead) -> Result<Option<String>, MessageError> {
    let mut bytes = Vec::new();
    if from
        .by_ref()
        .take(HEAD_BYTES as u64)
        .read_until(b'\n', &mut bytes)?
        == 0
    {
        return Ok(None);
    }
    if bytes.pop() != Some(b'\n') {
        return Err(MessageError::CutShort);
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
/// When it is cut short, late or no head.
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
        let text = line(from)?.ok_or(MessageError::CutShort)?;
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
/// When it is cut short, late or no chunk.
pub fn read_chunk(from: &mut impl BufRead) -> Result<Option<Vec<u8>>, MessageError> {
    let size = line(from)?.ok_or(MessageError::CutShort)?;
    let digits = size.split(';').next().unwrap_or_default().trim();
    let length =
        usize::from_str_radix(digits, 16).map_err(|_| MessageError::NotHttp(size.clone()))?;
    let mut bytes = vec![0; length];
    from.read_exact(&mut bytes)?;
    let end = line(from)?.ok_or(MessageError::CutShort)?;
    if !end.is_empty() {
        return Err(MessageError::NotHttp(end));
    }
    Ok((length > 0).then_some(bytes))
}

/// Reads the whole body of a message; one without a length lasts up to the end of the connection
/// where it is an answer, and has none where it is a request.
///
/// # Errors
/// When it is cut short, late or against the protocol.
pub fn read_body(
    from: &mut impl BufRead,
    head: &Head,
    is_answer: bool,
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
        None if is_answer => drop(from.read_to_end(&mut body)?),
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

    /// Makes the call on a connection of its own, with so long for each step.
    ///
    /// # Errors
    /// When no whole answer comes in time.
    pub fn send(&self, to: SocketAddr, patience: Duration) -> Result<Answer, MessageError> {
        let mut stream = TcpStream::connect_timeout(&to, patience)?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_write_timeout(Some(patience))?;
        stream.write_all(&self.bytes(&to.to_string()))?;
        let mut from = BufReader::new(stream);
        let head = read_head(&mut from)?.ok_or(MessageError::CutShort)?;
        let body = read_body(&mut from, &head, true)?;
        Ok(Answer { head, body })
    }

    /// Makes the call, and goes where a 307 points to, twice at most.
    ///
    /// # Errors
    /// When no whole answer comes in time.
    pub fn send_following(
        &self,
        to: SocketAddr,
        patience: Duration,
    ) -> Result<Answer, MessageError> {
        let (mut call, mut to) = (self.clone(), to);
        let mut answer = call.send(to, patience)?;
        for _ in 0..2 {
            let Some((address, path)) = answer.leads_to() else {
                break;
            };
            (call.path, to) = (path, address);
            answer = call.send(to, patience)?;
        }
        Ok(answer)
    }

    /// Sends the call and leaves before its answer: the caller will not know what became of it.
    ///
    /// # Errors
    /// When it could not even be sent.
    pub fn send_without_waiting(
        &self,
        to: SocketAddr,
        patience: Duration,
    ) -> Result<(), MessageError> {
        let mut stream = TcpStream::connect_timeout(&to, patience)?;
        stream.set_write_timeout(Some(patience))?;
        stream.write_all(&self.bytes(&to.to_string()))?;
        Ok(())
    }
}

/// A whole answer to a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// Its status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.head.status()
    }

    fn leads_to(&self) -> Option<(SocketAddr, String)> {
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

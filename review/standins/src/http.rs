//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message: its first line and its fields, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection that is read in small pieces, with what was read ahead.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0_u8; 4_096];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// The next head; `None`: the other side ended before one began.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let fields = lines.filter_map(|line| line.split_once(':'));
                let fields = fields.map(|(name, value)| {
                    (name.trim().to_ascii_lowercase(), value.trim().to_owned())
                });
                return Ok(Some(Head {
                    line,
                    fields: fields.collect(),
                }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Exactly so many bytes of a body.
    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::with_capacity(length);
        let ahead = length.min(self.buffer.len());
        body.extend(self.buffer.drain(..ahead));
        let mut piece = vec![0_u8; 256 * 1_024];
        while body.len() < length {
            let most = piece.len().min(length - body.len());
            let count = self.stream.read(&mut piece[..most])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..count]);
        }
        Ok(body)
    }

    /// One line of a chunked body, without its end.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// The next chunk of a chunked body; empty: its end.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.line()?;
        let size = usize::from_str_radix(size.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let bytes = self.exact(size)?;
        self.line()?;
        Ok(bytes)
    }

    /// The whole body of a message.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exact(head.length());
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
}

/// One call on a connection of its own, with a whole answer.
pub fn call(
    to: SocketAddr,
    head: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<(Head, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut reader = Reader::new(stream);
    let mut bytes = format!(
        "{head}Host: any\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    reader.stream.write_all(&bytes)?;
    let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = reader.body(&head)?;
    Ok((head, body))
}

/// Waits until something holds; `false`: it did not within this time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

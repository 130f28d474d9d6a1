//! A client of the router.

use super::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A response as a client received it.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// It ended as its framing declares.
    pub complete: bool,
    pub elapsed: Duration,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).expect("a body of text")
    }

    /// Retry-After in seconds.
    pub fn retry_after(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

pub struct Client {
    pub stream: TcpStream,
    input: Vec<u8>,
    sent: Instant,
}

/// A request on the route of the tests; `kind` is the prefix.
pub fn request(method: &str, kind: &str, id: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    format!(
        "{method} /{kind}/item HTTP/1.1\r\nHost: fleet.example\r\nAttempt-Id: {id}\r\n{headers}{length}\r\n{body}"
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("connect");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("timeout");
        stream.set_nodelay(true).expect("nodelay");
        Client {
            stream,
            input: Vec::new(),
            sent: Instant::now(),
        }
    }

    pub fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.sent = Instant::now();
        self.stream.write_all(bytes.as_ref()).expect("send");
    }

    /// Sends a request, and reads its response.
    pub fn round_trip(&mut self, bytes: impl AsRef<[u8]>) -> Reply {
        self.send(bytes);
        self.reply()
    }

    fn read_more(&mut self) -> bool {
        let mut bytes = [0; 16_384];
        match self.stream.read(&mut bytes) {
            Ok(0) => false,
            Ok(read) => {
                self.input.extend_from_slice(&bytes[..read]);
                true
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                panic!(
                    "no response in time; so far: {:?}",
                    String::from_utf8_lossy(&self.input)
                )
            }
            Err(_) => false,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.input.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.input.drain(..at + 2).take(at).collect();
                return Some(String::from_utf8(line).expect("a line of text"));
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    /// The head of the next response; `None` if the connection ends before.
    pub fn head(&mut self) -> Option<Reply> {
        let first = self.line()?;
        let status = first.split(' ').nth(1)?.parse().expect("a status");
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let elapsed = self.sent.elapsed();
        Some(Reply {
            status,
            headers,
            body: Vec::new(),
            complete: false,
            elapsed,
        })
    }

    /// The next chunk of a body; `Ok(None)` at its end, `Err` where it is truncated.
    pub fn chunk(&mut self) -> Result<Option<Vec<u8>>, ()> {
        let size = usize::from_str_radix(self.line().ok_or(())?.trim(), 16).expect("a chunk size");
        while self.input.len() < size + 2 {
            if !self.read_more() {
                return Err(());
            }
        }
        let chunk: Vec<u8> = self.input.drain(..size + 2).take(size).collect();
        Ok((size > 0).then_some(chunk))
    }

    fn body(&mut self, reply: &mut Reply) {
        if reply.header("transfer-encoding").is_some() {
            loop {
                match self.chunk() {
                    Ok(Some(chunk)) => reply.body.extend_from_slice(&chunk),
                    Ok(None) => {
                        reply.complete = true;
                        return;
                    }
                    Err(()) => return,
                }
            }
        }
        let length = reply
            .header("content-length")
            .map(|value| value.parse().expect("a length"));
        match length {
            Some(length) => {
                while self.input.len() < length {
                    if !self.read_more() {
                        reply.body = self.input.split_off(0);
                        return;
                    }
                }
                reply.body = self.input.drain(..length).collect();
                reply.complete = true;
            }
            None if reply.status == 204 => reply.complete = true,
            None => panic!("a response without framing"),
        }
    }

    /// The next response.
    pub fn reply(&mut self) -> Reply {
        let mut reply = self
            .head()
            .expect("a response before the end of the connection");
        if (100..200).contains(&reply.status) {
            return reply;
        }
        self.body(&mut reply);
        reply.elapsed = self.sent.elapsed();
        reply
    }

    /// Whether the connection ends with nothing more on it within a time.
    pub fn ends_within(&mut self, time: Duration) -> bool {
        self.stream.set_read_timeout(Some(time)).expect("timeout");
        let mut bytes = [0; 1_024];
        let read = self.stream.read(&mut bytes);
        self.stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("timeout");
        match read {
            Ok(0) => self.input.is_empty(),
            Ok(_) => false,
            Err(e) => !matches!(
                e.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ),
        }
    }
}

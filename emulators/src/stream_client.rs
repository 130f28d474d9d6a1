//! A client of streamed responses: it sends requests one after another on a connection, reports each
//! event as it arrives and how the response ended, and checks that against the published rules.

pub mod message;

use message::{read_chunk, read_head, Framing, Head, MessageError};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request for a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamRequest {
    /// `Host`.
    pub host: String,
    /// Its path.
    pub path: String,
    /// `Attempt-Id`, unique to each attempt.
    pub attempt: String,
    /// `Deadline-Ms`: how long the client waits, in milliseconds.
    pub deadline_ms: u64,
    /// Tokens of the prompt, the first figure of `Token-Usage`.
    pub prompt_tokens: u32,
    /// The most tokens to generate, the second figure of `Token-Usage`.
    pub output_tokens: u32,
    /// `Prompt-Prefix`, as it is sent.
    pub prompt_prefix: String,
    /// `Api-Key`, where the request bears one.
    pub api_key: Option<String>,
    /// `Last-Event-Id`, where a stream is resumed.
    pub last_event_id: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it is the last one on its connection.
    pub closes: bool,
}

impl StreamRequest {
    /// A request with a short prompt that asks for `output_tokens` tokens.
    #[must_use]
    pub fn new(host: &str, path: &str, attempt: &str, output_tokens: u32) -> StreamRequest {
        StreamRequest {
            host: host.into(),
            path: path.into(),
            attempt: attempt.into(),
            deadline_ms: 5_000,
            prompt_tokens: 48,
            output_tokens,
            prompt_prefix: "5c1e07a2:32,91bd3f06:16".into(),
            api_key: None,
            last_event_id: None,
            body: b"{\"prompt\":\"where is the nearest scooter\"}".to_vec(),
            closes: true,
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST {} HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nModel: m\r\nToken-Usage: {},{}\r\n\
             Prompt-Prefix: {}\r\nContent-Length: {}\r\n",
            self.path,
            self.host,
            self.attempt,
            self.deadline_ms,
            self.prompt_tokens,
            self.output_tokens,
            self.prompt_prefix,
            self.body.len()
        );
        if self.closes {
            head += "Connection: close\r\n";
        }
        if let Some(key) = &self.api_key {
            head += &format!("Api-Key: {key}\r\n");
        }
        if let Some(id) = self.last_event_id {
            head += &format!("Last-Event-Id: {id}\r\n");
        }
        [head.as_bytes(), b"\r\n", &self.body].concat()
    }

    /// Sends the request on a new connection, and reads the response to its end; `on_event` gets each
    /// event as it arrives. Gives up when nothing arrives for `idle_timeout`.
    ///
    /// # Errors
    /// When no head of a response arrives.
    pub fn send(
        &self,
        to: SocketAddr,
        idle_timeout: Duration,
        on_event: impl FnMut(&Event),
    ) -> Result<StreamedResponse, MessageError> {
        ClientConnection::open(to, idle_timeout)?.send(self, on_event)
    }
}

/// A connection of a client; it carries one request after another.
#[derive(Debug)]
pub struct ClientConnection {
    from: BufReader<TcpStream>,
}

impl ClientConnection {
    /// Opens a connection; a request on it ends when nothing arrives for `idle_timeout`.
    ///
    /// # Errors
    /// When the connection is refused.
    pub fn open(to: SocketAddr, idle_timeout: Duration) -> Result<ClientConnection, MessageError> {
        let stream = TcpStream::connect_timeout(&to, idle_timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(idle_timeout))?;
        Ok(ClientConnection {
            from: BufReader::new(stream),
        })
    }

    /// See [`StreamRequest::send`].
    ///
    /// # Errors
    /// When no head of a response arrives.
    pub fn send(
        &mut self,
        request: &StreamRequest,
        on_event: impl FnMut(&Event),
    ) -> Result<StreamedResponse, MessageError> {
        let started_at = Instant::now();
        self.write(request)?;
        self.read(started_at, on_event)
    }

    /// Sends a request.
    ///
    /// # Errors
    /// When the connection has ended.
    pub fn write(&mut self, request: &StreamRequest) -> Result<(), MessageError> {
        Ok(self.from.get_mut().write_all(&request.bytes())?)
    }

    /// Reads the response to the request that was started at `started_at`.
    ///
    /// # Errors
    /// When no head of a response arrives.
    pub fn read(
        &mut self,
        started_at: Instant,
        mut on_event: impl FnMut(&Event),
    ) -> Result<StreamedResponse, MessageError> {
        let head = read_head(&mut self.from)?.ok_or(MessageError::Truncated)?;
        let mut streamed = StreamedResponse {
            head,
            events: Vec::new(),
            body: Vec::new(),
            end: ResponseEnd::Complete,
        };
        let mut buffer = Vec::new();
        streamed.end = loop {
            match next_chunk(&mut self.from, &streamed.head, streamed.body.len()) {
                Ok(Some(chunk)) => {
                    streamed.body.extend_from_slice(&chunk);
                    buffer.extend_from_slice(&chunk);
                    while let Some(event) = take_event(&mut buffer, started_at) {
                        on_event(&event);
                        streamed.events.push(event);
                    }
                }
                Ok(None) => break ResponseEnd::Complete,
                Err(MessageError::Timeout) => break ResponseEnd::TimedOut,
                Err(_) => break ResponseEnd::Truncated,
            }
        };
        Ok(streamed)
    }
}

/// The next bytes of a body, as they arrive; `None`: it is complete.
fn next_chunk(
    from: &mut BufReader<TcpStream>,
    head: &Head,
    received_bytes: usize,
) -> Result<Option<Vec<u8>>, MessageError> {
    let mut max_bytes = 16 * 1024;
    match head.framing() {
        Some(Framing::Chunked) => return read_chunk(from),
        Some(Framing::Length(length)) if received_bytes >= length => return Ok(None),
        Some(Framing::Length(length)) => max_bytes = max_bytes.min(length - received_bytes),
        None => {}
    }
    let mut chunk = vec![0; max_bytes];
    let count = from.read(&mut chunk)?;
    if count == 0 {
        return if head.framing().is_some() {
            Err(MessageError::Truncated)
        } else {
            Ok(None)
        };
    }
    chunk.truncate(count);
    Ok(Some(chunk))
}

/// Removes the next complete event from the buffer.
fn take_event(buffer: &mut Vec<u8>, started_at: Instant) -> Option<Event> {
    let end = buffer.windows(2).position(|pair| pair == b"\n\n")?;
    let bytes: Vec<u8> = buffer.drain(..end + 2).collect();
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let field = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    let id = field("id:").and_then(|id| id.parse().ok());
    let data = field("data:").unwrap_or_default().to_string();
    Some(Event {
        at: started_at.elapsed(),
        id,
        data,
    })
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time from the start of the request to its arrival.
    pub at: Duration,
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its first line of data.
    pub data: String,
}

/// How a response ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ResponseEnd {
    /// As its framing says.
    Complete,
    /// The connection ended before.
    Truncated,
    /// Nothing arrived within the idle timeout.
    TimedOut,
}

/// The response to a request, as far as it arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamedResponse {
    /// The head of the response.
    pub head: Head,
    /// The events that arrived complete.
    pub events: Vec<Event>,
    /// All bytes of the body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: ResponseEnd,
}

/// What in a response breaks the published rules.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamFault {
    /// A success without `Response-Seal`.
    NoSeal,
    /// It carries the id of another request.
    OtherAttempt(String),
    /// An event follows one that is not its predecessor: an event is missing or duplicated.
    Order(Option<u64>, Option<u64>),
    /// An event belongs to another request.
    OtherRequest(String),
    /// It ended as complete, but its last event is not the last one of the stream.
    EndsEarly,
}

impl StreamedResponse {
    /// Whether this is a success with its last event.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.head.status() == 200 && self.end == ResponseEnd::Complete && !self.events.is_empty()
    }

    /// Checks a success that a [`ModelServer`](crate::model_server::ModelServer) gave: its data
    /// name the attempt, the number of the event and how many there are. `attempts` are all that
    /// the stream may have run under.
    #[must_use]
    pub fn faults(&self, request: &StreamRequest, attempts: &[&str]) -> Vec<StreamFault> {
        let mut faults = Vec::new();
        if self.head.status() != 200 {
            return faults;
        }
        faults.extend(
            self.head
                .field("response-seal")
                .is_none()
                .then_some(StreamFault::NoSeal),
        );
        if let Some(other) = self
            .head
            .field("attempt-id")
            .filter(|id| *id != request.attempt)
        {
            faults.push(StreamFault::OtherAttempt(other.into()));
        }
        let mut before = request.last_event_id.or(Some(0));
        let mut total = None;
        for event in &self.events {
            if event.id != before.map(|id| id + 1) {
                faults.push(StreamFault::Order(before, event.id));
            }
            before = event.id;
            let mut words = event.data.split([' ', '/']);
            let attempt = words.next().unwrap_or_default();
            if !attempts.contains(&attempt) {
                faults.push(StreamFault::OtherRequest(attempt.into()));
            }
            total = words.nth(1).and_then(|word| word.parse::<u64>().ok());
        }
        let is_last = total.is_some() && total == before;
        faults.extend(
            (self.end == ResponseEnd::Complete && !is_last).then_some(StreamFault::EndsEarly),
        );
        faults
    }
}

#[cfg(test)]
mod tests;

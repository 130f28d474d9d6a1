//! A client of streams: it sends one request on a connection of its own, and tells what came, event
//! by event, and how it ended. What it makes of that is an opinion of the published rules alone.

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
    /// `Attempt-Id`: every try has its own.
    pub attempt: String,
    /// `Deadline-Ms`: how long the client will wait.
    pub deadline_ms: u64,
    /// `Token-Usage`: tokens of the prompt, and the most to come out.
    pub tokens: (u32, u32),
    /// `Prompt-Prefix`, as it is sent.
    pub prompt_prefix: String,
    /// `Last-Event-Id`, where a stream is taken up.
    pub last_event_id: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether it is the last one on its connection.
    pub closes: bool,
}

impl StreamRequest {
    /// A request for about so many tokens out of a short prompt.
    #[must_use]
    pub fn new(host: &str, path: &str, attempt: &str, tokens_out: u32) -> StreamRequest {
        StreamRequest {
            host: host.into(),
            path: path.into(),
            attempt: attempt.into(),
            deadline_ms: 5_000,
            tokens: (48, tokens_out),
            prompt_prefix: "5c1e07a2:32,91bd3f06:16".into(),
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
            self.tokens.0,
            self.tokens.1,
            self.prompt_prefix,
            self.body.len()
        );
        if self.closes {
            head += "Connection: close\r\n";
        }
        if let Some(id) = self.last_event_id {
            head += &format!("Last-Event-Id: {id}\r\n");
        }
        [head.as_bytes(), b"\r\n", &self.body].concat()
    }

    /// Sends the request and reads the answer to its end, telling each event as it comes; gives up
    /// after a silence of so long.
    ///
    /// # Errors
    /// When there is not even a head of an answer.
    pub fn send(
        &self,
        to: SocketAddr,
        silence: Duration,
        tell: impl FnMut(&Event),
    ) -> Result<Streamed, MessageError> {
        ClientConnection::open(to, silence)?.send(self, tell)
    }
}

/// A connection of a client, for one request after another.
#[derive(Debug)]
pub struct ClientConnection {
    from: BufReader<TcpStream>,
}

impl ClientConnection {
    /// Opens a connection on which a silence of so long ends a request.
    ///
    /// # Errors
    /// When nobody takes it.
    pub fn open(to: SocketAddr, silence: Duration) -> Result<ClientConnection, MessageError> {
        let stream = TcpStream::connect_timeout(&to, silence)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(silence))?;
        Ok(ClientConnection {
            from: BufReader::new(stream),
        })
    }

    /// See [`StreamRequest::send`].
    ///
    /// # Errors
    /// When there is not even a head of an answer.
    pub fn send(
        &mut self,
        request: &StreamRequest,
        tell: impl FnMut(&Event),
    ) -> Result<Streamed, MessageError> {
        let began = Instant::now();
        self.write(request)?;
        self.read(began, tell)
    }

    /// Sends a request.
    ///
    /// # Errors
    /// When the connection has ended.
    pub fn write(&mut self, request: &StreamRequest) -> Result<(), MessageError> {
        Ok(self.from.get_mut().write_all(&request.bytes())?)
    }

    /// Reads the answer to the request that was begun at that moment.
    ///
    /// # Errors
    /// When there is not even a head of an answer.
    pub fn read(
        &mut self,
        began: Instant,
        mut tell: impl FnMut(&Event),
    ) -> Result<Streamed, MessageError> {
        let head = read_head(&mut self.from)?.ok_or(MessageError::CutShort)?;
        let mut streamed = Streamed {
            head,
            events: Vec::new(),
            body: Vec::new(),
            end: End::Whole,
        };
        let mut held = Vec::new();
        streamed.end = loop {
            match next_piece(&mut self.from, &streamed.head, streamed.body.len()) {
                Ok(Some(piece)) => {
                    streamed.body.extend_from_slice(&piece);
                    held.extend_from_slice(&piece);
                    while let Some(event) = next_event(&mut held, began) {
                        tell(&event);
                        streamed.events.push(event);
                    }
                }
                Ok(None) => break End::Whole,
                Err(MessageError::Silence) => break End::Silent,
                Err(_) => break End::Cut,
            }
        };
        Ok(streamed)
    }
}

/// The next bytes of a body, as they come; `None`: it is whole.
fn next_piece(
    from: &mut BufReader<TcpStream>,
    head: &Head,
    had: usize,
) -> Result<Option<Vec<u8>>, MessageError> {
    let mut most = 16 * 1024;
    match head.framing() {
        Some(Framing::Chunked) => return read_chunk(from),
        Some(Framing::Length(length)) if had >= length => return Ok(None),
        Some(Framing::Length(length)) => most = most.min(length - had),
        None => {}
    }
    let mut piece = vec![0; most];
    let count = from.read(&mut piece)?;
    if count == 0 {
        return if head.framing().is_some() {
            Err(MessageError::CutShort)
        } else {
            Ok(None)
        };
    }
    piece.truncate(count);
    Ok(Some(piece))
}

/// Takes the next whole event off what was read.
fn next_event(held: &mut Vec<u8>, began: Instant) -> Option<Event> {
    let end = held.windows(2).position(|pair| pair == b"\n\n")?;
    let bytes: Vec<u8> = held.drain(..end + 2).collect();
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let field = |name: &str| {
        text.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    let id = field("id:").and_then(|id| id.parse().ok());
    let data = field("data:").unwrap_or_default().to_string();
    Some(Event {
        at: began.elapsed(),
        id,
        data,
    })
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it came, since the request was begun.
    pub at: Duration,
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its first line of data.
    pub data: String,
}

/// How an answer ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// As its framing says.
    Whole,
    /// The connection ended before.
    Cut,
    /// Nothing came for as long as the client waits.
    Silent,
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Streamed {
    /// The head of the answer.
    pub head: Head,
    /// The events that came whole.
    pub events: Vec<Event>,
    /// All bytes of the body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

/// What is wrong with an answer by the published rules.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamFault {
    /// A success without `Response-Seal`.
    NoSeal,
    /// It carries the id of another request.
    OtherAttempt(String),
    /// An event follows one that is not its predecessor: a piece is missing or comes twice.
    Order(Option<u64>, Option<u64>),
    /// An event belongs to another request.
    OtherRequest(String),
    /// It ended as whole, but its last event does not say so.
    EndsEarly,
}

impl Streamed {
    /// Whether this is a success with its last event.
    #[must_use]
    pub fn is_served(&self) -> bool {
        self.head.status() == 200 && self.end == End::Whole && !self.events.is_empty()
    }

    /// Judges a success that a [`ModelServer`](crate::model_server::ModelServer) gave: its data
    /// name the attempt, the number of the event and how many there are. `attempts` are all that
    /// the stream may have been run under.
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
        faults.extend((self.end == End::Whole && !is_last).then_some(StreamFault::EndsEarly));
        faults
    }
}

#[cfg(test)]
mod tests;

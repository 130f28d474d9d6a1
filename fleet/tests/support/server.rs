//! Scripted model servers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Number of its connection.
    pub connection: usize,
    pub method: String,
    pub target: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn id(&self) -> &str {
        self.header("attempt-id").unwrap_or_default()
    }

    pub fn deadline_ms(&self) -> u64 {
        self.header("deadline-ms")
            .and_then(|value| value.parse().ok())
            .expect("Deadline-Ms")
    }
}

/// The connection on which a script responds.
pub struct ServerConnection {
    pub stream: TcpStream,
    pub number: usize,
}

impl ServerConnection {
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        // The test's own checks detect a router that is gone.
        let _ = self.stream.write_all(bytes.as_ref());
    }

    /// A complete response with a length.
    pub fn respond(&mut self, received: &ReceivedRequest, status: u16, headers: &str, body: &str) {
        let id = received.id();
        self.write(format!(
            "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ));
    }

    /// The head of an event stream.
    pub fn stream_head(&mut self, received: &ReceivedRequest) {
        let id = received.id();
        self.write(format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        ));
    }

    pub fn chunk(&mut self, text: &str) {
        self.write(format!("{:x}\r\n{text}\r\n", text.len()));
    }

    pub fn event(&mut self, id: u64) {
        self.chunk(&event(id));
    }

    pub fn end(&mut self) {
        self.write("0\r\n\r\n");
    }

    /// Ends the connection with a reset. A shutdown before it would end it in order.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
        drop(self.stream);
    }

    /// Whether the other side ends or resets the connection within a time; what it sends meanwhile
    /// is dropped.
    pub fn closes_within(&mut self, time: Duration) -> bool {
        let deadline = Instant::now() + time;
        let mut bytes = [0; 1_024];
        while let Some(left) = deadline
            .checked_duration_since(Instant::now())
            .filter(|l| !l.is_zero())
        {
            self.stream.set_read_timeout(Some(left)).expect("timeout");
            match self.stream.read(&mut bytes) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    return false;
                }
                Err(_) => return true,
            }
        }
        false
    }
}

pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// What a script does with the connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    Keep,
    Close,
    Reset,
}

pub struct Server {
    pub address: SocketAddr,
    pub instance: String,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    connections: Arc<Mutex<usize>>,
}

type Script = dyn Fn(&ReceivedRequest, &mut ServerConnection) -> NextAction + Send + Sync;

impl Server {
    /// A server that runs a script for each request, one at a time on each connection.
    pub fn start(
        instance: &str,
        script: impl Fn(&ReceivedRequest, &mut ServerConnection) -> NextAction + Send + Sync + 'static,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (received, connections) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
        let script: Arc<Script> = Arc::new(script);
        let (all, count) = (received.clone(), connections.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let number = {
                    let mut count = count.lock().expect("lock");
                    *count += 1;
                    *count
                };
                let (script, all) = (script.clone(), all.clone());
                std::thread::spawn(move || {
                    serve(ServerConnection { stream, number }, &*script, &all)
                });
            }
        });
        Server {
            address,
            instance: instance.to_owned(),
            received,
            connections,
        }
    }

    /// A server whose streams have an event after each pause, and no end.
    pub fn endless(instance: &str, pause: Duration) -> Server {
        Server::start(instance, move |received, connection| {
            connection.stream_head(received);
            for id in 1.. {
                connection.event(id);
                if connection.closes_within(pause) {
                    break;
                }
            }
            NextAction::Close
        })
    }

    /// The requests that it has received so far.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().expect("lock").clone()
    }

    /// How often it has received a request of this id.
    pub fn request_count(&self, id: &str) -> usize {
        self.received()
            .iter()
            .filter(|received| received.id() == id)
            .count()
    }

    /// Connections that were made to it.
    pub fn connections(&self) -> usize {
        *self.connections.lock().expect("lock")
    }
}

fn serve(mut connection: ServerConnection, script: &Script, all: &Mutex<Vec<ReceivedRequest>>) {
    let mut input = Vec::new();
    loop {
        let Some(received) = read(&mut connection, &mut input) else {
            return;
        };
        all.lock().expect("lock").push(received.clone());
        match script(&received, &mut connection) {
            NextAction::Keep => {}
            NextAction::Close => return,
            NextAction::Reset => return connection.reset(),
        }
    }
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> bool {
    stream.set_read_timeout(None).expect("timeout");
    let mut bytes = [0; 16_384];
    match stream.read(&mut bytes) {
        Ok(0) | Err(_) => false,
        Ok(read) => {
            input.extend_from_slice(&bytes[..read]);
            true
        }
    }
}

/// Reads a request with its body; without it if the request has the header `Early`.
fn read(connection: &mut ServerConnection, input: &mut Vec<u8>) -> Option<ReceivedRequest> {
    let end = loop {
        if let Some(at) = input.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        if !read_more(&mut connection.stream, input) {
            return None;
        }
    };
    let head = String::from_utf8(input.drain(..end).collect()).expect("a head of text");
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let mut received = ReceivedRequest {
        connection: connection.number,
        method,
        target,
        headers,
        body: Vec::new(),
        at: Instant::now(),
    };
    let length = received
        .header("content-length")
        .map_or(0, |value| value.parse().expect("a length"));
    if received.header("early").is_some() {
        return Some(received);
    }
    while input.len() < length {
        if !read_more(&mut connection.stream, input) {
            return None;
        }
    }
    received.body = input.drain(..length).collect();
    Some(received)
}

//! The connections of a model server, and the requests on them: one at a time on each connection.

use super::{lock, Event, Fault, Shared};
use crate::stream_client::message::{read_body, read_head, Head};
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Accepts connections until the server ends.
pub(super) fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let Ok(twin) = stream.try_clone() else {
            continue;
        };
        let mut open_connections = lock(&shared.open_connections);
        open_connections.retain(|stream| stream.peer_addr().is_ok());
        if open_connections.len() >= shared.description.max_connections {
            drop(open_connections);
            shared.ledger.record("", Event::ConnectionReset);
            reset(&stream);
            continue;
        }
        open_connections.push(twin);
        drop(open_connections);
        let shared = shared.clone();
        thread::spawn(move || {
            if let Some(connection) = Connection::new(stream, shared) {
                connection.serve();
            }
        });
    }
}

/// Makes the close of a connection a reset, not an orderly end.
fn reset(stream: &TcpStream) {
    // If the option can't be set, the connection is closed: still an end without a response.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether the connection goes on after a request.
#[derive(Clone, Copy, PartialEq)]
enum Persistence {
    KeepAlive,
    Close,
}

/// A reserved slot; released when dropped.
struct Slot<'a>(&'a Shared);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.0.load).running -= 1;
        self.0.freed.notify_one();
    }
}

/// A request that is being served.
struct Request {
    head: Head,
    attempt: String,
    received_at: Instant,
    deadline: Option<Instant>,
    fault: Option<Fault>,
}

struct Connection {
    from: BufReader<TcpStream>,
    to: TcpStream,
    shared: Arc<Shared>,
    /// A response that is sent late: before the next one.
    delayed_response: Vec<u8>,
    /// Whether it ends by a reset.
    ends_by_reset: bool,
}

impl Connection {
    fn new(stream: TcpStream, shared: Arc<Shared>) -> Option<Connection> {
        // Small writes are events, which must be sent at once.
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(shared.description.idle_timeout))
            .ok()?;
        let to = stream.try_clone().ok()?;
        Some(Connection {
            from: BufReader::new(stream),
            to,
            shared,
            delayed_response: Vec::new(),
            ends_by_reset: false,
        })
    }

    fn serve(mut self) {
        while let Ok(Some(head)) = read_head(&mut self.from) {
            if self.shared.is_stopped() || self.serve_request(head) == Persistence::Close {
                break;
            }
        }
        if !self.ends_by_reset {
            // Closing a connection that is gone already fails, which is fine.
            let _ = self.to.shutdown(Shutdown::Write);
        }
        lock(&self.shared.open_connections)
            .retain(|stream| stream.peer_addr().ok() != self.to.peer_addr().ok());
    }

    /// Serves one request.
    fn serve_request(&mut self, head: Head) -> Persistence {
        let [method, path, _] = &head.first_line;
        if method == "GET" && *path == self.shared.description.health_path {
            return self.respond_health();
        }
        if method == "GET" && path == "/report" {
            return self.respond_report();
        }
        self.handle_request(head)
    }

    fn respond_health(&mut self) -> Persistence {
        let deadline = Some(Instant::now() + Duration::from_secs(1));
        let shared = self.shared.clone();
        let slot = take_slot(&shared, deadline);
        let well =
            slot.is_some() && !shared.unhealthy.load(Ordering::SeqCst) && !shared.is_leaving();
        drop(slot);
        let not_run = if well { "" } else { "Not-Executed: 1\r\n" };
        let instance = format!("Instance-Id: {}\r\n{not_run}", shared.description.instance);
        self.respond(if well { 200 } else { 503 }, &instance, b"")
    }

    fn respond_report(&mut self) -> Persistence {
        let (running, waiting) = {
            let load = lock(&self.shared.load);
            (load.running, load.waiting)
        };
        let body = serde_json::json!({
            "stage": "both",
            "models": [{"name": "m", "version": self.shared.description.version, "adapters": []}],
            "busy": false,
            "sequenceNumber": 0,
            "queuedRequests": waiting,
            "activeRequests": running,
            "kvUsed": 0,
            "kvTotal": 100_000,
            "handles": 0,
        });
        self.respond(
            200,
            "Content-Type: application/json\r\n",
            body.to_string().as_bytes(),
        )
    }

    fn handle_request(&mut self, head: Head) -> Persistence {
        let shared = self.shared.clone();
        let attempt = head.field("attempt-id").unwrap_or_default().to_string();
        shared.ledger.record(&attempt, Event::Arrived(head.clone()));
        let fault = {
            let mut script = lock(&shared.script);
            script.next.pop_front().unwrap_or(script.always)
        };
        if let Some(fault) = fault {
            shared.ledger.record(&attempt, Event::FaultApplied(fault));
        }
        let received_at = Instant::now();
        let remaining = head
            .field("deadline-ms")
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis);
        let request = Request {
            attempt,
            received_at,
            deadline: remaining.map(|remaining| received_at + remaining),
            fault,
            head,
        };
        if let Some(Fault::EarlyResponse(status)) = fault {
            let after = self.reject(&request, status);
            // The rest of the body is read, so that the next request is found behind it.
            return if read_body(&mut self.from, &request.head, false).is_ok() {
                after
            } else {
                Persistence::Close
            };
        }
        let Ok(body) = read_body(&mut self.from, &request.head, false) else {
            return Persistence::Close;
        };
        shared
            .ledger
            .record(&request.attempt, Event::BodyReceived(body));
        if let Some(status) = self.rejection_status(&request) {
            return self.reject(&request, status);
        }
        if fault == Some(Fault::ClosedBeforeRun) {
            return Persistence::Close;
        }
        let Some(slot) = take_slot(&shared, request.deadline) else {
            return self.reject(&request, 503);
        };
        shared.ledger.record(&request.attempt, Event::Started);
        let after = self.run(&request);
        drop(slot);
        after
    }

    /// The status with which a request is rejected, if it is.
    fn rejection_status(&self, request: &Request) -> Option<u16> {
        let description = &self.shared.description;
        let field = |name| request.head.field(name);
        if request.attempt.is_empty() {
            return Some(400);
        }
        if field("target-instance").is_some_and(|instance| instance != description.instance)
            || field("expect-version")
                .is_some_and(|version| version != description.version.to_string())
        {
            return Some(421);
        }
        match request.fault {
            Some(Fault::Rejected(status)) => Some(status),
            _ => None,
        }
    }

    fn reject(&mut self, request: &Request, status: u16) -> Persistence {
        self.shared
            .ledger
            .record(&request.attempt, Event::Rejected(status));
        let instance = &self.shared.description.instance;
        let fields = format!(
            "Attempt-Id: {}\r\nInstance-Id: {instance}\r\nNot-Executed: 1\r\n",
            request.attempt
        );
        self.respond(status, &fields, b"")
    }

    /// Runs a request that has its slot.
    fn run(&mut self, request: &Request) -> Persistence {
        match request.fault {
            Some(Fault::NoResponse) => return self.wait_for_end(request),
            Some(Fault::ResponseLost) => {
                thread::sleep(self.shared.description.time_to_first_event);
                return Persistence::Close;
            }
            Some(Fault::NotHttp) => {
                let _ = self.to.write_all(b"\x00\x01 what is this\r\n\r\n");
                return Persistence::Close;
            }
            Some(Fault::Failed(status)) => {
                let fields = self.identity_fields(request);
                self.shared
                    .ledger
                    .record(&request.attempt, Event::Responded(status));
                return self.respond(status, &fields, b"failed");
            }
            _ => {}
        }
        if let Some(after) = self.work_for(request, self.shared.description.time_to_first_event) {
            return after;
        }
        self.stream(request)
    }

    fn stream(&mut self, request: &Request) -> Persistence {
        let framed = !matches!(
            request.fault,
            Some(Fault::NoLength | Fault::NoLengthReset(_))
        );
        let mut sent_bytes = self.stream_head(request, framed);
        let delayed_response = std::mem::take(&mut self.delayed_response);
        if self
            .to
            .write_all(&[delayed_response, sent_bytes.clone()].concat())
            .is_err()
        {
            return self.abort(request);
        }
        let (first, total) = self.event_numbers(request);
        for number in first..=total {
            let sent = number - first;
            if let Some(after) = self.apply_stream_fault(request, sent, framed) {
                return after;
            }
            let event = encode_chunk(
                &format!(
                    "id: {number}\ndata: {} {number}/{total}\n\n",
                    request.attempt
                ),
                framed,
            );
            sent_bytes.extend_from_slice(&event);
            if self.to.write_all(&event).is_err() {
                return self.abort(request);
            }
            if number < total {
                if let Some(after) = self.work_for(request, self.shared.description.event_interval)
                {
                    return after;
                }
            }
        }
        if let Some(after) = self.apply_stream_fault(request, total + 1 - first, framed) {
            return after;
        }
        if framed {
            sent_bytes.extend_from_slice(b"0\r\n\r\n");
            let _ = self.to.write_all(b"0\r\n\r\n");
        }
        self.shared
            .ledger
            .record(&request.attempt, Event::Responded(200));
        self.send_trailing_bytes(request, &sent_bytes);
        let closes = !framed || request.head.closes() || self.shared.is_leaving();
        if closes {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        }
    }

    /// The numbers of the first and the last event to send.
    fn event_numbers(&self, request: &Request) -> (u64, u64) {
        let tokens = request
            .head
            .field("token-usage")
            .and_then(|value| value.split(',').nth(1)?.parse().ok());
        let total = tokens
            .unwrap_or(16u64)
            .div_ceil(u64::from(self.shared.description.tokens_per_event))
            .max(1);
        let last_received = request
            .head
            .field("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        (last_received + 1, total.max(last_received + 1))
    }

    fn identity_fields(&self, request: &Request) -> String {
        let runs = self.shared.ledger.runs(&request.attempt);
        let instance = &self.shared.description.instance;
        let id = match request.fault {
            Some(Fault::WrongId) => "0000000000000bad",
            _ => &request.attempt,
        };
        format!(
            "Attempt-Id: {id}\r\nResponse-Seal: {instance}.{id}.{runs}\r\nInstance-Id: {instance}\r\n\
             Versions: {}\r\n",
            self.shared.description.version
        )
    }

    fn stream_head(&self, request: &Request, framed: bool) -> Vec<u8> {
        let framing = if framed {
            "Transfer-Encoding: chunked\r\n"
        } else {
            ""
        };
        let closes = !framed || request.head.closes() || self.shared.is_leaving();
        let identity_fields = self.identity_fields(request);
        let common_fields = self.common_fields(closes);
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{identity_fields}{common_fields}{framing}\r\n")
            .into_bytes()
    }

    /// Fields that every response has.
    fn common_fields(&self, closes: bool) -> String {
        let description = &self.shared.description;
        let load = lock(&self.shared.load);
        let mut fields = String::new();
        if description.reports_load {
            fields = format!(
                "Server-Load: {},{},{}\r\n",
                load.running, load.waiting, description.slots
            );
        }
        let seconds = description.idle_timeout.as_secs();
        match (closes, seconds) {
            (true, _) => fields + "Connection: close\r\n",
            (false, 0) => fields,
            (false, _) => fields + &format!("Keep-Alive: timeout={seconds}\r\n"),
        }
    }

    /// Ends a stream where its fault says so; `sent` events have been sent.
    fn apply_stream_fault(
        &mut self,
        request: &Request,
        sent: u64,
        framed: bool,
    ) -> Option<Persistence> {
        match request.fault? {
            Fault::TruncateAfter(after) if sent == after => Some(Persistence::Close),
            Fault::TruncateInside(after) if sent == after => {
                let half = encode_chunk(&format!("id: {}\ndata: ha", sent + 1), framed);
                let _ = self.to.write_all(&half);
                Some(Persistence::Close)
            }
            Fault::ResetAfter(after) | Fault::NoLengthReset(after) if sent == after => {
                reset(&self.to);
                self.ends_by_reset = true;
                Some(Persistence::Close)
            }
            Fault::SilentAfter(after) if sent == after => Some(self.wait_for_end(request)),
            _ => None,
        }
    }

    /// Sends, or keeps for later, what a fault adds behind a complete response.
    fn send_trailing_bytes(&mut self, request: &Request, sent_bytes: &[u8]) {
        match request.fault {
            Some(Fault::ExtraResponse) => drop(self.to.write_all(sent_bytes)),
            Some(Fault::ExtraBytes) => drop(self.to.write_all(b"and so on\r\n")),
            Some(Fault::LateResponse) => self.delayed_response = sent_bytes.to_vec(),
            _ => {}
        }
    }

    /// Sends a response with a length.
    fn respond(&mut self, status: u16, fields: &str, body: &[u8]) -> Persistence {
        let closes = self.shared.is_leaving();
        let common_fields = self.common_fields(closes);
        let head = format!(
            "HTTP/1.1 {status} Told\r\n{fields}{common_fields}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [
            std::mem::take(&mut self.delayed_response),
            head.into_bytes(),
            body.to_vec(),
        ]
        .concat();
        let written = self.to.write_all(&bytes).is_ok();
        if written && !closes {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        }
    }

    /// Works for `time`; `Some` where the caller disconnects or the deadline passes first.
    fn work_for(&mut self, request: &Request, time: Duration) -> Option<Persistence> {
        let until = Instant::now() + time;
        let end = request
            .deadline
            .map_or(until, |deadline| deadline.min(until));
        thread::sleep(end.saturating_duration_since(Instant::now()));
        let deadline_passed = request
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        if deadline_passed || self.shared.is_stopped() || self.is_disconnected() {
            return Some(self.abort(request));
        }
        None
    }

    /// Sends nothing until the caller disconnects, the deadline passes or the server ends.
    fn wait_for_end(&mut self, request: &Request) -> Persistence {
        let deadline = request
            .deadline
            .unwrap_or(request.received_at + Duration::from_secs(30));
        while Instant::now() < deadline && !self.shared.is_stopped() && !self.is_disconnected() {
            thread::sleep(Duration::from_millis(5));
        }
        self.abort(request)
    }

    fn abort(&self, request: &Request) -> Persistence {
        self.shared.ledger.record(&request.attempt, Event::Aborted);
        Persistence::Close
    }

    /// Whether the caller has closed its connection.
    fn is_disconnected(&mut self) -> bool {
        if !self.from.buffer().is_empty() || self.from.get_ref().set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.from.get_ref().peek(&mut [0]);
        let restored = self.from.get_ref().set_nonblocking(false);
        let disconnected = match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        disconnected || restored.is_err()
    }
}

/// Encodes text of a body, as a chunk where the body is framed.
fn encode_chunk(text: &str, framed: bool) -> Vec<u8> {
    if framed {
        return format!("{:x}\r\n{text}\r\n", text.len()).into_bytes();
    }
    text.as_bytes().to_vec()
}

/// Waits for a slot; `None`: the queue is full, or the deadline passed first.
fn take_slot(shared: &Shared, deadline: Option<Instant>) -> Option<Slot<'_>> {
    let mut load = lock(&shared.load);
    if load.running >= shared.description.slots {
        if load.waiting >= shared.description.queue_capacity {
            return None;
        }
        load.waiting += 1;
        let remaining = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let remaining = remaining.unwrap_or(Duration::from_secs(30));
        let full = |load: &mut super::Load| {
            load.running >= shared.description.slots && !shared.is_stopped()
        };
        let waited = shared.freed.wait_timeout_while(load, remaining, full);
        let (mut after, _) = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
        after.waiting -= 1;
        if after.running >= shared.description.slots || shared.is_stopped() {
            return None;
        }
        load = after;
    }
    load.running += 1;
    Some(Slot(shared))
}

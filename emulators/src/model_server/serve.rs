//! Connections of a model server, and the requests on them: one at a time each.

use super::{lock, Event, Fault, Shared};
use crate::stream_client::message::{read_body, read_head, Head};
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Takes connections until the server ends.
pub(super) fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let Ok(twin) = stream.try_clone() else {
            continue;
        };
        let mut open = lock(&shared.open);
        open.retain(|stream| stream.peer_addr().is_ok());
        if open.len() >= shared.description.connections {
            drop(open);
            shared.ledger.note("", Event::ConnectionReset);
            reset(&stream);
            continue;
        }
        open.push(twin);
        drop(open);
        let shared = shared.clone();
        thread::spawn(move || {
            if let Some(connection) = Connection::new(stream, shared) {
                connection.serve();
            }
        });
    }
}

/// Ends a connection by a reset, not by an end that looks orderly.
fn reset(stream: &TcpStream) {
    // Where it can't be set, the connection is closed: still an end without an answer.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Whether the connection goes on after a request.
#[derive(Clone, Copy, PartialEq)]
enum After {
    Keep,
    Close,
}

/// A place in the slots; given back when dropped.
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
    came: Instant,
    deadline: Option<Instant>,
    fault: Option<Fault>,
}

struct Connection {
    from: BufReader<TcpStream>,
    to: TcpStream,
    shared: Arc<Shared>,
    /// An answer that comes late: in the place of the next one.
    late: Vec<u8>,
    /// It ends by a reset.
    is_reset: bool,
}

impl Connection {
    fn new(stream: TcpStream, shared: Arc<Shared>) -> Option<Connection> {
        // Small writes are events: they go at once.
        stream.set_nodelay(true).ok()?;
        stream
            .set_read_timeout(Some(shared.description.idle))
            .ok()?;
        let to = stream.try_clone().ok()?;
        Some(Connection {
            from: BufReader::new(stream),
            to,
            shared,
            late: Vec::new(),
            is_reset: false,
        })
    }

    fn serve(mut self) {
        while let Ok(Some(head)) = read_head(&mut self.from) {
            if self.shared.is_stopped() || self.one(head) == After::Close {
                break;
            }
        }
        if !self.is_reset {
            // One that is gone already needs no end.
            let _ = self.to.shutdown(Shutdown::Write);
        }
        lock(&self.shared.open)
            .retain(|stream| stream.peer_addr().ok() != self.to.peer_addr().ok());
    }

    /// Serves one request.
    fn one(&mut self, head: Head) -> After {
        let [method, path, _] = &head.first_line;
        if method == "GET" && *path == self.shared.description.health_path {
            return self.health();
        }
        if method == "GET" && path == "/report" {
            return self.report();
        }
        self.request(head)
    }

    fn health(&mut self) -> After {
        let deadline = Some(Instant::now() + Duration::from_secs(1));
        let shared = self.shared.clone();
        let slot = take_slot(&shared, deadline);
        let well = slot.is_some() && !shared.unwell.load(Ordering::SeqCst) && !shared.is_leaving();
        drop(slot);
        let not_run = if well { "" } else { "Not-Executed: 1\r\n" };
        let instance = format!("Instance-Id: {}\r\n{not_run}", shared.description.instance);
        self.answer(if well { 200 } else { 503 }, &instance, b"")
    }

    fn report(&mut self) -> After {
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
        self.answer(
            200,
            "Content-Type: application/json\r\n",
            body.to_string().as_bytes(),
        )
    }

    fn request(&mut self, head: Head) -> After {
        let shared = self.shared.clone();
        let attempt = head.field("attempt-id").unwrap_or_default().to_string();
        shared.ledger.note(&attempt, Event::Arrived(head.clone()));
        let fault = {
            let mut script = lock(&shared.script);
            script.next.pop_front().unwrap_or(script.always)
        };
        if let Some(fault) = fault {
            shared.ledger.note(&attempt, Event::Befallen(fault));
        }
        let came = Instant::now();
        let left = head
            .field("deadline-ms")
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis);
        let request = Request {
            attempt,
            came,
            deadline: left.map(|left| came + left),
            fault,
            head,
        };
        if let Some(Fault::EarlyAnswer(status)) = fault {
            let after = self.refuse(&request, status);
            // The rest of the body is read on, so that the next request is found.
            return if read_body(&mut self.from, &request.head, false).is_ok() {
                after
            } else {
                After::Close
            };
        }
        let Ok(body) = read_body(&mut self.from, &request.head, false) else {
            return After::Close;
        };
        shared.ledger.note(&request.attempt, Event::Read(body));
        if let Some(status) = self.refusal(&request) {
            return self.refuse(&request, status);
        }
        if fault == Some(Fault::ClosedUnrun) {
            return After::Close;
        }
        let Some(slot) = take_slot(&shared, request.deadline) else {
            return self.refuse(&request, 503);
        };
        shared.ledger.note(&request.attempt, Event::Ran);
        let after = self.run(&request);
        drop(slot);
        after
    }

    /// The status with which a request is turned away, if it is.
    fn refusal(&self, request: &Request) -> Option<u16> {
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
            Some(Fault::Refused(status)) => Some(status),
            _ => None,
        }
    }

    fn refuse(&mut self, request: &Request, status: u16) -> After {
        self.shared
            .ledger
            .note(&request.attempt, Event::Refused(status));
        let instance = &self.shared.description.instance;
        let fields = format!(
            "Attempt-Id: {}\r\nInstance-Id: {instance}\r\nNot-Executed: 1\r\n",
            request.attempt
        );
        self.answer(status, &fields, b"")
    }

    /// Runs a request that has its slot.
    fn run(&mut self, request: &Request) -> After {
        match request.fault {
            Some(Fault::Mute) => return self.wait_for_end(request),
            Some(Fault::AnswerLost) => {
                thread::sleep(self.shared.description.first_event);
                return After::Close;
            }
            Some(Fault::NotHttp) => {
                let _ = self.to.write_all(b"\x00\x01 what is this\r\n\r\n");
                return After::Close;
            }
            Some(Fault::Failed(status)) => {
                let fields = self.stamp(request);
                self.shared
                    .ledger
                    .note(&request.attempt, Event::Answered(status));
                return self.answer(status, &fields, b"failed");
            }
            _ => {}
        }
        if let Some(after) = self.pause(request, self.shared.description.first_event) {
            return after;
        }
        self.stream(request)
    }

    fn stream(&mut self, request: &Request) -> After {
        let framed = !matches!(
            request.fault,
            Some(Fault::NoLength | Fault::NoLengthReset(_))
        );
        let mut whole = self.stream_head(request, framed);
        let late = std::mem::take(&mut self.late);
        if self.to.write_all(&[late, whole.clone()].concat()).is_err() {
            return self.dropped(request);
        }
        let (first, total) = self.numbers(request);
        for number in first..=total {
            let sent = number - first;
            if let Some(after) = self.breaks_off(request, sent, framed) {
                return after;
            }
            let event = piece(
                &format!(
                    "id: {number}\ndata: {} {number}/{total}\n\n",
                    request.attempt
                ),
                framed,
            );
            whole.extend_from_slice(&event);
            if self.to.write_all(&event).is_err() {
                return self.dropped(request);
            }
            if number < total {
                if let Some(after) = self.pause(request, self.shared.description.between_events) {
                    return after;
                }
            }
        }
        if let Some(after) = self.breaks_off(request, total + 1 - first, framed) {
            return after;
        }
        if framed {
            whole.extend_from_slice(b"0\r\n\r\n");
            let _ = self.to.write_all(b"0\r\n\r\n");
        }
        self.shared
            .ledger
            .note(&request.attempt, Event::Answered(200));
        self.behind(request, &whole);
        let closes = !framed || request.head.closes() || self.shared.is_leaving();
        if closes {
            After::Close
        } else {
            After::Keep
        }
    }

    /// The first event to send, and the last.
    fn numbers(&self, request: &Request) -> (u64, u64) {
        let tokens = request
            .head
            .field("token-usage")
            .and_then(|value| value.split(',').nth(1)?.parse().ok());
        let total = tokens
            .unwrap_or(16u64)
            .div_ceil(u64::from(self.shared.description.stride))
            .max(1);
        let had = request
            .head
            .field("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        (had + 1, total.max(had + 1))
    }

    fn stamp(&self, request: &Request) -> String {
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
        let stamp = self.stamp(request);
        let rest = self.common(closes);
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{stamp}{rest}{framing}\r\n")
            .into_bytes()
    }

    /// Fields that every answer has.
    fn common(&self, closes: bool) -> String {
        let description = &self.shared.description;
        let load = lock(&self.shared.load);
        let mut fields = String::new();
        if description.tells_load {
            fields = format!(
                "Server-Load: {},{},{}\r\n",
                load.running, load.waiting, description.slots
            );
        }
        let seconds = description.idle.as_secs();
        match (closes, seconds) {
            (true, _) => fields + "Connection: close\r\n",
            (false, 0) => fields,
            (false, _) => fields + &format!("Keep-Alive: timeout={seconds}\r\n"),
        }
    }

    /// The end that a fault brings to a stream of which so many events have gone.
    fn breaks_off(&mut self, request: &Request, sent: u64, framed: bool) -> Option<After> {
        match request.fault? {
            Fault::CutAfter(after) if sent == after => Some(After::Close),
            Fault::CutInside(after) if sent == after => {
                let half = piece(&format!("id: {}\ndata: ha", sent + 1), framed);
                let _ = self.to.write_all(&half);
                Some(After::Close)
            }
            Fault::ResetAfter(after) | Fault::NoLengthReset(after) if sent == after => {
                reset(&self.to);
                self.is_reset = true;
                Some(After::Close)
            }
            Fault::MuteAfter(after) if sent == after => Some(self.wait_for_end(request)),
            _ => None,
        }
    }

    /// What comes behind a whole answer.
    fn behind(&mut self, request: &Request, whole: &[u8]) {
        match request.fault {
            Some(Fault::ExtraAnswer) => drop(self.to.write_all(whole)),
            Some(Fault::ExtraBytes) => drop(self.to.write_all(b"and so on\r\n")),
            Some(Fault::LateAnswer) => self.late = whole.to_vec(),
            _ => {}
        }
    }

    /// An answer with a length.
    fn answer(&mut self, status: u16, fields: &str, body: &[u8]) -> After {
        let closes = self.shared.is_leaving();
        let rest = self.common(closes);
        let head = format!(
            "HTTP/1.1 {status} Told\r\n{fields}{rest}Content-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [
            std::mem::take(&mut self.late),
            head.into_bytes(),
            body.to_vec(),
        ]
        .concat();
        let written = self.to.write_all(&bytes).is_ok();
        if written && !closes {
            After::Keep
        } else {
            After::Close
        }
    }

    /// Works for so long; tells how it ends where the caller leaves or the deadline comes first.
    fn pause(&mut self, request: &Request, time: Duration) -> Option<After> {
        let until = Instant::now() + time;
        let end = request
            .deadline
            .map_or(until, |deadline| deadline.min(until));
        thread::sleep(end.saturating_duration_since(Instant::now()));
        let late = request
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        if late || self.shared.is_stopped() || self.has_left() {
            return Some(self.dropped(request));
        }
        None
    }

    /// Says nothing until the caller leaves, the deadline comes or the server ends.
    fn wait_for_end(&mut self, request: &Request) -> After {
        let deadline = request
            .deadline
            .unwrap_or(request.came + Duration::from_secs(30));
        while Instant::now() < deadline && !self.shared.is_stopped() && !self.has_left() {
            thread::sleep(Duration::from_millis(5));
        }
        self.dropped(request)
    }

    fn dropped(&self, request: &Request) -> After {
        self.shared.ledger.note(&request.attempt, Event::Dropped);
        After::Close
    }

    /// Whether the caller has closed its connection.
    fn has_left(&mut self) -> bool {
        if !self.from.buffer().is_empty() || self.from.get_ref().set_nonblocking(true).is_err() {
            return false;
        }
        let peeked = self.from.get_ref().peek(&mut [0]);
        let restored = self.from.get_ref().set_nonblocking(false);
        let gone = match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        gone || restored.is_err()
    }
}

/// Some text of a body, as a chunk where it is framed.
fn piece(text: &str, framed: bool) -> Vec<u8> {
    if framed {
        return format!("{:x}\r\n{text}\r\n", text.len()).into_bytes();
    }
    text.as_bytes().to_vec()
}

/// Waits for a slot; `None`: there is no place to wait in, or the deadline came first.
fn take_slot(shared: &Shared, deadline: Option<Instant>) -> Option<Slot<'_>> {
    let mut load = lock(&shared.load);
    if load.running >= shared.description.slots {
        if load.waiting >= shared.description.queue {
            return None;
        }
        load.waiting += 1;
        let left = deadline.map(|deadline| deadline.saturating_duration_since(Instant::now()));
        let left = left.unwrap_or(Duration::from_secs(30));
        let full = |load: &mut super::Load| {
            load.running >= shared.description.slots && !shared.is_stopped()
        };
        let waited = shared.freed.wait_timeout_while(load, left, full);
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

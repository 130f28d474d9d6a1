//! A scripted model server on loopback: it serves requests in a bounded number of slots with a stream
//! of events, registers with the control machines, and keeps a ledger of what was received, run and
//! rejected. Faults are set by script.

mod admission;
mod connection;
pub mod heartbeat;

pub use admission::RequestLoad;

use crate::stream_client::message::Head;
use crate::sync::lock;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The properties of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDescription {
    /// Its `instanceId`.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot.
    pub queue_capacity: usize,
    /// Connections that it accepts; further ones are reset.
    pub max_connections: usize,
    /// `healthCheckPath` of its service.
    pub health_path: String,
    /// Time from a request's start to its first event.
    pub time_to_first_event: Duration,
    /// Time between events.
    pub event_interval: Duration,
    /// Tokens in an event.
    pub tokens_per_event: u32,
    /// Whether responses carry `Server-Load`.
    pub reports_load: bool,
    /// Idle connections are closed after this.
    pub idle_timeout: Duration,
    /// Version of its weights.
    pub version: u64,
}

impl ServerDescription {
    /// A quick server of a service.
    #[must_use]
    pub fn new(instance: &str, service: &str, zone: &str) -> ServerDescription {
        ServerDescription {
            instance: instance.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 8,
            queue_capacity: 8,
            max_connections: 64,
            health_path: "/health".into(),
            time_to_first_event: Duration::from_millis(20),
            event_interval: Duration::from_millis(10),
            tokens_per_event: 4,
            reports_load: true,
            idle_timeout: Duration::from_secs(15),
            version: 1,
        }
    }
}

/// A fault of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The connection is closed after so many events.
    TruncateAfter(u64),
    /// The same, in the middle of the event that follows.
    TruncateInside(u64),
    /// The connection is reset after so many events.
    ResetAfter(u64),
    /// It runs, and no response is ever sent.
    NoResponse,
    /// Nothing more is sent after so many events.
    SilentAfter(u64),
    /// It runs, and the connection is closed without a response.
    ResponseLost,
    /// It does not run: the connection is closed when the request has been read.
    ClosedBeforeRun,
    /// A second complete response, to no request, follows on the connection.
    ExtraResponse,
    /// Bytes that are no response follow the complete one.
    ExtraBytes,
    /// The same complete response is sent once more, late: before the response to the next request
    /// on the connection.
    LateResponse,
    /// The response carries the id of another request.
    WrongId,
    /// The response has no length and ends with its connection.
    NoLength,
    /// The same, and the connection is reset after so many events.
    NoLengthReset(u64),
    /// It is rejected with this status before its body has been read; the connection is kept alive.
    EarlyResponse(u16),
    /// Bytes that are no HTTP.
    NotHttp,
    /// It is rejected with this status and `Not-Executed`.
    Rejected(u16),
    /// It runs and fails with this status.
    Failed(u16),
}

/// An event at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time since the server started.
    pub at: Duration,
    /// The request's `Attempt-Id`; empty for events of no request.
    pub attempt: String,
    /// The event.
    pub event: Event,
}

/// The event of an [`Entry`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request's head was received.
    Arrived(Head),
    /// Its body was received.
    BodyReceived(Vec<u8>),
    /// It started to run.
    Started,
    /// A complete response was sent with this status.
    Responded(u16),
    /// It was rejected with this status, and has not run.
    Rejected(u16),
    /// This fault was applied to it.
    FaultApplied(Fault),
    /// Its caller disconnected, or its deadline passed, while it ran.
    Aborted,
    /// A connection beyond the limit was reset.
    ConnectionReset,
    /// A control machine acknowledged a report of the server.
    Acknowledged(heartbeat::ServerReport, SocketAddr),
    /// A control machine did not acknowledge a report.
    Unacknowledged(heartbeat::ServerReport, SocketAddr),
}

/// The events at a server, in order.
#[derive(Clone, Debug)]
pub struct Ledger {
    started_at: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ledger {
    fn new() -> Ledger {
        Ledger {
            started_at: Instant::now(),
            entries: Arc::default(),
        }
    }

    fn record(&self, attempt: &str, event: Event) {
        let at = self.started_at.elapsed();
        lock(&self.entries).push(Entry {
            at,
            attempt: attempt.into(),
            event,
        });
    }

    /// When the server started.
    #[must_use]
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// All entries so far.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }

    /// How often a request was run here.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> usize {
        self.count(|entry| entry.attempt == attempt && entry.event == Event::Started)
    }

    /// The number of entries that match.
    #[must_use]
    pub fn count(&self, matches: impl Fn(&Entry) -> bool) -> usize {
        lock(&self.entries)
            .iter()
            .filter(|entry| matches(entry))
            .count()
    }
}

/// The faults that are to come.
#[derive(Debug, Default)]
struct Script {
    always: Option<Fault>,
    next: VecDeque<Option<Fault>>,
}

/// What the threads of a server share.
#[derive(Debug)]
struct Shared {
    description: ServerDescription,
    address: SocketAddr,
    ledger: Ledger,
    script: Mutex<Script>,
    load: Mutex<RequestLoad>,
    /// A slot was released, or the server ended.
    freed: Condvar,
    open_connections: Mutex<Vec<TcpStream>>,
    draining: AtomicBool,
    unhealthy: AtomicBool,
    stopped: AtomicBool,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}

/// A server that runs. Dropped, it crashes.
#[derive(Debug)]
pub struct ModelServer {
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// What happened.
    pub ledger: Ledger,
    shared: Arc<Shared>,
}

impl ModelServer {
    /// Starts a server at an address; port 0: at a free one.
    ///
    /// # Errors
    /// When the address can't be listened on.
    pub fn start(description: ServerDescription, at: SocketAddr) -> std::io::Result<ModelServer> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let ledger = Ledger::new();
        let shared = Arc::new(Shared {
            description,
            address,
            ledger: ledger.clone(),
            script: Mutex::default(),
            load: Mutex::default(),
            freed: Condvar::new(),
            open_connections: Mutex::default(),
            draining: AtomicBool::new(false),
            unhealthy: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::spawn(move || connection::accept(&listener, &accepting));
        Ok(ModelServer {
            address,
            ledger,
            shared,
        })
    }

    /// The properties of the server.
    #[must_use]
    pub fn description(&self) -> &ServerDescription {
        &self.shared.description
    }

    /// The next requests meet these faults, one each; `None`: none.
    pub fn next_faults(&self, faults: impl IntoIterator<Item = Option<Fault>>) {
        lock(&self.shared.script).next.extend(faults);
    }

    /// From now on every request meets this fault, unless [`ModelServer::next_faults`] says
    /// otherwise.
    pub fn always_fault(&self, fault: Option<Fault>) {
        lock(&self.shared.script).always = fault;
    }

    /// Sets whether the health check passes; requests are accepted in either case.
    pub fn set_healthy(&self, healthy: bool) {
        self.shared.unhealthy.store(!healthy, Ordering::SeqCst);
    }

    /// Requests running and waiting.
    #[must_use]
    pub fn load(&self) -> RequestLoad {
        *lock(&self.shared.load)
    }

    /// Starts to send heartbeats to these control machines.
    #[must_use]
    pub fn register(
        &self,
        control: Vec<SocketAddr>,
        interval: Duration,
    ) -> heartbeat::Registration {
        heartbeat::Registration::start(self.shared.clone(), control, interval)
    }

    /// Ends without deregistration: connections are closed, and the address refuses new ones.
    pub fn crash(&self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in lock(&self.shared.open_connections).drain(..) {
            // One that is gone already needs no end.
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.shared.freed.notify_all();
        // Wakes the thread that accepts, so that the listener goes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }
}

impl Drop for ModelServer {
    fn drop(&mut self) {
        self.crash();
    }
}

#[cfg(test)]
mod tests;

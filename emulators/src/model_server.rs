//! A scripted model server on loopback: it takes requests in so many slots, answers with a stream
//! of events, tells the control machines of itself, and keeps a ledger of what came, ran and was
//! refused. Faults come by script.

pub mod heartbeat;
mod serve;

use crate::stream_client::message::Head;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// What a server is like.
#[derive(Clone, Debug, PartialEq)]
pub struct Description {
    /// Its `instanceId`.
    pub instance: String,
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at the same time.
    pub slots: usize,
    /// Requests that wait beside them.
    pub queue: usize,
    /// Connections that it takes; more are reset.
    pub connections: usize,
    /// `healthCheckPath` of its service.
    pub health_path: String,
    /// Time from a request's start to its first event.
    pub first_event: Duration,
    /// Time between events.
    pub between_events: Duration,
    /// Tokens that an event holds.
    pub stride: u32,
    /// Whether answers carry `Server-Load`.
    pub tells_load: bool,
    /// Idle connections are closed after this.
    pub idle: Duration,
    /// Version of its weights.
    pub version: u64,
}

impl Description {
    /// A quick server of a service.
    #[must_use]
    pub fn new(instance: &str, service: &str, zone: &str) -> Description {
        Description {
            instance: instance.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 8,
            queue: 8,
            connections: 64,
            health_path: "/health".into(),
            first_event: Duration::from_millis(20),
            between_events: Duration::from_millis(10),
            stride: 4,
            tells_load: true,
            idle: Duration::from_secs(15),
            version: 1,
        }
    }
}

/// What befalls a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The connection is closed after so many events.
    CutAfter(u64),
    /// The same, in the middle of the event that follows.
    CutInside(u64),
    /// The connection is reset after so many events.
    ResetAfter(u64),
    /// It runs, and nothing is ever answered.
    Mute,
    /// Nothing more comes after so many events.
    MuteAfter(u64),
    /// It runs, and the connection is closed without an answer.
    AnswerLost,
    /// It does not run: the connection is closed when the request has been read.
    ClosedUnrun,
    /// A second whole answer, to nobody, follows on the connection.
    ExtraAnswer,
    /// Bytes that are no answer follow the whole one.
    ExtraBytes,
    /// The same whole answer comes once more, late: where the answer to the next request on the
    /// connection is due.
    LateAnswer,
    /// The answer bears the id of another request.
    WrongId,
    /// The answer has no length and ends with its connection.
    NoLength,
    /// The same, and the connection is reset after so many events.
    NoLengthReset(u64),
    /// It is refused with this status before its body has been read; the connection is kept.
    EarlyAnswer(u16),
    /// Bytes that are no answer.
    NotHttp,
    /// Refused with this status and `Not-Executed`.
    Refused(u16),
    /// It runs and fails with this status.
    Failed(u16),
}

/// Something that happened at a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When, since the server began.
    pub at: Duration,
    /// The request's `Attempt-Id`; empty for what is no request.
    pub attempt: String,
    /// What.
    pub what: Event,
}

/// See [`Entry`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request's head has come.
    Arrived(Head),
    /// Its body has come.
    Read(Vec<u8>),
    /// It began to run.
    Ran,
    /// It was answered as a whole.
    Answered(u16),
    /// It was refused with this status, and has not run.
    Refused(u16),
    /// This fault befell it.
    Befallen(Fault),
    /// Its caller left, or its deadline came, while it ran.
    Dropped,
    /// A connection more than it takes was reset.
    ConnectionReset,
    /// A control machine acknowledged what the server said of itself.
    Acknowledged(heartbeat::ServerReport, SocketAddr),
    /// A control machine did not.
    Unacknowledged(heartbeat::ServerReport, SocketAddr),
}

/// What happened at a server, in order.
#[derive(Clone, Debug)]
pub struct Ledger {
    began: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Ledger {
    fn new() -> Ledger {
        Ledger {
            began: Instant::now(),
            entries: Arc::default(),
        }
    }

    fn note(&self, attempt: &str, what: Event) {
        let at = self.began.elapsed();
        lock(&self.entries).push(Entry {
            at,
            attempt: attempt.into(),
            what,
        });
    }

    /// When the server began.
    #[must_use]
    pub fn began(&self) -> Instant {
        self.began
    }

    /// All of it so far.
    #[must_use]
    pub fn all(&self) -> Vec<Entry> {
        lock(&self.entries).clone()
    }

    /// How often a request ran here.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> usize {
        self.count(|entry| entry.attempt == attempt && entry.what == Event::Ran)
    }

    /// How many entries are such.
    #[must_use]
    pub fn count(&self, is_such: impl Fn(&Entry) -> bool) -> usize {
        lock(&self.entries)
            .iter()
            .filter(|entry| is_such(entry))
            .count()
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// The faults that are to come.
#[derive(Debug, Default)]
struct Script {
    always: Option<Fault>,
    next: VecDeque<Option<Fault>>,
}

/// Requests in the slots and before them.
#[derive(Debug, Default)]
struct Load {
    running: usize,
    waiting: usize,
}

/// What the threads of a server share.
#[derive(Debug)]
struct Shared {
    description: Description,
    address: SocketAddr,
    ledger: Ledger,
    script: Mutex<Script>,
    load: Mutex<Load>,
    freed: Condvar,
    open: Mutex<Vec<TcpStream>>,
    draining: AtomicBool,
    unwell: AtomicBool,
    stopped: AtomicBool,
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn is_leaving(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}

/// A server that runs. Dropped, it crashes.
#[derive(Debug)]
pub struct ModelServer {
    /// Where it takes requests.
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
    pub fn start(description: Description, at: SocketAddr) -> std::io::Result<ModelServer> {
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
            open: Mutex::default(),
            draining: AtomicBool::new(false),
            unwell: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
        });
        let accepting = shared.clone();
        thread::spawn(move || serve::accept(&listener, &accepting));
        Ok(ModelServer {
            address,
            ledger,
            shared,
        })
    }

    /// What the server is like.
    #[must_use]
    pub fn description(&self) -> &Description {
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

    /// Whether the health check is good from now on; requests are taken all the same.
    pub fn set_well(&self, well: bool) {
        self.shared.unwell.store(!well, Ordering::SeqCst);
    }

    /// Requests running and waiting.
    #[must_use]
    pub fn load(&self) -> (usize, usize) {
        let load = lock(&self.shared.load);
        (load.running, load.waiting)
    }

    /// Begins to tell these control machines of itself.
    #[must_use]
    pub fn register(
        &self,
        control: Vec<SocketAddr>,
        interval: Duration,
    ) -> heartbeat::Registration {
        heartbeat::Registration::start(self.shared.clone(), control, interval)
    }

    /// Ends without a word: connections are closed, and the address refuses new ones.
    pub fn crash(&self) {
        if self.shared.stopped.swap(true, Ordering::SeqCst) {
            return;
        }
        for stream in lock(&self.shared.open).drain(..) {
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

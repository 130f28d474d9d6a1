//! What happened on a day, as seen from outside: the record that is judged. Times count from the
//! beginning of the day.

use crate::plan::Target;
use lichenswitch_emulators::model_server::Entry;
use lichenswitch_emulators::operator::{Order, Outcome};
use lichenswitch_emulators::stream_client::StreamFault;
use std::time::{Duration, Instant};

/// The time of a day.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// A day that begins now.
    #[must_use]
    pub fn start() -> Clock {
        Clock(Instant::now())
    }

    /// Time since the day began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.0.elapsed()
    }

    /// The same of a moment that is over.
    #[must_use]
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.0)
    }
}

/// Something that was done to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// SIGTERM, and its start after it.
    Terminated,
    /// SIGHUP.
    HungUp,
    /// SIGKILL, and its start after it.
    Killed,
    /// The same, and it came back with an empty disk.
    Wiped,
    /// SIGSTOP up to SIGCONT.
    Paused,
    /// Cut off from other control processes.
    Cut,
}

impl FaultKind {
    /// Whether an operator does this on purpose, and nothing may be lost by it.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, FaultKind::Terminated | FaultKind::HungUp)
    }
}

/// See [`FaultKind`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// What.
    pub kind: FaultKind,
    /// To which process.
    pub target: Target,
    /// When it began.
    pub from: Duration,
    /// When the process went on or was started again; [`Duration::MAX`]: not yet.
    pub to: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer with this status.
    Answered(u16),
    /// The answer had begun, and its connection ended.
    Cut,
    /// The connection ended before an answer.
    NoAnswer,
    /// Nothing came for as long as clients wait.
    Silent,
    /// The client left at once.
    Abandoned,
}

/// A request of a client: one that was written whole.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// `Attempt-Id`.
    pub attempt: String,
    /// The machine whose router took the connection.
    pub machine: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its place on its connection; 0: it opened it.
    pub turn: u32,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// The least of `Deadline-Ms` and the least `timeoutMs` that its route ever has.
    pub time_left: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// What is wrong with what came.
    pub faults: Vec<StreamFault>,
}

/// A life of a model server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Its id.
    pub instance: String,
    /// When it began; its entries count from then.
    pub began: Duration,
    /// When it ended.
    pub stopped: Option<Duration>,
    /// What it saw.
    pub entries: Vec<Entry>,
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// The order; its document names `number` in a route, so that a document tells which order made
    /// it.
    pub order: Order,
    /// Its place among all orders, from 1.
    pub number: u64,
    /// Version that it brings.
    pub version: u64,
    /// When it was sent first.
    pub sent: Duration,
    /// When it was acknowledged first.
    pub acknowledged: Option<Duration>,
    /// All outcomes, in order, those of repeats included.
    pub outcomes: Vec<Outcome>,
}

/// A configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// The machine that was asked.
    pub machine: usize,
    /// When it was asked.
    pub sent: Duration,
    /// Version of what it told.
    pub version: u64,
    /// The order that made it; 0: it names none.
    pub order: u64,
}

/// Something that a process did and may not do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It ended by itself, or not with 0 when it was told to end.
    Ended(Target, Option<i32>),
    /// It was told to end, and still ran after the grace.
    Overstayed(Target),
    /// It logged that a promise of its own is broken, or that it panicked.
    Logged(Target, String),
    /// The configuration could not be read at this machine in `recoveryS` after the last trouble.
    NotReadBack(usize),
    /// No request was served by this machine in `recoveryS` after the last trouble.
    NotServing(usize),
}

/// All of a day.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// What was done to processes.
    pub faults: Vec<InjectedFault>,
    /// Requests.
    pub client_requests: Vec<ClientRequest>,
    /// Model servers.
    pub servers: Vec<ServerRecord>,
    /// Orders, by their number.
    pub orders: Vec<OrderRecord>,
    /// Configurations read during the day.
    pub reads: Vec<ReadRecord>,
    /// Configurations read back at its end.
    pub final_reads: Vec<ReadRecord>,
    /// What processes did wrong.
    pub process_faults: Vec<ProcessFault>,
}

impl Journal {
    /// Whether an unplanned trouble touches this time.
    #[must_use]
    pub fn is_troubled(&self, from: Duration, to: Duration) -> bool {
        let touches = |fault: &InjectedFault| fault.from <= to && fault.to >= from;
        self.faults
            .iter()
            .any(|fault| !fault.kind.is_planned() && touches(fault))
    }
}

//! The journal of a day: what was done to the fleet, and what clients, model servers and operators
//! observed. It is what the judge reads. Times are spans since the start of the day.

use crate::plan::Target;
use lichenswitch_emulators::model_server::Entry;
use lichenswitch_emulators::operator::{Order, Outcome};
use lichenswitch_emulators::stream_client::StreamFault;
use std::time::{Duration, Instant};

/// The clock of a day.
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

    /// The time of an earlier instant.
    #[must_use]
    pub fn at(&self, moment: Instant) -> Duration {
        moment.saturating_duration_since(self.0)
    }
}

/// What was done to a process.
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
    /// Partitioned from other control processes.
    Partitioned,
}

impl FaultKind {
    /// Whether an operator does this as planned work, by which nothing may be lost.
    #[must_use]
    pub fn is_planned(self) -> bool {
        matches!(self, FaultKind::Terminated | FaultKind::HungUp)
    }
}

/// A fault or planned work of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InjectedFault {
    /// What was done.
    pub kind: FaultKind,
    /// The process.
    pub target: Target,
    /// When it began.
    pub from: Duration,
    /// When the process was resumed or started again; [`Duration::MAX`]: not yet.
    pub to: Duration,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete response with this status.
    Responded(u16),
    /// The connection ended within the response.
    Truncated,
    /// The connection ended before the response.
    NoResponse,
    /// Nothing arrived within the timeout of clients.
    TimedOut,
    /// The client disconnected as soon as it had sent the request.
    Abandoned,
}

impl RequestEnd {
    /// How a verdict names it.
    #[must_use]
    pub fn label(self) -> String {
        match self {
            RequestEnd::Responded(status) => return status.to_string(),
            RequestEnd::Truncated => "Cut",
            RequestEnd::NoResponse => "NoAnswer",
            RequestEnd::TimedOut => "Silent",
            RequestEnd::Abandoned => "Abandoned",
        }
        .into()
    }
}

/// A request of a client that was sent completely.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// `Attempt-Id`.
    pub attempt: String,
    /// The machine whose router took the connection.
    pub machine: usize,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The tenant whose key it bore.
    pub tenant: Option<String>,
    /// Its index on its connection, from 0.
    pub turn: u32,
    /// When its last byte was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// Its time limit: the least of `Deadline-Ms` and of all `timeoutMs` that its route has during
    /// the day.
    pub time_limit: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// What is wrong with what came.
    pub faults: Vec<StreamFault>,
    /// When the configuration was acknowledged that added its route, which is never removed; `None`: its
    /// route comes and goes, or was there from the start.
    pub route_acknowledged_at: Option<Duration>,
}

impl ClientRequest {
    /// How long it took.
    #[must_use]
    pub fn duration(&self) -> Duration {
        self.ended.saturating_sub(self.sent)
    }
}

/// One incarnation of a model server.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// Its id.
    pub instance: String,
    /// When it started; the times of its entries are spans since then.
    pub started: Duration,
    /// When it ended.
    pub stopped: Option<Duration>,
    /// What it saw.
    pub entries: Vec<Entry>,
}

/// An order of an operator.
#[derive(Clone, Debug)]
pub struct OrderRecord {
    /// The order. Its document names `number` in a route, by which a document that is read shows its
    /// order.
    pub order: Order,
    /// Its number among all orders, from 1.
    pub number: u64,
    /// The version of its document.
    pub version: u64,
    /// When it was first sent.
    pub sent: Duration,
    /// When it was first acknowledged.
    pub acknowledged: Option<Duration>,
    /// All outcomes in order, also those of repetitions.
    pub outcomes: Vec<Outcome>,
}

/// A configuration that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// The machine that it was read from.
    pub machine: usize,
    /// When the read was sent.
    pub sent: Duration,
    /// The version of the document.
    pub version: u64,
    /// The number of the order that made it; 0: it names none.
    pub order: u64,
}

/// A rule that a process broke by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessFault {
    /// It ended by itself, or with another status than 0 after SIGTERM.
    Ended(Target, Option<i32>),
    /// It still ran at the end of the grace after SIGTERM.
    Overstayed(Target),
    /// It logged a broken invariant or a panic.
    Logged(Target, String),
    /// The configuration could not be read at this machine within `recoveryS` after the last fault.
    NotReadBack(usize),
    /// No request was served by this machine within `recoveryS` after the last fault.
    NotServing(usize),
}

/// All that was recorded of a day.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    /// Faults and planned work of processes.
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
    /// Rules that processes broke by themselves.
    pub process_faults: Vec<ProcessFault>,
}

impl Journal {
    /// Whether an unplanned fault overlaps this time.
    #[must_use]
    pub fn has_unplanned_fault(&self, from: Duration, to: Duration) -> bool {
        let overlaps = |fault: &InjectedFault| fault.from <= to && fault.to >= from;
        self.faults
            .iter()
            .any(|fault| !fault.kind.is_planned() && overlaps(fault))
    }
}

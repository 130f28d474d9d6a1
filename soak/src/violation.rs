//! The rules that a day can break, as a verdict prints them.

use crate::journal::ProcessFault;
use lichenswitch_emulators::operator::Fault;
use lichenswitch_emulators::stream_client::StreamFault;
use std::time::Duration;
use thiserror::Error;

/// The planned work during or shortly after which a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedWork {
    /// SIGTERM of its router, this long before.
    Termination(Duration),
    /// SIGHUP of its router.
    HangUp,
    /// A change of the configuration.
    Configuration,
    /// Nothing.
    Nothing,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum Violation {
    /// A request was read completely and its connection ended without a complete response, with no
    /// unplanned fault near.
    #[error("LOST: request {attempt} at router {machine}, sent at {sent:.3?} (turn {turn} of its connection), ended at {ended:.3?} by {end}, beside {planned_work:?}")]
    RequestLost {
        /// `Attempt-Id`.
        attempt: String,
        /// The machine of its router.
        machine: usize,
        /// Its index on its connection.
        turn: u32,
        /// When its last byte was sent.
        sent: Duration,
        /// When it ended.
        ended: Duration,
        /// How it ended.
        end: &'static str,
        /// The planned work that explains it.
        planned_work: PlannedWork,
    },
    /// A response to a client breaks the protocol.
    #[error("MIXED/ORDER: the answer to {0}: {1:?}")]
    InvalidResponse(String, StreamFault),
    /// A request that is not idempotent ran more than once.
    #[error("TWICE: {0} ran {1} times")]
    RanTwice(String, usize),
    /// A request was rejected with a status that says that it has not run, and ran.
    #[error("REFUSED: {0} was refused with {1}, and ran")]
    RejectedAndRan(String, u16),
    /// A server ran what no client sent.
    #[error("UNASKED: {0} came from no client")]
    RunWithoutRequest(String),
    /// A server was told a tenant that is not the one whose key the request bore.
    #[error("UNASKED: {attempt} of the tenant {tenant:?} reached a server with Tenant {told:?}")]
    WrongTenant {
        /// `Attempt-Id`.
        attempt: String,
        /// The tenant whose key the request bore.
        tenant: Option<String>,
        /// What the server was told.
        told: Option<String>,
    },
    /// A key that every configuration has was not known.
    #[error("CONFIG: {0} was refused with 401; every configuration has its key")]
    KeyRefused(String),
    /// A request reached a server too long after its departure was acknowledged.
    #[error("DRAIN: {attempt} reached {instance} {late:.3?} after its leave was acknowledged")]
    ArrivedAfterDrain {
        /// `Attempt-Id`.
        attempt: String,
        /// The server.
        instance: String,
        /// How long after the acknowledgement.
        late: Duration,
    },
    /// Responses to operators contradict each other.
    #[error("CONFIG: {0:?}")]
    Orders(Fault),
    /// Two orders on the same base version were in force: the version and the orders.
    #[error("CONFIG: orders {1} and {2} on version {0} were both taken")]
    ConflictingOrders(u64, u64, u64),
    /// An order was rejected, and was in force.
    #[error("CONFIG: order {0} was refused, and was read as the configuration in force")]
    RejectedInForce(u64),
    /// A route was not found long after the configuration that added it had been acknowledged.
    #[error("CONFIG: {attempt} at router {machine}, sent at {sent:.3?}, was refused with 404; its route had been acknowledged at {acknowledged:.3?}")]
    RouteNotFound {
        /// `Attempt-Id`.
        attempt: String,
        /// The machine of its router.
        machine: usize,
        /// When its last byte was sent.
        sent: Duration,
        /// When the configuration with its route was acknowledged.
        acknowledged: Duration,
    },
    /// A configuration that was read is older than one that had long been acknowledged.
    #[error(
        "CONFIG: version {reported} was read at machine {machine} at {sent:.3?}; {known} had been acknowledged"
    )]
    StaleRead {
        /// The machine that it was read from.
        machine: usize,
        /// When the read was sent.
        sent: Duration,
        /// The version that was read.
        reported: u64,
        /// The newest version acknowledged before.
        known: u64,
    },
    /// An acknowledged configuration is lost at the end of the day.
    #[error(
        "LOST: version {known} (order {order}) was acknowledged, and machine {machine} has {reported} at the end"
    )]
    ConfigurationLost {
        /// The machine that it was read from.
        machine: usize,
        /// The version that was read.
        reported: u64,
        /// The newest version acknowledged before.
        known: u64,
        /// The order that made the newest version.
        order: u64,
    },
    /// A process broke a rule by itself.
    #[error("PROCESS: {0:?}")]
    Process(ProcessFault),
}

//! The rules that the oracle checks, each by its violation.

use lichenswitch_replication::Position;
use thiserror::Error;

use crate::network::Host;
use crate::orders::OrderId;

/// A rule that was violated. Durations are in milliseconds of virtual time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Violation {
    /// Two orders with the same base version were both acknowledged.
    #[error("orders {0:?} and {1:?} on version {2} were both acknowledged")]
    ConflictingOrdersAcknowledged(OrderId, OrderId, u64),
    /// An order was both acknowledged and rejected (with this HTTP status).
    #[error("order {0:?} was acknowledged, and rejected with {1}")]
    AcknowledgedAndRejected(OrderId, u16),
    /// An invalid order was acknowledged.
    #[error("order {0:?} is invalid, and was acknowledged")]
    InvalidOrderAcknowledged(OrderId),
    /// A valid order was rejected as invalid (with this HTTP status).
    #[error("order {0:?} is valid, and was rejected with {1}")]
    ValidOrderRejected(OrderId, u16),
    /// `describe` returned a version older than one reported before the call was sent.
    #[error(
        "describe at {machine} returned version {returned}, and {known} had been reported before the call"
    )]
    StaleDescribe {
        /// The machine that responded.
        machine: Host,
        /// Version that it returned.
        returned: u64,
        /// Newest version that had been reported before.
        known: u64,
    },
    /// `describe` returned a document that was not committed under its version.
    #[error("describe at {0} returned a version {1} that was never committed so")]
    UncommittedDescribe(Host, u64),
    /// Two different states were committed under one record number.
    #[error("at number {number}, {here:?} was committed at {machine}, and {there:?} elsewhere")]
    DivergentCommit {
        /// Number of the record.
        number: u64,
        /// The machine that committed.
        machine: Host,
        /// The position that it committed.
        here: Position,
        /// The position that was committed there first.
        there: Position,
    },
    /// A router has a configuration in force that was rejected or never committed.
    #[error("order {1:?} is in force at router {0}, and was rejected or never committed")]
    UncommittedInForce(Host, OrderId),
    /// An order was rejected that is in force at a router.
    #[error("order {0:?} was rejected, and is in force")]
    RejectedInForce(OrderId),
    /// A router replaced its configuration by an older one.
    #[error("router {router} went from version {from} to {to}")]
    RouterVersionRegressed {
        /// The router.
        router: Host,
        /// Version that it had in force.
        from: u64,
        /// Version that it has in force now.
        to: u64,
    },
    /// A starting router was served an old configuration as the current one.
    #[error(
        "router {router} was served version {served} as current, and {known} had been acknowledged long before"
    )]
    StaleConfigurationServed {
        /// The router.
        router: Host,
        /// Version that it was served.
        served: u64,
        /// Newest version that had been acknowledged long enough before.
        known: u64,
    },
    /// An acknowledged order is missing from the state at the end.
    #[error("order {0:?} was acknowledged, and is missing")]
    AcknowledgedOrderLost(OrderId),
    /// An order was not acknowledged in time though the core was stable (milliseconds).
    #[error("order {0:?} has waited {1} ms with a stable core")]
    OrderOverdue(OrderId, u64),
    /// A router lacks an acknowledged change though the core was stable.
    #[error(
        "router {router} has version {has:?} in force, and {lacks} was acknowledged {ago} ms ago"
    )]
    RouterOverdue {
        /// The router.
        router: Host,
        /// What it has in force.
        has: Option<u64>,
        /// Acknowledged version that it lacks.
        lacks: u64,
        /// Time since the acknowledgement, in milliseconds.
        ago: u64,
    },
    /// A process can't read its own disk.
    #[error("{0} can't read its disk: {1}")]
    DiskUnreadable(Host, String),
    /// A process wakes again and again with nothing to do.
    #[error("{0} was woken {1} times in 100 ms")]
    ExcessiveWakes(Host, u32),
    /// No committed state could be read at the end.
    #[error("nothing could be read back at the end")]
    FinalReadFailed,
    /// A member did not catch up within the bound.
    #[error("{machine} has committed {committed_here:?}, and the group {group:?}")]
    MemberNotCaughtUp {
        /// The machine.
        machine: Host,
        /// The position committed at the machine.
        committed_here: Option<Position>,
        /// The position committed at the primary.
        group: Option<Position>,
    },
}

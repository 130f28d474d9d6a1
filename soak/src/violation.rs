//! Rules that a day has broken.

use crate::journal::ProcessFault;
use lichenswitch_emulators::operator::Fault;
use lichenswitch_emulators::stream_client::StreamFault;
use std::time::Duration;
use thiserror::Error;

/// The planned work beside which a request was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beside {
    /// SIGTERM of its router, so long before.
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
    /// A request was read whole and its connection ended without a whole answer, with no unplanned
    /// trouble near.
    #[error("LOST: request {attempt} at router {machine}, sent at {sent:.3?} (turn {turn} of its connection), ended at {ended:.3?} by {end}, beside {beside:?}")]
    RequestLost {
        /// `Attempt-Id`.
        attempt: String,
        /// Whose router.
        machine: usize,
        /// Its place on its connection.
        turn: u32,
        /// When its last byte was sent.
        sent: Duration,
        /// When it ended.
        ended: Duration,
        /// How.
        end: &'static str,
        /// Beside what.
        beside: Beside,
    },
    /// What clients saw of an answer breaks the protocol.
    #[error("MIXED/ORDER: the answer to {0}: {1:?}")]
    WrongAnswer(String, StreamFault),
    /// A request that is not idempotent ran more than once.
    #[error("TWICE: {0} ran {1} times")]
    RanTwice(String, usize),
    /// A request was refused for good with this status, and ran.
    #[error("REFUSED: {0} was refused with {1}, and ran")]
    RefusedAndRan(String, u16),
    /// A server ran what no client sent.
    #[error("UNASKED: {0} came from no client")]
    Unasked(String),
    /// A request reached a server that had been gone for too long.
    #[error("DRAIN: {attempt} reached {instance} {late:.3?} after its leave was acknowledged")]
    SentToLeaver {
        /// `Attempt-Id`.
        attempt: String,
        /// The server.
        instance: String,
        /// How long after the acknowledgement.
        late: Duration,
    },
    /// Answers to operators contradict each other.
    #[error("CONFIG: {0:?}")]
    Orders(Fault),
    /// Two orders on one version were in force, one after the other.
    #[error("CONFIG: orders {1} and {2} on version {0} were both taken")]
    BothTaken(u64, u64, u64),
    /// An order was refused, and was in force.
    #[error("CONFIG: order {0} was refused, and was read as the configuration in force")]
    RefusedInForce(u64),
    /// A configuration that was read is older than one that had long been acknowledged.
    #[error(
        "CONFIG: version {reported} was read at machine {machine} at {sent:.3?}; {known} had been acknowledged"
    )]
    ReadOld {
        /// Who answered.
        machine: usize,
        /// When it was asked.
        sent: Duration,
        /// What it told.
        reported: u64,
        /// What had been acknowledged.
        known: u64,
    },
    /// What was acknowledged is gone at the end of the day.
    #[error(
        "LOST: version {known} (order {order}) was acknowledged, and machine {machine} has {reported} at the end"
    )]
    ConfigurationLost {
        /// Who answered.
        machine: usize,
        /// What it told.
        reported: u64,
        /// What had been acknowledged.
        known: u64,
        /// By this order.
        order: u64,
    },
    /// A process did what it may not do.
    #[error("PROCESS: {0:?}")]
    Process(ProcessFault),
}

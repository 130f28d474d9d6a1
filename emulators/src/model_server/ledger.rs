//! The events at a model server, from which tests check what it received, ran and sent.

use super::{heartbeat, Fault};
use crate::stream_client::message::Head;
use crate::sync::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

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
    /// Its body was received: its first 4 KiB.
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
    pub(super) fn new() -> Ledger {
        Ledger {
            started_at: Instant::now(),
            entries: Arc::default(),
        }
    }

    pub(super) fn record(&self, attempt: &str, event: Event) {
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

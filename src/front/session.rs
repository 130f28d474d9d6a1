//! The connection of one client: its state, and what its time limits say. No I/O.

use crate::interface::{Micros, QueryId, Time};
use crate::net::Conn;

/// A request must have arrived whole so long after its first byte; the first one, after its
/// connection.
const REQUEST_TIMEOUT: Micros = 2_000_000;
/// How long a client may take to end its side once the last answer is written.
const LINGER_TIMEOUT: Micros = 3_000_000;
/// The same while the broker ends: it may be killed 0.2 s after the last moment of an answer.
pub(super) const SHUTDOWN_LINGER_TIMEOUT: Micros = 400_000;
/// A client that takes nothing of an answer for so long has gone.
const WRITE_TIMEOUT: Micros = 10_000_000;
/// A connection between requests is closed after this long.
pub(super) const IDLE_TIMEOUT: Micros = 30_000_000;
/// Where many are open, a connection that has sent nothing, or between requests, may go after this
/// long, and one whose request is still arriving, or that lingers, after the second.
pub(super) const EVICTABLE_AFTER: Micros = 100_000;
pub(super) const BUSY_EVICTABLE_AFTER: Micros = 500_000;

/// A query whose answer a client waits for, and how that answer is written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PendingQuery {
    pub(super) id: QueryId,
    /// The connection is kept after the answer.
    pub(super) keep_alive: bool,
    /// The request's method was HEAD.
    pub(super) is_head: bool,
}

#[derive(Debug, PartialEq)]
pub(super) enum SessionState {
    /// Between requests, or in the midst of one that is still arriving.
    Reading,
    /// The answer of a query is waited for.
    AwaitingReply(PendingQuery),
    /// The last answer is being written.
    Closing,
    /// The last answer is written: reads on to the client's end, so that it is not lost to a reset.
    Lingering,
}

pub(super) struct Session {
    pub(super) state: SessionState,
    /// When it came, the last answer was written, or the first byte of the next request came.
    pub(super) phase_started_at: Time,
    /// A whole request has come on it.
    pub(super) has_sent_request: bool,
    /// `100 Continue` was sent for the request that is arriving.
    pub(super) is_continue_sent: bool,
}

/// What becomes of a connection that was looked at.
pub(super) enum SessionAction {
    Keep,
    /// Its request took too long to arrive: the client is told so.
    RejectLate,
    /// It is idle, and ends without a loss.
    HalfClose,
    Close,
}

impl Session {
    /// The connection of a client that has just connected.
    pub(super) fn new(now: Time) -> Session {
        Session {
            state: SessionState::Reading,
            phase_started_at: now,
            has_sent_request: false,
            is_continue_sent: false,
        }
    }

    /// What its time limits say. Guards descriptors against clients that send nothing, never finish
    /// a request, never read an answer or never come back.
    pub(super) fn action_at(&self, conn: &Conn, now: Time) -> SessionAction {
        let age = now.since(self.phase_started_at);
        let has_write_timed_out = now.since(conn.last_active_at) >= WRITE_TIMEOUT;
        let is_over = match self.state {
            SessionState::AwaitingReply(_) => false,
            SessionState::Closing => has_write_timed_out,
            SessionState::Lingering => age >= LINGER_TIMEOUT,
            SessionState::Reading if !conn.flushed() => has_write_timed_out,
            SessionState::Reading if !conn.input.is_empty() => {
                if age >= REQUEST_TIMEOUT {
                    return SessionAction::RejectLate;
                }
                false
            }
            SessionState::Reading => {
                if age >= self.idle_timeout() {
                    return SessionAction::HalfClose;
                }
                false
            }
        };
        if is_over {
            SessionAction::Close
        } else {
            SessionAction::Keep
        }
    }

    /// How long it may be without a byte of a request.
    fn idle_timeout(&self) -> Micros {
        if self.has_sent_request {
            IDLE_TIMEOUT
        } else {
            REQUEST_TIMEOUT
        }
    }

    /// How soon it goes where many are open; `None`: it stays. Those that never asked go first.
    pub(super) fn eviction_key(&self, conn: &Conn, now: Time) -> Option<(bool, Time)> {
        let is_between_requests = self.state == SessionState::Reading && conn.input.is_empty();
        let is_busy = matches!(
            self.state,
            SessionState::AwaitingReply(_) | SessionState::Closing
        ) || !conn.flushed();
        let evictable_after = if is_between_requests {
            EVICTABLE_AFTER
        } else {
            BUSY_EVICTABLE_AFTER
        };
        let is_evictable = !is_busy && now.since(self.phase_started_at) >= evictable_after;
        is_evictable.then_some((self.has_sent_request, self.phase_started_at))
    }
}

//! What the protocol reports of itself: counters and log lines.

/// Counters of the protocol since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PeerStats {
    /// Frames sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Frames received, greetings apart.
    pub received: u64,
    /// Frames that were dropped, for want of room or of a connection.
    pub dropped: u64,
}

/// The counters, and the log lines that wait to be taken.
#[derive(Debug, Default)]
pub(super) struct Journal {
    pub(super) stats: PeerStats,
    pub(super) log: Vec<String>,
}

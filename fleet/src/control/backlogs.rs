//! Sums of the backlogs of servers, and the times at which they are sent next.

use lichenswitch_backlog::BacklogTable;
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use std::net::SocketAddr;

/// The process that reports backlogs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum BacklogSource {
    /// A router, by its connection.
    Router(ConnId),
    /// Another control machine.
    Peer(SocketAddr),
}

/// The backlogs by source, and the times of the next delta and the next snapshot.
#[derive(Default)]
pub(super) struct BacklogState {
    pub(super) table: BacklogTable<BacklogSource>,
    pub(super) next_delta_at: Time,
    pub(super) next_snapshot_at: Time,
}

impl BacklogState {
    /// Returns when the next delta has to be sent, or `None` if nothing has changed.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.table.has_changed().then_some(self.next_delta_at)
    }

    /// Removes the backlogs of a source whose connection is closed.
    pub(super) fn on_disconnected(&mut self, source: BacklogSource) {
        self.table.on_source_lost(&source);
    }
}

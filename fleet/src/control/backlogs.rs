//! Sums of the work that waits at servers, and when they are sent next.

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

/// The sums, and when they are sent next.
#[derive(Default)]
pub(super) struct BacklogState {
    pub(super) table: BacklogTable<BacklogSource>,
    pub(super) next_delta_at: Time,
    pub(super) next_snapshot_at: Time,
}

impl BacklogState {
    /// When a report has to be sent without a further event.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.table.has_changed().then_some(self.next_delta_at)
    }

    /// The connection to a source is closed: its backlogs are dropped.
    pub(super) fn on_disconnected(&mut self, source: BacklogSource) {
        self.table.on_source_lost(&source);
    }
}

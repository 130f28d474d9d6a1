//! Sums the reported backlogs of servers, and sends the sums to the other control machines and to
//! this machine's routers.
//!
//! The sums are hints for choosing servers. A lost report is corrected by the next complete one,
//! which is sent within [`SNAPSHOT_INTERVAL`].

use super::backlogs::BacklogSource;
use super::clock::after;
use super::internal_connections::RemoteRole;
use super::node::ControlNode;
use lichenswitch_backlog::BacklogChanges;
use lichenswitch_interface::{ServerId, Time};
use lichenswitch_messages::{BacklogReport, ServerBacklog};
use lichenswitch_net::ConnId;
use std::time::Duration;

/// Minimum interval between reports of changes.
const DELTA_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum interval between complete reports to the other control machines.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(2);

impl ControlNode {
    /// Handles a backlog report of a router or of another control machine.
    pub(super) fn on_backlog_report(&mut self, id: ConnId, report: &BacklogReport) {
        let changes: BacklogChanges = report
            .servers
            .iter()
            .map(|backlog| (ServerId(backlog.server), backlog.tokens))
            .collect();
        let source = match self.connections.remote_role(id) {
            Some(RemoteRole::Router) => BacklogSource::Router(id),
            Some(RemoteRole::Peer(address)) => BacklogSource::Peer(address),
            // The sender's handshake has not arrived.
            Some(RemoteRole::Unknown) | None => return,
        };
        if report.is_complete {
            self.backlogs.table.on_source_lost(&source);
        }
        match source {
            BacklogSource::Router(_) => self.backlogs.table.on_router_report(source, &changes),
            BacklogSource::Peer(_) => self.backlogs.table.on_peer_report(source, &changes),
        }
    }

    /// Sends the changes, or a complete report, if one is due.
    pub(super) fn send_backlogs(&mut self, now: Time) {
        if self.backlogs.next_wake().is_none_or(|at| at > now) {
            return;
        }
        self.backlogs.next_delta_at = after(now, DELTA_INTERVAL);
        let (to_peers, to_routers) = self.backlogs.table.take_changes();
        let peers: Vec<ConnId> = self
            .peers
            .connected()
            .filter_map(|(address, _)| self.peers.connection(address))
            .collect();
        if self.backlogs.next_snapshot_at <= now {
            self.backlogs.next_snapshot_at = after(now, SNAPSHOT_INTERVAL);
            let servers = self.backlogs.table.snapshot_for_peer();
            self.send_backlog_report(&peers, &backlog_report(true, servers));
        } else if !to_peers.is_empty() {
            self.send_backlog_report(&peers, &backlog_report(false, to_peers));
        }
        if !to_routers.is_empty() {
            let routers = self.routers.connections();
            self.send_backlog_report(&routers, &backlog_report(false, to_routers));
        }
    }

    /// Sends all known backlogs to a router that has connected.
    pub(super) fn send_known_backlogs(&mut self, id: ConnId) {
        let known = self.backlogs.table.snapshot_for_router();
        if !known.is_empty() {
            self.send_backlog_report(&[id], &backlog_report(true, known));
        }
    }

    fn send_backlog_report(&mut self, to: &[ConnId], report: &BacklogReport) {
        self.connections
            .send_backlog_report(&mut self.net, to, report);
    }
}

fn backlog_report(is_complete: bool, changes: BacklogChanges) -> BacklogReport {
    let servers = changes
        .into_iter()
        .map(|(server, tokens)| ServerBacklog {
            server: server.0,
            tokens,
        })
        .collect();
    BacklogReport {
        is_complete,
        servers,
    }
}

//! Work that waits at servers: routers' reports are summed here, and told to the other control
//! machines and to this machine's routers.
//!
//! It is help for choices, never something to rely on: what is lost on the way is told again within
//! [`WHOLE_INTERVAL`].

use super::links::End;
use super::machine::Machine;
use super::program::after;
use lichenswitch_backlog::{BacklogTable, Changes};
use lichenswitch_interface::{ServerId, Time};
use lichenswitch_messages::{BacklogReport, ServerBacklog};
use lichenswitch_net::ConnId;
use std::net::SocketAddr;
use std::time::Duration;

/// Between two words on changes.
const TELL_INTERVAL: Duration = Duration::from_millis(20);
/// Between two words on the whole.
const WHOLE_INTERVAL: Duration = Duration::from_secs(2);

/// Who reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Source {
    /// A router, by its connection.
    Router(ConnId),
    /// Another control machine.
    Peer(SocketAddr),
}

/// The sums, and when they are told next.
#[derive(Default)]
pub(super) struct Backlogs {
    table: BacklogTable<Source>,
    next_word: Time,
    next_whole: Time,
}

impl Backlogs {
    /// When something is due by itself.
    pub(super) fn next_wake(&self) -> Option<Time> {
        self.table.has_changed().then_some(self.next_word)
    }

    /// A source is gone.
    pub(super) fn on_lost(&mut self, source: Source) {
        self.table.on_lost(&source);
    }
}

impl Machine {
    /// A router, or another control machine, reports what waits.
    pub(super) fn on_backlog_report(&mut self, id: ConnId, report: &BacklogReport) {
        let changes: Changes = report
            .servers
            .iter()
            .map(|of| (ServerId(of.server), of.tokens))
            .collect();
        let source = match self.links.end(id) {
            Some(End::Router) => Source::Router(id),
            Some(End::Peer(address)) => Source::Peer(address),
            // It has not said who it is.
            Some(End::Unknown) | None => return,
        };
        if report.is_complete {
            self.backlogs.table.on_lost(&source);
        }
        match source {
            Source::Router(_) => self.backlogs.table.on_router_report(source, &changes),
            Source::Peer(_) => self.backlogs.table.on_peer_report(source, &changes),
        }
    }

    /// Tells what has changed, if it is time.
    pub(super) fn tell_backlogs(&mut self, now: Time) {
        if self.backlogs.next_wake().is_none_or(|at| at > now) {
            return;
        }
        self.backlogs.next_word = after(now, TELL_INTERVAL);
        let (to_peers, to_routers) = self.backlogs.table.take_changes();
        let peers: Vec<ConnId> = self
            .peers
            .connected()
            .filter_map(|(address, _)| self.peers.connection(address))
            .collect();
        let whole = self.backlogs.next_whole <= now;
        if whole {
            self.backlogs.next_whole = after(now, WHOLE_INTERVAL);
            let servers = self.backlogs.table.whole_for_peer();
            self.send_backlogs(&peers, &report(true, servers));
        } else if !to_peers.is_empty() {
            self.send_backlogs(&peers, &report(false, to_peers));
        }
        if !to_routers.is_empty() {
            let routers = self.routers.connections();
            self.send_backlogs(&routers, &report(false, to_routers));
        }
    }

    /// A router has connected: it gets all that is known.
    pub(super) fn greet_with_backlogs(&mut self, id: ConnId) {
        let known = self.backlogs.table.whole_for_router();
        if !known.is_empty() {
            self.send_backlogs(&[id], &report(true, known));
        }
    }

    fn send_backlogs(&mut self, to: &[ConnId], report: &BacklogReport) {
        match crate::envelopes::encode_backlog_report(report) {
            Ok(bytes) => to
                .iter()
                .for_each(|id| self.links.send_bytes(&mut self.net, *id, &bytes)),
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(); "a message can't be sent");
            }
        }
    }
}

fn report(whole: bool, changes: Changes) -> BacklogReport {
    let servers = changes
        .into_iter()
        .map(|(server, tokens)| ServerBacklog {
            server: server.0,
            tokens,
        })
        .collect();
    BacklogReport {
        is_complete: whole,
        servers,
    }
}

//! The state of one control machine, and what follows from it alone.
//!
//! Handlers add methods to [`ControlNode`] in files of their own, by concern. They know this file
//! and the parts below it; neither knows a handler.

use super::backlogs::BacklogState;
use super::call_types::{CallDispatcher, PrimaryLocation};
use super::caller_sessions::CallerSessions;
use super::environment::Environment;
use super::group::Group;
use super::internal_connections::InternalConnections;
use super::last_notified::LastNotified;
use super::net_program::Net;
use super::peer_table::PeerTable;
use super::primary_tracker::PrimaryTracker;
use super::quotas::Quotas;
use super::router_table::RouterTable;
use super::server_table::ServerTable;
use crate::settings::Settings;
use lichenswitch_control::{
    AcknowledgedVersions, CommittedConfiguration, GroupMembership, RejectedOrders,
};
use lichenswitch_interface::Time;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::SystemTime;

/// A control machine.
pub(super) struct ControlNode {
    pub(super) settings: Settings,
    pub(super) environment: Environment,
    /// The settings file.
    pub(super) path: PathBuf,
    /// When the settings file was modified, as of the last read.
    pub(super) settings_modified_at: Option<SystemTime>,
    /// Where other processes of the fleet reach this one.
    pub(super) address: SocketAddr,
    /// Identity of the disk; of the process, where this machine is no member of the group.
    pub(super) identity: u64,
    pub(super) group_membership: GroupMembership,
    pub(super) net: Net,
    /// Connections to control machines and routers.
    pub(super) connections: InternalConnections,
    pub(super) peers: PeerTable,
    /// The replica and its disk; `None` at a relay.
    pub(super) group: Option<Group>,
    pub(super) primary_tracker: PrimaryTracker,
    pub(super) servers: ServerTable,
    pub(super) routers: RouterTable,
    /// Connections of servers and operators.
    pub(super) callers: CallerSessions,
    pub(super) calls: CallDispatcher,
    pub(super) quotas: Quotas,
    pub(super) backlogs: BacklogState,
    /// Versions that this machine has acknowledged to its callers.
    pub(super) acknowledged: AcknowledgedVersions,
    /// Orders that this machine rejected last.
    pub(super) rejected_orders: RejectedOrders,
    /// The newest configuration that this machine knows to be committed.
    pub(super) committed: Option<CommittedConfiguration>,
    /// What others were notified of last.
    pub(super) last_notified: LastNotified,
    pub(super) next_tick_at: Time,
    pub(super) next_digest_at: Time,
    pub(super) next_settings_check_at: Time,
    /// When a disk that could not be opened is tried again at the earliest.
    pub(super) next_disk_attempt_at: Time,
    /// When the signal to shut down arrived; `None` before that.
    pub(super) shutdown_started_at: Option<Time>,
}

impl ControlNode {
    /// Addresses of the voters, as far as this machine knows them.
    pub(super) fn voters(&self) -> Vec<SocketAddr> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        group
            .replica
            .membership()
            .all()
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }

    /// Where the primary is, if it is known and reachable.
    pub(super) fn primary(&self, now: Time) -> PrimaryLocation {
        let group = self.group.as_ref().map(|group| &group.replica);
        if group.is_some_and(|replica| replica.is_serving()) {
            return PrimaryLocation::Local;
        }
        let known = group
            .and_then(|replica| replica.primary())
            .and_then(|member| member.address.parse().ok());
        let known = known
            .filter(|address| *address != self.address)
            .or_else(|| self.primary_tracker.primary(now));
        match known.filter(|address| self.peers.connection(*address).is_some()) {
            Some(address) => PrimaryLocation::Remote(address),
            None => PrimaryLocation::Unknown,
        }
    }

    /// Connected machines that have a disk, or whose loss is counted.
    pub(super) fn durable_peers(&self) -> Vec<SocketAddr> {
        let durable = self
            .peers
            .connected()
            .filter(|(_, peer)| peer.is_eligible());
        durable.map(|(address, _)| address).collect()
    }

    /// Whether that peer was in contact when it last reported.
    pub(super) fn is_in_contact(&self, address: SocketAddr) -> bool {
        self.peers.get(address).is_some_and(|peer| peer.in_contact)
    }
}

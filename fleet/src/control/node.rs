//! The state of a control machine, and values that are derived from it.
//!
//! Handlers add methods to [`ControlNode`] in separate files, by concern. They depend on this file
//! and on the modules that it uses. Neither this file nor those modules depend on a handler.

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

/// The state of a control machine, which its event loop owns.
pub(super) struct ControlNode {
    pub(super) settings: Settings,
    pub(super) environment: Environment,
    /// Path of the settings file.
    pub(super) settings_path: PathBuf,
    /// Modification time of the settings file when it was last read.
    pub(super) settings_modified_at: Option<SystemTime>,
    /// Address at which other processes of the fleet reach this one.
    pub(super) address: SocketAddr,
    /// Identity of the disk, or of the process while this machine is not a member of the group.
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
    /// The most recent orders that this machine has rejected.
    pub(super) rejected_orders: RejectedOrders,
    /// The newest configuration that this machine knows to be committed.
    pub(super) committed: Option<CommittedConfiguration>,
    /// The state that was last sent to other machines.
    pub(super) last_notified: LastNotified,
    pub(super) next_tick_at: Time,
    pub(super) next_digest_at: Time,
    pub(super) next_settings_check_at: Time,
    /// Earliest time of the next attempt to open a disk that could not be opened.
    pub(super) next_disk_attempt_at: Time,
    /// Time at which the signal to shut down arrived; `None` before that.
    pub(super) shutdown_started_at: Option<Time>,
}

impl ControlNode {
    /// Returns the addresses of the voters that this machine's replica knows. Empty at a relay.
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

    /// Returns the location of the primary, or `Unknown` if it is unknown or not connected.
    pub(super) fn primary(&self, now: Time) -> PrimaryLocation {
        let replica = self.group.as_ref().map(|group| &group.replica);
        if replica.is_some_and(|replica| replica.is_serving()) {
            return PrimaryLocation::Local;
        }
        let followed = replica
            .and_then(|replica| replica.primary())
            .and_then(|member| member.address.parse().ok())
            .filter(|address| *address != self.address);
        let reported = self.primary_tracker.primary(now);
        // A primary sends records to voters and to a few learners. The replica of any other machine
        // may follow a former primary for as long as it runs.
        let known = match self.group.as_ref().is_some_and(Group::is_voter) {
            true => followed.or(reported),
            false => reported.or(followed),
        };
        match known.filter(|address| self.peers.connection(*address).is_some()) {
            Some(address) => PrimaryLocation::Remote(address),
            None => PrimaryLocation::Unknown,
        }
    }

    /// Returns the addresses of connected machines that have a disk, or whose loss is counted.
    pub(super) fn durable_peers(&self) -> Vec<SocketAddr> {
        let durable = self
            .peers
            .connected()
            .filter(|(_, peer)| peer.is_eligible());
        durable.map(|(address, _)| address).collect()
    }

    /// Whether the peer at an address was in contact when it last reported.
    pub(super) fn is_in_contact(&self, address: SocketAddr) -> bool {
        self.peers.get(address).is_some_and(|peer| peer.in_contact)
    }
}

//! Startup of a control machine: reads its disk, creates its state and listens.

use super::backlogs::BacklogState;
use super::call_types::CallDispatcher;
use super::caller_sessions::CallerSessions;
use super::clock::{after, to_replica_time};
use super::eligibility::{eligibility, should_join_at_start};
use super::environment::Environment;
use super::error::ControlError;
use super::group::{generate_identity, Group, DISK_RETRY_DELAY};
use super::internal_connections::InternalConnections;
use super::last_notified::LastNotified;
use super::net_program::{Net, Owner, Signal};
use super::node::ControlNode;
use super::peer_table::PeerTable;
use super::primary_tracker::PrimaryTracker;
use super::quotas::Quotas;
use super::router_table::RouterTable;
use super::server_table::ServerTable;
use super::settings_file::modified_at;
use crate::settings::Settings;
use lichenswitch_control::{AcknowledgedVersions, Eligibility, GroupMembership, RejectedOrders};
use lichenswitch_interface::Time;
use lichenswitch_replication::Identity;
use log::info;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

/// Number of file descriptors that are reserved in each direction for connections between processes
/// of the fleet.
const RESERVED_INTERNAL_CONNECTIONS: usize = 256;

/// The resources that are opened before the state of the machine is assembled.
struct OpenedResources {
    address: SocketAddr,
    eligibility: Eligibility,
    net: Net,
    group: Option<Group>,
    servers: ServerTable,
    started_at: Time,
}

impl ControlNode {
    /// Reads the machine's disk, opens its listeners and creates its state.
    ///
    /// # Errors
    /// Fails if the settings lack an address, or if sockets or signal handlers can't be created.
    pub(super) fn start(
        settings: Settings,
        path: PathBuf,
        environment: Environment,
    ) -> Result<ControlNode, ControlError> {
        let resources = open_resources(&settings, &environment)?;
        let now = resources.started_at;
        let mut node = ControlNode::assemble(settings, path, environment, resources);
        node.update_diskless_members();
        // Voters that are known from the disk are dialled at once, even if they are not seeds.
        node.voters()
            .into_iter()
            .for_each(|voter| node.peers.learn(voter, now));
        Ok(node)
    }

    fn assemble(
        settings: Settings,
        path: PathBuf,
        environment: Environment,
        resources: OpenedResources,
    ) -> ControlNode {
        let OpenedResources {
            address,
            eligibility,
            net,
            group,
            servers,
            started_at: now,
        } = resources;
        let identity = identity_of(group.as_ref(), address);
        log_start(&settings, address, group.is_some());
        ControlNode {
            address,
            quotas: Quotas::new(identity.0, group.as_ref(), settings.bounds.quota_bounds()),
            identity: identity.0,
            group_membership: GroupMembership::new(
                eligibility,
                to_replica_time(now),
                settings.fault_tolerance.machines,
            ),
            connections: InternalConnections::default(),
            peers: PeerTable::new(address, settings.internal_seed_addresses(), now),
            group,
            primary_tracker: PrimaryTracker::new(fastrand::u64(..)),
            servers,
            routers: RouterTable::new(),
            callers: CallerSessions::default(),
            calls: CallDispatcher::new(fastrand::u64(..)),
            backlogs: BacklogState::default(),
            acknowledged: AcknowledgedVersions::default(),
            rejected_orders: RejectedOrders::default(),
            committed: None,
            last_notified: LastNotified::default(),
            next_tick_at: now,
            next_digest_at: now,
            next_settings_check_at: now,
            next_disk_attempt_at: after(now, DISK_RETRY_DELAY),
            shutdown_started_at: None,
            settings_modified_at: modified_at(&path),
            settings,
            environment,
            settings_path: path,
            net,
        }
    }
}

/// Returns the identity of this group member, or a new one if this machine is not a member.
fn identity_of(group: Option<&Group>, address: SocketAddr) -> Identity {
    group.map_or_else(|| generate_identity(&address.to_string()), Group::identity)
}

fn log_start(settings: &Settings, address: SocketAddr, is_eligible: bool) {
    info!(target: "control", node = settings.node_name.as_str(), address = address.to_string().as_str(),
        eligible = is_eligible; "control machine started");
}

/// Opens the event loop, the group and the table of servers, and then starts to listen.
fn open_resources(
    settings: &Settings,
    environment: &Environment,
) -> Result<OpenedResources, ControlError> {
    let control_plane = settings
        .listen_addresses
        .control_plane
        .ok_or(ControlError::NoAddress)?;
    let address = SocketAddr::new(settings.ip_address, settings.internal_port_range.first);
    let mut net = Net::new(settings.limits.file_descriptors)?;
    net.reserve_for_peers(RESERVED_INTERNAL_CONNECTIONS);
    watch_signals(&mut net)?;
    let now = net.clock.now();
    let eligibility = eligibility(settings);
    let group = match should_join_at_start(eligibility, settings) {
        true => Group::open(settings, environment, address, &mut net, now),
        false => None,
    };
    let servers = ServerTable::start(settings, environment, &mut net, now)?;
    // Callers get responses from now on, with status 503 until this machine can answer.
    net.listen(Owner::Accepted, address)?;
    net.listen(Owner::Caller, control_plane)?;
    Ok(OpenedResources {
        address,
        eligibility,
        net,
        group,
        servers,
        started_at: now,
    })
}

fn watch_signals(net: &mut Net) -> io::Result<()> {
    for (number, signal) in [
        (SIGTERM, Signal::Stop),
        (SIGINT, Signal::Stop),
        (SIGHUP, Signal::Reload),
    ] {
        let (wake_reader, wake_writer) = UnixStream::pair()?;
        net.watch_signal(signal, wake_reader)?;
        signal_hook::low_level::pipe::register(number, wake_writer)?;
    }
    Ok(())
}

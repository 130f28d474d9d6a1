//! The state of a router: everything that its handlers work on.
//!
//! It lies above the types that it joins and below all handlers, which are methods on [`Router`] in
//! `handlers`.

use super::admission::QuotaWaiter;
use super::backlog_reports::BacklogReports;
use super::configuration::CurrentConfiguration;
use super::counters::RejectionCounters;
use super::error::RouterError;
use super::freshness::ConfigurationFreshness;
use super::options::Options;
use super::reactor::{Net, Signal, SocketOwner, Timer};
use super::readiness::ReadinessEndpoint;
use super::request_table::RequestTable;
use super::servers::ServerTable;
use super::services::Services;
use super::settings_file::SettingsFile;
use super::shutdown::Shutdown;
use super::time::after;
use crate::router::client_connections::{ClientConnections, ClientEvent};
use crate::router::control_link::{ControlCandidates, ControlLink, RouterIdentity};
use crate::router::server_connections::ServerConnections;
use crate::settings::Settings;
use lichenswitch_net::ConnId;
use lichenswitch_quota::Allowances;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Connections reserved for the platform's checks and for control machines, each: a check that finds
/// none is a miss, and the platform may keep the connections of some checks open.
const RESERVED_PEER_CONNECTIONS: usize = 32;

/// How often the settings file is checked: it may change without a signal.
pub(crate) const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// A router: its sockets, what it knows, and the requests in hand.
pub struct Router {
    pub(crate) net: Net,
    pub(crate) options: Options,
    pub(crate) settings_file: Option<SettingsFile>,
    pub(crate) frontend_address: SocketAddr,
    pub(crate) readiness_address: Option<SocketAddr>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) configuration: CurrentConfiguration,
    pub(crate) services: Services,
    pub(crate) servers: ServerTable,
    pub(crate) clients: ClientConnections,
    pub(crate) client_events: Vec<ClientEvent>,
    pub(crate) connections: ServerConnections,
    pub(crate) requests: RequestTable,
    pub(crate) control_link: ControlLink,
    pub(crate) readiness: ReadinessEndpoint,
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) freshness: ConfigurationFreshness,
    pub(crate) allowances: Allowances<ConnId>,
    /// Requests that wait for their tenants' quotas, by client.
    pub(crate) quota_waiters: HashMap<ConnId, QuotaWaiter>,
    pub(crate) counters: RejectionCounters,
    pub(crate) backlog_reports: BacklogReports,
    /// The next turn of the loop checks that all waiting clients are in the tables.
    pub(crate) is_check_due: bool,
}

impl Router {
    /// A router that listens already; its settings are read again from `file`.
    ///
    /// # Errors
    /// An address can't be listened on, or the settings lack what it needs.
    pub fn new(settings: &Settings, file: Option<PathBuf>) -> Result<Router, RouterError> {
        let options = Options::from_settings(settings)?;
        let mut net = Net::new(options.capacity.max_descriptors)?;
        net.reserve_for_peers(RESERVED_PEER_CONNECTIONS);
        let mut rng = fastrand::Rng::new();
        let frontend_address = listen(&mut net, SocketOwner::Client, options.frontend)?;
        let readiness_address = options
            .readiness
            .map(|address| listen(&mut net, SocketOwner::Platform, address))
            .transpose()?;
        let identity = RouterIdentity {
            node: options.node.clone(),
            zone: options.zone.clone(),
            process: rng.u64(1..),
        };
        let candidates = ControlCandidates::new(options.machine_address, options.seeds.clone());
        let control_link = ControlLink::new(net.clock.now(), identity, candidates)
            .with_forwarders(settings.forwarders.clone());
        net.wheel.set(
            after(net.clock.now(), SETTINGS_CHECK_INTERVAL),
            Timer::SettingsCheck,
        );
        Ok(Router {
            settings_file: file.map(SettingsFile::new),
            frontend_address,
            readiness_address,
            configuration: CurrentConfiguration::default(),
            services: Services::new(rng.u64(..), options.capacity, options.retry_budget),
            servers: ServerTable::new(&options.zone),
            clients: ClientConnections::new(options.capacity.max_bytes),
            client_events: Vec::new(),
            connections: ServerConnections::default(),
            requests: RequestTable::default(),
            control_link,
            readiness: ReadinessEndpoint::default(),
            shutdown: None,
            freshness: ConfigurationFreshness::new(options.revocation),
            allowances: Allowances::new(options.quota, rng.u64(..)),
            quota_waiters: HashMap::new(),
            counters: RejectionCounters::default(),
            backlog_reports: BacklogReports::default(),
            is_check_due: false,
            rng,
            net,
            options,
        })
    }

    /// Where clients connect, and where the platform checks readiness: the system may have chosen the
    /// ports.
    #[must_use]
    pub fn addresses(&self) -> (SocketAddr, Option<SocketAddr>) {
        (self.frontend_address, self.readiness_address)
    }

    /// Shuts down when this stream can be read.
    ///
    /// # Errors
    /// The system can't watch it.
    pub fn stop_on(&mut self, signal: UnixStream) -> Result<(), RouterError> {
        Ok(self.net.watch_signal(Signal::Stop, signal)?)
    }

    /// Reads the settings again when this stream can be read.
    ///
    /// # Errors
    /// The system can't watch it.
    pub fn reload_on(&mut self, signal: UnixStream) -> Result<(), RouterError> {
        Ok(self.net.watch_signal(Signal::Reload, signal)?)
    }
}

/// Listens on an address; returns the one that was bound.
pub(crate) fn listen(
    net: &mut Net,
    owner: SocketOwner,
    address: SocketAddr,
) -> Result<SocketAddr, RouterError> {
    net.listen(owner, address)
        .map_err(|source| RouterError::Listen { address, source })
}

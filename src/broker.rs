//! The broker: one loop that gathers what is ready, hands it to the decision module in one go, and
//! carries out what came back.

use crate::config::{self, ConfigError};
use crate::discovery::Discovery;
use crate::front::ogc::Ogc;
use crate::front::platform::Platform;
use crate::interface::{Micros, Time};
use crate::management::{self, ManagementHandle};
use crate::net::{self, Net, Owner, Ready, Signal, Timer};
use crate::peer::group::{JoinError, PeerGroup};
use crate::service::Service;
use crate::upstream::frames::Frames;
use crate::upstream::ogc::Features;
use lichenswitch_management::processes::{self, ProcessShares};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use thiserror::Error;

/// How often a descriptor is looked for while clients wait to be accepted.
const ACCEPT_RETRY_INTERVAL: Micros = 50_000;
/// How often a broker that stops checks whether it has finished.
const SHUTDOWN_CHECK_INTERVAL: Micros = 20_000;

/// Why the broker can't serve.
#[derive(Debug, Error)]
pub enum BrokerError {
    /// Neither front is configured.
    #[error(
        "NODE_CONFIG: not set, and deploy/lichenswitch.yaml has no ogc.listen: nothing to serve"
    )]
    NothingToServe,
    /// The system gives no poller.
    #[error("poller: {0}")]
    Poller(io::Error),
    /// The management thread's signals can't be watched.
    #[error("orders: {0}")]
    Orders(io::Error),
    /// An address can't be listened on.
    #[error("listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// The broker: the service of the platform, that of the OGC front, or both, on one loop.
pub struct Broker {
    net: Net,
    platform: Option<Service<Platform, Frames>>,
    discovery: Option<Discovery>,
    ogc: Option<Service<Ogc, Features>>,
    /// Other brokers, where they talk.
    peers: Option<PeerGroup>,
    /// The handle of the management thread, where an address is set for it.
    management: Option<ManagementHandle>,
    /// The listener for the platform's clients, until it is open.
    pending_listener: Option<PendingListener>,
    /// That the address of that listener is in use has been logged.
    is_address_conflict_logged: bool,
    /// What the rule on drains allows (microseconds).
    stop_within: Micros,
    /// This process leaves its clients to another one of the broker.
    is_leaving: bool,
    /// Its shares of what is allowed to the broker.
    shares: ProcessShares,
    /// Reads the platform's configuration again.
    reread: Option<Reread>,
    /// When the signal to stop came; `None`: it has not.
    shutdown_started_at: Option<Time>,
    /// That more data nodes are listed than the descriptors bear has been logged.
    is_node_excess_logged: bool,
}

/// A listener that is to be opened.
struct PendingListener {
    /// The name of the broker, for the log.
    name: String,
    address: SocketAddr,
}

/// Reads the platform's configuration; `None`: there is none any more.
type Reread = Box<dyn FnMut() -> Result<Option<config::Platform>, ConfigError>>;

/// Does the same with each service that there is.
macro_rules! each_service {
    ($broker:expr, |$net:ident, $service:ident| $what:expr) => {{
        let $net = &mut $broker.net;
        if let Some($service) = &mut $broker.platform {
            $what;
        }
        if let Some($service) = &mut $broker.ogc {
            $what;
        }
    }};
}

// Behind the macro, which they use.
mod operators;
mod server_list;
mod startup;
mod stopping;

impl Broker {
    /// A broker that listens already: once this returns, clients are served.
    ///
    /// # Errors
    /// There is nothing to serve, or the system refuses a poller or an address.
    pub fn new(
        platform: Option<config::Platform>,
        ogc: Option<config::Ogc>,
    ) -> Result<Broker, BrokerError> {
        Broker::with_management(platform, ogc, None)
    }

    /// As [`Broker::new`], with a management interface for operators.
    ///
    /// # Errors
    /// There is nothing to serve, or the system refuses a poller or an address.
    pub fn with_management(
        platform: Option<config::Platform>,
        ogc: Option<config::Ogc>,
        mut management: Option<ManagementHandle>,
    ) -> Result<Broker, BrokerError> {
        if platform.is_none() && ogc.is_none() {
            return Err(BrokerError::NothingToServe);
        }
        let sockets = platform
            .as_ref()
            .map_or(config::SOCKETS, |config| config.sockets);
        // Guards discovery's own place: shares of more than the system gives would be taken by
        // whoever comes first.
        let sockets = sockets.min(net::system_limit().unwrap_or(sockets));
        let reserved = management
            .as_ref()
            .map_or(0, |_| management::reserved_descriptors(sockets));
        let mut net = Net::new(sockets - reserved).map_err(BrokerError::Poller)?;
        if let Some(wake_stream) = management
            .as_mut()
            .and_then(ManagementHandle::take_wake_stream)
        {
            net.watch_signal(Signal::Orders, wake_stream)
                .map_err(BrokerError::Orders)?;
        }
        let mut broker = Broker {
            net,
            platform: None,
            discovery: None,
            ogc: None,
            peers: None,
            management,
            pending_listener: None,
            is_address_conflict_logged: false,
            stop_within: 0,
            is_leaving: false,
            shares: processes::SINGLE_PROCESS,
            reread: None,
            shutdown_started_at: None,
            is_node_excess_logged: false,
        };
        platform.map_or(Ok(()), |platform| broker.serve_platform(platform))?;
        ogc.map_or(Ok(()), |ogc| broker.serve_ogc(ogc))?;
        broker.apply_process_shares();
        broker.apply_list_updates(None);
        Ok(broker)
    }

    /// Talks with other brokers from now on.
    ///
    /// # Errors
    /// When the address for them can't be listened on.
    pub fn join(&mut self, config: config::PeersConfig) -> Result<(), JoinError> {
        self.peers = Some(PeerGroup::new(&mut self.net, config)?);
        Ok(())
    }

    /// Where clients connect, by the owner of the listener.
    #[must_use]
    pub fn addresses(&self) -> Vec<(Owner, SocketAddr)> {
        self.net.addresses()
    }

    /// Ends the loop, when its work is done, once this stream can be read.
    ///
    /// # Errors
    /// The stream can't be polled.
    pub fn stop_on(&mut self, signal: UnixStream) -> io::Result<()> {
        self.net.watch_signal(Signal::Stop, signal)
    }

    /// Takes over the configuration that `reread` returns whenever this stream can be read.
    ///
    /// # Errors
    /// The stream can't be polled.
    pub fn reload_on(&mut self, signal: UnixStream, reread: Reread) -> io::Result<()> {
        self.reread = Some(reread);
        self.net.watch_signal(Signal::Reload, signal)
    }

    /// Serves until the signal to stop has come and all that was taken is finished.
    ///
    /// # Errors
    /// The poller fails.
    pub fn run(&mut self) -> io::Result<()> {
        loop {
            let until = self.next_turn();
            let all_ready = self.net.wait(until)?;
            if let Some(peers) = &mut self.peers {
                peers.on_time(&mut self.net);
            }
            for ready in all_ready {
                self.on_ready(ready);
            }
            self.run_due_timers();
            each_service!(self, |net, service| service.run_turn(net));
            self.subscribe();
            self.write_log();
            self.make_room_for_clients();
            self.report_status();
            if self
                .shutdown_started_at
                .is_some_and(|started_at| self.is_finished(started_at))
            {
                return Ok(());
            }
        }
    }

    /// Hands what is ready to its owner.
    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Listener(Owner::InboundPeer) => {
                if let Some(peers) = &mut self.peers {
                    peers.accept(&mut self.net);
                }
            }
            Ready::Conn(id, Owner::InboundPeer | Owner::OutboundPeer) => {
                if let Some(peers) = &mut self.peers {
                    peers.on_ready(&mut self.net, id);
                }
            }
            Ready::Listener(owner) => each_service!(self, |net, service| {
                if service.owner == owner {
                    service.accept(net);
                }
            }),
            Ready::Conn(id, Owner::Discovery) => self.on_discovery_ready(id),
            Ready::Conn(id, owner) => {
                each_service!(self, |net, service| service.on_ready(net, id, owner));
            }
            Ready::Signal(Signal::Stop) => self.on_stop_signal(),
            Ready::Signal(Signal::Reload) => self.on_reload_signal(),
            Ready::Signal(Signal::Orders) => self.on_orders_signal(),
        }
    }

    fn run_due_timers(&mut self) {
        let now = self.net.clock.now();
        for timer in self.net.wheel.due(now) {
            each_service!(self, |net, service| service.on_timer(net, timer));
            if let Timer::Discovery(call) = timer {
                self.on_discovery_timer(call);
            }
        }
    }

    /// Frees descriptors while clients wait to be accepted: what data nodes have borrowed goes first;
    /// where all of that carries calls, idle clients make room.
    fn make_room_for_clients(&mut self) {
        if self.net.is_accept_paused() {
            self.net.resume_accepting();
        }
        if !self.net.is_accept_paused() {
            return;
        }
        let reclaimable = self.net.reclaimable_connections();
        let mut closed = 0;
        each_service!(self, |net, service| closed +=
            service.pool.yield_idle(net, reclaimable - closed));
        if closed == 0 {
            each_service!(self, |net, service| service
                .sessions
                .evict_idle(net, &mut service.core));
        }
    }

    /// When there is something to do though nothing is ready.
    fn next_turn(&self) -> Option<Time> {
        let now = self.net.clock.now();
        let shutdown = self
            .shutdown_started_at
            .map(|_| now.plus(SHUTDOWN_CHECK_INTERVAL));
        // Guards clients that wait to be accepted: connections fall idle without any event that
        // tells so.
        let accept = self
            .net
            .is_accept_paused()
            .then(|| now.plus(ACCEPT_RETRY_INTERVAL));
        let platform = self.platform.as_ref().and_then(|s| s.core.next_turn());
        let ogc = self.ogc.as_ref().and_then(|s| s.core.next_turn());
        let peers = self.peers.as_ref().map(PeerGroup::next);
        let management = self.management.as_ref().map(ManagementHandle::next);
        [shutdown, accept, platform, ogc, peers, management]
            .into_iter()
            .flatten()
            .min()
    }
}

//! The broker: one loop that gathers what is ready, hands it to the decision module in one go, and
//! carries out what came back.

use crate::config::{self, ConfigError};
use crate::contract::Contracts;
use crate::core::Core;
use crate::decide::discovery::call_pacer::CallPacer;
use crate::decide::phases::Planner;
use crate::discovery::{Directory, Discovery, Instance, Lifecycle};
use crate::front::ogc::Ogc;
use crate::front::platform::{Class, Platform};
use crate::front::Sessions;
use crate::interface::{self, Micros, ServerListUpdate, Time};
use crate::log_writer::log;
use crate::management::{self, ManagementHandle};
use crate::net::{self, ConnId, Net, Owner, Ready, Signal, Timer};
use crate::peer::group::{JoinError, PeerGroup};
use crate::service::Service;
use crate::upstream::frames::Frames;
use crate::upstream::ogc::Features;
use crate::upstream::{Limits, Pool};
use lichenswitch_management::processes::{self, ProcessShares};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use thiserror::Error;

/// New connections keep arriving for so long after the signal to stop: the front layer learns of it
/// late.
const LISTEN_ON: Micros = 500_000;
/// The process is killed later after the signal than the longest time of its clients, or than this
/// where that is more.
const KILLED: Micros = 3_000_000;
/// After this long a stop does not wait for clients that read no answer.
const STOP_MOST: Micros = 15_000_000;
/// How often room is looked for while clients wait to be accepted.
const ROOM_LOOK: Micros = 50_000;
/// How often a broker that stops looks whether it has finished.
const STOP_LOOK: Micros = 20_000;

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
    /// The platform's clients are to be listened for, by this name and at this address; that it is
    /// in use has been logged.
    unopened: Option<(String, SocketAddr)>,
    kept_out: bool,
    /// What the rule on drains allows (microseconds).
    stop_within: Micros,
    /// This process leaves its clients to another one of the broker.
    leaving: bool,
    /// Its parts of what is allowed to the broker.
    parts: ProcessShares,
    /// Reads the platform's configuration again.
    reread: Option<Reread>,
    /// When the signal to stop came.
    stopping: Option<Time>,
    /// That more data nodes are listed than the descriptors bear has been logged.
    crowded: bool,
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
        Broker::managed(platform, ogc, None)
    }

    /// As [`Broker::new`], with a management interface for operators.
    ///
    /// # Errors
    /// There is nothing to serve, or the system refuses a poller or an address.
    pub fn managed(
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
        let set_aside = management
            .as_ref()
            .map_or(0, |_| management::reserved_descriptors(sockets));
        let mut net = Net::new(sockets - set_aside).map_err(BrokerError::Poller)?;
        if let Some(woken) = management
            .as_mut()
            .and_then(ManagementHandle::take_wake_stream)
        {
            net.watch_signal(Signal::Orders, woken)
                .map_err(BrokerError::Orders)?;
        }
        let mut broker = Broker {
            net,
            platform: None,
            discovery: None,
            ogc: None,
            peers: None,
            management,
            unopened: None,
            kept_out: false,
            stop_within: 0,
            leaving: false,
            parts: processes::SINGLE_PROCESS,
            reread: None,
            stopping: None,
            crowded: false,
        };
        platform.map_or(Ok(()), |platform| broker.serve_platform(platform))?;
        ogc.map_or(Ok(()), |ogc| broker.serve_ogc(ogc))?;
        broker.share();
        broker.apply_list_updates(None);
        Ok(broker)
    }

    fn serve_platform(&mut self, config: config::Platform) -> Result<(), BrokerError> {
        let classes = config.classes.iter().zip(&config.settings.classes);
        let classes = classes
            .map(|(name, c)| Class {
                name: name.clone(),
                repeat: c.repeat,
                deadline: c.deadline,
            })
            .collect();
        let mut directory = Directory::new(config.zones).with_cells(config.settings.layout.cells);
        // Before any list: nothing is to be sent to data nodes that operators have taken out.
        self.stop_within = config.stop_within;
        let now = self.net.clock.now();
        self.management.iter().for_each(|management| {
            _ = directory.set_overrides(self.overrides(&management.orders(), now))
        });
        let pace = match config.settings.discovery {
            interface::Discovery::Ask(every) => {
                CallPacer::new(config.seed, config.settings.instances, every)
            }
            interface::Discovery::Push => CallPacer::for_agent(config.seed),
        };
        let mut core = Core::new(
            config.seed,
            config.settings,
            Contracts::default(),
            config.memory,
        );
        core.plan_by(Planner::new(config.phases.rules), config.phases.explain);
        let known = config.known.unwrap_or_default();
        let generation = (!known.instances.is_empty()).then_some(known.generation);
        let known = ServerListUpdate::Cached(directory.replace_list(&known.instances));
        let pool = Pool::new(Frames, limits(config.connections));
        self.unopened = Some((config.name, config.listen));
        self.open_listener()?;
        let (front, sessions) = (
            Platform::new(classes, config.tenants),
            Sessions::new(config.memory),
        );
        let mut service = Service::new(Owner::Platform, front, sessions, core, pool, directory);
        service.apply_list_update(known);
        self.platform = Some(service);
        let discovery = Discovery::new(config.discovery, generation, pace);
        self.discovery = Some(discovery.stopping_within(config.stop_within));
        Ok(())
    }

    fn serve_ogc(&mut self, config: config::Ogc) -> Result<(), BrokerError> {
        let mut directory = Directory::new(config.inventory.zones);
        let mut core = Core::new(
            config.seed,
            config.settings,
            Contracts::new(config.contracts),
            config.memory,
        );
        core.plan_by(Planner::new(config.phases.rules), config.phases.explain);
        let line = |node: &crate::inventory::Node| Instance {
            instance_id: node.name.clone(),
            host_port: node.address.to_string(),
            zone: node.zone.clone(),
            cell: Some(node.cell),
            lifecycle: Lifecycle::Serving,
            started_at_ms: 0,
        };
        let instances: Vec<Instance> = config.inventory.nodes.iter().map(line).collect();
        core.listed(ServerListUpdate::Complete(
            directory.replace_list(&instances),
        ));
        let pool = Pool::new(Features::default(), limits(config.connections));
        let front = Ogc::new(config.title, config.collections, config.inventory.slices);
        let address = self.listen(Owner::Ogc, config.listen)?;
        log(&format!("OGC API Features listens on {address}"));
        self.ogc = Some(Service::new(
            Owner::Ogc,
            front,
            Sessions::new(config.memory),
            core,
            pool,
            directory,
        ));
        Ok(())
    }

    /// Listens for the platform's clients, if it does not yet.
    fn open_listener(&mut self) -> Result<(), BrokerError> {
        let Some((name, address)) = self.unopened.take() else {
            return Ok(());
        };
        // Guards what waits to be accepted when the process before this one ends: it waits at the
        // same socket.
        let opened = match self
            .management
            .as_mut()
            .and_then(ManagementHandle::take_listener)
        {
            Some(listener) => self.net.listen_on(Owner::Platform, listener),
            None => self.net.listen(Owner::Platform, address),
        };
        match opened {
            Ok(address) => log(&format!("{name} listens on {address}")),
            // A process that is started beside one which does not share the address is to serve
            // after it.
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && self.management.is_some() => {
                if !std::mem::replace(&mut self.kept_out, true) {
                    log(&format!("{name} waits: {address} is in use"));
                }
                self.unopened = Some((name, address));
            }
            Err(e) => {
                self.unopened = Some((name, address));
                return Err(BrokerError::Listen { address, source: e });
            }
        }
        if let (Some(management), Ok(listener)) =
            (&self.management, self.net.listener_of(Owner::Platform))
        {
            management.offer_listener(listener);
        }
        Ok(())
    }

    fn listen(&mut self, owner: Owner, address: SocketAddr) -> Result<SocketAddr, BrokerError> {
        self.net
            .listen(owner, address)
            .map_err(|source| BrokerError::Listen { address, source })
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
                match ready {
                    Ready::Listener(Owner::InboundPeer) => {
                        self.peers.iter_mut().for_each(|c| c.accept(&mut self.net));
                    }
                    Ready::Conn(id, Owner::InboundPeer | Owner::OutboundPeer) => {
                        self.peers
                            .iter_mut()
                            .for_each(|c| c.on_ready(&mut self.net, id));
                    }
                    Ready::Listener(owner) => each_service!(self, |net, service| {
                        if service.owner == owner {
                            service.accept(net);
                        }
                    }),
                    Ready::Conn(id, Owner::Discovery) => self.discovery_ready(id),
                    Ready::Conn(id, owner) => {
                        each_service!(self, |net, service| service.ready(net, id, owner))
                    }
                    Ready::Signal(Signal::Stop) => self.stop(),
                    Ready::Signal(Signal::Reload) => self.reload(),
                    Ready::Signal(Signal::Orders) => self.heed(),
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                each_service!(self, |net, service| service.timer(net, timer));
                if let Timer::Discovery(call) = timer {
                    self.discovery_due(call);
                }
            }
            each_service!(self, |net, service| service.turn(net));
            self.subscribe();
            if self.net.is_accept_paused() {
                self.net.resume_accepting();
            }
            if self.net.is_accept_paused() {
                // What data nodes have borrowed goes first; where all of that carries calls, idle
                // clients make room.
                let (owed, mut closed) = (self.net.reclaimable_connections(), 0);
                each_service!(self, |net, service| closed +=
                    service.pool.yield_idle(net, owed - closed));
                if closed == 0 {
                    each_service!(self, |net, service| service
                        .sessions
                        .evict_idle(net, &mut service.core));
                }
            }
            self.tell_standing();
            if self.stopping.is_some_and(|since| self.finished(since)) {
                return Ok(());
            }
        }
    }

    /// When there is something to do though nothing is ready.
    fn next_turn(&self) -> Option<Time> {
        let stop = self.stopping.map(|_| self.net.clock.now().plus(STOP_LOOK));
        // Guards clients that wait to be accepted: connections fall idle without any event that
        // tells so.
        let room = self
            .net
            .is_accept_paused()
            .then(|| self.net.clock.now().plus(ROOM_LOOK));
        let platform = self.platform.as_ref().and_then(|s| s.core.next_turn());
        let ogc = self.ogc.as_ref().and_then(|s| s.core.next_turn());
        let peers = self.peers.as_ref().map(PeerGroup::next);
        let management = self.management.as_ref().map(ManagementHandle::next);
        [stop, room, platform, ogc, peers, management]
            .into_iter()
            .flatten()
            .min()
    }

    fn apply_list_updates(&mut self, updates: impl IntoIterator<Item = ServerListUpdate>) {
        if let Some(service) = &mut self.platform {
            updates
                .into_iter()
                .for_each(|update| service.apply_list_update(update));
        }
        if let (Some(management), Some(service)) = (&self.management, &self.platform) {
            management.report_servers(service.directory.names());
        }
        let mut nodes = 0;
        each_service!(self, |_net, service| nodes += service.directory.len());
        self.net.set_listed_nodes(nodes);
        let bears = self.net.node_capacity();
        if nodes > bears && !std::mem::replace(&mut self.crowded, true) {
            log(&format!(
                "{nodes} data nodes are listed, and limits.sockets bears {bears}: connections take turns"
            ));
        }
    }

    fn discovery_due(&mut self, call: u64) {
        if let (Some(discovery), Some(service)) = (&mut self.discovery, &mut self.platform) {
            let updates = discovery.on_timer(&mut self.net, call, &mut service.directory);
            service.leave_gone(&mut self.net);
            self.apply_list_updates(updates);
        }
    }

    fn discovery_ready(&mut self, id: ConnId) {
        if let (Some(discovery), Some(service)) = (&mut self.discovery, &mut self.platform) {
            let updates = discovery.on_ready(&mut self.net, id, &mut service.directory);
            service.leave_gone(&mut self.net);
            self.apply_list_updates(updates);
        }
    }

    fn subscribe(&mut self) {
        let mut asked = self
            .platform
            .as_mut()
            .is_some_and(|s| std::mem::take(&mut s.subscribe));
        // The module asks for nothing where lists are pushed: what the agent of this machine holds
        // is fetched all the same.
        asked |= self
            .discovery
            .as_ref()
            .is_some_and(Discovery::keeps_watching);
        if let (true, Some(discovery)) = (asked, &mut self.discovery) {
            let updates = discovery.subscribe(&mut self.net);
            self.apply_list_updates(updates);
        }
        let lines = self.discovery.iter_mut().flat_map(Discovery::take_log);
        let lines = lines.chain(
            self.platform
                .iter_mut()
                .flat_map(|s| s.directory.take_log()),
        );
        let lines = lines.chain(self.peers.iter_mut().flat_map(PeerGroup::take_log));
        lines.for_each(|line| log(&line));
    }

    /// Reads the configuration again and moves to the address of discovery that it names; all else
    /// in it holds from the next start on.
    fn reload(&mut self) {
        self.net.clear_signal(Signal::Reload);
        // Guards what is served: a faulty file changes nothing.
        let config = match self.reread.as_mut().map_or(Ok(None), |reread| reread()) {
            Ok(Some(config)) => config,
            Ok(None) => return log("reload: NODE_CONFIG: not set, nothing to read again"),
            Err(why) => return log(&format!("reload: {why}; the settings stay as they were")),
        };
        log(&format!("reload: discovery is at {}", config.discovery));
        if let Some(discovery) = &mut self.discovery {
            let updates = discovery.move_to(&mut self.net, config.discovery);
            self.apply_list_updates(updates);
        }
    }
}

fn limits(config: config::Connections) -> Limits {
    Limits {
        max_streams: config.max_streams,
        connect_timeout: config.connect_timeout,
        idle_timeout: config.idle_timeout,
    }
}

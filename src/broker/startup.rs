//! The start of the services: their fronts, cores, data nodes and listeners.

use super::{Broker, BrokerError, PendingListener};
use crate::config;
use crate::contract::Contracts;
use crate::core::Core;
use crate::decide::discovery::call_pacer::CallPacer;
use crate::decide::phases::Planner;
use crate::discovery::{Directory, Discovery, Instance, Lifecycle};
use crate::front::ogc::Ogc;
use crate::front::platform::{Class, Platform};
use crate::front::Sessions;
use crate::interface::{self, ServerListUpdate};
use crate::inventory;
use crate::log_writer::log;
use crate::management::ManagementHandle;
use crate::net::Owner;
use crate::service::Service;
use crate::upstream::frames::Frames;
use crate::upstream::ogc::Features;
use crate::upstream::{Limits, Pool};
use std::io;
use std::net::SocketAddr;

impl Broker {
    /// Serves the platform's clients, and watches discovery's list.
    pub(super) fn serve_platform(&mut self, config: config::Platform) -> Result<(), BrokerError> {
        let classes = front_classes(&config);
        let pacer = call_pacer(&config);
        let mut directory = Directory::new(config.zones).with_cells(config.settings.layout.cells);
        // Before any list: nothing is to be sent to data nodes that operators have taken out.
        self.stop_within = config.stop_within;
        let now = self.net.clock.now();
        if let Some(management) = &self.management {
            _ = directory.set_overrides(self.overrides(&management.orders(), now));
        }
        let mut core = Core::new(
            config.seed,
            config.settings,
            Contracts::default(),
            config.memory,
        );
        core.set_planner(Planner::new(config.phases.rules), config.phases.explain);
        let known = config.known.unwrap_or_default();
        let generation = (!known.instances.is_empty()).then_some(known.generation);
        let known = ServerListUpdate::Cached(directory.replace_list(&known.instances));
        let pool = Pool::new(Frames, limits(config.connections));
        self.pending_listener = Some(PendingListener {
            name: config.name,
            address: config.listen,
        });
        self.open_listener()?;
        let front = Platform::new(classes, config.tenants);
        let sessions = Sessions::new(config.memory);
        let mut service = Service::new(Owner::Platform, front, sessions, core, pool, directory);
        service.apply_list_update(known);
        self.platform = Some(service);
        let discovery = Discovery::new(config.discovery, generation, pacer);
        self.discovery = Some(discovery.stopping_within(config.stop_within));
        Ok(())
    }

    /// Serves the clients of the OGC front, from the data nodes of its inventory.
    pub(super) fn serve_ogc(&mut self, config: config::Ogc) -> Result<(), BrokerError> {
        let mut directory = Directory::new(config.inventory.zones);
        let mut core = Core::new(
            config.seed,
            config.settings,
            Contracts::new(config.contracts),
            config.memory,
        );
        core.set_planner(Planner::new(config.phases.rules), config.phases.explain);
        let instances: Vec<Instance> = config.inventory.nodes.iter().map(instance).collect();
        core.on_server_list(ServerListUpdate::Complete(
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
    pub(super) fn open_listener(&mut self) -> Result<(), BrokerError> {
        let Some(PendingListener { name, address }) = self.pending_listener.take() else {
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
                if !std::mem::replace(&mut self.is_address_conflict_logged, true) {
                    log(&format!("{name} waits: {address} is in use"));
                }
                self.pending_listener = Some(PendingListener { name, address });
            }
            Err(e) => {
                self.pending_listener = Some(PendingListener { name, address });
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
}

/// Limits on connections to data nodes.
fn limits(config: config::Connections) -> Limits {
    Limits {
        max_streams: config.max_streams,
        connect_timeout: config.connect_timeout,
        idle_timeout: config.idle_timeout,
    }
}

/// The platform's classes as its clients know them.
fn front_classes(config: &config::Platform) -> Vec<Class> {
    let classes = config.classes.iter().zip(&config.settings.classes);
    classes
        .map(|(name, class)| Class {
            name: name.clone(),
            repeat: class.retry_safety,
            deadline: class.deadline,
        })
        .collect()
}

/// When discovery may be called.
fn call_pacer(config: &config::Platform) -> CallPacer {
    match config.settings.discovery {
        interface::Discovery::Ask(every) => {
            CallPacer::new(config.seed, config.settings.instances, every)
        }
        interface::Discovery::Push => CallPacer::for_agent(config.seed),
    }
}

/// A data node of the inventory as discovery would list it.
fn instance(node: &inventory::Node) -> Instance {
    Instance {
        instance_id: node.name.clone(),
        host_port: node.address.to_string(),
        zone: node.zone.clone(),
        cell: Some(node.cell),
        lifecycle: Lifecycle::Serving,
        started_at_ms: 0,
    }
}

//! The list of data nodes: discovery's calls, and what their updates change.

use super::Broker;
use crate::discovery::{Directory, Discovery};
use crate::interface::ServerListUpdate;
use crate::log_writer::log;
use crate::net::{ConnId, Signal};
use crate::peer::group::PeerGroup;
use crate::service::Service;

impl Broker {
    /// Hands updates of the list to the platform's service, and its size to all that depend on it.
    pub(super) fn apply_list_updates(
        &mut self,
        updates: impl IntoIterator<Item = ServerListUpdate>,
    ) {
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
        let capacity = self.net.node_capacity();
        if nodes > capacity && !std::mem::replace(&mut self.is_node_excess_logged, true) {
            log(&format!(
                "{nodes} data nodes are listed, and limits.sockets bears {capacity}: connections take turns"
            ));
        }
    }

    pub(super) fn on_discovery_timer(&mut self, call: u64) {
        if let (Some(discovery), Some(service)) = (&mut self.discovery, &mut self.platform) {
            let updates = discovery.on_timer(&mut self.net, call, &mut service.directory);
            service.disconnect_gone(&mut self.net);
            self.apply_list_updates(updates);
        }
    }

    pub(super) fn on_discovery_ready(&mut self, id: ConnId) {
        if let (Some(discovery), Some(service)) = (&mut self.discovery, &mut self.platform) {
            let updates = discovery.on_ready(&mut self.net, id, &mut service.directory);
            service.disconnect_gone(&mut self.net);
            self.apply_list_updates(updates);
        }
    }

    /// Asks discovery for changes, where the module wants them or a watch is to be kept up.
    pub(super) fn subscribe(&mut self) {
        let mut is_requested = self
            .platform
            .as_mut()
            .is_some_and(Service::take_subscribe_request);
        // The module asks for nothing where lists are pushed: what the agent of this machine holds
        // is fetched all the same.
        is_requested |= self
            .discovery
            .as_ref()
            .is_some_and(Discovery::keeps_watching);
        if let (true, Some(discovery)) = (is_requested, &mut self.discovery) {
            let updates = discovery.subscribe(&mut self.net);
            self.apply_list_updates(updates);
        }
    }

    /// Logs what discovery, the directory and the peers have to say.
    pub(super) fn write_log(&mut self) {
        let directory = self.platform.iter_mut().map(|s| &mut s.directory);
        let lines = self
            .discovery
            .iter_mut()
            .flat_map(Discovery::take_log)
            .chain(directory.flat_map(Directory::take_log))
            .chain(self.peers.iter_mut().flat_map(PeerGroup::take_log));
        lines.for_each(|line| log(&line));
    }

    /// Reads the configuration again and moves to the address of discovery that it names; all else
    /// in it holds from the next start on.
    pub(super) fn on_reload_signal(&mut self) {
        self.net.clear_signal(Signal::Reload);
        // Guards what is served: a faulty file changes nothing.
        let config = match self.reread.as_mut().map_or(Ok(None), |reread| reread()) {
            Ok(Some(config)) => config,
            Ok(None) => return log("reload: NODE_CONFIG: not set, nothing to read again"),
            Err(error) => return log(&format!("reload: {error}; the settings stay as they were")),
        };
        log(&format!("reload: discovery is at {}", config.discovery));
        if let Some(discovery) = &mut self.discovery {
            let updates = discovery.move_to(&mut self.net, config.discovery);
            self.apply_list_updates(updates);
        }
    }
}

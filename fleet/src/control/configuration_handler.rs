//! Applies committed configurations, and sends them to routers and relays.

use super::call_types::PrimaryLocation;
use super::node::ControlNode;
use super::router_table::RouterMessage;
use lichenswitch_control::{configuration_position, CommittedConfiguration};
use lichenswitch_interface::Time;
use lichenswitch_messages::{ConfigurationPosition, Envelope, PeerMessage};
use log::warn;

impl ControlNode {
    /// Applies a newly committed configuration, and pushes it to routers and relays.
    pub(super) fn apply_committed_configuration(&mut self, now: Time) {
        let Some(newest) = self.newest_committed() else {
            return;
        };
        log::info!(target: "control", version = newest.version; "configuration committed");
        let messages = self.routers.push_configuration(&newest);
        self.committed = Some(newest);
        self.update_bucket_tenants();
        self.send_to_routers(messages);
        self.send_configuration_to_relays(now);
    }

    /// Returns the newest committed configuration, if it is newer than the one applied last.
    fn newest_committed(&self) -> Option<CommittedConfiguration> {
        let applied = self
            .committed
            .as_ref()
            .map_or(0, |committed| committed.version);
        if let Some((position, state)) = self
            .group
            .as_ref()
            .and_then(|group| group.replica.committed())
        {
            if let Some(document) = state
                .0
                .document()
                .filter(|document| document.version() > applied)
            {
                let position = configuration_position(position);
                return Some(CommittedConfiguration::of_document(position, document));
            }
        }
        self.primary_tracker
            .committed()
            .filter(|received| received.version > applied)
            .cloned()
    }

    /// Applies the tenants of the committed configuration to the quota buckets.
    pub(super) fn update_bucket_tenants(&mut self) {
        let now = self.net.clock.now();
        if let Some(committed) = &self.committed {
            self.quotas.buckets.set_tenants(now, &committed.tenants);
        }
    }

    /// Sends each message to the router that it is addressed to.
    pub(super) fn send_to_routers(&mut self, messages: Vec<RouterMessage>) {
        for (id, message) in messages {
            self.connections
                .send(&mut self.net, id, &Envelope::ToRouter(message));
        }
    }

    /// Sends the committed configuration to relays that lack it, if this machine is the primary.
    pub(super) fn send_configuration_to_relays(&mut self, now: Time) {
        let Some(committed) = self
            .committed
            .clone()
            .filter(|_| self.primary(now) == PrimaryLocation::Local)
        else {
            return;
        };
        for (address, id) in self.relays() {
            if self.last_notified.relays.get(&address) != Some(&(id, committed.version)) {
                self.last_notified
                    .relays
                    .insert(address, (id, committed.version));
                let (position, document) = (committed.position, committed.document.to_vec());
                let message = Envelope::Peer(PeerMessage::Configuration { position, document });
                self.connections.send(&mut self.net, id, &message);
            }
        }
    }

    /// Handles a committed configuration from the primary. A configuration that can't be parsed is
    /// ignored, since routers could not use it either.
    pub(super) fn on_configuration(&mut self, position: ConfigurationPosition, document: Vec<u8>) {
        match CommittedConfiguration::from_json(position, document) {
            Ok(committed) => self.primary_tracker.on_configuration(committed),
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "configuration from the primary can't be read")
            }
        }
    }
}

//! Updates from control: they are applied, and acknowledged.

use crate::router::configuration::ActiveConfiguration;
use crate::router::control_link::ControlUpdate;
use crate::router::state::Router;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, TenantMessage};

impl Router {
    /// Checks the link to control: it may be due to be opened, given up or to apply what waited.
    pub(super) fn check_control_link(&mut self) {
        let updates = self.control_link.check(&mut self.net);
        self.apply_control_updates(updates);
    }

    /// Applies updates from control, and acknowledges them.
    pub(super) fn apply_control_updates(&mut self, updates: Vec<ControlUpdate>) {
        for update in updates {
            match update {
                ControlUpdate::Configuration(position, document) => {
                    match ActiveConfiguration::parse(position, &document) {
                        Ok(configuration) => self.activate_configuration(configuration),
                        Err(e) => {
                            log::error!(position:? = position; "configuration can't be read: {e}")
                        }
                    }
                }
                ControlUpdate::Servers(records) => self.apply_server_records(&records),
                ControlUpdate::Routers(count) => self.services.set_router_count(count),
                ControlUpdate::Tenant(message) => self.on_tenant_message(&message),
                ControlUpdate::Backlog(report) => self.services.set_backlogs(&report),
            }
        }
        self.control_link.acknowledge(&mut self.net);
    }

    /// A message about tenants: a confirmation of the configuration, or quota leases.
    pub(super) fn on_tenant_message(&mut self, message: &TenantMessage) {
        match message {
            TenantMessage::Confirmed {
                sent_at_us,
                position,
            } => {
                // A position that could not be applied confirms nothing.
                if position.is_none_or(|position| self.control_link.has_applied(position)) {
                    self.freshness
                        .on_confirmed(self.net.clock.now(), Time(*sent_at_us));
                }
            }
            TenantMessage::LeaseResponse(response) => self.on_lease_response(response),
            // Only control machines receive these.
            TenantMessage::Confirm { .. } | TenantMessage::LeaseRequest(_) => {}
        }
    }

    /// Merges records of servers into the table, and passes changes on to connections and services.
    pub(super) fn apply_server_records(&mut self, records: &[ServerRecord]) {
        let changes = self.servers.merge(records);
        for change in changes.iter().filter(|change| change.accepts_no_requests()) {
            self.connections
                .stop_sending_to(&mut self.net, change.entry.server);
        }
        self.services.apply_server_changes(&changes);
        self.net.set_listed_nodes(self.servers.live_count());
    }

    /// Activates a configuration, if it is newer than the active one.
    pub(super) fn activate_configuration(&mut self, configuration: ActiveConfiguration) {
        let (position, version) = (configuration.position, configuration.document().version());
        if !self.configuration.apply(configuration) {
            return;
        }
        self.control_link.on_applied(position);
        if let Some(active) = self.configuration.get() {
            self.clients.set_limits(active.limits());
            self.services.apply(active, &self.servers);
        }
        log::info!(version = version; "configuration in force");
    }
}

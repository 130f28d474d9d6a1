//! Updates from control: they are applied, and acknowledged.

use crate::router::configuration::ActiveConfiguration;
use crate::router::control_link::ControlUpdate;
use crate::router::state::Router;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, TenantMessage};

impl Router {
    pub(super) fn check_control_link(&mut self) {
        let updates = self.control_link.check(&mut self.net);
        self.apply_control_updates(updates);
    }

    /// Applies what control has said, and acknowledges it.
    pub(super) fn apply_control_updates(&mut self, updates: Vec<ControlUpdate>) {
        for updates in updates {
            match updates {
                ControlUpdate::Configuration(position, document) => {
                    match ActiveConfiguration::parse(position, &document) {
                        Ok(new) => self.activate_configuration(new),
                        Err(e) => {
                            log::error!(position:? = position; "configuration can't be read: {e}")
                        }
                    }
                }
                ControlUpdate::Servers(records) => self.apply_server_records(&records),
                ControlUpdate::Routers(count) => self.services.set_router_count(count),
                ControlUpdate::Tenant(message) => self.on_tenant_message(message),
                ControlUpdate::Backlog(report) => self.services.set_backlogs(&report),
            }
        }
        self.control_link.acknowledge(&mut self.net);
    }

    pub(super) fn on_tenant_message(&mut self, message: TenantMessage) {
        match message {
            TenantMessage::Confirmed {
                sent_at_us,
                position,
            } => {
                // What can't be applied here leaves this router behind.
                if position.is_none_or(|position| self.control_link.has_applied(position)) {
                    self.freshness
                        .on_confirmed(self.net.clock.now(), Time(sent_at_us));
                }
            }
            TenantMessage::LeaseResponse(answer) => self.on_lease_response(answer),
            // Only control machines are asked.
            TenantMessage::Confirm { .. } | TenantMessage::LeaseRequest(_) => {}
        }
    }

    pub(super) fn apply_server_records(&mut self, records: &[ServerRecord]) {
        let changes = self.servers.merge(records);
        for change in changes.iter().filter(|change| change.accepts_no_requests()) {
            self.connections
                .stop_sending_to(&mut self.net, change.entry.server);
        }
        self.services.apply_server_changes(&changes);
        self.net.set_listed_nodes(self.servers.live_count());
    }

    pub(super) fn activate_configuration(&mut self, new: ActiveConfiguration) {
        let (position, version) = (new.position, new.document().version());
        if !self.configuration.apply(new) {
            return;
        }
        self.control_link.on_applied(position);
        if let Some(in_force) = self.configuration.get() {
            self.clients.set_limits(in_force.limits());
            self.services.apply(in_force, &self.servers);
        }
        log::info!(version = version; "configuration in force");
    }
}

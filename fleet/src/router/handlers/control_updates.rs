//! Updates from control: they are applied, and acknowledged.

use crate::router::configuration::ActiveConfiguration;
use crate::router::control_link::ControlUpdate;
use crate::router::state::Router;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, TenantMessage};

impl Router {
    pub(super) fn look_at_control(&mut self) {
        let news = self.link.look(&mut self.net);
        self.take_news(news);
    }

    /// Applies what control has said, and acknowledges it.
    pub(super) fn take_news(&mut self, news: Vec<ControlUpdate>) {
        for news in news {
            match news {
                ControlUpdate::Configuration(position, document) => {
                    match ActiveConfiguration::parse(position, &document) {
                        Ok(new) => self.apply(new),
                        Err(e) => {
                            log::error!(position:? = position; "configuration can't be read: {e}")
                        }
                    }
                }
                ControlUpdate::Servers(records) => self.take_servers(&records),
                ControlUpdate::Routers(count) => self.services.set_routers(count),
                ControlUpdate::Tenant(message) => self.take_tenant_message(message),
                ControlUpdate::Backlog(report) => self.services.set_backlogs(&report),
            }
        }
        self.link.acknowledge(&mut self.net);
    }

    pub(super) fn take_tenant_message(&mut self, message: TenantMessage) {
        match message {
            TenantMessage::Confirmed {
                sent_at_us,
                position,
            } => {
                // What can't be applied here leaves this router behind.
                if position.is_none_or(|position| self.link.has_applied(position)) {
                    self.freshness
                        .on_confirmed(self.net.clock.now(), Time(sent_at_us));
                }
            }
            TenantMessage::LeaseResponse(answer) => self.on_drawn(answer),
            // Only control machines are asked.
            TenantMessage::Confirm { .. } | TenantMessage::LeaseRequest(_) => {}
        }
    }

    pub(super) fn take_servers(&mut self, records: &[ServerRecord]) {
        let changes = self.servers.merge(records);
        for change in changes.iter().filter(|change| change.takes_nothing()) {
            self.connections
                .hold_back(&mut self.net, change.line.server);
        }
        self.services.listed(&changes);
        self.net.set_listed_nodes(self.servers.count());
    }

    pub(super) fn apply(&mut self, new: ActiveConfiguration) {
        let (position, version) = (new.position, new.document().version());
        if !self.configuration.apply(new) {
            return;
        }
        self.link.on_applied(position);
        if let Some(in_force) = self.configuration.get() {
            self.clients.set_limits(in_force.limits());
            self.services.apply(in_force, &self.servers);
        }
        log::info!(version = version; "configuration in force");
    }
}

//! All services that the active configuration names, or that still have requests.

use super::configuration::ActiveConfiguration;
use super::ids::{RequestId, ServiceId};
use super::options::{Capacity, RetryBudget};
use super::servers::{ServerChange, ServerTable};
use super::service::Service;
use lichenswitch_core::Command;
use lichenswitch_interface::{ListedServer, ServerId, Time};
use lichenswitch_messages::{BacklogReport, ServerBacklog};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A command of the core of a service.
pub(crate) struct ServiceCommand {
    pub service: ServiceId,
    pub command: Command<RequestId>,
}

/// The services.
pub(crate) struct Services {
    services: BTreeMap<ServiceId, Service>,
    next_id: u32,
    seed: u64,
    capacity: Capacity,
    budget: RetryBudget,
    /// Routers that are members; 0 while that is unknown.
    router_count: u32,
}

impl Services {
    /// No services yet.
    #[must_use]
    pub(crate) fn new(seed: u64, capacity: Capacity, budget: RetryBudget) -> Services {
        Services {
            services: BTreeMap::new(),
            next_id: 0,
            seed,
            capacity,
            budget,
            router_count: 0,
        }
    }

    /// Applies a configuration. Services that it does not name stay until their requests have ended.
    pub(crate) fn apply(&mut self, active: &ActiveConfiguration, servers: &ServerTable) {
        for description in active.document().services() {
            let id = self
                .id_of(&description.name)
                .unwrap_or_else(|| self.add(&description.name, servers));
            if let Some(service) = self.services.get_mut(&id) {
                service.set_routes(active.terms_of(&description.name));
                service.set_capacity(
                    description.max_connections,
                    description.capacity_slots,
                    self.router_count,
                );
            }
        }
        let is_named = |service: &Service| active.document().service(&service.name).is_some();
        for service in self
            .services
            .values_mut()
            .filter(|service| !is_named(service))
        {
            service.set_routes(Vec::new());
        }
        self.services
            .retain(|_, service| is_named(service) || !service.is_idle());
    }

    /// Passes changes of servers on to their services.
    pub(crate) fn apply_server_changes(&mut self, changes: &[ServerChange]) {
        for service in self.services.values_mut() {
            let of_service = changes
                .iter()
                .filter(|change| change.service == service.name);
            let entries: Vec<ListedServer> = of_service.map(|change| change.entry).collect();
            // Each update makes the core recompute its list.
            if !entries.is_empty() {
                service.update_servers(entries);
            }
        }
    }

    /// Sets the number of routers that are members.
    pub(crate) fn set_router_count(&mut self, routers: u32) {
        if std::mem::replace(&mut self.router_count, routers) != routers {
            let budget = self.budget;
            self.services
                .values_mut()
                .for_each(|service| service.set_router_count(budget, routers));
        }
    }

    /// Sets the retry budget of the whole system.
    pub(crate) fn set_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
        let routers = self.router_count;
        self.services
            .values_mut()
            .for_each(|service| service.set_router_count(budget, routers));
    }

    /// The id of the service of this name.
    #[must_use]
    pub(crate) fn id_of(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .find(|(_, service)| &*service.name == name)
            .map(|(id, _)| *id)
    }

    /// A service.
    pub(crate) fn get_mut(&mut self, id: ServiceId) -> Option<&mut Service> {
        self.services.get_mut(&id)
    }

    /// Sets the backlogs of all routers at servers.
    pub(crate) fn set_backlogs(&mut self, report: &BacklogReport) {
        for service in self.services.values_mut() {
            if report.is_complete {
                service.forget_backlogs();
            }
            for ServerBacklog { server, tokens } in &report.servers {
                service.set_backlog(ServerId(*server), *tokens);
            }
        }
    }

    /// Forgets the backlogs of other routers.
    pub(crate) fn forget_backlogs(&mut self) {
        self.services
            .values_mut()
            .for_each(Service::forget_backlogs);
    }

    /// When the next decision turn of any service is due.
    #[must_use]
    pub(crate) fn next_turn(&self) -> Option<Time> {
        self.services.values().filter_map(Service::next_turn).min()
    }

    /// Runs the decision turns that are due; returns the core's commands.
    pub(crate) fn run_turns(&mut self, now: Time) -> Vec<ServiceCommand> {
        let mut commands = Vec::new();
        for (id, service) in &mut self.services {
            commands.extend(
                service
                    .run_turn(now)
                    .into_iter()
                    .map(|command| ServiceCommand {
                        service: *id,
                        command,
                    }),
            );
        }
        commands
    }

    fn add(&mut self, name: &str, servers: &ServerTable) -> ServiceId {
        let id = ServiceId(self.next_id);
        self.next_id += 1;
        let seed = self.seed.wrapping_add(u64::from(id.0));
        let mut service = Service::new(
            Rc::from(name),
            seed,
            self.capacity,
            self.budget,
            servers.entries_of(name),
        );
        service.set_router_count(self.budget, self.router_count);
        self.services.insert(id, service);
        id
    }
}

//! All services that the configuration in force names, or that still hold requests.

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

/// The services.
pub(crate) struct Services {
    services: BTreeMap<ServiceId, Service>,
    next_id: u32,
    seed: u64,
    capacity: Capacity,
    budget: RetryBudget,
    /// Routers that are members; 0 while that is not known.
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

    /// A configuration comes in force. Services that it does not name stay until what they hold has
    /// ended.
    pub(crate) fn apply(&mut self, active: &ActiveConfiguration, servers: &ServerTable) {
        for described in active.document().services() {
            let id = self
                .id_of(&described.name)
                .unwrap_or_else(|| self.add(&described.name, servers));
            if let Some(service) = self.services.get_mut(&id) {
                service.set_routes(active.terms_of(&described.name));
                service.set_capacity(
                    described.max_connections,
                    described.capacity_slots,
                    self.router_count,
                );
            }
        }
        let named = |service: &Service| active.document().service(&service.name).is_some();
        for service in self.services.values_mut().filter(|service| !named(service)) {
            service.set_routes(Vec::new());
        }
        self.services
            .retain(|_, service| named(service) || !service.is_idle());
    }

    /// Lines of services' lists have changed.
    pub(crate) fn apply_server_changes(&mut self, changes: &[ServerChange]) {
        for service in self.services.values_mut() {
            let of = changes
                .iter()
                .filter(|change| change.service == service.name);
            let lines: Vec<ListedServer> = of.map(|change| change.entry).collect();
            // The module sums its list up anew each time that it is told of it.
            if !lines.is_empty() {
                service.update_servers(lines);
            }
        }
    }

    /// So many routers are members.
    pub(crate) fn set_router_count(&mut self, routers: u32) {
        if std::mem::replace(&mut self.router_count, routers) != routers {
            let budget = self.budget;
            self.services
                .values_mut()
                .for_each(|service| service.set_router_count(budget, routers));
        }
    }

    /// The further-try budget of the whole system.
    pub(crate) fn set_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
        let routers = self.router_count;
        self.services
            .values_mut()
            .for_each(|service| service.set_router_count(budget, routers));
    }

    /// The service of this name.
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

    /// So much waits at servers for all routers together.
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

    /// Nothing is known any more of what waits for other routers.
    pub(crate) fn forget_backlogs(&mut self) {
        self.services
            .values_mut()
            .for_each(Service::forget_backlogs);
    }

    /// When the next turn of any service is to be taken.
    #[must_use]
    pub(crate) fn next_turn(&self) -> Option<Time> {
        self.services.values().filter_map(Service::next_turn).min()
    }

    /// Takes the turns that are due; tells what is to be done.
    pub(crate) fn run_turns(&mut self, now: Time) -> Vec<(ServiceId, Command<RequestId>)> {
        let mut commands = Vec::new();
        for (id, service) in &mut self.services {
            commands.extend(
                service
                    .run_turn(now)
                    .into_iter()
                    .map(|command| (*id, command)),
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

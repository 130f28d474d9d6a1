//! One service: its core with the decision module, and what they are told of routes, servers, loads
//! and budgets.
//!
//! It promises that a request keeps the class that it was submitted with, whatever configuration
//! becomes active meanwhile, and that the core has the latest list of servers.

use super::budget::{decision_budget, ResumeBudget};
use super::configuration::RouteTerms;
use super::ids::RequestId;
use super::options::{Capacity, RetryBudget};
use super::prompt::Prompt;
use super::request_classes::{RequestClasses, MAX_ATTEMPTS};
use super::server_response::ServerLoad;
use super::server_share::ServerShare;
use super::servers::SERVER_GROUPS;
use lichenswitch_backlog::Backlog;
use lichenswitch_core::{Command, Contracts, Core, Refusal, Request, Value};
use lichenswitch_interface::{
    Layout, Limits, ListedServer, Load, Micros, Outcome, Placement, QueryId, ServerId,
    ServerListUpdate, ServerMode, Settings, Shard, Time,
};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Longest `Retry-After` for rejected clients (microseconds): they heed up to a third of their remaining
/// time, and a retry that is served within its latency target still has value.
const MAX_RETRY_AFTER_US: Micros = 300_000;
/// Smallest step in which backlogs of servers are compared (tokens): the reports are a tenth of a second
/// old.
const MIN_BACKLOG_STEP_TOKENS: f64 = 3_072.0;
/// The same for each shared token of a prompt: prefilling it again has to be worth the wait (tokens).
const BACKLOG_PER_SHARED_TOKEN: f64 = 20.0;

/// A service.
pub(crate) struct Service {
    /// Its name.
    pub name: Rc<str>,
    core: Core<RequestId>,
    classes: RequestClasses,
    queries: HashMap<QueryId, RequestId>,
    /// The load of each server beside this router's pending attempts.
    loads: HashMap<ServerId, ServerPressure>,
    /// Sum of all backlogs (tokens).
    total_backlog: u64,
    /// Servers that accept requests.
    ready_servers: BTreeSet<ServerId>,
    resume_budget: ResumeBudget,
    share: ServerShare,
}

/// The load of a server beside this router's pending attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ServerPressure {
    /// Streams of this router that are being forwarded from it.
    streams: u32,
    /// Backlog of all routers there, as control reports it (tokens).
    backlog: Backlog,
}

/// A request as it is submitted to a service.
#[derive(Debug)]
pub(crate) struct RouteRequest<'a> {
    /// Its id.
    pub request_id: RequestId,
    /// The terms of its route.
    pub terms: &'a RouteTerms,
    /// What its headers declare of its prompt.
    pub prompt: Prompt,
    /// Its deadline.
    pub deadline: Time,
}

/// A request that the core has accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SubmittedQuery {
    /// Its query.
    pub query: QueryId,
    /// Its class, to be released with [`Service::release`].
    pub class_index: usize,
}

impl Service {
    /// A service with these servers.
    #[must_use]
    pub(crate) fn new(
        name: Rc<str>,
        seed: u64,
        capacity: Capacity,
        budget: RetryBudget,
        servers: Vec<ListedServer>,
    ) -> Service {
        let settings = core_settings(capacity, decision_budget(budget, 0));
        let ready_servers = servers
            .iter()
            .filter(|server| server.mode == ServerMode::Ready)
            .map(|server| server.server)
            .collect();
        let mut core = Core::new(seed, settings, Contracts::default(), capacity.max_bytes);
        core.on_server_list(ServerListUpdate::Complete(servers));
        Service {
            name,
            core,
            classes: RequestClasses::default(),
            queries: HashMap::new(),
            loads: HashMap::new(),
            total_backlog: 0,
            ready_servers,
            resume_budget: ResumeBudget::new(budget),
            share: ServerShare::default(),
        }
    }

    /// Sets the terms of the active configuration's routes that may send to it.
    pub(crate) fn set_routes(&mut self, routes: Vec<RouteTerms>) {
        self.classes.set_active(routes);
        self.push_classes();
    }

    /// Sets the number of routers, which share the budget and the connections.
    pub(crate) fn set_router_count(&mut self, budget: RetryBudget, routers: u32) {
        self.core.set_budget(Some(decision_budget(budget, routers)));
        self.resume_budget.update(budget, routers);
        self.share.set_router_count(routers);
    }

    /// Sets how many connections and requests each of its servers accepts from all callers together,
    /// where that is configured.
    pub(crate) fn set_capacity(
        &mut self,
        connections: Option<u32>,
        slots: Option<u32>,
        routers: u32,
    ) {
        self.share.configure(connections, slots, routers);
    }

    /// How many connections this router may have to each server.
    #[must_use]
    pub(crate) fn max_connections(&self) -> usize {
        self.share.max_connections()
    }

    /// Applies changes of its list of servers.
    pub(crate) fn update_servers(&mut self, servers: Vec<ListedServer>) {
        for server in &servers {
            match server.mode {
                ServerMode::Ready => _ = self.ready_servers.insert(server.server),
                ServerMode::Leaving | ServerMode::Draining | ServerMode::Gone => {
                    _ = self.ready_servers.remove(&server.server)
                }
            }
        }
        self.core.on_server_list(ServerListUpdate::Changes(servers));
    }

    /// Submits a request to the core; its class is to be released with [`Service::release`].
    ///
    /// # Errors
    /// Why the core rejects it.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        route_request: &RouteRequest<'_>,
    ) -> Result<SubmittedQuery, Refusal> {
        let (index, is_new) = self.classes.index_of(route_request.terms);
        if is_new {
            self.push_classes();
        }
        let placement = self.placement(route_request.prompt);
        let request = Request {
            class: index,
            deadline: route_request.deadline,
            key: 0,
            placement,
            is_retry: false,
            tenant: u32::MAX,
            team: None,
            parts: vec![(Shard(0), 1.0)],
            top: None,
            job: route_request.request_id,
        };
        let query = self.core.submit(now, request)?;
        self.classes.acquire(index);
        self.queries.insert(query, route_request.request_id);
        self.resume_budget.on_request(now);
        Ok(SubmittedQuery {
            query,
            class_index: index,
        })
    }

    /// Submits a stream that is to be resumed, if the budget allows it.
    pub(crate) fn submit_resumed(
        &mut self,
        now: Time,
        route_request: &RouteRequest<'_>,
    ) -> Option<SubmittedQuery> {
        match self.resume_budget.try_take(now) {
            true => self.submit(now, route_request).ok(),
            false => None,
        }
    }

    /// A request of this class has ended.
    pub(crate) fn release(&mut self, class_index: usize) {
        self.classes.release(class_index);
    }

    /// The request of a query that the core replies to, and ends with it.
    pub(crate) fn take_request_id(&mut self, query: QueryId) -> Option<RequestId> {
        self.queries.remove(&query)
    }

    /// Cancels a query: its request has ended.
    pub(crate) fn cancel(&mut self, query: QueryId) {
        self.queries.remove(&query);
        self.core.hangup(query);
    }

    /// An attempt has ended. Only its first end counts.
    pub(crate) fn on_attempt_ended(&mut self, now: Time, number: u64, outcome: Outcome) {
        let value = (outcome == Outcome::Ok).then(Value::default);
        self.core.on_attempt_ended(now, number, outcome, value);
    }

    /// A server has reported its load.
    pub(crate) fn on_server_load(&mut self, load: Option<ServerLoad>) {
        if let Some(load) = load {
            self.share.on_server_load(load);
        }
    }

    /// A stream is forwarded from a server. For the core its request was served by the first event.
    pub(crate) fn on_stream_started(&mut self, server: ServerId) {
        self.loads.entry(server).or_default().streams += 1;
        self.push_load(server);
    }

    /// A forwarded stream has ended.
    pub(crate) fn on_stream_ended(&mut self, server: ServerId) {
        let Some(loads) = self.loads.get_mut(&server) else {
            return;
        };
        loads.streams = loads.streams.saturating_sub(1);
        self.push_load(server);
    }

    /// Sets the backlog of all routers at a server (tokens).
    pub(crate) fn set_backlog(&mut self, server: ServerId, tokens: Backlog) {
        let loads = self.loads.entry(server).or_default();
        let before = std::mem::replace(&mut loads.backlog, tokens);
        self.total_backlog =
            self.total_backlog.saturating_sub(u64::from(before)) + u64::from(tokens);
        self.push_load(server);
    }

    /// Forgets the backlogs of other routers.
    pub(crate) fn forget_backlogs(&mut self) {
        let known: Vec<ServerId> = self
            .loads
            .iter()
            .filter(|(_, loads)| loads.backlog > 0)
            .map(|(server, _)| *server)
            .collect();
        known
            .into_iter()
            .for_each(|server| self.set_backlog(server, 0));
    }

    /// Passes the load of a server on to the core, and forgets it where it is 0.
    fn push_load(&mut self, server: ServerId) {
        let loads = self.loads.get(&server).copied().unwrap_or_default();
        if loads == ServerPressure::default() {
            self.loads.remove(&server);
        }
        let streams = loads.streams / self.share.streams_per_request();
        self.core.set_load(
            server,
            Load {
                streams,
                backlog: loads.backlog,
            },
        );
    }

    /// How to choose between equal servers for a request with this prompt.
    fn placement(&self, prompt: Prompt) -> Placement {
        let mean_backlog = self.total_backlog as f64 / self.ready_servers.len().max(1) as f64;
        let shared = f64::from(prompt.shared_tokens) * BACKLOG_PER_SHARED_TOKEN;
        // A conversion from floating point ends at the bounds of the type.
        let backlog_step = mean_backlog.max(shared).max(MIN_BACKLOG_STEP_TOKENS) as u32;
        Placement {
            prefix: prompt.prefix_hash,
            backlog_step,
        }
    }

    /// Whether it has no requests and no streams.
    #[must_use]
    pub(crate) fn is_idle(&self) -> bool {
        self.core.held_queries() == 0 && self.loads.values().all(|loads| loads.streams == 0)
    }

    /// When the next decision turn is due.
    #[must_use]
    pub(crate) fn next_turn(&self) -> Option<Time> {
        self.core.next_turn()
    }

    /// Runs a decision turn if it is due.
    pub(crate) fn run_turn(&mut self, now: Time) -> Vec<Command<RequestId>> {
        match self.core.next_turn() {
            Some(at) if at <= now => self.core.turn(now),
            _ => Vec::new(),
        }
    }

    /// Passes the classes on to the core.
    fn push_classes(&mut self) {
        self.core.set_classes(self.classes.for_decisions());
    }
}

/// The settings of a service's core.
fn core_settings(capacity: Capacity, budget: lichenswitch_interface::Budget) -> Settings {
    Settings {
        classes: Vec::new(),
        limits: Limits {
            attempts: MAX_ATTEMPTS,
            // A request and its only part.
            max_held: capacity.max_requests.saturating_mul(2),
            may_cancel: true,
            may_probe: false,
            second_copies: true,
            retry_after: Some(MAX_RETRY_AFTER_US),
            budget: Some(budget),
        },
        layout: Layout {
            cells: SERVER_GROUPS,
            width: SERVER_GROUPS,
            shards: 1,
            parts_a_call: 1,
        },
        ..Settings::default()
    }
}

#[cfg(test)]
mod tests;

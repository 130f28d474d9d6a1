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
use super::server_response::ServerLoad;
use super::servers::SERVER_GROUPS;
use lichenswitch_backlog::Backlog;
use lichenswitch_core::{Command, Contracts, Core, Refusal, Request, Value};
use lichenswitch_interface::{
    Class, Layout, Limits, ListedServer, Load, Micros, Outcome, Placement, QueryId, RetrySafety,
    ServerId, ServerListUpdate, ServerMode, Settings, Shard, Time, FIRST_SHARE,
};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// Longest `Retry-After` for rejected clients (microseconds): they heed up to a third of their remaining
/// time, and a retry that is served within its latency target still has value.
const MAX_RETRY_AFTER_US: Micros = 300_000;
/// Under overload the value of a request falls by this factor with each rank.
const VALUE_PER_RANK: f64 = 0.8;
/// Connections to a server that a router may always have, whatever its share.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;
/// The same where the operator configures no bound.
const DEFAULT_CONNECTIONS_PER_SERVER: usize = 16;
/// Smoothing of the occupied-slots ratio: each report moves it by this share of the difference.
const LOAD_SMOOTHING: f64 = 0.1;
/// Lower bound on the occupied-slots ratio, so that many streams at one server still count.
const MIN_OCCUPIED_SLOTS_RATIO: f64 = 0.05;
/// Smallest step in which backlogs of servers are compared (tokens): the reports are a tenth of a second
/// old.
const MIN_BACKLOG_STEP_TOKENS: f64 = 3_072.0;
/// The same for each shared token of a prompt: prefilling it again has to be worth the wait (tokens).
const BACKLOG_PER_SHARED_TOKEN: f64 = 20.0;
/// Upper bound on the attempts of a request, whatever its route says.
const MAX_ATTEMPTS: u32 = 16;

/// A service.
pub(crate) struct Service {
    /// Its name.
    pub name: Rc<str>,
    core: Core<RequestId>,
    classes: Vec<RequestClass>,
    queries: HashMap<QueryId, RequestId>,
    /// The load of each server beside this router's pending attempts.
    loads: HashMap<ServerId, ServerPressure>,
    /// Sum of all backlogs (tokens).
    total_backlog: u64,
    /// Servers that accept requests.
    ready_servers: BTreeSet<ServerId>,
    resume_budget: ResumeBudget,
    configured_connections: Option<u32>,
    configured_slots: Option<u32>,
    max_connections: usize,
    /// How many running streams at a server weigh as much as one pending request.
    streams_per_request: u32,
    /// This router's share of a server's slots, at least 1.
    slot_share: u32,
    /// Smoothed ratio of occupied slots that servers report; `None` before the first report.
    occupied_slots_ratio: Option<f64>,
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

/// A class of requests: one route in one version and rank.
struct RequestClass {
    terms: RouteTerms,
    /// Requests in hand of this class.
    request_count: u32,
    /// The active configuration has it.
    is_active: bool,
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
        core.listed(ServerListUpdate::Whole(servers));
        Service {
            name,
            core,
            classes: Vec::new(),
            queries: HashMap::new(),
            loads: HashMap::new(),
            total_backlog: 0,
            ready_servers,
            resume_budget: ResumeBudget::new(budget),
            configured_connections: None,
            configured_slots: None,
            max_connections: MIN_CONNECTIONS_PER_SERVER,
            streams_per_request: 1,
            slot_share: 1,
            occupied_slots_ratio: None,
        }
    }

    /// Sets the terms of the active configuration's routes that may send to it.
    pub(crate) fn set_routes(&mut self, routes: Vec<RouteTerms>) {
        self.classes
            .iter_mut()
            .for_each(|class| class.is_active = false);
        for terms in routes {
            let (index, _) = self.class_index_of(&terms);
            self.classes[index].is_active = true;
        }
        self.push_classes();
    }

    /// Sets the number of routers, which share the budget and the connections.
    pub(crate) fn set_router_count(&mut self, budget: RetryBudget, routers: u32) {
        self.core.set_budget(Some(decision_budget(budget, routers)));
        self.resume_budget.update(budget, routers);
        self.update_server_share(routers);
    }

    /// Sets how many connections and requests each of its servers accepts from all callers together,
    /// where that is configured.
    pub(crate) fn set_capacity(
        &mut self,
        connections: Option<u32>,
        slots: Option<u32>,
        routers: u32,
    ) {
        (self.configured_connections, self.configured_slots) = (connections, slots);
        self.update_server_share(routers);
    }

    /// How many connections this router may have to each server.
    #[must_use]
    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
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
        self.core.listed(ServerListUpdate::Changes(servers));
    }

    /// Submits a request to the core; its class is to be released with [`Service::release`].
    ///
    /// # Errors
    /// Why the core rejects it.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        route_request: &RouteRequest<'_>,
    ) -> Result<(QueryId, u16), Refusal> {
        let (index, is_new) = self.class_index_of(route_request.terms);
        if is_new {
            self.push_classes();
        }
        let class_index = index as u16;
        let placement = self.placement(route_request.prompt);
        let request = Request {
            class: index,
            deadline: route_request.deadline,
            key: 0,
            placement,
            again: false,
            tenant: u32::MAX,
            team: None,
            parts: vec![(Shard(0), 1.0)],
            top: None,
            job: route_request.request_id,
        };
        let query = self.core.take(now, request)?;
        self.classes[index].request_count += 1;
        self.queries.insert(query, route_request.request_id);
        self.resume_budget.on_request(now);
        Ok((query, class_index))
    }

    /// Submits a stream that is to be resumed, if the budget allows it.
    pub(crate) fn submit_resumed(
        &mut self,
        now: Time,
        route_request: &RouteRequest<'_>,
    ) -> Option<(QueryId, u16)> {
        match self.resume_budget.try_take(now) {
            true => self.submit(now, route_request).ok(),
            false => None,
        }
    }

    /// A request of this class has ended.
    pub(crate) fn release(&mut self, class_index: u16) {
        if let Some(class) = self.classes.get_mut(usize::from(class_index)) {
            class.request_count = class.request_count.saturating_sub(1);
        }
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
        self.core.ended(now, number, outcome, value);
    }

    /// A server has reported its load.
    pub(crate) fn on_server_load(&mut self, load: Option<ServerLoad>) {
        let Some(load) = load else { return };
        let occupied = f64::from(load.running.saturating_add(load.waiting)) / f64::from(load.slots);
        let before = self.occupied_slots_ratio.unwrap_or(occupied);
        self.occupied_slots_ratio = Some(before + LOAD_SMOOTHING * (occupied - before));
        self.update_stream_weight();
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
        let streams = loads.streams / self.streams_per_request;
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

    /// The index of the class with these terms (an existing one, an unused one, or a new one), and
    /// whether the core has to be told of it.
    fn class_index_of(&mut self, terms: &RouteTerms) -> (usize, bool) {
        if let Some(index) = self.classes.iter().position(|class| class.terms == *terms) {
            return (index, false);
        }
        let class = RequestClass {
            terms: terms.clone(),
            request_count: 0,
            is_active: false,
        };
        match self
            .classes
            .iter()
            .position(|class| class.request_count == 0 && !class.is_active)
        {
            Some(index) => {
                self.classes[index] = class;
                (index, true)
            }
            None => {
                self.classes.push(class);
                (self.classes.len() - 1, true)
            }
        }
    }

    fn push_classes(&mut self) {
        self.core.set_classes(
            self.classes
                .iter()
                .map(|class| decision_class(&class.terms))
                .collect(),
        );
    }

    /// Recomputes this router's share of each server.
    fn update_server_share(&mut self, routers: u32) {
        let share = |all: u32| all / routers.max(1);
        self.max_connections = match self.configured_connections {
            Some(most) => share(most) as usize,
            None => DEFAULT_CONNECTIONS_PER_SERVER,
        }
        .max(MIN_CONNECTIONS_PER_SERVER);
        self.slot_share = share(self.configured_slots.unwrap_or(0)).max(1);
        self.update_stream_weight();
    }

    /// Recomputes how many streams weigh as much as a pending request: this router's share of a
    /// server's slots, or more where servers report free slots.
    fn update_stream_weight(&mut self) {
        let by_load = self
            .occupied_slots_ratio
            .map_or(1.0, |occupied| 1.0 / occupied.max(MIN_OCCUPIED_SLOTS_RATIO));
        // At most 1 / LEAST_SLOTS_TAKEN.
        self.streams_per_request = self.slot_share.max(by_load as u32);
    }
}

/// A class as the decision module knows it.
fn decision_class(terms: &RouteTerms) -> Class {
    Class {
        latency_target: terms.target_latency,
        deadline: terms.timeout,
        repeat: if terms.is_idempotent {
            RetrySafety::Safe
        } else {
            RetrySafety::Unsafe
        },
        value: VALUE_PER_RANK.powi(i32::from(terms.rank)),
        // The value of a late response is unknown: it is waited for to the deadline, since silence
        // is no reason to give up sooner.
        late_share: 1.0,
        need: 1.0,
        floor: 1.0,
        partial: 0.0,
        second_step: 0,
        first_share: FIRST_SHARE,
        attempts: Some(terms.max_attempts.min(MAX_ATTEMPTS)),
    }
}

fn core_settings(capacity: Capacity, budget: lichenswitch_interface::Budget) -> Settings {
    Settings {
        classes: Vec::new(),
        limits: Limits {
            attempts: MAX_ATTEMPTS,
            // A request and its only part.
            max_held: capacity.max_requests.saturating_mul(2),
            cancel: true,
            probe: false,
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

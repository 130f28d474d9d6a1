//! One service: its core with the decision module, and what joins them to routes, servers and
//! attempts.
//!
//! It promises that a request keeps the class it was taken with, whatever configuration comes
//! meanwhile, and that every server which the module knows is known by its latest line.

use super::budget::{module_budget, ResumeBudget};
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

/// Advice to clients that are refused is at most this long (microseconds): they heed up to a third
/// of the time they have left, and what is served within its aim from the new try still earns.
const MAX_RETRY_AFTER_US: Micros = 300_000;
/// A route that is a rank less urgent is worth this much less in a jam.
const VALUE_PER_RANK: f64 = 0.8;
/// Connections to a server that a router may have at the least, whatever its share.
const MIN_CONNECTIONS_PER_SERVER: usize = 2;
/// The same where the operator names no most.
const DEFAULT_CONNECTIONS_PER_SERVER: usize = 16;
/// How fast the part of slots taken follows what servers tell: each answer moves it by this share
/// of the difference.
const LOAD_SMOOTHING: f64 = 0.1;
/// The part of slots taken counts as this at the least, so that a router with many streams at one
/// server still sees them.
const MIN_OCCUPIED_SLOTS_RATIO: f64 = 0.05;
/// Servers are told apart by their backlogs in steps of so many tokens at the least: what is known
/// of them is a tenth of a second old.
const MIN_BACKLOG_STEP_TOKENS: f64 = 3_072.0;
/// The same for each token of a prompt that is shared: to be read again it has to be worth the
/// wait.
const BACKLOG_PER_SHARED_TOKEN: f64 = 20.0;
/// The core of a service never sees more attempts of one request than this, whatever its route
/// says.
const MAX_ATTEMPTS: u32 = 16;

/// A service.
pub(crate) struct Service {
    /// Its name.
    pub name: Rc<str>,
    core: Core<RequestId>,
    classes: Vec<RequestClass>,
    queries: HashMap<QueryId, RequestId>,
    /// What loads each server beside what waits there for this router.
    loads: HashMap<ServerId, ServerPressure>,
    /// Sum of all backlogs (tokens).
    total_backlog: u64,
    /// Servers that take requests.
    ready_servers: BTreeSet<ServerId>,
    resume_budget: ResumeBudget,
    configured_connections: Option<u32>,
    configured_slots: Option<u32>,
    max_connections: usize,
    /// So many streams that run on at a server weigh as much as one request that waits for its
    /// answer there.
    streams_per_request: u32,
    /// This router's share of a server's slots, 1 at the least.
    slot_share: u32,
    /// Part of their slots that servers told to be taken of late; `None`: none has told it.
    occupied_slots_ratio: Option<f64>,
}

/// What loads a server beside what waits there for this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ServerPressure {
    /// Streams of this router that run on there.
    streams: u32,
    /// What waits there for all routers, as control tells it.
    backlog: Backlog,
}

/// What a service is asked for.
#[derive(Debug)]
pub(crate) struct RouteRequest<'a> {
    /// The request that is held.
    pub request_id: RequestId,
    /// What its route says.
    pub terms: &'a RouteTerms,
    /// What is known of its prompt.
    pub prompt: Prompt,
    /// When its time is over.
    pub deadline: Time,
}

/// A class of requests: one route in one of its forms.
struct RequestClass {
    terms: RouteTerms,
    /// Requests that are held with it.
    request_count: u32,
    /// The configuration in force has it.
    is_active: bool,
}

impl Service {
    /// A service whose servers are listed like this.
    #[must_use]
    pub(crate) fn new(
        name: Rc<str>,
        seed: u64,
        capacity: Capacity,
        budget: RetryBudget,
        lines: Vec<ListedServer>,
    ) -> Service {
        let settings = core_settings(capacity, module_budget(budget, 0));
        let ready_servers = lines
            .iter()
            .filter(|line| line.mode == ServerMode::Ready)
            .map(|line| line.server)
            .collect();
        let mut core = Core::new(seed, settings, Contracts::default(), capacity.max_bytes);
        core.listed(ServerListUpdate::Whole(lines));
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

    /// The routes of the configuration in force that may send to it.
    pub(crate) fn set_routes(&mut self, routes: Vec<RouteTerms>) {
        self.classes
            .iter_mut()
            .for_each(|class| class.is_active = false);
        for terms in routes {
            let (place, _) = self.class_index_of(&terms);
            self.classes[place].is_active = true;
        }
        self.push_classes();
    }

    /// Routers that are members now: budget and connections are shared by them.
    pub(crate) fn set_router_count(&mut self, budget: RetryBudget, routers: u32) {
        self.core.set_budget(Some(module_budget(budget, routers)));
        self.resume_budget.update(budget, routers);
        self.update_server_share(routers);
    }

    /// Connections and requests that each of its servers takes from all callers together, where
    /// that is told.
    pub(crate) fn set_capacity(
        &mut self,
        connections: Option<u32>,
        slots: Option<u32>,
        routers: u32,
    ) {
        (self.configured_connections, self.configured_slots) = (connections, slots);
        self.update_server_share(routers);
    }

    /// Connections to each server that this router may have.
    #[must_use]
    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// Lines of its list have changed.
    pub(crate) fn update_servers(&mut self, lines: Vec<ListedServer>) {
        for line in &lines {
            match line.mode {
                ServerMode::Ready => _ = self.ready_servers.insert(line.server),
                ServerMode::Leaving | ServerMode::Draining | ServerMode::Gone => {
                    _ = self.ready_servers.remove(&line.server)
                }
            }
        }
        self.core.listed(ServerListUpdate::Changes(lines));
    }

    /// Takes a request; the index of its class is given back with [`Service::release`].
    ///
    /// # Errors
    /// Why it is turned away.
    pub(crate) fn submit(
        &mut self,
        now: Time,
        route_request: &RouteRequest<'_>,
    ) -> Result<(QueryId, u16), Refusal> {
        let (place, changed) = self.class_index_of(route_request.terms);
        if changed {
            self.push_classes();
        }
        let class = place as u16;
        let placement = self.placement(route_request.prompt);
        let request = Request {
            class: place,
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
        self.classes[place].request_count += 1;
        self.queries.insert(query, route_request.request_id);
        self.resume_budget.on_request(now);
        Ok((query, class))
    }

    /// Takes a stream that is to go on at another server, if the budget bears it.
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

    /// A request of this class is held no more.
    pub(crate) fn release(&mut self, class: u16) {
        if let Some(class) = self.classes.get_mut(usize::from(class)) {
            class.request_count = class.request_count.saturating_sub(1);
        }
    }

    /// The request that the core has a word for; it has none after that.
    pub(crate) fn take_request_id(&mut self, query: QueryId) -> Option<RequestId> {
        self.queries.remove(&query)
    }

    /// There is nobody left to answer.
    pub(crate) fn cancel(&mut self, query: QueryId) {
        self.queries.remove(&query);
        self.core.hangup(query);
    }

    /// An attempt has ended. Only its first end counts.
    pub(crate) fn on_attempt_ended(&mut self, now: Time, number: u64, outcome: Outcome) {
        let value = (outcome == Outcome::Ok).then(Value::default);
        self.core.ended(now, number, outcome, value);
    }

    /// A server has told how busy it is.
    pub(crate) fn on_server_load(&mut self, load: Option<ServerLoad>) {
        let Some(load) = load else { return };
        let taken = f64::from(load.running.saturating_add(load.waiting)) / f64::from(load.slots);
        let before = self.occupied_slots_ratio.unwrap_or(taken);
        self.occupied_slots_ratio = Some(before + LOAD_SMOOTHING * (taken - before));
        self.update_stream_weight();
    }

    /// A stream runs on at a server, whose first event has answered its request as far as the
    /// module is concerned.
    pub(crate) fn on_stream_started(&mut self, server: ServerId) {
        self.loads.entry(server).or_default().streams += 1;
        self.push_load(server);
    }

    /// It has ended.
    pub(crate) fn on_stream_ended(&mut self, server: ServerId) {
        let Some(loads) = self.loads.get_mut(&server) else {
            return;
        };
        loads.streams = loads.streams.saturating_sub(1);
        self.push_load(server);
    }

    /// So much waits at a server for all routers together (tokens).
    pub(crate) fn set_backlog(&mut self, server: ServerId, tokens: Backlog) {
        let loads = self.loads.entry(server).or_default();
        let before = std::mem::replace(&mut loads.backlog, tokens);
        self.total_backlog =
            self.total_backlog.saturating_sub(u64::from(before)) + u64::from(tokens);
        self.push_load(server);
    }

    /// Nothing is known any more of what waits for other routers.
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

    /// Tells the module what loads a server, and forgets it where that is nothing.
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

    /// Which of equal servers a request with this prompt is to go to.
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

    /// Whether nothing is held by it.
    #[must_use]
    pub(crate) fn is_idle(&self) -> bool {
        self.core.held_queries() == 0 && self.loads.values().all(|loads| loads.streams == 0)
    }

    /// When the next turn is to be taken.
    #[must_use]
    pub(crate) fn next_turn(&self) -> Option<Time> {
        self.core.next_turn()
    }

    /// Takes a turn if it is time.
    pub(crate) fn run_turn(&mut self, now: Time) -> Vec<Command<RequestId>> {
        match self.core.next_turn() {
            Some(at) if at <= now => self.core.turn(now),
            _ => Vec::new(),
        }
    }

    /// The class of these terms: the one that has them, one that nobody needs any more, or a new
    /// one; `true`: the module has yet to be told of it.
    fn class_index_of(&mut self, terms: &RouteTerms) -> (usize, bool) {
        if let Some(place) = self.classes.iter().position(|class| class.terms == *terms) {
            return (place, false);
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
            Some(place) => {
                self.classes[place] = class;
                (place, true)
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

    /// This router's share of each server.
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

    /// A stream weighs as a request only where slots are short: as many weigh one as this router's
    /// share of a server's slots, or, where servers tell that more is free, as many as would fill
    /// that share at the part of the slots that is taken.
    fn update_stream_weight(&mut self) {
        let by_load = self
            .occupied_slots_ratio
            .map_or(1.0, |taken| 1.0 / taken.max(MIN_OCCUPIED_SLOTS_RATIO));
        // At most 1 / LEAST_SLOTS_TAKEN.
        self.streams_per_request = self.slot_share.max(by_load as u32);
    }
}

/// What the module is told of a class.
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
        // Nobody tells what a late answer is worth: it is waited for to its end, since silence is
        // no reason to give up sooner.
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

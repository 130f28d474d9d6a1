//! Quotas over a whole fleet in virtual time: the code of `decide/quota` at control machines and
//! routers whose clocks drift, under demand far beyond the limit, while machines are killed,
//! suspended, partitioned and replaced. [`AdmissionHistory`] compares every request that was
//! admitted with the rule.

mod faults;
mod history;
mod node;
mod settings;

pub use history::{AdmissionHistory, Overrun};
pub use settings::{Fault, PlantedBug, Settings};

use fastrand::Rng;
use lichenswitch_configuration::{Document, QuotaUnit, Tenant};
use lichenswitch_quota::{
    AdmissionDecision, AdmissionOutcome, LeaseAction, LeaseGrant, LeaseRequest, OwnerId,
    QuotaBounds,
};
use node::{ControlNode, LeaseOrigin, Requester, Router, MAX_CONTACT_DELAY};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// How often control machines do what is due (microseconds), as the role does.
const TICK_INTERVAL: u64 = 250 * MILLISECOND;
/// Longest latency of a message between two machines (microseconds).
const MAX_LATENCY: u64 = 4 * MILLISECOND;

/// Something that happens at an instant.
#[derive(Clone, Debug)]
enum Event {
    /// A request of a tenant arrives at a router.
    Request { tenant: usize },
    /// A lease request arrives at a control machine, from a router or from another one.
    LeaseRequest {
        to: usize,
        from: Requester,
        id: u64,
        may_forward: bool,
        request: LeaseRequest,
    },
    /// A response arrives at the requester.
    LeaseGrant {
        to: Requester,
        from: usize,
        id: u64,
        grant: LeaseGrant,
    },
    /// A control machine does what is due.
    Tick { control: usize },
    /// The next fault is injected.
    Fault,
}

/// The fleet.
struct Fleet {
    settings: Settings,
    random: Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    tenants: Vec<Tenant>,
    bounds: QuotaBounds,
    control: Vec<ControlNode>,
    routers: Vec<Router>,
    /// Each change of voters, with when it was committed.
    changes: Vec<(u64, Vec<OwnerId>)>,
    requests: u64,
    /// Tenants and amounts of the queued requests, by number.
    queued: BTreeMap<u64, (usize, u64)>,
    /// What was admitted.
    history: AdmissionHistory,
}

/// Simulates a fleet to the end; the first overrun, if there is one, and what was admitted.
#[must_use]
pub fn run(settings: Settings) -> (Option<Overrun>, AdmissionHistory) {
    let mut fleet = Fleet::new(settings);
    let end = (10 + fleet.settings.length_s) * SECOND;
    while let Some(((at, _), event)) = fleet.events.pop_first().filter(|((at, _), _)| *at < end) {
        fleet.now = at;
        fleet.handle(event);
    }
    (fleet.history.overrun(), fleet.history)
}

/// A tenant with a large quota of tokens, one with a small one, and one whose requests are counted.
fn tenants() -> Vec<Tenant> {
    let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
        {"name":"large","unit":"token_count","ratePerS":60000,"burstSize":60000},
        {"name":"small","unit":"token_count","ratePerS":9000,"burstSize":0},
        {"name":"few","ratePerS":20,"burstSize":5}]}"#;
    let tenants = Document::parse(text)
        .ok()
        .and_then(|document| document.tenants().map(<[_]>::to_vec));
    tenants.unwrap_or_default()
}

fn bounds() -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 20_000.0,
    }
}

impl Fleet {
    fn new(settings: Settings) -> Fleet {
        let (tenants, bounds) = (tenants(), bounds());
        let mut random = Rng::with_seed(settings.seed);
        let voters: Vec<OwnerId> = (0..settings.control as u64).map(OwnerId).collect();
        let control = (0..settings.control)
            .map(|index| {
                ControlNode::start(
                    index,
                    0,
                    &voters,
                    &tenants,
                    bounds,
                    random.f64(),
                    PlantedBug::NoBug,
                )
            })
            .collect();
        let routers = (0..settings.routers)
            .map(|_| Router::start(bounds, random.f64(), random.u64(..)))
            .collect();
        let history = AdmissionHistory::new(&tenants, &bounds);
        let mut fleet = Fleet {
            settings,
            random,
            now: 0,
            events: BTreeMap::new(),
            scheduled: 0,
            tenants,
            bounds,
            control,
            routers,
            changes: vec![(0, voters)],
            requests: 0,
            queued: BTreeMap::new(),
            history,
        };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        for control in 0..self.control.len() {
            let at = self.random.u64(0..TICK_INTERVAL);
            self.schedule(at, Event::Tick { control });
        }
        for tenant in 0..self.tenants.len() {
            self.schedule(10 * SECOND, Event::Request { tenant });
        }
        if self.settings.fault_interval_ms.is_some() {
            self.schedule(11 * SECOND, Event::Fault);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.insert((at, self.scheduled), event);
    }

    fn send(&mut self, event: Event) {
        let latency = self.random.u64(100..MAX_LATENCY);
        self.schedule(self.now + latency, event);
    }

    fn handle(&mut self, event: Event) {
        // A suspended machine handles later what has arrived meanwhile.
        if let Some(resumes_at) = self
            .suspended_until(&event)
            .filter(|resumes_at| *resumes_at > self.now)
        {
            return self.schedule(resumes_at, event);
        }
        match event {
            Event::Request { tenant } => self.on_request(tenant),
            Event::LeaseRequest {
                to,
                from,
                id,
                may_forward,
                request,
            } => self.on_lease_request(to, from, id, may_forward, request),
            Event::LeaseGrant {
                to,
                from,
                id,
                grant,
            } => self.on_grant(to, from, id, grant),
            Event::Tick { control } => self.tick(control),
            Event::Fault => self.inject_fault(),
        }
    }

    fn suspended_until(&self, event: &Event) -> Option<u64> {
        match event {
            Event::LeaseRequest { to, .. } | Event::Tick { control: to } => {
                Some(self.control[*to].suspended_until)
            }
            Event::LeaseGrant {
                to: Requester::ControlNode(to, _),
                ..
            } => Some(self.control[*to].suspended_until),
            Event::LeaseGrant {
                to: Requester::Router(router),
                ..
            } => Some(self.routers[*router].suspended_until),
            Event::Request { .. } | Event::Fault => None,
        }
    }

    /// A request of random size arrives; the next one of its tenant is scheduled.
    fn on_request(&mut self, index: usize) {
        let tenant = self.tenants[index].clone();
        let Some(quota) = tenant.quota else { return };
        let amount = match tenant.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens => self.random.u64(50..3_000),
        };
        let gap = amount as f64 / (quota.rate_per_s * self.settings.demand) * SECOND as f64;
        let gap = gap * (0.5 + self.random.f64());
        self.schedule(self.now + gap as u64 + 1, Event::Request { tenant: index });
        let router = if self.settings.one_router {
            0
        } else {
            self.random.usize(0..self.routers.len())
        };
        self.requests += 1;
        let number = self.requests;
        self.queued.insert(number, (index, amount));
        let clock = self.routers[router].clock(self.now);
        let deadline = clock.plus(200 * MILLISECOND);
        let outcome = self.routers[router]
            .allowances
            .admit(clock, &tenant, amount, number, deadline);
        self.apply_decisions(
            router,
            vec![AdmissionDecision {
                request: number,
                outcome,
            }],
        );
        self.send_lease_requests(router);
    }

    fn send_lease_requests(&mut self, router: usize) {
        let clock = self.routers[router].clock(self.now);
        let expired = self.routers[router].allowances.expire(clock);
        self.apply_decisions(router, expired);
        for (id, request) in self.routers[router].allowances.lease_requests(clock) {
            let to = self.routers[router].control(
                self.settings.control,
                router,
                self.now,
                &self.control,
            );
            self.send(Event::LeaseRequest {
                to,
                from: Requester::Router(router),
                id,
                may_forward: true,
                request,
            });
        }
    }

    fn apply_decisions(&mut self, router: usize, decisions: Vec<AdmissionDecision<u64>>) {
        let is_suspended = self.routers[router].suspended_until > self.now;
        for AdmissionDecision { request, outcome } in decisions {
            if outcome == AdmissionOutcome::Queued {
                continue;
            }
            let Some((tenant, amount)) = self.queued.remove(&request) else {
                continue;
            };
            if matches!(outcome, AdmissionOutcome::Admitted(_)) && !is_suspended {
                self.history.record(self.now, tenant, amount);
            }
        }
    }

    fn on_lease_request(
        &mut self,
        to: usize,
        from: Requester,
        id: u64,
        may_forward: bool,
        request: LeaseRequest,
    ) {
        if self.is_partitioned(to, from) {
            return;
        }
        let clock = self.control[to].clock(self.now);
        if !may_forward {
            let control = &mut self.control[to];
            let grant = control.buckets.lease(clock, &request, &control.ownership);
            return self.send(Event::LeaseGrant {
                to: from,
                from: to,
                id,
                grant,
            });
        }
        let reachable = self.reachable(to);
        let actions = self.control[to].on_request(
            clock,
            LeaseOrigin {
                requester: from,
                id,
            },
            request,
            &reachable,
        );
        self.do_actions(to, actions);
    }

    fn on_grant(&mut self, to: Requester, from: usize, id: u64, grant: LeaseGrant) {
        if self.is_partitioned(from, to) {
            return;
        }
        match to {
            Requester::Router(router) => {
                let clock = self.routers[router].clock(self.now);
                let decisions = self.routers[router].allowances.on_grant(clock, id, grant);
                self.apply_decisions(router, decisions);
                self.send_lease_requests(router);
            }
            Requester::ControlNode(to, incarnation)
                if self.control[to].incarnation == incarnation =>
            {
                let (clock, reachable) = (self.control[to].clock(self.now), self.reachable(to));
                let owner = self.control[from].id;
                let actions = self.control[to].on_response(clock, owner, id, grant, &reachable);
                self.do_actions(to, actions);
            }
            Requester::ControlNode(..) => {}
        }
    }

    fn do_actions(&mut self, control: usize, actions: Vec<LeaseAction<LeaseOrigin>>) {
        for action in actions {
            match action {
                LeaseAction::Request {
                    to,
                    id,
                    may_forward,
                    request,
                } => {
                    let from = Requester::ControlNode(control, self.control[control].incarnation);
                    if let Some(to) = self.control.iter().position(|other| other.id == to) {
                        self.send(Event::LeaseRequest {
                            to,
                            from,
                            id,
                            may_forward,
                            request,
                        });
                    }
                }
                LeaseAction::Respond { origin, grant } => {
                    self.send(Event::LeaseGrant {
                        to: origin.requester,
                        from: control,
                        id: origin.id,
                        grant,
                    });
                }
            }
        }
    }

    fn is_partitioned(&self, control: usize, other: Requester) -> bool {
        let is_cut_off = |index: usize| self.control[index].partitioned_until > self.now;
        matches!(other, Requester::ControlNode(index, _) if is_cut_off(index) || is_cut_off(control))
    }

    fn voters(&self) -> Vec<OwnerId> {
        self.changes
            .last()
            .map(|(_, voters)| voters.clone())
            .unwrap_or_default()
    }

    fn reachable(&self, from: usize) -> BTreeSet<OwnerId> {
        let others = self
            .control
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != from);
        others
            .filter(|(_, other)| other.partitioned_until <= self.now)
            .map(|(_, other)| other.id)
            .collect()
    }

    fn tick(&mut self, index: usize) {
        self.schedule(self.now + TICK_INTERVAL, Event::Tick { control: index });
        let (now, planted_bug, id) = (self.now, self.settings.planted_bug, self.control[index].id);
        if self.control[index].partitioned_until <= now && !self.voters().contains(&id) {
            let voters = self.voters().into_iter().chain([id]).collect();
            self.changes.push((now, voters));
        }
        let contact_delay = self.random.u64(0..MAX_CONTACT_DELAY);
        self.control[index].on_contact(now, contact_delay, &self.changes, planted_bug);
        let (clock, reachable) = (self.control[index].clock(now), self.reachable(index));
        let actions = self.control[index].tick(clock, &reachable);
        self.do_actions(index, actions);
    }
}

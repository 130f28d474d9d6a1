//! Quotas over a whole fleet in virtual time: the code of `decide/quota` at control machines and
//! routers whose clocks drift, under demand far beyond the limit, while machines are killed,
//! suspended, partitioned and replaced. [`AdmissionHistory`] compares every request that was
//! admitted with the rule.

mod events;
mod faults;
mod history;
mod leases;
mod node;
mod requests;
mod settings;

use std::collections::BTreeMap;
use std::time::Duration;

use fastrand::Rng;
use lichenswitch_configuration::{Document, Tenant};
use lichenswitch_quota::{OwnerId, QuotaBounds};

use self::events::Event;
pub use self::history::{AdmissionHistory, Overrun};
use self::node::{ControlNode, Router, MAX_CONTACT_DELAY};
pub use self::settings::{Fault, PlantedBug, Settings};

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// How often control machines do what is due (microseconds), as the role does.
const TICK_INTERVAL: u64 = 250 * MILLISECOND;
/// When demand begins (microseconds): buckets have been filled and ownership has settled.
const DEMAND_START: u64 = 10 * SECOND;
/// When the first fault is injected (microseconds).
const FAULTS_START: u64 = 11 * SECOND;

/// The voters from a time on.
#[derive(Clone, Debug)]
struct VoterChange {
    /// When the change was committed (microseconds).
    committed_at: u64,
    voters: Vec<OwnerId>,
}

/// A request that waits for a lease at a router.
#[derive(Clone, Copy, Debug)]
struct QueuedRequest {
    /// Index of its tenant.
    tenant: usize,
    /// Units that it takes of the tenant's quota.
    amount: u64,
}

/// The fleet.
struct Fleet {
    settings: Settings,
    random: Rng,
    now: u64,
    /// By time, and by number where that is the same.
    events: BTreeMap<(u64, u64), Event>,
    /// Number of the event that was scheduled last.
    scheduled: u64,
    tenants: Vec<Tenant>,
    bounds: QuotaBounds,
    control: Vec<ControlNode>,
    routers: Vec<Router>,
    /// Each change of voters, in the order of time.
    changes: Vec<VoterChange>,
    /// Number of the request that arrived last.
    requests: u64,
    /// The queued requests, by number.
    queued: BTreeMap<u64, QueuedRequest>,
    /// What was admitted.
    history: AdmissionHistory,
}

/// Simulates a fleet to the end; the first overrun, if there is one, and what was admitted.
#[must_use]
pub fn run(settings: Settings) -> (Option<Overrun>, AdmissionHistory) {
    let mut fleet = Fleet::new(settings);
    let end = DEMAND_START + fleet.settings.length_s * SECOND;
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
            changes: vec![VoterChange {
                committed_at: 0,
                voters,
            }],
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
            self.schedule(DEMAND_START, Event::Request { tenant });
        }
        if self.settings.fault_interval_ms.is_some() {
            self.schedule(FAULTS_START, Event::Fault);
        }
    }

    /// The voters at present.
    fn voters(&self) -> Vec<OwnerId> {
        self.changes
            .last()
            .map(|change| change.voters.clone())
            .unwrap_or_default()
    }

    fn change_voters(&mut self, voters: Vec<OwnerId>) {
        self.changes.push(VoterChange {
            committed_at: self.now,
            voters,
        });
    }

    /// A control machine does what is due; one that was removed returns once it isn't partitioned.
    fn tick(&mut self, index: usize) {
        self.schedule(self.now + TICK_INTERVAL, Event::Tick { control: index });
        let (now, planted_bug, id) = (self.now, self.settings.planted_bug, self.control[index].id);
        if self.control[index].partitioned_until <= now && !self.voters().contains(&id) {
            let voters = self.voters().into_iter().chain([id]).collect();
            self.change_voters(voters);
        }
        let contact_delay = self.random.u64(0..MAX_CONTACT_DELAY);
        self.control[index].on_contact(now, contact_delay, &self.changes, planted_bug);
        let (clock, reachable) = (self.control[index].clock(now), self.reachable(index));
        let actions = self.control[index].tick(clock, &reachable);
        self.do_actions(index, actions);
    }
}

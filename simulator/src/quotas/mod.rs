//! Quotas over a whole fleet in virtual time: the code of `decide/quota` at control machines and
//! routers whose clocks drift, under demand far beyond the limit, while machines are killed,
//! frozen, cut off and replaced. A ledger holds every request that was let through against the
//! rule.

mod ledger;
mod machine;

pub use ledger::{Ledger, Overrun};

use fastrand::Rng;
use lichenswitch_configuration::{Document, Tenant};
use lichenswitch_quota::{
    AdmissionDecision, AdmissionOutcome, LeaseAction, LeaseGrant, LeaseRequest, OwnerId,
    QuotaBounds,
};
use machine::{Control, Router, LATEST_NEWS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// Control machines look at what is due so often, as the role does.
const TICK: u64 = 250 * MILLISECOND;
/// Longest way of a message between two machines.
const SLOWEST: u64 = 4 * MILLISECOND;

/// A mistake that is planted to see that the ledger finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// None.
    Nothing,
    /// A machine that starts again believes that nobody has drawn before.
    StartsFull,
    /// A machine that is cut off, or was replaced, holds its parts for ever.
    EndlessTenure,
    /// A newcomer takes up its parts at once.
    NoSettling,
}

/// What befalls a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A control machine's process is killed and starts again.
    Restart,
    /// The same, and its disk is lost.
    Wipe,
    /// A control machine freezes and wakes again.
    Freeze,
    /// A control machine is cut off from all others. Routers reach it still.
    Cut,
    /// The same, and it is no voter any more until it is back.
    VoteOut,
    /// A router freezes and wakes again.
    FreezeRouter,
}

impl Trouble {
    /// All of them.
    pub const ALL: &'static [Trouble] = &[
        Trouble::Restart,
        Trouble::Wipe,
        Trouble::Freeze,
        Trouble::Cut,
        Trouble::VoteOut,
        Trouble::FreezeRouter,
    ];
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Of everything that is drawn by chance.
    pub seed: u64,
    /// Control machines.
    pub control: usize,
    /// Routers.
    pub routers: usize,
    /// Demand of each tenant, as a multiple of its rate.
    pub demand: f64,
    /// All of it comes in at one router.
    pub one_router: bool,
    /// Seconds.
    pub length_s: u64,
    /// A machine is troubled so often on average (milliseconds); `None`: never.
    pub trouble_every_ms: Option<u64>,
    /// Which troubles come.
    pub troubles: &'static [Trouble],
    /// A mistake.
    pub planted: Planted,
}

/// Something that happens at a time.
#[derive(Clone, Debug)]
enum Event {
    /// A request of a tenant comes in at a router.
    Request { tenant: usize },
    /// A draw reaches a control machine, from a router or from another one.
    LeaseRequest {
        to: usize,
        from: Sender,
        id: u64,
        may_forward: bool,
        draw: LeaseRequest,
    },
    /// An answer reaches whoever asked.
    LeaseGrant {
        to: Sender,
        from: usize,
        id: u64,
        grant: LeaseGrant,
    },
    /// A control machine looks at what is due.
    Tick { control: usize },
    /// The next trouble comes.
    Trouble,
}

/// Who asked: a life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    Router(usize),
    Control(usize, u64),
}

/// Who waits for a draw at a control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Origin {
    sender: Sender,
    id: u64,
}

/// The fleet.
pub struct Fleet {
    settings: Settings,
    random: Rng,
    now: u64,
    events: BTreeMap<(u64, u64), Event>,
    planned: u64,
    tenants: Vec<Tenant>,
    terms: QuotaBounds,
    control: Vec<Control>,
    routers: Vec<Router>,
    /// Voters by identity, each time that they changed.
    changes: Vec<(u64, Vec<OwnerId>)>,
    requests: u64,
    /// Needs of the requests that wait, by number.
    waiting: BTreeMap<u64, (usize, u64)>,
    /// What was let through.
    pub ledger: Ledger,
}

/// Plays a fleet to its end; the first overrun, if there is one, and what was let through.
#[must_use]
pub fn play(settings: Settings) -> (Option<Overrun>, Ledger) {
    let mut fleet = Fleet::new(settings);
    let end = (10 + fleet.settings.length_s) * SECOND;
    while let Some(((at, _), event)) = fleet.events.pop_first().filter(|((at, _), _)| *at < end) {
        fleet.now = at;
        fleet.take(event);
    }
    (fleet.ledger.overrun(), fleet.ledger)
}

impl Fleet {
    fn new(settings: Settings) -> Fleet {
        let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
            {"name":"large","unit":"token_count","ratePerS":60000,"burstSize":60000},
            {"name":"small","unit":"token_count","ratePerS":9000,"burstSize":0},
            {"name":"few","ratePerS":20,"burstSize":5}]}"#;
        let tenants = Document::parse(text)
            .ok()
            .and_then(|document| document.tenants().map(<[_]>::to_vec));
        let tenants = tenants.unwrap_or_default();
        let terms = QuotaBounds {
            window: Duration::from_secs(8),
            overage: 0.1,
            slack: 20_000.0,
        };
        let mut random = Rng::with_seed(settings.seed);
        let voters: Vec<OwnerId> = (0..settings.control as u64).map(OwnerId).collect();
        let control = (0..settings.control)
            .map(|place| {
                Control::start(
                    place,
                    0,
                    &voters,
                    &tenants,
                    terms,
                    random.f64(),
                    Planted::Nothing,
                )
            })
            .collect();
        let routers = (0..settings.routers)
            .map(|_| Router::start(terms, random.f64(), random.u64(..)))
            .collect();
        let ledger = Ledger::new(&tenants, &terms);
        let mut fleet = Fleet {
            settings,
            random,
            now: 0,
            events: BTreeMap::new(),
            planned: 0,
            tenants,
            terms,
            control,
            routers,
            changes: vec![(0, voters)],
            requests: 0,
            waiting: BTreeMap::new(),
            ledger,
        };
        fleet.begin();
        fleet
    }

    fn begin(&mut self) {
        for control in 0..self.control.len() {
            let at = self.random.u64(0..TICK);
            self.plan(at, Event::Tick { control });
        }
        for tenant in 0..self.tenants.len() {
            self.plan(10 * SECOND, Event::Request { tenant });
        }
        if self.settings.trouble_every_ms.is_some() {
            self.plan(11 * SECOND, Event::Trouble);
        }
    }

    fn plan(&mut self, at: u64, event: Event) {
        self.planned += 1;
        self.events.insert((at, self.planned), event);
    }

    fn send(&mut self, event: Event) {
        let way = self.random.u64(100..SLOWEST);
        self.plan(self.now + way, event);
    }

    fn take(&mut self, event: Event) {
        // A frozen machine works off later what has come meanwhile.
        if let Some(thaws) = self.frozen_until(&event).filter(|thaws| *thaws > self.now) {
            return self.plan(thaws, event);
        }
        match event {
            Event::Request { tenant } => self.request(tenant),
            Event::LeaseRequest {
                to,
                from,
                id,
                may_forward,
                draw,
            } => self.on_draw(to, from, id, may_forward, draw),
            Event::LeaseGrant {
                to,
                from,
                id,
                grant,
            } => self.on_grant(to, from, id, grant),
            Event::Tick { control } => self.tick(control),
            Event::Trouble => self.trouble(),
        }
    }

    fn frozen_until(&self, event: &Event) -> Option<u64> {
        match event {
            Event::LeaseRequest { to, .. } | Event::Tick { control: to } => {
                Some(self.control[*to].frozen_until)
            }
            Event::LeaseGrant {
                to: Sender::Control(to, _),
                ..
            } => Some(self.control[*to].frozen_until),
            Event::LeaseGrant {
                to: Sender::Router(router),
                ..
            } => Some(self.routers[*router].frozen_until),
            Event::Request { .. } | Event::Trouble => None,
        }
    }

    /// A request of a size by chance comes in; the next one of its tenant is planned.
    fn request(&mut self, place: usize) {
        let tenant = self.tenants[place].clone();
        let Some(quota) = tenant.quota else { return };
        let need = match tenant.unit {
            lichenswitch_configuration::QuotaUnit::Requests => 1,
            lichenswitch_configuration::QuotaUnit::Tokens => self.random.u64(50..3_000),
        };
        let gap = need as f64 / (quota.rate_per_s * self.settings.demand) * SECOND as f64;
        let gap = gap * (0.5 + self.random.f64());
        self.plan(self.now + gap as u64 + 1, Event::Request { tenant: place });
        let router = if self.settings.one_router {
            0
        } else {
            self.random.usize(0..self.routers.len())
        };
        self.requests += 1;
        let number = self.requests;
        self.waiting.insert(number, (place, need));
        let clock = self.routers[router].clock(self.now);
        let until = clock.plus(200 * MILLISECOND);
        let taken = self.routers[router]
            .allowances
            .admit(clock, &tenant, need, number, until);
        self.decide(
            router,
            vec![AdmissionDecision {
                request: number,
                outcome: taken,
            }],
        );
        self.send_draws(router);
    }

    fn send_draws(&mut self, router: usize) {
        let clock = self.routers[router].clock(self.now);
        let expired = self.routers[router].allowances.expire(clock);
        self.decide(router, expired);
        for (id, draw) in self.routers[router].allowances.lease_requests(clock) {
            let to = self.routers[router].control(
                self.settings.control,
                router,
                self.now,
                &self.control,
            );
            self.send(Event::LeaseRequest {
                to,
                from: Sender::Router(router),
                id,
                may_forward: true,
                draw,
            });
        }
    }

    fn decide(&mut self, router: usize, decided: Vec<AdmissionDecision<u64>>) {
        let frozen = self.routers[router].frozen_until > self.now;
        for AdmissionDecision { request, outcome } in decided {
            if outcome == AdmissionOutcome::Queued {
                continue;
            }
            let Some((tenant, need)) = self.waiting.remove(&request) else {
                continue;
            };
            if matches!(outcome, AdmissionOutcome::Admitted(_)) && !frozen {
                self.ledger.let_through(self.now, tenant, need);
            }
        }
    }

    fn on_draw(&mut self, to: usize, from: Sender, id: u64, may_forward: bool, draw: LeaseRequest) {
        if self.is_unreachable(to, from) {
            return;
        }
        let clock = self.control[to].clock(self.now);
        if !may_forward {
            let control = &mut self.control[to];
            let grant = control.buckets.lease(clock, &draw, &control.ownership);
            return self.send(Event::LeaseGrant {
                to: from,
                from: to,
                id,
                grant,
            });
        }
        let reachable = self.reachable(to);
        let orders = self.control[to].take(clock, Origin { sender: from, id }, draw, &reachable);
        self.carry_out(to, orders);
    }

    fn on_grant(&mut self, to: Sender, from: usize, id: u64, grant: LeaseGrant) {
        if self.is_unreachable(from, to) {
            return;
        }
        match to {
            Sender::Router(router) => {
                let clock = self.routers[router].clock(self.now);
                let decided = self.routers[router].allowances.on_grant(clock, id, grant);
                self.decide(router, decided);
                self.send_draws(router);
            }
            Sender::Control(to, life) if self.control[to].life == life => {
                let (clock, reachable) = (self.control[to].clock(self.now), self.reachable(to));
                let holder = self.control[from].own;
                let orders = self.control[to].on_answer(clock, holder, id, grant, &reachable);
                self.carry_out(to, orders);
            }
            Sender::Control(..) => {}
        }
    }

    fn carry_out(&mut self, control: usize, orders: Vec<LeaseAction<Origin>>) {
        for order in orders {
            match order {
                LeaseAction::Request {
                    to,
                    id,
                    may_forward,
                    request: draw,
                } => {
                    let from = Sender::Control(control, self.control[control].life);
                    if let Some(to) = self.control.iter().position(|other| other.own == to) {
                        self.send(Event::LeaseRequest {
                            to,
                            from,
                            id,
                            may_forward,
                            draw,
                        });
                    }
                }
                LeaseAction::Respond { origin, grant } => {
                    self.send(Event::LeaseGrant {
                        to: origin.sender,
                        from: control,
                        id: origin.id,
                        grant,
                    });
                }
            }
        }
    }

    fn is_unreachable(&self, control: usize, other: Sender) -> bool {
        let cut = |place: usize| self.control[place].cut_until > self.now;
        matches!(other, Sender::Control(place, _) if cut(place) || cut(control))
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
            .filter(|(place, _)| *place != from);
        others
            .filter(|(_, other)| other.cut_until <= self.now)
            .map(|(_, other)| other.own)
            .collect()
    }

    fn tick(&mut self, place: usize) {
        self.plan(self.now + TICK, Event::Tick { control: place });
        let (now, planted, own) = (self.now, self.settings.planted, self.control[place].own);
        if self.control[place].cut_until <= now && !self.voters().contains(&own) {
            let voters = self.voters().into_iter().chain([own]).collect();
            self.changes.push((now, voters));
        }
        let news = self.random.u64(0..LATEST_NEWS);
        self.control[place].learn(now, news, &self.changes, planted);
        let (clock, reachable) = (self.control[place].clock(now), self.reachable(place));
        let orders = self.control[place].tick(clock, &reachable);
        self.carry_out(place, orders);
    }

    /// One machine is killed, wiped, frozen or cut off; or a router is.
    fn trouble(&mut self) {
        let Some(gap) = self.settings.trouble_every_ms.map(|gap| gap * MILLISECOND) else {
            return;
        };
        let next = self.now + self.random.u64(gap / 8..2 * gap);
        self.plan(next, Event::Trouble);
        let place = self.random.usize(0..self.control.len());
        let takes = self.random.u64(SECOND / 2..7 * SECOND);
        let Some(trouble) = self.random.choice(self.settings.troubles) else {
            return;
        };
        match trouble {
            Trouble::Restart => self.restart(place, false),
            Trouble::Wipe => self.restart(place, true),
            Trouble::Freeze => self.control[place].frozen_until = self.now + takes,
            Trouble::Cut => self.control[place].cut_until = self.now + takes,
            Trouble::VoteOut => {
                self.control[place].cut_until = self.now + 2 * takes;
                let own = self.control[place].own;
                let voters = self
                    .voters()
                    .into_iter()
                    .filter(|voter| *voter != own)
                    .collect();
                self.changes.push((self.now, voters));
            }
            Trouble::FreezeRouter => {
                let router = self.random.usize(0..self.routers.len());
                self.routers[router].frozen_until = self.now + takes;
            }
        }
    }

    /// A process ends and starts again at once; with another disk it is another voter.
    fn restart(&mut self, place: usize, wiped: bool) {
        let (mut disk, life) = (
            self.control[place].disk.clone(),
            self.control[place].life + 1,
        );
        let mut own = self.control[place].own;
        if wiped {
            (own, disk) = (OwnerId(1_000 * life + place as u64), Vec::new());
            let before = self.control[place].own;
            let stays = self.voters().into_iter().filter(|voter| *voter != before);
            let voters = stays.chain([own]).collect();
            self.changes.push((self.now, voters));
        }
        let drift = self.random.f64();
        let (tenants, terms, planted) = (&self.tenants, self.terms, self.settings.planted);
        let mut control = Control::start(place, self.now, &disk, tenants, terms, drift, planted);
        (control.own, control.life) = (own, life);
        control.renew(&disk);
        if planted == Planted::StartsFull {
            // Before anything else: the first draw without contact would empty its buckets.
            control.learn(self.now, 0, &self.changes, planted);
        }
        self.control[place] = control;
    }
}

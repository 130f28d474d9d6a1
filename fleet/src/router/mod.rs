//! The role `router`: takes clients, decides, and relays the answers of model servers.
//!
//! One process on each edge machine, one thread, one loop over its sockets. It owns what joins the
//! parts below it, and promises what the rules ask of a router:
//!
//! - a request is read whole, gets its route from one configuration and keeps that one to its end
//!   (`intake`);
//! - it gets exactly one final answer, at the route's time-out at the latest; a refusal is a
//!   promise (`answers`);
//! - a stream is passed on as it comes, whole events only, and what ends early cannot look complete
//!   (`relay`);
//! - what control says is merged, never gone back on, and goes on to hold while control is away
//!   (`control_link`, `servers`);
//! - SIGTERM ends it only once all that was read is answered, within the grace (`shutdown`).
//!
//! | part | what |
//! | --- | --- |
//! | `clients`, `request` | connections of clients; requests as they are read and sent on |
//! | `server_connections`, `response` | connections to servers; answers as they are read |
//! | `exchange`, `ids` | the table of requests that are held; names of requests, services and attempts |
//! | `configuration`, `service` | routes; a service's core with the decision module |
//! | `intake`, `answers`, `relay`, `cut` | from a request to attempts; from attempts to an answer; streams; the end of one that can't be brought to its end |
//! | `control_link`, `candidates`, `servers` | the connection to control; what is known of servers |
//! | `backlog` | what waits at servers for this router, told to control |
//! | `tenants`, `freshness` | whose key a request bears, and what its quota says; how old that knowledge is |
//! | `counters` | what was turned away, and why |
//! | `readiness`, `shutdown`, `options` | the platform's question; the end; the settings |

mod answers;
mod backlog;
mod budget;
mod candidates;
mod clients;
mod configuration;
mod control_link;
mod counters;
mod cut;
mod error;
mod exchange;
mod freshness;
mod ids;
mod intake;
mod options;
mod prefix;
mod program;
mod ranks;
mod readiness;
mod relay;
mod request;
mod response;
mod server_connections;
mod servers;
mod service;
mod services;
mod shutdown;
mod tenants;

use crate::invariants::{self, Invariant};
use crate::settings::Settings;
use backlog::BacklogReports;
use candidates::Candidates;
use clients::{ClientEvent, Clients};
use configuration::{Configuration, InForce};
use control_link::{ControlLink, Identity, News};
use counters::Counters;
use exchange::Exchanges;
use freshness::Freshness;
use lichenswitch_interface::Time;
use lichenswitch_messages::{ServerRecord, TenantMessage};
use lichenswitch_net::ConnId;
use lichenswitch_quota::Allowances;
use options::Options;
use program::{after, Net, Owner, Signal, Timer};
use readiness::Readiness;
use server_connections::ServerConnections;
use servers::ServerTable;
use services::Services;
use shutdown::Shutdown;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tenants::AwaitingQuota;

pub use error::RouterError;

/// Connections set aside for the platform's questions and for control machines, each: a question
/// that finds none is a miss, and the platform may keep the connections of some questions open.
const SET_ASIDE: usize = 32;
/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(3);

/// Runs the role until the process is told to end. The settings are read again from `path`.
///
/// # Errors
/// A system call failed that it can't do without, or the settings lack what it needs.
pub fn run(settings: Settings, path: PathBuf) -> Result<(), RouterError> {
    let mut router = Router::new(&settings, Some(path))?;
    router.stop_on(signal(SIGTERM)?)?;
    router.reload_on(signal(SIGHUP)?)?;
    log::info!(node = settings.node_name.as_str(), frontend:% = router.frontend; "router listens");
    router.serve()
}

/// A stream that can be read once the signal has come.
fn signal(number: i32) -> std::io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(number, write)?;
    Ok(read)
}

/// A router.
pub struct Router {
    net: Net,
    options: Options,
    settings_file: Option<(PathBuf, Option<SystemTime>)>,
    frontend: SocketAddr,
    readiness_address: Option<SocketAddr>,
    rng: fastrand::Rng,
    configuration: Configuration,
    services: Services,
    servers: ServerTable,
    clients: Clients,
    client_events: Vec<ClientEvent>,
    connections: ServerConnections,
    exchanges: Exchanges,
    link: ControlLink,
    readiness: Readiness,
    shutdown: Option<Shutdown>,
    freshness: Freshness,
    allowances: Allowances<ConnId>,
    /// Requests that wait for their tenants' quotas, by client.
    awaiting_quota: HashMap<ConnId, AwaitingQuota>,
    counters: Counters,
    backlog_reports: BacklogReports,
    /// The next turn ends with a check of who waits.
    check_due: bool,
}

impl Router {
    /// A router that listens already; `file`: where its settings are read again.
    ///
    /// # Errors
    /// An address can't be listened on, or the settings lack what it needs.
    pub fn new(settings: &Settings, file: Option<PathBuf>) -> Result<Router, RouterError> {
        let options = Options::of(settings)?;
        let mut net = Net::new(options.capacity.descriptors)?;
        net.reserve_for_peers(SET_ASIDE);
        let mut rng = fastrand::Rng::new();
        let frontend = listen(&mut net, Owner::Client, options.frontend)?;
        let readiness_address = options
            .readiness
            .map(|address| listen(&mut net, Owner::Platform, address))
            .transpose()?;
        let identity = Identity {
            node: options.node.clone(),
            zone: options.zone.clone(),
            process: rng.u64(1..),
        };
        let candidates = Candidates::new(options.machine, options.seeds.clone());
        let link = ControlLink::new(net.clock.now(), identity, candidates)
            .with_forwarders(settings.forwarders.clone());
        net.wheel
            .set(after(net.clock.now(), SETTINGS_LOOK), Timer::Settings);
        Ok(Router {
            settings_file: file.map(|path| (path.clone(), modified(&path))),
            frontend,
            readiness_address,
            configuration: Configuration::default(),
            services: Services::new(rng.u64(..), options.capacity, options.budget),
            servers: ServerTable::new(&options.zone),
            clients: Clients::new(options.capacity.bytes),
            client_events: Vec::new(),
            connections: ServerConnections::default(),
            exchanges: Exchanges::default(),
            link,
            readiness: Readiness::default(),
            shutdown: None,
            freshness: Freshness::new(options.revocation),
            allowances: Allowances::new(options.quota, rng.u64(..)),
            awaiting_quota: HashMap::new(),
            counters: Counters::default(),
            backlog_reports: BacklogReports::default(),
            check_due: false,
            rng,
            net,
            options,
        })
    }

    /// Where clients connect, and where the platform asks: ports may have been chosen by the
    /// system.
    #[must_use]
    pub fn addresses(&self) -> (SocketAddr, Option<SocketAddr>) {
        (self.frontend, self.readiness_address)
    }

    /// Ends, once all is answered, when this stream can be read.
    ///
    /// # Errors
    /// The system can't watch it.
    pub fn stop_on(&mut self, signal: UnixStream) -> Result<(), RouterError> {
        Ok(self.net.watch_signal(Signal::Stop, signal)?)
    }

    /// Reads the settings again when this stream can be read.
    ///
    /// # Errors
    /// The system can't watch it.
    pub fn reload_on(&mut self, signal: UnixStream) -> Result<(), RouterError> {
        Ok(self.net.watch_signal(Signal::Reload, signal)?)
    }

    /// Serves until it has been told to end and all that was read is answered.
    ///
    /// # Errors
    /// The system can't wait for sockets any more.
    pub fn serve(&mut self) -> Result<(), RouterError> {
        self.look_at_control();
        loop {
            let ready = self.net.wait(self.services.next_turn())?;
            for ready in ready {
                match ready {
                    lichenswitch_net::Ready::Listener(owner) => self.accept(owner),
                    lichenswitch_net::Ready::Conn(id, owner) => self.ready(id, owner),
                    lichenswitch_net::Ready::Signal(signal) => self.signalled(signal),
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                self.timer(timer);
            }
            self.settle();
            if self.is_finished() {
                invariants::check(self.clients.waiting() == 0, Invariant::EndsAnswered);
                return Ok(());
            }
        }
    }

    /// Works off all that sockets and timers have brought: requests, answers, decisions.
    fn settle(&mut self) {
        loop {
            self.take_client_events();
            self.take_server_events();
            self.take_turns();
            self.tell_control_of_tenants();
            if self.client_events.is_empty() && !self.connections.has_events() {
                break;
            }
        }
        if self.check_due || cfg!(debug_assertions) {
            self.check_due = false;
            self.check_waiting();
        }
        if self.net.is_accept_paused() {
            self.net.resume_accepting();
        }
        if self.net.is_accept_paused() {
            self.clients.make_room(&mut self.net);
        }
    }

    /// Whoever has sent a whole request, and has no answer yet, is held. Checked at each turn where
    /// debug assertions are on, else now and then: it counts all connections.
    fn check_waiting(&self) {
        let held = self.exchanges.len() + self.awaiting_quota.len();
        invariants::check(self.clients.waiting() == held, Invariant::WaitingIsHeld);
    }

    fn accept(&mut self, owner: Owner) {
        match owner {
            Owner::Client => self.clients.accept(&mut self.net),
            Owner::Platform => self.readiness.accept(&mut self.net),
            Owner::Server | Owner::Control => {}
        }
    }

    fn ready(&mut self, id: lichenswitch_net::ConnId, owner: Owner) {
        match owner {
            Owner::Client => self
                .clients
                .ready(&mut self.net, id, &mut self.client_events),
            Owner::Platform => {
                let is_ready = self.is_ready();
                self.readiness.ready(&mut self.net, id, is_ready);
            }
            Owner::Server => self.connections.ready(&mut self.net, id),
            Owner::Control => {
                let news = self.link.ready(&mut self.net, id);
                self.take_news(news);
            }
        }
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Exchange(id) => self.overdue(id),
            Timer::Attempt(id) => self.timed_out(id),
            Timer::Client(id) => self
                .clients
                .timer(&mut self.net, id, &mut self.client_events),
            Timer::Platform(id) => self.readiness.timer(&mut self.net, id),
            Timer::Server(id) => self.connections.timer(&mut self.net, id),
            Timer::Waiting(id) => self.connections.waited(id),
            Timer::Control => self.look_at_control(),
            Timer::Quota => self.look_at_quota(),
            Timer::Backlog => self.report_backlog(),
            Timer::Settings => self.look_at_settings(),
            Timer::Shutdown => self.go_on_stopping(),
        }
    }

    fn signalled(&mut self, signal: Signal) {
        self.net.clear_signal(signal);
        match signal {
            Signal::Stop => self.stop(),
            Signal::Reload => self.reload(),
        }
    }

    /// Whether the platform may send clients.
    fn is_ready(&self) -> bool {
        let serves_keys = self.freshness.serves_keys(self.net.clock.now());
        let in_force = self.configuration.get();
        self.shutdown.is_none()
            && in_force.is_some_and(|it| serves_keys || it.document().tenants().is_none())
    }

    fn look_at_control(&mut self) {
        let news = self.link.look(&mut self.net);
        self.take_news(news);
    }

    /// Applies what control has said, and acknowledges it.
    fn take_news(&mut self, news: Vec<News>) {
        for news in news {
            match news {
                News::Configuration(position, document) => {
                    match InForce::parse(position, &document) {
                        Ok(new) => self.apply(new),
                        Err(e) => {
                            log::error!(position:? = position; "configuration can't be read: {e}")
                        }
                    }
                }
                News::Servers(records) => self.take_servers(&records),
                News::Routers(count) => self.services.set_routers(count),
                News::Tenant(message) => self.take_tenant_message(message),
                News::Backlog(report) => self.services.set_backlogs(&report),
            }
        }
        self.link.acknowledge(&mut self.net);
    }

    fn take_tenant_message(&mut self, message: TenantMessage) {
        match message {
            TenantMessage::Confirmed {
                sent_at_us: stamp,
                position,
            } => {
                // What can't be applied here leaves this router behind.
                if position.is_none_or(|position| self.link.has_applied(position)) {
                    self.freshness
                        .on_confirmed(self.net.clock.now(), Time(stamp));
                }
            }
            TenantMessage::LeaseResponse(answer) => self.on_drawn(answer),
            // Only control machines are asked.
            TenantMessage::Confirm { .. } | TenantMessage::LeaseRequest(_) => {}
        }
    }

    fn take_servers(&mut self, records: &[ServerRecord]) {
        let changes = self.servers.merge(records);
        for change in changes.iter().filter(|change| change.takes_nothing()) {
            self.connections
                .hold_back(&mut self.net, change.line.server);
        }
        self.services.listed(&changes);
        self.net.set_listed_nodes(self.servers.count());
    }

    fn apply(&mut self, new: InForce) {
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

    /// The file may have changed without a signal.
    fn look_at_settings(&mut self) {
        self.check_due = true;
        let changed = match &mut self.settings_file {
            Some((path, seen)) => {
                let now = modified(path);
                std::mem::replace(seen, now) != now
            }
            None => false,
        };
        if changed {
            self.reload();
        }
        self.net
            .wheel
            .set(after(self.net.clock.now(), SETTINGS_LOOK), Timer::Settings);
    }

    /// Reads the settings again: seeds and the further-try budget may have changed. A faulty file
    /// changes nothing.
    fn reload(&mut self) {
        let Some((path, seen)) = &mut self.settings_file else {
            return;
        };
        *seen = modified(path);
        match Settings::read(path)
            .map_err(|e| e.to_string())
            .and_then(|settings| Options::of(&settings).map_err(|e| e.to_string()))
        {
            Ok(options) => {
                self.link.set_seeds(options.seeds.clone());
                self.services.set_budget(options.budget);
                self.freshness.set_terms(options.revocation);
                self.allowances.set_bounds(options.quota);
                self.options.grace = options.grace;
                log::info!("settings read again");
            }
            Err(e) => log::warn!("settings stay as they were: {e}"),
        }
    }
}

fn modified(path: &std::path::Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

fn listen(net: &mut Net, owner: Owner, address: SocketAddr) -> Result<SocketAddr, RouterError> {
    net.listen(owner, address)
        .map_err(|source| RouterError::Listen { address, source })
}

//! The model servers of a day: they send heartbeats, serve streams, drain, deregister, crash, and
//! are replaced.

use crate::bounds::DRAIN_TIMEOUT;
use crate::journal::{Clock, ServerRecord};
use crate::plan::{Action, Profile, SERVERS};
use fastrand::Rng;
use lichenswitch_emulators::model_server::heartbeat::Registration;
use lichenswitch_emulators::model_server::{Fault, ModelServer, ServerDescription};
use lichenswitch_emulators::sync::lock;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The service of the first servers, and that of the others, which only some configurations have.
pub const SERVICES: [&str; 2] = ["pool-a", "pool-b"];
/// The number of servers of the first service.
const FIRST_SERVICE_SERVERS: usize = 4;
/// The number of zones over which servers are spread.
const ZONES: usize = 4;
/// Time between the events of a stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// `heartbeatIntervalMs`.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// A server that drains or deregisters waits this long for the acknowledgement, and then goes on
/// without it.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The threads of a server that has ended record the ends of their requests within this time.
const END_RECORDING_TIME: Duration = Duration::from_millis(200);
/// The share of responses that servers send once more on days of overload.
const REPEATED_RESPONSE_SHARE: f64 = 0.3;
/// On days of overload the servers of the second service run this many requests at a time, and
/// reject any more.
const OVERLOADED_SLOTS: usize = 4;
/// The number of requests that meet a fault by one [`Action::ServerFaults`].
const FAULTS_PER_ACTION: usize = 6;

/// A running server with its heartbeats.
struct RegisteredServer {
    server: ModelServer,
    registration: Registration,
}

/// The model servers: one runs for each index below [`SERVERS`] at any time.
pub struct Servers {
    control: Vec<SocketAddr>,
    clock: Clock,
    profile: Profile,
    /// The number of servers started so far.
    started_count: u64,
    running: Vec<RegisteredServer>,
    /// Threads that end replaced servers.
    departures: Vec<JoinHandle<()>>,
    ended: Arc<Mutex<Vec<ServerRecord>>>,
}

impl Servers {
    /// Starts the servers of a day of this profile, which register with these control machines.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub fn start(
        control: Vec<SocketAddr>,
        clock: Clock,
        profile: Profile,
    ) -> std::io::Result<Servers> {
        let mut servers = Servers {
            control,
            clock,
            profile,
            started_count: 0,
            running: Vec::new(),
            departures: Vec::new(),
            ended: Arc::default(),
        };
        for index in 0..SERVERS {
            let server = servers.start_server(index)?;
            servers.running.push(server);
        }
        Ok(servers)
    }

    fn start_server(&mut self, index: usize) -> std::io::Result<RegisteredServer> {
        self.started_count += 1;
        let service = SERVICES[usize::from(index >= FIRST_SERVICE_SERVERS)];
        let instance = format!("i-{index}-{}", self.started_count);
        let zone = format!("zone-{}", 1 + index % ZONES);
        let mut description = ServerDescription::new(&instance, service, &zone);
        description.event_interval = EVENT_INTERVAL;
        let is_overloaded = self.profile == Profile::Overload;
        if is_overloaded && service == SERVICES[1] {
            description.slots = OVERLOADED_SLOTS;
            description.queue_capacity = 0;
        }
        let server = ModelServer::start(description, SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        if is_overloaded {
            server.repeat_responses(REPEATED_RESPONSE_SHARE, self.started_count);
        }
        let registration = server.register(self.control.clone(), HEARTBEAT_INTERVAL);
        Ok(RegisteredServer {
            server,
            registration,
        })
    }

    /// Carries out an action on a server, and ignores actions on processes; `random` draws how long
    /// a server goes on serving after it drains or deregisters.
    ///
    /// # Errors
    /// When its successor can't be started.
    pub fn apply(&mut self, action: Action, random: &mut Rng) -> std::io::Result<()> {
        let serving_time = DRAIN_TIMEOUT + Duration::from_millis(random.u64(50..2_500));
        match action {
            Action::Drain(index) => self.replace(index, move |predecessor| {
                predecessor.registration.drain(ACKNOWLEDGEMENT_TIMEOUT);
                thread::sleep(serving_time);
                predecessor.registration.deregister(ACKNOWLEDGEMENT_TIMEOUT);
                predecessor.server
            }),
            Action::Deregister(index) => self.replace(index, move |predecessor| {
                predecessor.registration.deregister(ACKNOWLEDGEMENT_TIMEOUT);
                thread::sleep(serving_time);
                predecessor.server
            }),
            Action::Crash(index) => self.replace(index, |predecessor| predecessor.server),
            Action::ServerFaults(index, seed) => {
                let mut random = Rng::with_seed(seed);
                let server = &self.running[index].server;
                server.next_faults((0..FAULTS_PER_ACTION).map(|_| random_fault(&mut random)));
                Ok(())
            }
            Action::ServerResets(index) => {
                let fault = Some(Fault::ResetWhileReading);
                let server = &self.running[index].server;
                server.next_faults(std::iter::repeat_n(fault, FAULTS_PER_ACTION));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Starts a successor of a server, which ends once `depart` returns.
    fn replace(
        &mut self,
        index: usize,
        depart: impl FnOnce(RegisteredServer) -> ModelServer + Send + 'static,
    ) -> std::io::Result<()> {
        let successor = self.start_server(index)?;
        let predecessor = std::mem::replace(&mut self.running[index], successor);
        let (clock, ended) = (self.clock, self.ended.clone());
        self.departures.push(thread::spawn(move || {
            let server = depart(predecessor);
            let stopped = Some(clock.now());
            server.crash();
            thread::sleep(END_RECORDING_TIME);
            lock(&ended).push(record(&server, clock, stopped));
        }));
        Ok(())
    }

    /// Ends all servers, and returns what each observed.
    #[must_use]
    pub fn finish(self) -> Vec<ServerRecord> {
        for departure in self.departures {
            // A thread that panicked has printed why.
            drop(departure.join());
        }
        let mut records = std::mem::take(&mut *lock(&self.ended));
        records.extend(
            self.running
                .iter()
                .map(|running| record(&running.server, self.clock, None)),
        );
        records
    }
}

fn record(server: &ModelServer, clock: Clock, stopped: Option<Duration>) -> ServerRecord {
    ServerRecord {
        instance: server.description().instance.clone(),
        started: clock.at(server.ledger.started_at()),
        stopped,
        entries: server.ledger.all(),
    }
}

/// Draws the fault of a request; `None`: it meets none.
fn random_fault(random: &mut Rng) -> Option<Fault> {
    let after = random.u64(0..4);
    Some(match random.u32(0..10) {
        0 => Fault::TruncateAfter(after),
        1 => Fault::TruncateInside(after),
        2 => Fault::ResetAfter(after),
        3 => Fault::ResponseLost,
        4 => Fault::ClosedBeforeRun,
        5 => Fault::ExtraResponse,
        6 => Fault::ExtraBytes,
        7 => Fault::WrongId,
        8 => Fault::Rejected(503),
        _ => return None,
    })
}

//! The model servers of a day: they heartbeat, stream, leave, crash, and are replaced.

use crate::bounds::DRAIN_TIMEOUT;
use crate::journal::{Clock, ServerRecord};
use crate::plan::{Action, SERVERS};
use fastrand::Rng;
use lichenswitch_emulators::model_server::heartbeat::Registration;
use lichenswitch_emulators::model_server::{Fault, ModelServer, ServerDescription};
use lichenswitch_emulators::sync::lock;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The service of most of them, and that of the others, which comes and goes with the
/// configuration.
pub const SERVICES: [&str; 2] = ["pool-a", "pool-b"];
/// Servers of the first service.
const FIRST: usize = 4;
/// Between events of a stream.
pub const BETWEEN_EVENTS: Duration = Duration::from_millis(50);
/// `heartbeatIntervalMs`.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// A server that says that it leaves waits so long for the acknowledgement, and ends all the same.
const ACKNOWLEDGEMENT: Duration = Duration::from_secs(3);
/// Threads of a server that has ended note their ends within this.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Requests that meet a fault, in one trouble.
const FAULTS: usize = 6;

type Running = (ModelServer, Registration);

/// The servers.
pub struct Servers {
    control: Vec<SocketAddr>,
    clock: Clock,
    number: u64,
    running: Vec<Running>,
    leaving: Vec<JoinHandle<()>>,
    past: Arc<Mutex<Vec<ServerRecord>>>,
}

impl Servers {
    /// Starts them.
    ///
    /// # Errors
    /// When an address can't be listened on.
    pub fn start(control: Vec<SocketAddr>, clock: Clock) -> std::io::Result<Servers> {
        let (running, leaving) = (Vec::new(), Vec::new());
        let mut servers = Servers {
            control,
            clock,
            number: 0,
            running,
            leaving,
            past: Arc::default(),
        };
        for order_index in 0..SERVERS {
            let server = servers.one(order_index)?;
            servers.running.push(server);
        }
        Ok(servers)
    }

    fn one(&mut self, order_index: usize) -> std::io::Result<Running> {
        self.number += 1;
        let service = SERVICES[usize::from(order_index >= FIRST)];
        let name = format!("i-{order_index}-{}", self.number);
        let mut description =
            ServerDescription::new(&name, service, &format!("zone-{}", 1 + order_index % 4));
        description.event_interval = BETWEEN_EVENTS;
        let server = ModelServer::start(description, SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let registration = server.register(self.control.clone(), HEARTBEAT);
        Ok((server, registration))
    }

    /// Does what is to be done to a server; `random` draws how long it serves on.
    ///
    /// # Errors
    /// When its successor can't be started.
    pub fn act(&mut self, action: Action, random: &mut Rng) -> std::io::Result<()> {
        let on = DRAIN_TIMEOUT + Duration::from_millis(random.u64(50..2_500));
        match action {
            Action::Drain(order_index) => {
                self.replace(order_index, move |(server, registration)| {
                    registration.drain(ACKNOWLEDGEMENT);
                    thread::sleep(on);
                    registration.deregister(ACKNOWLEDGEMENT);
                    server
                })
            }
            Action::Deregister(order_index) => {
                self.replace(order_index, move |(server, registration)| {
                    registration.deregister(ACKNOWLEDGEMENT);
                    thread::sleep(on);
                    server
                })
            }
            Action::Crash(order_index) => self.replace(order_index, |(server, _)| server),
            Action::ServerFaults(order_index, seed) => {
                let mut random = Rng::with_seed(seed);
                let server = &self.running[order_index].0;
                server.next_faults((0..FAULTS).map(|_| fault(&mut random)));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Starts a successor; the server ends once `leave` is through.
    fn replace(
        &mut self,
        order_index: usize,
        leave: impl FnOnce(Running) -> ModelServer + Send + 'static,
    ) -> std::io::Result<()> {
        let successor = self.one(order_index)?;
        let leaver = std::mem::replace(&mut self.running[order_index], successor);
        let (clock, past) = (self.clock, self.past.clone());
        self.leaving.push(thread::spawn(move || {
            let server = leave(leaver);
            let stopped = Some(clock.now());
            server.crash();
            thread::sleep(SETTLE_TIME);
            lock(&past).push(record(&server, clock, stopped));
        }));
        Ok(())
    }

    /// Ends them all, and tells what each saw.
    #[must_use]
    pub fn finish(self) -> Vec<ServerRecord> {
        // A thread that panicked has said so.
        self.leaving
            .into_iter()
            .for_each(|leaving| drop(leaving.join()));
        let mut records = std::mem::take(&mut *lock(&self.past));
        records.extend(
            self.running
                .iter()
                .map(|(server, _)| record(server, self.clock, None)),
        );
        records
    }
}

fn record(server: &ModelServer, clock: Clock, stopped: Option<Duration>) -> ServerRecord {
    ServerRecord {
        instance: server.description().instance.clone(),
        began: clock.at(server.ledger.started_at()),
        stopped,
        entries: server.ledger.all(),
    }
}

fn fault(random: &mut Rng) -> Option<Fault> {
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

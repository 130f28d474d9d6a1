//! A day: the fleet and the world around it are started, the plan is played, and at its end all is
//! read back.

use crate::bounds::{CONTACT, MACHINES, RECOVERY};
use crate::clients::{Clients, HABITS};
use crate::journal::{Clock, Journal, ProcessFault, ReadRecord};
use crate::operators::Operators;
use crate::plan::{Action, Plan};
use crate::processes::Processes;
use crate::servers::Servers;
use fastrand::Rng;
use lichenswitch_emulators::fleet_processes::{FleetError, Role};
use lichenswitch_emulators::stream_client::message::Call;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, Scope, ScopedJoinHandle};
use std::time::Duration;
use thiserror::Error;

/// How often the day looks what is due.
const LOOK: Duration = Duration::from_millis(2);
/// A fleet is up in this time.
const START: Duration = Duration::from_secs(15);
/// The final fault waits so long for an acknowledgement.
const ACKNOWLEDGEMENT: Duration = Duration::from_secs(4);
/// Traffic goes on so long after the final fault's restarts.
const AFTERWARDS: Duration = Duration::from_secs(3);
/// Between two requests that show whether a router serves again.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Rests between an operator's orders, at most: of the one who always works, and of the one who at
/// times races it.
const RESTS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_500)];

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum DayError {
    /// The fleet or the system under it.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// A stand-in or the folder for logs could not be used.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The fleet did not come up.
    #[error("the fleet did not come up: {0}")]
    NotUp(&'static str),
    /// The soak was told to end.
    #[error("it was told to end")]
    Interrupted,
}

/// What a day is played with.
#[derive(Clone, Copy, Debug)]
pub struct Stage<'a> {
    /// The program.
    pub program: &'a Path,
    /// Text at the end of each of its settings files.
    pub more_settings: &'a str,
    /// Folder for the logs of its processes.
    pub logs: &'a Path,
}

/// Plays a day with this program, and leaves the logs of its processes in this folder. It ends
/// early once `interrupted` is set.
///
/// # Errors
/// When it can't be played.
pub fn play(plan: &Plan, stage: Stage<'_>, interrupted: &AtomicBool) -> Result<Journal, DayError> {
    std::fs::create_dir_all(stage.logs)?;
    let clock = Clock::start();
    let mut processes = Processes::start(stage.program, stage.more_settings, clock)?;
    let outside = play_with(plan, clock, &mut processes, interrupted);
    processes.copy_logs(stage.logs)?;
    let mut outside = outside?;
    let inside = processes.finish();
    outside.process_faults.extend(inside.process_faults);
    Ok(Journal {
        faults: inside.faults,
        ..outside
    })
}

/// What clients, operators and servers saw.
fn play_with(
    plan: &Plan,
    clock: Clock,
    processes: &mut Processes,
    interrupted: &AtomicBool,
) -> Result<Journal, DayError> {
    let fleet = processes.fleet();
    let (control, readiness) = (fleet.control(), fleet.readiness());
    let clients = Clients::new(clock, fleet.fronts());
    let operators = Operators::new(clock, control.clone());
    let servers = Servers::start(control, clock)?;
    begin(clock, &operators, &readiness)?;
    let (random, faults) = (Rng::with_seed(!plan.seed), Vec::new());
    let (isolated, operators) = (None, &operators);
    let mut day = Day {
        plan,
        clock,
        random,
        servers,
        processes,
        faults,
        interrupted,
        isolated,
        operators,
    };
    let played = thread::scope(|scope| {
        let played = day.play(scope, &clients, operators, &readiness);
        // Whatever happened, the threads end.
        operators.stop();
        clients.stop();
        played
    });
    let (final_reads, servers, process_faults) = (played?, day.servers.finish(), day.faults);
    let (orders, reads) = operators.records();
    let (faults, client_requests) = (Vec::new(), clients.client_requests());
    Ok(Journal {
        faults,
        client_requests,
        servers,
        orders,
        reads,
        final_reads,
        process_faults,
    })
}

/// Brings the first configuration, and waits for all routers.
fn begin(clock: Clock, operators: &Operators, readiness: &[SocketAddr]) -> Result<(), DayError> {
    if !operators.begin(START) {
        return Err(DayError::NotUp(
            "the first configuration was not acknowledged",
        ));
    }
    let is_ready = |address: &SocketAddr| {
        let answer = Call::get("/readiness").send(*address, Duration::from_millis(300));
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    while !readiness.iter().all(is_ready) {
        if clock.now() > START {
            return Err(DayError::NotUp("a router was not ready"));
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

struct Day<'a> {
    plan: &'a Plan,
    clock: Clock,
    random: Rng,
    servers: Servers,
    processes: &'a mut Processes,
    faults: Vec<ProcessFault>,
    interrupted: &'a AtomicBool,
    /// The primary, if the others were frozen for its sake.
    isolated: Option<usize>,
    operators: &'a Operators,
}

/// Where the primary is, by the status of a control machine.
fn primary_reported_by(address: SocketAddr) -> Option<IpAddr> {
    let status = Call::get("/status")
        .send(address, Duration::from_millis(300))
        .ok()?;
    let status: serde_json::Value = serde_json::from_slice(&status.body).ok()?;
    let primary: SocketAddr = status["group"]["primary"].as_str()?.parse().ok()?;
    Some(primary.ip())
}

impl Day<'_> {
    /// Plays the plan; tells what was read back at the end.
    fn play<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        clients: &'scope Clients,
        operators: &'scope Operators,
        readiness: &[SocketAddr],
    ) -> Result<Vec<ReadRecord>, DayError> {
        let changes = self.start_world(scope, clients, operators, readiness);
        let begun = self.clock.now();
        let plan = self.plan;
        for (at, action) in &plan.actions {
            self.go_on_until(|day| day.clock.now() >= begun + *at)?;
            self.act(*action)?;
        }
        self.go_on_until(|day| day.clock.now() >= begun + plan.length)?;
        if let Some(fault) = plan.final_fault {
            let (before, until) = (operators.acknowledged(), self.clock.now() + ACKNOWLEDGEMENT);
            self.go_on_until(|day| operators.acknowledged() > before || day.clock.now() > until)?;
            self.act(fault)?;
        }
        operators.stop();
        // What is under way may still be acknowledged: it is read back too.
        let is_over = |day: &Self| {
            day.processes.is_calm() && changes.iter().all(ScopedJoinHandle::is_finished)
        };
        self.go_on_until(is_over)?;
        let calm = self.clock.now();
        let reads = self.read_back(scope, operators)?;
        self.look_for_service(scope, clients)?;
        self.go_on_until(|day| day.clock.now() >= calm + AFTERWARDS)?;
        Ok(reads)
    }

    /// Starts clients and operators; tells the threads of those who change the configuration.
    fn start_world<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        clients: &'scope Clients,
        operators: &'scope Operators,
        readiness: &[SocketAddr],
    ) -> Vec<ScopedJoinHandle<'scope, ()>> {
        for (machine, address) in readiness.iter().copied().enumerate() {
            scope.spawn(move || clients.watch(machine, address));
        }
        for habit in HABITS {
            let mut random = self.random.fork();
            scope.spawn(move || clients.query(habit, &mut random));
        }
        let mut random = self.random.fork();
        scope.spawn(move || operators.read(&mut random));
        let change = |rest| {
            let mut random = self.random.fork();
            scope.spawn(move || operators.change(rest, &mut random))
        };
        RESTS.map(change).into()
    }

    fn act(&mut self, action: Action) -> Result<(), DayError> {
        let action = match (action, self.isolated) {
            (Action::IsolatePrimary(time), _) => return self.isolate_primary(time),
            (Action::CutPrimary(time), _) => {
                if let Some(primary) = self.primary() {
                    self.processes.cut(&[primary], time);
                    self.operators.generate_until(primary, time);
                }
                return Ok(());
            }
            (Action::CutHalves(machine, time), _) => {
                self.processes
                    .cut(&[machine, (machine + 1) % MACHINES], time);
                return Ok(());
            }
            (Action::KillAll(Some(_), rest), Some(machine)) => Action::KillAll(Some(machine), rest),
            _ => action,
        };
        if !self.processes.act(action)? {
            self.servers.act(action, &mut self.random)?;
        }
        Ok(())
    }

    /// The machine of the primary, as far as anybody tells.
    fn primary(&self) -> Option<usize> {
        let control = self.processes.fleet().control();
        let primary = control
            .iter()
            .find_map(|address| primary_reported_by(*address));
        control
            .iter()
            .position(|address| Some(address.ip()) == primary)
    }

    fn isolate_primary(&mut self, time: Duration) -> Result<(), DayError> {
        self.isolated = self.primary();
        if let Some(primary) = self.isolated {
            for other in (0..MACHINES).filter(|other| *other != primary) {
                self.processes
                    .act(Action::ProcessPause((Role::Control, other), time))?;
            }
        }
        Ok(())
    }

    fn go_on_until(&mut self, over: impl Fn(&Self) -> bool) -> Result<(), DayError> {
        while !over(self) {
            if self.interrupted.load(Ordering::SeqCst) {
                return Err(DayError::Interrupted);
            }
            self.processes.tick()?;
            thread::sleep(LOOK);
        }
        Ok(())
    }

    fn read_back<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        operators: &'scope Operators,
    ) -> Result<Vec<ReadRecord>, DayError> {
        let read = |machine| scope.spawn(move || operators.read_back(machine, RECOVERY + CONTACT));
        let reads = self.query_each(read)?;
        let missing = (0..MACHINES).filter(|machine| reads[*machine].is_none());
        self.faults.extend(missing.map(ProcessFault::NotReadBack));
        Ok(reads.into_iter().flatten().collect())
    }

    fn look_for_service<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        clients: &'scope Clients,
    ) -> Result<(), DayError> {
        let until = self.clock.now() + RECOVERY;
        let clock = self.clock;
        let served = self.query_each(|machine| {
            scope.spawn(move || {
                let mut served = clients.is_served_by(machine);
                while !served && clock.now() < until {
                    thread::sleep(PROBE_INTERVAL);
                    served = clients.is_served_by(machine);
                }
                served
            })
        })?;
        let missing = (0..MACHINES).filter(|machine| !served[*machine]);
        self.faults.extend(missing.map(ProcessFault::NotServing));
        Ok(())
    }

    /// Asks each machine something on a thread of its own, and goes on meanwhile.
    fn query_each<'scope, T: Default>(
        &mut self,
        query: impl Fn(usize) -> ScopedJoinHandle<'scope, T>,
    ) -> Result<Vec<T>, DayError> {
        let queried: Vec<_> = (0..MACHINES).map(query).collect();
        self.go_on_until(|_| queried.iter().all(ScopedJoinHandle::is_finished))?;
        // A thread that panicked has said so, and found nothing.
        Ok(queried
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect())
    }
}

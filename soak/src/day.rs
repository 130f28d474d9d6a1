//! A day: the fleet and the systems around it are started, the plan is carried out, and at the end
//! everything is read back.

use crate::bounds::{CONTACT, RECOVERY};
use crate::clients::{workloads, Clients, ConnectionUse};
use crate::journal::{Clock, Journal, ProcessFault, ReadRecord};
use crate::operators::Operators;
use crate::plan::{Action, Plan, Profile};
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

/// Interval at which the day checks what is due.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A fleet has started within this time.
const START_TIMEOUT: Duration = Duration::from_secs(15);
/// The final fault waits this long for an acknowledgement.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Traffic goes on for this long after the restarts that follow the final fault.
const FINAL_TRAFFIC: Duration = Duration::from_secs(3);
/// Time between two requests that check whether a router serves again.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A call for the status or the readiness of a process ends after this.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest delays between orders: of the operator that always changes the configuration, and of
/// the one that at times races it.
const MAX_ORDER_DELAYS: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_500)];

/// The same on days with a long configuration, which takes longer to apply.
const MAX_LONG_ORDER_DELAYS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(6)];

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum DayError {
    /// The fleet or the system under it.
    #[error("{0}")]
    Fleet(#[from] FleetError),
    /// An emulator or the folder for logs could not be used.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// The fleet did not start.
    #[error("the fleet did not come up: {0}")]
    NotStarted(&'static str),
    /// The soak got a signal to end.
    #[error("it was told to end")]
    Interrupted,
}

/// The program that a day is run with, and the folder for its logs.
#[derive(Clone, Copy, Debug)]
pub struct DaySettings<'a> {
    /// The program.
    pub program: &'a Path,
    /// Text at the end of each of its settings files.
    pub more_settings: &'a str,
    /// The folder to which the logs of its processes are copied.
    pub logs: &'a Path,
}

/// Runs a day by a plan, and returns its journal. It ends early once `interrupted` is set.
///
/// # Errors
/// When it can't be run to its end; the logs are copied then, too, if the fleet was started.
pub fn run_day(
    plan: &Plan,
    settings: DaySettings<'_>,
    interrupted: &AtomicBool,
) -> Result<Journal, DayError> {
    std::fs::create_dir_all(settings.logs)?;
    let clock = Clock::start();
    let mut processes = Processes::start(
        settings.program,
        settings.more_settings,
        clock,
        plan.machines,
    )?;
    let observed = run_with(plan, clock, &mut processes, interrupted);
    processes.copy_logs(settings.logs)?;
    let mut observed = observed?;
    let of_processes = processes.finish();
    observed.process_faults.extend(of_processes.process_faults);
    Ok(Journal {
        faults: of_processes.faults,
        ..observed
    })
}

/// Runs a day with these processes, and returns what clients, operators and servers observed.
fn run_with(
    plan: &Plan,
    clock: Clock,
    processes: &mut Processes,
    interrupted: &AtomicBool,
) -> Result<Journal, DayError> {
    let fleet = processes.fleet();
    let (control, readiness) = (fleet.control(), fleet.readiness());
    let connection_use = match plan.profile {
        Profile::Mixed => ConnectionUse::Limited,
        Profile::Series | Profile::Overload => ConnectionUse::UntilClosed,
    };
    let is_overload = plan.profile == Profile::Overload;
    let mut clients = Clients::new(clock, fleet.fronts(), connection_use, is_overload);
    let mut operators = Operators::new(clock, control.clone(), is_overload);
    let servers = Servers::start(control, clock, plan.profile)?;
    wait_until_started(clock, &operators, &readiness)?;
    if plan.has_long_configuration {
        let acknowledged_at =
            operators
                .send_long_routes(START_TIMEOUT)
                .ok_or(DayError::NotStarted(
                    "a long configuration was not acknowledged",
                ))?;
        clients.set_long_routes_acknowledged_at(acknowledged_at);
    }
    let (clients, operators) = (clients, operators);
    let mut day = Day {
        plan,
        clock,
        random: Rng::with_seed(!plan.seed),
        servers,
        processes,
        clients: &clients,
        operators: &operators,
        isolated_primary: None,
        faults: Vec::new(),
        interrupted,
    };
    let final_reads = thread::scope(|scope| {
        let final_reads = day.run(scope, &readiness);
        // The threads end, whatever the result.
        operators.stop();
        clients.stop();
        final_reads
    })?;
    Ok(Journal {
        faults: Vec::new(),
        client_requests: clients.client_requests(),
        servers: day.servers.finish(),
        orders: operators.orders(),
        reads: operators.reads(),
        final_reads,
        process_faults: day.faults,
    })
}

/// Orders the first configuration, and waits until all routers are ready.
fn wait_until_started(
    clock: Clock,
    operators: &Operators,
    readiness: &[SocketAddr],
) -> Result<(), DayError> {
    if !operators.send_first_order(START_TIMEOUT) {
        return Err(DayError::NotStarted(
            "the first configuration was not acknowledged",
        ));
    }
    let is_ready = |address: &SocketAddr| {
        let response = Call::get("/readiness").send(*address, CALL_TIMEOUT);
        response.is_ok_and(|response| response.status() == 200)
    };
    while !readiness.iter().all(is_ready) {
        if clock.now() > START_TIMEOUT {
            return Err(DayError::NotStarted("a router was not ready"));
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// A day that runs.
struct Day<'a> {
    plan: &'a Plan,
    clock: Clock,
    random: Rng,
    servers: Servers,
    processes: &'a mut Processes,
    clients: &'a Clients,
    operators: &'a Operators,
    /// The machine of the primary, if it was isolated from the others.
    isolated_primary: Option<usize>,
    /// What machines lacked at the end.
    faults: Vec<ProcessFault>,
    interrupted: &'a AtomicBool,
}

/// The address of the primary by the status of a control machine.
fn primary_reported_by(control: SocketAddr) -> Option<IpAddr> {
    let status = Call::get("/status").send(control, CALL_TIMEOUT).ok()?;
    let status: serde_json::Value = serde_json::from_slice(&status.body).ok()?;
    let primary: SocketAddr = status["group"]["primary"].as_str()?.parse().ok()?;
    Some(primary.ip())
}

impl<'a> Day<'a> {
    /// Carries out the plan, and returns what was read back at the end.
    fn run<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        readiness: &[SocketAddr],
    ) -> Result<Vec<ReadRecord>, DayError>
    where
        'a: 'scope,
    {
        let order_threads = self.start_traffic(scope, readiness);
        self.apply_plan()?;
        self.operators.stop();
        // Orders in flight may still be acknowledged: they are read back, too.
        self.wait_until(|day| {
            day.processes.is_idle() && order_threads.iter().all(ScopedJoinHandle::is_finished)
        })?;
        let idle_at = self.clock.now();
        let reads = self.read_back(scope)?;
        self.check_service(scope)?;
        self.wait_until(|day| day.clock.now() >= idle_at + FINAL_TRAFFIC)?;
        Ok(reads)
    }

    /// Starts clients and operators; returns the threads of the operators that send orders.
    fn start_traffic<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
        readiness: &[SocketAddr],
    ) -> Vec<ScopedJoinHandle<'scope, ()>>
    where
        'a: 'scope,
    {
        let (clients, operators) = (self.clients, self.operators);
        for (machine, address) in readiness.iter().copied().enumerate() {
            scope.spawn(move || clients.watch_readiness(machine, address));
        }
        for (client, workload) in workloads(self.plan).into_iter().enumerate() {
            let mut random = self.random.fork();
            scope.spawn(move || clients.send_requests(client, workload, &mut random));
        }
        let mut random = self.random.fork();
        scope.spawn(move || operators.read(&mut random));
        let send_orders = |max_delay| {
            let mut random = self.random.fork();
            scope.spawn(move || operators.send_orders(max_delay, &mut random))
        };
        match self.plan.has_long_configuration {
            true => MAX_LONG_ORDER_DELAYS.map(send_orders).into(),
            false => MAX_ORDER_DELAYS.map(send_orders).into(),
        }
    }

    /// Carries out the actions of the plan at their times, and its final fault.
    fn apply_plan(&mut self) -> Result<(), DayError> {
        let plan = self.plan;
        let started_at = self.clock.now();
        for (at, action) in &plan.actions {
            self.wait_until(|day| day.clock.now() >= started_at + *at)?;
            self.apply(*action)?;
        }
        self.wait_until(|day| day.clock.now() >= started_at + plan.length)?;
        let Some(fault) = plan.final_fault else {
            return Ok(());
        };
        let acknowledged_count = self.operators.acknowledged_count();
        let deadline = self.clock.now() + ACKNOWLEDGEMENT_TIMEOUT;
        self.wait_until(|day| {
            day.operators.acknowledged_count() > acknowledged_count || day.clock.now() > deadline
        })?;
        self.apply(fault)
    }

    fn apply(&mut self, action: Action) -> Result<(), DayError> {
        let action = match (action, self.isolated_primary) {
            (Action::IsolatePrimary(time), _) => return self.isolate_primary(time),
            (Action::PartitionPrimary(time), _) => {
                self.partition_primary(time);
                return Ok(());
            }
            (Action::PartitionHalves(machine, time), _) => {
                let half = [machine, (machine + 1) % self.plan.machines];
                self.processes.partition(&half, time);
                return Ok(());
            }
            (Action::KillAll(Some(_), restart_delay), Some(primary)) => {
                Action::KillAll(Some(primary), restart_delay)
            }
            _ => action,
        };
        if !self.processes.apply(action)? {
            self.servers.apply(action, &mut self.random)?;
        }
        Ok(())
    }

    /// The machine of the primary, by the first control machine that reports one.
    fn primary(&self) -> Option<usize> {
        let control = self.processes.fleet().control();
        let primary = control
            .iter()
            .find_map(|address| primary_reported_by(*address));
        control
            .iter()
            .position(|address| Some(address.ip()) == primary)
    }

    /// Partitions the primary from the other control machines; orders go to it first meanwhile.
    fn partition_primary(&mut self, time: Duration) {
        if let Some(primary) = self.primary() {
            self.processes.partition(&[primary], time);
            self.operators.prefer_machine(primary, time);
        }
    }

    /// Pauses all control processes but that of the primary.
    fn isolate_primary(&mut self, time: Duration) -> Result<(), DayError> {
        self.isolated_primary = self.primary();
        if let Some(primary) = self.isolated_primary {
            for other in (0..self.plan.machines).filter(|other| *other != primary) {
                self.processes
                    .apply(Action::Pause((Role::Control, other), time))?;
            }
        }
        Ok(())
    }

    /// Keeps the processes going until a condition is met.
    fn wait_until(&mut self, is_met: impl Fn(&Self) -> bool) -> Result<(), DayError> {
        while !is_met(self) {
            if self.interrupted.load(Ordering::SeqCst) {
                return Err(DayError::Interrupted);
            }
            self.processes.tick()?;
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Reads the configuration back from each machine.
    fn read_back<'scope>(
        &mut self,
        scope: &'scope Scope<'scope, '_>,
    ) -> Result<Vec<ReadRecord>, DayError>
    where
        'a: 'scope,
    {
        let operators = self.operators;
        let reads = self.on_each_machine(|machine| {
            scope.spawn(move || operators.read_back(machine, RECOVERY + CONTACT))
        })?;
        let missing = (0..self.plan.machines).filter(|machine| reads[*machine].is_none());
        self.faults.extend(missing.map(ProcessFault::NotReadBack));
        Ok(reads.into_iter().flatten().collect())
    }

    /// Checks that each machine serves a request within `recoveryS`.
    fn check_service<'scope>(&mut self, scope: &'scope Scope<'scope, '_>) -> Result<(), DayError>
    where
        'a: 'scope,
    {
        let (clients, clock) = (self.clients, self.clock);
        let deadline = clock.now() + RECOVERY;
        let is_served = self.on_each_machine(|machine| {
            scope.spawn(move || {
                let mut is_served = clients.is_served_by(machine);
                while !is_served && clock.now() < deadline {
                    thread::sleep(SERVICE_CHECK_INTERVAL);
                    is_served = clients.is_served_by(machine);
                }
                is_served
            })
        })?;
        let missing = (0..self.plan.machines).filter(|machine| !is_served[*machine]);
        self.faults.extend(missing.map(ProcessFault::NotServing));
        Ok(())
    }

    /// Runs a thread for each machine, and returns their results in the order of the machines.
    fn on_each_machine<'scope, T: Default>(
        &mut self,
        spawn: impl Fn(usize) -> ScopedJoinHandle<'scope, T>,
    ) -> Result<Vec<T>, DayError> {
        let threads: Vec<_> = (0..self.plan.machines).map(spawn).collect();
        self.wait_until(|_| threads.iter().all(ScopedJoinHandle::is_finished))?;
        // A thread that panicked has printed why, and has no result.
        Ok(threads
            .into_iter()
            .map(|thread| thread.join().unwrap_or_default())
            .collect())
    }
}

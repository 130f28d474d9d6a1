//! A fleet from its first start to its end, in one call: three machines, four model servers, a
//! configuration, a stream, the status, and nothing left behind. It is what `lichenswitch-demo`
//! shows, and a test from end to end.

use super::{FleetError, FleetProcesses, StartedProcess, ROLES};
use crate::model_server::{ModelServer, ServerDescription};
use crate::operator::document::{replace, Route};
use crate::operator::{Operator, Order, Outcome, Verb};
use crate::stream_client::message::Call;
use crate::stream_client::{StreamFault, StreamRequest, StreamedResponse};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Machines of the fleet.
const MACHINE_COUNT: usize = 3;
/// Model servers.
const SERVER_COUNT: usize = 4;
/// Time for all steps up to the end of the stream; with the last step's overrun, the status and the
/// grace, a demonstration stays below 20 s.
const STREAM_TIMEOUT: Duration = Duration::from_secs(13);
/// Time without a byte that ends an attempt.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// `Deadline-Ms` of each attempt.
const DEADLINE_MS: u64 = 1_500;
/// Time for processes to end on SIGTERM: `gracePeriodS` of their settings, and a little more.
const STOP_GRACE: Duration = Duration::from_millis(2_200);
/// Delay between two attempts or readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Lines of each log that are shown after a failure.
const SHOWN_LOG_LINES: usize = 5;
/// Tokens that the stream generates.
const OUTPUT_TOKENS: u32 = 32;

/// Why a demonstration failed.
#[derive(Debug, Error)]
pub enum DemonstrationError {
    /// The fleet or the system under it.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// An emulator or the output could not be used.
    #[error(transparent)]
    System(#[from] std::io::Error),
    /// The first configuration was not acknowledged.
    #[error("the first configuration was not taken: {0:?}")]
    Configuration(Outcome),
    /// No stream was served; the result of the last attempt.
    #[error("no stream was served; the last try: {0}")]
    NotServed(String),
    /// The stream breaks rules.
    #[error("the stream breaks rules: {0:?}")]
    RuleViolations(Vec<StreamFault>),
}

/// Shows a fleet of this program on `out`, and stops all that it started; takes less than 20 s,
/// whatever happens.
///
/// # Errors
/// With the first thing that failed; the ends of the logs are shown and all processes are stopped
/// then, too.
pub fn run(program: &Path, out: &mut impl Write) -> Result<(), DemonstrationError> {
    let mut fleet = FleetProcesses::new(program, MACHINE_COUNT)?;
    let shown = run_steps(&mut fleet, out);
    if shown.is_err() {
        show_logs(&fleet, out)?;
    }
    let killed = fleet.stop_all(STOP_GRACE);
    writeln!(
        out,
        "stopped all processes; {killed} had to be killed after {} ms",
        STOP_GRACE.as_millis()
    )?;
    shown
}

fn run_steps(fleet: &mut FleetProcesses, out: &mut impl Write) -> Result<(), DemonstrationError> {
    let deadline = Instant::now() + STREAM_TIMEOUT;
    let servers = start_servers()?;
    fleet.start_all()?;
    writeln!(
        out,
        "started {MACHINE_COUNT} control and {MACHINE_COUNT} router processes, and {SERVER_COUNT} model servers"
    )?;
    for StartedProcess { role, machine, id } in fleet.started() {
        let address = fleet.addresses.machines[machine];
        writeln!(out, "  {role} {machine}: process {id} at {address}")?;
    }
    let interval = Duration::from_millis(400);
    let _registrations: Vec<_> = servers
        .iter()
        .map(|server| server.register(fleet.control(), interval))
        .collect();
    send_configuration(fleet, deadline, out)?;
    let router = wait_for_ready_router(fleet, deadline)?;
    writeln!(out, "the router at {router} is ready")?;
    let streamed = serve_stream(fleet, deadline, out)?;
    let (events, seal) = (
        streamed.events.len(),
        streamed.head.field("response-seal").unwrap_or("none"),
    );
    writeln!(out, "served: {events} events, Response-Seal {seal}")?;
    print_status(fleet, out)
}

/// The last lines of each process's log.
fn show_logs(fleet: &FleetProcesses, out: &mut impl Write) -> std::io::Result<()> {
    for (role, machine) in (0..MACHINE_COUNT).flat_map(|machine| ROLES.map(|role| (role, machine)))
    {
        let log = std::fs::read_to_string(fleet.log(role, machine)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        writeln!(
            out,
            "{role} {machine} said {} lines, at the end:",
            lines.len()
        )?;
        for line in lines.iter().rev().take(SHOWN_LOG_LINES).rev() {
            writeln!(out, "  {line}")?;
        }
    }
    Ok(())
}

fn start_servers() -> std::io::Result<Vec<ModelServer>> {
    let start = |number: usize| {
        let (instance, zone) = (
            format!("i-demo-{number}"),
            format!("zone-{}", 1 + number % MACHINE_COUNT),
        );
        ModelServer::start(
            ServerDescription::new(&instance, "model", &zone),
            SocketAddr::from(([127, 0, 0, 1], 0)),
        )
    };
    (0..SERVER_COUNT).map(start).collect()
}

fn send_configuration(
    fleet: &mut FleetProcesses,
    deadline: Instant,
    out: &mut impl Write,
) -> Result<(), DemonstrationError> {
    let operator = Operator::new(fleet.control());
    let body = replace(
        1,
        &[Route::new("r-help", "help.example", "/help/", "model")],
    );
    let order = Order {
        verb: Verb::Replace,
        base: 0,
        body,
    };
    let (began, mut outcome) = (Instant::now(), Outcome::Unclear);
    // In short spans, so that a process that has ended is reported at once.
    while outcome == Outcome::Unclear && Instant::now() < deadline {
        fleet.check()?;
        outcome = operator.send(&order, 0, Duration::from_millis(500));
    }
    if outcome != Outcome::Acknowledged {
        return Err(DemonstrationError::Configuration(outcome));
    }
    writeln!(
        out,
        "configuration 1 acknowledged after {} ms",
        began.elapsed().as_millis()
    )?;
    Ok(())
}

/// Waits for the first router that is ready, and returns its address for clients.
fn wait_for_ready_router(
    fleet: &mut FleetProcesses,
    deadline: Instant,
) -> Result<SocketAddr, DemonstrationError> {
    while Instant::now() < deadline {
        fleet.check()?;
        for (readiness, front) in fleet.readiness().into_iter().zip(fleet.fronts()) {
            let response = Call::get("/readiness").send(readiness, Duration::from_millis(200));
            if response.is_ok_and(|response| response.status() == 200) {
                return Ok(front);
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(FleetError::Timeout("no router became ready").into())
}

fn serve_stream(
    fleet: &mut FleetProcesses,
    deadline: Instant,
    out: &mut impl Write,
) -> Result<StreamedResponse, DemonstrationError> {
    let (mut last, fronts) = (String::from("none was made"), fleet.fronts());
    for turn in 0.. {
        if Instant::now() >= deadline {
            break;
        }
        fleet.check()?;
        let attempt = format!(
            "{:016x}",
            0x9c41_d07b_e2a3_5f68_u64.wrapping_add(turn as u64)
        );
        let mut request = StreamRequest::new("help.example", "/help/1", &attempt, OUTPUT_TOKENS);
        request.deadline_ms = DEADLINE_MS;
        let mut written = Ok(());
        let on_event = |event: &crate::stream_client::Event| {
            let id = event.id.unwrap_or(0);
            let line = writeln!(
                out,
                "  {:4} ms  event {id}: {}",
                event.at.as_millis(),
                event.data
            );
            written = std::mem::replace(&mut written, Ok(())).and(line);
        };
        let sent = request.send(fronts[turn % fronts.len()], IDLE_TIMEOUT, on_event);
        written?;
        match sent {
            Ok(streamed) if streamed.is_served() => {
                let faults = streamed.faults(&request, &[&attempt]);
                return if faults.is_empty() {
                    Ok(streamed)
                } else {
                    Err(DemonstrationError::RuleViolations(faults))
                };
            }
            Ok(streamed) => last = format!("status {}, {:?}", streamed.head.status(), streamed.end),
            Err(error) => last = error.to_string(),
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(DemonstrationError::NotServed(last))
}

fn print_status(fleet: &FleetProcesses, out: &mut impl Write) -> Result<(), DemonstrationError> {
    for control in fleet.control() {
        match Call::get("/status").send(control, Duration::from_millis(300)) {
            Ok(response) => {
                let text = String::from_utf8_lossy(&response.body);
                writeln!(
                    out,
                    "status of {control} ({}): {}",
                    response.status(),
                    text.trim_end()
                )?;
            }
            Err(error) => writeln!(out, "status of {control}: {error}")?,
        }
    }
    Ok(())
}

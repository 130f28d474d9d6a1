//! A fleet from its first start to its end, in one call: three machines, four model servers, a
//! configuration, a stream, the status, and nothing left behind. It is what `lichenswitch-demo`
//! shows, and a test from end to end.

use super::{FleetError, FleetProcesses, ROLES};
use crate::model_server::{ModelServer, ServerDescription};
use crate::operator::document::{replace, Route};
use crate::operator::{Operator, Order, Outcome, Verb};
use crate::stream_client::message::Call;
use crate::stream_client::{StreamFault, StreamRequest, StreamedResponse};
use std::fmt;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Machines of the fleet.
const MACHINES: usize = 3;
/// Model servers.
const SERVERS: usize = 4;
/// All up to the end of the stream has so long; with the last step's overrun, the status and the
/// grace it stays below 20 s.
const WITHIN: Duration = Duration::from_secs(13);
/// A silence that ends a try.
const SILENCE: Duration = Duration::from_secs(1);
/// What is left of a try's time is told to the router.
const DEADLINE_MS: u64 = 1_500;
/// Processes have so long to end when asked to: `gracePeriodS` of their settings, and a little.
const GRACE: Duration = Duration::from_millis(2_200);
/// Pause between questions.
const PAUSE: Duration = Duration::from_millis(50);
/// Lines of each log that are shown after a failure.
const LOG_LINES: usize = 5;
/// Tokens out of the stream.
const TOKENS: u32 = 32;

/// Why a demonstration failed.
#[derive(Debug)]
pub enum DemonstrationError {
    /// The fleet or the system under it.
    Fleet(FleetError),
    /// A stand-in or the output could not be used.
    System(std::io::Error),
    /// The first configuration was not taken.
    Configuration(Outcome),
    /// No stream was served; what the last try said.
    NotServed(String),
    /// The stream breaks rules.
    Wrong(Vec<StreamFault>),
}

impl fmt::Display for DemonstrationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DemonstrationError::Fleet(error) => error.fmt(f),
            DemonstrationError::System(error) => error.fmt(f),
            DemonstrationError::Configuration(outcome) => {
                write!(f, "the first configuration was not taken: {outcome:?}")
            }
            DemonstrationError::NotServed(last) => {
                write!(f, "no stream was served; the last try: {last}")
            }
            DemonstrationError::Wrong(faults) => write!(f, "the stream breaks rules: {faults:?}"),
        }
    }
}

impl std::error::Error for DemonstrationError {}

impl From<FleetError> for DemonstrationError {
    fn from(error: FleetError) -> DemonstrationError {
        DemonstrationError::Fleet(error)
    }
}

impl From<std::io::Error> for DemonstrationError {
    fn from(error: std::io::Error) -> DemonstrationError {
        DemonstrationError::System(error)
    }
}

/// Shows a fleet of this program on `out`, and stops all that it started; takes less than 20 s,
/// whatever happens.
///
/// # Errors
/// With the first thing that failed; the ends of the logs are shown and all processes are stopped
/// then, too.
pub fn run(program: &Path, out: &mut impl Write) -> Result<(), DemonstrationError> {
    let mut fleet = FleetProcesses::new(program, MACHINES)?;
    let shown = show(&mut fleet, out);
    if shown.is_err() {
        show_logs(&fleet, out)?;
    }
    let killed = fleet.stop_all(GRACE);
    writeln!(
        out,
        "stopped all processes; {killed} had to be killed after {} ms",
        GRACE.as_millis()
    )?;
    shown
}

fn show(fleet: &mut FleetProcesses, out: &mut impl Write) -> Result<(), DemonstrationError> {
    let until = Instant::now() + WITHIN;
    let servers = servers()?;
    fleet.start_all()?;
    writeln!(
        out,
        "started {MACHINES} control and {MACHINES} router processes, and {SERVERS} model servers"
    )?;
    for (role, machine, id) in fleet.ids() {
        writeln!(
            out,
            "  {role} {machine}: process {id} at {}",
            fleet.addresses[machine]
        )?;
    }
    let interval = Duration::from_millis(400);
    let _registrations: Vec<_> = servers
        .iter()
        .map(|server| server.register(fleet.control(), interval))
        .collect();
    configure(fleet, until, out)?;
    let router = ready(fleet, until)?;
    writeln!(out, "the router at {router} is ready")?;
    let streamed = serve(fleet, until, out)?;
    let (events, seal) = (
        streamed.events.len(),
        streamed.head.field("response-seal").unwrap_or("none"),
    );
    writeln!(out, "served: {events} events, Response-Seal {seal}")?;
    status(fleet, out)
}

/// The last lines of each process's log.
fn show_logs(fleet: &FleetProcesses, out: &mut impl Write) -> std::io::Result<()> {
    for (role, machine) in (0..MACHINES).flat_map(|machine| ROLES.map(|role| (role, machine))) {
        let log = std::fs::read_to_string(fleet.log(role, machine)).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        writeln!(
            out,
            "{role} {machine} said {} lines, at the end:",
            lines.len()
        )?;
        for line in lines.iter().rev().take(LOG_LINES).rev() {
            writeln!(out, "  {line}")?;
        }
    }
    Ok(())
}

fn servers() -> std::io::Result<Vec<ModelServer>> {
    let start = |number: usize| {
        let (instance, zone) = (
            format!("i-demo-{number}"),
            format!("zone-{}", 1 + number % MACHINES),
        );
        ModelServer::start(
            ServerDescription::new(&instance, "model", &zone),
            SocketAddr::from(([127, 0, 0, 1], 0)),
        )
    };
    (0..SERVERS).map(start).collect()
}

fn configure(
    fleet: &mut FleetProcesses,
    until: Instant,
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
    // In short spans, so that a process that has ended is told of at once.
    while outcome == Outcome::Unclear && Instant::now() < until {
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

/// Waits for the first router that is ready, and tells where it takes clients.
fn ready(fleet: &mut FleetProcesses, until: Instant) -> Result<SocketAddr, DemonstrationError> {
    while Instant::now() < until {
        fleet.check()?;
        for (readiness, front) in fleet.readiness().into_iter().zip(fleet.fronts()) {
            let answer = Call::get("/readiness").send(readiness, Duration::from_millis(200));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(front);
            }
        }
        thread::sleep(PAUSE);
    }
    Err(FleetError::TooLate("no router became ready").into())
}

fn serve(
    fleet: &mut FleetProcesses,
    until: Instant,
    out: &mut impl Write,
) -> Result<StreamedResponse, DemonstrationError> {
    let (mut last, fronts) = (String::from("none was made"), fleet.fronts());
    for turn in 0.. {
        if Instant::now() >= until {
            break;
        }
        fleet.check()?;
        let attempt = format!(
            "{:016x}",
            0x9c41_d07b_e2a3_5f68_u64.wrapping_add(turn as u64)
        );
        let mut request = StreamRequest::new("help.example", "/help/1", &attempt, TOKENS);
        request.deadline_ms = DEADLINE_MS;
        let mut written = Ok(());
        let tell = |event: &crate::stream_client::Event| {
            let id = event.id.unwrap_or(0);
            let line = writeln!(
                out,
                "  {:4} ms  event {id}: {}",
                event.at.as_millis(),
                event.data
            );
            written = std::mem::replace(&mut written, Ok(())).and(line);
        };
        let sent = request.send(fronts[turn % fronts.len()], SILENCE, tell);
        written?;
        match sent {
            Ok(streamed) if streamed.is_served() => {
                let faults = streamed.faults(&request, &[&attempt]);
                return if faults.is_empty() {
                    Ok(streamed)
                } else {
                    Err(DemonstrationError::Wrong(faults))
                };
            }
            Ok(streamed) => last = format!("status {}, {:?}", streamed.head.status(), streamed.end),
            Err(error) => last = error.to_string(),
        }
        thread::sleep(PAUSE);
    }
    Err(DemonstrationError::NotServed(last))
}

fn status(fleet: &FleetProcesses, out: &mut impl Write) -> Result<(), DemonstrationError> {
    for control in fleet.control() {
        match Call::get("/status").send(control, Duration::from_millis(300)) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body);
                writeln!(
                    out,
                    "status of {control} ({}): {}",
                    answer.status(),
                    text.trim_end()
                )?;
            }
            Err(error) => writeln!(out, "status of {control}: {error}")?,
        }
    }
    Ok(())
}

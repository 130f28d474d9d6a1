//! The real broker: reads its configuration and serves until it is told to stop.
#![forbid(unsafe_code)]

use lichenswitch::broker::Broker;
use lichenswitch::config::{Ogc, Operators, Peers, Platform};
use lichenswitch::management::ManagementHandle;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;

/// A stream that can be read once the signal has come.
fn signal(number: i32) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(number, write)?;
    Ok(read)
}

fn serve() -> Result<(), String> {
    // Before all else: a signal that nobody waits for ends the program.
    let [stop, reload] =
        [SIGTERM, SIGHUP].map(|number| signal(number).map_err(|e| format!("signal: {e}")));
    let env = |name: &str| std::env::var(name).ok();
    let operators = Operators::from_env(env).map_err(|e| e.to_string())?;
    let platform = Platform::from_env(env)?
        .map(|told| told.apply(&operators))
        .transpose()?;
    let ogc = Ogc::load(&operators, platform.as_ref())?;
    let peers = Peers::load(&operators, platform.as_ref()).map_err(|e| e.to_string())?;
    let management = platform
        .as_ref()
        .and_then(|told| ManagementHandle::open(told).transpose())
        .transpose();
    let management = management.map_err(|e| e.to_string())?;
    let mut broker = Broker::managed(platform, ogc, management)?;
    if let Some(peers) = peers {
        broker.join(peers).map_err(|e| e.to_string())?;
    };
    broker.stop_on(stop?).map_err(|e| format!("signal: {e}"))?;
    let reread = Box::new(move || Platform::from_env(env));
    broker
        .reload_on(reload?, reread)
        .map_err(|e| format!("signal: {e}"))?;
    broker.run().map_err(|e| format!("loop: {e}"))
}

/// Lines of the parts that log by level, as JSON.
fn log_lines() {
    let line = |to: &mut env_logger::fmt::Formatter, record: &log::Record| {
        let at = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let told = serde_json::json!({
            "at": at.as_micros() as f64 / 1e6,
            "level": record.level().as_str(),
            "part": record.target(),
            "line": record.args().to_string(),
        });
        writeln!(to, "{told}")
    };
    let mut lines = env_logger::Builder::new();
    lines
        .filter_level(log::LevelFilter::Info)
        .parse_default_env()
        .format(line);
    lines
        .target(env_logger::Target::Pipe(Box::new(
            lichenswitch::log_writer::writer(),
        )))
        .init();
}

fn main() -> ExitCode {
    log_lines();
    let served = serve();
    lichenswitch::log_writer::writer().finish();
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("lichenswitch: {text}");
            ExitCode::FAILURE
        }
    }
}

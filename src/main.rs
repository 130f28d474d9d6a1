//! The broker: reads its configuration and serves until the signal to stop.
#![forbid(unsafe_code)]

use lichenswitch::broker::{Broker, BrokerError};
use lichenswitch::config::operators::OperatorsError;
use lichenswitch::config::{ConfigError, Ogc, Operators, PeersConfig, Platform};
use lichenswitch::management::{self, ManagementHandle};
use lichenswitch::peer::group::JoinError;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io::{self, Write};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use thiserror::Error;

/// A stream that can be read once the signal has come.
fn signal(number: i32) -> io::Result<UnixStream> {
    let (read, write) = UnixStream::pair()?;
    signal_hook::low_level::pipe::register(number, write)?;
    Ok(read)
}

/// Why the program ends before it is stopped.
#[derive(Debug, Error)]
enum ServeError {
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Operators(#[from] OperatorsError),
    #[error(transparent)]
    Management(#[from] management::ManagementError),
    #[error(transparent)]
    Broker(#[from] BrokerError),
    #[error(transparent)]
    Join(#[from] JoinError),
    #[error("signal: {0}")]
    Signal(io::Error),
    #[error("loop: {0}")]
    Loop(io::Error),
}

fn serve() -> Result<(), ServeError> {
    // Before all else: a signal that nobody waits for ends the program.
    let [stop, reload] = [SIGTERM, SIGHUP].map(|number| signal(number).map_err(ServeError::Signal));
    let env = |name: &str| std::env::var(name).ok();
    let operators = Operators::from_env(env)?;
    let platform = Platform::from_env(env)?
        .map(|platform| platform.apply(&operators))
        .transpose()?;
    let ogc = Ogc::load(&operators, platform.as_ref())?;
    let peers = PeersConfig::load(&operators, platform.as_ref())?;
    let management = platform
        .as_ref()
        .and_then(|platform| ManagementHandle::open(platform).transpose())
        .transpose()?;
    let mut broker = Broker::with_management(platform, ogc, management)?;
    if let Some(peers) = peers {
        broker.join(peers)?;
    }
    broker.stop_on(stop?).map_err(ServeError::Signal)?;
    let reread = Box::new(move || Platform::from_env(env));
    broker
        .reload_on(reload?, reread)
        .map_err(ServeError::Signal)?;
    broker.run().map_err(ServeError::Loop)
}

/// Lines of the parts that log by level, as JSON.
fn log_lines() {
    let line = |to: &mut env_logger::fmt::Formatter, record: &log::Record<'_>| {
        let at = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        let text = serde_json::json!({
            "at": at.as_micros() as f64 / 1e6,
            "level": record.level().as_str(),
            "part": record.target(),
            "line": record.args().to_string(),
        });
        writeln!(to, "{text}")
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
        Err(error) => {
            eprintln!("lichenswitch: {error}");
            ExitCode::FAILURE
        }
    }
}

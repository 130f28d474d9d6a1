//! The real broker: reads its configuration and serves until it is told to stop.
#![forbid(unsafe_code)]

use lichenswitch::broker::Broker;
use lichenswitch::config::{Ogc, Platform};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let env = |name: &str| std::env::var(name).ok();
    let platform = Platform::from_env(env)?;
    let ogc = Ogc::from_env(env, platform.as_ref())?;
    let mut broker = Broker::new(platform, ogc)?;
    let (read, write) = UnixStream::pair().map_err(|e| format!("signal: {e}"))?;
    signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, write)
        .map_err(|e| format!("signal: {e}"))?;
    broker.stop_on(read).map_err(|e| format!("signal: {e}"))?;
    broker.run().map_err(|e| format!("loop: {e}"))
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("lichenswitch: {text}");
            ExitCode::FAILURE
        }
    }
}

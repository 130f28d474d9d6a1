//! The real broker: reads its configuration and serves until it is told to stop.
#![forbid(unsafe_code)]

use lichenswitch::broker::Broker;
use lichenswitch::config::{Ogc, Operators, Peers, Platform};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
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
    let [stop, reload] = [SIGTERM, SIGHUP].map(|number| signal(number).map_err(|e| format!("signal: {e}")));
    let env = |name: &str| std::env::var(name).ok();
    let operators = Operators::from_env(env)?;
    let platform = Platform::from_env(env)?.map(|told| told.apply(&operators)).transpose()?;
    let ogc = Ogc::load(&operators, platform.as_ref())?;
    let peers = Peers::load(&operators, platform.as_ref())?;
    let mut broker = Broker::new(platform, ogc)?;
    peers.map_or(Ok(()), |told| broker.join(told))?;
    broker.stop_on(stop?).map_err(|e| format!("signal: {e}"))?;
    let reread = Box::new(move || Platform::from_env(env));
    broker.reload_on(reload?, reread).map_err(|e| format!("signal: {e}"))?;
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

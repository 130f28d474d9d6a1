//! `status`: asks a control machine how it and the fleet stand.

use crate::settings::{self, Settings, SettingsError};
use lichenswitch_http::{response, Malformed, Parsed, Response};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// A machine that does not answer within this time counts as down.
const PATIENCE: Duration = Duration::from_secs(2);
/// Longest answer (bytes).
const LONGEST: usize = 16 << 20;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// No address was given, and the settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings name no control machine.
    #[error("no address: give one, or settings with seedNodes or listenAddresses.controlPlane")]
    NoAddress,
    /// The machine can't be reached.
    #[error("{address}: {source}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// It answers something else.
    #[error("{address}: the answer can't be read: {reason}")]
    Unreadable {
        /// Its address.
        address: SocketAddr,
        /// Why.
        reason: &'static str,
    },
}

/// Asks the control machine at `address`, or the first one of the settings that answers. JSON comes
/// back.
///
/// # Errors
/// When none answers; the last reason.
pub fn ask(option: Option<PathBuf>, address: Option<SocketAddr>) -> Result<String, StatusError> {
    let addresses = match address {
        Some(address) => vec![address],
        None => named(option)?,
    };
    let mut last = StatusError::NoAddress;
    for address in addresses {
        match ask_one(address) {
            Ok(answer) => return Ok(answer),
            Err(e) => last = e,
        }
    }
    Err(last)
}

/// Control machines that the settings name, this one first.
fn named(option: Option<PathBuf>) -> Result<Vec<SocketAddr>, StatusError> {
    let settings = Settings::read(&settings::path(option)?)?;
    Ok(settings
        .listen_addresses
        .control_plane
        .into_iter()
        .chain(settings.seed_nodes)
        .collect())
}

fn ask_one(address: SocketAddr) -> Result<String, StatusError> {
    let bytes = exchange(address).map_err(|source| StatusError::Unreachable { address, source })?;
    let unreadable = |reason| StatusError::Unreadable { address, reason };
    match response(&bytes, true, LONGEST) {
        Ok(Parsed::Whole(
            Response {
                status: 200, body, ..
            },
            _,
        )) => String::from_utf8(body).map_err(|_| unreadable("it is no text")),
        Ok(Parsed::Whole(..)) => Err(unreadable("it is no success")),
        Ok(Parsed::Partial(_)) => Err(unreadable("it is cut short")),
        Err(Malformed(_, reason)) => Err(unreadable(reason)),
    }
}

fn exchange(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    write!(
        stream,
        "GET /status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    stream.take(LONGEST as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}

//! The command `status`: fetches the status of a control machine.

use crate::settings::{self, Settings, SettingsError};
use lichenswitch_http::{response, MalformedMessage, Parsed, Response};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// Timeout of connecting, and of each read. A machine that exceeds it counts as unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of a response. A longer one is cut off and reported as unreadable.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// The reason why the status can't be fetched.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// No address was given, and the settings can't be used.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The settings name no control machine.
    #[error("no address: give one, or settings with seedNodes or listenAddresses.controlPlane")]
    NoAddress,
    /// The connection failed, or the machine did not respond in time.
    #[error("{address}: {source}")]
    Unreachable {
        /// Address of the control machine.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The response is not a valid status.
    #[error("{address}: the answer can't be read: {reason}")]
    Unreadable {
        /// Address of the control machine.
        address: SocketAddr,
        /// Reason, shown to the operator.
        reason: &'static str,
    },
}

/// Fetches the status, as JSON, from the control machine at `address`, or from the first one in the
/// settings that responds.
///
/// # Errors
/// Returns the error of the last address tried if no control machine returns its status.
pub fn fetch(
    settings_path: Option<PathBuf>,
    address: Option<SocketAddr>,
) -> Result<String, StatusError> {
    let addresses = match address {
        Some(address) => vec![address],
        None => addresses_in_settings(settings_path)?,
    };
    let mut last_error = StatusError::NoAddress;
    for address in addresses {
        match fetch_from(address) {
            Ok(status) => return Ok(status),
            Err(e) => last_error = e,
        }
    }
    Err(last_error)
}

/// Returns the control machines in the settings: the own `controlPlane` address, then the seeds.
fn addresses_in_settings(settings_path: Option<PathBuf>) -> Result<Vec<SocketAddr>, StatusError> {
    let settings = Settings::read(&settings::path(settings_path)?)?;
    Ok(settings
        .listen_addresses
        .control_plane
        .into_iter()
        .chain(settings.seed_nodes)
        .collect())
}

fn fetch_from(address: SocketAddr) -> Result<String, StatusError> {
    let bytes =
        request_status(address).map_err(|source| StatusError::Unreachable { address, source })?;
    let unreadable = |reason| StatusError::Unreadable { address, reason };
    match response(&bytes, true, MAX_RESPONSE_BYTES) {
        Ok(Parsed::Complete(
            Response {
                status: 200, body, ..
            },
            _,
        )) => String::from_utf8(body).map_err(|_| unreadable("it is no text")),
        Ok(Parsed::Complete(..)) => Err(unreadable("it is no success")),
        Ok(Parsed::Partial(_)) => Err(unreadable("it is cut short")),
        Err(MalformedMessage(_, reason)) => Err(unreadable(reason)),
    }
}

fn request_status(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    write!(
        stream,
        "GET /status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"
    )?;
    let mut bytes = Vec::new();
    stream
        .take(MAX_RESPONSE_BYTES as u64)
        .read_to_end(&mut bytes)?;
    Ok(bytes)
}

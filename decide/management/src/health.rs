//! Whether a process is ready to serve.

use lichenswitch_interface::{Micros, Time};

/// A loop that has not come round for so long serves nobody.
pub const STUCK: Micros = 2_000_000;

/// How a process stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// It listens for clients.
    pub listens: bool,
    /// It has a list of servers.
    pub listed: bool,
    /// It was told to stop.
    pub stopping: bool,
    /// It leaves its clients to another process of the broker.
    pub leaving: bool,
    /// Clients are sent away.
    pub away: bool,
    /// When its loop last came round.
    pub beat: Time,
}

/// Why it is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unready {
    /// It waits for the clients' address.
    #[error("the clients' address is in use")]
    NotListening,
    /// No list came yet.
    #[error("no list of servers yet")]
    NoList,
    /// It is about to end.
    #[error("stopping")]
    Stopping,
    /// By an operator's call.
    #[error("clients are sent away")]
    Away,
    /// Its loop stands still.
    #[error("the loop has not come round for {0} ms")]
    Stuck(u64),
}

/// Whether it is ready.
///
/// # Errors
/// The first reason why it is not.
pub fn ready(now: Time, standing: &Standing) -> Result<(), Unready> {
    let silent = now.since(standing.beat);
    match standing {
        Standing { stopping: true, .. } => Err(Unready::Stopping),
        Standing { listens: false, .. } => Err(Unready::NotListening),
        Standing { listed: false, .. } => Err(Unready::NoList),
        Standing { away: true, .. } => Err(Unready::Away),
        _ if silent >= STUCK => Err(Unready::Stuck(silent / 1_000)),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;

//! Whether a process is ready to serve.

use lichenswitch_interface::{Micros, Time};

/// A loop that has not completed a turn for this long serves nobody (microseconds).
pub const STUCK_TIMEOUT: Micros = 2_000_000;

/// How far a process is from its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// It was not asked to stop.
    #[default]
    Running,
    /// It finishes what it has accepted.
    Stopping,
    /// It stops, and leaves new clients to another process of the broker.
    Leaving,
}

/// What the loop of a process reports of it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthStatus {
    /// It listens for clients.
    pub is_listening: bool,
    /// It has a list of servers.
    pub has_server_list: bool,
    /// How far it is from its end.
    pub lifecycle: Lifecycle,
    /// Clients are sent away.
    pub is_quiesced: bool,
    /// When its loop last completed a turn.
    pub last_turn_at: Time,
}

/// Why a process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReadyReason {
    /// It waits for the clients' address.
    #[error("the clients' address is in use")]
    NotListening,
    /// No list of servers has arrived.
    #[error("no list of servers yet")]
    NoServerList,
    /// It was asked to stop.
    #[error("stopping")]
    Stopping,
    /// An operator has called `quiesce`.
    #[error("clients are sent away")]
    Quiesced,
    /// Its loop has not completed a turn for this long (milliseconds).
    #[error("the loop has not come round for {0} ms")]
    Stuck(u64),
}

/// Whether a process is ready.
///
/// # Errors
/// The first reason why it is not.
pub fn check_ready(now: Time, status: &HealthStatus) -> Result<(), NotReadyReason> {
    let elapsed = now.since(status.last_turn_at);
    if status.lifecycle != Lifecycle::Running {
        Err(NotReadyReason::Stopping)
    } else if !status.is_listening {
        Err(NotReadyReason::NotListening)
    } else if !status.has_server_list {
        Err(NotReadyReason::NoServerList)
    } else if status.is_quiesced {
        Err(NotReadyReason::Quiesced)
    } else if elapsed >= STUCK_TIMEOUT {
        Err(NotReadyReason::Stuck(elapsed / 1_000))
    } else {
        Ok(())
    }
}

#[cfg(test)]
mod tests;

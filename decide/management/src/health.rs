//! Decides whether a process is ready to serve.

use lichenswitch_interface::{Micros, Time};

/// Time without a completed turn after which the event loop counts as stuck (microseconds).
pub const STUCK_TIMEOUT: Micros = 2_000_000;

/// The lifecycle state of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Lifecycle {
    /// The process has not been asked to stop.
    #[default]
    Running,
    /// The process completes the requests that it has accepted.
    Stopping,
    /// The process is stopping, and another process of the broker serves new clients.
    Leaving,
}

/// The state of a process as its event loop reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HealthStatus {
    /// Whether it listens for clients.
    pub is_listening: bool,
    /// Whether it has received a list of servers.
    pub has_server_list: bool,
    /// Its lifecycle state; only a running process is ready.
    pub lifecycle: Lifecycle,
    /// Whether an operator has quiesced the broker.
    pub is_quiesced: bool,
    /// When its event loop last completed a turn.
    pub last_turn_at: Time,
}

/// The reason why a process is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotReadyReason {
    /// The process does not listen yet because the clients' address is in use.
    #[error("the clients' address is in use")]
    NotListening,
    /// No list of servers has arrived.
    #[error("no list of servers yet")]
    NoServerList,
    /// The process has been asked to stop.
    #[error("stopping")]
    Stopping,
    /// An operator has called `quiesce`.
    #[error("clients are sent away")]
    Quiesced,
    /// The event loop has not completed a turn for this long (milliseconds).
    #[error("the loop has not come round for {0} ms")]
    Stuck(u64),
}

/// Checks whether a process is ready to serve.
///
/// # Errors
/// Returns the first reason why the process is not ready.
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

//! Shares and backlog of several processes of one broker that run side by side during an upgrade.
//!
//! The processes count as one broker for limits and rules. Each process therefore takes an equal
//! share of the broker's limits while it sees others, and a new process takes its share as soon as
//! it starts. A process that leaves its clients to another keeps its share of the limits on held
//! resources. It gives up its share of the limits on rates, which protect servers that tolerate
//! little load; that share goes to the processes that stay.

pub use lichenswitch_interface::{ProcessShares, SINGLE_PROCESS};

/// The state that a process reports to the other processes of its broker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// The process id.
    pub process: u32,
    /// Whether it has a list of servers and serves clients.
    pub is_ready: bool,
    /// Whether it listens on the socket of its predecessor, so that both share one backlog.
    pub shares_socket: bool,
    /// Whether it was asked to stop and leaves its clients to another process that serves them.
    pub is_leaving: bool,
}

/// Returns this process's shares of the broker's limits while the `others` run.
#[must_use]
pub fn shares(is_leaving: bool, others: &[ProcessStatus]) -> ProcessShares {
    let staying = others.iter().filter(|o| !o.is_leaving).count() as u32;
    ProcessShares {
        capacity_divisor: 1 + others.len() as u32,
        rate_divisor: (!is_leaving || staying == 0).then_some(1 + staying),
    }
}

/// The way in which a stopping process treats the backlog of its listener, which holds the clients
/// that wait to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogAction {
    /// Leaves the backlog at once to another process, to which its own clients can go too.
    Leave(Reason),
    /// Accepts clients from the backlog for as long as they may still connect.
    Serve(Reason),
}

/// The reason of a [`BacklogAction`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The process with this id serves on the same socket.
    SharedSocket(u32),
    /// The process with this id is ready too, but on its own socket. Closing the listener here
    /// would reset the connections in the backlog.
    OwnSocket(u32),
    /// No other process is ready.
    NoSuccessor,
}

/// Decides what a stopping process does with the backlog of its listener.
#[must_use]
pub fn backlog_action(others: &[ProcessStatus]) -> BacklogAction {
    let mut successors = others.iter().filter(|o| o.is_ready && !o.is_leaving);
    let first = successors.clone().next();
    match (successors.find(|o| o.shares_socket), first) {
        (Some(o), _) => BacklogAction::Leave(Reason::SharedSocket(o.process)),
        (None, Some(o)) => BacklogAction::Serve(Reason::OwnSocket(o.process)),
        (None, None) => BacklogAction::Serve(Reason::NoSuccessor),
    }
}

impl ProcessStatus {
    /// Formats the line that the other processes read: the process id, then the flags as 0 or 1.
    #[must_use]
    pub fn to_line(&self) -> String {
        let [is_ready, shares_socket, is_leaving] =
            [self.is_ready, self.shares_socket, self.is_leaving].map(u8::from);
        format!("{} {is_ready} {shares_socket} {is_leaving}\n", self.process)
    }

    /// Parses the line of a process. If the line is invalid, the process counts as running but not
    /// ready, since it may not have finished writing the line.
    #[must_use]
    pub fn from_line(process: u32, line: &str) -> ProcessStatus {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let [is_ready, shares_socket, is_leaving] = match words[..] {
            [id, is_ready, shares_socket, is_leaving] if id.parse() == Ok(process) => {
                [is_ready, shares_socket, is_leaving].map(|flag| flag == "1")
            }
            _ => [false; 3],
        };
        ProcessStatus {
            process,
            is_ready,
            shares_socket,
            is_leaving,
        }
    }
}

#[cfg(test)]
mod tests;

//! Several processes of one broker, as they run side by side during an upgrade.
//!
//! For limits and rules they count as one broker. So each takes an equal share of what is allowed to
//! one for as long as it sees another; a process that has just started takes its share from its
//! first moment on. One that leaves its clients to another keeps its share of what it holds, but not
//! of what it may do with servers that bear little: that goes to those that stay.

pub use lichenswitch_interface::{ProcessShares, SINGLE_PROCESS};

/// What a process reports of itself to the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessStatus {
    /// Its process id.
    pub process: u32,
    /// It has a list of servers and serves clients.
    pub is_ready: bool,
    /// It listens on the very socket of the process before it, so that the backlog is its own too.
    pub shares_socket: bool,
    /// It was asked to stop, and leaves its clients to another one that serves.
    pub is_leaving: bool,
}

/// This process's shares while these others run.
#[must_use]
pub fn shares(is_leaving: bool, others: &[ProcessStatus]) -> ProcessShares {
    let staying = others.iter().filter(|o| !o.is_leaving).count() as u32;
    ProcessShares {
        capacity_divisor: 1 + others.len() as u32,
        rate_divisor: (!is_leaving || staying == 0).then_some(1 + staying),
    }
}

/// What a process that is asked to stop does with the backlog of its listener: the clients that wait
/// to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogAction {
    /// Leave it to another process at once, to which its own clients can go too.
    Leave(Reason),
    /// Accept it for as long as clients may still connect.
    Serve(Reason),
}

/// The reason of a [`BacklogAction`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This process serves at the same socket.
    SharedSocket(u32),
    /// This process is ready too, but at a socket of its own: the backlog here would be reset.
    OwnSocket(u32),
    /// No other process is ready.
    NoSuccessor,
}

/// What to do with the backlog at the stop.
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
    /// The line that is written for the others: the process id, then the flags as 0 or 1.
    #[must_use]
    pub fn to_line(&self) -> String {
        let [is_ready, shares_socket, is_leaving] =
            [self.is_ready, self.shares_socket, self.is_leaving].map(u8::from);
        format!("{} {is_ready} {shares_socket} {is_leaving}\n", self.process)
    }

    /// Parses the line of a process. One that can't be parsed is that of a process that runs and is
    /// not ready: it may be about to write.
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

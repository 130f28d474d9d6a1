//! Several processes of one broker, as they run side by side during an upgrade.
//!
//! For limits and rules they count as one broker. So each takes an equal part of what is allowed to
//! one for as long as it sees another; a process that has just begun takes its part from its first
//! moment on. One that leaves its clients to another keeps what it holds, but not what it may do
//! with servers that bear little: that goes to those that stay.

pub use lichenswitch_interface::{ProcessShares, SINGLE_PROCESS};

/// What a process tells the others of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Its number.
    pub process: u32,
    /// It serves: it has a list of servers and takes clients.
    pub ready: bool,
    /// It listens on the very socket of the one before, so that what waits there is its own too.
    pub shares_socket: bool,
    /// It was told to stop, and leaves its clients to another one that serves.
    pub leaving: bool,
}

/// This process's parts while these others are alive.
#[must_use]
pub fn parts(leaving: bool, others: &[Told]) -> ProcessShares {
    let stay = others.iter().filter(|o| !o.leaving).count() as u32;
    ProcessShares {
        held: 1 + others.len() as u32,
        done: (!leaving || stay == 0).then_some(1 + stay),
    }
}

/// What a process that is told to stop does with the backlog of its listener: the clients that wait
/// to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogAction {
    /// They are another one's too: it leaves them at once, and its own clients have somewhere else
    /// to go.
    Leave(Reason),
    /// It takes them for as long as clients may still come.
    Serve(Reason),
}

/// The reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This process serves at the same socket.
    SharedSocket(u32),
    /// This one is ready too, but at a socket of its own: what waits at this one would be reset
    /// with it.
    OwnSocket(u32),
    /// Nobody else is ready.
    Alone,
}

/// What to do with the backlog at the stop.
#[must_use]
pub fn backlog_action(others: &[Told]) -> BacklogAction {
    let ready = || others.iter().filter(|o| o.ready && !o.leaving);
    match (ready().find(|o| o.shares_socket), ready().next()) {
        (Some(o), _) => BacklogAction::Leave(Reason::SharedSocket(o.process)),
        (None, Some(o)) => BacklogAction::Serve(Reason::OwnSocket(o.process)),
        (None, None) => BacklogAction::Serve(Reason::Alone),
    }
}

impl Told {
    /// As it is written for the others.
    #[must_use]
    pub fn line(&self) -> String {
        let [ready, shares_socket, leaving] =
            [self.ready, self.shares_socket, self.leaving].map(u8::from);
        format!("{} {ready} {shares_socket} {leaving}\n", self.process)
    }

    /// Reads such a line. What can't be read is somebody who is there and not ready: it may be
    /// about to write.
    #[must_use]
    pub fn read(process: u32, line: &str) -> Told {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let [ready, shares_socket, leaving] = match words[..] {
            [told, ready, shares_socket, leaving] if told.parse() == Ok(process) => {
                [ready, shares_socket, leaving].map(|flag| flag == "1")
            }
            _ => [false; 3],
        };
        Told {
            process,
            ready,
            shares_socket,
            leaving,
        }
    }
}

#[cfg(test)]
mod tests;

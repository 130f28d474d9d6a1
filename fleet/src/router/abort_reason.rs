//! Why a response that had begun was cut off.

use lichenswitch_interface::Outcome;
use std::fmt;

/// Why an answer that had begun was cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbortReason {
    /// Its server ended it like this, and it could not go on at another one.
    ServerEnded(Outcome),
    /// It went on at another server, which did not bring the rest.
    NotResumed,
    /// The time of the request was over.
    Deadline,
    /// It was to go on at another server, and its key is served no more.
    KeyDenied,
    /// This process ends.
    Shutdown,
    /// This process ends, and the client may go on behind the last event at another router.
    HandedOver,
}

impl fmt::Display for AbortReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AbortReason::ServerEnded(outcome) => write!(f, "server ended it: {outcome:?}"),
            AbortReason::NotResumed => f.write_str("not resumed at another server"),
            AbortReason::Deadline => f.write_str("deadline"),
            AbortReason::KeyDenied => f.write_str("key no longer served"),
            AbortReason::Shutdown => f.write_str("shutdown"),
            AbortReason::HandedOver => f.write_str("shutdown, to be resumed elsewhere"),
        }
    }
}

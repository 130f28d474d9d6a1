//! Why a response that had begun was cut off.

use lichenswitch_interface::Outcome;
use std::fmt;

/// Why a response that had begun was aborted. Its text is the `reason` of the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AbortReason {
    /// Its server ended it with this outcome, and it could not be resumed at another one.
    ServerEnded(Outcome),
    /// It was to be resumed at another server, which did not send the rest.
    NotResumed,
    /// The deadline of the request had passed.
    Deadline,
    /// It was to be resumed at another server, and its key is no longer served.
    KeyDenied,
    /// This process shuts down.
    Shutdown,
    /// This process shuts down, and the client can resume the stream at another router.
    ResumableElsewhere,
}

impl fmt::Display for AbortReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AbortReason::ServerEnded(outcome) => write!(f, "server ended it: {outcome:?}"),
            AbortReason::NotResumed => f.write_str("not resumed at another server"),
            AbortReason::Deadline => f.write_str("deadline"),
            AbortReason::KeyDenied => f.write_str("key no longer served"),
            AbortReason::Shutdown => f.write_str("shutdown"),
            AbortReason::ResumableElsewhere => f.write_str("shutdown, to be resumed elsewhere"),
        }
    }
}

//! Why a request is answered at once, without an attempt.

use super::local_response::DEFAULT_RETRY_AFTER_US;
use super::sender::KeyDenial;
use lichenswitch_interface::Micros;

/// Why a request is answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// No configuration is known yet, there is no room, or this process is about to end.
    Unavailable(Option<Micros>),
    /// The configuration in force has no route for it.
    NoRoute,
    /// It needs a key that a tenant holds, and bears none.
    UnknownKey,
    /// Its tenant sends more than its quota; when it may come back.
    QuotaExceeded(Micros),
    /// The request makes no sense.
    Malformed,
}

impl RejectionReason {
    /// What is told to a sender whose key is not served.
    pub(crate) fn of(denial: KeyDenial) -> RejectionReason {
        match denial {
            KeyDenial::UnknownKey => RejectionReason::UnknownKey,
            KeyDenial::StaleConfiguration => {
                RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US))
            }
        }
    }
}

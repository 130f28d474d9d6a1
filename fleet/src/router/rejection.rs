//! Why a request is answered at once, without an attempt.

use super::local_response::DEFAULT_RETRY_AFTER_US;
use super::sender::KeyDenial;
use lichenswitch_interface::Micros;

/// Why a request is answered at once. No attempt has been made for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectionReason {
    /// 503: no configuration is known yet, there is no capacity, or this process is about to end.
    /// Holds when the client may retry, if that is known.
    Unavailable(Option<Micros>),
    /// 404: the active configuration has no route for it.
    NoRoute,
    /// 401: it needs the key of a tenant, and bears none.
    UnknownKey,
    /// 429: its tenant is over quota. Holds when the client may retry.
    QuotaExceeded(Micros),
    /// 400: the request can't be interpreted.
    Malformed,
}

impl RejectionReason {
    /// Nothing is known of when a retry could succeed: the client waits for the default delay.
    pub(crate) const RETRY_LATER: RejectionReason =
        RejectionReason::Unavailable(Some(DEFAULT_RETRY_AFTER_US));
}

impl From<KeyDenial> for RejectionReason {
    fn from(denial: KeyDenial) -> RejectionReason {
        match denial {
            KeyDenial::UnknownKey => RejectionReason::UnknownKey,
            KeyDenial::StaleConfiguration | KeyDenial::NameNotInHeader => {
                RejectionReason::RETRY_LATER
            }
        }
    }
}

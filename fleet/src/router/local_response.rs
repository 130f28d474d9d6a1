//! Responses of this program itself. They never bear a seal.

use lichenswitch_http::reason;
use lichenswitch_interface::Micros;
use std::io::Write as _;

/// Advice where the module gives none (microseconds).
pub(crate) const DEFAULT_RETRY_AFTER_US: Micros = 200_000;

/// An answer of this program. It never bears a seal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    status: u16,
    retry_after: Option<Micros>,
    /// The connection ends with it.
    pub closes_connection: bool,
}

impl LocalResponse {
    /// This status and nothing else.
    #[must_use]
    pub(crate) fn status_only(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after: None,
            closes_connection: false,
        }
    }

    /// This status, and the end of the connection.
    #[must_use]
    pub(crate) fn closing(status: u16) -> LocalResponse {
        LocalResponse {
            closes_connection: true,
            ..LocalResponse::status_only(status)
        }
    }

    /// A refusal: the request has not run and never will.
    #[must_use]
    pub(crate) fn unavailable(after: Option<Micros>) -> LocalResponse {
        LocalResponse {
            status: 503,
            retry_after: Some(after.unwrap_or(DEFAULT_RETRY_AFTER_US).max(1_000)),
            closes_connection: false,
        }
    }

    /// A refusal of what is beyond a quota: the request has not run and never will.
    #[must_use]
    pub(crate) fn too_many_requests(after: Micros) -> LocalResponse {
        LocalResponse {
            status: 429,
            ..LocalResponse::unavailable(Some(after))
        }
    }

    /// The same, and the end of the connection.
    #[must_use]
    pub(crate) fn with_close(self) -> LocalResponse {
        LocalResponse {
            closes_connection: true,
            ..self
        }
    }

    /// Its bytes; `last`: the connection ends with it.
    #[must_use]
    pub(crate) fn encode(&self, last: bool, head_only: bool) -> Vec<u8> {
        let body = if head_only { "" } else { reason(self.status) };
        let mut bytes = Vec::with_capacity(128);
        // Writes to memory don't fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason(self.status)
        );
        if let Some(after) = self.retry_after {
            let _ = write!(bytes, "retry-after: {:.3}\r\n", after as f64 / 1e6);
        }
        let _ = write!(
            bytes,
            "content-type: text/plain\r\ncontent-length: {}\r\n",
            body.len()
        );
        bytes.extend_from_slice(if last {
            b"connection: close\r\n\r\n"
        } else {
            b"\r\n"
        });
        bytes.extend_from_slice(body.as_bytes());
        bytes
    }
}

#[cfg(test)]
mod tests;

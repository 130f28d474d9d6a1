//! Responses that this program makes itself.

use lichenswitch_http::reason;
use lichenswitch_interface::Micros;
use std::io::Write as _;

/// `Retry-After` where the core gives none (microseconds).
pub(crate) const DEFAULT_RETRY_AFTER_US: Micros = 200_000;

/// A response that this program makes itself. It never bears a `Response-Seal`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    status: u16,
    retry_after_us: Option<Micros>,
    /// The connection closes with it.
    pub closes_connection: bool,
}

impl LocalResponse {
    /// A response with nothing but a status.
    #[must_use]
    pub(crate) fn status_only(status: u16) -> LocalResponse {
        LocalResponse {
            status,
            retry_after_us: None,
            closes_connection: false,
        }
    }

    /// A response with nothing but a status, which closes the connection.
    #[must_use]
    pub(crate) fn closing(status: u16) -> LocalResponse {
        LocalResponse {
            closes_connection: true,
            ..LocalResponse::status_only(status)
        }
    }

    /// 503: the request has not been executed and never will be.
    #[must_use]
    pub(crate) fn unavailable(after: Option<Micros>) -> LocalResponse {
        LocalResponse {
            status: 503,
            retry_after_us: Some(after.unwrap_or(DEFAULT_RETRY_AFTER_US).max(1_000)),
            closes_connection: false,
        }
    }

    /// 429: its tenant is over quota; the request has not been executed and never will be.
    #[must_use]
    pub(crate) fn too_many_requests(after: Micros) -> LocalResponse {
        LocalResponse {
            status: 429,
            ..LocalResponse::unavailable(Some(after))
        }
    }

    /// The same, which closes the connection.
    #[must_use]
    pub(crate) fn with_close(self) -> LocalResponse {
        LocalResponse {
            closes_connection: true,
            ..self
        }
    }

    /// Its bytes; `closes`: the connection closes with it.
    #[must_use]
    pub(crate) fn encode(&self, closes: bool, is_head_request: bool) -> Vec<u8> {
        let body = if is_head_request {
            ""
        } else {
            reason(self.status)
        };
        let mut bytes = Vec::with_capacity(128);
        // Writes to memory don't fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\n",
            self.status,
            reason(self.status)
        );
        if let Some(after) = self.retry_after_us {
            let _ = write!(bytes, "retry-after: {:.3}\r\n", after as f64 / 1e6);
        }
        let _ = write!(
            bytes,
            "content-type: text/plain\r\ncontent-length: {}\r\n",
            body.len()
        );
        bytes.extend_from_slice(if closes {
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

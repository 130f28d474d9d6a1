//! Problem documents, as the OGC front refuses and fails requests with them.

use crate::http::Response;
use crate::interface::Micros;
use serde_json::json;

/// What is wrong with a request.
#[derive(Debug)]
pub(super) struct Fault {
    /// The HTTP status of the response.
    pub(super) status: u16,
    /// A sentence for the client.
    pub(super) detail: String,
}

impl Fault {
    /// 400: the request makes no sense.
    pub(super) fn bad_request(detail: impl Into<String>) -> Self {
        Fault::new(400, detail)
    }

    /// 404: there is nothing at this path.
    pub(super) fn not_found(detail: impl Into<String>) -> Self {
        Fault::new(404, detail)
    }

    /// 405: the front reads only.
    pub(super) fn method_not_allowed(detail: impl Into<String>) -> Self {
        Fault::new(405, detail)
    }

    fn new(status: u16, detail: impl Into<String>) -> Self {
        Fault {
            status,
            detail: detail.into(),
        }
    }

    /// The response that tells the client.
    pub(super) fn response(&self) -> Response {
        let title = match self.status {
            404 => "Not found",
            405 => "Method not allowed",
            _ => "Bad request",
        };
        let response = problem(self.status, title, &self.detail);
        if self.status == 405 {
            return response.with("allow", "GET, HEAD");
        }
        response
    }
}

/// A problem document (RFC 9457).
pub(super) fn problem(status: u16, title: &str, detail: &str) -> Response {
    let body = json!({"status": status, "title": title, "detail": detail});
    Response::new(status, "application/problem+json", body.to_string())
}

/// A problem that may be retried. `Retry-After` has whole seconds, never less than the advice; one
/// second where there is none.
pub(super) fn retry_later(status: u16, title: &str, after: Option<Micros>) -> Response {
    let response = problem(status, title, "trying again is harmless");
    response.with(
        "retry-after",
        after
            .unwrap_or(1_000_000)
            .div_ceil(1_000_000)
            .max(1)
            .to_string(),
    )
}

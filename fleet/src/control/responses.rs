//! HTTP responses of a control machine.

use lichenswitch_http::Response;

/// Content type of all bodies.
pub(super) const JSON_CONTENT_TYPE: &str = "application/json";
/// Seconds after which a caller may come back here; it turns to another machine at once.
pub(super) const RETRY_AFTER_S: &str = "0.2";

/// Why the heartbeat of a server is rejected; the server turns to the next control machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeartbeatRejection {
    #[error("this machine is not in contact with a quorum")]
    NoContact,
    #[error("this machine has just started and has not got the table of servers yet")]
    TableUnknown,
    #[error("too few control machines hold this news yet")]
    NotReplicated,
}

/// The response to a heartbeat that is acknowledged.
pub(super) fn heartbeat_acknowledged() -> Response {
    Response::new(200, JSON_CONTENT_TYPE, "{}")
}

/// The response to a heartbeat that is rejected.
pub(super) fn heartbeat_rejected(rejection: HeartbeatRejection) -> Response {
    error_response(503, &rejection.to_string())
}

/// A response whose body gives the reason as JSON.
pub(super) fn error_response(status: u16, reason: &str) -> Response {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason));
    let response = Response::new(status, JSON_CONTENT_TYPE, body);
    match status {
        503 => response.with("retry-after", RETRY_AFTER_S),
        _ => response,
    }
}

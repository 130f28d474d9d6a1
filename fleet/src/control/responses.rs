//! HTTP responses of a control machine.

use lichenswitch_http::Response;

/// Content type of all response bodies.
pub(super) const JSON_CONTENT_TYPE: &str = "application/json";
/// Value of `retry-after`, in seconds: the time after which a caller may retry at this machine. It
/// may try another machine at once.
pub(super) const RETRY_AFTER_S: &str = "0.2";

/// The reason why the heartbeat of a server is rejected. The server then turns to the next control
/// machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum HeartbeatRejection {
    #[error("this machine is not in contact with a quorum")]
    NoContact,
    #[error("this machine has just started and has not got the table of servers yet")]
    TableUnknown,
    #[error("too few control machines hold this news yet")]
    NotReplicated,
}

/// Returns the response to an acknowledged heartbeat.
pub(super) fn heartbeat_acknowledged() -> Response {
    Response::new(200, JSON_CONTENT_TYPE, "{}")
}

/// Returns the response to a rejected heartbeat.
pub(super) fn heartbeat_rejected(rejection: HeartbeatRejection) -> Response {
    error_response(503, &rejection.to_string())
}

/// Returns a response whose JSON body contains the reason. Adds `retry-after` to status 503.
pub(super) fn error_response(status: u16, reason: &str) -> Response {
    let body = format!("{{\"error\":{}}}", miniserde::json::to_string(reason));
    let response = Response::new(status, JSON_CONTENT_TYPE, body);
    match status {
        503 => response.with("retry-after", RETRY_AFTER_S),
        _ => response,
    }
}

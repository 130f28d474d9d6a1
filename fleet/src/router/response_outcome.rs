//! What a complete response of a server means for its request.

use super::server_response::ResponseHead;

/// What a server's whole answer means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseOutcome {
    /// It is the answer.
    Final,
    /// The server says that it did not run the request.
    NotExecuted,
    /// A failure, after which the request may have run; whether it may be passed on to the client.
    Failure {
        /// Its status is no promise that it can't keep.
        passes: bool,
    },
}

/// Reads an answer's head. Only `Not-Executed` and 421 say that a request did not run. What would
/// be a promise in this program's mouth (408, 421, 429, 503) is not passed on as one where the
/// server has not made it.
#[must_use]
pub(crate) fn meaning(head: &ResponseHead) -> ResponseOutcome {
    let promise = matches!(head.status, 408 | 421 | 429 | 503);
    match head.status {
        421 => ResponseOutcome::NotExecuted,
        408 | 429 | 500..=599 if head.not_executed => ResponseOutcome::NotExecuted,
        _ if promise => ResponseOutcome::Failure { passes: false },
        500..=599 => ResponseOutcome::Failure { passes: true },
        _ => ResponseOutcome::Final,
    }
}

#[cfg(test)]
mod tests;

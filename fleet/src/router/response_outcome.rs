//! What a complete response of a server means for its request.

use super::server_response::{Execution, ResponseHead};

/// What a server's complete response means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseOutcome {
    /// It is the final response.
    Final,
    /// The server states that it did not execute the request.
    NotExecuted,
    /// A failure, after which the request may have been executed.
    Failure {
        /// The client may see it: its status promises nothing that the server has not promised.
        can_forward: bool,
    },
}

impl ResponseOutcome {
    /// Interprets the head of a response.
    ///
    /// Only `Not-Executed` and 421 state that a request was not executed. A status that would be
    /// such a promise if this program sent it (408, 421, 429, 503) is not forwarded where the server
    /// has not made the promise.
    #[must_use]
    pub(crate) fn of(head: &ResponseHead) -> ResponseOutcome {
        let is_rejection = matches!(head.status, 408 | 421 | 429 | 503);
        match head.status {
            421 => ResponseOutcome::NotExecuted,
            408 | 429 | 500..=599 if head.execution == Execution::Denied => {
                ResponseOutcome::NotExecuted
            }
            _ if is_rejection => ResponseOutcome::Failure { can_forward: false },
            500..=599 => ResponseOutcome::Failure { can_forward: true },
            _ => ResponseOutcome::Final,
        }
    }
}

#[cfg(test)]
mod tests;

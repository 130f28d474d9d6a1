//! Why the connection of an attempt was given up.

/// Why a connection with a request in flight was closed before its response was complete. Appears in the
/// log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum FailureCause {
    /// Writing to the connection failed.
    #[error("write failed")]
    WriteFailed,
    /// Reading from the connection failed, or writing after a read.
    #[error("transfer failed")]
    TransferFailed,
    /// The server closed the connection before its response was complete.
    #[error("closed by the server")]
    EndedByServer,
    /// The response is malformed, or belongs to another request.
    #[error("invalid response")]
    InvalidResponse,
}

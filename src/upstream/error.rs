//! Why an answer of a data node can't be one. The connection that brought it is closed, and what it
//! carried counts as failed or is sent again elsewhere.

use thiserror::Error;

/// Bytes that make no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// A frame without a letter, or longer than any answer may be.
    #[error("frame of {0} bytes")]
    FrameLength(usize),
    /// A frame of a letter that data nodes don't send.
    #[error("frame with the letter {0}")]
    UnknownFrameType(u8),
    /// An answer without the line that says what it answers.
    #[error("answer without its line")]
    MissingLine,
    /// An answer whose line has no id of a part.
    #[error("answer without an id")]
    MissingId,
    /// An answer whose line has no outcome that is known.
    #[error("answer that ends {0:?}")]
    UnknownOutcome(Option<String>),
    /// An answer whose line has no score.
    #[error("answer without a score")]
    MissingScore,
    /// A value that is no UTF-8 text.
    #[error("answer whose value is no text")]
    NotText,
    /// The data node says that it did not understand a frame.
    #[error("it could not use a frame: {0}")]
    Complaint(String),
    /// An answer to a part that was never sent on the connection.
    #[error("answer to a part that was never asked for")]
    UnknownPart,
    /// An answer while no part is in flight.
    #[error("it sent what nobody asked for")]
    Unrequested,
    /// An answer that has begun and does not end.
    #[error("answer that never becomes whole")]
    Stalled,
    /// A response that is no HTTP.
    #[error("{0}")]
    Http(&'static str),
}

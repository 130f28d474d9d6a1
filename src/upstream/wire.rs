//! How calls and answers look on a connection to a data node.

use super::AnswerError;
use crate::core::{Dispatch, Value};
use crate::interface::{Micros, Outcome};
use crate::net::buffer::Buffer;
use crate::net::Owner;
use std::net::SocketAddr;

/// One answer read from a connection.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<N> {
    /// The part that it is for; `None`: the oldest that is in flight on the connection.
    pub part: Option<N>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// What was answered.
    pub value: Option<Value>,
    /// Whether the connection can't be used again.
    pub is_last: bool,
}

/// How calls and answers look on a connection.
pub trait Wire {
    /// What a query's front says of it.
    type Job;
    /// What a part is called on a connection.
    type Name: Clone + PartialEq;
    /// Whose connections these are.
    const OWNER: Owner;
    /// Most bytes held of answers that are not complete.
    const MAX_INPUT_BYTES: usize;
    /// An answer that has begun is complete after this long, or never.
    const RESPONSE_TIMEOUT: Micros;
    /// What a new connection to a node that may stand still begins with, where the node answers
    /// that; no call is written before it has.
    fn greeting(&self) -> Option<Vec<u8>>;
    /// The name that answers bear to tell which part they are for; `None`: they bear none. All
    /// attempts of a part have the same name.
    fn answer_name(&self, part: &Dispatch<Self::Job>) -> Option<Self::Name>;
    /// Writes a call and returns the names of its parts.
    fn encode_call(
        &self,
        parts: &[Dispatch<Self::Job>],
        host: SocketAddr,
        output: &mut Vec<u8>,
    ) -> Vec<Self::Name>;
    /// What tells the node that a part is given up; `None`: only the end of the connection does.
    fn encode_cancel(&self, part: &Self::Name) -> Option<Vec<u8>>;
    /// Reads the next answer, if it is complete; `oldest` is the part that has been in flight for
    /// longest.
    ///
    /// # Errors
    /// Bytes that make no answer: the connection is to be closed.
    fn read_answer(
        &self,
        input: &mut Buffer,
        ended: bool,
        oldest: Option<&Self::Name>,
    ) -> Result<Option<Answer<Self::Name>>, AnswerError>;
}

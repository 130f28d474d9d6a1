//! The request in flight on a connection, and its response as it is read.

use super::attempt::{Attempt, ServerEvent};
use crate::router::response_reader::{ResponsePart, ResponseReader};
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead};
use lichenswitch_event_stream::Scanner;

/// An answer that is not a stream is passed on whole up to this length, and as it comes beyond it
/// (bytes).
pub(crate) const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1_024;

/// Most bytes of one event.
pub(crate) const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// How the body of the answer that is being read is treated.
#[derive(Debug)]
pub(crate) enum BodyMode {
    /// The head has not come.
    AwaitingHead,
    /// Gathered until it is whole.
    Buffered(Box<ResponseHead>, Vec<u8>),
    /// A stream of events; the head until the first event has come.
    Events(Option<Box<ResponseHead>>, Box<Scanner>),
    /// Passed on as it comes.
    Forwarded,
}

/// The request that is out on a connection.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub(crate) attempt: Attempt,
    /// Bytes written on the connection before it, and with it.
    pub(crate) bytes_before: u64,
    pub(crate) bytes_through: u64,
    pub(crate) reader: ResponseReader,
    pub(crate) body: BodyMode,
    /// The answer began before the request was written whole.
    pub(crate) is_early_response: bool,
}

/// What a piece of an answer comes to.
pub(crate) enum ReadOutcome {
    Incomplete,
    Event(ServerEvent),
    /// The last of this answer.
    Final(ServerEvent),
    /// It is no answer to this request.
    Mismatch,
}

impl InFlightRequest {
    pub(super) fn take(&mut self, piece: ResponsePart) -> ReadOutcome {
        match piece {
            ResponsePart::Head(head) => self.take_head(head),
            ResponsePart::Body(bytes) => self.take_body(&bytes),
            ResponsePart::End => self.take_end(),
        }
    }

    fn take_head(&mut self, head: ResponseHead) -> ReadOutcome {
        if head.attempt_id != self.attempt.request.attempt_id {
            return ReadOutcome::Mismatch;
        }
        let success = (200..300).contains(&head.status);
        // A success that no server has sealed is none.
        if success && !head.is_sealed {
            return ReadOutcome::Mismatch;
        }
        let head = Box::new(head);
        self.body = match success && head.is_event_stream {
            true => BodyMode::Events(Some(head), Box::new(Scanner::new(MAX_EVENT_BYTES))),
            false => BodyMode::Buffered(head, Vec::new()),
        };
        ReadOutcome::Incomplete
    }

    fn take_body(&mut self, bytes: &[u8]) -> ReadOutcome {
        let id = self.attempt.id;
        match &mut self.body {
            BodyMode::AwaitingHead => ReadOutcome::Mismatch,
            BodyMode::Forwarded => ReadOutcome::Event(ServerEvent::ChunkReceived(
                id,
                body_chunk(bytes.to_vec(), None),
            )),
            BodyMode::Buffered(_, body) => {
                body.extend_from_slice(bytes);
                if body.len() <= MAX_BUFFERED_BODY_BYTES {
                    return ReadOutcome::Incomplete;
                }
                let BodyMode::Buffered(head, body) =
                    std::mem::replace(&mut self.body, BodyMode::Forwarded)
                else {
                    return ReadOutcome::Mismatch;
                };
                ReadOutcome::Event(ServerEvent::StreamStarted(
                    id,
                    head,
                    self.reader.length(),
                    body_chunk(body, None),
                ))
            }
            BodyMode::Events(head, scanner) => {
                if scanner.push(bytes).is_err() {
                    return ReadOutcome::Mismatch;
                }
                let whole = scanner.whole().len();
                // Comments before the first event are passed on with it.
                if whole == 0
                    || (head.is_some()
                        && scanner.last_event_id().is_none()
                        && !has_field(scanner.whole()))
                {
                    return ReadOutcome::Incomplete;
                }
                let part = body_chunk(scanner.whole().to_vec(), scanner.last_event_id());
                scanner.advance(whole);
                ReadOutcome::Event(match head.take() {
                    Some(head) => ServerEvent::StreamStarted(id, head, None, part),
                    None => ServerEvent::ChunkReceived(id, part),
                })
            }
        }
    }

    fn take_end(&mut self) -> ReadOutcome {
        let id = self.attempt.id;
        match std::mem::replace(&mut self.body, BodyMode::Forwarded) {
            BodyMode::AwaitingHead => ReadOutcome::Mismatch,
            BodyMode::Forwarded => ReadOutcome::Final(ServerEvent::StreamCompleted(id, Vec::new())),
            BodyMode::Buffered(head, body) => ReadOutcome::Final(ServerEvent::ResponseReceived(
                id,
                BufferedResponse { head: *head, body },
            )),
            // Without a length the end of the connection is the end of the answer, and a server
            // that breaks off in the midst of an event ends it as well.
            BodyMode::Events(_, scanner)
                if !scanner.partial().is_empty() && !self.reader.is_framed() =>
            {
                ReadOutcome::Mismatch
            }
            BodyMode::Events(Some(head), scanner) => {
                ReadOutcome::Final(ServerEvent::ResponseReceived(
                    id,
                    BufferedResponse {
                        head: *head,
                        body: remaining_bytes(&scanner),
                    },
                ))
            }
            BodyMode::Events(None, scanner) => {
                ReadOutcome::Final(ServerEvent::StreamCompleted(id, remaining_bytes(&scanner)))
            }
        }
    }
}

pub(crate) fn body_chunk(bytes: Vec<u8>, last_event_id: Option<&[u8]>) -> BodyChunk {
    BodyChunk {
        bytes,
        last_event_id: last_event_id.map(<[u8]>::to_vec),
    }
}

/// Whether these whole lines hold more than comments and line ends.
pub(crate) fn has_field(lines: &[u8]) -> bool {
    lines
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .any(|line| !line.is_empty() && line[0] != b':')
}

pub(crate) fn remaining_bytes(scanner: &Scanner) -> Vec<u8> {
    [scanner.whole(), scanner.partial()].concat()
}

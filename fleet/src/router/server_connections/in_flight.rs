//! The request in flight on a connection, and its response as it is read.

use super::attempt::{Attempt, ServerEvent, StreamStart};
use super::failure_cause::FailureCause;
use crate::router::ids::AttemptId;
use crate::router::response_outcome::ResponseOutcome;
use crate::router::response_reader::{ResponsePart, ResponseReader};
use crate::router::server_response::{BodyChunk, BufferedResponse, ResponseHead};
use lichenswitch_event_stream::Scanner;
use lichenswitch_interface::{Outcome, Time};
use lichenswitch_net::ConnId;

/// A response that is not an event stream is buffered up to this length, and forwarded as it arrives
/// beyond it (bytes).
const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1_024;

/// Longest event of a stream (bytes).
const MAX_EVENT_BYTES: usize = 256 * 1_024;

/// How the body of the response that is being read is handled.
#[derive(Debug)]
pub(crate) enum BodyMode {
    /// The head has not come.
    AwaitingHead,
    /// Buffered until it is complete.
    Buffered(Box<ResponseHead>, Vec<u8>),
    /// An event stream, with its head until the first event has come.
    Events(Option<Box<ResponseHead>>, Box<Scanner>),
    /// Forwarded as it arrives.
    Forwarded,
}

/// The request in flight on a connection.
#[derive(Debug)]
pub(crate) struct InFlightRequest {
    pub attempt: Attempt,
    /// When the request was written, or began to be.
    pub sent_at: Time,
    /// Bytes written on the connection before the request.
    pub bytes_before: u64,
    /// Bytes written on it once the request is written completely.
    pub bytes_through: u64,
    pub reader: ResponseReader,
    pub body: BodyMode,
    /// The response began before the request was written completely.
    pub is_early_response: bool,
}

/// What a part of a response amounts to.
pub(crate) enum ReadOutcome {
    /// Nothing yet: more bytes are needed.
    Incomplete,
    /// Something to report; more follows.
    Event(ServerEvent),
    /// The last event of this response.
    Final(ServerEvent),
    /// It is not a valid response to this request.
    Mismatch,
}

impl InFlightRequest {
    /// The outcome of an attempt whose connection failed after `written` bytes: once its first byte may
    /// have been sent, the request may have been executed.
    pub(super) fn outcome_of_failure(&self, written: u64) -> Outcome {
        if written <= self.bytes_before {
            Outcome::ConnectFailed
        } else {
            Outcome::Reset
        }
    }

    /// Logs why an attempt failed and how much of its request had been sent, which decides whether the
    /// request may be sent again.
    pub(super) fn log_failure(&self, cause: FailureCause, outcome: Outcome, written: u64) {
        let request_bytes = self.bytes_through - self.bytes_before;
        log::info!(
            attempt_id = self.attempt.request.attempt_id.as_deref().unwrap_or_default(),
            server:% = self.attempt.endpoint.address,
            cause:% = cause,
            sent_bytes = written.saturating_sub(self.bytes_before).min(request_bytes),
            request_bytes = request_bytes,
            may_have_run = !outcome.never_ran();
            "attempt failed"
        );
    }

    /// Logs that a server rejected a request that isn't idempotent and was sent before: on which
    /// connection, and how long after this send. First rejections are not logged, since a full
    /// server makes thousands of them.
    pub(super) fn log_repeated_rejection(
        &self,
        connection: ConnId,
        response: &BufferedResponse,
        now: Time,
    ) {
        let is_rejection = ResponseOutcome::of(&response.head) == ResponseOutcome::NotExecuted;
        if !is_rejection || self.attempt.is_idempotent || self.attempt.send_number == 1 {
            return;
        }
        log::info!(
            attempt_id = self.attempt.request.attempt_id.as_deref().unwrap_or_default(),
            server:% = self.attempt.endpoint.address,
            connection:? = connection,
            status = response.head.status,
            send_number = self.attempt.send_number,
            since_sent_us = now.since(self.sent_at);
            "attempt rejected"
        );
    }

    /// Takes the next part of the response.
    pub(super) fn take(&mut self, part: ResponsePart) -> ReadOutcome {
        match part {
            ResponsePart::Head(head) => self.take_head(head),
            ResponsePart::Body(bytes) => self.take_body(&bytes),
            ResponsePart::End => self.take_end(),
        }
    }

    fn take_head(&mut self, head: ResponseHead) -> ReadOutcome {
        if head.attempt_id != self.attempt.request.attempt_id {
            return ReadOutcome::Mismatch;
        }
        let is_success = (200..300).contains(&head.status);
        // A success without a seal is none.
        if is_success && !head.is_sealed {
            return ReadOutcome::Mismatch;
        }
        let head = Box::new(head);
        self.body = match is_success && head.is_event_stream {
            true => BodyMode::Events(Some(head), Box::new(Scanner::new(MAX_EVENT_BYTES))),
            false => BodyMode::Buffered(head, Vec::new()),
        };
        ReadOutcome::Incomplete
    }

    fn take_body(&mut self, bytes: &[u8]) -> ReadOutcome {
        let attempt = self.attempt.id;
        match &mut self.body {
            BodyMode::AwaitingHead => ReadOutcome::Mismatch,
            BodyMode::Forwarded => ReadOutcome::Event(ServerEvent::ChunkReceived {
                attempt,
                chunk: body_chunk(bytes.to_vec(), None),
            }),
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
                ReadOutcome::Event(stream_started(
                    attempt,
                    *head,
                    self.reader.content_length(),
                    body_chunk(body, None),
                ))
            }
            BodyMode::Events(head, scanner) => {
                if scanner.push(bytes).is_err() {
                    return ReadOutcome::Mismatch;
                }
                let complete_bytes = scanner.complete().len();
                // Comments before the first event are forwarded with it.
                if complete_bytes == 0
                    || (head.is_some()
                        && scanner.last_event_id().is_none()
                        && !has_field(scanner.complete()))
                {
                    return ReadOutcome::Incomplete;
                }
                let chunk = body_chunk(scanner.complete().to_vec(), scanner.last_event_id());
                scanner.advance(complete_bytes);
                ReadOutcome::Event(match head.take() {
                    Some(head) => stream_started(attempt, *head, None, chunk),
                    None => ServerEvent::ChunkReceived { attempt, chunk },
                })
            }
        }
    }

    fn take_end(&mut self) -> ReadOutcome {
        let attempt = self.attempt.id;
        match std::mem::replace(&mut self.body, BodyMode::Forwarded) {
            BodyMode::AwaitingHead => ReadOutcome::Mismatch,
            BodyMode::Forwarded => ReadOutcome::Final(ServerEvent::StreamCompleted {
                attempt,
                last_bytes: Vec::new(),
            }),
            BodyMode::Buffered(head, body) => ReadOutcome::Final(ServerEvent::ResponseReceived {
                attempt,
                response: BufferedResponse { head: *head, body },
            }),
            // Without framing the end of the connection is the end of the response: a server that
            // breaks off in the middle of an event looks the same.
            BodyMode::Events(_, scanner)
                if !scanner.partial().is_empty() && !self.reader.is_framed() =>
            {
                ReadOutcome::Mismatch
            }
            BodyMode::Events(Some(head), scanner) => {
                ReadOutcome::Final(ServerEvent::ResponseReceived {
                    attempt,
                    response: BufferedResponse {
                        head: *head,
                        body: remaining_bytes(&scanner),
                    },
                })
            }
            BodyMode::Events(None, scanner) => ReadOutcome::Final(ServerEvent::StreamCompleted {
                attempt,
                last_bytes: remaining_bytes(&scanner),
            }),
        }
    }
}

fn stream_started(
    attempt: AttemptId,
    head: ResponseHead,
    content_length: Option<u64>,
    first_chunk: BodyChunk,
) -> ServerEvent {
    let start = StreamStart {
        head,
        content_length,
        first_chunk,
    };
    ServerEvent::StreamStarted {
        attempt,
        start: Box::new(start),
    }
}

fn body_chunk(bytes: Vec<u8>, last_event_id: Option<&[u8]>) -> BodyChunk {
    BodyChunk {
        bytes,
        last_event_id: last_event_id.map(<[u8]>::to_vec),
    }
}

/// Whether these complete lines hold more than comments and line ends.
fn has_field(lines: &[u8]) -> bool {
    lines
        .split(|byte| matches!(byte, b'\n' | b'\r'))
        .any(|line| !line.is_empty() && line[0] != b':')
}

/// All that the scanner has not given out: complete events and a last incomplete one.
fn remaining_bytes(scanner: &Scanner) -> Vec<u8> {
    [scanner.complete(), scanner.partial()].concat()
}

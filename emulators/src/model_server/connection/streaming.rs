//! Streamed responses: events at an interval, and the faults by which a stream ends early or is
//! followed by bytes that belong to no request.

use super::request::Request;
use super::{reset_on_close, Connection, Persistence};
use crate::model_server::{Event, Fault};
use std::io::Write;
use std::ops::{ControlFlow, RangeInclusive};

/// Tokens that a request generates where it does not say how many.
const DEFAULT_OUTPUT_TOKENS: u64 = 16;
/// The end of a body in chunks.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the end of a stream is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFraming {
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

impl StreamFraming {
    fn of(request: &Request) -> StreamFraming {
        match request.fault {
            Some(Fault::NoLength | Fault::NoLengthReset(_)) => StreamFraming::UntilClose,
            _ => StreamFraming::Chunked,
        }
    }

    fn field(self) -> &'static str {
        match self {
            StreamFraming::Chunked => "Transfer-Encoding: chunked\r\n",
            StreamFraming::UntilClose => "",
        }
    }

    /// Encodes text of a body.
    fn encode(self, text: &str) -> Vec<u8> {
        match self {
            StreamFraming::Chunked => format!("{:x}\r\n{text}\r\n", text.len()).into_bytes(),
            StreamFraming::UntilClose => text.as_bytes().to_vec(),
        }
    }
}

impl Connection {
    /// Sends the stream of a request that runs.
    pub(super) fn stream(&mut self, request: &Request) -> Persistence {
        let framing = StreamFraming::of(request);
        let sent_bytes = match self.send_events(request, framing) {
            ControlFlow::Break(persistence) => return persistence,
            ControlFlow::Continue(sent_bytes) => sent_bytes,
        };
        self.shared
            .ledger
            .record(&request.attempt, Event::Responded(200));
        self.send_trailing_bytes(request, &sent_bytes);
        Persistence::closing_if(self.closes_after(request, framing))
    }

    /// Sends the head, the events and the end of a stream, and returns all of it; breaks where the
    /// stream ends early.
    fn send_events(
        &mut self,
        request: &Request,
        framing: StreamFraming,
    ) -> ControlFlow<Persistence, Vec<u8>> {
        let mut sent_bytes = self.stream_head(request, framing);
        let delayed_response = std::mem::take(&mut self.delayed_response);
        self.send_or_abort(request, &[delayed_response, sent_bytes.clone()].concat())?;
        let event_numbers = self.event_numbers(request);
        let (first, last) = (*event_numbers.start(), *event_numbers.end());
        for number in event_numbers {
            self.apply_stream_fault(request, framing, number - first)?;
            let text = format!(
                "id: {number}\ndata: {} {number}/{last}\n\n",
                request.attempt
            );
            let event = framing.encode(&text);
            sent_bytes.extend_from_slice(&event);
            self.send_or_abort(request, &event)?;
            if number < last {
                self.work_for(request, self.shared.description.event_interval)?;
            }
        }
        self.apply_stream_fault(request, framing, last + 1 - first)?;
        if framing == StreamFraming::Chunked {
            sent_bytes.extend_from_slice(LAST_CHUNK);
            let _ = self.to.write_all(LAST_CHUNK);
        }
        ControlFlow::Continue(sent_bytes)
    }

    fn send_or_abort(&mut self, request: &Request, bytes: &[u8]) -> ControlFlow<Persistence> {
        match self.to.write_all(bytes) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(self.abort(request)),
        }
    }

    fn stream_head(&self, request: &Request, framing: StreamFraming) -> Vec<u8> {
        let identity_fields = self.identity_fields(request);
        let common_fields = self.common_fields(self.closes_after(request, framing));
        let framing_field = framing.field();
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{identity_fields}{common_fields}{framing_field}\r\n"
        )
        .into_bytes()
    }

    /// Whether the connection closes after this stream.
    fn closes_after(&self, request: &Request, framing: StreamFraming) -> bool {
        framing == StreamFraming::UntilClose || request.head.closes() || self.shared.is_draining()
    }

    /// The numbers of the events to send: from the one behind `Last-Event-Id` on.
    fn event_numbers(&self, request: &Request) -> RangeInclusive<u64> {
        let output_tokens = request
            .head
            .field("token-usage")
            .and_then(|value| value.split(',').nth(1)?.parse().ok())
            .unwrap_or(DEFAULT_OUTPUT_TOKENS);
        let total = output_tokens
            .div_ceil(u64::from(self.shared.description.tokens_per_event))
            .max(1);
        let last_received: u64 = request
            .head
            .field("last-event-id")
            .and_then(|value| value.parse().ok())
            .unwrap_or(0);
        let first = last_received + 1;
        first..=total.max(first)
    }

    /// Ends a stream where its fault says so; `sent_events` have been sent.
    fn apply_stream_fault(
        &mut self,
        request: &Request,
        framing: StreamFraming,
        sent_events: u64,
    ) -> ControlFlow<Persistence> {
        match request.fault {
            Some(Fault::TruncateAfter(after)) if sent_events == after => {
                ControlFlow::Break(Persistence::Close)
            }
            Some(Fault::TruncateInside(after)) if sent_events == after => {
                let half = framing.encode(&format!("id: {}\ndata: ha", sent_events + 1));
                let _ = self.to.write_all(&half);
                ControlFlow::Break(Persistence::Close)
            }
            Some(Fault::ResetAfter(after) | Fault::NoLengthReset(after))
                if sent_events == after =>
            {
                reset_on_close(&self.to);
                self.ends_by_reset = true;
                ControlFlow::Break(Persistence::Close)
            }
            Some(Fault::SilentAfter(after)) if sent_events == after => {
                ControlFlow::Break(self.wait_for_end(request))
            }
            _ => ControlFlow::Continue(()),
        }
    }

    /// Sends, or stores for later, what a fault adds behind a complete response.
    fn send_trailing_bytes(&mut self, request: &Request, sent_bytes: &[u8]) {
        match request.fault {
            Some(Fault::ExtraResponse) => drop(self.to.write_all(sent_bytes)),
            Some(Fault::ExtraBytes) => drop(self.to.write_all(b"and so on\r\n")),
            Some(Fault::LateResponse) => self.delayed_response = sent_bytes.to_vec(),
            _ => {}
        }
    }
}

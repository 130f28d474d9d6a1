//! A request from its head to its end: it is read, rejected or admitted to a slot, and run.

use super::{reset_on_close, Connection, Persistence};
use crate::model_server::{Event, Fault};
use crate::stream_client::message::{read_body, Head};
use crate::sync::lock;
use std::io::Write;
use std::ops::ControlFlow;
use std::thread;
use std::time::{Duration, Instant};

/// A request without a deadline is aborted after this time if it gets no response.
const DEFAULT_RUN_TIMEOUT: Duration = Duration::from_secs(30);
/// The ledger keeps this much of a body (bytes): a day has thousands of them, of up to 4 MiB each.
const MAX_RECORDED_BODY_BYTES: usize = 4 * 1_024;
/// Interval at which a request without a response checks for its end.
const ABORT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request that is being served.
pub(super) struct Request {
    pub(super) head: Head,
    /// `Attempt-Id`; empty where it has none.
    pub(super) attempt: String,
    received_at: Instant,
    deadline: Option<Instant>,
    /// The fault that it meets.
    pub(super) fault: Option<Fault>,
}

impl Request {
    fn new(head: Head, fault: Option<Fault>) -> Request {
        let received_at = Instant::now();
        let deadline = head
            .field("deadline-ms")
            .and_then(|value| value.parse().ok())
            .map(|remaining_ms| received_at + Duration::from_millis(remaining_ms));
        Request {
            attempt: head.field("attempt-id").unwrap_or_default().to_string(),
            received_at,
            deadline,
            fault,
            head,
        }
    }
}

impl Connection {
    pub(super) fn handle_request(&mut self, head: Head) -> Persistence {
        let attempt = head.field("attempt-id").unwrap_or_default().to_string();
        let shared = self.shared.clone();
        shared.ledger.record(&attempt, Event::Arrived(head.clone()));
        let fault = {
            let mut script = lock(&shared.script);
            script.next_fault()
        };
        if let Some(fault) = fault {
            shared.ledger.record(&attempt, Event::FaultApplied(fault));
        }
        let request = Request::new(head, fault);
        if let Some(Fault::EarlyResponse(status)) = fault {
            return self.respond_early(&request, status);
        }
        if fault == Some(Fault::ResetWhileReading) {
            return self.reset_while_reading(&request);
        }
        let Ok(mut body) = read_body(&mut self.from, &request.head, false) else {
            return Persistence::Close;
        };
        body.truncate(MAX_RECORDED_BODY_BYTES);
        body.shrink_to_fit();
        shared.ledger.record(&attempt, Event::BodyReceived(body));
        if let Some(status) = self.rejection_status(&request) {
            return self.reject(&request, status);
        }
        if fault == Some(Fault::ClosedBeforeRun) {
            return Persistence::Close;
        }
        let Some(slot) = shared.reserve_slot(request.deadline) else {
            return self.reject(&request, 503);
        };
        shared.ledger.record(&attempt, Event::Started);
        let persistence = self.run(&request);
        drop(slot);
        persistence
    }

    /// Rejects a request before its body has been read.
    fn respond_early(&mut self, request: &Request, status: u16) -> Persistence {
        let persistence = self.reject(request, status);
        // The rest of the body is read, so that the next request is found behind it.
        match read_body(&mut self.from, &request.head, false) {
            Ok(_) => persistence,
            Err(_) => Persistence::Close,
        }
    }

    /// Begins work on a request, and resets its connection while the caller may still be sending it.
    fn reset_while_reading(&mut self, request: &Request) -> Persistence {
        let shared = self.shared.clone();
        shared.ledger.record(&request.attempt, Event::Started);
        self.ends_by_reset = true;
        reset_on_close(&self.to);
        self.abort(request)
    }

    /// The status with which a request is rejected, if it is.
    fn rejection_status(&self, request: &Request) -> Option<u16> {
        let description = &self.shared.description;
        let field = |name| request.head.field(name);
        if request.attempt.is_empty() {
            return Some(400);
        }
        if field("target-instance").is_some_and(|instance| instance != description.instance)
            || field("expect-version")
                .is_some_and(|version| version != description.version.to_string())
        {
            return Some(421);
        }
        match request.fault {
            Some(Fault::Rejected(status)) => Some(status),
            _ => None,
        }
    }

    fn reject(&mut self, request: &Request, status: u16) -> Persistence {
        self.shared
            .ledger
            .record(&request.attempt, Event::Rejected(status));
        let instance = &self.shared.description.instance;
        let fields = format!(
            "Attempt-Id: {}\r\nInstance-Id: {instance}\r\nNot-Executed: 1\r\n",
            request.attempt
        );
        self.respond_to(request, status, &fields, b"")
    }

    /// Runs a request that has its slot.
    fn run(&mut self, request: &Request) -> Persistence {
        match request.fault {
            Some(Fault::NoResponse) => return self.wait_for_end(request),
            Some(Fault::ResponseLost) => {
                thread::sleep(self.shared.description.time_to_first_event);
                return Persistence::Close;
            }
            Some(Fault::NotHttp) => {
                let _ = self.to.write_all(b"\x00\x01 what is this\r\n\r\n");
                return Persistence::Close;
            }
            Some(Fault::Failed(status)) => {
                let fields = self.identity_fields(request);
                self.shared
                    .ledger
                    .record(&request.attempt, Event::Responded(status));
                return self.respond_to(request, status, &fields, b"failed");
            }
            _ => {}
        }
        match self.work_for(request, self.shared.description.time_to_first_event) {
            ControlFlow::Break(persistence) => persistence,
            ControlFlow::Continue(()) => self.stream(request),
        }
    }

    /// Works for `time`; breaks where the caller disconnects or the deadline passes first.
    pub(super) fn work_for(&self, request: &Request, time: Duration) -> ControlFlow<Persistence> {
        let done_at = Instant::now() + time;
        let end = request
            .deadline
            .map_or(done_at, |deadline| deadline.min(done_at));
        thread::sleep(end.saturating_duration_since(Instant::now()));
        let is_past_deadline = request
            .deadline
            .is_some_and(|deadline| Instant::now() >= deadline);
        if is_past_deadline || self.shared.is_stopped() || self.is_disconnected() {
            return ControlFlow::Break(self.abort(request));
        }
        ControlFlow::Continue(())
    }

    /// Sends nothing until the caller disconnects, the deadline passes or the server ends.
    pub(super) fn wait_for_end(&self, request: &Request) -> Persistence {
        let deadline = request
            .deadline
            .unwrap_or(request.received_at + DEFAULT_RUN_TIMEOUT);
        while Instant::now() < deadline && !self.shared.is_stopped() && !self.is_disconnected() {
            thread::sleep(ABORT_POLL_INTERVAL);
        }
        self.abort(request)
    }

    pub(super) fn abort(&self, request: &Request) -> Persistence {
        self.shared.ledger.record(&request.attempt, Event::Aborted);
        Persistence::Close
    }
}

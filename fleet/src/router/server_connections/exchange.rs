//! The exchange on a connection: the request is written, its response read, and the connection kept or
//! closed.

use super::attempt::{Attempt, ServerEvent};
use super::failure_cause::FailureCause;
use super::in_flight::{BodyMode, InFlightRequest, ReadOutcome};
use super::table::{is_quiet, ConnectionState, ServerConnections};
use crate::router::client_request::ForwardingHeaders;
use crate::router::ids::AttemptId;
use crate::router::reactor::{Net, SERVER_USER_TIMEOUT};
use crate::router::response_reader::ResponseReader;
use crate::router::time::micros;
use lichenswitch_interface::{Micros, Outcome, Time};
use lichenswitch_net::{ConnId, TransferProgress};
use std::time::Duration;

/// Bytes read ahead of a server at a time.
const READ_AHEAD_BYTES: usize = 64 * 1_024;

/// How long an idle connection is reused whose server advertises no timeout (microseconds): timeouts
/// below a second can't be advertised.
const DEFAULT_KEEP_ALIVE_US: Micros = 500_000;

/// Share of the timeout that a server advertises for which its idle connections are reused.
const ADVERTISED_KEEP_ALIVE_SHARE: f64 = 0.75;

impl ServerConnections {
    /// Starts an attempt: on an idle connection, a new one, or once one is free.
    pub(crate) fn start(&mut self, net: &mut Net, attempt: Attempt) {
        if let Some(id) = self.idle_connection(net, &attempt) {
            return self.write_request(net, id, attempt);
        }
        let open = self.by_server.get(&attempt.server).map_or(0, Vec::len);
        if open >= attempt.max_connections && self.close_one_idle(net, attempt.server).is_none() {
            return self.queue(net, attempt);
        }
        self.open_connection(net, attempt);
    }

    /// Pauses or resumes reading an attempt's response: its client is slow.
    pub(crate) fn set_paused(&mut self, net: &mut Net, id: AttemptId, is_paused: bool) {
        let Some(&connection) = self.by_attempt.get(&id) else {
            return;
        };
        if net.pause(connection, is_paused) != TransferProgress::Alive {
            self.on_broken(net, connection, FailureCause::WriteFailed);
        }
    }

    /// Handles a connection that can be read or written.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.connections.contains_key(&id) {
            return net.close(id);
        }
        let progress = net.transfer(id, READ_AHEAD_BYTES);
        match self.state(id) {
            Some(ConnectionState::Opening(_)) => self.on_opened(net, id, &progress),
            // No response is expected: whatever comes belongs to no request.
            Some(ConnectionState::Idle { .. })
                if progress == TransferProgress::Alive && is_quiet(net, id) => {}
            Some(ConnectionState::Idle { .. }) => self.close(net, id),
            Some(ConnectionState::Busy(_)) => self.read_response(net, id, &progress),
            None => {}
        }
    }

    /// Handles a connection's timer: it should be up by now, or may have been idle for too long.
    pub(crate) fn on_timer(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.timer_at = connection.timer_at.filter(|at| *at > now);
        match &connection.state {
            ConnectionState::Opening(_) => {
                self.on_opened(net, id, &TransferProgress::NeverConnected)
            }
            ConnectionState::Idle { usable_until, .. } if *usable_until <= now => {
                self.close(net, id)
            }
            ConnectionState::Idle { usable_until, .. } => {
                let usable_until = *usable_until;
                self.arm_timer(net, id, usable_until);
            }
            ConnectionState::Busy(_) => {}
        }
    }

    /// A connection has come up, or has failed to.
    pub(super) fn on_opened(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let is_up = net.get(id).is_some_and(|conn| conn.up);
        if *progress == TransferProgress::Alive && !is_up {
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let now = net.clock.now();
        let ConnectionState::Opening(attempt) =
            std::mem::replace(&mut connection.state, unusable_at(now))
        else {
            return;
        };
        // Bytes before any request belong to no request.
        if *progress == TransferProgress::Alive && is_quiet(net, id) {
            return self.write_request(net, id, *attempt);
        }
        self.report_failure(attempt.id, Outcome::ConnectFailed);
        self.close(net, id);
    }

    /// Writes a request on a connection that is up and has no request in flight.
    pub(super) fn write_request(&mut self, net: &mut Net, id: ConnId, attempt: Attempt) {
        let now = net.clock.now();
        let remaining = Duration::from_micros(attempt.deadline.since(now));
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
        else {
            return self.report_failure(attempt.id, Outcome::NeverSent);
        };
        if remaining < Duration::from_millis(1) {
            // The server would find its deadline expired.
            connection.state = unusable_at(now);
            self.report_failure(attempt.id, Outcome::NeverSent);
            return self.close(net, id);
        }
        connection
            .carried_ids
            .insert(self.id_digester.digest(&attempt.request));
        let headers = ForwardingHeaders {
            remaining,
            target_instance: &attempt.endpoint.instance_id,
            priority: attempt.priority,
            resume_after: attempt.resume_after.as_deref(),
            sender: attempt.sender.as_deref(),
        };
        if attempt.has_long_body() {
            conn.set_user_timeout(remaining);
        }
        let mut bytes = Vec::new();
        attempt.request.encode_head(&headers, &mut bytes);
        let bytes_before = conn.written();
        conn.send(&bytes);
        let bytes_through = conn.send(&attempt.request.body);
        let reader = ResponseReader::new(&attempt.request);
        let (attempt_id, body) = (attempt.id, BodyMode::AwaitingHead);
        connection.state = ConnectionState::Busy(Box::new(InFlightRequest {
            attempt,
            sent_at: now,
            bytes_before,
            bytes_through,
            reader,
            body,
            is_early_response: false,
        }));
        self.by_attempt.insert(attempt_id, id);
        if net.flush(id, false) != TransferProgress::Alive {
            self.on_broken(net, id, FailureCause::WriteFailed);
        }
    }

    /// Reads what has come for the request in flight.
    pub(super) fn read_response(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let now = net.clock.now();
        let is_broken = *progress != TransferProgress::Alive;
        loop {
            let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
            else {
                return;
            };
            let ConnectionState::Busy(current) = &mut connection.state else {
                return;
            };
            current.is_early_response |=
                !conn.input.is_empty() && conn.written() < current.bytes_through;
            // The end of a connection ends a response only if the connection closed in order.
            let ended = conn.ended && !is_broken;
            match current.reader.read(&mut conn.input, ended) {
                Ok(Some(part)) => match current.take(part) {
                    ReadOutcome::Incomplete => {}
                    ReadOutcome::Event(event) => self.events.push(event),
                    ReadOutcome::Final(event) => {
                        if let ServerEvent::ResponseReceived { response, .. } = &event {
                            current.log_repeated_rejection(id, response, now);
                        }
                        self.events.push(event);
                        return self.on_response_complete(net, id);
                    }
                    ReadOutcome::Mismatch => {
                        return self.on_broken(net, id, FailureCause::InvalidResponse)
                    }
                },
                Ok(None) => break,
                Err(_) => return self.on_broken(net, id, FailureCause::InvalidResponse),
            }
        }
        if is_broken {
            return self.on_broken(net, id, FailureCause::TransferFailed);
        }
        if net.get(id).is_none_or(|conn| conn.ended) {
            return self.on_broken(net, id, FailureCause::EndedByServer);
        }
        // Reading may have been paused at the read-ahead bound.
        if net.flush(id, false) != TransferProgress::Alive {
            self.on_broken(net, id, FailureCause::WriteFailed);
        }
    }

    /// The response is complete: the connection is kept for the next request, unless something about
    /// it was unexpected.
    pub(super) fn on_response_complete(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get(id)) else {
            return;
        };
        let ConnectionState::Busy(current) =
            std::mem::replace(&mut connection.state, unusable_at(now))
        else {
            return;
        };
        self.by_attempt.remove(&current.attempt.id);
        let is_clean = conn.input.is_empty()
            && !conn.ended
            && !current.is_early_response
            && conn.written() == current.bytes_through;
        let advertised = current
            .reader
            .idle_time()
            .map(|timeout| micros(timeout.mul_f64(ADVERTISED_KEEP_ALIVE_SHARE)));
        let keep_alive_us = advertised.unwrap_or(DEFAULT_KEEP_ALIVE_US);
        if !is_clean
            || !current.reader.keeps_connection()
            || keep_alive_us == 0
            || connection.carried_ids.is_full()
        {
            return self.close(net, id);
        }
        connection.state = ConnectionState::Idle {
            since: now,
            usable_until: now.plus(keep_alive_us),
        };
        let server = connection.server;
        if current.attempt.has_long_body() {
            conn.set_user_timeout(SERVER_USER_TIMEOUT);
        }
        if self.next_queued_was_carried(server, id) {
            // The queued attempt gets a new connection in place of this one.
            return self.close(net, id);
        }
        if let Some(next) = self.next_queued(server) {
            return self.write_request(net, id, next);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            return self.close(net, id);
        }
        self.arm_timer(net, id, now.plus(keep_alive_us));
    }

    /// The connection broke, or brought no valid response to its request.
    pub(super) fn on_broken(&mut self, net: &mut Net, id: ConnId, cause: FailureCause) {
        let written = net.get(id).map_or(u64::MAX, |conn| conn.written());
        if let Some(ConnectionState::Busy(current)) = self.state(id) {
            let outcome = current.outcome_of_failure(written);
            if !current.attempt.is_idempotent {
                current.log_failure(cause, outcome, written);
            }
            let attempt = current.attempt.id;
            self.report_failure(attempt, outcome);
        }
        self.close(net, id);
    }
}

/// The state of a connection that is about to get another one, or to be closed.
fn unusable_at(now: Time) -> ConnectionState {
    ConnectionState::Idle {
        since: now,
        usable_until: now,
    }
}

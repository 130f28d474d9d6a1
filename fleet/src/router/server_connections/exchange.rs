//! The exchange on a connection: the request is written, its response read, and the connection kept or
//! closed.

use super::attempt::Attempt;
use super::in_flight::{BodyMode, InFlightRequest, ReadOutcome};
use super::table::{is_quiet, ConnectionState, ServerConnections};
use crate::router::client_request::ForwardingHeaders;
use crate::router::ids::AttemptId;
use crate::router::reactor::{Net, SERVER_USER_TIMEOUT};
use crate::router::response_reader::ResponseReader;
use crate::router::time::micros;
use lichenswitch_interface::{Micros, Outcome};
use lichenswitch_net::{ConnId, TransferProgress};
use std::time::Duration;

/// Most bytes read ahead of a server at a time.
const READ_AHEAD_BYTES: usize = 64 * 1_024;

/// A connection whose server told no time is used again within this (microseconds): times under a
/// second are not told.
pub(crate) const DEFAULT_KEEP_ALIVE_US: Micros = 500_000;

/// Share of the time told by a server for which its idle connections are used.
pub(crate) const ADVERTISED_KEEP_ALIVE_SHARE: f64 = 0.75;

impl ServerConnections {
    /// Makes an attempt.
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

    /// Reading of an attempt's answer rests, since its client is slow, or goes on.
    pub(crate) fn set_paused(&mut self, net: &mut Net, id: AttemptId, on: bool) {
        let Some(&connection) = self.by_attempt.get(&id) else {
            return;
        };
        if net.pause(connection, on) != TransferProgress::Alive {
            self.on_broken(net, connection);
        }
    }

    /// Reads and writes what a connection is ready for.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.connections.contains_key(&id) {
            return net.close(id);
        }
        let progress = net.transfer(id, READ_AHEAD_BYTES);
        match self.state(id) {
            Some(ConnectionState::Opening(_)) => self.on_opened(net, id, &progress),
            // Nothing is due: whatever comes belongs to nobody, and an end is an end.
            Some(ConnectionState::Idle(..))
                if progress == TransferProgress::Alive && is_quiet(net, id) => {}
            Some(ConnectionState::Idle(..)) => self.close(net, id),
            Some(ConnectionState::Busy(_)) => self.read_response(net, id, &progress),
            None => {}
        }
    }

    /// A connection's timer: it should be up by now, or may have rested for too long.
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
            ConnectionState::Idle(_, until) if *until <= now => self.close(net, id),
            ConnectionState::Idle(_, until) => {
                let until = *until;
                self.arm_timer(net, id, until);
            }
            ConnectionState::Busy(_) => {}
        }
    }

    /// A connection has come up, or never will.
    pub(super) fn on_opened(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let up = net.get(id).is_some_and(|conn| conn.up);
        if *progress == TransferProgress::Alive && !up {
            return;
        }
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let now = net.clock.now();
        let ConnectionState::Opening(attempt) =
            std::mem::replace(&mut connection.state, ConnectionState::Idle(now, now))
        else {
            return;
        };
        // A server that speaks before it was asked speaks to nobody.
        if *progress == TransferProgress::Alive && is_quiet(net, id) {
            return self.write_request(net, id, *attempt);
        }
        self.report_failure(attempt.id, Outcome::ConnectFailed);
        self.close(net, id);
    }

    /// Writes a request on a connection that is up and carries nothing.
    pub(super) fn write_request(&mut self, net: &mut Net, id: ConnId, attempt: Attempt) {
        let now = net.clock.now();
        let left = Duration::from_micros(attempt.deadline.since(now));
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
        else {
            return self.report_failure(attempt.id, Outcome::Moot);
        };
        if left < Duration::from_millis(1) {
            // The server would find its time over.
            connection.state = ConnectionState::Idle(now, now);
            self.report_failure(attempt.id, Outcome::Moot);
            return self.close(net, id);
        }
        let send = ForwardingHeaders {
            remaining: left,
            target_instance: &attempt.endpoint.instance_id,
            priority: attempt.priority,
            resume_after: attempt.resume_after.as_deref(),
            sender: attempt.sender.as_deref(),
        };
        if attempt.has_long_body() {
            conn.set_user_timeout(left);
        }
        let mut bytes = Vec::new();
        attempt.request.encode_head(&send, &mut bytes);
        let bytes_before = conn.written();
        conn.send(&bytes);
        let bytes_through = conn.send(&attempt.request.body);
        let reader = ResponseReader::new(&attempt.request);
        let (attempt_id, body) = (attempt.id, BodyMode::AwaitingHead);
        connection.state = ConnectionState::Busy(Box::new(InFlightRequest {
            attempt,
            bytes_before,
            bytes_through,
            reader,
            body,
            is_early_response: false,
        }));
        self.by_attempt.insert(attempt_id, id);
        if net.flush(id, false) != TransferProgress::Alive {
            self.on_broken(net, id);
        }
    }

    /// Reads what has come for the request that is out.
    pub(super) fn read_response(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let broken = *progress != TransferProgress::Alive;
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
            // The end of a connection is the end of an answer only if the connection ended in
            // order.
            let ended = conn.ended && !broken;
            match current.reader.read(&mut conn.input, ended) {
                Ok(Some(piece)) => match current.take(piece) {
                    ReadOutcome::Incomplete => {}
                    ReadOutcome::Event(event) => self.events.push(event),
                    ReadOutcome::Final(event) => {
                        self.events.push(event);
                        return self.on_response_complete(net, id);
                    }
                    ReadOutcome::Mismatch => return self.on_broken(net, id),
                },
                Ok(None) => break,
                Err(_) => return self.on_broken(net, id),
            }
        }
        let over = net.get(id).is_none_or(|conn| conn.ended);
        if broken || over {
            return self.on_broken(net, id);
        }
        // Reading may have rested at the ceiling.
        if net.flush(id, false) != TransferProgress::Alive {
            self.on_broken(net, id);
        }
    }

    /// The answer is whole: the connection rests for the next request, unless something about it
    /// was odd.
    pub(super) fn on_response_complete(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get(id)) else {
            return;
        };
        let ConnectionState::Busy(current) =
            std::mem::replace(&mut connection.state, ConnectionState::Idle(now, now))
        else {
            return;
        };
        self.by_attempt.remove(&current.attempt.id);
        let clean = conn.input.is_empty()
            && !conn.ended
            && !current.is_early_response
            && conn.written() == current.bytes_through;
        let told = current
            .reader
            .idle_time()
            .map(|told| micros(told.mul_f64(ADVERTISED_KEEP_ALIVE_SHARE)));
        let keep = told.unwrap_or(DEFAULT_KEEP_ALIVE_US);
        if !clean || !current.reader.keeps_connection() || keep == 0 {
            return self.close(net, id);
        }
        connection.state = ConnectionState::Idle(now, now.plus(keep));
        let server = connection.server;
        if current.attempt.has_long_body() {
            conn.set_user_timeout(SERVER_USER_TIMEOUT);
        }
        if let Some(next) = self.next_queued(server) {
            return self.write_request(net, id, next);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            return self.close(net, id);
        }
        self.arm_timer(net, id, now.plus(keep));
    }

    /// The connection broke, or brought what is no answer to its request.
    pub(super) fn on_broken(&mut self, net: &mut Net, id: ConnId) {
        let written = net.get(id).map_or(u64::MAX, |conn| conn.written());
        if let Some(ConnectionState::Busy(current)) = self.state(id) {
            // Once the first byte may have gone the request may have run.
            let outcome = if written <= current.bytes_before {
                Outcome::ConnectFailed
            } else {
                Outcome::Reset
            };
            let attempt = current.attempt.id;
            self.report_failure(attempt, outcome);
        }
        self.close(net, id);
    }
}

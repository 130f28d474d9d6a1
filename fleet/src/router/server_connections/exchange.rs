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
const CEILING: usize = 64 * 1_024;

/// A connection whose server told no time is used again within this (microseconds): times under a
/// second are not told.
pub(crate) const UNTOLD_IDLE: Micros = 500_000;

/// Share of the time told by a server for which its idle connections are used.
pub(crate) const TOLD_SHARE: f64 = 0.75;

impl ServerConnections {
    /// Makes an attempt.
    pub(crate) fn send(&mut self, net: &mut Net, attempt: Attempt) {
        if let Some(id) = self.idle_connection(net, &attempt) {
            return self.write(net, id, attempt);
        }
        let open = self.by_server.get(&attempt.server).map_or(0, Vec::len);
        if open >= attempt.max_connections && self.close_one_idle(net, attempt.server).is_none() {
            return self.wait(net, attempt);
        }
        self.open(net, attempt);
    }

    /// Reading of an attempt's answer rests, since its client is slow, or goes on.
    pub(crate) fn pause(&mut self, net: &mut Net, id: AttemptId, on: bool) {
        let Some(&connection) = self.by_attempt.get(&id) else {
            return;
        };
        if net.pause(connection, on) != TransferProgress::Alive {
            self.broken(net, connection);
        }
    }

    /// Reads and writes what a connection is ready for.
    pub(crate) fn ready(&mut self, net: &mut Net, id: ConnId) {
        if !self.links.contains_key(&id) {
            return net.close(id);
        }
        let progress = net.transfer(id, CEILING);
        match self.state(id) {
            Some(ConnectionState::Opening(_)) => self.opened(net, id, &progress),
            // Nothing is due: whatever comes belongs to nobody, and an end is an end.
            Some(ConnectionState::Idle(..))
                if progress == TransferProgress::Alive && is_quiet(net, id) => {}
            Some(ConnectionState::Idle(..)) => self.close(net, id),
            Some(ConnectionState::Busy(_)) => self.read(net, id, &progress),
            None => {}
        }
    }

    /// A connection's timer: it should be up by now, or may have rested for too long.
    pub(crate) fn timer(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.timer = link.timer.filter(|at| *at > now);
        match &link.state {
            ConnectionState::Opening(_) => self.opened(net, id, &TransferProgress::NeverConnected),
            ConnectionState::Idle(_, until) if *until <= now => self.close(net, id),
            ConnectionState::Idle(_, until) => {
                let until = *until;
                self.arm(net, id, until);
            }
            ConnectionState::Busy(_) => {}
        }
    }

    /// A connection has come up, or never will.
    pub(super) fn opened(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let up = net.get(id).is_some_and(|conn| conn.up);
        if *progress == TransferProgress::Alive && !up {
            return;
        }
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let now = net.clock.now();
        let ConnectionState::Opening(attempt) =
            std::mem::replace(&mut link.state, ConnectionState::Idle(now, now))
        else {
            return;
        };
        // A server that speaks before it was asked speaks to nobody.
        if *progress == TransferProgress::Alive && is_quiet(net, id) {
            return self.write(net, id, *attempt);
        }
        self.fail(attempt.id, Outcome::ConnectFailed);
        self.close(net, id);
    }

    /// Writes a request on a connection that is up and carries nothing.
    pub(super) fn write(&mut self, net: &mut Net, id: ConnId, attempt: Attempt) {
        let now = net.clock.now();
        let left = Duration::from_micros(attempt.deadline.since(now));
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
            return self.fail(attempt.id, Outcome::Moot);
        };
        if left < Duration::from_millis(1) {
            // The server would find its time over.
            link.state = ConnectionState::Idle(now, now);
            self.fail(attempt.id, Outcome::Moot);
            return self.close(net, id);
        }
        let send = ForwardingHeaders {
            left,
            instance: &attempt.endpoint.instance,
            priority: attempt.priority,
            resume_after: attempt.resume_after.as_deref(),
            sender: attempt.sender.as_deref(),
        };
        if attempt.has_long_body() {
            conn.set_user_timeout(left);
        }
        let mut bytes = Vec::new();
        attempt.request.encode(&send, &mut bytes);
        let begins = conn.written();
        conn.send(&bytes);
        let ends = conn.send(&attempt.request.body);
        let reader = ResponseReader::new(&attempt.request);
        let (attempt_id, body) = (attempt.id, BodyMode::AwaitingHead);
        link.state = ConnectionState::Busy(Box::new(InFlightRequest {
            attempt,
            begins,
            ends,
            reader,
            body,
            early: false,
        }));
        self.by_attempt.insert(attempt_id, id);
        if net.flush(id, false) != TransferProgress::Alive {
            self.broken(net, id);
        }
    }

    /// Reads what has come for the request that is out.
    pub(super) fn read(&mut self, net: &mut Net, id: ConnId, progress: &TransferProgress) {
        let broken = *progress != TransferProgress::Alive;
        loop {
            let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
                return;
            };
            let ConnectionState::Busy(current) = &mut link.state else {
                return;
            };
            current.early |= !conn.input.is_empty() && conn.written() < current.ends;
            // The end of a connection is the end of an answer only if the connection ended in
            // order.
            let ended = conn.ended && !broken;
            match current.reader.read(&mut conn.input, ended) {
                Ok(Some(piece)) => match current.take(piece) {
                    ReadOutcome::Incomplete => {}
                    ReadOutcome::Event(event) => self.events.push(event),
                    ReadOutcome::Final(event) => {
                        self.events.push(event);
                        return self.finished(net, id);
                    }
                    ReadOutcome::Mismatch => return self.broken(net, id),
                },
                Ok(None) => break,
                Err(_) => return self.broken(net, id),
            }
        }
        let over = net.get(id).is_none_or(|conn| conn.ended);
        if broken || over {
            return self.broken(net, id);
        }
        // Reading may have rested at the ceiling.
        if net.flush(id, false) != TransferProgress::Alive {
            self.broken(net, id);
        }
    }

    /// The answer is whole: the connection rests for the next request, unless something about it
    /// was odd.
    pub(super) fn finished(&mut self, net: &mut Net, id: ConnId) {
        let now = net.clock.now();
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get(id)) else {
            return;
        };
        let ConnectionState::Busy(current) =
            std::mem::replace(&mut link.state, ConnectionState::Idle(now, now))
        else {
            return;
        };
        self.by_attempt.remove(&current.attempt.id);
        let clean = conn.input.is_empty()
            && !conn.ended
            && !current.early
            && conn.written() == current.ends;
        let told = current
            .reader
            .idle_time()
            .map(|told| micros(told.mul_f64(TOLD_SHARE)));
        let keep = told.unwrap_or(UNTOLD_IDLE);
        if !clean || !current.reader.keeps_connection() || keep == 0 {
            return self.close(net, id);
        }
        link.state = ConnectionState::Idle(now, now.plus(keep));
        let server = link.server;
        if current.attempt.has_long_body() {
            conn.set_user_timeout(SERVER_USER_TIMEOUT);
        }
        if let Some(next) = self.next_waiting(server) {
            return self.write(net, id, next);
        }
        if net.flush(id, false) != TransferProgress::Alive {
            return self.close(net, id);
        }
        self.arm(net, id, now.plus(keep));
    }

    /// The connection broke, or brought what is no answer to its request.
    pub(super) fn broken(&mut self, net: &mut Net, id: ConnId) {
        let written = net.get(id).map_or(u64::MAX, |conn| conn.written());
        if let Some(ConnectionState::Busy(current)) = self.state(id) {
            // Once the first byte may have gone the request may have run.
            let outcome = if written <= current.begins {
                Outcome::ConnectFailed
            } else {
                Outcome::Reset
            };
            let attempt = current.attempt.id;
            self.fail(attempt, outcome);
        }
        self.close(net, id);
    }
}

//! One call to discovery: the request, its connection, and its response or failure.

use super::{CallNotMade, Directory, Discovery, List};
use crate::http::{self, Parsed};
use crate::interface::{Micros, ServerListUpdate};
use crate::net::{ConnId, Net, Owner, Timer, TransferProgress};
use thiserror::Error;

/// A connection that is not up after this long never comes up.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Longest list that is read.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

impl Discovery {
    /// Asks for changes, or for the whole list where none is held. The answer is waited for until the
    /// call's timer.
    ///
    /// # Errors
    /// No connection could be begun, or it broke at once.
    pub(super) fn start_call(&mut self, net: &mut Net) -> Result<(), CallNotMade> {
        self.call_started_at = net.clock.now();
        let conn = self.open_connection(net)?;
        self.conn = Some(conn);
        let request = format!(
            "GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.request_target(),
            self.address
        );
        net.get_mut(conn)
            .ok_or(CallNotMade::Broken)?
            .send(request.as_bytes());
        self.last_call_number += 1;
        self.in_flight_call = Some(self.last_call_number);
        net.wheel.set(
            self.call_started_at.plus(CONNECT_TIMEOUT),
            Timer::Discovery(self.last_call_number),
        );
        (net.flush(conn, false) == TransferProgress::Alive)
            .then_some(())
            .ok_or(CallNotMade::Broken)
    }

    /// The connection of the call before, if it can still be used, or a new one.
    fn open_connection(&mut self, net: &mut Net) -> Result<ConnId, CallNotMade> {
        let is_usable = |id: &ConnId| net.get(*id).is_some_and(|conn| conn.up && !conn.ended);
        if let Some(id) = self.conn.filter(is_usable) {
            return Ok(id);
        }
        // One that can't be used any more is given back before its place is needed.
        self.close_connection(net);
        net.connect(Owner::Discovery, self.address)
            .map_err(CallNotMade::Local)
    }

    fn request_target(&self) -> String {
        let Some(generation) = self.generation else {
            return "/registry/instances".into();
        };
        let times = self.pacer.watch_times();
        let (wait, _) = times.wait_and_margin(self.is_renewal, true);
        let wait_ms = wait / 1_000;
        format!("/registry/instances?since={generation}&timeout_ms={wait_ms}")
    }

    /// The call has failed; `nothing_received`: nothing came, not even a refusal.
    pub(super) fn on_failure(
        &mut self,
        net: &mut Net,
        reason: &str,
        nothing_received: bool,
    ) -> Vec<ServerListUpdate> {
        self.close_connection(net);
        self.is_renewal = false;
        self.validator.on_failure();
        let (now, started_at) = (net.clock.now(), self.call_started_at);
        let mut verdict = match nothing_received {
            true => self.pacer.on_timeout(now, started_at),
            false => self.pacer.on_failure(now, started_at),
        };
        match self.earliest_call_at {
            // The former address may fail as it likes: the call to the next one stands.
            Some(at) if self.next_address.is_some() => verdict.at = at,
            _ => {
                self.earliest_call_at = Some(verdict.at);
                // Guards the rule on drains: the module's waits grow from call to call, what is
                // missed counts all the same.
                self.plan_call(net, verdict.at);
            }
        }
        let (after, next) = (
            now.since(self.call_started_at) / 1_000,
            verdict.at.since(now) / 1_000,
        );
        self.failures += 1;
        // Guards the log: an agent that is down is asked ten times a second.
        if self.failures == 1 || !self.pacer.renews_by_itself() {
            self.log.push(format!(
                "discovery: call failed after {after} ms: {reason}; next in {next} ms at the soonest: {verdict}"
            ));
        }
        vec![ServerListUpdate::Failed]
    }

    /// Ends the connection: the one place where it is given back.
    pub(super) fn close_connection(&mut self, net: &mut Net) {
        self.in_flight_call = None;
        if let Some(id) = self.conn.take() {
            net.close(id);
        }
    }

    /// A call's timer: its connection should be up by now, or its answer here.
    pub(super) fn check_call(&mut self, net: &mut Net, call: u64) -> Vec<ServerListUpdate> {
        let (wait, margin) = self
            .pacer
            .watch_times()
            .wait_and_margin(self.is_renewal, self.generation.is_some());
        let deadline = self.call_started_at.plus(wait + margin);
        let is_up = self
            .conn
            .and_then(|id| net.get(id))
            .is_some_and(|conn| conn.up);
        if !is_up {
            return self.on_failure(net, "it never came up", true);
        }
        if net.clock.now() >= deadline {
            return self.on_failure(net, "no answer", true);
        }
        net.wheel.set(deadline, Timer::Discovery(call));
        Vec::new()
    }

    /// Reads what has come. The watch is renewed as soon as it is answered.
    pub fn on_ready(
        &mut self,
        net: &mut Net,
        id: ConnId,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        if self.conn != Some(id) {
            return Vec::new();
        }
        let progress = net.transfer(id, MAX_RESPONSE_BYTES);
        let Some(conn) = net.get_mut(id) else {
            return Vec::new();
        };
        // A reset is no end: an answer without a length that breaks off is not complete.
        let has_ended = conn.ended;
        let is_broken = progress != TransferProgress::Alive;
        let response = match http::response(conn.input.bytes(), has_ended, MAX_RESPONSE_BYTES) {
            Ok(Parsed::Complete(response, used)) => {
                conn.input.consume(used);
                response
            }
            Ok(Parsed::Partial(_))
                if !has_ended && !is_broken && conn.input.bytes().len() < MAX_RESPONSE_BYTES =>
            {
                return Vec::new();
            }
            // Between two calls it may end without any harm.
            _ if self.in_flight_call.is_none() => {
                self.close_connection(net);
                return Vec::new();
            }
            _ => {
                let reason = "the connection broke, or what came is no answer";
                return self.on_failure(net, reason, false);
            }
        };
        if self.in_flight_call.take().is_none() {
            self.close_connection(net);
            return Vec::new();
        }
        let is_reusable = !has_ended && !is_broken && response.keep_alive;
        match read_list(&response) {
            Ok(list) => self.on_response(net, list, is_reusable, directory),
            Err(error) => self.on_failure(net, &error.to_string(), false),
        }
    }

    /// A call was answered with a list.
    fn on_response(
        &mut self,
        net: &mut Net,
        list: List,
        is_reusable: bool,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        self.is_renewal = true;
        if !is_reusable {
            self.close_connection(net);
        }
        let now = net.clock.now();
        if std::mem::take(&mut self.failures) > 0 {
            self.log.push("discovery: it answers again".into());
        }
        let next_call_at = self.pacer.on_response(now).at;
        if self.next_address.is_none() {
            self.earliest_call_at = Some(next_call_at);
        }
        let mut updates = self.on_list(net, now, list, directory);
        updates.extend(self.subscribe(net));
        updates
    }
}

/// Why a response of discovery is no list.
#[derive(Debug, Error)]
enum ListError {
    #[error("unreadable list: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("answered with {0}")]
    Status(u16),
}

fn read_list(response: &http::Response) -> Result<List, ListError> {
    match response.status {
        200 => Ok(serde_json::from_slice(&response.body)?),
        status => Err(ListError::Status(status)),
    }
}

//! Discovery: the list of data nodes, asked for once and then watched.
//!
//! The decision module says when to ask and how long to wait after a failure at least; where lists
//! are pushed to an agent of this machine it says nothing, and the watch is kept up from the start
//! on. A watch that was answered is renewed here. None of it is done before
//! `decide::discovery::call_pacer` allows it: a small fleet's calls go at once, so that its watches go
//! on, a large one's are spread.
mod directory;

pub use directory::{Directory, Instance, Lifecycle, List, OperatorOverrides};

use crate::decide::discovery::call_pacer::CallPacer;
use crate::decide::discovery::list_validator::{ListValidator, ReceivedList, Verdict};
use crate::http::{self, Parsed};
use crate::interface::{Micros, ServerListUpdate, Time};
use crate::net::{ConnId, ConnectError, Net, Owner, Timer, TransferProgress};
use std::net::SocketAddr;
use thiserror::Error;

/// A connection that is not up after this long never comes up.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Within this after it was told that a node drains or is gone, a broker stops sending to it, where
/// nothing else is set.
const STOP_WITHIN: Micros = 2_000_000;
/// The number of the timer that ends a doubted list's time; calls are numbered from 1.
const CONFIRMED: u64 = 0;
/// Longest list that is read.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call was not made.
enum CallNotMade {
    /// No connection could be begun here; discovery has no part in that.
    Local(ConnectError),
    /// The connection broke.
    Broken,
}

/// The client of discovery.
pub struct Discovery {
    address: SocketAddr,
    /// Version of the list that is held; `None`: none is, so the whole list is asked for.
    generation: Option<u64>,
    conn: Option<ConnId>,
    /// The call that is out, if one is; calls are numbered so that timers of earlier ones find
    /// nothing.
    call: Option<u64>,
    calls: u64,
    began: Time,
    /// It goes on with a watch that was answered just before.
    renews: bool,
    /// Calls that failed since one was answered.
    failed: u32,
    pacer: CallPacer,
    /// The next call is not made before this; unset until the first.
    not_before: Option<Time>,
    /// A call is to be made by the timer of this number.
    planned: Option<u64>,
    validator: ListValidator,
    /// A list that waits to be confirmed, and until when.
    unconfirmed_list: Option<(List, Time)>,
    /// Where discovery is to be asked from the next call on; until then a watch at the former
    /// address goes on.
    moving: Option<SocketAddr>,
    log: Vec<String>,
}

impl Discovery {
    /// A client that has asked nothing yet.
    #[must_use]
    pub fn new(address: SocketAddr, generation: Option<u64>, pacer: CallPacer) -> Self {
        let (conn, call, calls, began) = (None, None, 0, Time(0));
        let (not_before, planned) = (None, None);
        let (validator, unconfirmed_list, log) =
            (ListValidator::new(STOP_WITHIN), None, Vec::new());
        Discovery {
            address,
            generation,
            conn,
            call,
            calls,
            began,
            renews: false,
            failed: 0,
            pacer,
            not_before,
            planned,
            validator,
            unconfirmed_list,
            moving: None,
            log,
        }
    }

    /// The same where nothing new may go to a node `micros` after it was told to drain.
    #[must_use]
    pub fn stopping_within(self, micros: Micros) -> Self {
        Discovery {
            validator: ListValidator::new(micros),
            ..self
        }
    }

    /// Whether it is to ask again without being told to.
    #[must_use]
    pub fn keeps_watching(&self) -> bool {
        self.pacer.renews_by_itself()
    }

    /// Log lines since the last time.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// Asks for changes from now on, as soon as the pace allows, unless that is under way. A
    /// failure to ask is reported like any other.
    pub fn subscribe(&mut self, net: &mut Net) -> Vec<ServerListUpdate> {
        if self.call.is_some() || self.planned.is_some() {
            return Vec::new();
        }
        if let Some(address) = self.moving.take() {
            // The whole list is asked for: versions count from where they were told.
            (self.address, self.generation, self.renews) = (address, None, false);
            self.close_connection(net);
        }
        let (now, known) = (net.clock.now(), self.generation.is_some());
        let at = *self
            .not_before
            .get_or_insert_with(|| self.pacer.on_start(now, known).at);
        if at > now {
            self.plan(net, at);
            return Vec::new();
        }
        self.call(net)
            .err()
            .map_or_else(Vec::new, |reason| self.on_call_not_made(net, reason))
    }

    /// A call could not be made. Guards the rule on drains: discovery has not failed, and a broker
    /// that waited as if it had would not hear of a change for seconds after the others.
    fn on_call_not_made(&mut self, net: &mut Net, reason: CallNotMade) -> Vec<ServerListUpdate> {
        let CallNotMade::Local(reason) = reason else {
            return self.fail(net, "the connection broke", false);
        };
        let verdict = self.pacer.on_unsent(net.clock.now());
        self.log.push(format!(
            "discovery: no call could be made: {reason}; {verdict}"
        ));
        self.not_before = Some(verdict.at);
        self.plan(net, verdict.at);
        Vec::new()
    }

    /// A call is made then, whoever asks for it.
    fn plan(&mut self, net: &mut Net, at: Time) {
        self.calls += 1;
        self.planned = Some(self.calls);
        net.wheel.set(at, Timer::Discovery(self.calls));
    }

    /// Asks at another address from the next call on, which comes soon; until then a watch at the
    /// former one goes on. A call there that does not wait for changes is given up: what it would
    /// bring is asked for anew.
    pub fn move_to(&mut self, net: &mut Net, address: SocketAddr) -> Vec<ServerListUpdate> {
        if address == self.moving.unwrap_or(self.address) {
            return Vec::new();
        }
        self.moving = Some(address);
        let at = self.pacer.on_move(net.clock.now()).at;
        if self.generation.is_none() {
            self.close_connection(net);
        }
        self.not_before = Some(at);
        self.plan(net, at);
        Vec::new()
    }

    fn call(&mut self, net: &mut Net) -> Result<(), CallNotMade> {
        self.began = net.clock.now();
        let conn = match self
            .conn
            .filter(|id| net.get(*id).is_some_and(|c| c.up && !c.ended))
        {
            Some(id) => id,
            None => {
                // One that can't be used any more is given back before its place is needed.
                self.close_connection(net);
                net.connect(Owner::Discovery, self.address)
                    .map_err(CallNotMade::Local)?
            }
        };
        self.conn = Some(conn);
        let target = match self.generation {
            Some(since) => {
                let wait = self
                    .pacer
                    .watch_times()
                    .wait_and_margin(self.renews, true)
                    .0
                    / 1_000;
                format!("/registry/instances?since={since}&timeout_ms={wait}")
            }
            None => "/registry/instances".into(),
        };
        let request = format!(
            "GET {target} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.address
        );
        net.get_mut(conn)
            .ok_or(CallNotMade::Broken)?
            .send(request.as_bytes());
        self.calls += 1;
        self.call = Some(self.calls);
        net.wheel.set(
            self.began.plus(CONNECT_TIMEOUT),
            Timer::Discovery(self.calls),
        );
        (net.flush(conn, false) == TransferProgress::Alive)
            .then_some(())
            .ok_or(CallNotMade::Broken)
    }

    /// The call has failed; `nothing_received`: nothing came, not even a refusal.
    fn fail(&mut self, net: &mut Net, what: &str, nothing_received: bool) -> Vec<ServerListUpdate> {
        self.close_connection(net);
        self.renews = false;
        self.validator.on_failure();
        let (now, began) = (net.clock.now(), self.began);
        let mut verdict = match nothing_received {
            true => self.pacer.on_timeout(now, began),
            false => self.pacer.on_failure(now, began),
        };
        match self.not_before {
            // The former address may fail as it likes: the call to the next one stands.
            Some(at) if self.moving.is_some() => verdict.at = at,
            _ => {
                self.not_before = Some(verdict.at);
                // Guards the rule on drains: the module's waits grow from call to call, what is
                // missed counts all the same.
                self.plan(net, verdict.at);
            }
        }
        let (after, next) = (now.since(self.began) / 1_000, verdict.at.since(now) / 1_000);
        self.failed += 1;
        // Guards the log: an agent that is down is asked ten times a second.
        if self.failed == 1 || !self.pacer.renews_by_itself() {
            self.log.push(format!(
                "discovery: call failed after {after} ms: {what}; next in {next} ms at the soonest: {verdict}"
            ));
        }
        vec![ServerListUpdate::Failed]
    }

    /// A doubted list was not confirmed in time: what it wants stopped is stopped. What it says of
    /// others is not believed.
    fn on_confirmation_timeout(&mut self, directory: &mut Directory) -> Vec<ServerListUpdate> {
        let Some((list, _)) = self.unconfirmed_list.take() else {
            return Vec::new();
        };
        self.log.push(format!(
            "discovery: version {} was not confirmed: what it wants stopped is stopped",
            list.generation
        ));
        if list.instances.is_empty() {
            return vec![ServerListUpdate::Complete(directory.whole(&[]))];
        }
        let ends = list
            .instances
            .into_iter()
            .filter(|i| i.lifecycle != Lifecycle::Serving);
        vec![ServerListUpdate::Changes(
            directory.changes(&ends.collect::<Vec<_>>()),
        )]
    }

    /// Ends the connection: the one place where it is given back.
    fn close_connection(&mut self, net: &mut Net) {
        self.call = None;
        if let Some(id) = self.conn.take() {
            net.close(id);
        }
    }

    /// A call's timer: it may be made now, its connection should be up by now, or its answer here.
    pub fn timer(
        &mut self,
        net: &mut Net,
        call: u64,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        if call == CONFIRMED {
            let due = self
                .unconfirmed_list
                .as_ref()
                .is_some_and(|(_, at)| net.clock.now() >= *at);
            return if due {
                self.on_confirmation_timeout(directory)
            } else {
                Vec::new()
            };
        }
        if self.planned == Some(call) {
            self.planned = None;
            if self.moving.is_some() {
                // What is out at the former address is given up for the call to the next one.
                self.close_connection(net);
            }
            return self.subscribe(net);
        }
        if self.call != Some(call) {
            return Vec::new();
        }
        let (wait, patience) = self
            .pacer
            .watch_times()
            .wait_and_margin(self.renews, self.generation.is_some());
        let end = self.began.plus(wait + patience);
        let up = self.conn.and_then(|id| net.get(id)).is_some_and(|c| c.up);
        if !up {
            return self.fail(net, "it never came up", true);
        }
        if net.clock.now() >= end {
            return self.fail(net, "no answer", true);
        }
        net.wheel.set(end, Timer::Discovery(call));
        Vec::new()
    }

    /// Reads what has come. An answer is news, and the watch is renewed at once.
    pub fn ready(
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
        let (ended, broken) = (conn.ended, progress != TransferProgress::Alive);
        let answer = match http::response(conn.input.bytes(), ended, MAX_RESPONSE_BYTES) {
            Ok(Parsed::Complete(answer, used)) => {
                conn.input.consume(used);
                answer
            }
            Ok(Parsed::Partial(_))
                if !ended && !broken && conn.input.bytes().len() < MAX_RESPONSE_BYTES =>
            {
                return Vec::new();
            }
            // Between two calls it may end without any harm.
            _ if self.call.is_none() => {
                self.close_connection(net);
                return Vec::new();
            }
            _ => {
                let reason = "the connection broke, or what came is no answer";
                return self.fail(net, reason, false);
            }
        };
        if self.call.take().is_none() {
            self.close_connection(net);
            return Vec::new();
        }
        let list = match read_list(&answer) {
            Ok(list) => list,
            Err(error) => return self.fail(net, &error.to_string(), false),
        };
        self.renews = true;
        if ended || broken || !answer.keep_alive {
            self.close_connection(net);
        }
        let now = net.clock.now();
        if std::mem::take(&mut self.failed) > 0 {
            self.log.push("discovery: it answers again".into());
        }
        let next = self.pacer.on_response(now).at;
        if self.moving.is_none() {
            self.not_before = Some(next);
        }
        let mut updates = self.on_list(net, now, list, directory);
        updates.extend(self.subscribe(net));
        updates
    }

    /// Takes a list that has come, or asks for a whole one to confirm it.
    fn on_list(
        &mut self,
        net: &mut Net,
        now: Time,
        list: List,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        let whole = list.reset || self.generation.is_none();
        let received = ReceivedList {
            generation: list.generation,
            is_complete: whole,
            lines: list.instances.len(),
        };
        match self
            .validator
            .on_list(now, received, self.generation, directory.len())
        {
            Verdict::Accept(_) => {
                self.unconfirmed_list = None;
                self.generation = Some(list.generation);
                vec![match whole {
                    true => ServerListUpdate::Complete(directory.whole(&list.instances)),
                    false => ServerListUpdate::Changes(directory.changes(&list.instances)),
                }]
            }
            Verdict::Confirm(reason, until) => {
                self.log.push(format!(
                    "discovery: a list is doubted, the whole one is asked for: {reason}"
                ));
                // Of several in a row the first one's time counts: it was received then.
                let until = self
                    .unconfirmed_list
                    .as_ref()
                    .map_or(until, |(_, first)| until.min(*first));
                // The whole list is asked for; the timer is one that no call has.
                (self.generation, self.unconfirmed_list) = (None, Some((list, until)));
                net.wheel.set(until, Timer::Discovery(CONFIRMED));
                Vec::new()
            }
        }
    }
}

/// Why an answer of discovery is no list.
#[derive(Debug, Error)]
enum ListError {
    #[error("unreadable list: {0}")]
    Unreadable(#[from] serde_json::Error),
    #[error("answered with {0}")]
    Status(u16),
}

fn read_list(answer: &http::Response) -> Result<List, ListError> {
    match answer.status {
        200 => Ok(serde_json::from_slice(&answer.body)?),
        status => Err(ListError::Status(status)),
    }
}

#[cfg(test)]
mod tests;

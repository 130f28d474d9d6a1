//! Discovery: the list of data nodes, asked for once and then watched.
//!
//! The decision module says when to ask and how long to wait after a failure at least; where lists
//! are pushed to an agent of this machine it says nothing, and the watch is kept up from the start
//! on. A watch that was answered is renewed here. None of it is done before
//! `decide::discovery::call_pacer` allows it: a small fleet's calls go at once, so that its watches go
//! on, a large one's are spread.

mod call;
mod directory;
mod list;

pub use directory::{Directory, Instance, Lifecycle, List, OperatorOverrides};

use crate::decide::discovery::call_pacer::CallPacer;
use crate::decide::discovery::list_validator::ListValidator;
use crate::interface::{Micros, ServerListUpdate, Time};
use crate::net::{ConnId, ConnectError, Net, Timer};
use std::net::SocketAddr;

/// Within this after a node was listed as draining or gone, a broker stops sending to it, where nothing
/// else is set.
const STOP_WITHIN: Micros = 2_000_000;
/// The number of the timer until which a doubted list may be confirmed; calls are numbered from 1.
const CONFIRMATION_TIMER: u64 = 0;
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
    /// The call that is in flight, if one is; calls are numbered so that timers of earlier ones find
    /// nothing.
    in_flight_call: Option<u64>,
    last_call_number: u64,
    call_started_at: Time,
    /// The call goes on with a watch that was answered just before.
    is_renewal: bool,
    /// Calls that failed since one was answered.
    failures: u32,
    pacer: CallPacer,
    /// The next call is not made before this; unset until the first.
    earliest_call_at: Option<Time>,
    /// A call is to be made by the timer of this number.
    planned_call: Option<u64>,
    validator: ListValidator,
    /// A list that waits to be confirmed, and until when.
    unconfirmed_list: Option<(List, Time)>,
    /// Where discovery is to be asked from the next call on; until then a watch at the former
    /// address goes on.
    next_address: Option<SocketAddr>,
    log: Vec<String>,
}

impl Discovery {
    /// A client that has asked nothing yet.
    #[must_use]
    pub fn new(address: SocketAddr, generation: Option<u64>, pacer: CallPacer) -> Self {
        Discovery {
            address,
            generation,
            conn: None,
            in_flight_call: None,
            last_call_number: 0,
            call_started_at: Time(0),
            is_renewal: false,
            failures: 0,
            pacer,
            earliest_call_at: None,
            planned_call: None,
            validator: ListValidator::new(STOP_WITHIN),
            unconfirmed_list: None,
            next_address: None,
            log: Vec::new(),
        }
    }

    /// The same where nothing new may go to a node `micros` after it was listed as draining.
    #[must_use]
    pub fn stopping_within(self, micros: Micros) -> Self {
        Discovery {
            validator: ListValidator::new(micros),
            ..self
        }
    }

    /// Whether it keeps up the watch without being asked to.
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
        if self.in_flight_call.is_some() || self.planned_call.is_some() {
            return Vec::new();
        }
        if let Some(address) = self.next_address.take() {
            // The whole list is asked for: versions count from where they come.
            self.address = address;
            self.generation = None;
            self.is_renewal = false;
            self.close_connection(net);
        }
        let (now, known) = (net.clock.now(), self.generation.is_some());
        let at = *self
            .earliest_call_at
            .get_or_insert_with(|| self.pacer.on_start(now, known).at);
        if at > now {
            self.plan_call(net, at);
            return Vec::new();
        }
        self.start_call(net)
            .err()
            .map_or_else(Vec::new, |reason| self.on_call_not_made(net, reason))
    }

    /// A call could not be made. Guards the rule on drains: discovery has not failed, and a broker
    /// that waited as if it had would not hear of a change for seconds after the others.
    fn on_call_not_made(&mut self, net: &mut Net, reason: CallNotMade) -> Vec<ServerListUpdate> {
        let CallNotMade::Local(reason) = reason else {
            return self.on_failure(net, "the connection broke", false);
        };
        let verdict = self.pacer.on_unsent(net.clock.now());
        self.log.push(format!(
            "discovery: no call could be made: {reason}; {verdict}"
        ));
        self.earliest_call_at = Some(verdict.at);
        self.plan_call(net, verdict.at);
        Vec::new()
    }

    /// A call is made then, whoever asks for it.
    fn plan_call(&mut self, net: &mut Net, at: Time) {
        self.last_call_number += 1;
        self.planned_call = Some(self.last_call_number);
        net.wheel.set(at, Timer::Discovery(self.last_call_number));
    }

    /// Asks at another address from the next call on, which comes soon; until then a watch at the
    /// former one goes on. A call there that does not wait for changes is given up: what it would
    /// bring is asked for anew.
    pub fn move_to(&mut self, net: &mut Net, address: SocketAddr) -> Vec<ServerListUpdate> {
        if address == self.next_address.unwrap_or(self.address) {
            return Vec::new();
        }
        self.next_address = Some(address);
        let at = self.pacer.on_address_change(net.clock.now()).at;
        if self.generation.is_none() {
            self.close_connection(net);
        }
        self.earliest_call_at = Some(at);
        self.plan_call(net, at);
        Vec::new()
    }

    /// A timer of discovery: a call may be made now, its connection should be up by now, its answer
    /// here, or a doubted list confirmed.
    pub fn on_timer(
        &mut self,
        net: &mut Net,
        call: u64,
        directory: &mut Directory,
    ) -> Vec<ServerListUpdate> {
        if call == CONFIRMATION_TIMER {
            return self.on_confirmation_timer(net.clock.now(), directory);
        }
        if self.planned_call == Some(call) {
            self.planned_call = None;
            if self.next_address.is_some() {
                // The call at the former address is given up for the one to the next.
                self.close_connection(net);
            }
            return self.subscribe(net);
        }
        if self.in_flight_call != Some(call) {
            return Vec::new();
        }
        self.check_call(net, call)
    }
}

#[cfg(test)]
mod tests;

//! The brokers of the fleet, and the servers' responses that are in flight.

use lichenswitch::interface::{
    Action, Event, ListedServer, Micros, Outcome, PartId, ServerId, ServerListUpdate, Time,
};
use lichenswitch::policy::Coordinator;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A response in flight: its arrival time, broker, part, attempt and server.
type PendingResponse = (Time, usize, u64, u16, u32);

/// The brokers, and the servers as they see them.
pub(super) struct Brokers {
    coordinators: Vec<Coordinator>,
    pending_responses: BinaryHeap<Reverse<PendingResponse>>,
    attempts: BTreeMap<u64, u16>,
    service_time: Micros,
    cold_server: u32,
    /// When parts arrived at the cold server.
    pub(super) cold_arrivals: Vec<Time>,
    pub(super) answered_queries: usize,
}

impl Brokers {
    /// Brokers whose parts a server answers after `service_time`.
    pub(super) fn new(
        coordinators: Vec<Coordinator>,
        service_time: Micros,
        cold_server: u32,
    ) -> Brokers {
        Brokers {
            coordinators,
            pending_responses: BinaryHeap::new(),
            attempts: BTreeMap::new(),
            service_time,
            cold_server,
            cold_arrivals: Vec::new(),
            answered_queries: 0,
        }
    }

    /// Number of brokers.
    pub(super) fn count(&self) -> usize {
        self.coordinators.len()
    }

    /// Runs a turn of a broker with these events.
    pub(super) fn handle_events(&mut self, now: Time, broker: usize, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.coordinators[broker].turn(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Send { part, server, .. } => {
                    let attempt = self.attempts.entry(part.0).or_insert(0);
                    let due = now.plus(self.service_time);
                    self.pending_responses
                        .push(Reverse((due, broker, part.0, *attempt, server.0)));
                    *attempt += 1;
                    if server.0 == self.cold_server {
                        self.cold_arrivals.push(now);
                    }
                }
                Action::Answer { .. } => self.answered_queries += 1,
                _ => {}
            }
        }
    }

    /// Sends lines of the list of servers to all brokers.
    pub(super) fn update_servers(&mut self, now: Time, lines: &[ListedServer], is_complete: bool) {
        for broker in 0..self.coordinators.len() {
            let lines = lines.to_vec();
            let update = if is_complete {
                ServerListUpdate::Complete(lines)
            } else {
                ServerListUpdate::Changes(lines)
            };
            self.handle_events(now, broker, vec![Event::List(update)]);
        }
    }

    /// Delivers the responses that are due by a time.
    pub(super) fn deliver_responses_until(&mut self, at: Time) {
        while let Some(&Reverse((due, broker, part, attempt, server))) =
            self.pending_responses.peek()
        {
            if due > at {
                return;
            }
            self.pending_responses.pop();
            let (part, server, outcome) = (PartId(part), ServerId(server), Outcome::Ok);
            let finished = Event::Finished {
                part,
                attempt,
                server,
                outcome,
                elapsed: self.service_time,
            };
            self.handle_events(due, broker, vec![finished]);
        }
    }
}

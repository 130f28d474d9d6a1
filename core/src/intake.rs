//! Intake: a query is admitted and given its ids, or refused before the module sees it.

use super::{Core, Part, Query, Request};
use crate::contract::ContractViolation;
use lichenswitch_interface::{Event, Micros, PartId, Placement, QueryId, Shard, Time};
use lichenswitch_phases::WeightedSlice;
use std::rc::Rc;

/// Why a query was not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// Too many queries and parts are held; ask again after this long.
    Busy(Option<Micros>),
    /// The team's contract does not allow it.
    Contract(ContractViolation),
    /// The broker is about to end, sooner than the query may, or sends clients away.
    Stopping,
    /// Its parts make no sense.
    Malformed(&'static str),
}

/// Weights of a query may miss 1 by this much: clients round them.
const ROUNDING: f64 = 1e-3;

/// Guards data nodes and honest answers: a part for a shard that there is not, one that comes twice
/// or weights that are no shares would be sent, turned away, and counted.
fn check_parts(parts: &[(Shard, f64)], shards: u32) -> Result<(), Refusal> {
    let mut shards_of_parts: Vec<Shard> = parts.iter().map(|p| p.0).collect();
    shards_of_parts.sort_unstable();
    let is_any_repeated = shards_of_parts.windows(2).any(|pair| pair[0] == pair[1]);
    let is_any_unknown = shards_of_parts.last().is_none_or(|last| last.0 >= shards);
    let is_share = |weight: f64| weight > 0.0 && weight <= 1.0 + ROUNDING;
    let sum: f64 = parts.iter().map(|p| p.1).sum();
    match () {
        () if parts.is_empty() => Err(Refusal::Malformed("a query needs parts")),
        () if is_any_unknown => Err(Refusal::Malformed("there is no such shard")),
        () if is_any_repeated => Err(Refusal::Malformed("a shard comes twice")),
        () if !parts.iter().all(|p| is_share(p.1)) => {
            Err(Refusal::Malformed("a weight is out of range"))
        }
        () if (sum - 1.0).abs() > ROUNDING => {
            Err(Refusal::Malformed("the weights do not sum to 1"))
        }
        () => Ok(()),
    }
}

/// The parts with weights that sum to 1. Guards wide queries: what their clients rounded off adds up,
/// and a sum short of 1 would look to the module like a part that can't be had, so that it answered
/// in part as soon as the floor was in.
fn scaled_to_one(parts: &[(Shard, f64)]) -> Vec<(Shard, f64)> {
    let sum: f64 = parts.iter().map(|p| p.1).sum();
    parts
        .iter()
        .map(|&(shard, weight)| (shard, weight / sum))
        .collect()
}

impl<J> Core<J> {
    /// From now on no query is open later than this, and none is taken for whose latency
    /// target there is no time left. Clients are served for as long as there is: when brokers are restarted in turn,
    /// some have nowhere else to go.
    pub fn set_end_time(&mut self, at: Time) {
        self.must_end_by = Some(at);
    }

    /// Whether queries are refused until further notice, as they are when the broker stops.
    pub fn pause_intake(&mut self, on: bool) {
        self.is_paused = on;
    }

    /// Whether it takes queries as if it never ended.
    #[must_use]
    pub fn is_open_ended(&self) -> bool {
        self.must_end_by.is_none()
    }

    /// Whether a query of some class would still be taken.
    #[must_use]
    pub fn accepts_queries(&self, now: Time) -> bool {
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target.min(c.deadline))
            .min()
            .unwrap_or_default();
        self.must_end_by.is_none_or(|at| now.plus(shortest) <= at)
    }

    /// Takes a query. Its final answer comes as a command of a later turn.
    ///
    /// # Errors
    /// Why the query is not taken; nothing of it has run.
    pub fn submit(&mut self, now: Time, request: Request<J>) -> Result<QueryId, Refusal> {
        let class = request.class;
        let admitted = self.admit(now, request);
        if let (Err(refusal), Some(counters)) = (&admitted, self.counters.get_mut(class)) {
            match refusal {
                Refusal::Busy(_)
                | Refusal::Stopping
                | Refusal::Contract(ContractViolation::Rate(_)) => counters.refused += 1,
                Refusal::Contract(_) | Refusal::Malformed(_) => counters.failed += 1,
            }
        }
        admitted
    }

    fn admit(&mut self, now: Time, mut request: Request<J>) -> Result<QueryId, Refusal> {
        check_parts(&request.parts, self.settings.layout.shards)?;
        let Some(class) = self.settings.classes.get(request.class) else {
            return Err(Refusal::Malformed("there is no such class"));
        };
        if self.is_paused {
            return Err(Refusal::Stopping);
        }
        if let Some(at) = self.must_end_by {
            if request.deadline.min(now.plus(class.latency_target)) > at {
                return Err(Refusal::Stopping);
            }
            // Guards the final answer: what is open when the process is killed gets none.
            request.deadline = request.deadline.min(at);
        }
        // Guards memory: what is held is bounded, and the module never sees the query.
        let limits = &self.settings.limits;
        if self.held_entries >= (limits.max_held / self.process_shares.capacity_divisor) as usize {
            return Err(Refusal::Busy(limits.retry_after.map(|most| most / 2)));
        }
        self.contracts
            .admit(now, request.team.as_deref(), request.class)
            .map_err(Refusal::Contract)?;
        Ok(self.insert(now, request))
    }

    /// Gives a query that is admitted its ids, and reports it to the module and the planner.
    fn insert(&mut self, now: Time, request: Request<J>) -> QueryId {
        let id = QueryId(self.new_id());
        self.next_number = (self.next_number + 1) % super::NUMBERS;
        let number = self.next_number;
        self.inbox.push(Event::Query {
            query: id,
            number,
            class: request.class as u16,
            deadline: request.deadline,
            key: request.key,
            is_retry: request.is_retry,
            tenant: request.tenant,
        });
        if request.placement != Placement::default() {
            self.inbox.push(Event::Placement {
                number,
                placement: request.placement,
            });
        }
        self.deadlines.insert((request.deadline, id));
        let query = Query {
            number,
            class: request.class,
            deadline: request.deadline,
            job: Rc::new(request.job),
            parts: Vec::with_capacity(request.parts.len()),
            first: None,
            top: request.top,
            left_out: Vec::new(),
            is_doubtful: false,
        };
        self.queries.insert(id, query);
        self.held_entries += 1;
        let parts = scaled_to_one(&request.parts);
        let has_two_steps = self.settings.classes[request.class].second_step > 0;
        if has_two_steps && self.planner.is_planned(request.class) {
            let slice = |(shard, weight): &(Shard, f64)| WeightedSlice {
                slice: shard.0,
                weight: *weight,
            };
            let slices: Vec<WeightedSlice> = parts.iter().map(slice).collect();
            self.planner.on_query(now, id, request.class, &slices);
        }
        for (shard, weight) in parts {
            self.add_part(id, shard, weight, false, None);
        }
        id
    }

    /// Adds a part to a query that is held; the module gets it in the next turn.
    pub(super) fn add_part(
        &mut self,
        query: QueryId,
        shard: Shard,
        weight: f64,
        is_second_step: bool,
        most: Option<usize>,
    ) -> Option<PartId> {
        let part = PartId(self.new_id());
        let q = self.queries.get_mut(&query)?;
        self.parts.insert(part, (query, q.parts.len()));
        q.parts.push(Part {
            id: part,
            shard,
            weight,
            is_second_step,
            attempts: 0,
            never_left: 0,
            value: None,
            most,
            is_proved_unneeded: false,
            first_possible_run: None,
        });
        self.held_entries += 1;
        self.inbox.push(Event::Part {
            part,
            number: q.number,
            shard,
            weight,
        });
        Some(part)
    }

    /// The client of a query has left: there is nobody to answer.
    pub fn hangup(&mut self, query: QueryId) {
        if self.release(query).is_some() {
            self.inbox.push(Event::Hangup(query));
        }
    }

    /// Removes a query and its parts from the tables: the one place where they are released.
    pub(super) fn release(&mut self, query: QueryId) -> Option<Query<J>> {
        let q = self.queries.remove(&query)?;
        self.deadlines.remove(&(q.deadline, query));
        self.planner.on_end(query);
        self.held_entries -= 1 + q.parts.len();
        self.bytes -= q
            .parts
            .iter()
            .filter_map(|p| p.value.as_ref())
            .map(|v| v.bytes.len())
            .sum::<usize>();
        for part in &q.parts {
            self.parts.remove(&part.id);
            // Guards against parts that nobody waits for: one that still waits for a connection is
            // sent by nobody.
            let in_flight =
                (0..part.attempts).filter_map(|number| self.in_flight.get(&(part.id, number)));
            self.recalls.extend(in_flight);
        }
        Some(q)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

//! Intake: admits queries and assigns their identifiers, or refuses them before the module.

use super::{Core, Part, Query, Request};
use crate::contract::ContractViolation;
use lichenswitch_interface::{Event, Micros, PartId, Placement, QueryId, Shard, Time};
use lichenswitch_phases::WeightedSlice;
use std::rc::Rc;

/// Reason for refusing a query at intake.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// Too many queries and parts are held; holds the retry-after advice, if any.
    Busy(Option<Micros>),
    /// The contract of the client's team does not allow the query.
    Contract(ContractViolation),
    /// Intake is paused, or the broker stops before the query could meet its latency target.
    Stopping,
    /// The class, the shards or the weights are invalid; holds the reason.
    Malformed(&'static str),
}

/// Tolerance for the sum of a query's weights, which clients round.
const ROUNDING: f64 = 1e-3;

/// Checks the parts of a query. An unknown or repeated shard or an invalid weight would otherwise
/// cost a send that is rejected, and would distort the completeness of the answer.
fn validate_parts(parts: &[(Shard, f64)], shards: u32) -> Result<(), Refusal> {
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

/// Returns the parts with weights scaled to sum to 1. In wide queries the clients' rounding errors
/// add up; the module would take a sum below 1 for an unreachable part and answer in part as soon
/// as the floor is reached.
fn normalize_weights(parts: &[(Shard, f64)]) -> Vec<(Shard, f64)> {
    let sum: f64 = parts.iter().map(|p| p.1).sum();
    parts
        .iter()
        .map(|&(shard, weight)| (shard, weight / sum))
        .collect()
}

impl<J> Core<J> {
    /// Sets the time by which every query must end. Queries whose latency target fits are still
    /// taken, because clients may have no other broker while brokers are restarted in turn.
    pub fn set_end_time(&mut self, at: Time) {
        self.end_time = Some(at);
    }

    /// Pauses or resumes intake; paused intake refuses queries with [`Refusal::Stopping`].
    pub fn pause_intake(&mut self, on: bool) {
        self.is_paused = on;
    }

    /// Returns whether no end time is set.
    #[must_use]
    pub fn is_open_ended(&self) -> bool {
        self.end_time.is_none()
    }

    /// Returns whether the end time still allows a query of at least one class.
    #[must_use]
    pub fn accepts_queries(&self, now: Time) -> bool {
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target.min(c.deadline))
            .min()
            .unwrap_or_default();
        self.end_time.is_none_or(|at| now.plus(shortest) <= at)
    }

    /// Submits a query. A later turn returns its final answer as a command.
    ///
    /// # Errors
    /// Returns the reason if the query is refused; no part of it has run.
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
        validate_parts(&request.parts, self.settings.layout.shards)?;
        let Some(class) = self.settings.classes.get(request.class) else {
            return Err(Refusal::Malformed("there is no such class"));
        };
        if self.is_paused {
            return Err(Refusal::Stopping);
        }
        if let Some(at) = self.end_time {
            if request.deadline.min(now.plus(class.latency_target)) > at {
                return Err(Refusal::Stopping);
            }
            // A query that is open when the process is killed gets no final answer.
            request.deadline = request.deadline.min(at);
        }
        // Bounds memory; the module never sees the refused query.
        let limits = &self.settings.limits;
        if self.held_entries >= (limits.max_held / self.process_shares.capacity_divisor) as usize {
            return Err(Refusal::Busy(limits.retry_after.map(|most| most / 2)));
        }
        self.contracts
            .admit(now, request.team.as_deref(), request.class)
            .map_err(Refusal::Contract)?;
        Ok(self.insert(now, request))
    }

    /// Assigns identifiers to an admitted query and reports it to the module and the planner.
    fn insert(&mut self, now: Time, request: Request<J>) -> QueryId {
        let id = QueryId(self.new_id());
        self.next_number = (self.next_number + 1) % super::MAX_QUERY_NUMBERS;
        let number = self.next_number;
        self.pending_events.push(Event::Query {
            query: id,
            number,
            class: request.class as u16,
            deadline: request.deadline,
            key: request.key,
            is_retry: request.is_retry,
            tenant: request.tenant,
        });
        if request.placement != Placement::default() {
            self.pending_events.push(Event::Placement {
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
            skipped_shards: Vec::new(),
            is_doubtful: false,
        };
        self.queries.insert(id, query);
        self.held_entries += 1;
        let parts = normalize_weights(&request.parts);
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

    /// Adds a part to a held query; the module receives it in the next turn.
    pub(super) fn add_part(
        &mut self,
        query: QueryId,
        shard: Shard,
        weight: f64,
        is_second_step: bool,
        max_elements: Option<usize>,
    ) -> Option<PartId> {
        let part = PartId(self.new_id());
        let held_query = self.queries.get_mut(&query)?;
        self.parts.insert(part, (query, held_query.parts.len()));
        held_query.parts.push(Part {
            id: part,
            shard,
            weight,
            is_second_step,
            attempts: 0,
            never_left: 0,
            value: None,
            max_elements,
            is_proved_unneeded: false,
            first_possible_run: None,
        });
        self.held_entries += 1;
        self.pending_events.push(Event::Part {
            part,
            number: held_query.number,
            shard,
            weight,
        });
        Some(part)
    }

    /// Ends a query without an answer because its client has disconnected.
    pub fn hangup(&mut self, query: QueryId) {
        if self.release(query).is_some() {
            self.pending_events.push(Event::Hangup(query));
        }
    }

    /// Removes a query and its parts from all tables. No other function removes them.
    pub(super) fn release(&mut self, query: QueryId) -> Option<Query<J>> {
        let held_query = self.queries.remove(&query)?;
        self.deadlines.remove(&(held_query.deadline, query));
        self.planner.on_end(query);
        self.held_entries -= 1 + held_query.parts.len();
        self.value_bytes -= held_query
            .parts
            .iter()
            .filter_map(|p| p.value.as_ref())
            .map(|v| v.bytes.len())
            .sum::<usize>();
        for part in &held_query.parts {
            self.parts.remove(&part.id);
            // Recalls attempts in flight, so that one that still waits for a connection is not
            // sent.
            let in_flight =
                (0..part.attempts).filter_map(|number| self.attempt_ids.get(&(part.id, number)));
            self.recalls.extend(in_flight);
        }
        Some(held_query)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

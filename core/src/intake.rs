//! Intake: a query is taken and given its ids, or turned away unseen.

use super::{Core, Part, Query, Request};
use crate::contract::Breach;
use lichenswitch_interface::{Event, Micros, PartId, Placement, QueryId, Shard, Time};
use std::rc::Rc;

/// Why a query was not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Refusal {
    /// Too many queries and parts are held; ask again after this long.
    Busy(Option<Micros>),
    /// The team's contract does not allow it.
    Contract(Breach),
    /// The broker is about to end, sooner than the query may, or sends clients away.
    Stopping,
    /// Its parts make no sense.
    Malformed(&'static str),
}

/// Weights of a query may miss 1 by this much: clients round them.
const ROUNDING: f64 = 1e-3;

/// Guards data nodes and honest answers: a part for a shard that there is not, one that comes twice
/// or weights that are no shares would be sent, turned away, and counted.
fn sound(parts: &[(Shard, f64)], shards: u32) -> Result<(), Refusal> {
    let mut asked: Vec<Shard> = parts.iter().map(|p| p.0).collect();
    asked.sort_unstable();
    let twice = asked.windows(2).any(|pair| pair[0] == pair[1]);
    let unknown = asked.last().is_none_or(|last| last.0 >= shards);
    let share = |weight: f64| weight > 0.0 && weight <= 1.0 + ROUNDING;
    let sum: f64 = parts.iter().map(|p| p.1).sum();
    match () {
        () if parts.is_empty() => Err(Refusal::Malformed("a query needs parts")),
        () if unknown => Err(Refusal::Malformed("there is no such shard")),
        () if twice => Err(Refusal::Malformed("a shard comes twice")),
        () if !parts.iter().all(|p| share(p.1)) => {
            Err(Refusal::Malformed("a weight is out of range"))
        }
        () if (sum - 1.0).abs() > ROUNDING => {
            Err(Refusal::Malformed("the weights do not sum to 1"))
        }
        () => Ok(()),
    }
}

impl<J> Core<J> {
    /// From now on no query is open later than this, and none is taken for whose aim there is no
    /// time left. Clients are served for as long as there is: when brokers are restarted in turn,
    /// some have nowhere else to go.
    pub fn end_by(&mut self, at: Time) {
        self.end_by = Some(at);
    }

    /// Whether queries are refused until further notice, as they are when the broker stops.
    pub fn hold_off(&mut self, on: bool) {
        self.held_off = on;
    }

    /// Whether it takes queries as if it never ended.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        self.end_by.is_none()
    }

    /// Whether a query of some class would still be taken.
    #[must_use]
    pub fn takes(&self, now: Time) -> bool {
        let shortest = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target.min(c.deadline))
            .min()
            .unwrap_or_default();
        self.end_by.is_none_or(|at| now.plus(shortest) <= at)
    }

    /// Takes a query. Its final answer comes as a command of a later turn.
    pub fn take(&mut self, now: Time, request: Request<J>) -> Result<QueryId, Refusal> {
        let class = request.class;
        let taken = self.admit(now, request);
        if let (Err(refusal), Some(tally)) = (&taken, self.tallies.get_mut(class)) {
            match refusal {
                Refusal::Busy(_) | Refusal::Stopping | Refusal::Contract(Breach::Rate(_)) => {
                    tally.refused += 1
                }
                Refusal::Contract(_) | Refusal::Malformed(_) => tally.failed += 1,
            }
        }
        taken
    }

    fn admit(&mut self, now: Time, mut request: Request<J>) -> Result<QueryId, Refusal> {
        sound(&request.parts, self.settings.layout.shards)?;
        if request.class >= self.settings.classes.len() {
            return Err(Refusal::Malformed("there is no such class"));
        }
        if self.held_off {
            return Err(Refusal::Stopping);
        }
        if let Some(at) = self.end_by {
            let latency_target = self
                .settings
                .classes
                .get(request.class)
                .map_or(0, |c| c.latency_target);
            if request.deadline.min(now.plus(latency_target)) > at {
                return Err(Refusal::Stopping);
            }
            // Guards the final answer: what is open when the process is killed gets none.
            request.deadline = request.deadline.min(at);
        }
        // Guards memory: what is held is bounded, and the module never sees the query.
        if self.held >= (self.settings.limits.held / self.parts_of.held) as usize {
            return Err(Refusal::Busy(
                self.settings.limits.retry_after.map(|most| most / 2),
            ));
        }
        self.contracts
            .admit(now, request.team.as_deref(), request.class)
            .map_err(Refusal::Contract)?;
        let id = QueryId(self.new_id());
        self.next_number = (self.next_number + 1) % super::NUMBERS;
        let number = self.next_number;
        self.inbox.push(Event::Query {
            query: id,
            number,
            class: request.class as u16,
            deadline: request.deadline,
            key: request.key,
            again: request.again,
            tenant: request.tenant,
        });
        if request.placement != Placement::default() {
            self.inbox.push(Event::Placement {
                number,
                placement: request.placement,
            });
        }
        self.deadlines.insert((request.deadline, id));
        self.queries.insert(
            id,
            Query {
                number,
                class: request.class,
                deadline: request.deadline,
                job: Rc::new(request.job),
                parts: Vec::with_capacity(request.parts.len()),
                first: None,
                top: request.top,
                left_out: Vec::new(),
                doubt: false,
            },
        );
        self.held += 1;
        let two_steps = self.settings.classes[request.class].second_step > 0;
        // Guards wide queries: what their clients rounded off adds up, and a sum short of 1 would
        // look to the module like a part that can't be had, so that it answered in part as soon as
        // the floor was in.
        let sum: f64 = request.parts.iter().map(|p| p.1).sum();
        let parts: Vec<(Shard, f64)> = request
            .parts
            .iter()
            .map(|&(s, weight)| (s, weight / sum))
            .collect();
        if two_steps && self.planner.plans(request.class) {
            let parts: Vec<(u32, f64)> = parts.iter().map(|p| (p.0 .0, p.1)).collect();
            self.planner.on_query(now, id, request.class, &parts);
        }
        for (shard, weight) in parts {
            self.add_part(id, shard, weight, false, None);
        }
        Ok(id)
    }

    /// Adds a part to a query that is held; the module hears of it in the next turn.
    pub(super) fn add_part(
        &mut self,
        query: QueryId,
        shard: Shard,
        weight: f64,
        second: bool,
        most: Option<usize>,
    ) -> Option<PartId> {
        let part = PartId(self.new_id());
        let q = self.queries.get_mut(&query)?;
        self.parts.insert(part, (query, q.parts.len()));
        let (value, proved) = (None, false);
        let (attempts, unsent, ran) = (0, 0, None);
        q.parts.push(Part {
            id: part,
            shard,
            weight,
            second,
            attempts,
            unsent,
            value,
            most,
            proved,
            ran,
        });
        self.held += 1;
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

    /// Takes a query and its parts out of the books: the one place where they are given back.
    pub(super) fn release(&mut self, query: QueryId) -> Option<Query<J>> {
        let q = self.queries.remove(&query)?;
        self.deadlines.remove(&(q.deadline, query));
        self.planner.on_end(query);
        self.held -= 1 + q.parts.len();
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
            let out = (0..part.attempts).filter_map(|number| self.out.get(&(part.id, number)));
            self.recalls.extend(out);
        }
        Some(q)
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }
}

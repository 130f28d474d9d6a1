//! The arrival of queries, and their replies, which are checked and counted.

use super::{Job, QueryRecord, SimulationEvent, World, START};
use lichenswitch::core::{Reply, Request, Value};
use lichenswitch::decide::phases::prune::SortDirection;
use lichenswitch::interface::{Micros, Placement, QueryId, Shard};
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::time::Instant;

/// Rounding errors in sums of shares.
const SHARE_TOLERANCE: f64 = 1e-4;

/// How much of a query was answered.
struct Coverage {
    /// Share of the first phase, or of the only one.
    first: f64,
    /// Whether the first of two phases was complete.
    is_first_complete: bool,
    /// Share of the second phase; 1 where there is none.
    second: f64,
}

impl World {
    /// A query arrives at the broker, and the next arrival is scheduled.
    pub(super) fn arrive(&mut self) {
        if self.now.since(START) as f64 >= self.scenario.seconds * 1e6 {
            return;
        }
        let gap = Exp::new(self.scenario.rate).map_or(1.0, |d| d.sample(&mut self.arrivals));
        self.at(
            self.now.plus((gap * 1e6) as Micros + 1),
            SimulationEvent::Arrival,
        );
        let query = self.random_query();
        let class = &self.classes[query.class];
        self.totals.queries += 1;
        self.totals.asked += class.value;
        self.totals.two_phase += u64::from(class.second_step > 0);
        let serial = self.queries.len() as u32;
        let request = self.request(serial, &query);
        self.queries.push(query);
        let began = Instant::now();
        let accepted = self.core.submit(self.now, request);
        self.totals.wall_time += began.elapsed();
        match accepted {
            Ok(id) => drop(self.by_id.insert(id, serial)),
            Err(_) => {
                self.queries[serial as usize].end_count += 1;
                self.totals.given_up += 1;
            }
        }
    }

    fn random_query(&mut self) -> QueryRecord {
        let mut sample = self.arrivals.random_range(0.0..1.0);
        let class = self.scenario.mix.iter().position(|mix| {
            sample -= mix.share;
            sample < 0.0
        });
        let class = class.unwrap_or(0);
        let first_shard = self.arrivals.random_range(0..self.shards);
        let deadline_share = self.arrivals.random_range(0.6..1.0);
        let deadline = self.classes[class].deadline as f64 * deadline_share;
        QueryRecord {
            class,
            first_shard,
            parts: self.scenario.mix[class].parts.min(self.shards),
            arrived: self.now,
            deadline: self.now.plus(deadline as Micros),
            first_phase: None,
            end_count: 0,
        }
    }

    fn request(&self, serial: u32, query: &QueryRecord) -> Request<Job> {
        let weight = 1.0 / f64::from(query.parts);
        let shard = |i| Shard((query.first_shard + i) % self.shards);
        Request {
            class: query.class,
            deadline: query.deadline,
            key: 0,
            placement: Placement::default(),
            is_retry: false,
            tenant: u32::MAX,
            team: None,
            parts: (0..query.parts).map(|i| (shard(i), weight)).collect(),
            top: self.scenario.mix[query.class]
                .top
                .map(|k| (k, SortDirection::Descending)),
            job: Job { serial },
        }
    }

    /// The broker replies to a query.
    pub(super) fn reply(&mut self, query: QueryId, reply: &Reply) {
        let code = match reply {
            Reply::Served { whole, values, .. } => 10 + 2 * values.len() as u64 + u64::from(*whole),
            Reply::Refused(after) => 7 + after.unwrap_or(0),
            Reply::Failed => 8,
        };
        self.record(&[3, query.0, code]);
        let Some(serial) = self.by_id.remove(&query) else {
            self.totals.lost += 1;
            return;
        };
        let record = &mut self.queries[serial as usize];
        record.end_count += 1;
        if self.now > record.deadline {
            self.totals.lost += 1;
        }
        match reply {
            Reply::Served {
                whole,
                values,
                missing_shards: gaps,
            } => self.count_served(serial, *whole, values, gaps.len()),
            Reply::Refused(_) | Reply::Failed => self.totals.given_up += 1,
        }
    }

    fn coverage(&self, record: &QueryRecord, values: usize, gaps: usize) -> Coverage {
        let parts = f64::from(record.parts);
        let is_sorted = self.scenario.mix[record.class].top.is_some();
        match &record.first_phase {
            None => Coverage {
                first: values as f64 / parts,
                is_first_complete: true,
                second: 1.0,
            },
            Some(phase) if is_sorted => Coverage {
                first: 1.0 - gaps as f64 / parts,
                is_first_complete: phase.is_complete,
                second: 1.0,
            },
            Some(phase) => {
                let second_step = self.classes[record.class].second_step as usize;
                let desired = second_step.min(phase.shards);
                Coverage {
                    first: phase.shards as f64 / parts,
                    is_first_complete: phase.is_complete,
                    second: values as f64 / desired.max(1) as f64,
                }
            }
        }
    }

    /// Checks and counts an answer, which the broker marks as whole or not.
    fn count_served(&mut self, serial: u32, whole: bool, values: &[(Shard, Value)], gaps: usize) {
        let record = &self.queries[serial as usize];
        let class = &self.classes[record.class];
        let top = self.scenario.mix[record.class].top;
        let coverage = self.coverage(record, values.len(), gaps);
        let first = coverage.first + SHARE_TOLERANCE;
        let second = coverage.second + SHARE_TOLERANCE;
        let second_floor = if class.floor < class.need {
            class.floor
        } else {
            1.0
        };
        let is_below_floor = first < class.floor || second < second_floor;
        let is_complete = first >= class.need && coverage.is_first_complete && second >= 1.0;
        let value_share = if whole {
            1.0
        } else {
            class.partial * (coverage.first / class.need).min(1.0) * coverage.second
        };
        let is_on_time = self.now.since(record.arrived) <= class.latency_target;
        let time_share = if is_on_time { 1.0 } else { class.late_share };
        self.totals.below_floor += u64::from(is_below_floor);
        self.totals.falsely_whole += u64::from(whole && !is_complete);
        self.totals.whole += u64::from(whole);
        self.totals.on_time += u64::from(is_on_time);
        self.totals.earned += class.value * value_share * time_share;
        if let Some(k) = top.filter(|_| whole) {
            self.totals.wrong += u64::from(!self.is_right(serial, k, values));
        }
    }
}

//! Intake: handles events and registers queries, parts and changes of the settings.

use crate::tuning::POISON_MIN_COMMON_TIMES;
use crate::{AttemptId, Coordinator};
use lichenswitch_interface::{
    Action, Class, Event, Micros, PartId, Placement, QueryId, Shard, Time,
};
use lichenswitch_stats::{DecayingMean, Part, Query};

/// Refused query whose client may retry it.
#[derive(Clone, Copy, Debug)]
pub(super) struct RefusedQuery {
    pub(super) class: usize,
    pub(super) key: u64,
    /// Arrival time of the client's first attempt.
    pub(super) began: Time,
    /// Share of the class's value that the first attempt had.
    pub(super) value_share: f64,
}

/// Attributes of an arriving query.
struct Arrival {
    query: QueryId,
    number: u32,
    class: u16,
    deadline: Time,
    key: u64,
    is_retry: bool,
    tenant: u32,
}

impl Coordinator {
    pub(super) fn on_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        if matches!(event, Event::Query { .. } | Event::Part { .. })
            && self.settings.limits.budget.is_some()
        {
            self.recent_admissions.add(self.now);
        }
        match event {
            Event::Query {
                query,
                number,
                class,
                deadline,
                key,
                is_retry: again,
                tenant,
            } => self.on_query(&Arrival {
                query,
                number,
                class,
                deadline,
                key,
                is_retry: again,
                tenant,
            }),
            Event::Placement { number, placement } => self.on_placement(number, placement),
            Event::Part {
                part,
                number,
                shard,
                weight,
            } => self.on_part(part, number, shard, weight),
            Event::Hangup(id) => self.remove_query(id, actions),
            Event::Close(id) => self.on_close(id),
            Event::GiveUp(id) => self.give_up(id, actions),
            Event::Unneeded(part) => self.on_unneeded(part, actions),
            Event::Finished {
                part,
                attempt,
                outcome,
                elapsed,
                ..
            } => self.on_finished(AttemptId { part, attempt }, outcome, elapsed, actions),
            // A probe shows that a process runs, not that it serves; the module sends none.
            Event::Probed { .. } => {}
            Event::List(update) => self.on_server_list(update),
            Event::Classes(classes) => self.set_classes(classes),
            Event::Budget(budget) => self.settings.limits.budget = budget,
            Event::Load { server, load } => {
                if let Some(known) = self.servers.get_mut(&server) {
                    known.load = load;
                }
            }
            Event::Processes(count) => self.on_processes(count),
            Event::Wake => self.wake_at = self.wake_at.filter(|&at| at > self.now),
        }
    }

    fn on_query(&mut self, arrival: &Arrival) {
        let Some(last) = self.settings.classes.len().checked_sub(1) else {
            return;
        };
        let class = usize::from(arrival.class).min(last);
        let (target_at, value_share) =
            self.target_and_value(class, arrival.key, arrival.is_retry, arrival.tenant);
        let window = self.remaining_window(class, target_at, arrival.deadline);
        // One part is sent ahead if a query of the class was poison recently and there is time.
        let has_time =
            window as f64 > self.common_times[class * 2].value_or(0.0) * POISON_MIN_COMMON_TIMES;
        let query = Query {
            number: arrival.number,
            class,
            arrived_at: self.now,
            deadline: arrival.deadline,
            key: arrival.key,
            target_at,
            value_share,
            window,
            step: 1,
            step_at: self.now,
            sends_one_part_ahead: has_time && self.recent_poison(class).next().is_some(),
            check_at: self.now,
            ..Query::default()
        };
        self.queries_by_number.insert(arrival.number, arrival.query);
        self.queries.insert(arrival.query, query);
    }

    /// Returns the time left for a query until its latency target or its deadline.
    fn remaining_window(&self, class: usize, target_at: Time, deadline: Time) -> Micros {
        let latency_target = self.settings.classes[class].latency_target;
        let remaining = target_at.since(self.now);
        let window = if remaining > latency_target / 10 {
            remaining
        } else {
            latency_target
        };
        window.min(deadline.since(self.now))
    }

    fn on_placement(&mut self, number: u32, placement: Placement) {
        let query = self
            .queries_by_number
            .get(&number)
            .and_then(|id| self.queries.get_mut(id));
        if let Some(query) = query {
            query.placement = placement;
        }
    }

    fn on_part(&mut self, part: PartId, number: u32, shard: Shard, weight: f64) {
        let Some(&id) = self.queries_by_number.get(&number) else {
            return;
        };
        let Some(query) = self.queries.get_mut(&id) else {
            return;
        };
        let index = query.parts.len();
        query.checks.set_idle(index);
        self.parts.insert(part, (id, index));
        query.parts.push(Part {
            id: part,
            shard,
            weight,
            step: query.step,
            ..Part::default()
        });
        query.part_count += 1;
        query.single_attempt_parts += 1;
        query.total_weight += weight;
        query.check_at = self.now;
    }

    fn on_close(&mut self, id: QueryId) {
        if let Some(query) = self.queries.get_mut(&id) {
            query.is_closing = true;
            query.check_at = self.now;
        }
    }

    fn on_processes(&mut self, count: Option<u32>) {
        self.processes = count.map_or(u32::MAX, |count| count.max(1));
        let instances = self.settings.instances.saturating_mul(self.processes);
        self.quotas.rebalance(&self.settings.quotas, instances);
    }

    /// Replaces the classes and discards the statistics of each class that changed.
    fn set_classes(&mut self, mut classes: Vec<Class>) {
        let old = &self.settings.classes;
        classes.extend_from_slice(old.get(classes.len()..).unwrap_or_default());
        let same: Vec<bool> = (0..classes.len())
            .map(|i| old.get(i) == Some(&classes[i]))
            .collect();
        self.common_times
            .resize(classes.len() * 2, DecayingMean::default());
        let changed = self
            .common_times
            .iter_mut()
            .zip(0usize..)
            .filter(|(_, i)| !same[i / 2]);
        changed.for_each(|(time, _)| *time = DecayingMean::default());
        self.servers
            .values_mut()
            .for_each(|s| s.reset_changed_classes(&same));
        self.settings.classes = classes;
    }

    /// Returns the end of a query's latency target, counted from its client's first attempt, and
    /// the value share of that attempt. A retry has the class and key of a refused query and, if
    /// clients mark retries, the mark. This keeps late retries from displacing new queries.
    /// Drawback: without marks, a new query for a hot key may be taken for a retry.
    fn target_and_value(
        &mut self,
        class: usize,
        key: u64,
        is_retry: bool,
        tenant: u32,
    ) -> (Time, f64) {
        let (classes, now) = (&self.settings.classes, self.now);
        self.recent_refusals
            .retain(|r| now.since(r.began) < classes[r.class].deadline);
        let is_known = if self.settings.marks_retry {
            is_retry
        } else {
            key != 0
        };
        let position = self
            .recent_refusals
            .iter()
            .position(|r| is_known && r.class == class && r.key == key);
        let (began, value_share) = match position.and_then(|at| self.recent_refusals.remove(at)) {
            Some(first) => (first.began, first.value_share),
            None if self.quotas.try_consume(now, tenant) => (now, 1.0),
            None => (now, self.settings.over_quota),
        };
        (began.plus(classes[class].latency_target), value_share)
    }
}

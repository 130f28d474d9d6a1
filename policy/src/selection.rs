//! Choice of replicas for first attempts, retries and copies, and the limits on them.

use crate::tuning::{
    AVOIDED_AFTER, CANCEL_PROPAGATION_TIME, COPY_DELAY_SHARE, COPY_RATE, FAULT_HALF_LIFE,
    FAULT_THRESHOLD, FIRST_STEP_SHARE, IDLE_AFTER, MAX_CHECK_INTERVAL, MAX_COPY_TOKENS,
    MIN_COPY_RATES,
};
use crate::{AttemptId, Coordinator};
use lichenswitch_interface::{
    Action, Budget, Micros, Placement, QueryId, RetrySafety, ServerId, ServerMode, Shard, Time,
};
use lichenswitch_stats::{
    scaled, AttemptState, Call, DecayingValue, InFlightAttempt, Part, PartAssignment, PartAttempt,
    Preference, Query, Server, ServerScore,
};

impl Coordinator {
    /// Returns the servers that hold a shard and accept work.
    pub(super) fn replicas_of(&self, shard: Shard) -> impl Iterator<Item = (ServerId, &Server)> {
        let (cells, width) = (self.settings.layout.cells, self.settings.layout.width);
        let near = (0..width.min(cells)).map(move |j| (shard.0 % cells + j) % cells);
        near.filter_map(|cell| self.servers_by_cell.get(&cell))
            .flatten()
            .map(|id| (*id, &self.servers[id]))
    }

    /// Returns this instance's pending parts at the preferred server, or `None` if no server is
    /// open.
    #[must_use]
    pub fn pending_for(&self, shard: Shard, class: usize) -> Option<f64> {
        let open = self
            .replicas_of(shard)
            .filter(|(_, s)| !self.has_no_allowance(s));
        open.min_by_key(|(_, s)| self.rank(s, class))
            .map(|(_, s)| s.pending())
    }

    /// Returns the number of ready servers that are avoided: passed over for some class because of
    /// faults, and unused for a while.
    #[must_use]
    pub fn avoided_servers(&self) -> usize {
        let is_unused =
            |s: &Server| s.pending() == 0.0 && self.now.since(s.last_used_at) > AVOIDED_AFTER;
        let classes = 0..self.settings.classes.len();
        let passed_over =
            |s: &&Server| is_unused(s) && classes.clone().any(|class| self.rank(s, class).0 > 0);
        self.servers
            .values()
            .filter(|s| s.mode == ServerMode::Ready)
            .filter(passed_over)
            .count()
    }

    /// Returns whether a server in slow start has used up its allowance, so that nothing is sent.
    pub(super) fn has_no_allowance(&self, s: &Server) -> bool {
        self.slow_start_allowance(s)
            .is_some_and(|allowance| allowance.parts_a_call == 0)
    }

    /// Returns whether a part would join a call that was opened in this turn.
    pub(super) fn joins_open_call(&self, s: &Server) -> bool {
        s.calls.last().is_some_and(|c| {
            c.id >= self.first_call_of_turn && c.size < self.settings.layout.parts_a_call
        })
    }

    /// Returns the rank of a server for a class, lower is better: its fault tier, then the calls
    /// that would be pending there.
    pub(super) fn rank(&self, s: &Server, class: usize) -> (u8, usize) {
        let half_life = self.fault_half_life();
        let fault = |which| {
            s.faults
                .get(which)
                .map_or(0.0, |f: &DecayingValue| f.value_at(self.now, half_life))
        };
        let fault = fault(class)
            .max(fault(self.settings.classes.len()))
            .max(self.zone_fault(s.zone));
        let tier = if fault > FAULT_THRESHOLD[usize::from(half_life > FAULT_HALF_LIFE)] {
            1 + (fault * 4.0) as u8
        } else {
            0
        };
        // A server that is about to be removed ranks after all healthy ones.
        let tier = tier.max(u8::from(s.mode == ServerMode::Leaving));
        let pending =
            s.calls.iter().filter(|c| c.is_pending(self.now)).count() + s.load.streams as usize;
        (tier, pending + usize::from(!self.joins_open_call(s)))
    }

    /// Sends the due attempts of a query: first attempts together, then retries and copies.
    pub(super) fn dispatch(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let copy_delay = self.copy_delay(q);
        let (mut open, mut again) = (Vec::new(), Vec::new());
        for index in q.checks.parts_to_check(self.now) {
            match self.next_attempt(q, &q.parts[index], copy_delay) {
                Some(NextAttempt::First) => open.push(index),
                Some(NextAttempt::Retry) => again.push((index, false)),
                Some(NextAttempt::Copy) => again.push((index, true)),
                None => {}
            }
        }
        if q.sends_one_part_ahead {
            let in_flight = q.parts.iter().flat_map(Part::in_flight).count();
            open.truncate(usize::from(in_flight == 0));
            again.retain(|&(_, copy)| copy == (in_flight > 0));
            again.truncate(1 - open.len());
        }
        self.send_first(id, &open, actions);
        for (index, copy) in again {
            self.send_again(id, index, copy, actions);
        }
    }

    /// Returns the kind of attempt that a part may have now, if any.
    fn next_attempt(&self, q: &Query, part: &Part, copy_delay: Micros) -> Option<NextAttempt> {
        let now = self.now;
        let Some(last) = part.attempts.last() else {
            return Some(NextAttempt::First);
        };
        if part.in_flight().next().is_none() {
            // Saves the remaining attempts if all replicas are unreachable. A full server may have
            // capacity soon, so rejections do not count.
            let all_unreachable =
                part.is_unreachable && part.attempts.len() >= self.settings.layout.width as usize;
            let end_is_known =
                self.settings.limits.second_copies || last.state == AttemptState::NeverRan;
            let rests = all_unreachable && now < last.sent_at.plus(MAX_CHECK_INTERVAL)
                || !end_is_known && now < last.ended_at.plus(CANCEL_PROPAGATION_TIME);
            return (!rests && self.may_send(q, part, false)).then_some(NextAttempt::Retry);
        }
        let is_late = now >= last.sent_at.plus(copy_delay / part.attempts.len() as u64);
        (is_late && self.may_send(q, part, true)).then_some(NextAttempt::Copy)
    }

    /// Sends first attempts, each to a replica with the fewest pending calls. Ties go to the server
    /// that most open parts of the query can share in one call, then to the own zone.
    pub(super) fn send_first(&mut self, id: QueryId, open: &[usize], actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id).filter(|_| !open.is_empty()) else {
            return;
        };
        let (class, placement) = (q.class, q.placement);
        let parts_a_call = self.settings.layout.parts_a_call as usize;
        let servers_of = |i: usize| self.replicas_of(q.parts[i].shard).map(|r| r.0).collect();
        let parts: Vec<(usize, Vec<ServerId>)> = open.iter().map(|&i| (i, servers_of(i))).collect();
        let mut assignment = PartAssignment::new(&parts, parts_a_call > 1, |server| {
            self.score(server, class, &placement)
        });
        while let Some((server, mut parts)) = assignment.best(&mut self.rng) {
            let allowance = self.slow_start_allowance(&self.servers[&server]);
            let most = allowance.map_or(parts_a_call, |a| parts_a_call.min(a.parts_a_call));
            parts.truncate(most);
            parts
                .iter()
                .for_each(|&i| self.send(id, i, server, actions));
            assignment.on_sent(server, &parts, self.score(server, class, &placement));
        }
    }

    /// Returns the score of a server. Among equally loaded ones it prefers a low backlog and the
    /// server that most likely caches the query's prefix.
    fn score(
        &self,
        id: ServerId,
        class: usize,
        placement: &Placement,
    ) -> ServerScore<((u8, usize), Preference)> {
        let s = &self.servers[&id];
        let rank = || (self.rank(s, class), Preference::new(placement, id, s.load));
        ServerScore {
            rank: (!self.has_no_allowance(s)).then(rank),
            joins_open_call: self.joins_open_call(s),
            is_in_zone: s.zone == self.settings.zone,
        }
    }

    /// Sends a part to a server as a new attempt.
    pub(super) fn send(
        &mut self,
        id: QueryId,
        index: usize,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let (Some(q), Some(s)) = (self.queries.get(&id), self.servers.get(&server)) else {
            return;
        };
        let now = self.now;
        let timeout = self.end_time_of(q).since(now).max(1);
        let copy_delay = self.copy_delay(q);
        let needs_new_connection = q.sends_one_part_ahead
            || self.class(q).retry_safety == RetrySafety::Unsafe
            || self.are_idle_connections_dropped();
        let tokens = self.slow_start_allowance(s).map_or(0.0, |a| a.tokens);
        let joins = self.joins_open_call(s);
        let (Some(q), Some(s)) = (self.queries.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        s.calls.retain(|c| c.is_pending(now));
        let part = &mut q.parts[index];
        part.is_withheld = false;
        let depth = s.pending();
        let Some(call) = join_or_open_call(s, &mut self.next_call_id, joins, now) else {
            return;
        };
        (s.slow_start_tokens, s.tokens_at) = (tokens - 1.0, now);
        if depth == 0.0 && now > s.last_used_at {
            let is_idle = now.since(s.last_used_at) > IDLE_AFTER;
            s.on_idle_connection = is_idle && !needs_new_connection;
            let close = (is_idle && needs_new_connection).then_some(Action::CloseIdle(server));
            actions.extend(close);
        }
        s.last_used_at = now;
        let attempt = AttemptId {
            part: part.id,
            attempt: part.attempts.len() as u16,
        };
        let flight = InFlightAttempt {
            server,
            call_id: call,
            sent_at: now,
            time_index: q.class * 2 + usize::from(part.step - 1),
            pending_at_send: depth,
            on_idle_connection: s.on_idle_connection,
        };
        self.in_flight.insert(attempt, flight);
        if attempt.attempt == 0 {
            let least = MIN_COPY_RATES[usize::from(self.settings.limits.budget.is_some())];
            let rate = COPY_RATE * self.copy_usefulness.value_or(1.0).max(least);
            self.copy_tokens = (self.copy_tokens + rate).min(MAX_COPY_TOKENS);
        }
        note_sent(q, index, server, now, copy_delay);
        actions.push(Action::Send {
            part: attempt.part,
            server,
            timeout,
        });
    }

    /// Returns the time after its send at which a part is copied: half of its step's window.
    pub(super) fn copy_delay(&self, q: &Query) -> Micros {
        let class = self.class(q);
        let window = match (class.second_step > 0, q.step) {
            (false, _) => q.window,
            (true, 1) => scaled(q.window, FIRST_STEP_SHARE),
            (true, _) => q.target_at.since(q.step_at).max(class.latency_target / 4),
        };
        scaled(window, COPY_DELAY_SHARE)
    }

    /// Sends a retry, or a copy of a late part, to an untried replica if there is one. A retry of a
    /// part that was never sent needs no retry budget. If a copy is unanswered after half the
    /// delay, the older attempt is cancelled and a third one made.
    pub(super) fn send_again(
        &mut self,
        id: QueryId,
        index: usize,
        copy: bool,
        actions: &mut Vec<Action>,
    ) {
        let never_left = |p: &Part| {
            p.attempts_made() == 0
                && p.attempts
                    .iter()
                    .all(|t| self.now >= t.sent_at.plus(MAX_CHECK_INTERVAL))
        };
        let is_first = self
            .queries
            .get(&id)
            .is_some_and(|q| never_left(&q.parts[index]));
        let has_budget = is_first || self.budget_allows();
        let target = self.next_target(id, index);
        let Some((server, expected)) = target.filter(|_| copy || has_budget) else {
            self.queries
                .entry(id)
                .and_modify(|q| q.parts[index].is_withheld = !copy);
            return;
        };
        if copy && !self.may_copy(id, index, expected, has_budget, actions) {
            return;
        }
        if has_budget {
            if !is_first {
                self.recent_retries.add(self.now);
            }
            self.send(id, index, server, actions);
        }
    }

    /// Returns the replica for a further attempt of a part and the expected response time
    /// (microseconds). Draws one random number for each candidate, to break ties.
    fn next_target(&mut self, id: QueryId, index: usize) -> Option<(ServerId, f64)> {
        let q = self.queries.get(&id)?;
        let part = &q.parts[index];
        let tried: Vec<ServerId> = part.attempts.iter().map(|t| t.server).collect();
        let busy: Vec<ServerId> = part.in_flight().map(|t| tried[usize::from(t)]).collect();
        let last_zone = tried
            .last()
            .and_then(|t| self.servers.get(t))
            .map(|s| s.zone);
        let mut rng = self.rng.clone();
        let target = self
            .replicas_of(part.shard)
            .filter(|(server, s)| !busy.contains(server) && !self.has_no_allowance(s))
            .map(|(server, s)| {
                let rank = (
                    self.rank(s, q.class),
                    Preference::new(&q.placement, server, s.load),
                );
                let key = (
                    tried.contains(&server),
                    rank,
                    Some(s.zone) == last_zone,
                    rng.0.u32(..),
                );
                (key, server, self.expected(s, q.class))
            })
            .min_by_key(|&(key, ..)| key)
            .map(|(_, server, expected)| (server, expected));
        self.rng = rng;
        target
    }

    /// Returns whether a late part gets a copy now. Counts its first lateness against the server,
    /// and cancels the oldest attempt if a copy is already in flight.
    fn may_copy(
        &mut self,
        id: QueryId,
        index: usize,
        expected: f64,
        has_budget: bool,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(q) = self.queries.get(&id) else {
            return false;
        };
        let (part, class, missing) = (&q.parts[index], q.class, q.single_attempt_parts);
        let end = if self.now < q.target_at {
            q.target_at
        } else {
            self.end_time_of(q)
        };
        let is_in_time = expected <= end.since(self.now) as f64;
        let in_flight = part.in_flight().count();
        let Some(attempt) = part.in_flight().next().filter(|_| is_in_time) else {
            return false;
        };
        let oldest = AttemptId {
            part: part.id,
            attempt,
        };
        // Reached only if another replica would answer in time: otherwise load is the cause, not a
        // fault of this server.
        if !part.is_lateness_counted {
            let server = part.attempts[usize::from(attempt)].server;
            let flight = self.in_flight.get(&oldest);
            let on_idle_connection = flight.is_some_and(|f| f.on_idle_connection);
            self.on_missing_answer(server, class, on_idle_connection, actions);
            self.queries
                .entry(id)
                .and_modify(|q| q.parts[index].is_lateness_counted = true);
        }
        // A query needs all missing parts, so a query that misses few has priority for copies.
        if self.copy_tokens < (missing as f64).clamp(1.0, MAX_COPY_TOKENS / 2.0) {
            return false;
        }
        if has_budget && in_flight > 1 {
            let cancel = Action::Cancel {
                part: oldest.part,
                attempt,
            };
            actions.extend(self.settings.limits.may_cancel.then_some(cancel));
            return false;
        }
        self.copy_tokens -= f64::from(u8::from(has_budget));
        true
    }

    /// Returns whether the retry budget allows one more retry or copy.
    pub(super) fn budget_allows(&mut self) -> bool {
        let free = Budget {
            window: 0,
            min_retries: f64::INFINITY,
            share: 0.0,
        };
        let budget = self.settings.limits.budget.unwrap_or(free);
        let retries = self.recent_retries.count(self.now, budget.window, true) + 1;
        let admitted = self.recent_admissions.count(self.now, budget.window, false);
        retries as f64
            <= budget.min_retries / f64::from(self.processes) + budget.share * admitted as f64
    }
}

/// Kind of the next attempt of a part.
enum NextAttempt {
    First,
    /// Sent after an attempt that ended without an answer.
    Retry,
    /// Sent in addition to a late attempt.
    Copy,
}

/// Adds a part to the call opened in this turn, or to a new one, and returns the call's identifier.
fn join_or_open_call(s: &mut Server, next: &mut u64, joins: bool, now: Time) -> Option<u64> {
    if !joins {
        s.calls.push(Call {
            id: *next,
            sent_at: now,
            in_flight_parts: 0,
            size: 0,
            pending_until: None,
        });
        *next += 1;
    }
    let call = s.calls.last_mut()?;
    call.in_flight_parts += 1;
    call.size += 1;
    Some(call.id)
}

/// Records the send of a part and schedules its next check.
fn note_sent(q: &mut Query, index: usize, server: ServerId, now: Time, copy_delay: Micros) {
    let attempts = &mut q.parts[index].attempts;
    attempts.push(PartAttempt {
        server,
        sent_at: now,
        ended_at: now,
        state: AttemptState::InFlight,
    });
    let made = attempts.len();
    q.single_attempt_parts -= usize::from(made == 2);
    q.checks.schedule(index, now.plus(copy_delay / made as u64));
}

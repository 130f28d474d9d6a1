//! Choice of replicas: first attempts, retries and copies, within the limits on them.

use crate::tuning::{
    AVOIDED_AFTER, CANCEL_PROPAGATION_TIME, COPY_LEAST, COPY_RATE, COPY_SAVED, COPY_SHARE,
    FAULT_HALF_LIFE, FAULT_THRESHOLD, FIRST_STEP, IDLE_AFTER, MAX_CHECK_INTERVAL,
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
    /// The servers that hold a shard and take work.
    pub(super) fn replicas_of(&self, shard: Shard) -> impl Iterator<Item = (ServerId, &Server)> {
        let (cells, width) = (self.settings.layout.cells, self.settings.layout.width);
        let near = (0..width.min(cells)).map(move |j| (shard.0 % cells + j) % cells);
        near.filter_map(|cell| self.cells.get(&cell))
            .flatten()
            .map(|id| (*id, &self.servers[id]))
    }

    /// Own parts pending at the server that a part would go to; `None`: no server takes it now.
    #[must_use]
    pub fn pending_for(&self, shard: Shard, class: usize) -> Option<f64> {
        let open = self
            .replicas_of(shard)
            .filter(|(_, s)| !self.has_no_allowance(s));
        open.min_by_key(|(_, s)| self.rank(s, class))
            .map(|(_, s)| s.pending())
    }

    /// How many of the ready servers are avoided by choice: passed over for queries of some class,
    /// and sent nothing for a while.
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

    /// Whether a server in slow start has used up its allowance: nothing is sent, rather than
    /// overload it.
    pub(super) fn has_no_allowance(&self, s: &Server) -> bool {
        self.slow_start_allowance(s)
            .is_some_and(|allowance| allowance.parts_a_call == 0)
    }

    /// Whether a part joins a call opened this turn.
    pub(super) fn joins_open_call(&self, s: &Server) -> bool {
        s.calls
            .last()
            .is_some_and(|c| c.id >= self.first_call && c.size < self.settings.layout.parts_a_call)
    }

    /// How little a server suits a class, the least is best: its tier of faults, then the calls that
    /// it would have pending.
    pub(super) fn rank(&self, s: &Server, class: usize) -> (u8, usize) {
        let half = self.fault_half_life();
        let fault = |which| {
            s.faults
                .get(which)
                .map_or(0.0, |f: &DecayingValue| f.value_at(self.now, half))
        };
        let fault = fault(class)
            .max(fault(self.settings.classes.len()))
            .max(self.zone_fault(s.zone));
        let tier = if fault > FAULT_THRESHOLD[usize::from(half > FAULT_HALF_LIFE)] {
            1 + (fault * 4.0) as u8
        } else {
            0
        };
        // One that is about to be taken out comes after all that are trusted.
        let tier = tier.max(u8::from(s.mode == ServerMode::Leaving));
        let pending =
            s.calls.iter().filter(|c| c.counts(self.now)).count() + s.load.streams as usize;
        (tier, pending + usize::from(!self.joins_open_call(s)))
    }

    /// Sends what a query still has to send: first attempts together, then retries and copies.
    pub(super) fn dispatch(&mut self, id: QueryId, actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let copy_after = self.copy_after(q);
        let (mut open, mut again) = (Vec::new(), Vec::new());
        for index in q.agenda.parts_to_check(self.now) {
            match self.next_attempt(q, &q.parts[index], copy_after) {
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

    /// Which attempt of a part the rules allow now, if any.
    fn next_attempt(&self, q: &Query, part: &Part, copy_after: Micros) -> Option<NextAttempt> {
        let now = self.now;
        let Some(last) = part.attempts.last() else {
            return Some(NextAttempt::First);
        };
        if part.in_flight().next().is_none() {
            // Guards the attempts that remain where nobody is at any replica; a full one may have a
            // place soon.
            let all_unreachable =
                part.is_unreachable && part.attempts.len() >= self.settings.layout.width as usize;
            let end_is_known =
                self.settings.limits.second_copies || last.state == AttemptState::NeverRan;
            let rests = all_unreachable && now < last.sent.plus(MAX_CHECK_INTERVAL)
                || !end_is_known && now < last.ended.plus(CANCEL_PROPAGATION_TIME);
            return (!rests && self.may_send(q, part, false)).then_some(NextAttempt::Retry);
        }
        let is_late = now >= last.sent.plus(copy_after / part.attempts.len() as u64);
        (is_late && self.may_send(q, part, true)).then_some(NextAttempt::Copy)
    }

    /// First attempts: each part to a replica with the fewest calls pending. Of equals the one that
    /// most of the query's open parts can share, so that neighbours travel in one call, then the
    /// own zone.
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

    /// Of servers with as few pending, one of little backlog that most likely keeps the prefix that
    /// the query shares.
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

    /// Sends a part to a server: a new attempt.
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
        let timeout = self.end_of(q).since(now).max(1);
        let copy_after = self.copy_after(q);
        let needs_new_connection = q.sends_one_part_ahead
            || self.class(q).retry_safety == RetrySafety::Unsafe
            || self.are_idle_connections_dropped();
        let tokens = self.slow_start_allowance(s).map_or(0.0, |a| a.tokens);
        let joins = self.joins_open_call(s);
        let (Some(q), Some(s)) = (self.queries.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        s.calls.retain(|c| c.counts(now));
        let part = &mut q.parts[index];
        part.is_withheld = false;
        let depth = s.pending();
        let Some(call) = join_or_open_call(s, &mut self.calls, joins, now) else {
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
            call,
            sent: now,
            norm: q.class * 2 + usize::from(part.step - 1),
            pending_at_send: depth,
            on_idle_connection: s.on_idle_connection,
        };
        self.in_flight.insert(attempt, flight);
        if attempt.attempt == 0 {
            let least = COPY_LEAST[usize::from(self.settings.limits.budget.is_some())];
            let rate = COPY_RATE * self.copy_usefulness.or(1.0).max(least);
            self.copy_tokens = (self.copy_tokens + rate).min(COPY_SAVED);
        }
        note_sent(q, index, server, now, copy_after);
        actions.push(Action::Send {
            part: attempt.part,
            server,
            timeout,
        });
    }

    /// How long after its send a part is copied: half of what its step may take.
    pub(super) fn copy_after(&self, q: &Query) -> Micros {
        let class = self.class(q);
        let window = match (class.second_step > 0, q.step) {
            (false, _) => q.window,
            (true, 1) => scaled(q.window, FIRST_STEP),
            (true, _) => q.target_at.since(q.step_at).max(class.latency_target / 4),
        };
        scaled(window, COPY_SHARE)
    }

    /// A retry after a failure, or of what never left (it needs no budget), or the one copy of a
    /// late part; to a replica not tried yet if there is one. After a copy has been silent for half
    /// as long the older attempt is cancelled and a third one made.
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
                    .all(|t| self.now >= t.sent.plus(MAX_CHECK_INTERVAL))
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
                self.retries.add(self.now);
            }
            self.send(id, index, server, actions);
        }
    }

    /// The replica that a further attempt of a part goes to, and how long it is expected to take
    /// (microseconds). Each replica that may take it draws one number, for ties.
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

    /// Whether a late part gets a copy now; counts its first lateness against the server that is
    /// silent, and cancels the oldest attempt where a copy is out already.
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
            self.end_of(q)
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
        // It is silent where another would have answered: if none would, it is load and no one's
        // fault.
        if !part.is_lateness_counted {
            let server = part.attempts[usize::from(attempt)].server;
            let flight = self.in_flight.get(&oldest);
            let on_idle_connection = flight.is_some_and(|f| f.on_idle_connection);
            self.on_silence(server, class, on_idle_connection, actions);
            self.queries
                .entry(id)
                .and_modify(|q| q.parts[index].is_lateness_counted = true);
        }
        // All missing parts are needed: copies go to the last part of a query before the first of
        // many.
        if self.copy_tokens < (missing as f64).clamp(1.0, COPY_SAVED / 2.0) {
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

    /// Whether the retry budget allows one more retry or copy.
    pub(super) fn budget_allows(&mut self) -> bool {
        let free = Budget {
            window: 0,
            min_retries: f64::INFINITY,
            share: 0.0,
        };
        let budget = self.settings.limits.budget.unwrap_or(free);
        let retries = self.retries.count(self.now, budget.window, true) + 1;
        let admitted = self.admitted.count(self.now, budget.window, false);
        retries as f64
            <= budget.min_retries / f64::from(self.processes) + budget.share * admitted as f64
    }
}

/// An attempt that a part may have next.
enum NextAttempt {
    First,
    /// After one that has ended without an answer.
    Retry,
    /// Beside one that is late.
    Copy,
}

/// Puts a part into the call that was opened this turn, or into a new one; returns the call's
/// number.
fn join_or_open_call(s: &mut Server, next: &mut u64, joins: bool, now: Time) -> Option<u64> {
    if !joins {
        s.calls.push(Call {
            id: *next,
            sent: now,
            in_flight_parts: 0,
            size: 0,
            ghost_until: None,
        });
        *next += 1;
    }
    let call = s.calls.last_mut()?;
    call.in_flight_parts += 1;
    call.size += 1;
    Some(call.id)
}

/// Notes that a part was sent, and when it is to be checked.
fn note_sent(q: &mut Query, index: usize, server: ServerId, now: Time, copy_after: Micros) {
    let attempts = &mut q.parts[index].attempts;
    attempts.push(PartAttempt {
        server,
        sent: now,
        ended: now,
        state: AttemptState::InFlight,
    });
    let made = attempts.len();
    q.single_attempt_parts -= usize::from(made == 2);
    q.agenda.schedule(index, now.plus(copy_after / made as u64));
}

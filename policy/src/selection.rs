//! Choice of replicas: first attempts, retries and copies, within the limits on them.

use crate::tuning::*;
use crate::Coordinator;
use lichenswitch_interface::{
    Action, Budget, Micros, Placement, QueryId, RetrySafety, ServerId, ServerMode, Shard,
};
use lichenswitch_stats::{
    scaled, AttemptState, Call, DecayingValue, InFlightAttempt, Part, PartAssignment, PartAttempt,
    Preference, Query, Server, ServerScore,
};

impl Coordinator {
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
    pub fn avoided(&self) -> usize {
        let rests = |s: &Server| s.pending() == 0.0 && self.now.since(s.last_used_at) > AVOIDED;
        let classes = 0..self.settings.classes.len();
        let passed_over =
            |s: &&Server| rests(s) && classes.clone().any(|class| self.rank(s, class).0 > 0);
        self.servers
            .values()
            .filter(|s| s.mode == ServerMode::Ready)
            .filter(passed_over)
            .count()
    }

    /// Whether a cold server has used up its allowance: nothing is sent, rather than push it over.
    pub(super) fn has_no_allowance(&self, s: &Server) -> bool {
        self.slow_start_tokens(s).is_some_and(|(_, call)| call == 0)
    }

    /// Whether a part joins a call opened this turn.
    pub(super) fn joins_open_call(&self, s: &Server) -> bool {
        s.calls
            .last()
            .is_some_and(|c| c.id >= self.first_call && c.size < self.settings.layout.parts_a_call)
    }

    /// How little a server is wanted: its class of trust, then the calls it would have pending.
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
        let tier = if fault > FAULTY[usize::from(half > FAULT_HALF)] {
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
        let after = self.copy_after(q);
        let (now, mut open, mut again) = (self.now, Vec::new(), Vec::new());
        for i in q.agenda.parts_to_check(self.now) {
            let p = &q.parts[i];
            match p.attempts.last() {
                None => open.push(i),
                // Guards the attempts left where nobody is at any holder; a full one may have a
                // place soon.
                Some(t) if p.in_flight().next().is_none() => {
                    let all =
                        p.is_unreachable && p.attempts.len() >= self.settings.layout.width as usize;
                    let told =
                        self.settings.limits.second_copies || t.state == AttemptState::NeverRan;
                    let rests =
                        all && now < t.sent.plus(LOOK) || !told && now < t.ended.plus(TRAVEL);
                    again.extend((!rests && self.may_send(q, p, false)).then_some((i, false)));
                }
                Some(t) if self.now >= t.sent.plus(after / p.attempts.len() as u64) => {
                    again.extend(self.may_send(q, p, true).then_some((i, true)));
                }
                Some(_) => {}
            }
        }
        if q.sends_one_part_ahead {
            let actions = q.parts.iter().flat_map(Part::in_flight).count();
            open.truncate(usize::from(actions == 0));
            again.retain(|&(_, copy)| copy == (actions > 0));
            again.truncate(1 - open.len());
        }
        self.send_first(id, &open, actions);
        again
            .into_iter()
            .for_each(|(i, copy)| self.send_again(id, i, copy, actions));
    }

    /// First attempts: each part to a replica with the fewest calls pending. Of equals the one that
    /// most of the query's open parts can share, so that neighbours travel in one call, then the
    /// own zone.
    pub(super) fn send_first(&mut self, id: QueryId, open: &[usize], actions: &mut Vec<Action>) {
        let Some(q) = self.queries.get(&id).filter(|_| !open.is_empty()) else {
            return;
        };
        let (class, place, room) = (
            q.class,
            q.placement,
            self.settings.layout.parts_a_call as usize,
        );
        let replicas_of = |i: usize| self.replicas_of(q.parts[i].shard).map(|h| h.0).collect();
        let parts = open.iter().map(|&i| (i, replicas_of(i))).collect();
        let mut wanted =
            PartAssignment::new(parts, room > 1, |server| self.bid(server, class, &place));
        while let Some((server, mut parts)) = wanted.best(&mut self.rng) {
            let cold = self.slow_start_tokens(&self.servers[&server]);
            parts.truncate(cold.map_or(room, |(_, call)| room.min(call)));
            parts
                .iter()
                .for_each(|&i| self.send(id, i, server, actions));
            wanted.sent(server, &parts, self.bid(server, class, &place));
        }
    }

    /// Of servers with as few pending, one of little backlog that most likely keeps what the query
    /// shares.
    fn bid(
        &self,
        id: ServerId,
        class: usize,
        place: &Placement,
    ) -> ServerScore<((u8, usize), Preference)> {
        let s = &self.servers[&id];
        let rank = (!self.has_no_allowance(s))
            .then(|| (self.rank(s, class), Preference::new(place, id, s.load)));
        ServerScore {
            rank,
            joins_open_call: self.joins_open_call(s),
            near: s.zone == self.settings.zone,
        }
    }

    pub(super) fn send(
        &mut self,
        id: QueryId,
        i: usize,
        server: ServerId,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(s) = self.servers.get(&server) else {
            return;
        };
        let (tokens, joined) = (
            self.slow_start_tokens(s).map_or(0.0, |t| t.0),
            self.joins_open_call(s),
        );
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let timeout = self.end_of(q).since(now).max(1);
        let fresh = q.sends_one_part_ahead
            || self.class(q).repeat == RetrySafety::Unsafe
            || self.are_idle_connections_dropped();
        let copy_after = self.copy_after(q);
        let (Some(q), Some(s)) = (self.queries.get_mut(&id), self.servers.get_mut(&server)) else {
            return;
        };
        s.calls.retain(|c| c.counts(now));
        let p = &mut q.parts[i];
        p.is_withheld = false;
        let (attempt, depth) = (p.attempts.len() as u16, s.pending());
        if !joined {
            s.calls.push(Call {
                id: self.calls,
                sent: now,
                in_flight_parts: 0,
                size: 0,
                ghost_until: None,
            });
            self.calls += 1;
        }
        let Some(call) = s.calls.last_mut() else {
            return;
        };
        (call.in_flight_parts, call.size) = (call.in_flight_parts + 1, call.size + 1);
        (s.slow_start_tokens, s.tokens_at) = (tokens - 1.0, now);
        let norm = q.class * 2 + usize::from(p.step - 1);
        if depth == 0.0 && now > s.last_used_at {
            let on_idle_connection = now.since(s.last_used_at) > IDLE;
            s.on_idle_connection = on_idle_connection && !fresh;
            actions.extend((on_idle_connection && fresh).then_some(Action::CloseIdle(server)));
        }
        let on_idle_connection = s.on_idle_connection;
        s.last_used_at = now;
        self.in_flight.insert(
            (p.id, attempt),
            InFlightAttempt {
                server,
                call: call.id,
                sent: now,
                norm,
                depth,
                on_idle_connection,
            },
        );
        if attempt == 0 {
            let least = COPY_LEAST[usize::from(self.settings.limits.budget.is_some())];
            let rate = COPY_RATE * self.copy_usefulness.or(1.0).max(least);
            self.copy_tokens = (self.copy_tokens + rate).min(COPY_SAVED);
        }
        p.attempts.push(PartAttempt {
            server,
            sent: now,
            ended: now,
            state: AttemptState::InFlight,
        });
        q.single_attempt_parts -= usize::from(p.attempts.len() == 2);
        q.agenda
            .schedule(i, now.plus(copy_after / p.attempts.len() as u64));
        actions.push(Action::Send {
            part: p.id,
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
    /// late part; to a replica not yet tried if there is one. After a copy has been silent for half
    /// as long the older twin is withdrawn and a third attempt made.
    pub(super) fn send_again(
        &mut self,
        id: QueryId,
        i: usize,
        copy: bool,
        actions: &mut Vec<Action>,
    ) {
        let never_left = |p: &Part| {
            p.attempts_made() == 0 && p.attempts.iter().all(|t| self.now >= t.sent.plus(LOOK))
        };
        let is_first = self
            .queries
            .get(&id)
            .is_some_and(|q| never_left(&q.parts[i]));
        let budget = is_first || self.budget_allows();
        let Some(q) = self.queries.get(&id) else {
            return;
        };
        let (p, class, missing) = (&q.parts[i], q.class, q.single_attempt_parts);
        let tried: Vec<ServerId> = p.attempts.iter().map(|t| t.server).collect();
        let out_at: Vec<usize> = p.in_flight().map(usize::from).collect();
        let last_zone = tried
            .last()
            .and_then(|t| self.servers.get(t))
            .map(|s| s.zone);
        let rng = &mut self.rng.clone();
        let target = self
            .replicas_of(p.shard)
            .filter(|(server, s)| {
                !out_at.iter().any(|&t| tried[t] == *server) && !self.has_no_allowance(s)
            })
            .map(|(server, s)| {
                let rank = (
                    self.rank(s, class),
                    Preference::new(&q.placement, server, s.load),
                );
                let key = (
                    tried.contains(&server),
                    rank,
                    Some(s.zone) == last_zone,
                    rng.0.u32(..),
                );
                (key, server, self.expected(s, class))
            })
            .min_by_key(|&(key, ..)| key);
        self.rng = rng.clone();
        let Some((_, server, expected)) = target.filter(|_| copy || budget) else {
            self.queries
                .entry(id)
                .and_modify(|q| q.parts[i].is_withheld = !copy);
            return;
        };
        let end = if self.now < q.target_at {
            q.target_at
        } else {
            self.end_of(q)
        };
        if copy {
            let in_time = expected <= end.since(self.now) as f64;
            let Some(&oldest) = out_at.first().filter(|_| in_time) else {
                return;
            };
            // It is silent where another would have answered: if none would, it is load and no
            // one's fault.
            let part = p.id;
            if !p.is_lateness_counted {
                let on_idle_connection = self
                    .in_flight
                    .get(&(part, oldest as u16))
                    .is_some_and(|f| f.on_idle_connection);
                self.on_silence(tried[oldest], class, on_idle_connection, actions);
                self.queries
                    .entry(id)
                    .and_modify(|q| q.parts[i].is_lateness_counted = true);
            }
            // All missing parts are needed: copies go to the last part of a query before the first
            // of many.
            if self.copy_tokens < (missing as f64).clamp(1.0, COPY_SAVED / 2.0) {
                return;
            }
            if budget && out_at.len() > 1 {
                let withdraw = Action::Cancel {
                    part,
                    attempt: oldest as u16,
                };
                return actions.extend(self.settings.limits.cancel.then_some(withdraw));
            }
            self.copy_tokens -= f64::from(u8::from(budget));
        }
        if budget {
            if !is_first {
                self.retries.add(self.now);
            }
            self.send(id, i, server, actions);
        }
    }

    pub(super) fn budget_allows(&mut self) -> bool {
        let free = Budget {
            window: 0,
            least: f64::INFINITY,
            share: 0.0,
        };
        let budget = self.settings.limits.budget.unwrap_or(free);
        let retries = self.retries.count(self.now, budget.window, true) + 1;
        let admitted = self.admitted.count(self.now, budget.window, false);
        retries as f64 <= budget.least / f64::from(self.processes) + budget.share * admitted as f64
    }
}

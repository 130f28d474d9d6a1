//! The list of servers, and the allowance of those that have just started.

use crate::tuning::{
    KNOWN_TRAFFIC_ANSWERS, SLOW_START_EQUAL_SHARE, SLOW_START_MAX_SAVED, SLOW_START_PARTS,
    SUBSCRIBE_BACKOFF_MAX, SUBSCRIBE_BACKOFF_MIN,
};
use crate::Coordinator;
use lichenswitch_interface::{ListedServer, ServerListUpdate, ServerMode};
use lichenswitch_stats::{windowed_random, Server};
use std::collections::BTreeMap;

/// What may be sent to a server in slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Parts that it may be sent; negative after more were.
    pub(super) tokens: f64,
    /// Parts that one call may carry now; 0: nothing may be sent.
    pub(super) parts_a_call: usize,
}

impl Coordinator {
    /// Takes an update of the list, and sums up what no decision should walk the fleet for.
    pub(super) fn on_server_list(&mut self, listing: ServerListUpdate) {
        if listing == ServerListUpdate::Failed {
            self.subscribe_at = Some(
                self.now
                    .plus(self.subscribe_backoff / 2 + self.rng.0.u64(0..=self.subscribe_backoff)),
            );
            self.subscribe_backoff = (self.subscribe_backoff * 2).min(SUBSCRIBE_BACKOFF_MAX);
        } else if !matches!(listing, ServerListUpdate::Cached(_)) {
            (self.subscribe_at, self.subscribe_backoff) = (None, SUBSCRIBE_BACKOFF_MIN);
        }
        if matches!(listing, ServerListUpdate::Complete(_)) {
            self.servers
                .values_mut()
                .for_each(|s| s.mode = ServerMode::Gone);
        }
        if let ServerListUpdate::Changes(lines)
        | ServerListUpdate::Complete(lines)
        | ServerListUpdate::Cached(lines) = listing
        {
            lines.iter().for_each(|line| self.update_server(line));
        }
        // Guards memory and time on long days: what is gone is forgotten once nothing is in flight there.
        self.servers
            .retain(|_, s| s.mode != ServerMode::Gone || s.pending() > 0.0 || s.load.streams > 0);
        // What the list changed is summed up: no decision walks the fleet.
        (self.cells, self.ready) = (BTreeMap::new(), 0);
        for (&id, s) in self
            .servers
            .iter()
            .filter(|(_, s)| matches!(s.mode, ServerMode::Ready | ServerMode::Leaving))
        {
            self.cells
                .entry(s.cell % self.settings.layout.cells)
                .or_default()
                .push(id);
            self.ready += 1;
        }
    }

    /// Takes one line of the list.
    pub(super) fn update_server(&mut self, line: &ListedServer) {
        // Instances start at random points of their first part, since all hear of a start at once:
        // else none would send for long, or all together. One that knows its traffic is held by
        // chance.
        let known = f64::from(u8::from(self.answered >= KNOWN_TRAFFIC_ANSWERS));
        let (now, first) = (self.now, self.rng.0.f64() + known);
        let s = self.servers.entry(line.server).or_default();
        (s.cell, s.zone, s.mode) = (line.cell, line.zone, line.mode);
        if let Some(started) = line.started_at {
            let newer = s.slow_start_from.is_none_or(|from| from < started);
            if newer && now.since(started) < self.settings.slow_start.warm_after {
                (s.slow_start_from, s.slow_start_tokens, s.tokens_at) = (Some(started), first, now);
            }
        }
    }

    /// What may be sent to a server in slow start now; `None`: it is warm. Of what the rule allows
    /// each instance has its share; they sum to less. Less than one part a window is saved, as an
    /// instance of little traffic seldom has work as it comes; there chance decides in each window
    /// whether the server is open, by its share over what its shards may ask for. Harm: a shard whose
    /// replicas are all in slow start waits.
    pub(super) fn slow_start_allowance(&self, s: &Server) -> Option<Allowance> {
        let (started, cold, now) = (s.slow_start_from?, &self.settings.slow_start, self.now);
        let age = now.since(started) as f64 / cold.warm_after.max(1) as f64;
        let allowed =
            (age < 1.0).then_some(cold.share + (1.0 - cold.share) * age)? * cold.fall_multiple;
        let fall_after = cold.fall_after as f64;
        let works = self.warm_server_rate();
        let time = (now.since(self.began) + cold.fall_after) as f64 * self.ready.max(1) as f64;
        let mean = self.answered as f64 / time;
        let equal = SLOW_START_EQUAL_SHARE * works / f64::from(self.settings.instances);
        let rate =
            allowed * (equal + (1.0 - SLOW_START_EQUAL_SHARE) * mean) / f64::from(self.processes);
        let together = (allowed * works * fall_after).sqrt() / 3.5;
        let is_sparse = rate * fall_after < 1.0;
        // Where few instances meet it often, chance adds less than it may: by the root of the
        // allowance.
        let rate = if is_sparse {
            rate
        } else {
            rate * (1.0 + 0.35 / together.max(1.0))
        };
        let most = if is_sparse {
            SLOW_START_MAX_SAVED.min(1.0 + together)
        } else {
            (rate * fall_after / 4.0).max(1.0)
        };
        let tokens =
            (s.slow_start_tokens + rate * now.since(s.tokens_at) as f64).clamp(-most, most);
        let seed = self.salt ^ started.0.rotate_left(20) ^ u64::from(s.cell);
        let chance = windowed_random(seed, now, cold.fall_after);
        let requested = (1.0 + f64::from(self.settings.layout.width)) / 2.0 * mean;
        let is_open = tokens >= 1.0 && (!is_sparse || chance * requested <= rate);
        let saved = if is_sparse {
            tokens.min(together).max(0.0) as usize
        } else {
            0
        };
        let parts_a_call = if is_open { 1 + saved } else { 0 };
        Some(Allowance {
            tokens,
            parts_a_call,
        })
    }

    /// Parts that a warm server works off in a microsecond.
    fn warm_server_rate(&self) -> f64 {
        let norm = self
            .common_times
            .iter()
            .map(|n| n.or(0.0))
            .fold(0.0, f64::max);
        if norm > 0.0 {
            return SLOW_START_PARTS / norm.max(1_000.0);
        }
        // An instance that has had no answer yet knows no more than what is wanted.
        let latency_targets = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target as f64);
        SLOW_START_PARTS / latency_targets.fold(1_000.0, f64::max)
    }
}

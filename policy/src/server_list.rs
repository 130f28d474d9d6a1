//! Updates of the server list, and the slow-start allowance of new servers.

use crate::tuning::{
    KNOWN_TRAFFIC_ANSWERS, SLOW_START_EQUAL_SHARE, SLOW_START_MAX_TOKENS, SLOW_START_PARTS,
    SUBSCRIBE_BACKOFF_MAX, SUBSCRIBE_BACKOFF_MIN,
};
use crate::Coordinator;
use lichenswitch_interface::{ListedServer, ServerListUpdate, ServerMode};
use lichenswitch_stats::{windowed_random, Server};
use std::collections::BTreeMap;

/// Slow-start allowance of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Allowance {
    /// Tokens, one for each part; negative after the allowance was exceeded.
    pub(super) tokens: f64,
    /// Maximum parts in one call now; 0: nothing may be sent.
    pub(super) parts_a_call: usize,
}

impl Coordinator {
    /// Applies an update of the list and rebuilds the summaries that decisions use.
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
        // Bounds memory: a removed server is dropped once nothing is in flight there.
        self.servers
            .retain(|_, s| s.mode != ServerMode::Gone || s.pending() > 0.0 || s.load.streams > 0);
        // These summaries spare each decision a pass over all servers.
        (self.servers_by_cell, self.ready_servers) = (BTreeMap::new(), 0);
        for (&id, s) in self
            .servers
            .iter()
            .filter(|(_, s)| matches!(s.mode, ServerMode::Ready | ServerMode::Leaving))
        {
            self.servers_by_cell
                .entry(s.cell % self.settings.layout.cells)
                .or_default()
                .push(id);
            self.ready_servers += 1;
        }
    }

    /// Applies one entry of the list.
    pub(super) fn update_server(&mut self, line: &ListedServer) {
        // All instances learn of a start at once. Random initial tokens keep them from all waiting
        // or all sending together. An instance that knows its traffic gets one more token, as the
        // windowed random draw limits it instead.
        let known = f64::from(u8::from(self.answer_count >= KNOWN_TRAFFIC_ANSWERS));
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

    /// Returns the slow-start allowance of a server, or `None` if it is warm. Each instance has its
    /// share of the allowed load; the shares sum to less than all of it. A share below one part per
    /// window is saved up, as an instance with little traffic seldom has work when it accrues. In
    /// that case a random draw per window opens the server, with a probability of the share over
    /// the expected demand of its shards. Drawback: a shard whose replicas are all in slow start
    /// waits.
    pub(super) fn slow_start_allowance(&self, s: &Server) -> Option<Allowance> {
        let (started, cold, now) = (s.slow_start_from?, &self.settings.slow_start, self.now);
        let age = now.since(started) as f64 / cold.warm_after.max(1) as f64;
        let allowed =
            (age < 1.0).then_some(cold.share + (1.0 - cold.share) * age)? * cold.fall_multiple;
        let fall_after = cold.fall_after as f64;
        let works = self.warm_server_rate();
        let time =
            (now.since(self.began) + cold.fall_after) as f64 * self.ready_servers.max(1) as f64;
        let mean = self.answer_count as f64 / time;
        let equal = SLOW_START_EQUAL_SHARE * works / f64::from(self.settings.instances);
        let rate =
            allowed * (equal + (1.0 - SLOW_START_EQUAL_SHARE) * mean) / f64::from(self.processes);
        let together = (allowed * works * fall_after).sqrt() / 3.5;
        let is_sparse = rate * fall_after < 1.0;
        // With few, busy instances the random excess is smaller than allowed, by the square root of
        // the allowance.
        let rate = if is_sparse {
            rate
        } else {
            rate * (1.0 + 0.35 / together.max(1.0))
        };
        let most = if is_sparse {
            SLOW_START_MAX_TOKENS.min(1.0 + together)
        } else {
            (rate * fall_after / 4.0).max(1.0)
        };
        let tokens =
            (s.slow_start_tokens + rate * now.since(s.tokens_at) as f64).clamp(-most, most);
        let seed = self.seed ^ started.0.rotate_left(20) ^ u64::from(s.cell);
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

    /// Returns the number of parts that a warm server completes per microsecond.
    fn warm_server_rate(&self) -> f64 {
        let common = self
            .common_times
            .iter()
            .map(|n| n.value_or(0.0))
            .fold(0.0, f64::max);
        if common > 0.0 {
            return SLOW_START_PARTS / common.max(1_000.0);
        }
        // Before the first answer only the latency targets are known.
        let latency_targets = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target as f64);
        SLOW_START_PARTS / latency_targets.fold(1_000.0, f64::max)
    }
}

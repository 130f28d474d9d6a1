//! The list of servers, and the allowance of those that have just started.

use crate::tuning::*;
use crate::Coordinator;
use lichenswitch_interface::{ListedServer, ServerListUpdate, ServerMode};
use lichenswitch_stats::{windowed_random, Server};
use std::collections::BTreeMap;

impl Coordinator {
    pub(super) fn on_server_list(&mut self, listing: ServerListUpdate) {
        if listing == ServerListUpdate::Failed {
            self.subscribe_at = Some(
                self.now
                    .plus(self.subscribe_backoff / 2 + self.rng.0.u64(0..=self.subscribe_backoff)),
            );
            self.subscribe_backoff = (self.subscribe_backoff * 2).min(ASK_MOST);
        } else if !matches!(listing, ServerListUpdate::Cached(_)) {
            (self.subscribe_at, self.subscribe_backoff) = (None, ASK_FIRST);
        }
        if matches!(listing, ServerListUpdate::Whole(_)) {
            self.servers
                .values_mut()
                .for_each(|s| s.mode = ServerMode::Gone);
        }
        if let ServerListUpdate::Changes(lines)
        | ServerListUpdate::Whole(lines)
        | ServerListUpdate::Cached(lines) = listing
        {
            lines.iter().for_each(|line| self.update_server(line));
        }
        // Guards memory and time on long days: what is gone is forgotten once nothing is out there.
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

    pub(super) fn update_server(&mut self, line: &ListedServer) {
        // Instances start at random points of their first part, since all hear of a start at once:
        // else none would send for long, or all together. One that knows its traffic is held by
        // chance.
        let known = f64::from(u8::from(self.answered >= COLD_KNOWN));
        let (now, first) = (self.now, self.rng.0.f64() + known);
        let s = self.servers.entry(line.server).or_default();
        (s.cell, s.zone, s.mode) = (line.cell, line.zone, line.mode);
        if let Some(started) = line.started {
            let newer = s.slow_start_from.is_none_or(|from| from < started);
            if newer && now.since(started) < self.settings.cold.warm_after {
                (s.slow_start_from, s.slow_start_tokens, s.tokens_at) = (Some(started), first, now);
            }
        }
    }

    /// Allowance of a cold server by now, in parts, and how many a call may hold (0: it is closed).
    /// Of what the rule allows each instance has its part; they sum to less. Less than one a window
    /// is saved, as a sparse instance seldom has work as it comes; there chance decides in each
    /// window whether the server is open, by its part over what its shards may ask for. Harm: a
    /// shard with cold holders alone waits.
    pub(super) fn slow_start_tokens(&self, s: &Server) -> Option<(f64, usize)> {
        let (from, cold, now) = (s.slow_start_from?, &self.settings.cold, self.now);
        let age = now.since(from) as f64 / cold.warm_after.max(1) as f64;
        let allowed =
            (age < 1.0).then_some(cold.share + (1.0 - cold.share) * age)? * cold.fall_multiple;
        // An instance that has had no answer yet knows no more than what is wanted.
        let latency_target = self
            .settings
            .classes
            .iter()
            .map(|c| c.latency_target as f64)
            .fold(1_000.0, f64::max);
        let norm = self
            .common_times
            .iter()
            .map(|n| n.or(0.0))
            .fold(0.0, f64::max);
        let works = COLD_PARTS
            / if norm > 0.0 {
                norm.max(1_000.0)
            } else {
                latency_target
            };
        let time = (now.since(self.began) + cold.fall_after) as f64 * self.ready.max(1) as f64;
        let mean = self.answered as f64 / time;
        let alike = COLD_ALIKE * works / f64::from(self.settings.instances);
        let rate = allowed * (alike + (1.0 - COLD_ALIKE) * mean) / f64::from(self.processes);
        let together = (allowed * works * cold.fall_after as f64).sqrt() / 3.5;
        let sparse = rate * (cold.fall_after as f64) < 1.0;
        // Where few instances meet it often, chance adds less than it may: by the root of the
        // allowance.
        let rate = if sparse {
            rate
        } else {
            rate * (1.0 + 0.35 / together.max(1.0))
        };
        let window = rate * cold.fall_after as f64;
        let most = if sparse {
            COLD_SAVED.min(1.0 + together)
        } else {
            (window / 4.0).max(1.0)
        };
        let tokens =
            (s.slow_start_tokens + rate * now.since(s.tokens_at) as f64).clamp(-most, most);
        let chance = windowed_random(
            self.salt ^ from.0.rotate_left(20) ^ u64::from(s.cell),
            now,
            cold.fall_after,
        );
        let asked = (1.0 + f64::from(self.settings.layout.width)) / 2.0 * mean;
        let open = tokens >= 1.0 && (!sparse || chance * asked <= rate);
        let more = if sparse {
            tokens.min(together).max(0.0) as usize
        } else {
            0
        };
        Some((tokens, if open { 1 + more } else { 0 }))
    }
}

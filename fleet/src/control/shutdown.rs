//! How a control machine ends, and how it takes in settings that have changed.

use super::group::to_replica;
use super::machine::{modified, Machine};
use super::program::{after, Owner};
use crate::settings::Settings;
use lichenswitch_interface::Time;
use log::{info, warn};
use std::time::Duration;

/// The process ends so long before it would be killed.
const BEFORE_KILL: Duration = Duration::from_millis(1_500);
/// How often a machine that ends looks whether it may.
const LOOK: Duration = Duration::from_millis(50);

impl Machine {
    /// The process is told to end: it hands on what it has, and goes on relaying meanwhile.
    pub(super) fn on_stop(&mut self, now: Time) {
        if self.leaving.is_some() {
            return;
        }
        info!(target: "control", "is told to end");
        self.leaving = Some(now);
        if let Some(group) = &mut self.group {
            group.replica.leave(to_replica(now));
        }
        self.callers.leave();
    }

    /// Whether the process may end.
    pub(super) fn may_end(&mut self) -> bool {
        let Some(since) = self.leaving else {
            return false;
        };
        let now = self.net.clock.now();
        let last = after(
            since,
            self.settings
                .bounds
                .grace_period
                .saturating_sub(BEFORE_KILL),
        );
        let has_left = self
            .group
            .as_ref()
            .is_none_or(|group| group.replica.has_left());
        if now < last && !has_left {
            return false;
        }
        // New callers go elsewhere; those that wait get their answers, each within its own
        // deadline.
        self.net.close_listeners(Owner::Caller);
        let waits = !self.calls.is_empty();
        last <= now || !(waits || self.callers.is_busy(&self.net))
    }

    pub(super) fn shutdown_wake(&self) -> Option<Time> {
        self.leaving.map(|_| after(self.net.clock.now(), LOOK))
    }

    /// Reads the settings file again. What can't be read changes nothing.
    pub(super) fn reload(&mut self, now: Time) {
        self.file_changed = modified(&self.path);
        match Settings::read(&self.path) {
            Ok(settings) => {
                info!(target: "control", "settings are read again");
                self.peers.on_seeds(settings.seeds_internal(), now);
                self.servers.on_settings(&settings);
                // Addresses, identity and disk are those that the process began with.
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.heartbeat_interval = settings.heartbeat_interval;
                self.settings.bounds = settings.bounds;
                self.quotas
                    .buckets
                    .set_bounds(settings.bounds.quota_terms());
            }
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "the settings file can't be used")
            }
        }
    }

    /// The file may change without a signal.
    pub(super) fn reload_if_changed(&mut self, now: Time) {
        if now < self.next_look_at_file {
            return;
        }
        self.next_look_at_file = after(now, Duration::from_secs(2));
        let changed = modified(&self.path);
        if changed.is_some() && changed != self.file_changed {
            self.reload(now);
        }
    }
}

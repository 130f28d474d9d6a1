//! Reload of the settings file by a running control machine.

use super::clock::after;
use super::node::ControlNode;
use super::settings_file::modified_at;
use crate::settings::Settings;
use lichenswitch_interface::Time;
use log::{info, warn};
use std::time::Duration;

/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

impl ControlNode {
    /// Reads the settings file again. If it is invalid, the current settings stay in force.
    pub(super) fn reload(&mut self, now: Time) {
        self.settings_modified_at = modified_at(&self.settings_path);
        match Settings::read(&self.settings_path) {
            Ok(settings) => {
                info!(target: "control", "settings reloaded");
                self.peers.on_seeds(settings.internal_seed_addresses(), now);
                self.servers.on_settings(&settings);
                // Changes of addresses, identity and disk need a restart.
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.heartbeat_interval = settings.heartbeat_interval;
                self.settings.bounds = settings.bounds;
                self.quotas
                    .buckets
                    .set_bounds(settings.bounds.quota_bounds());
            }
            Err(e) => {
                warn!(target: "control", error = e.to_string().as_str(); "settings file can't be used")
            }
        }
    }

    /// Reads the settings file again if its modification time has changed, even without a signal.
    pub(super) fn reload_if_changed(&mut self, now: Time) {
        if now < self.next_settings_check_at {
            return;
        }
        self.next_settings_check_at = after(now, SETTINGS_CHECK_INTERVAL);
        let modified = modified_at(&self.settings_path);
        if modified.is_some() && modified != self.settings_modified_at {
            self.reload(now);
        }
    }
}

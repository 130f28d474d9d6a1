//! The settings file: it is read again on a signal, and when it has changed without one.

use crate::router::options::Options;
use crate::router::reactor::Timer;
use crate::router::state::{modified_at, Router, SETTINGS_CHECK_INTERVAL};
use crate::router::time::after;
use crate::settings::Settings;

impl Router {
    /// Reloads the settings if the file has changed without a signal.
    pub(super) fn check_settings_file(&mut self) {
        self.is_check_due = true;
        let changed = match &mut self.settings_file {
            Some((path, seen)) => {
                let now = modified_at(path);
                std::mem::replace(seen, now) != now
            }
            None => false,
        };
        if changed {
            self.reload_settings();
        }
        self.net.wheel.set(
            after(self.net.clock.now(), SETTINGS_CHECK_INTERVAL),
            Timer::SettingsCheck,
        );
    }

    /// Reads the settings again: seeds, the retry budget, bounds and the grace period may have
    /// changed. A faulty file changes nothing.
    pub(super) fn reload_settings(&mut self) {
        let Some((path, seen)) = &mut self.settings_file else {
            return;
        };
        *seen = modified_at(path);
        match Settings::read(path)
            .map_err(|e| e.to_string())
            .and_then(|settings| Options::from_settings(&settings).map_err(|e| e.to_string()))
        {
            Ok(options) => {
                self.control_link.set_seeds(options.seeds.clone());
                self.services.set_budget(options.retry_budget);
                self.freshness.set_bounds(options.revocation);
                self.allowances.set_bounds(options.quota);
                self.options.grace_period = options.grace_period;
                log::info!("settings read again");
            }
            Err(e) => log::warn!("settings stay as they were: {e}"),
        }
    }
}

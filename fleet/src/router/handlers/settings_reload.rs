//! The settings file: it is read again on a signal, and when it has changed without one.

use crate::router::options::Options;
use crate::router::reactor::Timer;
use crate::router::state::{modified, Router, SETTINGS_LOOK};
use crate::router::time::after;
use crate::settings::Settings;

impl Router {
    /// The file may have changed without a signal.
    pub(super) fn look_at_settings(&mut self) {
        self.check_due = true;
        let changed = match &mut self.settings_file {
            Some((path, seen)) => {
                let now = modified(path);
                std::mem::replace(seen, now) != now
            }
            None => false,
        };
        if changed {
            self.reload();
        }
        self.net.wheel.set(
            after(self.net.clock.now(), SETTINGS_LOOK),
            Timer::SettingsCheck,
        );
    }

    /// Reads the settings again: seeds and the further-try budget may have changed. A faulty file
    /// changes nothing.
    pub(super) fn reload(&mut self) {
        let Some((path, seen)) = &mut self.settings_file else {
            return;
        };
        *seen = modified(path);
        match Settings::read(path)
            .map_err(|e| e.to_string())
            .and_then(|settings| Options::of(&settings).map_err(|e| e.to_string()))
        {
            Ok(options) => {
                self.link.set_seeds(options.seeds.clone());
                self.services.set_budget(options.budget);
                self.freshness.set_terms(options.revocation);
                self.allowances.set_bounds(options.quota);
                self.options.grace = options.grace;
                log::info!("settings read again");
            }
            Err(e) => log::warn!("settings stay as they were: {e}"),
        }
    }
}

//! The settings file: it is read again on a signal, and when it has changed without one.

use crate::router::error::RouterError;
use crate::router::options::Options;
use crate::router::reactor::Timer;
use crate::router::settings_file::SettingsFile;
use crate::router::state::{Router, SETTINGS_CHECK_INTERVAL};
use crate::router::time::after;
use crate::settings::{Settings, SettingsError};
use std::path::Path;

/// Why a settings file can't be used. The settings stay as they were.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// It can't be read, or has invalid fields.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It lacks what the role needs.
    #[error(transparent)]
    Options(#[from] RouterError),
}

impl Router {
    /// Reloads the settings if the file has changed without a signal.
    pub(super) fn check_settings_file(&mut self) {
        self.is_check_due = true;
        let has_changed = self
            .settings_file
            .as_mut()
            .is_some_and(SettingsFile::take_change);
        if has_changed {
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
        let Some(file) = &mut self.settings_file else {
            return;
        };
        // What is read now is no change any more.
        file.take_change();
        match read_options(file.path()) {
            Ok(options) => {
                self.control_link.set_seeds(options.seeds.clone());
                self.services.set_budget(options.retry_budget);
                self.freshness.set_bounds(options.revocation);
                self.allowances.set_bounds(options.quota);
                self.options.grace_period = options.grace_period;
                log::info!("settings read again");
            }
            Err(error) => log::warn!("settings stay as they were: {error}"),
        }
    }
}

fn read_options(path: &Path) -> Result<Options, ReloadError> {
    let settings = Settings::read(path)?;
    Ok(Options::from_settings(&settings)?)
}

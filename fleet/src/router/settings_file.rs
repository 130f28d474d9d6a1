//! The settings file of a router, and when it was read last.

use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// A settings file that may change while the process runs.
pub(crate) struct SettingsFile {
    path: PathBuf,
    /// When it was last modified as far as is known; `None` if that can't be told.
    modified_at: Option<SystemTime>,
}

impl SettingsFile {
    /// The file at this path, as it is now.
    #[must_use]
    pub(crate) fn new(path: PathBuf) -> SettingsFile {
        SettingsFile {
            modified_at: modified_at(&path),
            path,
        }
    }

    /// Its path.
    #[must_use]
    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    /// Whether it was modified since the last call, or since it was read.
    pub(crate) fn take_change(&mut self) -> bool {
        let now = modified_at(&self.path);
        std::mem::replace(&mut self.modified_at, now) != now
    }
}

/// When a file was last modified, if that can be told.
fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|data| data.modified())
        .ok()
}

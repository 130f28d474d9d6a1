//! When the settings file was modified.

use std::path::Path;
use std::time::SystemTime;

/// When the file was modified last; `None` while that can't be read.
pub(super) fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

//! Modification time of the settings file.

use std::path::Path;
use std::time::SystemTime;

/// Returns when the file was last modified, or `None` if that can't be read.
pub(super) fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

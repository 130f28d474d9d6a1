//! Warnings that may recur ten times a second.

use super::folder::FolderError;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The same warning is logged again after this long.
const REPEAT_INTERVAL: Duration = Duration::from_secs(60);

/// Logs a failure of the folder, and goes on with another value.
pub(super) fn warn_or<T>(error: &FolderError, otherwise: T) -> T {
    warn_once(&error.to_string());
    otherwise
}

/// Logs a warning, but not the same one again within the interval. Guards the log: what fails is
/// tried ten times a second.
pub(super) fn warn_once(text: &str) {
    static RECENT: Mutex<Vec<(Instant, String)>> = Mutex::new(Vec::new());
    let mut recent = RECENT.lock().unwrap_or_else(PoisonError::into_inner);
    recent.retain(|(at, _)| at.elapsed() < REPEAT_INTERVAL);
    if recent.iter().all(|(_, logged)| logged != text) {
        log::warn!("{text}");
        recent.push((Instant::now(), text.into()));
    }
}

//! Locks that survive the panic of a thread: an emulator goes on serving the other threads.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also one that is poisoned: every holder leaves the value consistent at each step,
/// so that a panic under the lock spoils nothing.
pub fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

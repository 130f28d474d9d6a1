//! What the tests of the router share: a router in a thread, a scripted control machine, scripted
//! servers and a client, all on loopback.
//!
//! Nothing here sleeps for a result: whatever is waited for is waited for with a deadline.
#![allow(dead_code, missing_docs)]

pub mod client;
pub mod control;
pub mod rig;
pub mod server;

use std::time::{Duration, Instant};

/// How long anything is waited for before a test fails.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits until something holds.
///
/// # Panics
/// When it does not in time.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Whether something comes to hold within a time.
pub fn within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    holds()
}

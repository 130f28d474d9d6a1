//! What the tests of the router share: a router in a thread (`harness`), a scripted control machine,
//! scripted model servers and a client, all on loopback.
//!
//! Nothing here sleeps for a result: every wait has a condition and a deadline.
#![allow(dead_code, missing_docs)]

pub mod client;
pub mod control;
pub mod harness;
pub mod server;

use std::time::{Duration, Instant};

/// How long a test waits for anything before it fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a condition holds.
///
/// # Panics
/// It does not hold in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "waited in vain until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Whether a condition comes to hold within a time.
pub fn holds_within(time: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + time;
    while Instant::now() < deadline {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    holds()
}

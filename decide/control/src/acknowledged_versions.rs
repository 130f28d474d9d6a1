//! Configuration versions that a control machine has acknowledged to callers. The machine checks
//! its reads against them.
//!
//! A read must return at least the newest version that was acknowledged before the read arrived. An
//! acknowledgement that was sent while the read was pending does not count.

use lichenswitch_replication::Time;
use std::collections::VecDeque;

/// Maximum number of acknowledgements kept. Reads are answered within a second, and few orders are
/// accepted in a second.
const MAX_ACKNOWLEDGEMENTS: usize = 64;
/// Start of the body of a response that contains a version.
const VERSION_PREFIX: &[u8] = b"{\"version\":";

/// The last acknowledged versions with the times of their acknowledgement, both in ascending order.
#[derive(Debug, Default)]
pub struct AcknowledgedVersions {
    versions: VecDeque<(Time, u64)>,
}

impl AcknowledgedVersions {
    /// Records that a version has been acknowledged at `now`. Ignores a version that is not newer
    /// than the last one, as when an older order is repeated.
    pub fn on_acknowledged(&mut self, now: Time, version: u64) {
        if self
            .versions
            .back()
            .is_some_and(|(_, newest)| *newest >= version)
        {
            return;
        }
        if self.versions.len() >= MAX_ACKNOWLEDGEMENTS {
            self.versions.pop_front();
        }
        self.versions.push_back((now, version));
    }

    /// Returns whether a read that arrived at `arrived_at` may be answered with this version.
    #[must_use]
    pub fn allows_read(&self, arrived_at: Time, version: u64) -> bool {
        let before = self.versions.iter().rev().find(|(at, _)| *at < arrived_at);
        before.is_none_or(|(_, acknowledged)| *acknowledged <= version)
    }
}

/// Returns the version at the start of the body of a response, or `None` if the body does not start
/// with one. It parses only bodies that this program has rendered.
#[must_use]
pub fn parse_response_version(body: &[u8]) -> Option<u64> {
    let rest = body.strip_prefix(VERSION_PREFIX)?;
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;

//! Configuration versions that a control machine has acknowledged, to check its reads against.
//!
//! A read must return at least the newest version that was acknowledged before the read arrived. A
//! read that was pending meanwhile may return an older one.

use lichenswitch_replication::Time;
use std::collections::VecDeque;

/// Acknowledgements that are remembered one by one: reads are answered within a second, and few
/// orders are accepted in one.
const REMEMBERED_ACKNOWLEDGEMENTS: usize = 64;
/// How a response that names a version begins.
const VERSION_PREFIX: &[u8] = b"{\"version\":";

/// Acknowledged versions, each with its time; both rise.
#[derive(Debug, Default)]
pub struct AcknowledgedVersions {
    versions: VecDeque<(Time, u64)>,
}

impl AcknowledgedVersions {
    /// This version has been acknowledged. A repeat of an older one changes nothing.
    pub fn on_acknowledged(&mut self, now: Time, version: u64) {
        if self
            .versions
            .back()
            .is_some_and(|(_, newest)| *newest >= version)
        {
            return;
        }
        if self.versions.len() >= REMEMBERED_ACKNOWLEDGEMENTS {
            self.versions.pop_front();
        }
        self.versions.push_back((now, version));
    }

    /// Whether a read that arrived at `arrived` may be answered with this version.
    #[must_use]
    pub fn allows_read(&self, arrived: Time, version: u64) -> bool {
        let before = self.versions.iter().rev().find(|(at, _)| *at < arrived);
        before.is_none_or(|(_, acknowledged)| *acknowledged <= version)
    }
}

/// The version that the body of a response of this program names, if it names one.
#[must_use]
pub fn parse_response_version(body: &[u8]) -> Option<u64> {
    let rest = body.strip_prefix(VERSION_PREFIX)?;
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;

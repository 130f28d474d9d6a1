//! What a control machine has acknowledged, so that it can check what it lets be read.
//!
//! A read must show at least the newest version that was acknowledged before the read came. One
//! that was under way meanwhile may show an older one.

use lichenswitch_replication::Time;
use std::collections::VecDeque;

/// Acknowledgements that are remembered one by one: reads are answered within a second, and few
/// orders are taken in one.
const REMEMBERED: usize = 64;
/// Where our answers name a version.
const VERSION_FIRST: &[u8] = b"{\"version\":";

/// Versions that were acknowledged, each with when; both rise.
#[derive(Debug, Default)]
pub struct Acknowledged {
    versions: VecDeque<(Time, u64)>,
}

impl Acknowledged {
    /// This version has been acknowledged. A repeat of an older one says nothing new.
    pub fn on_acknowledged(&mut self, now: Time, version: u64) {
        if self
            .versions
            .back()
            .is_some_and(|(_, newest)| *newest >= version)
        {
            return;
        }
        if self.versions.len() >= REMEMBERED {
            self.versions.pop_front();
        }
        self.versions.push_back((now, version));
    }

    /// Whether a read that came then may be answered with this version.
    #[must_use]
    pub fn allows(&self, arrived: Time, version: u64) -> bool {
        let before = self.versions.iter().rev().find(|(at, _)| *at < arrived);
        before.is_none_or(|(_, acknowledged)| *acknowledged <= version)
    }
}

/// The version that an answer of this program names, if it does.
#[must_use]
pub fn version_in(body: &[u8]) -> Option<u64> {
    let rest = body.strip_prefix(VERSION_FIRST)?;
    let digits = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    std::str::from_utf8(&rest[..digits]).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;

//! Preference of a query among servers with equally few pending calls.

use lichenswitch_interface::{Load, Placement, ServerId};

/// Preference for a server, lower is better: its backlog level, then its position in the order that
/// the query's prefix determines. The order is the same at all instances (rendezvous hashing).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    level: u32,
    order: u32,
}

impl Preference {
    /// Computes the preference of a query for a server under its current load.
    #[must_use]
    pub fn new(placement: &Placement, server: ServerId, load: Load) -> Preference {
        let level = load
            .backlog
            .checked_div(placement.backlog_step)
            .unwrap_or(0);
        let order = match placement.prefix {
            0 => 0,
            prefix => {
                (splitmix64_finalize(prefix ^ splitmix64_finalize(u64::from(server.0) + 1)) >> 32)
                    as u32
            }
        };
        Preference { level, order }
    }
}

/// Applies the finalizer of SplitMix64, which maps close values far apart.
fn splitmix64_finalize(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

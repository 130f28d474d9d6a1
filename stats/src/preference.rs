//! Which of several servers with as few pending calls a query prefers.

use lichenswitch_interface::{Load, Placement, ServerId};

/// How little a server suits a query; the least is best. The backlog's level comes first, then the
/// server's place in the order that each beginning has, which is the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    level: u32,
    order: u32,
}

impl Preference {
    /// Of a query, for a server that is loaded like this.
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

/// The finalizer of SplitMix64: neighbours come out far apart.
fn splitmix64_finalize(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

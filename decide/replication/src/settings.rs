//! Times and limits. All times are microseconds.

use crate::faults::Faults;

/// Times and limits of a replica, the same at all members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Between two heartbeats of a primary that has nothing else to say. Default 100 ms.
    pub heartbeat_interval: u64,
    /// Silence of a primary after which a voter tries to become one; drawn between this and twice
    /// this. Default 500 ms.
    pub election_timeout: u64,
    /// A primary that no quorum confirmed for so long steps down; others are out of contact.
    /// Default 600 ms.
    pub contact_timeout: u64,
    /// A member that lacks for so long what the primary tells as committed is not current. Default
    /// 300 ms.
    pub most_lag: u64,
    /// Silence of a voter after which a newcomer may take its place. Default 1 s.
    pub replace_after: u64,
    /// Silence of a voter after which it is removed without a replacement. Default 5 s.
    pub remove_after: u64,
    /// Losses of machines, disks included, that must be borne (`faultTolerance.machines`).
    /// Default 1.
    pub fault_tolerance: u32,
    /// Between two requests of the same kind that had no answer (grants, chunks, knocks, requests
    /// to leave). Default 150 ms.
    pub retry_interval: u64,
    /// A write that takes longer than this is a stalled disk: a primary hands its part on. Default
    /// 1 s.
    pub disk_stall: u64,
    /// For so long one that handed its part on doesn't try to have it back. Default 5 s.
    pub passive_after_hand_over: u64,
    /// A newcomer that is silent for so long is no longer brought up to date. Default 2 s.
    pub newcomer_timeout: u64,
    /// A sole founder waits so long for a second newcomer before it takes one alone, since two bear
    /// no loss. Default 2 s.
    pub founding_wait: u64,
    /// A group smaller than `2 * fault_tolerance + 1` takes no orders for so long after its primary
    /// began. Default 5 s.
    pub gathering_timeout: u64,
    /// Most voters. Default 9.
    pub most_voters: usize,
    /// Faults that the model tests plant.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: 100_000,
            election_timeout: 500_000,
            contact_timeout: 600_000,
            most_lag: 300_000,
            replace_after: 1_000_000,
            remove_after: 5_000_000,
            fault_tolerance: 1,
            retry_interval: 150_000,
            disk_stall: 1_000_000,
            passive_after_hand_over: 5_000_000,
            newcomer_timeout: 2_000_000,
            founding_wait: 2_000_000,
            gathering_timeout: 5_000_000,
            most_voters: 9,
            faults: Faults::default(),
        }
    }
}

//! Times and limits of a replica.

use crate::faults::Faults;

/// Times and limits of a replica; the same at all members. Times are microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Between two heartbeats of a primary that has nothing else to send. Default 100 ms.
    pub heartbeat_interval_us: u64,
    /// A voter that has received no heartbeat for a random time between this and twice this starts an
    /// election. Default 500 ms.
    pub election_timeout_us: u64,
    /// A primary that no quorum has confirmed for so long steps down; other members are then out of
    /// contact. Default 600 ms.
    pub contact_timeout_us: u64,
    /// A member that lacks for so long what the primary says is committed is not current. Default
    /// 300 ms.
    pub max_commit_lag_us: u64,
    /// A voter without contact for so long may be replaced by a learner. Default 1 s.
    pub replace_after_us: u64,
    /// A voter without contact for so long is removed without a replacement. Default 5 s.
    pub remove_after_us: u64,
    /// Losses of machines, disks included, that the group must tolerate
    /// (`faultTolerance.machines`). Default 1.
    pub fault_tolerance: u32,
    /// Between two requests of the same kind that had no response (votes, chunks, joining, leaving).
    /// Default 150 ms.
    pub retry_interval_us: u64,
    /// The disk counts as stalled when a write takes longer than this: a primary then transfers the
    /// leadership. Default 1 s.
    pub disk_stall_timeout_us: u64,
    /// A member that transferred the leadership starts no election for so long. Default 5 s.
    pub passive_after_transfer_us: u64,
    /// A learner without contact for so long is forgotten. Default 2 s.
    pub learner_timeout_us: u64,
    /// A sole founder waits so long for a second learner before it takes one alone, since two voters
    /// tolerate no loss. Default 2 s.
    pub sole_founder_wait_us: u64,
    /// A group smaller than `2 * fault_tolerance + 1` accepts no changes for so long after its primary
    /// was elected. Default 5 s.
    pub bootstrap_timeout_us: u64,
    /// Most voters of a group. Default 9.
    pub max_voters: usize,
    /// Faults that the model tests plant.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval_us: 100_000,
            election_timeout_us: 500_000,
            contact_timeout_us: 600_000,
            max_commit_lag_us: 300_000,
            replace_after_us: 1_000_000,
            remove_after_us: 5_000_000,
            fault_tolerance: 1,
            retry_interval_us: 150_000,
            disk_stall_timeout_us: 1_000_000,
            passive_after_transfer_us: 5_000_000,
            learner_timeout_us: 2_000_000,
            sole_founder_wait_us: 2_000_000,
            bootstrap_timeout_us: 5_000_000,
            max_voters: 9,
            faults: Faults::default(),
        }
    }
}

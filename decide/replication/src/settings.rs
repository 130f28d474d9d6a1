//! Timeouts and limits of a replica.

use crate::faults::Faults;

/// Timeouts and limits of a replica, equal at all members. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Time between two heartbeats of a primary that has nothing else to send. Default 100 ms.
    pub heartbeat_interval_us: u64,
    /// Minimum time without a heartbeat after which a voter starts an election. The voter waits for
    /// a random time between this and twice this. Default 500 ms.
    pub election_timeout_us: u64,
    /// Time without confirmation by a quorum after which a primary steps down, and after which
    /// other members count as out of contact. Default 600 ms.
    pub contact_timeout_us: u64,
    /// Time after which a member that is missing a record that the primary reported as committed is
    /// no longer current. Default 300 ms.
    pub max_commit_lag_us: u64,
    /// Time without contact after which a learner may replace a voter. Default 1 s.
    pub replace_after_us: u64,
    /// Time without contact after which a voter is removed without a replacement. Default 5 s.
    pub remove_after_us: u64,
    /// Number of lost machines, disks included, that the group must tolerate
    /// (`faultTolerance.machines`). Default 1.
    pub fault_tolerance: u32,
    /// Time after which an unanswered request is repeated (votes, chunks, joining, leaving).
    /// Default 150 ms.
    pub retry_interval_us: u64,
    /// Time that a write may take before the disk counts as stalled. A primary with a stalled disk
    /// transfers the leadership. Default 1 s.
    pub disk_stall_timeout_us: u64,
    /// Time for which a member starts no election after it transferred the leadership. Default 5 s.
    pub passive_after_transfer_us: u64,
    /// Time without contact after which the primary removes a learner from its peers. Default 2 s.
    pub learner_timeout_us: u64,
    /// Time that a sole founder waits for a second learner before it adds a single one, since two
    /// voters tolerate no loss. Default 2 s.
    pub sole_founder_wait_us: u64,
    /// Time after its election for which the primary of a group with fewer than `2 *
    /// fault_tolerance + 1` voters accepts no changes. Default 5 s.
    pub bootstrap_timeout_us: u64,
    /// Maximum number of voters in a group. Default 9.
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

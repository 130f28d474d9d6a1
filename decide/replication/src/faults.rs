//! Faults that model tests plant in a replica, to show that the tests detect them.

/// A fault in the algorithm. Faults are planted only in tests and simulations.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The primary confirms at once if its last confirmed round is younger than
    /// `contact_timeout_us`.
    EarlyLease,
    /// The primary confirms at once, without checking the clock or starting a round.
    ConfirmFromMemory,
    /// A round that began before the call is accepted as its confirmation.
    CountEarlierRound,
    /// A member with an empty disk votes.
    EmptyDiskVotes,
    /// A voter reports a state as synced before its disk has synced it.
    RespondBeforeSync,
    /// Half of the voters are accepted as a quorum.
    HalfIsQuorum,
    /// The primary never removes or replaces a voter.
    NeverRemoveVoters,
    /// The newest state is chosen by its record number alone, without its epoch.
    NewestByNumber,
    /// A primary commits a record that only its own disk has synced.
    PrimaryCommitsAlone,
    /// A leaving primary commits a record that only its own disk has synced.
    LeaverCommitsAlone,
    /// A change of membership is written without a joint record.
    NoJointRecord,
    /// A vote is sent without the promise being written to disk.
    PromiseNotDurable,
    /// A response to a heartbeat of an older epoch is accepted.
    CountEarlierEpoch,
    /// Changes are accepted while the group mixes voters without a disk and members with one.
    /// Voters without a disk are removed by the same rules as others.
    ChangesBesideDisklessVoters,
    /// A voter that reaches its election time, but may not start an election, does not postpone the
    /// next attempt.
    ElectionNotPostponed,
}

/// The set of planted faults; empty by default.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    bits: u16,
}

impl Faults {
    /// Returns a set with only this fault.
    #[must_use]
    pub fn of(fault: Fault) -> Self {
        let mut faults = Self::default();
        faults.plant(fault);
        faults
    }

    /// Adds a fault to the set.
    pub fn plant(&mut self, fault: Fault) {
        self.bits |= 1 << fault as u16;
    }

    /// Whether the set contains this fault.
    pub(crate) fn has(self, fault: Fault) -> bool {
        self.bits & (1 << fault as u16) != 0
    }
}

//! Faults that the model tests plant in a replica, to show that they would be found.

/// A fault in the algorithm. None is ever planted outside of tests and simulations.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A confirmation is given at once while the last round is younger than `contact_timeout_us`.
    EarlyLease,
    /// A confirmation is given from memory, without a look at the clock or a round.
    ConfirmFromMemory,
    /// A round that began before the call confirms it.
    CountEarlierRound,
    /// A member with an empty disk votes.
    EmptyDiskVotes,
    /// A voter responds before its disk has synced.
    RespondBeforeSync,
    /// Half of the voters count as a quorum.
    HalfIsQuorum,
    /// No voter is removed or replaced.
    NeverRemoveVoters,
    /// The newest state is chosen by its number alone.
    NewestByNumber,
    /// A primary commits a record that no other member has synced.
    PrimaryCommitsAlone,
    /// A primary that leaves commits a record that no other member has synced.
    LeaverCommitsAlone,
    /// A change of membership is written without the joint record.
    NoJointRecord,
    /// A promise is given without having been written.
    PromiseNotDurable,
    /// A confirmation of an older epoch counts.
    CountEarlierEpoch,
    /// Changes are accepted beside voters without a disk, whose votes count like all others.
    ChangesBesideDisklessVoters,
    /// A voter whose time for an election has come, and that may not ask for one, doesn't postpone
    /// the next attempt.
    ElectionNotPostponed,
}

/// The faults that are planted; none by default.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Faults {
    bits: u16,
}

impl Faults {
    /// This fault alone.
    #[must_use]
    pub fn of(fault: Fault) -> Self {
        let mut faults = Self::default();
        faults.plant(fault);
        faults
    }

    /// Adds a fault.
    pub fn plant(&mut self, fault: Fault) {
        self.bits |= 1 << fault as u16;
    }

    /// Whether this fault is planted.
    pub(crate) fn has(self, fault: Fault) -> bool {
        self.bits & (1 << fault as u16) != 0
    }
}

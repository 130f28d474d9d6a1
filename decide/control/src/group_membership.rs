//! Decides when a machine joins or leaves the group of voters.
//!
//! A machine without a disk joins only if no machine with a disk connects. It leaves the group as
//! soon as enough machines with a disk vote and hold the state.

use lichenswitch_replication::Time;

/// Time that a temporary member waits after its start for a machine with a disk to connect, before
/// it joins the group (microseconds).
const TEMPORARY_JOIN_DELAY_US: u64 = 3_000_000;
/// Time that a temporary member waits for further voters with a disk once the first of them is
/// connected, while they are fewer than the group requires (microseconds). Then it leaves the
/// group.
const DURABLE_VOTERS_TIMEOUT_US: u64 = 5_000_000;

/// Condition under which a machine may be a member of the group of voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// The machine is always a member. It has a disk, or its loss counts towards the fault
    /// tolerance.
    Durable,
    /// The machine is a member only until machines with a disk hold the state. It has no disk and
    /// its loss is not counted, but it is a seed at the first start of the system: if no machine
    /// has a disk, one of the seeds has to found the group. Before it has joined, it becomes a
    /// relay as soon as a machine with a disk connects.
    Temporary,
    /// The machine is never a member. It forwards calls and holds no replicated state.
    Relay,
}

/// This machine's view of the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// Whether this machine is a member of the group.
    pub is_member: bool,
    /// Whether this machine has left the group after requesting to leave.
    pub has_left: bool,
    /// Number of connected voters with a disk.
    pub durable_voters: usize,
}

/// Change of membership that a machine has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Join the group of voters.
    Join,
    /// Request to leave the group, because machines with a disk hold the state.
    Leave,
    /// Drop the replica. From now on this machine only relays calls.
    BecomeRelay,
}

/// Decides about the membership of one machine from its view of the group.
#[derive(Clone, Copy, Debug)]
pub struct GroupMembership {
    eligibility: Eligibility,
    started_at: Time,
    /// Number of voters needed to tolerate the required number of losses.
    required_voters: usize,
    /// When this machine, as a temporary member, first saw a connected voter with a disk; `None`
    /// while there is none.
    durable_voter_seen_at: Option<Time>,
}

impl GroupMembership {
    /// Creates the membership of a machine that starts at `started_at`, in a group that must
    /// tolerate the loss of `fault_tolerance` voters.
    pub fn new(eligibility: Eligibility, started_at: Time, fault_tolerance: usize) -> Self {
        Self {
            eligibility,
            started_at,
            required_voters: 2 * fault_tolerance + 1,
            durable_voter_seen_at: None,
        }
    }

    /// Returns the current eligibility. A temporary member becomes a relay over time.
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// Handles the connection of a machine with a disk. From now on only machines with a disk hold
    /// the state, even if they are disconnected for long. This prevents a machine whose state ends
    /// with its process from becoming a voter in a group that has disks.
    pub fn on_durable_peer_connected(&mut self, is_member: bool) {
        if self.eligibility == Eligibility::Temporary && !is_member {
            self.eligibility = Eligibility::Relay;
        }
    }

    /// Returns the change of membership to carry out now, if any.
    pub fn next_action(&mut self, now: Time, view: GroupView) -> Option<MembershipAction> {
        match (self.eligibility, view.is_member) {
            (Eligibility::Durable, false) => Some(MembershipAction::Join),
            (Eligibility::Temporary, false)
                if now.since(self.started_at) > TEMPORARY_JOIN_DELAY_US =>
            {
                Some(MembershipAction::Join)
            }
            (Eligibility::Temporary, true) => self.withdraw_for_durable_voters(now, view),
            _ => None,
        }
    }

    /// Returns how a temporary member withdraws from the group. It leaves once enough machines with
    /// a disk vote, or once it has waited for more of them for [`DURABLE_VOTERS_TIMEOUT_US`].
    fn withdraw_for_durable_voters(
        &mut self,
        now: Time,
        view: GroupView,
    ) -> Option<MembershipAction> {
        if view.has_left {
            self.eligibility = Eligibility::Relay;
            return Some(MembershipAction::BecomeRelay);
        }
        if view.durable_voters == 0 {
            self.durable_voter_seen_at = None;
            return None;
        }
        let seen_at = *self.durable_voter_seen_at.get_or_insert(now);
        let has_timed_out = now.since(seen_at) >= DURABLE_VOTERS_TIMEOUT_US;
        (has_timed_out || view.durable_voters >= self.required_voters)
            .then_some(MembershipAction::Leave)
    }

    /// Returns when [`Self::next_action`] must be called next if no event occurs before; `None` if
    /// this machine does not wait for further voters with a disk.
    pub fn next_wake(&self) -> Option<Time> {
        self.durable_voter_seen_at
            .map(|seen_at| seen_at.after(DURABLE_VOTERS_TIMEOUT_US))
    }
}

#[cfg(test)]
mod tests;

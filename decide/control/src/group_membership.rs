//! Whether a machine is a member of the group of voters: from its start, later, or no longer.
//!
//! A machine without a disk joins only where no machine with one does, and leaves as soon as such
//! machines hold the state.

use lichenswitch_replication::Time;

/// How long a machine that may only stand in for those with a disk waits for one of them to connect
/// (microseconds).
const STAND_IN_WAIT_US: u64 = 3_000_000;
/// How long a stand-in waits for further voters with a disk once one of them votes, while they are
/// fewer than the group needs (microseconds).
const GATHERING_TIMEOUT_US: u64 = 5_000_000;

/// Why a machine may be a member of the group of voters, if it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It has a disk, or its loss is counted.
    Durable,
    /// Neither, but the first start names it as a seed: one machine has to found the group where
    /// none has a disk. It becomes a relay once a machine with a disk has connected.
    Temporary,
    /// It forwards calls and holds no replicated state.
    Relay,
}

/// The group as this machine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupView {
    /// This machine is a member of the group.
    pub is_member: bool,
    /// Its requested leave is complete.
    pub has_left: bool,
    /// Voters with a disk that are connected.
    pub durable_voters: usize,
}

/// What a machine has to do about its membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Join the group.
    Join,
    /// Request to leave the group: machines with a disk hold the state.
    Leave,
    /// Drop the replica: from now on this machine only relays.
    BecomeRelay,
}

/// The membership of one machine.
#[derive(Clone, Copy, Debug)]
pub struct GroupMembership {
    eligibility: Eligibility,
    started_at: Time,
    /// Voters that are needed to tolerate the required number of losses.
    required_voters: usize,
    /// When this machine, which has no disk, first saw a voter with one beside it.
    durable_voter_seen_at: Option<Time>,
}

impl GroupMembership {
    /// Of a machine that starts at `started`, in a group that must tolerate `fault_tolerance` losses.
    pub fn new(eligibility: Eligibility, started_at: Time, fault_tolerance: usize) -> Self {
        Self {
            eligibility,
            started_at,
            required_voters: 2 * fault_tolerance + 1,
            durable_voter_seen_at: None,
        }
    }

    /// Why it may be a member.
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// A machine with a disk has connected: from now on the state belongs on such machines, however
    /// long they are away. Guards against a vote for state that ends with this process, in a group
    /// that has disks.
    pub fn on_durable_peer_connected(&mut self, is_member: bool) {
        if self.eligibility == Eligibility::Temporary && !is_member {
            self.eligibility = Eligibility::Relay;
        }
    }

    /// What has to be done now, if anything.
    pub fn next_action(&mut self, now: Time, view: GroupView) -> Option<MembershipAction> {
        match (self.eligibility, view.is_member) {
            (Eligibility::Durable, false) => Some(MembershipAction::Join),
            (Eligibility::Temporary, false) if now.since(self.started_at) > STAND_IN_WAIT_US => {
                Some(MembershipAction::Join)
            }
            (Eligibility::Temporary, true) => self.yield_to_durable_voters(now, view),
            _ => None,
        }
    }

    /// A machine without a disk leaves once enough machines with one vote, or once it has waited long
    /// enough for more of them.
    fn yield_to_durable_voters(&mut self, now: Time, view: GroupView) -> Option<MembershipAction> {
        if view.has_left {
            self.eligibility = Eligibility::Relay;
            return Some(MembershipAction::BecomeRelay);
        }
        if view.durable_voters == 0 {
            self.durable_voter_seen_at = None;
            return None;
        }
        let seen_at = *self.durable_voter_seen_at.get_or_insert(now);
        let has_timed_out = now.since(seen_at) >= GATHERING_TIMEOUT_US;
        (has_timed_out || view.durable_voters >= self.required_voters)
            .then_some(MembershipAction::Leave)
    }

    /// When [`Self::next_action`] has something to return without a further event.
    pub fn next_wake(&self) -> Option<Time> {
        self.durable_voter_seen_at
            .map(|seen_at| seen_at.after(GATHERING_TIMEOUT_US))
    }
}

#[cfg(test)]
mod tests;

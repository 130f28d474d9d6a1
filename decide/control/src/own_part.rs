//! The part that a machine has in the group of voters: from its start, later, or no more.
//!
//! A machine without a disk takes part only where nobody with one is there to do it, and leaves as
//! soon as those hold what it holds.

use lichenswitch_replication::Time;

/// A machine that may only stand in for those with a disk waits so long for one of them to show
/// itself (microseconds).
const STAND_IN_WAIT: u64 = 3_000_000;
/// Machines with a disk that are fewer than the group wants are waited for this long once one of
/// them votes (microseconds).
const GATHERING_TIMEOUT: u64 = 5_000_000;

/// Why a machine takes part in the group of voters, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It has a disk, or its loss is counted.
    Durable,
    /// Neither, but the first start names it as a seed: somebody has to begin where no machine has
    /// a disk. It relays once it has met one that has.
    StandIn,
    /// It forwards calls and holds no state that matters.
    Relay,
}

/// How the group stands, as this machine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// This machine holds a part of the group.
    pub takes_part: bool,
    /// It has asked to leave, and may stop.
    pub has_left: bool,
    /// Voters with a disk that are connected.
    pub durable_voters: usize,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Take part in the group.
    TakePart,
    /// Ask to leave the group: machines with a disk hold the state.
    Leave,
    /// Hold no part any more.
    Relay,
}

/// The part of one machine.
#[derive(Clone, Copy, Debug)]
pub struct OwnPart {
    eligibility: Eligibility,
    started: Time,
    /// Votes that it takes to bear the losses that must be borne.
    enough: usize,
    /// Since when a voter with a disk stands beside this one, which has none.
    beside_durable_since: Option<Time>,
}

impl OwnPart {
    /// Of a machine that starts now, in a group that must bear so many losses.
    pub fn new(eligibility: Eligibility, started: Time, fault_tolerance: usize) -> Self {
        Self {
            eligibility,
            started,
            enough: 2 * fault_tolerance + 1,
            beside_durable_since: None,
        }
    }

    /// Why it takes part.
    pub fn eligibility(&self) -> Eligibility {
        self.eligibility
    }

    /// A machine with a disk has shown itself: the state is its to hold, from now on and however
    /// long it is away. Guards against a vote for what ends with this process, in a group that has
    /// disks.
    pub fn on_durable_peer(&mut self, takes_part: bool) {
        if self.eligibility == Eligibility::StandIn && !takes_part {
            self.eligibility = Eligibility::Relay;
        }
    }

    /// What is to be done now.
    pub fn look(&mut self, now: Time, view: View) -> Option<Change> {
        match (self.eligibility, view.takes_part) {
            (Eligibility::Durable, false) => Some(Change::TakePart),
            (Eligibility::StandIn, false) if now.since(self.started) > STAND_IN_WAIT => {
                Some(Change::TakePart)
            }
            (Eligibility::StandIn, true) => self.make_way(now, view),
            _ => None,
        }
    }

    /// A machine without a disk leaves once enough machines with one vote, or those that are there
    /// have waited for others long enough.
    fn make_way(&mut self, now: Time, view: View) -> Option<Change> {
        if view.has_left {
            self.eligibility = Eligibility::Relay;
            return Some(Change::Relay);
        }
        if view.durable_voters == 0 {
            self.beside_durable_since = None;
            return None;
        }
        let since = *self.beside_durable_since.get_or_insert(now);
        let waited = now.since(since) >= GATHERING_TIMEOUT;
        (waited || view.durable_voters >= self.enough).then_some(Change::Leave)
    }

    /// When [`Self::look`] has something to do by itself.
    pub fn next_wake(&self) -> Option<Time> {
        self.beside_durable_since
            .map(|since| since.after(GATHERING_TIMEOUT))
    }
}

#[cfg(test)]
mod tests;

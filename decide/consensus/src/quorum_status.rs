//! Whether a broker is in contact with a majority of the voters, by its own knowledge. It counts
//! like the holder of a lease: from before its request was sent, on a clock that goes on while the
//! process is stopped, less the drift. So a broker that takes itself for connected has been
//! received by a majority within a lease, however the network has delayed messages, and one that
//! resumes after a stop knows that it is not connected.

use lichenswitch_interface::{Micros, Time};
use lichenswitch_lease::LeaseTerms;
use std::collections::BTreeMap;
use std::fmt;

/// The most requests that are remembered: answers to older ones count for nothing.
const MAX_REMEMBERED_REQUESTS: usize = 16;
/// A request is sent after this many hundredths of a lease: the rest has room for two more.
const REQUEST_PERCENT: u64 = 30;
/// After this many leases without a majority a broker is disconnected, no longer suspect.
const DISCONNECTED_LEASES: u64 = 3;

/// A broker's contact with the voters; each variant is worse than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuorumStatus {
    /// A majority of the voters has received its requests within the lease.
    Connected,
    /// No majority has, since a short time: the fault may be the broker's, the voters' or the
    /// network's.
    Suspect,
    /// No majority has for several leases, or none ever did.
    Disconnected,
    /// The voters are of another genesis than the one that it has known.
    ForeignGenesis,
}

impl fmt::Display for QuorumStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            QuorumStatus::Connected => "joined",
            QuorumStatus::Suspect => "doubtful",
            QuorumStatus::Disconnected => "cut off",
            QuorumStatus::ForeignGenesis => "a stranger",
        })
    }
}

/// The reason of a [`QuorumStatus`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The number of voters that have received it within the lease, and of all voters.
    ReceivedBy(usize, usize),
    /// The last majority received it this long ago (microseconds).
    LastMajority(Micros),
    /// No majority has ever received it.
    Never,
    /// The genesis that it has known, and the other one by which a voter has answered.
    OtherGenesis(u64, u64),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::ReceivedBy(count, voters) => write!(
                f,
                "{count} of {voters} voters have heard it within its lease"
            ),
            Reason::LastMajority(elapsed) => write!(
                f,
                "the last majority of the voters heard it {} ms ago",
                elapsed / 1_000
            ),
            Reason::Never => f.write_str("no majority of the voters has heard it yet"),
            Reason::OtherGenesis(known, other) => write!(
                f,
                "the fleet has begun anew: genesis {other:x}, and {known:x} was known"
            ),
        }
    }
}

/// Tracks which voters have received a broker's requests, and when.
///
/// ```
/// use lichenswitch_consensus::quorum_status::{ContactTracker, QuorumStatus};
/// use lichenswitch_interface::Time;
/// use lichenswitch_lease::LeaseTerms;
///
/// let terms = LeaseTerms { lease: 3_000_000, drift: 20_000 };
/// let mut contact = ContactTracker::new(3, terms);
/// let request = contact.on_request(Time(0));
/// contact.on_response("n0", request, 7);
/// assert_eq!(contact.status(Time(5)).0, QuorumStatus::Disconnected, "one of three");
/// contact.on_response("n1", request, 7);
/// assert_eq!(contact.status(Time(2_000_000)).0, QuorumStatus::Connected);
/// assert_eq!(contact.status(Time(3_000_000)).0, QuorumStatus::Suspect, "counted from the request");
/// ```
#[derive(Clone, Debug)]
pub struct ContactTracker {
    voters: usize,
    terms: LeaseTerms,
    last_request: u64,
    /// When the last requests were sent, by their numbers.
    requests: BTreeMap<u64, Time>,
    /// For each voter, when the last request was sent that it has answered.
    last_contact: BTreeMap<String, Time>,
    /// The digest of the genesis of the first answer.
    genesis: Option<u64>,
    /// The digest of a genesis that differs from it.
    other_genesis: Option<u64>,
}

impl ContactTracker {
    /// A broker that none of this number of voters has received yet.
    #[must_use]
    pub fn new(voters: usize, terms: LeaseTerms) -> ContactTracker {
        ContactTracker {
            voters,
            terms,
            last_request: 0,
            requests: BTreeMap::new(),
            last_contact: BTreeMap::new(),
            genesis: None,
            other_genesis: None,
        }
    }

    /// When to send the next request to all voters.
    #[must_use]
    pub fn next_request_at(&self) -> Time {
        let interval = self.terms.holder_duration() / 100 * REQUEST_PERCENT;
        let last = self.requests.values().next_back();
        last.map_or(Time(0), |sent_at| sent_at.plus(interval))
    }

    /// Notes that a request is sent to all voters now. Returns the number that answers have to
    /// name.
    pub fn on_request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        self.requests.insert(self.last_request, now);
        while self.requests.len() > MAX_REMEMBERED_REQUESTS {
            self.requests.pop_first();
        }
        self.last_request
    }

    /// A voter that votes by the genesis of this digest has answered the request of this number.
    pub fn on_response(&mut self, voter: &str, request: u64, genesis: u64) {
        let known = *self.genesis.get_or_insert(genesis);
        if known != genesis {
            self.other_genesis = Some(genesis);
            return;
        }
        // Guards against delayed and duplicated answers: an older request does not replace a later
        // one.
        if let Some(sent_at) = self.requests.get(&request) {
            let last = self.last_contact.entry(voter.into()).or_insert(*sent_at);
            *last = (*last).max(*sent_at);
        }
    }

    /// The status now, and its reason.
    #[must_use]
    pub fn status(&self, now: Time) -> (QuorumStatus, Reason) {
        if let (Some(known), Some(other)) = (self.genesis, self.other_genesis) {
            let reason = Reason::OtherGenesis(known, other);
            return (QuorumStatus::ForeignGenesis, reason);
        }
        let mut contacts: Vec<Time> = self.last_contact.values().copied().collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let Some(majority) = contacts.get(self.voters / 2).copied() else {
            return (QuorumStatus::Disconnected, Reason::Never);
        };
        let (lease, elapsed) = (self.terms.holder_duration(), now.since(majority));
        // A clock that went back tells nothing.
        if elapsed < lease && now >= majority {
            let recent = contacts.iter().filter(|at| now.since(**at) < lease);
            let reason = Reason::ReceivedBy(recent.count(), self.voters);
            return (QuorumStatus::Connected, reason);
        }
        let status = if elapsed < DISCONNECTED_LEASES * self.terms.voter_duration() {
            QuorumStatus::Suspect
        } else {
            QuorumStatus::Disconnected
        };
        (status, Reason::LastMajority(elapsed))
    }
}

#[cfg(test)]
mod tests;

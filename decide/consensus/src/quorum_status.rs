//! Determines whether a broker is in contact with a majority of the voters.
//!
//! The broker measures the time like a lease holder: from the moment before it sends a request, on
//! a clock that continues while the process is stopped, and with the lease shortened by the clock
//! drift. Therefore a majority has received a request of each connected broker within the last
//! lease, regardless of message delays, and a broker that resumes after a long stop detects that it
//! is not connected.

use lichenswitch_interface::{Micros, Time};
use lichenswitch_lease::LeaseTerms;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of requests whose send time is kept. Responses to older requests are ignored.
const MAX_REMEMBERED_REQUESTS: usize = 16;
/// Interval between requests, in percent of a lease. The rest of the lease leaves time for two more
/// requests.
const REQUEST_PERCENT: u64 = 30;
/// Number of leases without contact to a majority after which the status changes from `Suspect` to
/// `Disconnected`.
const DISCONNECTED_LEASES: u64 = 3;

/// The state of a broker's contact with the voters, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QuorumStatus {
    /// A majority of the voters has received a request of this broker within the last lease.
    Connected,
    /// No majority has received a request within the last lease. The cause may be this broker, the
    /// voters or the network.
    Suspect,
    /// No majority has received a request for several leases, or since the start of the broker.
    Disconnected,
    /// A voter has responded with a genesis other than that of the first response.
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

/// The reason for a [`QuorumStatus`], for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Number of voters that have received a request within the last lease, and of all voters.
    ReceivedBy(usize, usize),
    /// Time since a majority last received a request, in microseconds.
    LastMajority(Micros),
    /// No majority has received a request since the start of the broker.
    Never,
    /// Digests of the genesis of the first response and of the differing one.
    OtherGenesis(u64, u64),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::ReceivedBy(count, voters) => write!(
                f,
                "{count} of {voters} voters received its requests within the lease"
            ),
            Reason::LastMajority(elapsed) => write!(
                f,
                "a majority of the voters last received its requests {} ms ago",
                elapsed / 1_000
            ),
            Reason::Never => f.write_str("no majority of the voters has received its requests yet"),
            Reason::OtherGenesis(known, other) => write!(
                f,
                "the voters use genesis {other:x}, while {known:x} is known"
            ),
        }
    }
}

/// Tracks which voters have received this broker's requests, and when the requests were sent.
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
    /// Number of the last request; 0 before the first one.
    last_request: u64,
    /// Send times of the last requests, by request number.
    requests: BTreeMap<u64, Time>,
    /// For each voter, the send time of the latest request that it has answered.
    last_contact: BTreeMap<String, Time>,
    /// Digest of the genesis in the first response.
    genesis: Option<u64>,
    /// Digest of a later response's genesis that differs from `genesis`.
    other_genesis: Option<u64>,
}

impl ContactTracker {
    /// Creates the tracker of a broker that has not contacted any of its `voters` voters yet.
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

    /// Returns when to send the next request to all voters.
    #[must_use]
    pub fn next_request_at(&self) -> Time {
        let interval = self.terms.holder_duration() / 100 * REQUEST_PERCENT;
        let last = self.requests.values().next_back();
        last.map_or(Time(0), |sent_at| sent_at.plus(interval))
    }

    /// Records that a request is sent to all voters now. Returns the number that responses have to
    /// carry.
    pub fn on_request(&mut self, now: Time) -> u64 {
        self.last_request += 1;
        self.requests.insert(self.last_request, now);
        while self.requests.len() > MAX_REMEMBERED_REQUESTS {
            self.requests.pop_first();
        }
        self.last_request
    }

    /// Handles a voter's response to the request with this number. `genesis` is the digest of the
    /// voter's genesis.
    pub fn on_response(&mut self, voter: &str, request: u64, genesis: u64) {
        let known = *self.genesis.get_or_insert(genesis);
        if known != genesis {
            self.other_genesis = Some(genesis);
            return;
        }
        // Responses may be delayed or duplicated: an older request must not replace a later one.
        if let Some(sent_at) = self.requests.get(&request) {
            let last = self.last_contact.entry(voter.into()).or_insert(*sent_at);
            *last = (*last).max(*sent_at);
        }
    }

    /// Returns the status at `now` and the reason for it.
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
        // If the clock went back, the elapsed time is unknown and the broker is not connected.
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

//! A voter: wraps the state machine of the consensus library with time, storage and messages, and
//! applies the decided entries to the grants.

use crate::genesis::{Genesis, VoterIdentity};
use crate::log_state::Entry;
use crate::persistent_state::{PendingRecords, PersistentState, Record};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_lease::grant_table::{GrantTable, Outcome};
use lichenswitch_lease::LeaseTerms;
use omnipaxos::errors::ConfigError;
use omnipaxos::messages::Message;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, OmniPaxosConfig, ServerConfig};
use std::collections::BTreeMap;
use std::fmt;

/// Tick period of the library (microseconds).
const TICK_INTERVAL: Micros = 50_000;
/// Number of ticks between rounds of the leader election.
const ELECTION_TICKS: u64 = 6;
/// Number of ticks after which the library sends messages again that may be lost.
const RESEND_TICKS: u64 = 10;
/// Number of applied entries after which the log is compacted into a snapshot. The log is at most
/// this long, or twice as long while further entries are being agreed on.
const SNAPSHOT_ENTRIES: usize = 500;
/// Time after which the expiry of a lease is proposed again if it is not decided yet
/// (microseconds).
const EXPIRY_RESEND_INTERVAL: Micros = 1_000_000;

/// An action that the caller has to carry out after an event, in the order returned.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterAction {
    /// Persist these records before carrying out any later action. The caller must stop the voter
    /// if this fails.
    Persist(Vec<Record>),
    /// Send this encoded message to the voter.
    Send(VoterIdentity, Vec<u8>),
    /// The entry at this position of the log was decided and applied with this outcome.
    Decided(usize, Entry, Outcome),
    /// A snapshot has replaced all entries below this position.
    CaughtUp(usize),
    /// This voter now regards the given voter as the leader.
    LeaderChanged(VoterIdentity, Reason),
}

/// The reason for a change of the leader, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A majority has promised to follow the leader in the ballot with this number.
    Elected(u32),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Elected(ballot) => write!(f, "elected by a majority in ballot {ballot}"),
        }
    }
}

/// Error when a broker can't vote with its persistent state.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The state contains no identity.
    #[error("the stored state contains no identity")]
    NoIdentity,
    /// The state contains no genesis.
    #[error("the stored state contains no genesis")]
    NoGenesis,
    /// The genesis does not list the broker with this name, or lists it with another identity.
    #[error("the genesis does not list {0} with the stored storage id")]
    NotInGenesis(String),
    /// The library rejects the set of voters.
    #[error("the consensus library rejects the set of voters: {0:?}")]
    Library(ConfigError),
}

/// Returns the node id of a voter for the library: its position in the genesis, from 1. The library
/// allocates a table up to the greatest node id, so the storage id can't be used.
fn node_id(genesis: &Genesis, voter: &VoterIdentity) -> u64 {
    let position = genesis.voters().iter().position(|v| v == voter);
    1 + position.unwrap_or_default() as u64
}

/// A voter of the replicated log. The caller reports events and carries out the returned actions.
pub struct Voter {
    paxos: OmniPaxos<Entry, PersistentState>,
    pending: PendingRecords,
    /// The state that results from all records returned to the caller so far.
    persisted: PersistentState,
    genesis: Genesis,
    own: VoterIdentity,
    terms: LeaseTerms,
    tick_at: Time,
    /// Number of log entries that are applied to `grants`.
    applied: usize,
    grants: GrantTable,
    /// When this voter last proposed each expiry, by the `Debug` form of the command.
    proposed_expiries: BTreeMap<String, Time>,
    /// The known leader and its ballot number.
    leader: Option<(VoterIdentity, u32)>,
    rejected_messages: u64,
}

impl Voter {
    /// Creates the voter from its persistent state and applies the decided entries at `now`, so the
    /// full wait for the end of each lease starts at `now`.
    ///
    /// # Errors
    /// Fails if the state has no identity, or no genesis that lists this identity.
    pub fn new(now: Time, state: PersistentState, terms: LeaseTerms) -> Result<Voter, VoterError> {
        let own = state.identity().cloned().ok_or(VoterError::NoIdentity)?;
        let genesis = state.genesis().cloned().ok_or(VoterError::NoGenesis)?;
        if !genesis.voters().contains(&own) {
            return Err(VoterError::NotInGenesis(own.name));
        }
        let config = OmniPaxosConfig {
            cluster_config: ClusterConfig {
                configuration_id: 1,
                nodes: (1..=genesis.voters().len() as u64).collect(),
                flexible_quorum: None,
            },
            server_config: ServerConfig {
                pid: node_id(&genesis, &own),
                election_tick_timeout: ELECTION_TICKS,
                resend_message_tick_timeout: RESEND_TICKS,
                ..ServerConfig::default()
            },
        };
        let (pending, persisted) = (state.pending(), state.clone());
        let paxos = config.build(state).map_err(VoterError::Library)?;
        let mut voter = Voter {
            paxos,
            pending,
            persisted,
            genesis,
            own,
            terms,
            tick_at: now,
            applied: 0,
            grants: GrantTable::default(),
            proposed_expiries: BTreeMap::new(),
            leader: None,
            rejected_messages: 0,
        };
        // The actions are dropped: no request is waiting for entries decided before the restart.
        voter.apply_decided(now);
        Ok(voter)
    }

    /// Returns the grants after the entries that this voter has applied so far.
    #[must_use]
    pub fn grants(&self) -> &GrantTable {
        &self.grants
    }

    /// Returns the number of log entries that this voter has applied.
    #[must_use]
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// Returns the state that the caller has been told to persist so far, as one record.
    #[must_use]
    pub fn persisted(&self) -> Record {
        self.persisted.to_record()
    }

    /// Returns the identity under which this voter votes.
    #[must_use]
    pub fn identity(&self) -> &VoterIdentity {
        &self.own
    }

    /// Returns the genesis that lists this voter.
    #[must_use]
    pub fn genesis(&self) -> &Genesis {
        &self.genesis
    }

    /// Returns the leader that this voter knows of.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterIdentity> {
        self.leader.as_ref().map(|(leader, _)| leader)
    }

    /// Returns the number of rejected messages: undecodable, from another genesis, or addressed to
    /// another voter.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// Returns when [`Voter::on_time`] has to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        self.tick_at
    }

    /// Handles the passage of time: runs the library's tick and proposes expiries if they are due.
    pub fn on_time(&mut self, now: Time) -> Vec<VoterAction> {
        if now >= self.tick_at {
            // After a pause of the process only one tick runs. The other voters' messages are still
            // unread, so further ticks would count those voters as unresponsive.
            self.tick_at = now.plus(TICK_INTERVAL);
            self.paxos.tick();
            self.propose_expiries(now);
        }
        self.take_actions(now)
    }

    /// Proposes an entry. A proposal may be lost, so the requester has to repeat it until it sees
    /// the outcome.
    pub fn propose(&mut self, now: Time, entry: Entry) -> Vec<VoterAction> {
        // The library rejects entries only during a reconfiguration; those are repeated as well.
        let _ = self.paxos.append(entry);
        self.take_actions(now)
    }

    /// Handles an encoded message from another voter.
    pub fn on_message(&mut self, now: Time, bytes: &[u8]) -> Vec<VoterAction> {
        let decoded: Result<(u64, Message<Entry>), _> = postcard::from_bytes(bytes);
        match decoded {
            Ok((digest, message)) if self.is_acceptable(digest, &message) => {
                self.paxos.handle_incoming(message);
            }
            _ => self.rejected_messages += 1,
        }
        self.take_actions(now)
    }

    /// Returns whether a message belongs to this log: it carries this genesis, is addressed to this
    /// voter and comes from another voter. A message of another genesis belongs to another log; a
    /// voter that has lost its storage has no genesis and can't send a valid message.
    fn is_acceptable(&self, digest: u64, message: &Message<Entry>) -> bool {
        let own = node_id(&self.genesis, &self.own);
        let voters = self.genesis.voters().len() as u64;
        digest == self.genesis.digest()
            && message.get_receiver() == own
            && message.get_sender() != own
            && (1..=voters).contains(&message.get_sender())
    }

    /// Handles that a connection to or from another voter is re-established. Messages that were in
    /// flight on the former connection may be lost.
    pub fn on_reconnected(&mut self, now: Time, name: &str) -> Vec<VoterAction> {
        if let Some(voter) = self.genesis.voter(name).filter(|v| **v != self.own) {
            self.paxos.reconnected(node_id(&self.genesis, voter));
        }
        self.take_actions(now)
    }

    /// Proposes the expiry of leases that have expired by this voter's clock. Every voter does this
    /// because the leader may have failed; a duplicate proposal has no effect.
    fn propose_expiries(&mut self, now: Time) {
        for command in self.grants.expired(now, self.terms) {
            let key = format!("{command:?}");
            let last = self.proposed_expiries.get(&key);
            if last.is_none_or(|at| now.since(*at) >= EXPIRY_RESEND_INTERVAL) {
                self.proposed_expiries.insert(key, now);
                let _ = self.paxos.append(Entry {
                    command,
                    request: 0,
                });
            }
        }
        self.proposed_expiries
            .retain(|_, at| now.since(*at) < 10 * EXPIRY_RESEND_INTERVAL);
    }

    /// Applies the entries that were decided since the last call, and compacts a long log.
    fn apply_decided(&mut self, now: Time) -> Vec<VoterAction> {
        let mut actions = Vec::new();
        let decided = self.paxos.read_decided_suffix(self.applied);
        for entry in decided.unwrap_or_default() {
            match entry {
                LogEntry::Decided(entry) => {
                    let outcome = self.grants.apply(now, &entry.command);
                    actions.push(VoterAction::Decided(self.applied, entry, outcome));
                    self.applied += 1;
                }
                LogEntry::Snapshotted(snapshot) if snapshot.trimmed_idx > self.applied => {
                    self.grants = snapshot.snapshot.grants(now);
                    self.applied = snapshot.trimmed_idx;
                    actions.push(VoterAction::CaughtUp(self.applied));
                }
                _ => {}
            }
        }
        if self.applied >= self.paxos.get_compacted_idx() + SNAPSHOT_ENTRIES {
            // Fails only if the log is already compacted up to here.
            let _ = self.paxos.snapshot(Some(self.applied), true);
        }
        actions
    }

    /// Returns the voter with this node id of the library.
    fn voter_by_node_id(&self, node_id: u64) -> Option<&VoterIdentity> {
        let position = (node_id as usize).checked_sub(1)?;
        self.genesis.voters().get(position)
    }

    /// Collects the actions after an event: records to persist first, then messages, then decided
    /// entries.
    fn take_actions(&mut self, now: Time) -> Vec<VoterAction> {
        let decided = self.apply_decided(now);
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let records = self.pending.take();
        for record in &records {
            // Decoding can't fail: `PersistentState` has just encoded this record.
            let _ = self.persisted.apply_record(record);
        }
        let mut actions = Vec::new();
        actions.extend((!records.is_empty()).then_some(VoterAction::Persist(records)));
        let digest = self.genesis.digest();
        for message in messages {
            let to = self.voter_by_node_id(message.get_receiver());
            let bytes = postcard::to_stdvec(&(digest, &message)).ok();
            actions.extend(
                to.zip(bytes)
                    .map(|(to, bytes)| VoterAction::Send(to.clone(), bytes)),
            );
        }
        actions.extend(decided);
        actions.extend(self.take_leader_change());
        actions
    }

    fn take_leader_change(&mut self) -> Option<VoterAction> {
        let ballot = self.paxos.get_promise().n;
        let (node_id, _) = self.paxos.get_current_leader()?;
        let leader = self.voter_by_node_id(node_id)?.clone();
        let current = Some((leader.clone(), ballot));
        if self.leader == current {
            return None;
        }
        self.leader = current;
        Some(VoterAction::LeaderChanged(leader, Reason::Elected(ballot)))
    }
}

#[cfg(test)]
mod tests;

//! One voter: the library's state machine with time, storage and messages around it, and the grants
//! that follow from the log.

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

/// The period of the library's clock (microseconds).
const TICK_INTERVAL: Micros = 50_000;
/// Leaders are looked for, and messages that may be lost are sent again, every so many ticks.
const ELECTION_TICKS: u64 = 6;
const RESEND_TICKS: u64 = 10;
/// A snapshot is made of this many decided entries: so long is the log at most, and as long again
/// while they are agreed on.
const SNAPSHOT_ENTRIES: usize = 500;
/// The end of a lease is proposed again after this long, if the log has not shown it
/// (microseconds).
const EXPIRY_RESEND_INTERVAL: Micros = 1_000_000;

/// What the caller has to do after an event, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum VoterAction {
    /// Persist these records before any of the actions that follow; if that fails, the voter ends.
    Persist(Vec<Record>),
    /// Send these bytes to that voter.
    Send(VoterIdentity, Vec<u8>),
    /// The entry at this position of the log was decided, with this outcome.
    Decided(usize, Entry, Outcome),
    /// All entries below this position were received as a snapshot.
    CaughtUp(usize),
    /// By this voter's knowledge this voter leads now.
    LeaderChanged(VoterIdentity, Reason),
}

/// Why a voter leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A majority has promised to follow it in the ballot of this number.
    Elected(u32),
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Elected(ballot) => write!(f, "a majority has promised it, number {ballot}"),
        }
    }
}

/// Why a broker can't vote with its persistent state.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The state is without an identity.
    #[error("what was kept names no identity")]
    NoIdentity,
    /// The state is without a genesis.
    #[error("what was kept names no genesis")]
    NoGenesis,
    /// The genesis names the broker with another identity, or not at all.
    #[error("the genesis does not name {0} with this memory")]
    NotInGenesis(String),
    /// The library rejects the voters.
    #[error("voters: {0:?}")]
    Library(ConfigError),
}

/// The library's number of a voter: its position in the genesis, from 1. The library keeps a table
/// up to the greatest of these numbers, so a storage id would not do.
fn node_id(genesis: &Genesis, voter: &VoterIdentity) -> u64 {
    let position = genesis.voters().iter().position(|v| v == voter);
    1 + position.unwrap_or_default() as u64
}

/// One voter. The caller reports events, and carries out the actions that each call returns.
pub struct Voter {
    paxos: OmniPaxos<Entry, PersistentState>,
    pending: PendingRecords,
    /// The state that the records handed to the caller so far make.
    persisted: PersistentState,
    genesis: Genesis,
    own: VoterIdentity,
    terms: LeaseTerms,
    tick_at: Time,
    /// The number of entries applied, and the grants that they led to.
    applied: usize,
    grants: GrantTable,
    /// The ends of leases that this voter has proposed, and when.
    proposed_expiries: BTreeMap<String, Time>,
    /// The leader and the number of its ballot.
    leader: Option<(VoterIdentity, u32)>,
    rejected_messages: u64,
}

impl Voter {
    /// The voter with this persistent state; leases last by `terms`. It learns of all that its
    /// state has of the log now, so it waits for the end of each lease from here on.
    ///
    /// # Errors
    /// When the state has no identity, or no genesis that names it.
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
        // Nobody waits for the outcome of what was decided before.
        voter.apply_decided(now);
        Ok(voter)
    }

    /// The grants, as far as this voter has applied the log.
    #[must_use]
    pub fn grants(&self) -> &GrantTable {
        &self.grants
    }

    /// The number of entries that it has applied.
    #[must_use]
    pub fn applied(&self) -> usize {
        self.applied
    }

    /// All that the caller was told to persist so far, as one record.
    #[must_use]
    pub fn persisted(&self) -> Record {
        self.persisted.to_record()
    }

    /// Its identity.
    #[must_use]
    pub fn identity(&self) -> &VoterIdentity {
        &self.own
    }

    /// Its genesis.
    #[must_use]
    pub fn genesis(&self) -> &Genesis {
        &self.genesis
    }

    /// The leader, by its knowledge.
    #[must_use]
    pub fn leader(&self) -> Option<&VoterIdentity> {
        self.leader.as_ref().map(|(leader, _)| leader)
    }

    /// How many messages could not be decoded, or were of another genesis or for another voter.
    #[must_use]
    pub fn rejected_messages(&self) -> u64 {
        self.rejected_messages
    }

    /// When [`Voter::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        self.tick_at
    }

    /// Does what is due at this time.
    pub fn on_time(&mut self, now: Time) -> Vec<VoterAction> {
        if now >= self.tick_at {
            // After a pause of the process it ticks once: messages of the others are still unread,
            // so that none of them counts as silent.
            self.tick_at = now.plus(TICK_INTERVAL);
            self.paxos.tick();
            self.propose_expiries(now);
        }
        self.take_actions(now)
    }

    /// Proposes an entry. It may be lost: whoever waits for it proposes it again.
    pub fn propose(&mut self, now: Time, entry: Entry) -> Vec<VoterAction> {
        // The log rejects entries only while voters are replaced; then too they are proposed again.
        let _ = self.paxos.append(entry);
        self.take_actions(now)
    }

    /// Handles the message of another voter.
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

    /// Guards the log: a message of another genesis is about another log, and a voter that has lost
    /// its storage has no genesis to send one with.
    fn is_acceptable(&self, digest: u64, message: &Message<Entry>) -> bool {
        let own = node_id(&self.genesis, &self.own);
        let voters = self.genesis.voters().len() as u64;
        digest == self.genesis.digest()
            && message.get_receiver() == own
            && message.get_sender() != own
            && (1..=voters).contains(&message.get_sender())
    }

    /// A connection to or from another voter is up again after it was lost, and with it perhaps
    /// messages in flight.
    pub fn on_reconnected(&mut self, now: Time, name: &str) -> Vec<VoterAction> {
        if let Some(voter) = self.genesis.voter(name).filter(|v| **v != self.own) {
            self.paxos.reconnected(node_id(&self.genesis, voter));
        }
        self.take_actions(now)
    }

    /// Proposes the end of leases that have expired by this voter's clock. Every voter does, since
    /// the leader may just have failed, and a repetition has no effect.
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

    /// Applies what was decided since the last call.
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
            // The library refuses it only where there is one already.
            let _ = self.paxos.snapshot(Some(self.applied), true);
        }
        actions
    }

    /// The voter with this number of the library's.
    fn voter_of(&self, node_id: u64) -> Option<&VoterIdentity> {
        let position = (node_id as usize).checked_sub(1)?;
        self.genesis.voters().get(position)
    }

    /// What follows from the last event: first what is to be persisted, then messages, then what
    /// was decided.
    fn take_actions(&mut self, now: Time) -> Vec<VoterAction> {
        let decided = self.apply_decided(now);
        let mut messages = Vec::new();
        self.paxos.take_outgoing_messages(&mut messages);
        let records = self.pending.take();
        for record in &records {
            // It was encoded a moment ago.
            let _ = self.persisted.apply_record(record);
        }
        let mut actions = Vec::new();
        actions.extend((!records.is_empty()).then_some(VoterAction::Persist(records)));
        let digest = self.genesis.digest();
        for message in messages {
            let to = self.voter_of(message.get_receiver());
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
        let leader = self.voter_of(node_id)?.clone();
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

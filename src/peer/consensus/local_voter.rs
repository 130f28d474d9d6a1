//! This broker as a voter: its stored state, its way to the genesis, and the voter that runs on
//! them.

use super::config::{ConsensusConfig, ConsensusError};
use crate::decide::consensus::bootstrap::{Bootstrap, BootstrapStatus};
use crate::decide::consensus::genesis::{Announcement, Genesis, VoterIdentity};
use crate::decide::consensus::log_state::Entry;
use crate::decide::consensus::persistent_state::{PersistentState, Record};
use crate::decide::consensus::{Voter, VoterAction};
use crate::decide::lease::grant_table::Outcome;
use crate::decide::lease::{LeaseHolder, LeaseTerms};
use crate::interface::Time;
use lichenswitch_record_log::RecordLog;
use std::path::Path;

/// Whether this broker votes.
enum State {
    /// It waits for the genesis.
    Bootstrapping(Box<(Bootstrap, PersistentState)>),
    /// It votes.
    Voting(Box<Voter>),
    /// It does not, though it is named as a voter.
    Abstaining,
}

/// What the voter's log leads to, for the caller.
pub(super) enum VoterOutput {
    /// Send these bytes to the voter of this name.
    Send(String, Vec<u8>),
    /// An entry was decided, with this outcome.
    Decided(Entry, Outcome),
}

/// A voter with its storage. It promises that no output leaves it before the records that the
/// output depends on are durable: one that can't write its records votes no more.
pub(super) struct LocalVoter {
    state: State,
    /// The voter's file; `None`: its state ends with the process.
    records: Option<RecordLog>,
    terms: LeaseTerms,
    /// A voter that knows of no grant makes none before this: see [`LocalVoter::start_voting`].
    grants_from: Time,
}

impl LocalVoter {
    /// The voter of this broker among those of these names, with the state that its folder has.
    ///
    /// # Errors
    /// When the folder can't be used, or has records that this version can't read.
    pub(super) fn open(
        now: Time,
        cluster: &str,
        own: &LeaseHolder,
        config: &ConsensusConfig,
        log: &mut Vec<String>,
    ) -> Result<LocalVoter, ConsensusError> {
        let (records, stored) = match &config.folder {
            Some(folder) => {
                let owner = format!("{cluster} {}", own.name);
                let (records, stored) = open_records(folder, &owner, log)?;
                (Some(records), stored)
            }
            None => {
                log.push(
                    "council: no folder: what this voter promises ends with its process".into(),
                );
                (None, Vec::new())
            }
        };
        let mut state = PersistentState::from_records(&stored)?;
        let identity = state.identity().cloned().unwrap_or_else(|| {
            let identity = new_identity(own);
            state.set_identity(identity.clone());
            identity
        });
        let bootstrap = Bootstrap::new(identity, &config.voters, state.genesis().cloned());
        let mut voter = LocalVoter {
            state: State::Bootstrapping(Box::new((bootstrap, state))),
            records,
            terms: config.terms,
            grants_from: now,
        };
        voter.persist_bootstrap(log);
        voter.start_voting(now, log);
        Ok(voter)
    }

    /// The voter, if this broker votes.
    pub(super) fn voting(&self) -> Option<&Voter> {
        match &self.state {
            State::Voting(voter) => Some(voter),
            State::Bootstrapping(_) | State::Abstaining => None,
        }
    }

    /// Whether this voter waits for the genesis.
    pub(super) fn is_bootstrapping(&self) -> bool {
        matches!(self.state, State::Bootstrapping(_))
    }

    /// What to announce to the other voters until there is a genesis.
    pub(super) fn bootstrap_announcement(&self) -> Option<Announcement> {
        match &self.state {
            State::Bootstrapping(bootstrap) => Some(bootstrap.0.announcement()),
            State::Voting(_) | State::Abstaining => None,
        }
    }

    /// Whether this voter may put requests of roles forward by now.
    pub(super) fn may_grant(&self, now: Time) -> bool {
        now >= self.grants_from
    }

    /// A peer has sent the announcement of a voter. Returns what to answer, if this one votes
    /// already.
    pub(super) fn on_announcement(
        &mut self,
        now: Time,
        from: &str,
        announcement: &Announcement,
        log: &mut Vec<String>,
    ) -> Option<Announcement> {
        match &mut self.state {
            State::Bootstrapping(bootstrapping) if announcement.identity.name == from => {
                let (bootstrap, state) = &mut **bootstrapping;
                let former = bootstrap.status().clone();
                let has_adopted = bootstrap.on_announcement(announcement);
                if let Some(genesis) = bootstrap.genesis().filter(|_| has_adopted) {
                    state.set_genesis(genesis.clone());
                }
                if former != *bootstrap.status() {
                    self.persist_bootstrap(log);
                    self.start_voting(now, log);
                }
                None
            }
            State::Voting(voter) if announcement.genesis.is_none() => Some(Announcement {
                identity: voter.identity().clone(),
                genesis: Some(voter.genesis().clone()),
            }),
            State::Bootstrapping(_) | State::Voting(_) | State::Abstaining => None,
        }
    }

    /// Reports an event to the voter, if this broker votes, persists what is to be, and returns the
    /// outputs in order.
    pub(super) fn run(
        &mut self,
        event: impl FnOnce(&mut Voter) -> Vec<VoterAction>,
        log: &mut Vec<String>,
    ) -> Vec<VoterOutput> {
        let State::Voting(voter) = &mut self.state else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        for action in event(voter) {
            match action {
                VoterAction::Persist(records) => {
                    if !self.persist(&records, log) {
                        // Guards the others: nothing may be sent that rests on these records.
                        self.state = State::Abstaining;
                        return outputs;
                    }
                }
                VoterAction::Send(to, bytes) => outputs.push(VoterOutput::Send(to.name, bytes)),
                VoterAction::Decided(_, entry, outcome) => {
                    outputs.push(VoterOutput::Decided(entry, outcome));
                }
                VoterAction::CaughtUp(position) => log.push(format!(
                    "council: caught up to entry {position} by a snapshot"
                )),
                VoterAction::LeaderChanged(leader, reason) => {
                    log.push(format!("council: {} leads: {reason}", leader.name));
                }
            }
        }
        self.compact(log);
        outputs
    }

    /// Persists what the bootstrap has written; without that this broker does not vote.
    fn persist_bootstrap(&mut self, log: &mut Vec<String>) {
        let State::Bootstrapping(bootstrapping) = &self.state else {
            return;
        };
        let records = bootstrapping.1.take_records();
        if !self.persist(&records, log) {
            self.state = State::Abstaining;
        }
    }

    /// Appends records to the file. Returns `false` if that failed and this broker votes no more.
    fn persist(&mut self, records: &[Record], log: &mut Vec<String>) -> bool {
        let Some(file) = &mut self.records else {
            return true;
        };
        if records.is_empty() {
            return true;
        }
        let records: Vec<Vec<u8>> = records.iter().map(|r| r.0.clone()).collect();
        let Err(e) = file.append(&records) else {
            return true;
        };
        log.push(format!(
            "council: its folder can't be written: {e}; it does not vote from here on"
        ));
        false
    }

    /// Replaces the records of a large file by one.
    fn compact(&mut self, log: &mut Vec<String>) {
        let (State::Voting(voter), Some(file)) = (&self.state, &mut self.records) else {
            return;
        };
        if !file.is_large() {
            return;
        }
        if let Err(e) = file.replace(&voter.persisted().0) {
            // The records of before remain, and are appended to.
            log.push(format!(
                "council: its folder's file could not be shortened: {e}"
            ));
        }
    }

    /// Votes from here on, if the genesis names this broker's identity.
    fn start_voting(&mut self, now: Time, log: &mut Vec<String>) {
        let State::Bootstrapping(bootstrapping) = &self.state else {
            return;
        };
        let (bootstrap, state) = &**bootstrapping;
        let refusal = match (bootstrap.status(), bootstrap.genesis()) {
            (BootstrapStatus::WaitingFor(_), _) => return,
            (BootstrapStatus::Member, Some(genesis)) => {
                match Voter::new(now, state.clone(), self.terms) {
                    Ok(voter) => {
                        log.push(voting_line(genesis, voter.applied()));
                        if voter.applied() == 0 {
                            // Guards a broker that still holds a role by a former genesis, which
                            // all voters have lost: its lease expires first.
                            self.grants_from = now.plus(self.terms.voter_duration());
                        }
                        self.state = State::Voting(Box::new(voter));
                        return;
                    }
                    Err(error) => error.to_string(),
                }
            }
            (status, _) => status.to_string(),
        };
        log.push(format!("council: does not vote: {refusal}"));
        self.state = State::Abstaining;
    }
}

/// Opens the voter's file; logs what was not read of it.
fn open_records(
    folder: &Path,
    owner: &str,
    log: &mut Vec<String>,
) -> Result<(RecordLog, Vec<Record>), ConsensusError> {
    let (file, recovered) =
        RecordLog::open(folder, owner).map_err(|source| ConsensusError::Folder {
            folder: folder.into(),
            source,
        })?;
    if let Some(file) = &recovered.set_aside {
        log.push(format!(
            "council: {}; it is set aside as {}",
            file.damage,
            file.path.display()
        ));
    }
    if recovered.torn_bytes > 0 {
        log.push(format!(
            "council: {} bytes whose writing was cut off are left aside",
            recovered.torn_bytes
        ));
    }
    let records = recovered.records.into_iter().map(Record).collect();
    Ok((file, records))
}

/// The identity of a voter without storage. Two incarnations of a broker do not begin in the same
/// microsecond, and names tell brokers apart.
fn new_identity(own: &LeaseHolder) -> VoterIdentity {
    let name_hash = own
        .name
        .bytes()
        .fold(0u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    VoterIdentity {
        name: own.name.clone(),
        storage_id: (own.incarnation ^ name_hash.rotate_left(40)).max(1),
    }
}

fn voting_line(genesis: &Genesis, applied: usize) -> String {
    let names: Vec<&str> = genesis.voters().iter().map(|v| v.name.as_str()).collect();
    format!(
        "council: votes, genesis {:x} ({}), {applied} entries known",
        genesis.digest(),
        names.join(", ")
    )
}

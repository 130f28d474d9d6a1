//! What a voter has promised, accepted and learnt to be decided: in memory as the library wants it,
//! and as records to be kept. The records of any number of whole writes, in order, make the same
//! memory again.

use crate::genesis::{Genesis, Identity};
use crate::state::{Entry, Snapshot};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};

/// One change of what is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Change {
    Identity(Identity),
    Genesis(Genesis),
    Append(Vec<Entry>),
    AppendAt(usize, Vec<Entry>),
    Promise(Ballot),
    Accepted(Ballot),
    Decided(usize),
    Compacted(usize),
    Trim(usize),
    Stopped(Option<StopSign>),
    Snapshot(Option<Snapshot>),
}

/// What is to be kept of one write: all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record(pub Vec<u8>);

/// Records that are still to be kept. The library owns the memory, so both hold this.
pub(crate) type Journal = Arc<Mutex<Vec<Record>>>;

pub(crate) fn take(journal: &Journal) -> Vec<Record> {
    std::mem::take(&mut journal.lock().unwrap_or_else(|e| e.into_inner()))
}

/// The persistent state of a voter: its identity, the genesis, and what it knows of the log.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    identity: Option<Identity>,
    genesis: Option<Genesis>,
    log: Vec<Entry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    compacted: usize,
    trimmed: usize,
    stopped: Option<StopSign>,
    snapshot: Option<Snapshot>,
    journal: Journal,
}

impl PersistentState {
    /// The memory that these records make.
    ///
    /// # Errors
    /// When one of them is none, by its place among them.
    pub fn from_records(records: &[Record]) -> Result<PersistentState, String> {
        let mut state = PersistentState::default();
        for (place, record) in records.iter().enumerate() {
            let known = state.extend(record);
            known
                .map_err(|()| format!("record {} of {} can't be read", place + 1, records.len()))?;
        }
        Ok(state)
    }

    /// Applies a record that is kept already.
    pub(crate) fn extend(&mut self, record: &Record) -> Result<(), ()> {
        let changes: Vec<Change> = postcard::from_bytes(&record.0).map_err(|_| ())?;
        changes.into_iter().for_each(|change| self.apply(change));
        Ok(())
    }

    /// Records that are still to be kept.
    #[must_use]
    pub fn take_records(&self) -> Vec<Record> {
        take(&self.journal)
    }

    /// The identity under which it was kept.
    #[must_use]
    pub fn identity(&self) -> Option<&Identity> {
        self.identity.as_ref()
    }

    /// The genesis, if the fleet has begun with it.
    #[must_use]
    pub fn genesis(&self) -> Option<&Genesis> {
        self.genesis.as_ref()
    }

    /// Begins under this identity.
    pub fn begin(&mut self, identity: Identity) {
        self.note(vec![Change::Identity(identity)]);
    }

    /// The fleet has begun with it.
    pub fn begun(&mut self, genesis: Genesis) {
        self.note(vec![Change::Genesis(genesis)]);
    }

    pub(crate) fn journal(&self) -> Journal {
        self.journal.clone()
    }

    /// All of it as one record: what stands in place of all records so far.
    #[must_use]
    pub fn whole(&self) -> Record {
        let mut changes = Vec::new();
        changes.extend(self.identity.clone().map(Change::Identity));
        changes.extend(self.genesis.clone().map(Change::Genesis));
        changes.push(Change::Append(self.log.clone()));
        changes.extend(self.promise.map(Change::Promise));
        changes.extend(self.accepted.map(Change::Accepted));
        // What was trimmed is none of the entries above: it is noted without a cut.
        changes.push(Change::Compacted(self.compacted));
        changes.push(Change::Snapshot(self.snapshot.clone()));
        changes.push(Change::Stopped(self.stopped.clone()));
        changes.push(Change::Decided(self.decided));
        record(&changes)
    }

    fn note(&mut self, changes: Vec<Change>) {
        let record = record(&changes);
        changes.into_iter().for_each(|change| self.apply(change));
        self.journal
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(record);
    }

    fn apply(&mut self, change: Change) {
        match change {
            Change::Identity(identity) => self.identity = Some(identity),
            Change::Genesis(genesis) => self.genesis = Some(genesis),
            Change::Append(entries) => self.log.extend(entries),
            Change::AppendAt(from, entries) => {
                self.log.truncate(from.saturating_sub(self.trimmed));
                self.log.extend(entries);
            }
            Change::Promise(ballot) => self.promise = Some(ballot),
            Change::Accepted(ballot) => self.accepted = Some(ballot),
            Change::Decided(index) => self.decided = index,
            Change::Compacted(index) => (self.compacted, self.trimmed) = (index, index),
            Change::Trim(index) => {
                let gone = index.saturating_sub(self.trimmed).min(self.log.len());
                self.log.drain(..gone);
                self.trimmed = index.max(self.trimmed);
            }
            Change::Stopped(sign) => self.stopped = sign,
            Change::Snapshot(snapshot) => self.snapshot = snapshot,
        }
    }
}

fn record(changes: &[Change]) -> Record {
    // Plain values in memory can always be written.
    Record(postcard::to_stdvec(changes).unwrap_or_default())
}

impl Storage<Entry> for PersistentState {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Entry>>) -> StorageResult<()> {
        let change = |op| match op {
            StorageOp::AppendEntry(entry) => Change::Append(vec![entry]),
            StorageOp::AppendEntries(entries) => Change::Append(entries),
            StorageOp::AppendOnPrefix(from, entries) => Change::AppendAt(from, entries),
            StorageOp::SetPromise(ballot) => Change::Promise(ballot),
            StorageOp::SetDecidedIndex(index) => Change::Decided(index),
            StorageOp::SetAcceptedRound(ballot) => Change::Accepted(ballot),
            StorageOp::SetCompactedIdx(index) => Change::Compacted(index),
            StorageOp::Trim(index) => Change::Trim(index),
            StorageOp::SetStopsign(sign) => Change::Stopped(sign),
            StorageOp::SetSnapshot(snapshot) => Change::Snapshot(snapshot),
        };
        self.note(ops.into_iter().map(change).collect());
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.note(vec![Change::Append(entries)]);
        Ok(())
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.note(vec![Change::AppendAt(from_idx, entries)]);
        Ok(())
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.note(vec![Change::Promise(n_prom)]);
        Ok(())
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.note(vec![Change::Decided(ld)]);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.note(vec![Change::Accepted(na)]);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        // Guards the state: where a voter is sent what it lacks as a difference, the library
        // (0.2.4) asks for its own decided entries by the index that will be decided then, before
        // it writes that. What is not decided is no part of a state, and entries are asked for one
        // by one nowhere else before they are decided.
        let to = to.min(self.decided);
        let at = |index: usize| index.checked_sub(self.trimmed);
        let range = at(from)
            .zip(at(to))
            .and_then(|(from, to)| self.log.get(from..to));
        Ok(range.map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.log.len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Entry>> {
        let suffix = from
            .checked_sub(self.trimmed)
            .and_then(|from| self.log.get(from..));
        Ok(suffix.map(<[Entry]>::to_vec).unwrap_or_default())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.promise)
    }

    fn set_stopsign(&mut self, s: Option<StopSign>) -> StorageResult<()> {
        self.note(vec![Change::Stopped(s)]);
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stopped.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.note(vec![Change::Trim(idx)]);
        Ok(())
    }

    fn set_compacted_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.note(vec![Change::Compacted(idx)]);
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        self.note(vec![Change::Snapshot(snapshot)]);
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        Ok(self.snapshot.clone())
    }
}

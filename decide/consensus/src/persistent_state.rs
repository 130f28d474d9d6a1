//! The persistent state of a voter: its promises, its accepted entries and the decided index.
//!
//! The consensus library reads the state from memory. Each write also produces a record, which the
//! caller persists; applying the records in order restores the state.

use crate::genesis::{Genesis, VoterIdentity};
use crate::log_state::{Entry, Snapshot};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{StopSign, Storage, StorageOp, StorageResult};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One change of the state. The variant order is part of the format of stored records.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Change {
    Identity(VoterIdentity),
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

/// The encoded changes of one write. They are stored atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record(pub Vec<u8>);

impl Record {
    fn encode(changes: &[Change]) -> Record {
        // Encoding into a growable buffer does not fail for these types.
        Record(postcard::to_stdvec(changes).unwrap_or_default())
    }

    fn decode(&self) -> postcard::Result<Vec<Change>> {
        postcard::from_bytes(&self.0)
    }
}

/// Error for a stored record that can't be decoded: it is corrupt, or a later version wrote it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("record {position} of {count} can't be decoded")]
pub struct UnreadableRecord {
    /// Position of the record among all records, counted from 1.
    pub position: usize,
    /// Total number of records.
    pub count: usize,
    /// Error of the decoder.
    pub source: postcard::Error,
}

/// The records that the caller has not persisted yet. They are shared because the library owns the
/// state while the voter takes the records out of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRecords(Arc<Mutex<Vec<Record>>>);

impl PendingRecords {
    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn take(&self) -> Vec<Record> {
        std::mem::take(&mut self.lock())
    }
}

/// The persistent state of a voter: its identity, the genesis, and its part of the log protocol's
/// state.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    identity: Option<VoterIdentity>,
    genesis: Option<Genesis>,
    log: Vec<Entry>,
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    compacted: usize,
    trimmed: usize,
    stop_sign: Option<StopSign>,
    snapshot: Option<Snapshot>,
    pending: PendingRecords,
}

impl PersistentState {
    /// Restores the state from these records, applied in order.
    ///
    /// # Errors
    /// Fails on the first record that can't be decoded.
    pub fn from_records(records: &[Record]) -> Result<PersistentState, UnreadableRecord> {
        let mut state = PersistentState::default();
        for (index, record) in records.iter().enumerate() {
            let unreadable = |source| UnreadableRecord {
                position: index + 1,
                count: records.len(),
                source,
            };
            state.apply_record(record).map_err(unreadable)?;
        }
        Ok(state)
    }

    /// Applies a record without queueing it to be persisted again.
    pub(crate) fn apply_record(&mut self, record: &Record) -> postcard::Result<()> {
        let changes = record.decode()?;
        changes.into_iter().for_each(|change| self.apply(change));
        Ok(())
    }

    /// Removes and returns the records that are still to be persisted, in order.
    #[must_use]
    pub fn take_records(&self) -> Vec<Record> {
        self.pending.take()
    }

    /// Returns the identity of the voter; `None` before [`PersistentState::set_identity`].
    #[must_use]
    pub fn identity(&self) -> Option<&VoterIdentity> {
        self.identity.as_ref()
    }

    /// Returns the genesis; `None` before the voter has adopted one.
    #[must_use]
    pub fn genesis(&self) -> Option<&Genesis> {
        self.genesis.as_ref()
    }

    /// Sets the identity of a voter that starts without storage, and queues the record.
    pub fn set_identity(&mut self, identity: VoterIdentity) {
        self.write(vec![Change::Identity(identity)]);
    }

    /// Sets the genesis that the voter adopts, and queues the record.
    pub fn set_genesis(&mut self, genesis: Genesis) {
        self.write(vec![Change::Genesis(genesis)]);
    }

    pub(crate) fn pending(&self) -> PendingRecords {
        self.pending.clone()
    }

    /// Encodes the complete state as one record, which replaces all earlier records.
    #[must_use]
    pub fn to_record(&self) -> Record {
        let mut changes = Vec::new();
        changes.extend(self.identity.clone().map(Change::Identity));
        changes.extend(self.genesis.clone().map(Change::Genesis));
        changes.push(Change::Append(self.log.clone()));
        changes.extend(self.promise.map(Change::Promise));
        changes.extend(self.accepted.map(Change::Accepted));
        // The log above no longer contains the trimmed entries, so no `Trim` is needed.
        changes.push(Change::Compacted(self.compacted));
        changes.push(Change::Snapshot(self.snapshot.clone()));
        changes.push(Change::Stopped(self.stop_sign.clone()));
        changes.push(Change::Decided(self.decided));
        Record::encode(&changes)
    }

    /// Applies the changes of one write and queues their record to be persisted.
    fn write(&mut self, changes: Vec<Change>) {
        let record = Record::encode(&changes);
        changes.into_iter().for_each(|change| self.apply(change));
        self.pending.lock().push(record);
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
                let removed = index.saturating_sub(self.trimmed).min(self.log.len());
                self.log.drain(..removed);
                self.trimmed = index.max(self.trimmed);
            }
            Change::Stopped(stop_sign) => self.stop_sign = stop_sign,
            Change::Snapshot(snapshot) => self.snapshot = snapshot,
        }
    }
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
        self.write(ops.into_iter().map(change).collect());
        Ok(())
    }

    fn append_entry(&mut self, entry: Entry) -> StorageResult<()> {
        self.append_entries(vec![entry])
    }

    fn append_entries(&mut self, entries: Vec<Entry>) -> StorageResult<()> {
        self.write(vec![Change::Append(entries)]);
        Ok(())
    }

    fn append_on_prefix(&mut self, from_idx: usize, entries: Vec<Entry>) -> StorageResult<()> {
        self.write(vec![Change::AppendAt(from_idx, entries)]);
        Ok(())
    }

    fn set_promise(&mut self, n_prom: Ballot) -> StorageResult<()> {
        self.write(vec![Change::Promise(n_prom)]);
        Ok(())
    }

    fn set_decided_idx(&mut self, ld: usize) -> StorageResult<()> {
        self.write(vec![Change::Decided(ld)]);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.decided)
    }

    fn set_accepted_round(&mut self, na: Ballot) -> StorageResult<()> {
        self.write(vec![Change::Accepted(na)]);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Entry>> {
        // When a follower synchronizes by a delta snapshot, omnipaxos 0.2.4 reads its decided
        // entries up to the decided index of that snapshot before it writes the index. Entries
        // beyond the current decided index must not become part of the state, so the range is
        // clamped. The library reads undecided entries through this method nowhere else.
        let to = to.min(self.decided);
        let offset = |index: usize| index.checked_sub(self.trimmed);
        let range = offset(from)
            .zip(offset(to))
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
        self.write(vec![Change::Stopped(s)]);
        Ok(())
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(self.stop_sign.clone())
    }

    fn trim(&mut self, idx: usize) -> StorageResult<()> {
        self.write(vec![Change::Trim(idx)]);
        Ok(())
    }

    fn set_compacted_idx(&mut self, idx: usize) -> StorageResult<()> {
        self.write(vec![Change::Compacted(idx)]);
        Ok(())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(self.compacted)
    }

    fn set_snapshot(&mut self, snapshot: Option<Snapshot>) -> StorageResult<()> {
        self.write(vec![Change::Snapshot(snapshot)]);
        Ok(())
    }

    fn get_snapshot(&self) -> StorageResult<Option<Snapshot>> {
        Ok(self.snapshot.clone())
    }
}

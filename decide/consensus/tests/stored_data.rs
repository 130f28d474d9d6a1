//! Compatibility of the stored records of a voter's state.
//!
//! The fixture `tests/stored_data/records.txt` has one record per line in hexadecimal, written by
//! the build of commit 6f1ee4c, with each kind of change that the library makes. Later builds must
//! decode the records to the same state and encode the same bytes.

use lichenswitch_consensus::bootstrap::Bootstrap;
use lichenswitch_consensus::genesis::{Announcement, Genesis, VoterIdentity};
use lichenswitch_consensus::log_state::{Entry, Snapshot};
use lichenswitch_consensus::persistent_state::{PersistentState, Record};
use lichenswitch_lease::grant_table::LeaseCommand;
use lichenswitch_lease::{FencingToken, LeaseHolder, RoleName};
use lichenswitch_testing::fixtures::{from_hex, to_hex};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Snapshot as _, StopSign, Storage, StorageOp};
use omnipaxos::ClusterConfig;
use std::path::Path;

fn identity(number: u64) -> VoterIdentity {
    VoterIdentity {
        name: format!("n{number}"),
        storage_id: 300 + number,
    }
}

fn genesis() -> Genesis {
    let names: Vec<String> = (0..3).map(|i| identity(i).name).collect();
    let mut bootstrap = Bootstrap::new(identity(0), &names, None);
    for other in 1..3 {
        bootstrap.on_announcement(&Announcement {
            identity: identity(other),
            genesis: None,
        });
    }
    bootstrap.genesis().unwrap().clone()
}

fn entry(number: u64) -> Entry {
    let role = RoleName("compiler".into());
    let holder = LeaseHolder {
        name: "n1".into(),
        incarnation: 1_700_000_000_000_000,
    };
    let command = match number % 3 {
        0 => LeaseCommand::Acquire(role, holder),
        1 => LeaseCommand::Release(role, FencingToken(number)),
        _ => LeaseCommand::Expire(role, FencingToken(number), 4),
    };
    Entry {
        command,
        request: number,
    }
}

fn ballot(n: u32) -> Ballot {
    Ballot {
        config_id: 1,
        n,
        priority: 2,
        pid: 3,
    }
}

fn stop_sign() -> StopSign {
    let next = ClusterConfig {
        configuration_id: 2,
        nodes: vec![1, 2, 3],
        flexible_quorum: None,
    };
    StopSign::with(next, Some(vec![5]))
}

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::create(&[entry(3)]);
    snapshot.merge(Snapshot::create(&[entry(6)]));
    snapshot
}

/// Returns a state after each kind of change, with three of the changes in a single write.
fn state_after_all_changes() -> PersistentState {
    let mut state = PersistentState::default();
    state.set_identity(identity(0));
    state.set_genesis(genesis());
    let separate_writes = [
        StorageOp::AppendEntry(entry(0)),
        StorageOp::AppendEntries(vec![entry(1), entry(2)]),
        StorageOp::AppendOnPrefix(2, vec![entry(3), entry(4), entry(5)]),
        StorageOp::SetPromise(ballot(7)),
        StorageOp::SetAcceptedRound(ballot(6)),
        StorageOp::SetDecidedIndex(4),
        StorageOp::SetSnapshot(Some(snapshot())),
    ];
    for op in separate_writes {
        state.write_atomically(vec![op]).unwrap();
    }
    let single_write = vec![
        StorageOp::Trim(1),
        StorageOp::SetCompactedIdx(1),
        StorageOp::SetStopsign(Some(stop_sign())),
    ];
    state.write_atomically(single_write).unwrap();
    state
}

fn fixture_lines() -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data/records.txt");
    std::fs::read_to_string(path)
        .unwrap()
        .lines()
        .map(str::to_owned)
        .collect()
}

/// Guards against a change of the encoding. The last line of the fixture is the complete state as
/// one record.
#[test]
fn record_of_each_change_equals_the_fixture() {
    let state = state_after_all_changes();
    let mut records = state.take_records();
    records.push(state.to_record());
    let lines: Vec<String> = records.iter().map(|record| to_hex(&record.0)).collect();
    assert_eq!(lines, fixture_lines());
}

fn assert_state(state: &PersistentState, name: &str) {
    assert_eq!(state.identity(), Some(&identity(0)), "{name}");
    assert_eq!(state.genesis(), Some(&genesis()), "{name}");
    assert_eq!(state.get_log_len().unwrap(), 4, "{name}");
    assert_eq!(
        state.get_suffix(1).unwrap(),
        [entry(1), entry(3), entry(4), entry(5)],
        "{name}"
    );
    assert_eq!(state.get_promise().unwrap(), Some(ballot(7)), "{name}");
    assert_eq!(
        state.get_accepted_round().unwrap(),
        Some(ballot(6)),
        "{name}"
    );
    assert_eq!(state.get_decided_idx().unwrap(), 4, "{name}");
    assert_eq!(state.get_compacted_idx().unwrap(), 1, "{name}");
    assert_eq!(state.get_stopsign().unwrap(), Some(stop_sign()), "{name}");
    assert_eq!(state.get_snapshot().unwrap(), Some(snapshot()), "{name}");
}

#[test]
fn fixture_records_restore_the_same_state() {
    let record = |line: &String| Record(from_hex(line));
    let mut records: Vec<Record> = fixture_lines().iter().map(record).collect();
    let complete = records.pop().unwrap();
    assert_state(
        &PersistentState::from_records(&records).unwrap(),
        "one by one",
    );
    assert_state(
        &PersistentState::from_records(&[complete]).unwrap(),
        "complete",
    );
}

//! The data directory of a control node, as an earlier build left it, is read to the same state.
//!
//! `stored_data/control_node/` was written by the build of commit 6f1ee4c: the ring of segment files
//! (`control/segment-*`, without the zeros at their ends) and the table of servers (`servers`). A
//! control node of a later build starts with such a directory after an update, so what is read from
//! it, and the bytes that are written for the same state, must not change.

use std::path::{Path, PathBuf};

use lichenswitch_configuration::{evaluate, Order, OrderOutcome, State, REPLACE_PATH};
use lichenswitch_control::ReplicatedConfiguration;
use lichenswitch_messages::{ServerRecord, ServerState, PROTOCOL_VERSION};
use lichenswitch_replication::{
    DurableItem, Epoch, Identity, Member, Membership, Position, Record, Recovered, ReplicatedState,
    Snapshot, Update,
};
use lichenswitch_rpc::{decode, encode, encode_frame, FrameReader};
use lichenswitch_storage::{Storage, StorageSettings};
use lichenswitch_testing::Folder;

/// Owner that a control node's segment files name.
const OWNER: &str = "lichenswitch-fleet control";
/// Segment files of the ring.
const SEGMENTS: usize = 4;
/// Kind of the frame with the time at which the table of servers was written.
const WRITTEN_AT_FRAME: u16 = 1;
/// Kind of the frame with the table of servers.
const TABLE_FRAME: u16 = 2;
/// When the table of servers was written, in seconds since 1970.
const WRITTEN_AT_S: u64 = 1_750_000_000;

fn earlier_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data/control_node")
}

/// A folder with the ring of segment files that the earlier build left.
fn folder_with_earlier_ring() -> Folder {
    let folder = Folder::new(&[]);
    for segment in 0..SEGMENTS {
        let from = earlier_directory().join(format!("control/segment-{segment}"));
        let to = folder.path().join(format!("segment-{segment}"));
        std::fs::copy(from, to).expect("a segment file");
    }
    folder
}

fn member(number: u64) -> Member {
    Member {
        identity: Identity(0x1111_1111_1111_1111 * number),
        address: format!("10.0.0.{number}:7100"),
    }
}

fn epoch(counter: u64, member_number: u64) -> Epoch {
    Epoch {
        counter,
        primary: member(member_number).identity,
    }
}

fn position(counter: u64, member_number: u64, number: u64) -> Position {
    Position {
        epoch: epoch(counter, member_number),
        number,
    }
}

fn order(base_version: u64, version: u64, host: &str) -> Order {
    let body = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"{host}\",\
         \"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutMs\":30,\"service\":\"s\"}}],\
         \"services\":[{{\"name\":\"s\"}}]}}"
    );
    Order {
        path: REPLACE_PATH.to_owned(),
        base_version,
        body: body.into_bytes(),
    }
}

/// The change that an order makes to a state.
fn change(state: &ReplicatedConfiguration, order: &Order) -> Vec<u8> {
    match evaluate(&state.0, order) {
        OrderOutcome::Change(change) => change,
        other => panic!("the order is not accepted: {other:?}"),
    }
}

fn after(state: &ReplicatedConfiguration, order: &Order) -> ReplicatedConfiguration {
    let mut state = state.clone();
    state
        .apply(&change(&state, order))
        .expect("the change fits");
    state
}

/// The state in the first snapshot, and in the second.
fn snapshot_states() -> [ReplicatedConfiguration; 2] {
    let first = ReplicatedConfiguration(State::default());
    let second = after(&first, &order(0, 2, "first.example"));
    [first, second]
}

/// The state after all records.
fn last_state() -> ReplicatedConfiguration {
    let [_, second] = snapshot_states();
    after(&second, &order(2, 5, "second.example"))
}

fn three() -> Membership {
    Membership::new([member(1), member(2), member(3)])
}

fn with_fourth() -> Membership {
    three().joint([member(1), member(2), member(4)])
}

/// What each of the two used segments holds: a snapshot and the records after it.
fn segments() -> [(Snapshot, Vec<DurableItem>); 2] {
    let [first_state, second_state] = snapshot_states();
    let order_of_second = order(2, 5, "second.example");
    let first = Snapshot {
        identity: member(1).identity,
        promised: epoch(1, 1),
        position: position(1, 1, 1),
        membership: Membership::new([member(1)]),
        state: first_state.encode(),
    };
    let second = Snapshot {
        identity: member(1).identity,
        promised: epoch(2, 2),
        position: position(2, 2, 40),
        membership: three(),
        state: second_state.encode(),
    };
    let record = |position, previous, update| {
        DurableItem::Record(Record {
            position,
            previous,
            update,
        })
    };
    let at = |number| position(5, 3, number);
    let second_records = vec![
        DurableItem::Promise(epoch(4, 1)),
        record(at(41), position(2, 2, 40), Update::EpochStart),
        record(
            at(42),
            at(41),
            Update::Change(change(&second_state, &order_of_second)),
        ),
        record(at(43), at(42), Update::Membership(with_fourth())),
        record(
            at(44),
            at(43),
            Update::Membership(with_fourth().finalized()),
        ),
        DurableItem::Promise(epoch(7, 2)),
    ];
    let first_record = record(position(1, 1, 2), position(1, 1, 1), Update::EpochStart);
    [(first, vec![first_record]), (second, second_records)]
}

fn servers() -> Vec<ServerRecord> {
    let record = |number: u64, state, is_suspect| ServerRecord {
        instance: format!("server-{number}"),
        service: "s".to_owned(),
        address: format!("10.0.1.{number}:8000"),
        zone: "zone-a".to_owned(),
        capacity_slots: 48,
        state,
        sequence_number: 1_000 + number,
        warm_up_remaining_ms: 250 * number,
        is_suspect,
    };
    vec![
        record(0, ServerState::Ready, false),
        record(1, ServerState::Draining, true),
        record(2, ServerState::Gone, false),
    ]
}

/// Writes the ring, in the same order of calls as the earlier build did.
fn write_ring(folder: &Path) {
    let (mut storage, _) = Storage::open(folder, &StorageSettings::new(OWNER)).expect("a ring");
    for (snapshot, items) in segments() {
        let snapshot = DurableItem::Snapshot(snapshot).encode();
        storage
            .replace_snapshot(&snapshot)
            .expect("a snapshot is written");
        for item in items {
            storage
                .append(&[item.encode()])
                .expect("a record is written");
        }
    }
}

/// The file with the table of servers.
fn table_file() -> Vec<u8> {
    let written = encode(&WRITTEN_AT_S).expect("a number");
    let table = encode(&servers()).expect("a table");
    let written = encode_frame(PROTOCOL_VERSION, WRITTEN_AT_FRAME, &written).expect("a frame");
    let table = encode_frame(PROTOCOL_VERSION, TABLE_FRAME, &table).expect("a frame");
    [written, table].concat()
}

#[test]
fn earlier_ring_holds_the_last_snapshot_and_the_records_after_it() {
    let folder = folder_with_earlier_ring();
    let settings = StorageSettings::new(OWNER);
    let (_, recovered) = Storage::open(folder.path(), &settings).expect("the ring opens");
    assert_eq!(recovered.findings, []);
    let [_, (snapshot, items)] = segments();
    let found = recovered.snapshot.expect("a snapshot");
    assert_eq!(
        DurableItem::decode(&found),
        Ok(DurableItem::Snapshot(snapshot))
    );
    let found: Vec<DurableItem> = recovered
        .records
        .iter()
        .map(|record| DurableItem::decode(record).expect("an item"))
        .collect();
    assert_eq!(found, items);
}

#[test]
fn earlier_ring_is_recovered_to_the_same_state() {
    let folder = folder_with_earlier_ring();
    let settings = StorageSettings::new(OWNER);
    let (_, found) = Storage::open(folder.path(), &settings).expect("the ring opens");
    let items = found.snapshot.iter().chain(&found.records);
    let items = items.map(|bytes| DurableItem::decode(bytes).expect("an item"));
    let recovered = Recovered::from_items(items).expect("the items follow each other");
    let [_, second_state] = snapshot_states();
    let expected = Snapshot {
        identity: member(1).identity,
        promised: epoch(7, 2),
        position: position(5, 3, 44),
        membership: Membership::new([member(1), member(2), member(4)]),
        state: second_state.encode(),
    };
    assert_eq!(recovered.snapshot, expected);
    let mut state = ReplicatedConfiguration::decode(&recovered.snapshot.state).expect("a state");
    assert_eq!(state, second_state);
    for change in &recovered.changes {
        state.apply(change).expect("the change fits");
    }
    assert_eq!(state, last_state());
    assert_eq!(state.0.version(), 5);
}

#[test]
fn ring_is_written_with_the_earlier_bytes() {
    let folder = Folder::new(&[]);
    write_ring(folder.path());
    for segment in 0..SEGMENTS {
        let name = format!("segment-{segment}");
        let earlier = std::fs::read(earlier_directory().join("control").join(&name)).expect("read");
        let written = std::fs::read(folder.path().join(&name)).expect("read");
        let (same, rest) = written.split_at(earlier.len());
        assert!(same == earlier, "{name} differs");
        assert!(rest.iter().all(|byte| *byte == 0), "{name} is longer");
    }
}

#[test]
fn earlier_table_of_servers_is_decoded_to_the_same_records() {
    let bytes = std::fs::read(earlier_directory().join("servers")).expect("read");
    let mut reader = FrameReader::new(PROTOCOL_VERSION);
    reader.push(&bytes);
    let written = reader.next_frame().expect("valid").expect("a frame");
    assert_eq!(written.kind, WRITTEN_AT_FRAME);
    assert_eq!(
        decode::<u64>(written.payload).expect("a number"),
        WRITTEN_AT_S
    );
    let table = reader.next_frame().expect("valid").expect("a frame");
    assert_eq!(table.kind, TABLE_FRAME);
    let records: Vec<ServerRecord> = decode(table.payload).expect("a table");
    assert_eq!(records, servers());
}

#[test]
fn table_of_servers_is_written_with_the_earlier_bytes() {
    let earlier = std::fs::read(earlier_directory().join("servers")).expect("read");
    assert_eq!(table_file(), earlier);
}

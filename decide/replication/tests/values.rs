//! Unit tests of membership, message encoding and recovery from durable items.

use std::collections::BTreeSet;

use assert_matches::assert_matches;
use lichenswitch_replication::model::History;
use lichenswitch_replication::{
    majority_of, Append, Body, DurableItem, Epoch, Identity, Member, Membership, Message, Position,
    ProcessInstant, Record, RecoverError, Recovered, Replica, ReplicatedState, Settings, Snapshot,
    StateError, Time, Update,
};

fn member(identity: u64) -> Member {
    Member {
        identity: Identity(identity),
        address: format!("10.0.0.{identity}:7000"),
    }
}

fn membership(identities: &[u64]) -> Membership {
    Membership::new(identities.iter().copied().map(member))
}

fn present(identities: &[u64]) -> BTreeSet<Identity> {
    identities.iter().copied().map(Identity).collect()
}

fn position(counter: u64, number: u64) -> Position {
    Position {
        epoch: Epoch {
            counter,
            primary: Identity(1),
        },
        number,
    }
}

fn snapshot(at: Position) -> DurableItem {
    let state = History {
        changes: vec![1, 2],
    }
    .encode();
    let (identity, promised) = (Identity(1), at.epoch);
    DurableItem::Snapshot(Snapshot {
        identity,
        promised,
        position: at,
        membership: membership(&[1, 2, 3]),
        state,
    })
}

fn record(previous: Position, at: Position, update: Update) -> DurableItem {
    DurableItem::Record(Record {
        position: at,
        previous,
        update,
    })
}

#[test]
fn majority_of_each_size() {
    let majority_of_each_size: Vec<usize> = (1..=9).map(majority_of).collect();
    assert_eq!(majority_of_each_size, [1, 2, 2, 3, 3, 4, 4, 5, 5]);
}

#[test]
fn quorum_is_more_than_half() {
    let four = membership(&[1, 2, 3, 4]);
    assert!(!four.is_quorum(&present(&[1, 2])));
    assert!(four.is_quorum(&present(&[1, 2, 4])));
    assert!(
        !four.is_quorum(&present(&[1, 2, 7, 8, 9])),
        "others don't count"
    );
    assert!(
        !membership(&[]).is_quorum(&present(&[1])),
        "nobody is no quorum"
    );
}

#[test]
fn joint_quorum_needs_a_majority_of_both() {
    let joint = membership(&[1, 2, 3]).joint([member(1), member(4), member(5)]);
    assert!(!joint.is_quorum(&present(&[1, 2, 3])));
    assert!(!joint.is_quorum(&present(&[1, 4, 5])));
    assert!(joint.is_quorum(&present(&[1, 2, 4])));
    assert_eq!(joint.all().count(), 5);
    assert!(joint.contains(Identity(2)) && !joint.finalized().contains(Identity(2)));
    assert!(joint.finalized().is_quorum(&present(&[4, 5])));
}

#[test]
fn heartbeat_is_small_and_survives_encoding() {
    let epoch = Epoch {
        counter: 3,
        primary: Identity(1),
    };
    let (head, committed) = (position(3, 9), position(3, 8));
    let (round, in_contact, records, must_request_snapshot) = (77, true, Vec::new(), false);
    let to = Identity(2);
    let last_response_sent_at = Some(ProcessInstant {
        process: u64::MAX,
        clock: 1,
    });
    let append = Append {
        to,
        epoch,
        round,
        last_response_sent_at,
        in_contact,
        head,
        committed,
        records,
        must_request_snapshot,
    };
    let message = Message {
        from: member(1),
        body: Body::Append(append),
    };
    let bytes = message.encode();
    println!("a heartbeat has {} bytes", bytes.len());
    assert!(bytes.len() <= 256, "{}", bytes.len());
    assert_eq!(Message::decode(&bytes), Ok(message));
    // The same at an unaligned address.
    let shifted = [&[0][..], &bytes].concat();
    assert!(Message::decode(&shifted[1..]).is_ok());
}

#[test]
fn bytes_that_are_no_message_are_rejected() {
    let bytes = Message {
        from: member(1),
        body: Body::JoinRequest,
    }
    .encode();
    for length in 0..bytes.len() {
        assert!(Message::decode(&bytes[..length]).is_err(), "{length} bytes");
    }
    let mut rng = fastrand::Rng::with_seed(5);
    for _ in 0..10_000 {
        let noise: Vec<u8> = (0..rng.usize(0..300)).map(|_| rng.u8(..)).collect();
        // Decoding damaged bytes must not panic, whatever it returns.
        let _ = Message::decode(&noise);
        let _ = DurableItem::decode(&noise);
    }
}

#[test]
fn records_and_promises_fold_into_the_snapshot() {
    let (first, second, third) = (position(2, 5), position(2, 6), position(4, 7));
    let change = Update::Change(3u64.to_le_bytes().to_vec());
    let promise = DurableItem::Promise(Epoch {
        counter: 9,
        primary: Identity(3),
    });
    let members = Update::Membership(membership(&[1, 2]));
    let items = [
        snapshot(first),
        record(first, second, change),
        record(second, third, members),
        promise,
    ];
    let recovered = Recovered::from_items(items).expect("they follow");
    assert_eq!(recovered.snapshot.position, third);
    assert_eq!(recovered.snapshot.promised.counter, 9);
    assert_eq!(recovered.snapshot.membership, membership(&[1, 2]));
    let replica =
        Replica::<History>::recover(Settings::default(), "here".into(), recovered, 1, Time(0));
    let replica = replica.expect("the state can be read");
    assert_eq!(replica.status(Time(0)).synced, Some(third));
    assert_eq!(
        replica.committed(),
        None,
        "what is on disk may never have been committed"
    );
}

#[test]
fn record_of_an_epoch_implies_its_promise() {
    let (first, second) = (position(2, 5), position(4, 6));
    let recovered =
        Recovered::from_items([snapshot(first), record(first, second, Update::EpochStart)]);
    assert_eq!(
        recovered.expect("it follows").snapshot.promised,
        second.epoch
    );
}

#[test]
fn items_that_do_not_follow_are_rejected() {
    let (first, second) = (position(2, 5), position(2, 6));
    let start = || Update::EpochStart;
    assert_matches!(Recovered::from_items([]), Err(RecoverError::Empty));
    assert_matches!(
        Recovered::from_items([record(first, second, start())]),
        Err(RecoverError::Empty)
    );
    let skipped = record(position(2, 6), position(2, 7), start());
    assert_matches!(
        Recovered::from_items([snapshot(first), skipped]),
        Err(RecoverError::RecordDoesNotFollow { .. })
    );
    let back = record(first, position(1, 6), start());
    assert_matches!(
        Recovered::from_items([snapshot(first), back]),
        Err(RecoverError::RecordDoesNotFollow { .. })
    );
    assert_matches!(
        Recovered::from_items([snapshot(second), snapshot(first)]),
        Err(RecoverError::SnapshotOutOfOrder { .. })
    );
    let promise = DurableItem::Promise(Epoch {
        counter: 3,
        primary: Identity(1),
    });
    assert_matches!(
        Recovered::from_items([snapshot(first), promise, record(first, second, start())]),
        Err(RecoverError::RecordBelowPromise { .. })
    );
    let DurableItem::Snapshot(mut foreign) = snapshot(second) else {
        unreachable!("a snapshot")
    };
    foreign.identity = Identity(8);
    assert_matches!(
        Recovered::from_items([snapshot(first), DurableItem::Snapshot(foreign)]),
        Err(RecoverError::TwoIdentities { .. })
    );
}

#[test]
fn unreadable_state_is_an_error() {
    let DurableItem::Snapshot(mut half) = snapshot(position(2, 5)) else {
        unreachable!("a snapshot")
    };
    half.state.pop();
    let recovered = Recovered::from_items([DurableItem::Snapshot(half)]).expect("the items follow");
    let replica =
        Replica::<History>::recover(Settings::default(), "here".into(), recovered, 1, Time(0));
    assert_eq!(
        replica.err(),
        Some(RecoverError::State(StateError::new(
            "a history of half a change"
        )))
    );
}

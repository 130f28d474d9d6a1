//! Compatibility of the message encoding between members with that of an earlier build.
//!
//! `message_bytes.txt` holds one message a line: a name, a space, the message's bytes in
//! hexadecimal. They were written by the build of commit 6f1ee4c. Members of different builds
//! communicate during an update, so every later build must decode them to the same values and
//! encode the same bytes.

use lichenswitch_replication::{
    Append, Body, Epoch, Identity, Member, Membership, Message, Position, ProcessInstant, Record,
    ReplicaVersion, SnapshotChunk, Update,
};

use lichenswitch_testing::fixtures::{named_lines, to_hex};

const EARLIER_BYTES: &str = include_str!("message_bytes.txt");

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

fn replica_version() -> ReplicaVersion {
    ReplicaVersion {
        position: position(3, 1, 17),
        membership: Membership::new([member(1), member(2), member(3)]).joint([
            member(1),
            member(2),
            member(4),
        ]),
    }
}

fn instant() -> ProcessInstant {
    ProcessInstant {
        process: 0x0123_4567_89ab_cdef,
        clock: 9_876_543_210,
    }
}

fn records() -> Vec<Record> {
    let updates = [
        Update::EpochStart,
        Update::Change(b"a change of the state".to_vec()),
        Update::Membership(Membership::new([member(1), member(2)])),
    ];
    let numbered = (18..).zip(updates);
    let record = |(number, update)| Record {
        position: position(4, 2, number),
        previous: position(if number == 18 { 3 } else { 4 }, 2, number - 1),
        update,
    };
    numbered.map(record).collect()
}

fn bodies() -> Vec<(&'static str, Body)> {
    let mut bodies = election_bodies();
    bodies.extend(append_bodies());
    bodies.extend(snapshot_bodies());
    bodies.extend(membership_bodies());
    bodies
}

fn election_bodies() -> Vec<(&'static str, Body)> {
    let pre_vote_response = Body::PreVoteResponse {
        epoch: epoch(5, 3),
        would_grant: true,
        promised: epoch(4, 2),
        version: replica_version(),
    };
    let granted = Body::VoteGranted {
        epoch: epoch(5, 3),
        version: replica_version(),
    };
    let rejected = Body::VoteRejected {
        epoch: epoch(5, 3),
        promised: epoch(6, 1),
    };
    let vote = |is_leadership_transfer| Body::Vote {
        epoch: epoch(5, 3),
        is_leadership_transfer,
    };
    vec![
        ("pre-vote", Body::PreVote { epoch: epoch(5, 3) }),
        ("pre-vote-response", pre_vote_response),
        ("vote", vote(false)),
        ("vote-take-over", vote(true)),
        ("vote-granted", granted),
        ("vote-rejected", rejected),
    ]
}

fn append_bodies() -> Vec<(&'static str, Body)> {
    let heartbeat = Append {
        to: member(2).identity,
        epoch: epoch(4, 2),
        round: 71,
        last_response_sent_at: None,
        in_contact: false,
        head: position(4, 2, 20),
        committed: Position::default(),
        records: Vec::new(),
        must_request_snapshot: true,
    };
    let with_records = Append {
        last_response_sent_at: Some(instant()),
        in_contact: true,
        committed: position(4, 2, 19),
        records: records(),
        must_request_snapshot: false,
        ..heartbeat.clone()
    };
    let response = |synced, is_writable, is_leaving| Body::AppendResponse {
        epoch: epoch(4, 2),
        round: 71,
        synced,
        is_writable,
        is_leaving,
        sent_at: instant(),
    };
    vec![
        ("append-heartbeat", Body::Append(heartbeat)),
        ("append-records", Body::Append(with_records)),
        (
            "append-response",
            response(Some(position(4, 2, 20)), true, false),
        ),
        ("append-response-unsynced", response(None, false, true)),
    ]
}

fn snapshot_bodies() -> Vec<(&'static str, Body)> {
    let request = |position, next| Body::SnapshotRequest {
        epoch: epoch(5, 3),
        position,
        next,
    };
    let chunk = SnapshotChunk {
        epoch: epoch(5, 3),
        position: position(4, 2, 20),
        index: 1,
        count: 3,
        checksum: 0xdead_beef,
        bytes: b"a part of a snapshot".to_vec(),
    };
    vec![
        ("snapshot-request", request(None, 0)),
        ("snapshot-request-at", request(Some(position(4, 2, 20)), 4)),
        ("snapshot-chunk", Body::SnapshotChunk(chunk)),
    ]
}

fn membership_bodies() -> Vec<(&'static str, Body)> {
    let join_response = |primary, members| Body::JoinResponse { primary, members };
    let leave_response = |is_removed, is_retained| Body::LeaveResponse {
        epoch: epoch(5, 3),
        is_removed,
        is_retained,
    };
    let members = vec![member(1), member(3)];
    vec![
        ("join-request", Body::JoinRequest),
        ("join-response", join_response(Some(member(3)), members)),
        ("join-response-unknown", join_response(None, Vec::new())),
        ("leave-request", Body::LeaveRequest),
        ("leave-response-removed", leave_response(true, false)),
        ("leave-response-stays", leave_response(false, true)),
        ("take-over", Body::TakeOver { epoch: epoch(4, 2) }),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    let message = |(name, body)| {
        let from = member(2);
        (name, Message { from, body })
    };
    bodies().into_iter().map(message).collect()
}

fn to_line(name: &str, bytes: &[u8]) -> String {
    format!("{name} {}", to_hex(bytes))
}

#[test]
fn earlier_message_is_decoded_to_the_same_value() {
    let lines = named_lines(EARLIER_BYTES);
    let messages = messages();
    assert_eq!(lines.len(), messages.len());
    for ((line_name, bytes), (name, message)) in lines.into_iter().zip(messages) {
        assert_eq!(line_name, name);
        assert_eq!(Message::decode(&bytes), Ok(message), "{name}");
    }
}

#[test]
fn message_is_encoded_to_the_earlier_bytes() {
    for (line, (name, message)) in EARLIER_BYTES.lines().zip(messages()) {
        assert_eq!(to_line(name, &message.encode()), line, "{name}");
    }
}

/// A new variant needs a line in the fixture: this match doesn't compile without one.
#[test]
fn every_variant_has_an_earlier_message() {
    let variant = |body: &Body| match body {
        Body::PreVote { .. } => 0,
        Body::PreVoteResponse { .. } => 1,
        Body::Vote { .. } => 2,
        Body::VoteGranted { .. } => 3,
        Body::VoteRejected { .. } => 4,
        Body::Append(_) => 5,
        Body::AppendResponse { .. } => 6,
        Body::SnapshotRequest { .. } => 7,
        Body::SnapshotChunk(_) => 8,
        Body::JoinRequest => 9,
        Body::JoinResponse { .. } => 10,
        Body::LeaveRequest => 11,
        Body::LeaveResponse { .. } => 12,
        Body::TakeOver { .. } => 13,
    };
    let variants: std::collections::BTreeSet<u8> =
        bodies().iter().map(|(_, body)| variant(body)).collect();
    assert_eq!(variants.len(), 14);
}

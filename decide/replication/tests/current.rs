//! Tests of when a member may serve its committed state as current, and of which heartbeats a
//! replica follows.

use assert_matches::assert_matches;
use lichenswitch_replication::model::History;
use lichenswitch_replication::{
    Append, Body, DurableItem, Epoch, Identity, Member, Membership, Message, Output, Position,
    ProcessInstant, Record, Recovered, Replica, ReplicatedState, Settings, Snapshot, Time, Update,
};

mod scenario;
use scenario::{group_of_four, other_voters, serving_node, SECOND};

const MS: u64 = 1_000;
const EPOCH: Epoch = Epoch {
    counter: 3,
    primary: Identity(1),
};

fn at(ms: u64) -> Time {
    Time(10 * SECOND + ms * MS)
}

fn member(identity: u64) -> Member {
    Member {
        identity: Identity(identity),
        address: format!("10.0.0.{identity}:7000"),
    }
}

fn position(number: u64) -> Position {
    Position {
        epoch: EPOCH,
        number,
    }
}

/// Returns voter 2 of three, whose disk holds a snapshot at position 5 in the epoch of voter 1.
fn voter() -> Replica<History> {
    let snapshot = DurableItem::Snapshot(Snapshot {
        identity: Identity(2),
        promised: EPOCH,
        position: position(5),
        membership: Membership::new([1, 2, 3].map(member)),
        state: History { changes: vec![1] }.encode(),
    });
    let recovered = Recovered::from_items(vec![snapshot]).unwrap();
    Replica::recover(Settings::default(), member(2).address, recovered, 7, at(0)).unwrap()
}

/// Returns a heartbeat of voter 1, which is confirmed, before it has received a response.
fn heartbeat(to: u64, round: u64, committed: u64, records: Vec<Record>) -> Message {
    echoing(None, to, round, committed, records)
}

/// Returns the same heartbeat after voter 1 has received the response sent at this instant.
fn echoing(
    last_response_sent_at: Option<ProcessInstant>,
    to: u64,
    round: u64,
    committed: u64,
    records: Vec<Record>,
) -> Message {
    let append = Append {
        to: Identity(to),
        epoch: EPOCH,
        round,
        last_response_sent_at,
        in_contact: true,
        head: position(committed),
        committed: position(committed),
        records,
        must_request_snapshot: false,
    };
    Message {
        from: member(1),
        body: Body::Append(append),
    }
}

/// Voter 2, and what voter 1 has received from it: each heartbeat echoes its last response.
struct ObservedFollower {
    voter: Replica<History>,
    last_response_sent_at: Option<ProcessInstant>,
}

impl ObservedFollower {
    fn new() -> ObservedFollower {
        ObservedFollower {
            voter: voter(),
            last_response_sent_at: None,
        }
    }

    fn receive_heartbeat(&mut self, now: Time, round: u64, committed: u64, records: Vec<Record>) {
        self.voter.on_message(
            now,
            echoing(self.last_response_sent_at, 2, round, committed, records),
        );
        self.last_response_sent_at =
            last_response(&self.voter.take_outputs()).or(self.last_response_sent_at);
    }
}

/// Returns the time at which the last heartbeat response among these outputs was sent.
fn last_response(outputs: &[Output]) -> Option<ProcessInstant> {
    let sent_at = |output: &Output| match output {
        Output::Send {
            message:
                Message {
                    body: Body::AppendResponse { sent_at, .. },
                    ..
                },
            ..
        } => Some(*sent_at),
        _ => None,
    };
    outputs.iter().filter_map(sent_at).next_back()
}

/// Returns the record of a position, which follows the record of the position before.
fn record(number: u64) -> Record {
    let change = number.to_le_bytes().to_vec();
    Record {
        position: position(number),
        previous: position(number - 1),
        update: Update::Change(change),
    }
}

#[test]
fn member_that_lacks_committed_records_is_in_contact_but_not_current() {
    let mut follower = ObservedFollower::new();
    assert!(
        !follower.voter.is_current(at(0)),
        "no primary has made contact"
    );
    follower.receive_heartbeat(at(0), 1, 5, Vec::new());
    assert!(
        !follower.voter.in_contact(at(0)),
        "no response of it is known to have arrived"
    );
    follower.receive_heartbeat(at(1), 2, 5, Vec::new());
    assert!(follower.voter.is_current(at(1)));
    assert_eq!(
        follower.voter.committed().map(|(position, _)| position),
        Some(position(5))
    );

    // From here on, more is committed than this voter receives.
    for number in 1..=9 {
        let now = at(100 * number);
        follower.receive_heartbeat(now, 2 + number, 5 + number, Vec::new());
        assert!(follower.voter.in_contact(now), "{now:?}");
        assert_eq!(
            follower.voter.is_current(now),
            number < 4,
            "behind since {:?}, now {now:?}",
            at(100)
        );
    }
    assert!(
        follower.voter.is_current(at(399)) && !follower.voter.is_current(at(400)),
        "the bound is {} us",
        300 * MS
    );

    // Some of the missing records do not make it current; the last one does, immediately.
    follower.receive_heartbeat(at(1_000), 12, 8, vec![record(6)]);
    assert!(follower.voter.in_contact(at(1_000)) && !follower.voter.is_current(at(1_000)));
    follower.receive_heartbeat(at(1_010), 13, 8, vec![record(7), record(8)]);
    assert_eq!(
        follower.voter.committed().map(|(position, _)| position),
        Some(position(8))
    );
    assert!(follower.voter.is_current(at(1_010)));

    // The records missing next are counted afresh, and no state is current without contact.
    // Contact counts from the response at 1100.
    follower.receive_heartbeat(at(1_100), 14, 9, Vec::new());
    assert!(follower.voter.is_current(at(1_399)) && !follower.voter.is_current(at(1_400)));
    follower.receive_heartbeat(at(1_410), 15, 9, vec![record(9)]);
    assert!(follower.voter.is_current(at(1_699)) && !follower.voter.is_current(at(1_700)));
    assert!(!follower.voter.in_contact(at(1_700)));
}

#[test]
fn contact_starts_when_the_echoed_response_was_sent() {
    for (read, until) in [(10, 600), (590, 600), (600, 0), (17_000, 0)] {
        let mut follower = ObservedFollower::new();
        follower.receive_heartbeat(at(0), 1, 5, Vec::new());
        follower.receive_heartbeat(at(read), 2, 5, Vec::new());
        let in_contact: Vec<u64> = (read..read + 700)
            .filter(|ms| follower.voter.in_contact(at(*ms)))
            .collect();
        assert_eq!(
            in_contact,
            (read..until.max(read)).collect::<Vec<_>>(),
            "read after {read} ms"
        );
        assert_eq!(follower.voter.is_current(at(read)), read < until);
    }
}

#[test]
fn echo_of_another_process_is_ignored() {
    let mut follower = ObservedFollower::new();
    follower.receive_heartbeat(at(0), 1, 5, Vec::new());
    let sent_at = follower.last_response_sent_at.expect("it has answered");
    follower.last_response_sent_at = Some(ProcessInstant {
        process: sent_at.process + 1,
        ..sent_at
    });
    follower.receive_heartbeat(at(1), 2, 5, Vec::new());
    assert!(!follower.voter.in_contact(at(1)));
    follower.receive_heartbeat(at(2), 3, 5, Vec::new());
    assert!(follower.voter.in_contact(at(2)));
}

#[test]
fn primary_is_current_while_in_contact() {
    let mut timed = group_of_four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    let (primary, voters) = (serving_node(&timed), other_voters(&timed));
    let is_current = |timed: &lichenswitch_replication::model::timed::TimedWorld, index: usize| {
        let replica = timed.world.nodes[index].replica.as_ref().unwrap();
        (replica.in_contact(timed.now), replica.is_current(timed.now))
    };
    for _ in 0..50 {
        timed.run_for(20 * MS);
        assert_eq!(is_current(&timed, primary), (true, true));
    }
    timed.isolate(primary);
    timed.run_for(650 * MS);
    assert_eq!(is_current(&timed, primary), (false, false));
    timed.commit_within(3 * SECOND).expect("the others go on");
    let next = serving_node(&timed);
    assert!(next != primary && voters.contains(&next));
    assert_eq!(is_current(&timed, next), (true, true));
    assert_eq!(is_current(&timed, primary), (false, false));
    timed.heal();
    timed.run_for(2 * SECOND);
    assert_eq!(
        is_current(&timed, primary),
        (true, true),
        "it has caught up"
    );
}

/// Returns the addresses at which a replica asks to join within a time.
fn join_requests(replica: &mut Replica<History>, from: Time, until: Time) -> Vec<String> {
    let mut requests = Vec::new();
    let mut now = from;
    loop {
        replica.tick(now);
        for output in replica.take_outputs() {
            if let Output::Send {
                to,
                message:
                    Message {
                        body: Body::JoinRequest,
                        ..
                    },
            } = output
            {
                requests.push(to);
            }
        }
        now = replica.next_wake();
        if now > until {
            return requests;
        }
    }
}

#[test]
fn heartbeat_for_another_identity_is_answered_by_a_join_request() {
    let learner = || Replica::<History>::learner(Settings::default(), member(9), 7, at(0));
    let mut isolated = learner();
    assert_eq!(
        join_requests(&mut isolated, at(0), at(1_000)),
        Vec::<String>::new(),
        "it knows nobody"
    );

    // Voter 2 was at this address before its disk was lost.
    let mut replica = learner();
    replica.on_message(at(0), heartbeat(2, 1, 5, Vec::new()));
    assert_eq!(replica.promised(), Epoch::default());
    assert_eq!(
        (
            replica.primary(),
            replica.in_contact(at(0)),
            replica.is_current(at(0))
        ),
        (None, false, false)
    );
    assert!(replica.committed().is_none());
    assert_matches!(
        &replica.take_outputs()[..],
        [],
        "it gives no answer in the name of another"
    );
    let requested = join_requests(&mut replica, at(0), at(1_000));
    assert!(
        !requested.is_empty() && requested.iter().all(|to| *to == member(1).address),
        "{requested:?}"
    );

    // A voter that is not the addressee does not follow either; the addressee does.
    let mut voter = voter();
    voter.on_message(at(0), heartbeat(3, 1, 5, Vec::new()));
    assert_eq!((voter.primary(), voter.in_contact(at(0))), (None, false));
    voter.on_message(at(1), heartbeat(2, 1, 5, Vec::new()));
    assert_eq!(
        (voter.primary(), voter.in_contact(at(1))),
        (Some(&member(1)), false)
    );
    let last_response_sent_at = last_response(&voter.take_outputs());
    assert!(last_response_sent_at.is_some(), "it answers");
    voter.on_message(at(2), echoing(last_response_sent_at, 2, 2, 5, Vec::new()));
    assert_eq!(
        (voter.primary(), voter.in_contact(at(2))),
        (Some(&member(1)), true)
    );
}

/// Requests that a heartbeat can carry besides being followed: to append a record, and to fetch the
/// snapshot.
fn demanding(to: u64, epoch: Epoch) -> Message {
    let previous = position(5);
    let number = Position { epoch, number: 6 };
    let append = Append {
        to: Identity(to),
        epoch,
        round: 1,
        last_response_sent_at: None,
        in_contact: true,
        head: Position { epoch, number: 9 },
        committed: number,
        records: vec![Record {
            position: number,
            previous,
            update: Update::Change(6_u64.to_le_bytes().to_vec()),
        }],
        must_request_snapshot: true,
    };
    Message {
        from: member(epoch.primary.0),
        body: Body::Append(append),
    }
}

#[test]
fn append_for_another_identity_changes_nothing_at_a_voter() {
    let later = Epoch {
        counter: 4,
        primary: Identity(3),
    };
    let older = Epoch {
        counter: 2,
        primary: Identity(3),
    };
    for epoch in [older, EPOCH, later] {
        let mut replica = voter();
        let before = replica.clone();
        replica.on_message(at(0), demanding(9, epoch));
        assert_matches!(
            &replica.take_outputs()[..],
            [],
            "{epoch:?}: nothing is written, shown, sent or reported"
        );
        assert_eq!(replica.promised(), EPOCH, "{epoch:?}");
        assert_eq!(
            replica.next_wake(),
            before.next_wake(),
            "{epoch:?}: no election is put off"
        );
        assert_eq!(
            (replica.primary(), replica.in_contact(at(0))),
            (None, false),
            "{epoch:?}"
        );
        assert!(
            replica.committed().is_none() && !replica.is_current(at(0)),
            "{epoch:?}"
        );
        assert_eq!(
            replica.durable_snapshot(),
            before.durable_snapshot(),
            "{epoch:?}"
        );
    }
    // When the same message is addressed to this voter, an older epoch is refused; the others are
    // followed, written and reported.
    let mut replica = voter();
    replica.on_message(at(0), demanding(2, older));
    assert_matches!(
        &replica.take_outputs()[..],
        [Output::Send {
            message: Message {
                body: Body::VoteRejected { .. },
                ..
            },
            ..
        }]
    );
    for epoch in [EPOCH, later] {
        let mut replica = voter();
        replica.on_message(at(0), demanding(2, epoch));
        let outputs = replica.take_outputs();
        assert!(
            outputs
                .iter()
                .any(|output| matches!(output, Output::Persist { .. })),
            "{outputs:?}"
        );
        assert_eq!(replica.promised(), epoch);
        assert!(replica.primary().is_some() && last_response(&outputs).is_some());
        assert_eq!(replica.committed().map(|(at, _)| at.number), Some(6));
    }
}

#[test]
fn wiped_voter_ignores_heartbeats_for_its_earlier_identity() {
    let mut replica = Replica::<History>::learner(
        Settings::default(),
        Member {
            identity: Identity(9),
            ..member(2)
        },
        7,
        at(0),
    );
    for round in 0..9 {
        let now = at(100 * round);
        replica.on_message(now, demanding(2, EPOCH));
        assert_matches!(
            &replica.take_outputs()[..],
            [],
            "{now:?}: it confirms no round and accepts no snapshot"
        );
        assert_eq!(
            (replica.promised(), replica.primary()),
            (Epoch::default(), None)
        );
        assert!(replica.durable_snapshot().is_none() && replica.committed().is_none());
        assert!(!replica.in_contact(now) && !replica.is_current(now));
    }
    // That does not keep it from asking the primary to join either.
    let requested = join_requests(&mut replica, at(800), at(1_600));
    assert!(
        requested.len() >= 4 && requested.iter().all(|to| *to == member(1).address),
        "{requested:?}"
    );
    // The primary names it once it has asked to join; then it follows and requests the snapshot.
    replica.on_message(at(1_700), demanding(9, EPOCH));
    assert_eq!(replica.primary(), Some(&member(1)));
    let outputs = replica.take_outputs();
    let is_snapshot_request = |output: &Output| {
        matches!(
            output,
            Output::Send {
                message: Message {
                    body: Body::SnapshotRequest { .. },
                    ..
                },
                ..
            }
        )
    };
    assert!(outputs.iter().any(is_snapshot_request), "{outputs:?}");
}

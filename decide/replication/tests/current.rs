//! Who may hand out what is held here as current, and whose heartbeats are followed.

use assert_matches::assert_matches;
use lichenswitch_replication::model::History;
use lichenswitch_replication::{
    Append, Body, DurableItem, Epoch, Identity, Member, Membership, Message, Output, Position,
    ProcessInstant, Record, Recovered, Replica, ReplicatedState, Settings, Snapshot, Time, Update,
};

mod scenario;
use scenario::{four, others, serving, SECOND};

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

/// Voter 2 of three, whose disk holds the image of position 5 under the epoch of voter 1.
fn voter() -> Replica<History> {
    let image = DurableItem::Snapshot(Snapshot {
        identity: Identity(2),
        promised: EPOCH,
        position: position(5),
        membership: Membership::new([1, 2, 3].map(member)),
        state: History { changes: vec![1] }.encode(),
    });
    let recovered = Recovered::from_items(vec![image]).unwrap();
    Replica::recover(Settings::default(), member(2).address, recovered, 7, at(0)).unwrap()
}

/// A heartbeat of voter 1, which is confirmed, before it has had an answer.
fn heartbeat(to: u64, round: u64, committed: u64, records: Vec<Record>) -> Message {
    echoing(None, to, round, committed, records)
}

/// The same, after it has had the answer with this stamp.
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

/// Voter 2, as voter 1 hears it: each heartbeat echoes its last answer.
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

/// When the last answer to a heartbeat among these was sent.
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

/// The record of a position, that stands on the one before.
fn record(number: u64) -> Record {
    let change = number.to_le_bytes().to_vec();
    Record {
        position: position(number),
        previous: position(number - 1),
        update: Update::Change(change),
    }
}

#[test]
fn one_that_lacks_what_is_committed_is_in_contact_but_current_no_more() {
    let mut follower = ObservedFollower::new();
    assert!(!follower.voter.is_current(at(0)), "it has heard nobody");
    follower.receive_heartbeat(at(0), 1, 5, Vec::new());
    assert!(
        !follower.voter.in_contact(at(0)),
        "nobody is known to have heard it"
    );
    follower.receive_heartbeat(at(1), 2, 5, Vec::new());
    assert!(follower.voter.is_current(at(1)));
    assert_eq!(
        follower.voter.committed().map(|(position, _)| position),
        Some(position(5))
    );

    // From now on more is committed than comes here.
    for beat in 1..=9 {
        let now = at(100 * beat);
        follower.receive_heartbeat(now, 2 + beat, 5 + beat, Vec::new());
        assert!(follower.voter.in_contact(now), "{now:?}");
        assert_eq!(
            follower.voter.is_current(now),
            beat < 4,
            "behind since {:?}, now {now:?}",
            at(100)
        );
    }
    assert!(
        follower.voter.is_current(at(399)) && !follower.voter.is_current(at(400)),
        "the bound is {} us",
        300 * MS
    );

    // Part of what is lacking does not make it current, all of it does, at once.
    follower.receive_heartbeat(at(1_000), 12, 8, vec![record(6)]);
    assert!(follower.voter.in_contact(at(1_000)) && !follower.voter.is_current(at(1_000)));
    follower.receive_heartbeat(at(1_010), 13, 8, vec![record(7), record(8)]);
    assert_eq!(
        follower.voter.committed().map(|(position, _)| position),
        Some(position(8))
    );
    assert!(follower.voter.is_current(at(1_010)));

    // What is lacking next is counted anew, and without contact nothing is current. Contact counts
    // from the answer at 1100.
    follower.receive_heartbeat(at(1_100), 14, 9, Vec::new());
    assert!(follower.voter.is_current(at(1_399)) && !follower.voter.is_current(at(1_400)));
    follower.receive_heartbeat(at(1_410), 15, 9, vec![record(9)]);
    assert!(follower.voter.is_current(at(1_699)) && !follower.voter.is_current(at(1_700)));
    assert!(!follower.voter.in_contact(at(1_700)));
}

#[test]
fn contact_counts_from_the_answer_that_is_echoed_however_late_that_is_read() {
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
fn an_echo_of_an_answer_of_another_process_counts_for_nothing() {
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
fn a_primary_is_current_as_long_as_it_is_in_contact() {
    let mut timed = four(4);
    timed.commit_within(SECOND).expect("a change is committed");
    let (primary, voters) = (serving(&timed), others(&timed));
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
    let next = serving(&timed);
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

/// Whom a replica knocks at within a time.
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
fn a_heartbeat_for_another_disk_is_not_followed_but_knocked_at() {
    let newcomer = || Replica::<History>::learner(Settings::default(), member(9), 7, at(0));
    let mut unheard = newcomer();
    assert_eq!(
        join_requests(&mut unheard, at(0), at(1_000)),
        Vec::<String>::new(),
        "it knows nobody"
    );

    // Voter 2 was at this address before its disk was lost.
    let mut replica = newcomer();
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

    // A voter whom it is not for does not follow either; one that is meant does.
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

/// What a heartbeat can ask of a voter beside being followed: to take a record, and to fetch the
/// image.
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
fn an_append_for_another_identity_changes_nothing_at_a_voter() {
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
            "{epoch:?}: nothing is written, shown, sent or told"
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
    // The same message, when it is meant: an older epoch is refused, the others are followed,
    // written and shown.
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
fn a_wiped_voter_at_its_old_address_is_not_fed_by_what_is_meant_for_its_old_disk() {
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
            "{now:?}: it confirms no round and takes no image"
        );
        assert_eq!(
            (replica.promised(), replica.primary()),
            (Epoch::default(), None)
        );
        assert!(replica.durable_snapshot().is_none() && replica.committed().is_none());
        assert!(!replica.in_contact(now) && !replica.is_current(now));
    }
    // Nor is it kept from knocking, where the primary is.
    let requested = join_requests(&mut replica, at(800), at(1_600));
    assert!(
        requested.len() >= 4 && requested.iter().all(|to| *to == member(1).address),
        "{requested:?}"
    );
    // The primary names it once it has been told of it: then it follows, and asks for the image.
    replica.on_message(at(1_700), demanding(9, EPOCH));
    assert_eq!(replica.primary(), Some(&member(1)));
    let outputs = replica.take_outputs();
    let asks = |output: &Output| {
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
    assert!(outputs.iter().any(asks), "{outputs:?}");
}

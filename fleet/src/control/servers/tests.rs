//! Tests of `servers`.

use super::super::program::{Net, Owner};
use super::*;
use lichenswitch_messages::ServerState;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1_000)
}

fn settings() -> Settings {
    Settings::parse("nodeName = \"n\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\ninternalPortRange = [1, 2]\nseedNodes = []\n").unwrap()
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_300))
}

/// One of these has to hold the news, where there are any.
fn told(numbers: &[u8]) -> Audience {
    needed(numbers, numbers.len().min(1))
}

/// So many of these have to hold the news.
fn needed(numbers: &[u8], needed: usize) -> Audience {
    let told: BTreeSet<SocketAddr> = numbers.iter().map(|number| peer(*number)).collect();
    Audience { counted: told.clone(), told, needed }
}

fn beat(sequence_number: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        service: "s".to_owned(),
        address: "10.9.0.1:80".to_owned(),
        state,
        sequence_number,
        ..Heartbeat::default()
    }
}

/// Names of connections.
fn callers() -> Vec<ConnId> {
    let mut net = Net::new(100).unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    net.set_aside_for_peers(8);
    (0..4).map(|_| net.connect(Owner::Dialled, listener.local_addr().unwrap()).unwrap()).collect()
}

#[test]
fn news_are_acknowledged_once_another_machine_in_contact_holds_them() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    assert_eq!(servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready)), Beat::Waits);
    let (changes, ack) = servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(changes.news().len(), 1);
    servers.on_merged(peer(2), ack, false);
    servers.on_merged(peer(9), ack, true);
    servers.settle(at(10));
    assert!(servers.take_answers().is_empty(), "one without contact, and one that was not told, don't count");
    servers.on_merged(peer(3), ack, true);
    servers.settle(at(20));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);

    // The next beat tells nothing new.
    assert_eq!(servers.on_heartbeat(at(1_200), callers[1], "i-1", &beat(2, ServerState::Ready)), Beat::Known);
    assert!(!servers.has_changes());
    // That it leaves is news again, and so is its end.
    assert_eq!(
        servers.on_heartbeat(at(2_400), callers[1], "i-1", &beat(3, ServerState::Draining)),
        Beat::Waits
    );
    servers.take_changes(at(2_400), told(&[2]));
    assert_eq!(servers.on_deregister(at(2_500), callers[2], "i-1"), Beat::Waits);
}

#[test]
fn one_slow_machine_holds_nobody_up_for_long() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (_, ack) = servers.take_changes(at(0), told(&[2, 3]));
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(99));
    assert!(servers.take_answers().is_empty());
    assert_eq!(servers.next_wake(), Some(at(100)));
    servers.settle(at(100));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn news_that_nobody_else_holds_are_refused_and_told_again() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    servers.take_changes(at(0), told(&[2]));
    // The same server again, while its news wait.
    assert_eq!(servers.on_heartbeat(at(50), callers[1], "i-1", &beat(2, ServerState::Ready)), Beat::Waits);
    servers.settle(at(400));
    assert_eq!(servers.take_answers(), [(callers[0], false), (callers[1], false)]);

    assert_eq!(servers.on_heartbeat(at(1_200), callers[2], "i-1", &beat(3, ServerState::Ready)), Beat::Waits);
    let (changes, ack) = servers.take_changes(at(1_200), told(&[2]));
    assert_eq!((changes.news().len(), ack), (1, 2));
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(1_201));
    assert_eq!(servers.take_answers(), [(callers[2], true)]);
    assert_eq!(servers.on_heartbeat(at(2_400), callers[3], "i-1", &beat(4, ServerState::Ready)), Beat::Known);
}

#[test]
fn a_call_that_brings_news_of_its_own_waits_for_these_and_not_for_older_ones() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (_, first) = servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(servers.on_deregister(at(10), callers[1], "i-1"), Beat::Waits);
    let (changes, second) = servers.take_changes(at(10), told(&[2, 3]));
    assert_eq!((changes.news().len(), second == first), (1, false));
    assert_ne!(second, 0, "that it has left is told under a number of its own");
    // Told once more while that waits, it waits for the same.
    assert_eq!(servers.on_deregister(at(15), callers[2], "i-1"), Beat::Waits);

    [2, 3].iter().for_each(|number| servers.on_merged(peer(*number), first, true));
    servers.settle(at(20));
    assert_eq!(servers.take_answers(), [(callers[0], true)], "nobody else is known to hold that it has left");
    [2, 3].iter().for_each(|number| servers.on_merged(peer(*number), second, true));
    servers.settle(at(30));
    assert_eq!(servers.take_answers(), [(callers[1], true), (callers[2], true)]);
}

#[test]
fn that_a_server_leaves_is_not_acknowledged_from_hearsay() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    // A machine that is cut off since has told this one, and perhaps nobody else.
    let record = beat(3, ServerState::Draining).record("i-1");
    servers.on_records(at(0), std::slice::from_ref(&record), false, true);
    assert_eq!(servers.take_hearsay(), [record], "it is told on");
    servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(
        servers.on_heartbeat(at(100), callers[0], "i-1", &beat(3, ServerState::Draining)),
        Beat::Waits
    );
    let (changes, ack) = servers.take_changes(at(100), told(&[2, 3]));
    assert_eq!(changes.news().len(), 1);
    [2, 3].iter().for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.settle(at(110));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
    assert_eq!(
        servers.on_heartbeat(at(1_300), callers[1], "i-1", &beat(4, ServerState::Draining)),
        Beat::Known
    );
}

#[test]
fn that_a_server_leaves_is_not_acknowledged_from_the_table_of_one_machine() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_records(at(0), &[lichenswitch_registry::tombstone("i-1")], true, true);
    assert_eq!(servers.take_hearsay(), [], "all that connect to that machine get its table");
    servers.take_changes(at(0), told(&[2, 3]));
    assert_eq!(servers.on_deregister(at(100), callers[0], "i-1"), Beat::Waits);
    assert_eq!(servers.take_changes(at(100), told(&[2, 3])).0.news().len(), 1);
    // Once it is forgotten nothing is left of it.
    servers.tick(at(200_000));
    servers.tick(at(400_000));
    assert!(servers.registry().is_empty() && servers.unconfirmed.is_empty());
}

#[test]
fn a_machine_that_is_alone_acknowledges_by_itself() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_heartbeat(at(0), callers[0], "i-1", &beat(1, ServerState::Ready));
    let (changes, ack) = servers.take_changes(at(0), told(&[]));
    assert_eq!((changes.records.len(), ack), (1, 1));
    servers.settle(at(0));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn a_machine_whose_connections_are_all_gone_acknowledges_nothing_by_itself() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    servers.take_changes(at(0), needed(&[], 1));
    servers.settle(at(0));
    assert_eq!(servers.take_answers(), [(callers[0], false)], "the server goes on to another machine");
    // Nor does one that reaches too few.
    assert_eq!(servers.on_deregister(at(20), callers[2], "i-1"), Beat::Waits);
    servers.take_changes(at(20), needed(&[2], 2));
    servers.settle(at(20));
    assert_eq!(servers.take_answers(), [(callers[2], false)], "it needn't wait to know that");
    // Once enough machines are connected again they are told.
    assert_eq!(servers.on_deregister(at(50), callers[1], "i-1"), Beat::Waits);
    let (changes, ack) = servers.take_changes(at(50), needed(&[2], 1));
    assert_eq!(changes.news().len(), 1);
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(51));
    assert_eq!(servers.take_answers(), [(callers[1], true)]);
}

#[test]
fn news_are_held_by_as_many_as_no_part_of_the_group_that_goes_on_can_do_without() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    // Five of eight machines are beyond a cut that nobody has noticed yet.
    servers.on_deregister(at(0), callers[0], "i-1");
    let (_, ack) = servers.take_changes(at(0), needed(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3].iter().for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.on_merged(peer(2), ack, true);
    servers.on_merged(peer(4), ack, false);
    servers.settle(at(399));
    assert!(servers.take_answers().is_empty());
    servers.settle(at(400));
    assert_eq!(servers.take_answers(), [(callers[0], false)]);

    // Without the cut, slow machines are not waited for once enough hold the news.
    assert_eq!(servers.on_deregister(at(500), callers[1], "i-1"), Beat::Waits);
    let (_, ack) = servers.take_changes(at(500), needed(&[2, 3, 4, 5, 6, 7, 8], 4));
    [2, 3, 4, 5].iter().for_each(|number| servers.on_merged(peer(*number), ack, true));
    servers.settle(at(599));
    assert!(servers.take_answers().is_empty());
    servers.settle(at(600));
    assert_eq!(servers.take_answers(), [(callers[1], true)]);
}

#[test]
fn a_machine_that_holds_no_copy_of_the_state_is_told_and_not_counted() {
    let (callers, mut servers) = (callers(), Servers::new(&settings(), at(0)));
    servers.on_deregister(at(0), callers[0], "i-1");
    let audience = Audience { counted: BTreeSet::from([peer(2)]), ..needed(&[2, 9], 1) };
    let (_, ack) = servers.take_changes(at(0), audience);
    servers.on_merged(peer(9), ack, true);
    servers.settle(at(399));
    assert!(servers.take_answers().is_empty());
    servers.on_merged(peer(2), ack, true);
    servers.settle(at(399));
    assert_eq!(servers.take_answers(), [(callers[0], true)]);
}

#[test]
fn a_machine_that_starts_waits_for_the_table_of_one_in_contact() {
    let mut servers = Servers::new(&settings(), at(0));
    assert!(!servers.may_take_beats(at(1_999)) && servers.may_take_beats(at(2_000)));
    servers.on_records(at(10), &[], true, false);
    assert!(!servers.may_take_beats(at(11)));
    servers.on_records(at(20), &[], true, true);
    assert!(servers.may_take_beats(at(21)));
    assert!(servers.on_heard(at(30), &[("i-9".to_owned(), 5)]), "whom it doesn't know it has to ask about");
}

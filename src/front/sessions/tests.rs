//! Tests of `front::sessions`.

use super::*;
use crate::contract::Contracts;
use crate::front::platform;
use crate::front::session::{PendingQuery, BUSY_EVICTABLE_AFTER, EVICTABLE_AFTER, IDLE_TIMEOUT};
use crate::interface::Settings;
use crate::upstream::frames::Job;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};

/// So many clients, connected, and their connections, oldest first.
fn connected(
    net: &mut Net,
    sessions: &mut Sessions<()>,
    count: usize,
) -> (Vec<TcpStream>, Vec<ConnId>) {
    let address = net
        .listen(Owner::Platform, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    let clients: Vec<TcpStream> = (0..count)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    while sessions.open.len() < count {
        net.wait(None).unwrap();
        for id in net.accept(Owner::Platform) {
            sessions.on_connected(net, id, Owner::Platform);
        }
    }
    let mut ids: Vec<ConnId> = sessions.open.keys().copied().collect();
    ids.sort_unstable();
    (clients, ids)
}

#[test]
fn connections_without_requests_are_evicted_first_and_open_queries_stay() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::<()>::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (clients, ids) = connected(&mut net, &mut sessions, 8);
    let now = net.clock.now();
    for (i, id) in ids.iter().enumerate() {
        let session = sessions.open.get_mut(id).unwrap();
        (session.phase_started_at, session.has_sent_request) =
            (now.minus(BUSY_EVICTABLE_AFTER), i > 0);
        if i == 1 {
            session.state = SessionState::AwaitingReply(PendingQuery {
                id: QueryId(1),
                keep_alive: true,
                is_head: false,
            });
        }
    }
    sessions.evict_idle(&mut net, &mut core);
    assert!(
        sessions.open.len() == 7 && net.get(ids[0]).is_none(),
        "the one that never asked"
    );
    (0..20).for_each(|_| sessions.evict_idle(&mut net, &mut core));
    assert_eq!(sessions.open.keys().copied().collect::<Vec<_>>(), [ids[1]]);
    clients
        .iter()
        .for_each(|c| c.shutdown(Shutdown::Both).unwrap());
}

#[test]
fn beyond_a_quarter_of_the_descriptors_those_idle_for_longest_go() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (_clients, ids) = connected(&mut net, &mut sessions, 20);
    let now = net.clock.now();
    for (id, i) in ids.iter().zip(0..) {
        let session = sessions.open.get_mut(id).unwrap();
        (session.phase_started_at, session.has_sent_request) =
            (now.minus(EVICTABLE_AFTER * (40 - i)), true);
    }
    let front = platform::Platform::new(Vec::new(), Vec::new());
    core.set_end_time(now);
    sessions.sweep(&mut net, Owner::Platform, &front, &mut core);
    assert_eq!(
        sessions.open.len(),
        20,
        "nobody has to go while the broker stops"
    );
    let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
    sessions.sweep(&mut net, Owner::Platform, &front, &mut core);
    let mut left: Vec<ConnId> = sessions.open.keys().copied().collect();
    left.sort_unstable();
    assert_eq!(
        left,
        ids[11..],
        "a quarter of the 38 descriptors that are not discovery's stays"
    );
}

/// A request of the platform's front for one shard.
const QUERY: &[u8] =
    b"POST /a HTTP/1.1\r\nReq-Id: 1\r\nReq-Deadline-Ms: 900\r\nContent-Length: 48\r\n\r\n\
    {\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"\"}";

fn platform() -> platform::Platform {
    let class = platform::Class {
        name: "a".into(),
        repeat: crate::interface::RetrySafety::Safe,
        deadline: 900_000,
    };
    platform::Platform::new(vec![class], Vec::new())
}

/// Lets the sessions read what is there.
fn read(
    net: &mut Net,
    sessions: &mut Sessions<()>,
    front: &mut platform::Platform,
    core: &mut Core<Job>,
) {
    for ready in net.wait(Some(net.clock.now().plus(1_000_000))).unwrap() {
        if let crate::net::Ready::Conn(id, _) = ready {
            sessions.on_ready(net, id, front, core);
        }
    }
}

#[test]
fn a_query_that_is_read_together_with_its_clients_end_is_not_taken() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (mut clients, _) = connected(&mut net, &mut sessions, 2);
    let mut front = platform();
    // Both are there before anything is read: the whole request, and behind it the end.
    clients[0].write_all(QUERY).unwrap();
    clients[0].shutdown(Shutdown::Write).unwrap();
    read(&mut net, &mut sessions, &mut front, &mut core);
    assert_eq!((core.held_queries(), sessions.open.len()), (0, 1));
    // The same request is one that is taken; the end comes after it, and before the module's turn.
    clients[1].write_all(QUERY).unwrap();
    read(&mut net, &mut sessions, &mut front, &mut core);
    assert_eq!(core.held_queries(), 1);
    clients[1].shutdown(Shutdown::Write).unwrap();
    read(&mut net, &mut sessions, &mut front, &mut core);
    assert_eq!(
        (
            core.held_queries(),
            sessions.open.len(),
            sessions.awaited_replies.len()
        ),
        (0, 0, 0)
    );
    let now = net.clock.now().plus(1_000_000);
    let sends = core
        .turn(now)
        .into_iter()
        .filter(|c| matches!(c, crate::core::Command::Send(..)))
        .count();
    assert_eq!(sends, 0);
}

/// A client that has had an answer and not read it, and whose next request is there and not read by
/// the broker.
fn crossing(
    net: &mut Net,
    sessions: &mut Sessions<()>,
    core: &mut Core<Job>,
) -> (TcpStream, platform::Platform) {
    let (mut clients, _) = connected(net, sessions, 1);
    let mut front = platform();
    clients[0]
        .write_all(b"GET /health/live HTTP/1.1\r\n\r\n")
        .unwrap();
    read(net, sessions, &mut front, core);
    clients[0].write_all(QUERY).unwrap();
    let client = clients.remove(0);
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(20)))
        .unwrap();
    (client, front)
}

#[test]
fn request_crossing_an_idle_close_is_not_sent_and_resets_nothing() {
    for idle in [true, false] {
        let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
        let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
        let (mut client, mut front) = crossing(&mut net, &mut sessions, &mut core);
        if idle {
            let long = net.clock.now().minus(IDLE_TIMEOUT);
            sessions
                .open
                .values_mut()
                .for_each(|s| s.phase_started_at = long);
            sessions.sweep(&mut net, Owner::Platform, &front, &mut core);
        } else {
            assert_eq!(
                sessions.close_unused(&mut net, &mut core),
                1,
                "it is left to its client to end it"
            );
        }
        read(&mut net, &mut sessions, &mut front, &mut core);
        assert_eq!(
            core.held_queries(),
            0,
            "what is read after the end is dropped"
        );
        let mut text = String::new();
        client
            .read_to_string(&mut text)
            .expect("an end, and no reset");
        assert!(
            text.starts_with("HTTP/1.1 200 ") && text.ends_with("ok\n"),
            "{text}"
        );
        // Its client ends it as well: nothing is left.
        drop(client);
        read(&mut net, &mut sessions, &mut front, &mut core);
        assert!(sessions.open.is_empty());
    }
}

#[test]
fn client_that_keeps_its_side_open_is_closed_in_time_at_shutdown() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::<Job>::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (clients, ids) = connected(&mut net, &mut sessions, 1);
    assert_eq!(sessions.close_unused(&mut net, &mut core), 1);
    assert_eq!(
        sessions.close_unused(&mut net, &mut core),
        1,
        "there is time yet"
    );
    let early = net.clock.now().minus(SHUTDOWN_LINGER_TIMEOUT);
    sessions.open.get_mut(&ids[0]).unwrap().phase_started_at = early;
    assert_eq!(sessions.close_unused(&mut net, &mut core), 0);
    assert!(net.get(ids[0]).is_none());
    drop(clients);
}

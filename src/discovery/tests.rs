//! Tests of `discovery`.

use super::*;
use crate::interface::{ListedServer, ServerMode};
use crate::net::Owner;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const LIST: &str = r#"{"generation":41,"reset":true,"instances":[
        {"instanceId":"s-1","hostPort":"10.1.0.18:8080","zone":"b","machineType":"m2","cell":3,
         "lifecycle":"SERVING","weight":1.0,"startedAtMs":5}]}"#;

/// Runs the loop until the client has an update of the server list.
fn next_updates(
    net: &mut Net,
    client: &mut Discovery,
    directory: &mut Directory,
) -> Vec<ServerListUpdate> {
    for _ in 0..1_000 {
        let until = net.clock.now().plus(100_000);
        for ready in net.wait(Some(until)).unwrap() {
            if let crate::net::Ready::Conn(id, _) = ready {
                let updates = client.on_ready(net, id, directory);
                if !updates.is_empty() {
                    return updates;
                }
            }
        }
    }
    panic!("no update of the server list");
}

fn request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).unwrap()
}

fn answer(stream: &mut TcpStream, status: u16, body: &str) {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).unwrap();
}

#[test]
fn another_address_is_asked_for_the_whole_list_at_once() {
    let [old, new] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
    let mut client = Discovery::new(old.local_addr().unwrap(), Some(41), CallPacer::new(1, 3, 0));
    client.subscribe(&mut net);
    let (mut old_stream, _) = old.accept().unwrap();
    assert!(
        client
            .move_to(&mut net, old.local_addr().unwrap())
            .is_empty()
            && client.in_flight_call == Some(1)
    );
    assert!(client
        .move_to(&mut net, new.local_addr().unwrap())
        .is_empty());
    let mut stream = accept_call(&mut net, &mut client, &new);
    assert!(
        old_stream.read_to_end(&mut Vec::new()).is_ok(),
        "the watch at the old address is over"
    );
    assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
    answer(&mut stream, 200, LIST);
    assert!(matches!(
        &next_updates(&mut net, &mut client, &mut directory)[..],
        [ServerListUpdate::Complete(_)]
    ));
    assert!(request(&mut stream).contains("since=41"));
}

#[test]
fn watch_at_the_former_address_goes_on_until_the_new_one_is_called() {
    for ends in [false, true] {
        let (mut net, mut client, mut directory, _old, mut stream) =
            watching_of(CallPacer::new(1, 300, 10_000_000));
        let new = TcpListener::bind("127.0.0.1:0").unwrap();
        let moved = net.clock.now();
        client.move_to(&mut net, new.local_addr().unwrap());
        let at = client.earliest_call_at.unwrap();
        assert!(
            at > moved.plus(100_000) && at.since(moved) <= 2_000_000,
            "this seed has to wait"
        );
        if ends {
            drop(stream);
            assert_eq!(
                next_updates(&mut net, &mut client, &mut directory),
                [ServerListUpdate::Failed]
            );
        } else {
            answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
            let updates = next_updates(&mut net, &mut client, &mut directory);
            assert!(
                matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Draining)
            );
            assert!(client.in_flight_call.is_none(), "it is not renewed there");
        }
        assert_eq!(
            client.earliest_call_at,
            Some(at),
            "what the former address does moves nothing"
        );
        // The module asks meanwhile: nothing is called before that, and then once.
        client.subscribe(&mut net);
        let mut stream = accept_call(&mut net, &mut client, &new);
        assert!(net.clock.now() >= at && client.planned_call.is_none());
        assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
    }
}

#[test]
fn watch_is_renewed_at_once_and_a_failure_reported() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
    let mut client = Discovery::new(
        listener.local_addr().unwrap(),
        None,
        CallPacer::new(1, 3, 0),
    );
    assert!(client.subscribe(&mut net).is_empty());
    let (mut stream, _) = listener.accept().unwrap();
    net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
    client.on_ready(&mut net, client.conn.unwrap(), &mut directory);
    assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
    answer(&mut stream, 200, LIST);
    let first = next_updates(&mut net, &mut client, &mut directory);
    assert!(matches!(&first[..], [ServerListUpdate::Complete(lines)] if lines.len() == 1));
    assert!(request(&mut stream).starts_with("GET /registry/instances?since=41&timeout_ms=2000 "));
    answer(
        &mut stream,
        200,
        r#"{"generation":42,"reset":false,"instances":[]}"#,
    );
    assert!(matches!(
        &next_updates(&mut net, &mut client, &mut directory)[..],
        [ServerListUpdate::Changes(_)]
    ));
    assert!(request(&mut stream).contains("since=42"));
    answer(&mut stream, 503, "");
    assert_eq!(
        next_updates(&mut net, &mut client, &mut directory),
        [ServerListUpdate::Failed]
    );
    assert!(
        client.planned_call.is_some(),
        "it asks again without being told to"
    );
    let mut stream = accept_call(&mut net, &mut client, &listener);
    assert!(request(&mut stream).contains("since=42"));
    drop(stream);
    assert_eq!(
        next_updates(&mut net, &mut client, &mut directory),
        [ServerListUpdate::Failed]
    );
}

/// Runs the loop and the client's timers until the client calls, and accepts the connection.
fn accept_call(net: &mut Net, client: &mut Discovery, listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    for _ in 0..1_000 {
        net.wait(Some(net.clock.now().plus(10_000))).unwrap();
        let now = net.clock.now();
        for timer in net.wheel.due(now) {
            if let Timer::Discovery(call) = timer {
                client.on_timer(net, call, &mut Directory::default());
            }
        }
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).unwrap();
            let id = client.conn.unwrap();
            net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
            client.on_ready(net, id, &mut Directory::default());
            return stream;
        }
    }
    panic!("never asked");
}

#[test]
fn silent_watch_is_reopened_in_time_and_missed_changes_are_read() {
    let (mut net, mut client, mut directory, listener, silent) =
        watching_of(CallPacer::new(1, 300, 10_000_000));
    let begun = client.call_started_at;
    let mut updates = Vec::new();
    while updates.is_empty() {
        net.wait(Some(net.clock.now().plus(50_000))).unwrap();
        for timer in net.wheel.due(net.clock.now()) {
            if let Timer::Discovery(call) = timer {
                updates.extend(client.on_timer(&mut net, call, &mut directory));
            }
        }
    }
    assert_eq!(updates, [ServerListUpdate::Failed]);
    let line = client.take_log().remove(0);
    assert!(
        line.contains("no answer") && line.contains("Silent"),
        "{line}"
    );
    assert!(
        client.planned_call.is_some(),
        "it goes on without being told to"
    );
    let mut stream = accept_call(&mut net, &mut client, &listener);
    assert!(
        net.clock.now().since(begun) < 4_200_000,
        "with time left for its answer, before it counts as told"
    );
    assert!(request(&mut stream).contains("since=41&timeout_ms=100 "));
    answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
    let updates = next_updates(&mut net, &mut client, &mut directory);
    assert!(
        matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Draining)
    );
    drop(silent);
}

#[test]
fn one_of_many_brokers_asks_when_its_turn_has_come_and_only_once() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
    let pace = CallPacer::new(5, 4, 0);
    let first = pace.clone().on_start(Time(0), true).at;
    assert!(first > Time(10_000), "this seed has to wait");
    let mut client = Discovery::new(listener.local_addr().unwrap(), Some(41), pace);
    let began = net.clock.now();
    for _ in 0..3 {
        assert!(client.subscribe(&mut net).is_empty());
        assert!(
            client.conn.is_none() && client.last_call_number == 1,
            "one call is planned, and not made yet"
        );
    }
    let mut stream = accept_call(&mut net, &mut client, &listener);
    assert!(net.clock.now().since(began) >= first.0);
    assert!(request(&mut stream).contains("since=41"));
    // What fails is repeated later, however often the module asks meanwhile, and the drain is not
    // missed.
    answer(&mut stream, 503, "");
    assert_eq!(
        next_updates(&mut net, &mut client, &mut directory),
        [ServerListUpdate::Failed]
    );
    assert!(client.take_log()[0].contains("Failed, calls spread over 480 ms"));
    let calls = client.last_call_number;
    for _ in 0..3 {
        assert!(
            client.subscribe(&mut net).is_empty()
                && client.last_call_number == calls
                && client.planned_call == Some(calls)
        );
    }
    let mut stream = accept_call(&mut net, &mut client, &listener);
    assert!(request(&mut stream).contains("since=41"));
    answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
    let updates = next_updates(&mut net, &mut client, &mut directory);
    assert!(
        matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Draining)
    );
    // The watch goes on at once.
    assert!(request(&mut stream).contains("since=41"));
}

#[test]
fn local_agent_is_called_again_soon_and_its_doubtful_lists_are_confirmed() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
    let client = Discovery::new(
        listener.local_addr().unwrap(),
        None,
        CallPacer::for_agent(1),
    );
    let mut client = client.stopping_within(500_000);
    assert!(client.keeps_watching() && client.subscribe(&mut net).is_empty());
    let (mut stream, _) = listener.accept().unwrap();
    net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
    client.on_ready(&mut net, client.conn.unwrap(), &mut directory);
    assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1"));
    answer(&mut stream, 200, LIST);
    assert!(matches!(
        &next_updates(&mut net, &mut client, &mut directory)[..],
        [ServerListUpdate::Complete(_)]
    ));
    assert!(request(&mut stream).contains("since=41&timeout_ms=1000 "));
    answer(&mut stream, 200, EMPTY);
    let heard = net.clock.now();
    expect_complete_list_request(&mut net, &mut client, &mut directory, &mut stream);
    let until = client.unconfirmed_list.as_ref().unwrap().1;
    assert!(until.since(heard) >= 250_000 && until.since(net.clock.now()) <= 250_000);
    drop(stream);
    assert_eq!(
        next_updates(&mut net, &mut client, &mut directory),
        [ServerListUpdate::Failed]
    );
    let pause = client.earliest_call_at.unwrap().since(net.clock.now());
    assert!(
        pause <= 100_000 && client.take_log()[1].contains("Agent"),
        "{pause}"
    );
    // It is down for long: told once, and once more when it is back.
    for _ in 0..3 {
        client.subscribe(&mut net);
        let mut stream = accept_call(&mut net, &mut client, &listener);
        request(&mut stream);
        drop(stream);
        assert_eq!(
            next_updates(&mut net, &mut client, &mut directory),
            [ServerListUpdate::Failed]
        );
    }
    let lines = client.take_log();
    assert!(!lines.iter().any(|l| l.contains("failed")), "{lines:?}");
    client.subscribe(&mut net);
    let mut stream = accept_call(&mut net, &mut client, &listener);
    request(&mut stream);
    answer(&mut stream, 200, LIST);
    assert!(matches!(
        &next_updates(&mut net, &mut client, &mut directory)[..],
        [ServerListUpdate::Complete(_)]
    ));
    assert_eq!(client.take_log(), ["discovery: it answers again"]);
}

/// Takes descriptors for an owner until there are none left.
fn take_all(net: &mut Net, owner: Owner, at: SocketAddr) -> Vec<ConnId> {
    let mut taken = Vec::new();
    loop {
        match net.connect(owner, at) {
            Ok(id) => taken.push(id),
            Err(ConnectError::NoDescriptor(_)) => return taken,
            Err(ConnectError::Failed(e)) => panic!("{e}"),
        }
    }
}

#[test]
fn discovery_keeps_its_reserve_when_all_other_descriptors_are_used() {
    let [discovery, nodes] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
    net.set_listed_nodes(200);
    let at = nodes.local_addr().unwrap();
    let connections =
        take_all(&mut net, Owner::Frames, at).len() + take_all(&mut net, Owner::Platform, at).len();
    assert_eq!(
        connections, 38,
        "all of 64 but 24 of the process's own and two for discovery"
    );
    let mut client = Discovery::new(
        discovery.local_addr().unwrap(),
        Some(41),
        CallPacer::new(1, 3, 0),
    );
    assert!(client.subscribe(&mut net).is_empty() && client.in_flight_call == Some(1));
    let (mut stream, _) = discovery.accept().unwrap();
    net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
    client.on_ready(&mut net, client.conn.unwrap(), &mut directory);
    assert!(request(&mut stream).contains("since=41"));
    answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
    let updates = next_updates(&mut net, &mut client, &mut directory);
    assert!(
        matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Draining)
    );
}

#[test]
fn call_without_a_descriptor_is_no_discovery_failure_and_is_retried_soon() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut net = Net::new(64).unwrap();
    let at = listener.local_addr().unwrap();
    let connections = take_all(&mut net, Owner::Discovery, at);
    let others: Vec<TcpStream> = connections
        .iter()
        .map(|_| listener.accept().unwrap().0)
        .collect();
    // One of 300 brokers: after a failure it would wait for up to 2.1 s.
    let mut client = Discovery::new(at, None, CallPacer::new(1, 300, 10_000_000));
    assert!(client.subscribe(&mut net).is_empty() && client.in_flight_call.is_none());
    let (now, next) = (net.clock.now(), client.earliest_call_at.unwrap());
    assert!(client.planned_call.is_some() && next.since(now) <= 200_000);
    let line = client.take_log().remove(0);
    assert!(
        line.starts_with("discovery: no call could be made: all 2 descriptors are in use"),
        "{line}"
    );
    assert!(
        line.ends_with("Unmade, calls spread over 2100 ms"),
        "the spread stays: {line}"
    );
    connections.into_iter().for_each(|id| net.close(id));
    let mut stream = accept_call(&mut net, &mut client, &listener);
    assert!(request(&mut stream).starts_with("GET /registry/instances HTTP/1.1"));
    drop(others);
}

/// A client that holds version 41 with one node and watches, and its discovery's end of the
/// connection.
fn watching() -> (Net, Discovery, Directory, TcpListener, TcpStream) {
    watching_of(CallPacer::new(1, 3, 0))
}

/// The same at a pace.
fn watching_of(pace: CallPacer) -> (Net, Discovery, Directory, TcpListener, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default().with_cells(8));
    let mut client = Discovery::new(listener.local_addr().unwrap(), None, pace);
    client.subscribe(&mut net);
    let (mut stream, _) = listener.accept().unwrap();
    net.wait(Some(net.clock.now().plus(1_000_000))).unwrap();
    client.on_ready(&mut net, client.conn.unwrap(), &mut directory);
    request(&mut stream);
    answer(&mut stream, 200, LIST);
    assert_eq!(next_updates(&mut net, &mut client, &mut directory).len(), 1);
    assert!(request(&mut stream).contains("since=41"));
    (net, client, directory, listener, stream)
}

/// Runs the loop until the client requests the complete list, before which it has no updates.
fn expect_complete_list_request(
    net: &mut Net,
    client: &mut Discovery,
    directory: &mut Directory,
    stream: &mut TcpStream,
) {
    let before = client.last_call_number;
    while client.last_call_number == before {
        net.wait(Some(net.clock.now().plus(100_000))).unwrap();
        let updates = client.on_ready(net, client.conn.unwrap(), directory);
        assert!(updates.is_empty(), "it is not believed yet: {updates:?}");
    }
    assert!(request(stream).starts_with("GET /registry/instances HTTP/1.1\r\n"));
}

const EMPTY: &str = r#"{"generation":42,"reset":true,"instances":[]}"#;

#[test]
fn unreadable_list_changes_nothing_and_is_reported() {
    for bad in [
        "",
        "{",
        "[]",
        r#"{"generation":"x"}"#,
        r#"{"generation":42,"instances":[{"cell":1}]}"#,
    ] {
        let (mut net, mut client, mut directory, _listener, mut stream) = watching();
        answer(&mut stream, 200, bad);
        assert_eq!(
            next_updates(&mut net, &mut client, &mut directory),
            [ServerListUpdate::Failed],
            "{bad}"
        );
        assert!(client.take_log()[0].contains("unreadable list: "), "{bad}");
        assert_eq!((directory.len(), client.generation), (1, Some(41)), "{bad}");
    }
}

#[test]
fn an_empty_list_is_confirmed_before_it_is_believed() {
    for (second, expected_nodes) in [(LIST, 1), (EMPTY, 0)] {
        let (mut net, mut client, mut directory, _listener, mut stream) = watching();
        answer(&mut stream, 200, EMPTY);
        expect_complete_list_request(&mut net, &mut client, &mut directory, &mut stream);
        let line = client.take_log().remove(0);
        assert!(
            line.contains("doubted") && line.contains("empty, while 1 data nodes are known"),
            "{line}"
        );
        assert_eq!(directory.len(), 1);
        answer(&mut stream, 200, second);
        let updates = next_updates(&mut net, &mut client, &mut directory);
        assert!(
            matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines.len() == expected_nodes),
            "{updates:?}"
        );
        assert!(directory.len() == expected_nodes && client.unconfirmed_list.is_none());
    }
}

#[test]
fn older_list_is_confirmed_and_its_drains_hold_without_confirmation() {
    let back = LIST
        .replace("41", "40")
        .replace("true", "false")
        .replace("SERVING", "DRAINING");
    // Confirmed: what the whole list says holds, whatever its version.
    let (mut net, mut client, mut directory, _listener, mut stream) = watching();
    answer(&mut stream, 200, &back);
    expect_complete_list_request(&mut net, &mut client, &mut directory, &mut stream);
    assert!(client.take_log()[0].contains("version 40, while 41 is held"));
    answer(&mut stream, 200, &LIST.replace("41", "7"));
    let updates = next_updates(&mut net, &mut client, &mut directory);
    assert!(
        matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Ready)
    );
    assert!(
        request(&mut stream).contains("since=7"),
        "versions count from there"
    );
    // Not confirmed: the drain was heard, and is kept within the time for it; who serves is not
    // believed.
    let serves =
        r#"{"instanceId":"s-2","hostPort":"10.1.0.19:8080","cell":1,"lifecycle":"SERVING"}"#;
    let back = back.replace("}]}", &format!("}},{serves}]}}"));
    let (mut net, mut client, mut directory, _listener, mut stream) = watching();
    answer(&mut stream, 200, &back);
    expect_complete_list_request(&mut net, &mut client, &mut directory, &mut stream);
    let until = client.unconfirmed_list.as_ref().unwrap().1;
    assert!(
        client
            .on_timer(&mut net, CONFIRMATION_TIMER, &mut directory)
            .is_empty(),
        "there is time yet"
    );
    answer(&mut stream, 503, "");
    assert_eq!(
        next_updates(&mut net, &mut client, &mut directory),
        [ServerListUpdate::Failed]
    );
    while net.clock.now() < until {
        net.wait(Some(until)).unwrap();
    }
    let updates = client.on_timer(&mut net, CONFIRMATION_TIMER, &mut directory);
    let is_draining =
        |lines: &[ListedServer]| lines.len() == 1 && lines[0].mode == ServerMode::Draining;
    assert!(
        matches!(&updates[..], [ServerListUpdate::Changes(lines)] if is_draining(lines)),
        "{updates:?}"
    );
    assert!(
        client
            .on_timer(&mut net, CONFIRMATION_TIMER, &mut directory)
            .is_empty(),
        "once"
    );
}

/// What discovery sends before it resets the connection: a list without a length, whose last bytes
/// are spaces that tell nothing of whether more was to come.
#[test]
fn response_without_length_is_a_list_if_it_ends_and_none_if_it_is_reset() {
    for reset in [true, false] {
        let (mut net, mut client, mut directory, _listener, mut stream) = watching();
        let drains = LIST.replace("SERVING", "DRAINING");
        stream
            .write_all(format!("HTTP/1.1 200 X\r\n\r\n{drains}").as_bytes())
            .unwrap();
        if reset {
            // A close with nothing to wait for and a linger of zero is a reset.
            socket2::SockRef::from(&stream)
                .set_linger(Some(std::time::Duration::ZERO))
                .unwrap();
        }
        drop(stream);
        let updates = next_updates(&mut net, &mut client, &mut directory);
        match reset {
            true => assert_eq!(updates, [ServerListUpdate::Failed]),
            false => {
                assert!(
                    matches!(&updates[..], [ServerListUpdate::Complete(lines)] if lines[0].mode == ServerMode::Draining)
                )
            }
        }
    }
}

#[test]
fn refused_call_is_repeated_soon_and_a_drain_read_in_time() {
    for instances in [1, 6, 300] {
        // Discovery is down: its address refuses, and nobody else is given its port.
        let down =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        down.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        let address = down.local_addr().unwrap().as_socket().unwrap();
        let (mut net, mut directory) = (Net::new(64).unwrap(), Directory::default());
        let mut client =
            Discovery::new(address, Some(41), CallPacer::new(7, instances, 10_000_000));
        client.earliest_call_at = Some(net.clock.now());
        let mut refused = client.subscribe(&mut net).len();
        // No other call of the module's comes: the client goes on by itself.
        let began = net.clock.now();
        while refused < 4 && net.clock.now().since(began) < 20_000_000 {
            for ready in net.wait(Some(net.clock.now().plus(10_000))).unwrap() {
                if let crate::net::Ready::Conn(id, _) = ready {
                    refused += client.on_ready(&mut net, id, &mut directory).len();
                }
            }
            for timer in net.wheel.due(net.clock.now()) {
                if let Timer::Discovery(call) = timer {
                    refused += client.on_timer(&mut net, call, &mut directory).len();
                }
            }
        }
        assert_eq!(refused, 4, "{instances} brokers");
        // It is back, with a change.
        down.listen(128).unwrap();
        let (back, listener) = (net.clock.now(), TcpListener::from(down));
        let mut stream = accept_call(&mut net, &mut client, &listener);
        assert!(
            net.clock.now().since(back) <= 2_200_000,
            "{instances} brokers"
        );
        assert!(request(&mut stream).contains("since=41"));
        answer(&mut stream, 200, &LIST.replace("SERVING", "DRAINING"));
        assert_eq!(next_updates(&mut net, &mut client, &mut directory).len(), 1);
    }
}

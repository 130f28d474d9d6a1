//! What control machines have acknowledged or were told, when one of them ends or is cut off.

mod control_support;

use control_support::{call, configuration, order, wait_for, FakeRouter, Fleet, PATIENCE};
use lichenswitch_fleet::envelopes::{encode, EnvelopeReader, Incoming};
use lichenswitch_messages::{
    ControlToRouter, Envelope, PeerMessage, ServerRecord, ServerState, PROTOCOL_VERSION,
};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// A control machine, as far as another one sees it.
struct FakePeer {
    stream: TcpStream,
    reader: EnvelopeReader,
}

impl FakePeer {
    /// Connects, and says that it is at this address.
    fn connect(address: SocketAddr, own: &str, identity: u64) -> FakePeer {
        let stream = wait_for("a control machine", || TcpStream::connect(address).ok());
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut peer = FakePeer {
            stream,
            reader: EnvelopeReader::default(),
        };
        peer.say(PeerMessage::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: own.to_owned(),
            address: own.to_owned(),
            identity,
            eligible: false,
            known_peers: Vec::new(),
        });
        peer
    }

    fn say(&mut self, message: PeerMessage) {
        self.stream
            .write_all(&encode(&Envelope::Peer(message)).unwrap())
            .unwrap();
    }

    /// The next message of a kind.
    fn next_of<T>(&mut self, mut pick: impl FnMut(PeerMessage) -> Option<T>) -> T {
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            if let Some(Incoming::Envelope(Envelope::Peer(message))) =
                self.reader.next_message().unwrap()
            {
                if let Some(found) = pick(message) {
                    return found;
                }
                continue;
            }
            let mut bytes = [0; 4_096];
            let count = self.stream.read(&mut bytes).unwrap();
            assert!(count > 0, "the control machine has closed the connection");
            self.reader.push(&bytes[..count]);
        }
        panic!("nothing of the kind came");
    }

    /// Waits until it is known as connected: it is sent the whole table then.
    fn await_greeting(&mut self) {
        self.next_of(|message| {
            matches!(
                message,
                PeerMessage::Servers {
                    is_complete: true,
                    ..
                }
            )
            .then_some(())
        });
    }
}

/// The table of servers on the disk of a machine, as far as it is text.
fn table_on_disk(fleet: &Fleet, place: usize) -> String {
    let bytes =
        std::fs::read(fleet.machines[place].folder.join("data/servers")).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn state_told(records: &[ServerRecord], instance: &str) -> Option<ServerState> {
    records
        .iter()
        .find(|record| record.instance == instance)
        .map(|record| record.state)
}

#[test]
fn that_a_server_leaves_is_told_on_by_whoever_hears_it() {
    let mut fleet = Fleet::of("told-on", &[true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let machine = &fleet.machines[0];
    // Two machines that the third connects, and that are not connected to each other.
    let mut one = FakePeer::connect(machine.internal, "127.0.0.1:9", 71);
    let mut other = FakePeer::connect(machine.internal, "127.0.0.1:10", 72);
    one.await_greeting();
    other.await_greeting();
    let gone = ServerRecord {
        instance: "i-5".to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    };
    one.say(PeerMessage::Servers {
        ack: 7,
        records: vec![gone],
        is_complete: false,
    });
    one.next_of(|message| matches!(message, PeerMessage::ServersAck { ack: 7 }).then_some(()));
    // What is sent later marks the end of what would have been told on.
    let address = machine.control_plane;
    std::thread::spawn(move || drop(call(address, "POST", "/instances/i-6/deregister", &[], "")));
    let told = other.next_of(|message| match message {
        PeerMessage::Servers { records, .. } => state_told(&records, "i-5")
            .map(Some)
            .or_else(|| state_told(&records, "i-6").is_some().then_some(None)),
        _ => None,
    });
    assert_eq!(
        told,
        Some(ServerState::Gone),
        "the one that said so may be cut off from the others"
    );
}

#[test]
fn who_had_left_before_all_machines_were_killed_stays_gone() {
    let mut fleet = Fleet::of("stays-gone", &[true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    let address = fleet.machines[0].control_plane;
    let beat = |sequence| {
        wait_for("a beat", || {
            control_support::beat(address, "i-8", "ready", sequence)
                .ok()
                .filter(|a| a.status == 200)
        })
    };
    beat(4);
    let left = wait_for("its end", || {
        call(address, "POST", "/instances/i-8/deregister", &[], "")
            .ok()
            .filter(|a| a.status == 200)
    });
    assert_eq!(left.status, 200);
    // A server that is gone has no address any more.
    let ended = |table: String| table.contains("i-8") && !table.contains(":8003");
    wait_for("its end on all disks", || {
        (0..3)
            .map(|place| table_on_disk(&fleet, place))
            .all(ended)
            .then_some(())
    });
    (0..3).for_each(|place| fleet.kill(place));
    (0..3).for_each(|place| fleet.start(place, false));
    // A beat from before its end, which was long on its way.
    beat(3);
    let mut router = FakeRouter::connect(fleet.machines[1].internal, "after");
    let state = router.next_of(|message| match message {
        ControlToRouter::Servers {
            records,
            is_complete: whole,
            ..
        } => state_told(&records, "i-8")
            .map(Some)
            .or_else(|| whole.then_some(None)),
        _ => None,
    });
    assert_ne!(state, Some(ServerState::Ready));
}

/// A caller that keeps its connection, as servers and operators do.
struct KeptCaller {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl KeptCaller {
    /// The status and body of an answer; `None`: refused, closed or silent for a second.
    fn ask(&mut self, method: &str, path: &str) -> Option<(u16, String)> {
        let answer = self.try_ask(method, path).ok();
        if answer.is_none() {
            self.stream = None;
            // A dead port refuses at once.
            std::thread::yield_now();
        }
        answer
    }

    fn try_ask(&mut self, method: &str, path: &str) -> std::io::Result<(u16, String)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?,
        };
        stream.set_read_timeout(Some(Duration::from_secs(1)))?;
        stream.write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        )?;
        let mut text = Vec::new();
        loop {
            let mut bytes = [0; 4_096];
            let count = stream.read(&mut bytes)?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            text.extend_from_slice(&bytes[..count]);
            if let Some((status, body, ends)) = whole_answer(&String::from_utf8_lossy(&text)) {
                self.stream = Some(stream).filter(|_| !ends);
                return Ok((status, body));
            }
        }
    }
}

/// Status and body of an answer that is whole, and whether it ends its connection.
fn whole_answer(text: &str) -> Option<(u16, String, bool)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let head = head.to_ascii_lowercase();
    let field = |name: &str| {
        head.lines()
            .find_map(|line| line.strip_prefix(name))
            .map(str::trim)
    };
    let length: usize = field("content-length:")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (body.len() == length).then(|| {
        (
            status,
            body.to_owned(),
            field("connection:") == Some("close"),
        )
    })
}

/// The version of a configuration.
fn version_of(body: &str) -> u64 {
    let version = body
        .strip_prefix("{\"version\":")
        .and_then(|rest| rest.split_once(','));
    version.unwrap().0.parse().unwrap()
}

/// What callers have been told, and when they end.
#[derive(Default)]
struct Told {
    version: AtomicU64,
    reads: AtomicU64,
    over: AtomicBool,
}

/// Changes the configuration again and again. Each order goes to the machines in turn until one
/// acknowledges it; none may refuse it.
fn change_until_over(addresses: &[SocketAddr], told: &Told) {
    let mut place = 0;
    while !told.over.load(Ordering::SeqCst) {
        let base = told.version.load(Ordering::SeqCst);
        let body = configuration(base + 1, 1);
        let acknowledged = loop {
            place += 1;
            match order(addresses[place % addresses.len()], REPLACE, base, &body) {
                Ok(answer) if answer.status == 200 => break true,
                Ok(answer) => assert_eq!(answer.status, 503, "{answer:?}"),
                Err(_) if told.over.load(Ordering::SeqCst) => break false,
                Err(_) => std::thread::yield_now(),
            }
        };
        if acknowledged {
            told.version.store(base + 1, Ordering::SeqCst);
        }
    }
}

/// Reads the configuration at one machine again and again: never older than what was acknowledged
/// before the read was sent.
fn read_until_over(address: SocketAddr, told: &Told) {
    let mut caller = KeptCaller {
        address,
        stream: None,
    };
    while !told.over.load(Ordering::SeqCst) {
        let least = told.version.load(Ordering::SeqCst);
        match caller.ask("GET", "/configuration/describe") {
            Some((200, body)) => {
                let version = version_of(&body);
                assert!(
                    version >= least,
                    "{address} told version {version}, {least} was acknowledged"
                );
                told.reads.fetch_add(1, Ordering::SeqCst);
            }
            Some((status, body)) => assert_eq!(status, 503, "{body}"),
            None => {}
        }
    }
}

/// Servers that leave, one after the other, each told to the machines in turn until one
/// acknowledges it. Tells who was acknowledged.
fn leave_until_over(addresses: &[SocketAddr], told: &Told) -> Vec<String> {
    let callers = addresses.iter().map(|address| KeptCaller {
        address: *address,
        stream: None,
    });
    let mut callers: Vec<KeptCaller> = callers.collect();
    let (mut left, mut place) = (Vec::new(), 0);
    while !told.over.load(Ordering::SeqCst) {
        let instance = format!("i-{:04}", left.len());
        let _ = control_support::beat(addresses[place % addresses.len()], &instance, "ready", 2);
        let acknowledged = loop {
            place += 1;
            let caller = &mut callers[place % addresses.len()];
            match caller.ask("POST", &format!("/instances/{instance}/deregister")) {
                Some((200, _)) => break true,
                Some((status, body)) => assert_eq!(status, 503, "{body}"),
                None if told.over.load(Ordering::SeqCst) => break false,
                None => {}
            }
        };
        if acknowledged {
            left.push(instance);
        }
    }
    left
}

#[test]
fn what_was_acknowledged_while_machines_are_stopped_in_turn_holds_at_all_of_them() {
    let mut fleet = Fleet::of("in-turn", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_whole();
    let addresses: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|machine| machine.control_plane)
        .collect();
    let told = Told::default();
    told.version.store(1, Ordering::SeqCst);
    let left = std::thread::scope(|scope| {
        let operator = scope.spawn(|| change_until_over(&addresses, &told));
        let readers: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| read_until_over(*address, &told)))
            .collect();
        let servers = scope.spawn(|| leave_until_over(&addresses, &told));
        for place in 0..4 {
            let (status, took) = fleet.stop(place);
            println!("machine {place} ended within {took:?}");
            assert_eq!(status.code(), Some(0));
            assert!(took < Duration::from_millis(7_000), "{took:?}");
            fleet.start(place, false);
            fleet.await_whole();
        }
        told.over.store(true, Ordering::SeqCst);
        operator.join().unwrap();
        readers
            .into_iter()
            .for_each(|reader| reader.join().unwrap());
        servers.join().unwrap()
    });
    let (version, reads) = (
        told.version.load(Ordering::SeqCst),
        told.reads.load(Ordering::SeqCst),
    );
    println!(
        "{version} versions, {reads} reads, {} servers that left",
        left.len()
    );
    assert!(version > 10 && reads > 10 && left.len() > 10);
    for place in 0..4 {
        // The last order may have been taken without an acknowledgement.
        let read_back = version_of(&fleet.describe(place));
        assert!(
            (version..=version + 1).contains(&read_back),
            "{read_back}, and {version} was acknowledged"
        );
        let mut router = FakeRouter::connect(fleet.machines[place].internal, "reader");
        let mut ready = Vec::new();
        router.next_of(|message| match message {
            ControlToRouter::Servers {
                records,
                is_complete: whole,
                ..
            } => {
                let found = records
                    .into_iter()
                    .filter(|record| record.state == ServerState::Ready);
                ready.extend(found.map(|record| record.instance));
                whole.then_some(())
            }
            _ => None,
        });
        let back: Vec<&String> = left
            .iter()
            .filter(|instance| ready.contains(instance))
            .collect();
        assert!(back.is_empty(), "machine {place} has {back:?} back");
    }
}

#[test]
fn a_caller_that_reads_slowly_gets_the_whole_answer() {
    let mut fleet = Fleet::of("slow-reader", &[true]);
    fleet.start_first();
    // Longer than what the sockets of both ends hold, and quick to check.
    let note = format!("{{\"note\":\"{}\",", "x".repeat(4_100_000));
    let body = configuration(1, 1).replacen('{', &note, 1);
    assert_eq!(fleet.order(REPLACE, 0, &body).status, 200);
    for (head, half_close) in [("Connection: close\r\n", false), ("", true)] {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket
            .connect(&fleet.machines[0].control_plane.into())
            .unwrap();
        let mut stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream
            .write_all(
                format!("GET /configuration/describe HTTP/1.1\r\nHost: x\r\n{head}\r\n").as_bytes(),
            )
            .unwrap();
        if half_close {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        let mut answer = vec![0; 1];
        stream.read_exact(&mut answer).unwrap();
        // The machine answers others for longer than it lingers on a connection whose answer has
        // been read.
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(2_600) {
            let status = call(fleet.machines[0].control_plane, "GET", "/status", &[], "")
                .unwrap()
                .status;
            assert_eq!(status, 200);
        }
        let rest = stream.read_to_end(&mut answer);
        let told = String::from_utf8_lossy(&answer);
        let whole = told
            .split_once("\r\n\r\n")
            .is_some_and(|(_, told)| told == body);
        assert!(
            whole,
            "{} of {} bytes, {rest:?}, half closed: {half_close}",
            answer.len(),
            body.len()
        );
    }
}

/// One order, sent to the machines in turn until the answer is clear.
fn verdict(addresses: &[SocketAddr], first: usize, base: u64, body: &str) -> u16 {
    let began = Instant::now();
    for place in (0..addresses.len()).cycle().skip(first) {
        match order(addresses[place], REPLACE, base, body) {
            Ok(answer) if answer.status != 503 => return answer.status,
            _ if began.elapsed() > PATIENCE => break,
            _ => std::thread::yield_now(),
        }
    }
    panic!("no clear answer");
}

#[test]
fn of_eight_orders_under_one_number_one_wins_and_its_repeats_while_the_primary_is_killed() {
    let mut fleet = Fleet::of("eight", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_whole();
    let addresses: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|machine| machine.control_plane)
        .collect();
    let mut taken: Vec<(u64, String)> = Vec::new();
    for base in 1..6 {
        let primary = fleet.primary(&[0, 1, 2, 3]);
        // Two configurations under one number, each sent by four callers at once.
        let bodies = [configuration(base + 1, 2), configuration(base + 1, 3)];
        let verdicts: Vec<(usize, u16)> = std::thread::scope(|scope| {
            let (addresses, bodies) = (&addresses, &bodies);
            let send = |n: usize| (n % 2, verdict(addresses, n / 2, base, &bodies[n % 2]));
            let callers: Vec<_> = (0..8).map(|n| scope.spawn(move || send(n))).collect();
            fleet.kill(primary);
            callers
                .into_iter()
                .map(|caller| caller.join().unwrap())
                .collect()
        });
        let winner = verdicts
            .iter()
            .find(|(_, status)| *status == 200)
            .unwrap()
            .0;
        for (which, status) in &verdicts {
            assert_eq!(
                *status,
                if *which == winner { 200 } else { 412 },
                "{verdicts:?}"
            );
        }
        taken.push((base, bodies[winner].clone()));
        fleet.start(primary, false);
        fleet.await_whole();
        assert_eq!(fleet.describe(primary), bodies[winner]);
        assert_eq!(verdict(&addresses, primary, base, &bodies[1 - winner]), 412);
    }
    for (base, body) in &taken {
        (0..4)
            .for_each(|place| assert_eq!(verdict(&addresses, place, *base, body), 200, "a repeat"));
    }
}

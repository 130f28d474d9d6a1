//! What control machines have acknowledged holds when one of them stops or is cut off.

mod control_support;

use control_support::{
    call, configuration, send_order, wait_for, ControlFleet, FakeRouter, WAIT_TIMEOUT,
};
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
    /// Connects, and sends a handshake with this address.
    fn connect(address: SocketAddr, own: &str, identity: u64) -> FakePeer {
        let stream = wait_for("a control machine", || TcpStream::connect(address).ok());
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let mut peer = FakePeer {
            stream,
            reader: EnvelopeReader::default(),
        };
        peer.send(PeerMessage::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: own.to_owned(),
            address: own.to_owned(),
            identity,
            eligible: false,
            known_peers: Vec::new(),
        });
        peer
    }

    fn send(&mut self, message: PeerMessage) {
        self.stream
            .write_all(&encode(&Envelope::Peer(message)).unwrap())
            .unwrap();
    }

    /// The next message that matches.
    fn next_matching<T>(&mut self, mut pick: impl FnMut(PeerMessage) -> Option<T>) -> T {
        let started_at = Instant::now();
        while started_at.elapsed() < WAIT_TIMEOUT {
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

    /// Waits until its handshake is handled: it is sent the complete table then.
    fn await_initial_state(&mut self) {
        self.next_matching(|message| {
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
fn table_on_disk(fleet: &ControlFleet, index: usize) -> String {
    let bytes =
        std::fs::read(fleet.machines[index].folder.join("data/servers")).unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn state_of(records: &[ServerRecord], instance: &str) -> Option<ServerState> {
    records
        .iter()
        .find(|record| record.instance == instance)
        .map(|record| record.state)
}

#[test]
fn departure_is_relayed_by_machine_that_receives_it() {
    let mut fleet = ControlFleet::of("told-on", &[true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let machine = &fleet.machines[0];
    // Two machines that are connected to the third, and not to each other.
    let mut one = FakePeer::connect(machine.internal, "127.0.0.1:9", 71);
    let mut other = FakePeer::connect(machine.internal, "127.0.0.1:10", 72);
    one.await_initial_state();
    other.await_initial_state();
    let gone = ServerRecord {
        instance: "i-5".to_owned(),
        state: ServerState::Gone,
        ..ServerRecord::default()
    };
    one.send(PeerMessage::Servers {
        ack: 7,
        records: vec![gone],
        is_complete: false,
    });
    one.next_matching(|message| {
        matches!(message, PeerMessage::ServersAck { ack: 7 }).then_some(())
    });
    // A later update marks the end of what could have been relayed.
    let address = machine.control_plane;
    std::thread::spawn(move || drop(call(address, "POST", "/instances/i-6/deregister", &[], "")));
    let progress = other.next_matching(|message| match message {
        PeerMessage::Servers { records, .. } => state_of(&records, "i-5")
            .map(Some)
            .or_else(|| state_of(&records, "i-6").is_some().then_some(None)),
        _ => None,
    });
    assert_eq!(
        progress,
        Some(ServerState::Gone),
        "the one that said so may be cut off from the others"
    );
}

#[test]
fn departed_server_stays_gone_after_all_machines_are_killed() {
    let mut fleet = ControlFleet::of("stays-gone", &[true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    let address = fleet.machines[0].control_plane;
    let send_heartbeat = |sequence| {
        wait_for("a beat", || {
            control_support::send_heartbeat(address, "i-8", "ready", sequence)
                .ok()
                .filter(|a| a.status == 200)
        })
    };
    send_heartbeat(4);
    let left = wait_for("its end", || {
        call(address, "POST", "/instances/i-8/deregister", &[], "")
            .ok()
            .filter(|a| a.status == 200)
    });
    assert_eq!(left.status, 200);
    // The record of a server that is gone has no address.
    let ended = |table: String| table.contains("i-8") && !table.contains(":8003");
    wait_for("its end on all disks", || {
        (0..3)
            .map(|index| table_on_disk(&fleet, index))
            .all(ended)
            .then_some(())
    });
    (0..3).for_each(|index| fleet.kill(index));
    (0..3).for_each(|index| fleet.start(index, false));
    // A heartbeat from before its end, which was delayed on its way.
    send_heartbeat(3);
    let mut router = FakeRouter::connect(fleet.machines[1].internal, "after");
    let state = router.next_matching(|message| match message {
        ControlToRouter::Servers {
            records,
            is_complete: whole,
            ..
        } => state_of(&records, "i-8")
            .map(Some)
            .or_else(|| whole.then_some(None)),
        _ => None,
    });
    assert_ne!(state, Some(ServerState::Ready));
}

/// A caller with a persistent connection, as servers and operators have.
struct PersistentCaller {
    address: SocketAddr,
    stream: Option<TcpStream>,
}

impl PersistentCaller {
    /// The status and body of a response; `None`: refused, closed or silent for a second.
    fn call_once(&mut self, method: &str, path: &str) -> Option<(u16, String)> {
        let response = self.try_ask(method, path).ok();
        if response.is_none() {
            self.stream = None;
            // A dead port refuses at once.
            std::thread::yield_now();
        }
        response
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
            if let Some((status, body, ends)) = complete_response(&String::from_utf8_lossy(&text)) {
                self.stream = Some(stream).filter(|_| !ends);
                return Ok((status, body));
            }
        }
    }
}

/// Status and body of a complete response, and whether it closes its connection.
fn complete_response(text: &str) -> Option<(u16, String, bool)> {
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
        .and_then(|delay| delay.split_once(','));
    version.unwrap().0.parse().unwrap()
}

/// The progress of the callers, and whether they have to stop.
#[derive(Default)]
struct Progress {
    version: AtomicU64,
    reads: AtomicU64,
    is_stopped: AtomicBool,
}

/// Changes the configuration again and again. Each order goes to the machines in turn until one
/// acknowledges it; none may refuse it.
fn change_until_stopped(addresses: &[SocketAddr], progress: &Progress) {
    let mut index = 0;
    while !progress.is_stopped.load(Ordering::SeqCst) {
        let base = progress.version.load(Ordering::SeqCst);
        let body = configuration(base + 1, 1);
        let acknowledged = loop {
            index += 1;
            match send_order(addresses[index % addresses.len()], REPLACE, base, &body) {
                Ok(response) if response.status == 200 => break true,
                Ok(response) => assert_eq!(response.status, 503, "{response:?}"),
                Err(_) if progress.is_stopped.load(Ordering::SeqCst) => break false,
                Err(_) => std::thread::yield_now(),
            }
        };
        if acknowledged {
            progress.version.store(base + 1, Ordering::SeqCst);
        }
    }
}

/// Reads the configuration at one machine again and again: never older than what was acknowledged
/// before the read was sent.
fn read_until_stopped(address: SocketAddr, progress: &Progress) {
    let mut caller = PersistentCaller {
        address,
        stream: None,
    };
    while !progress.is_stopped.load(Ordering::SeqCst) {
        let least = progress.version.load(Ordering::SeqCst);
        match caller.call_once("GET", "/configuration/describe") {
            Some((200, body)) => {
                let version = version_of(&body);
                assert!(
                    version >= least,
                    "{address} told version {version}, {least} was acknowledged"
                );
                progress.reads.fetch_add(1, Ordering::SeqCst);
            }
            Some((status, body)) => assert_eq!(status, 503, "{body}"),
            None => {}
        }
    }
}

/// Deregisters servers one after the other, each at the machines in turn until one acknowledges it.
/// Returns the instances that were acknowledged.
fn deregister_until_stopped(addresses: &[SocketAddr], progress: &Progress) -> Vec<String> {
    let callers = addresses.iter().map(|address| PersistentCaller {
        address: *address,
        stream: None,
    });
    let mut callers: Vec<PersistentCaller> = callers.collect();
    let (mut left, mut index) = (Vec::new(), 0);
    while !progress.is_stopped.load(Ordering::SeqCst) {
        let instance = format!("i-{:04}", left.len());
        let _ = control_support::send_heartbeat(
            addresses[index % addresses.len()],
            &instance,
            "ready",
            2,
        );
        let acknowledged = loop {
            index += 1;
            let caller = &mut callers[index % addresses.len()];
            match caller.call_once("POST", &format!("/instances/{instance}/deregister")) {
                Some((200, _)) => break true,
                Some((status, body)) => assert_eq!(status, 503, "{body}"),
                None if progress.is_stopped.load(Ordering::SeqCst) => break false,
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
fn acknowledged_changes_hold_at_all_machines_through_rolling_restart() {
    let mut fleet = ControlFleet::of("in-turn", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_all_voters();
    let addresses: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|machine| machine.control_plane)
        .collect();
    let progress = Progress::default();
    progress.version.store(1, Ordering::SeqCst);
    let left = std::thread::scope(|scope| {
        let operator = scope.spawn(|| change_until_stopped(&addresses, &progress));
        let readers: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| read_until_stopped(*address, &progress)))
            .collect();
        let servers = scope.spawn(|| deregister_until_stopped(&addresses, &progress));
        for index in 0..4 {
            let (status, took) = fleet.stop(index);
            println!("machine {index} ended within {took:?}");
            assert_eq!(status.code(), Some(0));
            assert!(took < Duration::from_millis(7_000), "{took:?}");
            fleet.start(index, false);
            fleet.await_all_voters();
        }
        progress.is_stopped.store(true, Ordering::SeqCst);
        operator.join().unwrap();
        readers
            .into_iter()
            .for_each(|reader| reader.join().unwrap());
        servers.join().unwrap()
    });
    let (version, reads) = (
        progress.version.load(Ordering::SeqCst),
        progress.reads.load(Ordering::SeqCst),
    );
    println!(
        "{version} versions, {reads} reads, {} servers that left",
        left.len()
    );
    assert!(version > 10 && reads > 10 && left.len() > 10);
    for index in 0..4 {
        // The last order may have been accepted without an acknowledgement.
        let final_configuration = version_of(&fleet.describe(index));
        assert!(
            (version..=version + 1).contains(&final_configuration),
            "{final_configuration}, and {version} was acknowledged"
        );
        let mut router = FakeRouter::connect(fleet.machines[index].internal, "reader");
        let mut ready = Vec::new();
        router.next_matching(|message| match message {
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
        assert!(back.is_empty(), "machine {index} has {back:?} back");
    }
}

#[test]
fn slow_reader_gets_complete_response() {
    let mut fleet = ControlFleet::of("slow-reader", &[true]);
    fleet.start_first();
    // Longer than the socket buffers of both ends, and quick to check.
    let note = format!("{{\"note\":\"{}\",", "x".repeat(4_100_000));
    let body = configuration(1, 1).replacen('{', &note, 1);
    assert_eq!(fleet.send_order(REPLACE, 0, &body).status, 200);
    for (head, half_close) in [("Connection: close\r\n", false), ("", true)] {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        socket
            .connect(&fleet.machines[0].control_plane.into())
            .unwrap();
        let mut stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
            .write_all(
                format!("GET /configuration/describe HTTP/1.1\r\nHost: x\r\n{head}\r\n").as_bytes(),
            )
            .unwrap();
        if half_close {
            stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        let mut response = vec![0; 1];
        stream.read_exact(&mut response).unwrap();
        // The machine answers others for longer than it lingers on a connection whose response has
        // been read.
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(2_600) {
            let status = call(fleet.machines[0].control_plane, "GET", "/status", &[], "")
                .unwrap()
                .status;
            assert_eq!(status, 200);
        }
        let delay = stream.read_to_end(&mut response);
        let progress = String::from_utf8_lossy(&response);
        let whole = progress
            .split_once("\r\n\r\n")
            .is_some_and(|(_, progress)| progress == body);
        assert!(
            whole,
            "{} of {} bytes, {delay:?}, half closed: {half_close}",
            response.len(),
            body.len()
        );
    }
}

/// One order, sent to the machines in turn until the response is definite.
fn verdict(addresses: &[SocketAddr], first: usize, base: u64, body: &str) -> u16 {
    let started_at = Instant::now();
    for index in (0..addresses.len()).cycle().skip(first) {
        match send_order(addresses[index], REPLACE, base, body) {
            Ok(response) if response.status != 503 => return response.status,
            _ if started_at.elapsed() > WAIT_TIMEOUT => break,
            _ => std::thread::yield_now(),
        }
    }
    panic!("no clear answer");
}

#[test]
fn one_of_eight_conflicting_orders_wins_while_primary_is_killed() {
    let mut fleet = ControlFleet::of("eight", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(
        fleet.send_order(REPLACE, 0, &configuration(1, 1)).status,
        200
    );
    fleet.await_all_voters();
    let addresses: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|machine| machine.control_plane)
        .collect();
    let mut accepted: Vec<(u64, String)> = Vec::new();
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
        accepted.push((base, bodies[winner].clone()));
        fleet.start(primary, false);
        fleet.await_all_voters();
        assert_eq!(fleet.describe(primary), bodies[winner]);
        assert_eq!(verdict(&addresses, primary, base, &bodies[1 - winner]), 412);
    }
    for (base, body) in &accepted {
        (0..4)
            .for_each(|index| assert_eq!(verdict(&addresses, index, *base, body), 200, "a repeat"));
    }
}

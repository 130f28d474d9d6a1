//! A control process that is told to end while its disk stalls: whoever is connected to it goes on
//! elsewhere at once.

use lichenswitch_emulators::fleet_processes::{FleetProcesses, Role};
use lichenswitch_emulators::operator::document::{replace, Route};
use lichenswitch_emulators::operator::{Operator, Order, Outcome, Verb};
use lichenswitch_emulators::stream_client::message::Call;
use lichenswitch_soak::volatile_disk::STALL_FILE;
use std::io::{ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

/// `gracePeriodS`. A control process ends 1.5 s before it would be killed.
const GRACE_SECONDS: u64 = 4;
/// When it ends at the latest, and a heartbeat's interval later.
const CLOSED_WITHIN: Duration = Duration::from_millis(2_500 + 400);
/// Of the processes and this test on a busy machine.
const MARGIN: Duration = Duration::from_millis(500);
/// When its internal listener closes at the latest, after its connections have: an ending process
/// closes them first, and may not run for a moment in between. The disk stalls for longer.
const LISTENER_CLOSED_WITHIN: Duration = Duration::from_millis(500);
/// Interval of attempts to connect meanwhile.
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(15);

/// An order for this version, on top of the one before it.
fn order(version: u64) -> Order {
    let route = Route::new("r", "host.example", "/r/", "pool");
    Order {
        verb: Verb::Replace,
        base: version - 1,
        body: replace(version, &[route]),
    }
}

/// Waits until a machine votes: before that it may have nothing to write.
fn await_vote(address: SocketAddr) {
    let began = Instant::now();
    let votes = || {
        let status = Call::get("/status").send(address, PATIENCE).ok()?;
        let status: serde_json::Value = serde_json::from_slice(&status.body).ok()?;
        Some(matches!(
            status["group"]["role"].as_str()?,
            "voter" | "primary"
        ))
    };
    while votes() != Some(true) {
        assert!(began.elapsed() < PATIENCE, "it does not vote");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// How long a connection stays open on which nothing is said.
fn open_for(mut connection: TcpStream, since: Instant) -> Duration {
    connection.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut bytes = [0; 4_096];
    while matches!(connection.read(&mut bytes), Ok(read) if read > 0) {}
    since.elapsed()
}

/// Whether connections to this address are refused from some moment within this time on.
fn is_refused_within(address: SocketAddr, time: Duration) -> bool {
    let deadline = Instant::now() + time;
    loop {
        let refusal = TcpStream::connect(address).map_err(|error| error.kind());
        if matches!(refusal, Err(ErrorKind::ConnectionRefused)) {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(CONNECT_INTERVAL);
    }
}

#[test]
fn a_control_process_that_ends_with_a_stalled_disk_closes_its_connections() {
    let program = Path::new(env!("CARGO_BIN_EXE_lichenswitch-volatile-fleet"));
    let mut fleet = FleetProcesses::new(program, 4)
        .unwrap()
        .with_grace(GRACE_SECONDS);
    (0..4).for_each(|machine| fleet.start(Role::Control, machine, true).unwrap());
    let control = fleet.control();
    let operator = Operator::new(control.clone());
    assert_eq!(operator.send(&order(1), 0, PATIENCE), Outcome::Acknowledged);
    let stalled = 3;
    await_vote(control[stalled]);
    let file = fleet.disk(Role::Control, stalled).join(STALL_FILE);
    std::fs::write(&file, "").unwrap();
    // Its disk has something to write, which the others acknowledge without it.
    assert_eq!(operator.send(&order(2), 0, PATIENCE), Outcome::Acknowledged);

    let caller = TcpStream::connect(control[stalled]).unwrap();
    let internal = SocketAddr::new(control[stalled].ip(), 7_300);
    let peer = TcpStream::connect(internal).unwrap();
    let reported = Instant::now();
    fleet.terminate(Role::Control, stalled);
    let (caller, peer) = (open_for(caller, reported), open_for(peer, reported));
    assert!(
        caller < CLOSED_WITHIN + MARGIN,
        "a caller waited for {caller:?}"
    );
    assert!(peer < CLOSED_WITHIN + MARGIN, "a peer waited for {peer:?}");
    assert!(
        is_refused_within(internal, LISTENER_CLOSED_WITHIN),
        "nobody connects any more"
    );
    assert!(fleet.ended().is_empty(), "it waits for its disk still");

    std::fs::remove_file(&file).unwrap();
    let began = Instant::now();
    while fleet.ended().is_empty() {
        assert!(began.elapsed() < PATIENCE, "it ends once its disk goes on");
        std::thread::sleep(Duration::from_millis(10));
    }
}

//! Processes with a processor quota: they run for a moment, and are paused for the rest of each
//! tenth of a second. No other process takes them for dead.

use lichenswitch_emulators::fleet_processes::{FleetProcesses, Role};
use lichenswitch_emulators::operator::document::{replace, Route};
use lichenswitch_emulators::operator::{Operator, Order, Outcome, Verb};
use lichenswitch_emulators::stream_client::message::Call;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 4;
/// Time for which a process runs in each tenth of a second, and is paused.
const RUN_DURATION: Duration = Duration::from_millis(15);
const PAUSE_DURATION: Duration = Duration::from_millis(85);
const TEST_TIMEOUT: Duration = Duration::from_secs(15);

fn order(version: u64) -> Order {
    let route = Route::new("r", "host.example", "/r/", "pool");
    Order {
        verb: Verb::Replace,
        base: version - 1,
        body: replace(version, &[route]),
    }
}

/// The epoch and the primary that a machine reports. It may join after the first order was
/// acknowledged, so the test waits until it knows them.
fn group(address: SocketAddr) -> (String, String) {
    let started_at = Instant::now();
    loop {
        if let Some(group) = group_reported(address) {
            return group;
        }
        assert!(started_at.elapsed() < TEST_TIMEOUT, "no primary is known");
        thread::sleep(Duration::from_millis(10));
    }
}

fn group_reported(address: SocketAddr) -> Option<(String, String)> {
    let status = Call::get("/status").send(address, TEST_TIMEOUT).ok()?;
    let status: serde_json::Value = serde_json::from_slice(&status.body).ok()?;
    let text = |field: &str| Some(status["group"][field].as_str()?.to_owned());
    Some((text("epoch")?, text("primary")?))
}

#[test]
fn process_paused_below_a_tenth_of_a_second_is_not_taken_for_dead() {
    let program = Path::new(env!("CARGO_BIN_EXE_lichenswitch-volatile-fleet"));
    let mut fleet = FleetProcesses::new(program, MACHINES).unwrap();
    (0..MACHINES).for_each(|machine| fleet.start(Role::Control, machine, true).unwrap());
    let control = fleet.control();
    let operator = Operator::new(control.clone());
    assert_eq!(
        operator.send(&order(1), 0, TEST_TIMEOUT),
        Outcome::Acknowledged
    );
    let before = group(control[1]);

    let is_over = AtomicBool::new(false);
    let newest_version = thread::scope(|scope| {
        let sent = scope.spawn(|| {
            let started_at = Instant::now();
            let mut version = 1;
            while started_at.elapsed() < Duration::from_secs(4) {
                version += 1;
                let machine = version as usize % MACHINES;
                assert_eq!(
                    operator.send(&order(version), machine, TEST_TIMEOUT),
                    Outcome::Acknowledged
                );
            }
            is_over.store(true, Ordering::SeqCst);
            version
        });
        while !is_over.load(Ordering::SeqCst) && !sent.is_finished() {
            (0..MACHINES).for_each(|machine| fleet.pause(Role::Control, machine));
            thread::sleep(PAUSE_DURATION);
            (0..MACHINES).for_each(|machine| fleet.resume(Role::Control, machine));
            thread::sleep(RUN_DURATION);
        }
        sent.join().expect("orders are acknowledged")
    });
    assert!(
        newest_version > 5,
        "{newest_version} orders were acknowledged"
    );
    assert_eq!(group(control[1]), before, "no other machine became primary");
}

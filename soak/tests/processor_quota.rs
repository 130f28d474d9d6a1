//! Processes whose processor is a quota: they run for a moment, and stand still for the rest of
//! each tenth of a second. Nobody takes that for a death.

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
/// Of each tenth of a second a process runs so long, and stands still for the rest.
const RUNS: Duration = Duration::from_millis(15);
const PAUSE_DURATION: Duration = Duration::from_millis(85);
const PATIENCE: Duration = Duration::from_secs(15);

fn order(version: u64) -> Order {
    let route = Route::new("r", "host.example", "/r/", "pool");
    Order {
        verb: Verb::Replace,
        base: version - 1,
        body: replace(version, &[route]),
    }
}

/// Epoch and primary, as one machine tells them, once it knows them: it may join after the first
/// order was taken.
fn group(address: SocketAddr) -> (String, String) {
    let began = Instant::now();
    loop {
        if let Some(group) = group_reported(address) {
            return group;
        }
        assert!(began.elapsed() < PATIENCE, "no primary is known");
        thread::sleep(Duration::from_millis(10));
    }
}

fn group_reported(address: SocketAddr) -> Option<(String, String)> {
    let status = Call::get("/status").send(address, PATIENCE).ok()?;
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
    assert_eq!(operator.send(&order(1), 0, PATIENCE), Outcome::Acknowledged);
    let before = group(control[1]);

    let over = AtomicBool::new(false);
    let taken = thread::scope(|scope| {
        let sent = scope.spawn(|| {
            let began = Instant::now();
            let mut version = 1;
            while began.elapsed() < Duration::from_secs(4) {
                version += 1;
                let order_index = version as usize % MACHINES;
                assert_eq!(
                    operator.send(&order(version), order_index, PATIENCE),
                    Outcome::Acknowledged
                );
            }
            over.store(true, Ordering::SeqCst);
            version
        });
        while !over.load(Ordering::SeqCst) && !sent.is_finished() {
            (0..MACHINES).for_each(|machine| fleet.pause(Role::Control, machine));
            thread::sleep(PAUSE_DURATION);
            (0..MACHINES).for_each(|machine| fleet.resume(Role::Control, machine));
            thread::sleep(RUNS);
        }
        sent.join().expect("orders are acknowledged")
    });
    assert!(taken > 5, "{taken} orders were taken");
    assert_eq!(group(control[1]), before, "nobody else became primary");
}

//! Orders without a pause while machines are killed, wiped, frozen and stopped: no acknowledged
//! order is lost or rejected.

mod control_support;

use control_support::{call, configuration, send_order, ControlFleet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// An order that was acknowledged.
struct AcknowledgedOrder {
    base: u64,
    body: String,
    version: u64,
}

/// Sends an order to one machine after the other until it gets a definite response.
fn retry_until_answered(
    addresses: &[SocketAddr],
    first: usize,
    base: u64,
    body: &str,
    until: Instant,
) -> Option<(u16, Duration)> {
    let started_at = Instant::now();
    let mut delay = Duration::from_millis(20);
    let mut index = first;
    while Instant::now() < until {
        match send_order(addresses[index % addresses.len()], REPLACE, base, body) {
            Ok(response) if response.status != 503 => {
                return Some((response.status, started_at.elapsed()))
            }
            _ => std::thread::sleep(delay),
        }
        delay = (delay * 2).min(Duration::from_millis(300));
        index += 1;
    }
    None
}

/// The status of each machine.
fn all_status(addresses: &[SocketAddr]) -> Vec<String> {
    let call_once = |address: &SocketAddr| {
        call(*address, "GET", "/status", &[], "").map_or_else(|e| e.to_string(), |a| a.body)
    };
    addresses.iter().map(call_once).collect()
}

/// Injects the fault of a round, at the primary or at a random machine.
fn inject_fault(fleet: &mut ControlFleet, round: usize) {
    let index = match round % 2 {
        0 => (0..4)
            .find(|index| fleet.status(*index).contains("\"role\":\"primary\""))
            .unwrap_or(0),
        _ => fastrand::usize(..4),
    };
    match round % 4 {
        0 => {
            fleet.kill(index);
            std::thread::sleep(Duration::from_millis(400));
            fleet.start(index, false);
        }
        1 => {
            fleet.kill(index);
            fleet.wipe(index);
            std::thread::sleep(Duration::from_millis(200));
            fleet.start(index, false);
        }
        2 => {
            fleet.freeze(index, true);
            std::thread::sleep(Duration::from_millis(1_500));
            fleet.freeze(index, false);
        }
        _ => {
            let (status, took) = fleet.stop(index);
            assert!(
                status.success() && took < Duration::from_secs(7),
                "{status:?} {took:?}"
            );
            fleet.start(index, false);
        }
    }
}

#[test]
fn acknowledged_orders_survive_every_single_fault() {
    let rounds: usize = std::env::var("STORM_ROUNDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(8);
    let mut fleet = ControlFleet::of("storm", &[true, true, true, true]);
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

    let is_stopped = std::sync::atomic::AtomicBool::new(false);
    let (accepted, longest) = std::thread::scope(|scope| {
        let operator = scope.spawn(|| {
            let (mut accepted, mut longest) = (
                vec![AcknowledgedOrder {
                    base: 0,
                    body: configuration(1, 1),
                    version: 1,
                }],
                Duration::ZERO,
            );
            while !is_stopped.load(std::sync::atomic::Ordering::Relaxed) {
                let base = accepted.last().unwrap().version;
                let version = base + 1 + fastrand::u64(..3);
                let body = configuration(version, 1 + fastrand::usize(..20));
                let until = Instant::now() + Duration::from_secs(15);
                let (status, took) =
                    retry_until_answered(&addresses, fastrand::usize(..4), base, &body, until)
                        .unwrap_or_else(|| {
                            panic!(
                                "no clear answer in 15 s; the machines say {:#?}",
                                all_status(&addresses)
                            )
                        });
                assert_eq!(
                    status, 200,
                    "order {version} on {base}, alone at work, is refused"
                );
                longest = longest.max(took);
                accepted.push(AcknowledgedOrder {
                    base,
                    body,
                    version,
                });
                std::thread::sleep(Duration::from_millis(5));
            }
            (accepted, longest)
        });
        for round in 0..rounds {
            inject_fault(&mut fleet, round);
            // All machines are voters again before the next fault: one at a time has to be tolerated.
            fleet.await_all_voters();
        }
        is_stopped.store(true, std::sync::atomic::Ordering::Relaxed);
        operator.join().unwrap()
    });
    println!(
        "{} orders were acknowledged in {rounds} rounds, the slowest after {longest:?}",
        accepted.len()
    );
    let newest = accepted.last().unwrap();
    for index in 0..4 {
        assert_eq!(fleet.describe(index), newest.body, "machine {index}");
    }
    for sent in accepted.iter().rev().take(200) {
        let until = Instant::now() + Duration::from_secs(5);
        let (status, _) = retry_until_answered(&addresses, 0, sent.base, &sent.body, until)
            .expect("no answer to a repeat");
        assert_eq!(status, 200, "a repeat of order {}", sent.version);
    }
    let stale = call(
        addresses[1],
        "POST",
        REPLACE,
        &["Base-Version: 1".to_owned()],
        &configuration(newest.version + 9, 1),
    );
    assert_eq!(stale.unwrap().status, 412);
}

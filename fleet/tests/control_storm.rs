//! Orders without a pause while machines are killed, wiped, frozen and stopped: nothing that was
//! acknowledged is lost or refused.

mod control_support;

use control_support::{call, configuration, order, Fleet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const REPLACE: &str = "/configuration/replace";

/// An operator's order, and whether it was acknowledged.
struct Sent {
    base: u64,
    body: String,
    version: u64,
}

/// Sends an order again and again, to one machine after the other, until it has a clear answer.
fn insist(
    addresses: &[SocketAddr],
    first: usize,
    base: u64,
    body: &str,
    until: Instant,
) -> Option<(u16, Duration)> {
    let began = Instant::now();
    let mut pause = Duration::from_millis(20);
    let mut place = first;
    while Instant::now() < until {
        match order(addresses[place % addresses.len()], REPLACE, base, body) {
            Ok(answer) if answer.status != 503 => return Some((answer.status, began.elapsed())),
            _ => std::thread::sleep(pause),
        }
        pause = (pause * 2).min(Duration::from_millis(300));
        place += 1;
    }
    None
}

/// What each machine says of itself.
fn all_status(addresses: &[SocketAddr]) -> Vec<String> {
    let ask = |address: &SocketAddr| {
        call(*address, "GET", "/status", &[], "").map_or_else(|e| e.to_string(), |a| a.body)
    };
    addresses.iter().map(ask).collect()
}

/// What goes wrong in a round: at a random machine, unless the primary is meant.
fn trouble(fleet: &mut Fleet, round: usize) {
    let place = match round % 2 {
        0 => (0..4)
            .find(|place| fleet.status(*place).contains("\"role\":\"primary\""))
            .unwrap_or(0),
        _ => fastrand::usize(..4),
    };
    match round % 4 {
        0 => {
            fleet.kill(place);
            std::thread::sleep(Duration::from_millis(400));
            fleet.start(place, false);
        }
        1 => {
            fleet.kill(place);
            fleet.wipe(place);
            std::thread::sleep(Duration::from_millis(200));
            fleet.start(place, false);
        }
        2 => {
            fleet.freeze(place, true);
            std::thread::sleep(Duration::from_millis(1_500));
            fleet.freeze(place, false);
        }
        _ => {
            let (status, took) = fleet.stop(place);
            assert!(
                status.success() && took < Duration::from_secs(7),
                "{status:?} {took:?}"
            );
            fleet.start(place, false);
        }
    }
}

#[test]
fn what_was_acknowledged_is_kept_through_every_single_loss() {
    let rounds: usize = std::env::var("STORM_ROUNDS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(8);
    let mut fleet = Fleet::of("storm", &[true, true, true, true]);
    fleet.start_first();
    assert_eq!(fleet.order(REPLACE, 0, &configuration(1, 1)).status, 200);
    fleet.await_whole();
    let addresses: Vec<SocketAddr> = fleet
        .machines
        .iter()
        .map(|machine| machine.control_plane)
        .collect();

    let over = std::sync::atomic::AtomicBool::new(false);
    let (taken, longest) = std::thread::scope(|scope| {
        let operator = scope.spawn(|| {
            let (mut taken, mut longest) = (
                vec![Sent {
                    base: 0,
                    body: configuration(1, 1),
                    version: 1,
                }],
                Duration::ZERO,
            );
            while !over.load(std::sync::atomic::Ordering::Relaxed) {
                let base = taken.last().unwrap().version;
                let version = base + 1 + fastrand::u64(..3);
                let body = configuration(version, 1 + fastrand::usize(..20));
                let until = Instant::now() + Duration::from_secs(15);
                let (status, took) = insist(&addresses, fastrand::usize(..4), base, &body, until)
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
                taken.push(Sent {
                    base,
                    body,
                    version,
                });
                std::thread::sleep(Duration::from_millis(5));
            }
            (taken, longest)
        });
        for round in 0..rounds {
            trouble(&mut fleet, round);
            // All are back and copies of each other before the next loss: one at a time is what
            // must be borne.
            fleet.await_whole();
        }
        over.store(true, std::sync::atomic::Ordering::Relaxed);
        operator.join().unwrap()
    });
    println!(
        "{} orders were acknowledged in {rounds} rounds, the slowest after {longest:?}",
        taken.len()
    );
    let newest = taken.last().unwrap();
    for place in 0..4 {
        assert_eq!(fleet.describe(place), newest.body, "machine {place}");
    }
    for sent in taken.iter().rev().take(200) {
        let until = Instant::now() + Duration::from_secs(5);
        let (status, _) =
            insist(&addresses, 0, sent.base, &sent.body, until).expect("no answer to a repeat");
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

//! Toy data nodes for the OGC front: one for each address on the command line, all with the same
//! few scooters. A line on standard input changes how they treat requests from then on.

use lichenswitch_emulators::features::{point_with, Behavior, FeatureServer};
use serde_json::json;
use std::io::BufRead;
use std::net::TcpListener;

/// The mood that a line names.
fn behavior(line: &str) -> Option<Behavior> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["serve"] => Some(Behavior::Serve),
        ["busy"] => Some(Behavior::Busy),
        ["fail"] => Some(Behavior::Fail),
        ["cantsort"] => Some(Behavior::CantSort),
        ["withhold", west, east] => {
            Some(Behavior::Withhold(west.parse().ok()?, east.parse().ok()?))
        }
        _ => None,
    }
}

fn main() {
    let addresses: Vec<String> = std::env::args().skip(1).collect();
    if addresses.is_empty() {
        eprintln!("usage: toy-features ADDRESS..., such as 127.0.0.1:9001");
        std::process::exit(2);
    }
    let scooters = [
        point_with("scooter-1", 15.95, 45.81, &json!({"battery": 71})),
        point_with("scooter-2", 15.97, 45.80, &json!({"battery": 18})),
        point_with("scooter-3", 16.00, 45.82, &json!({"battery": 94})),
        point_with("scooter-4", 16.05, 45.83, &json!({"battery": 55})),
        point_with("scooter-5", 16.12, 45.81, &json!({"battery": 33})),
    ];
    let start = |address: &String| {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| {
            eprintln!("toy-features: {address}: {e}");
            std::process::exit(1);
        });
        println!(
            "toy-features: serves {} scooters on {address}",
            scooters.len()
        );
        FeatureServer::start(listener, scooters.to_vec())
    };
    let servers: Vec<FeatureServer> = addresses.iter().map(start).collect();
    println!("toy-features: type serve, busy, fail, cantsort or withhold WEST EAST");
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match behavior(&line) {
            Some(behavior) => {
                servers
                    .iter()
                    .for_each(|server| server.set_behavior(behavior));
                println!("toy-features: {behavior:?}");
            }
            None => {
                println!("toy-features: {line:?} is none of serve, busy, fail, cantsort, withhold WEST EAST")
            }
        }
    }
    // Without an input, as in the background, they serve until they are ended.
    loop {
        std::thread::park();
    }
}

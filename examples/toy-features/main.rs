//! Toy data nodes for the OGC front: one for each address on the command line, all with the same few scooters.
//! A line on standard input changes how they treat requests from then on.

mod server;

use server::{point, Mood, Server};
use std::io::BufRead;
use std::net::TcpListener;

/// The mood that a line names.
fn mood(line: &str) -> Option<Mood> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["serve"] => Some(Mood::Serve),
        ["busy"] => Some(Mood::Busy),
        ["fail"] => Some(Mood::Fail),
        ["withhold", west, east] => Some(Mood::Withhold(west.parse().ok()?, east.parse().ok()?)),
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
        point("scooter-1", 15.95, 45.81),
        point("scooter-2", 15.97, 45.80),
        point("scooter-3", 16.00, 45.82),
        point("scooter-4", 16.05, 45.83),
        point("scooter-5", 16.12, 45.81),
    ];
    let start = |address: &String| {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| {
            eprintln!("toy-features: {address}: {e}");
            std::process::exit(1);
        });
        println!("toy-features: serves {} scooters on {address}", scooters.len());
        Server::start(listener, scooters.to_vec())
    };
    let servers: Vec<Server> = addresses.iter().map(start).collect();
    println!("toy-features: type serve, busy, fail or withhold WEST EAST");
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        match mood(&line) {
            Some(mood) => {
                servers.iter().for_each(|server| server.set(mood));
                println!("toy-features: {mood:?}");
            }
            None => println!("toy-features: {line:?} is none of serve, busy, fail, withhold WEST EAST"),
        }
    }
    // Without an input, as in the background, they serve until they are ended.
    loop {
        std::thread::park();
    }
}

//! CONFIG: a change allows heads above 64 KiB and adds a route for them; requests that stay below the limit are
//! never served on it.

use review_standins_2::{cannot_run, exchange, is_troubled, replace, Fleet, Record, Server, FRONT};
use std::time::{Duration, Instant};

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"safe\",\"timeoutMs\":15000,\
         \"targetLatencyMs\":800,\"priority\":0,\"service\":\"lichen-pool\",\"maxAttempts\":2}}"
    )
}

fn document(version: u64, routes: &[String], header_bytes: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"lichen-pool\",\"healthCheckPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tlsEnabled\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":{header_bytes},\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A request with a head of so many bytes: its prompt has many parts.
fn request(path: &str, attempt: &str, head_bytes: usize) -> Vec<u8> {
    let start = format!(
        "POST {path} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\nDeadline-Ms: 15000\r\nContent-Length: 0\r\nPrompt-Prefix: "
    );
    let mut parts = String::new();
    while start.len() + parts.len() + 20 < head_bytes {
        parts.push_str(&format!("{:08x}:64,", parts.len()));
    }
    parts.push_str("5c1e07a2:8");
    format!("{start}{parts}\r\n\r\n").into_bytes()
}

fn main() {
    let record = Record::new("review/6/record.txt");
    // TROUBLE=0: the same change with another limit, and heads that are as far below it.
    let (limit, head_bytes) = if is_troubled() { (131_072, 80_000) } else { (65_536, 40_000) };
    let mut fleet = Fleet::start(&record, 3, "");
    let _servers: Vec<Server> = (0..3).map(|number| Server::start(&record, &fleet, number, "lichen-pool")).collect();
    let (first, added) = (route("r-first", "/pufi791/"), route("r-added", "/lohu930/"));
    replace(&record, &fleet, 0, &document(1, &[first.clone()], 16_384));
    std::thread::sleep(Duration::from_secs(4));
    replace(&record, &fleet, 1, &document(3, &[first, added], limit));
    // contactMs and configApplyMs: all machines are in touch, and the change is in force.
    std::thread::sleep(Duration::from_secs(5));
    let cpu_before: f64 = (0..3).map(|machine| fleet.cpu_s("router", machine)).sum();
    let began = Instant::now();
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (ip, record) = (fleet.ips[client % 3].clone(), record.clone());
            std::thread::spawn(move || {
                let mut served = [0, 0];
                for round in 0..8 {
                    for (kind, (path, bytes)) in [("/pufi791/2f", 600), ("/lohu930/2f", head_bytes)].iter().enumerate() {
                        let attempt = format!("{kind}-{client}-{round}");
                        let bytes = request(path, &attempt, *bytes);
                        let at = Instant::now();
                        let answer = exchange(&format!("{ip}:{FRONT}"), &bytes, Duration::from_secs(16));
                        let status = answer.as_ref().map(|answer| answer.status);
                        record.line(&format!("sent {attempt}, a head of {} bytes: {status:?} after {} ms", bytes.len(), at.elapsed().as_millis()));
                        served[kind] += u32::from(answer.is_ok_and(|answer| answer.status == 200 && answer.has_seal));
                    }
                }
                served
            })
        })
        .collect();
    let mut served = [0, 0];
    for client in clients {
        let Ok(part) = client.join() else { cannot_run(&record, "a client failed") };
        served = [served[0] + part[0], served[1] + part[1]];
    }
    let cpu: f64 = (0..3).map(|machine| fleet.cpu_s("router", machine)).sum::<f64>() - cpu_before;
    if served[0] < 40 || !fleet.all_run() {
        cannot_run(&record, &format!("only {} of 48 requests on the first route were served", served[0]));
    }
    record.say(&format!(
        "served: {} of 48 on the first route, {} of 48 on the added one (heads of {head_bytes} bytes, maxHeaderBytes {limit}); \
         the routers used {cpu:.1} s of processor time in {:.1} s",
        served[0],
        served[1],
        began.elapsed().as_secs_f64()
    ));
    record.save();
    drop(fleet);
    std::process::exit(i32::from(served[1] * 4 < served[0]));
}

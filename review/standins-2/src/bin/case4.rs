//! TWICE: a full server's 503, given once more, late, is taken for the answer to the second send of the same
//! request; a further send follows, and the request runs twice.

use review_standins_2::{cannot_run, exchange, is_troubled, replace, Fleet, Manner, Record, Server, FRONT};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CLIENTS: usize = 12;
const TRAFFIC: Duration = Duration::from_secs(60);
/// As `garble`, `how = "extra late"`, in the site file of jrf-lichen: x = 0.03.
const EXTRA_SHARE: f64 = 0.03;

fn main() {
    let record = Record::new("review/4/record.txt");
    let mut fleet = Fleet::start(&record, 3, "");
    let extra_share = if is_troubled() { EXTRA_SHARE } else { 0.0 };
    let manner = Manner { slots: 8, work: Duration::from_millis(20), extra_share };
    let server = Server::start_in(&record, &fleet, 0, "ledger", manner);
    let document = "{\"version\":1,\"routes\":[{\"name\":\"r-ledger\",\"host\":\"ledger.example\",\"pathPrefix\":\"/claims/\",\"kind\":\"unsafe\",\
        \"timeoutMs\":3000,\"targetLatencyMs\":800,\"priority\":0,\"service\":\"ledger\",\"maxAttempts\":6}],\
        \"services\":[{\"name\":\"ledger\",\"healthCheckPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\",\"tlsEnabled\":false}],\
        \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    replace(&record, &fleet, 0, document);
    std::thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (to, record) = (format!("{}:{FRONT}", fleet.ips[client % 3]), record.clone());
            std::thread::spawn(move || {
                let mut answers = BTreeMap::new();
                for number in 0.. {
                    if began.elapsed() > TRAFFIC {
                        break;
                    }
                    let attempt = format!("{client:x}-{number:x}");
                    let request = format!(
                        "POST /claims/2f HTTP/1.1\r\nHost: ledger.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nContent-Length: 6\r\n\r\nreport"
                    );
                    let status = exchange(&to, request.as_bytes(), Duration::from_secs(4)).map_or(0, |answer| answer.status);
                    record.line(&format!("the client of {attempt} got {status}"));
                    answers.insert(attempt, status);
                    if status != 200 {
                        // The router's `Retry-After` is 0.3 s at the most; the next request comes after that.
                        std::thread::sleep(Duration::from_millis(300));
                    }
                }
                answers
            })
        })
        .collect();
    let mut answers: BTreeMap<String, u16> = BTreeMap::new();
    for client in clients {
        let Ok(part) = client.join() else { cannot_run(&record, "a client failed") };
        answers.extend(part);
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for run in server.runs.lock().unwrap().iter() {
        *runs.entry(run.attempt.clone()).or_default() += 1;
    }
    if runs.len() < 1_000 || !fleet.all_run() {
        cannot_run(&record, &format!("only {} requests ran", runs.len()));
    }
    let mut twice = 0;
    for (attempt, count) in runs.iter().filter(|(_, count)| **count > 1) {
        twice += 1;
        record.line(&format!("TWICE: {attempt} ran {count} times; its client got {:?}", answers.get(attempt)));
    }
    let refused = runs.keys().filter(|attempt| matches!(answers.get(*attempt), Some(408 | 421 | 429 | 503))).count();
    record.say(&format!(
        "{} requests sent, {} ran: {twice} of them more than once; {refused} were refused though they ran (REFUSED, not judged here)",
        answers.len(),
        runs.len()
    ));
    record.save();
    drop(fleet);
    std::process::exit(i32::from(twice > 0));
}

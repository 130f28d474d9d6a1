//! UNASKED: the operator adds a tenant whose name has a letter outside ASCII; servers are told another name.

use review_standins_2::{cannot_run, exchange, is_troubled, replace, Fleet, Record, Server, FRONT};
use std::time::Duration;

const KEYS: [&str; 2] = ["nu6wsjnbanfqasnmgkcu", "k2hqz7d4m1xw8yb0ptra"];

fn document(version: u64, names: &[&str]) -> String {
    let tenants: Vec<String> = names
        .iter()
        .zip(KEYS)
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"]}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-status\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/pufi791/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":0,\"service\":\"track-web\",\"maxAttempts\":1}}],\
         \"services\":[{{\"name\":\"track-web\",\"healthCheckPath\":\"/health\",\"maxConnections\":330,\"protocol\":\"h1\",\"tlsEnabled\":false}}],\
         \"tenants\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        tenants.join(",")
    )
}

fn main() {
    let record = Record::new("review/5/record.txt");
    // TROUBLE=0: the same change with a name in ASCII.
    let names = ["depot-split", if is_troubled() { "Šibenik" } else { "Sibenik" }];
    let bounds = "revocationStrict = true\nrevokeMs = 5000\nquotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 140000\n";
    let mut fleet = Fleet::start(&record, 3, bounds);
    let servers: Vec<Server> = (0..2).map(|number| Server::start(&record, &fleet, number, "track-web")).collect();
    replace(&record, &fleet, 0, &document(1, &names[..1]));
    std::thread::sleep(Duration::from_secs(4));
    replace(&record, &fleet, 1, &document(3, &names));
    // contactMs and configApplyMs: all machines are in touch, and the change is in force.
    std::thread::sleep(Duration::from_secs(5));
    for round in 0..10 {
        for (machine, ip) in fleet.ips.iter().enumerate() {
            for (tenant, key) in KEYS.iter().enumerate() {
                let attempt = format!("{tenant}-{machine}-{round}");
                let request = format!(
                    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 1500\r\nApi-Key: {key}\r\nContent-Length: 0\r\n\r\n"
                );
                let answer = exchange(&format!("{ip}:{FRONT}"), request.as_bytes(), Duration::from_secs(3));
                record.line(&format!("sent {attempt} with the key of {:?}: {:?}", names[tenant], answer.map(|a| a.status)));
            }
        }
    }
    let (mut ran, mut broken) = (0, 0);
    for run in servers.iter().flat_map(|server| server.runs.lock().unwrap().clone()) {
        let name = names[usize::from(run.attempt.starts_with('1'))];
        let told = run.tenant.as_deref().unwrap_or_default();
        let is_right = told == name.as_bytes();
        ran += 1;
        broken += u32::from(!is_right);
        record.line(&format!("ran {} of tenant {name:?}: Tenant is {:?}, right: {is_right}", run.attempt, String::from_utf8_lossy(told)));
    }
    if ran < 40 || !fleet.all_run() {
        cannot_run(&record, &format!("only {ran} of 60 requests ran"));
    }
    record.say(&format!("{ran} of 60 requests ran; {broken} of them with a Tenant that is not the name of the tenant that holds the key"));
    record.save();
    drop(fleet);
    std::process::exit(i32::from(broken > 0));
}

//! Case 2: a full server turns a request away and, in trouble, gives that answer a second time, late, in
//! the place of the answer to the same request, which it has meanwhile been sent again and runs.

use review_standins::fleet::{configuration, Fleet};
use review_standins::http::Reader;
use review_standins::server::{Next, Server};
use review_standins::{has_trouble, Random, Record};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Requests that a server works on at the same time; it rejects any more.
const SLOTS: i64 = 8;
const WORK: Duration = Duration::from_millis(20);
/// Share of its answers that a server in trouble gives a second time, late: as `garble` (`extra late`) in
/// the site file of jrf-lichen (`share = 0.6, x = 0.03`).
const EXTRA_SHARE: f64 = 0.03;
const CLIENTS: usize = 11;
const TRAFFIC: Duration = Duration::from_secs(30);

#[derive(Default)]
struct Ledger {
    /// Runs of each `Attempt-Id`, as the servers saw them.
    runs: HashMap<String, Vec<String>>,
    rejections: u64,
    extra_answers: u64,
}

fn main() {
    let folder = std::path::PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let record = Record::new();
    let code = run(&record);
    record.save(&folder.join("record.txt"));
    std::process::exit(code);
}

fn run(record: &Record) -> i32 {
    let mut fleet = Fleet::new();
    fleet.start_all();
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    // The service has one server: a request that it turned away is sent to it again.
    let server = start_server(0, &fleet, record, &ledger);
    let route = "{\"name\":\"r-ledger\",\"host\":\"ledger.example\",\"pathPrefix\":\"/claims/\",\"kind\":\"unsafe\",\
                 \"timeoutMs\":3000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\
                 \"sessionAffinity\":false,\"streamResume\":false}";
    let is_up = fleet.configure(&configuration(1, &[route.to_owned()]))
        && fleet.wait_ready()
        && review_standins::http::wait_until(Duration::from_secs(10), || {
            server.is_registered.load(Ordering::SeqCst)
        });
    if !is_up {
        record.add("the fleet did not come up".to_owned());
        return 2;
    }
    std::thread::sleep(Duration::from_secs(1));
    record.add("traffic begins".to_owned());
    let answers = send_traffic(&fleet, record);
    for ended in fleet.ended() {
        record.add(ended);
    }
    let ledger = ledger.lock().unwrap();
    judge(record, &answers, &ledger)
}

fn start_server(
    number: usize,
    fleet: &Fleet,
    record: &Record,
    ledger: &Arc<Mutex<Ledger>>,
) -> Server {
    let (record, ledger) = (record.clone(), ledger.clone());
    let is_in_trouble = has_trouble();
    let random = Mutex::new(Random(
        0x9e37_79b9_7f4a_7c15 ^ u64::from(std::process::id()) << 20,
    ));
    let working = AtomicI64::new(0);
    // The answer that goes out a second time on a connection, by the connection.
    let pending_extra: Mutex<HashMap<std::net::SocketAddr, (String, String)>> = Mutex::default();
    Server::start(
        number,
        fleet.server_address(number),
        fleet.control(),
        move |reader, head| {
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            let Ok(caller) = reader.stream.peer_addr() else {
                return Next::Close;
            };
            if reader.exact(head.length()).is_err() {
                return Next::Close;
            }
            // An extra answer arrives late, in the place where the next one is due.
            if let Some((of, extra)) = pending_extra.lock().unwrap().remove(&caller) {
                record.add(format!("server {number} gives its answer to {of} (503, not executed) once more, late, after it has read {id}"));
                ledger.lock().unwrap().extra_answers += 1;
                let _ = reader.stream.write_all(extra.as_bytes());
            }
            if working.fetch_add(1, Ordering::SeqCst) >= SLOTS {
                working.fetch_sub(1, Ordering::SeqCst);
                let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: {id}\r\nNot-Executed: full\r\nServer-Load: {SLOTS},0,{SLOTS}\r\nContent-Length: 0\r\n\r\n"
            );
                record.add(format!("server {number} is full and rejects {id}"));
                ledger.lock().unwrap().rejections += 1;
                if reader.stream.write_all(answer.as_bytes()).is_err() {
                    return Next::Close;
                }
                if is_in_trouble && random.lock().unwrap().chance(EXTRA_SHARE) {
                    pending_extra.lock().unwrap().insert(caller, (id, answer));
                }
                return Next::Keep;
            }
            ledger
                .lock()
                .unwrap()
                .runs
                .entry(id.clone())
                .or_default()
                .push(format!("server {number}"));
            record.add(format!("server {number} runs {id}"));
            std::thread::sleep(WORK);
            working.fetch_sub(1, Ordering::SeqCst);
            let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{number}-{id}\r\nContent-Length: 6\r\n\r\nbooked"
        );
            match reader.stream.write_all(answer.as_bytes()) {
                Ok(()) => Next::Keep,
                Err(_) => Next::Close,
            }
        },
    )
}

/// What a client saw of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Answer {
    Whole(u16),
    Broken(String),
}

fn send_traffic(fleet: &Fleet, record: &Record) -> HashMap<String, Answer> {
    let answers = Arc::new(Mutex::new(HashMap::new()));
    let sent = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let front = fleet.front(client % review_standins::fleet::MACHINES);
            let (record, answers, sent) = (record.clone(), answers.clone(), sent.clone());
            std::thread::spawn(move || {
                let mut random = Random(0x2545_f491_4f6c_dd1d ^ (client as u64 + 1) << 24);
                while start.elapsed() < TRAFFIC {
                    let id = format!("{:016x}", sent.fetch_add(1, Ordering::SeqCst) + 1);
                    let answer = send(front, &id);
                    record.add(format!("client {client} sent {id}: {answer:?}"));
                    answers.lock().unwrap().insert(id, answer);
                    // Between two tries, as users do.
                    std::thread::sleep(Duration::from_millis(5 + random.next() % 10));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap().clone();
    answers
}

fn send(front: std::net::SocketAddr, id: &str) -> Answer {
    let sent = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(4)))?;
        let mut reader = Reader::new(stream);
        let body = "x".repeat(1_000);
        let message = format!(
            "POST /claims/new HTTP/1.1\r\nHost: ledger.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 3000\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        reader.stream.write_all(message.as_bytes())?;
        let head = reader.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        reader.body(&head)?;
        Ok(head.status())
    };
    sent().map_or_else(|error| Answer::Broken(error.to_string()), Answer::Whole)
}

/// The rules as written: REFUSED, and beside it TWICE.
fn judge(record: &Record, answers: &HashMap<String, Answer>, ledger: &Ledger) -> i32 {
    let twice: Vec<_> = ledger.runs.iter().filter(|(_, of)| of.len() > 1).collect();
    let is_promise =
        |answer: Option<&Answer>| matches!(answer, Some(Answer::Whole(408 | 421 | 429 | 503)));
    let refused: Vec<_> = ledger
        .runs
        .keys()
        .filter(|id| is_promise(answers.get(*id)))
        .collect();
    for (id, of) in &twice {
        record.add(format!(
            "TWICE: {id} ran at {}; its client got {:?}",
            of.join(" and at "),
            answers.get(*id)
        ));
    }
    for id in &refused {
        record.add(format!(
            "REFUSED: {id} ran at {}; its client got {:?}",
            ledger.runs[*id].join(" and at "),
            answers[*id]
        ));
    }
    let served = answers
        .values()
        .filter(|answer| **answer == Answer::Whole(200))
        .count();
    let summary = format!(
        "{} requests sent, {served} answered 200; servers rejected {}, and gave {} answers once more; {} were refused though they ran, {} ran twice",
        answers.len(),
        ledger.rejections,
        ledger.extra_answers,
        refused.len(),
        twice.len()
    );
    println!("{summary}");
    record.add(summary);
    if served == 0 {
        return 2;
    }
    i32::from(!twice.is_empty() || !refused.is_empty())
}

//! Case 1: a server begins work on a long request and breaks off while the request is still being written.

use review_standins::fleet::{configuration, Fleet};
use review_standins::http::Reader;
use review_standins::server::{Next, Server};
use review_standins::{has_trouble, Random, Record};
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The largest body that `limits` of the pages' example allows.
const BODY_BYTES: usize = 4_194_304;
const SERVERS: usize = 4;
/// Servers in trouble, and the share of their answers that they break off: as `garble` in the site file
/// of jrf-lichen (`share = 0.6, x = 0.03`), rounded down to whole servers.
const SERVERS_IN_TROUBLE: usize = 2;
const BREAK_OFF_SHARE: f64 = 0.03;
const CLIENTS: u64 = 3;
const TRAFFIC: Duration = Duration::from_secs(20);

/// Runs of each `Attempt-Id`, as the servers saw them.
type Runs = Arc<Mutex<HashMap<String, Vec<String>>>>;

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
    let runs = Runs::default();
    let breaks = Arc::new(AtomicU64::new(0));
    let servers: Vec<Server> = (0..SERVERS)
        .map(|number| start_server(number, &fleet, record, &runs, &breaks))
        .collect();
    // An unsafe route that may be offered to a second server, after a promise of the first one.
    let route = "{\"name\":\"r-ledger\",\"host\":\"ledger.example\",\"pathPrefix\":\"/claims/\",\"kind\":\"unsafe\",\
                 \"timeoutMs\":15000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"ledger\",\"maxAttempts\":2,\
                 \"sessionAffinity\":false,\"streamResume\":false}";
    let is_up = fleet.configure(&configuration(1, &[route.to_owned()]))
        && fleet.wait_ready()
        && review_standins::http::wait_until(Duration::from_secs(10), || {
            servers
                .iter()
                .all(|server| server.is_registered.load(Ordering::SeqCst))
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
    let runs = runs.lock().unwrap().clone();
    judge(record, &answers, &runs, breaks.load(Ordering::SeqCst))
}

/// A server that begins work once it has read a request's head, and answers at once: it may answer before
/// it has read a long body. Sound, it reads the body to its end, then ends its answer.
fn start_server(
    number: usize,
    fleet: &Fleet,
    record: &Record,
    runs: &Runs,
    breaks: &Arc<AtomicU64>,
) -> Server {
    let (record, runs, breaks) = (record.clone(), runs.clone(), breaks.clone());
    let is_in_trouble = has_trouble() && number < SERVERS_IN_TROUBLE;
    let random = Mutex::new(Random(
        0x9e37_79b9_7f4a_7c15 ^ (number as u64 + 1) << 32 ^ u64::from(std::process::id()),
    ));
    Server::start(
        number,
        fleet.server_address(number),
        fleet.control(),
        move |reader, head| {
            let id = head.field("attempt-id").unwrap_or_default().to_owned();
            let breaks_off = is_in_trouble && random.lock().unwrap().chance(BREAK_OFF_SHARE);
            runs.lock()
                .unwrap()
                .entry(id.clone())
                .or_default()
                .push(format!("server {number}"));
            let start = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{number}-{id}\r\nContent-Length: 8\r\n\r\nbooked"
        );
            if reader.stream.write_all(start.as_bytes()).is_err() {
                record.add(format!("server {number} runs {id}; its caller left"));
                return Next::Close;
            }
            if breaks_off {
                record.add(format!(
                    "server {number} runs {id}, and breaks off in the middle of its answer"
                ));
                breaks.fetch_add(1, Ordering::SeqCst);
                return Next::Close;
            }
            let is_read = reader.exact(head.length()).is_ok();
            let is_written = is_read && reader.stream.write_all(b"ok").is_ok();
            if !is_written {
                record.add(format!("server {number} runs {id}; its caller left"));
                return Next::Close;
            }
            record.add(format!("server {number} runs {id}, and answers 200"));
            Next::Keep
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
    let start = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record, answers) = (
                fleet.front(client as usize),
                record.clone(),
                answers.clone(),
            );
            std::thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                for number in 0_u64.. {
                    if start.elapsed() >= TRAFFIC {
                        return;
                    }
                    let id = format!("{:04x}{number:012x}", client + 1);
                    let answer = send(front, &id, &body);
                    record.add(format!("client {client} sent {id}: {answer:?}"));
                    answers.lock().unwrap().insert(id, answer);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let answers = answers.lock().unwrap().clone();
    answers
}

fn send(front: std::net::SocketAddr, id: &str, body: &[u8]) -> Answer {
    let sent = || -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(16)))?;
        let mut reader = Reader::new(stream);
        let head = format!(
            "POST /claims/new HTTP/1.1\r\nHost: ledger.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
             Content-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        reader.stream.write_all(head.as_bytes())?;
        reader.stream.write_all(body)?;
        let head = reader.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        reader.body(&head)?;
        Ok(head.status())
    };
    sent().map_or_else(|error| Answer::Broken(error.to_string()), Answer::Whole)
}

/// The rules as written: TWICE, and beside it REFUSED.
fn judge(
    record: &Record,
    answers: &HashMap<String, Answer>,
    runs: &HashMap<String, Vec<String>>,
    breaks: u64,
) -> i32 {
    let twice: Vec<_> = runs.iter().filter(|(_, of)| of.len() > 1).collect();
    let is_promise =
        |answer: Option<&Answer>| matches!(answer, Some(Answer::Whole(408 | 421 | 429 | 503)));
    let refused: Vec<_> = runs
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
            runs[*id].join(" and at "),
            answers[*id]
        ));
    }
    let served = answers
        .values()
        .filter(|answer| **answer == Answer::Whole(200))
        .count();
    let summary = format!(
        "{} requests sent, {served} answered 200; {breaks} answers broken off; {} ran twice, {} were refused though they ran",
        answers.len(),
        twice.len(),
        refused.len()
    );
    println!("{summary}");
    record.add(summary);
    if served == 0 {
        return 2;
    }
    i32::from(!twice.is_empty() || !refused.is_empty())
}

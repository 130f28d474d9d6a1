//! Operators' calls: answered in time whatever the loop and other callers do, and heeded.

mod platformed;

use lichenswitch::config::Platform;
use lichenswitch::management::ManagementHandle;
use platformed::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// An answer is owed within this time.
const OWED: Duration = Duration::from_secs(1);

/// A management thread whose broker's loop never runs.
fn management_alone() -> (ManagementHandle, SocketAddr) {
    let calls = free_address();
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","mgmt":"{calls}","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#
    );
    let platform = Platform::parse(&config, |_| None).unwrap();
    (ManagementHandle::open(&platform).unwrap().unwrap(), calls)
}

fn whole(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn calls_are_answered_in_time_though_the_loop_stands_still_and_hundreds_hold_connections() {
    let (_management, calls) = management_alone();
    drop(operator(calls));
    let held: Vec<TcpStream> = (0..300)
        .map(|i| {
            let mut stream = operator(calls);
            // Nothing, half a line, or a line without an end.
            let says = [&b""[..], b"heal", &[b'x'; 700]][i % 3];
            // One that has been let go already takes no more.
            let _ = stream.write_all(says);
            stream
        })
        .collect();
    for line in ["health", "nonsense", "cordon s", "counters"] {
        let begun = Instant::now();
        let answer = asked(calls, line);
        assert!(begun.elapsed() < OWED, "{line}: {:?}", begun.elapsed());
        assert!(
            answer.starts_with("ok") || answer.starts_with("fail "),
            "{answer}"
        );
    }
    assert!(
        asked(calls, "health").starts_with("fail "),
        "a loop that does not come round serves nobody"
    );
    drop(held);
}

#[test]
fn a_line_may_come_in_pieces_without_its_end_or_with_more_behind_it() {
    let (_management, calls) = management_alone();
    let mut stream = operator(calls);
    stream.set_nodelay(true).unwrap();
    for byte in b"cordon nobody\r\n" {
        stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(
        whole(stream),
        "fail no server \"nobody\" is listed or out\n"
    );
    let mut stream = operator(calls);
    stream.write_all(b"cordon").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(whole(stream), "fail cordon needs the id of a server\n");
    let mut stream = operator(calls);
    stream.write_all(b"resume\nquiesce\n").unwrap();
    assert_eq!(
        whole(stream),
        "ok clients were not sent away\n",
        "each connection carries one line"
    );
    let mut stream = operator(calls);
    stream.write_all(&[b'x'; 600]).unwrap();
    assert_eq!(whole(stream), "fail the line is longer than 512 bytes\n");
}

/// One change of the list, for the watch that is out.
fn changed(generation: u64, node_at: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"generation":{generation},"reset":false,"instances":[{{"instanceId":"s","hostPort":"{node_at}","zone":"a",
        "machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}]}}"#
    )
}

#[test]
fn what_is_cordoned_gets_nothing_new_whatever_is_listed_until_one_uncordon() {
    let (watches, watched) = mpsc::channel();
    // Cold for two seconds and not very: what a node that was put back may be sent shows soon.
    let rules =
        r#""rules":{"coldUs":2000000,"coldShare":0.5,"fallMultiple":3,"fallUs":1000000},"classes""#;
    let settings = SETTINGS
        .replace("\"classes\"", rules)
        .replace("4000000", "200000");
    let (broker, calls) = Platformed::managed(&settings, move |listener, list| {
        let (stream, _) = call(&listener);
        tell(&stream, list.clone());
        assert!(next_call(&stream).contains("since=1"));
        watches.send((stream, list)).unwrap();
    });
    let (watch, list) = watched.recv().unwrap();
    asked_until(calls, "health", "ok ");
    assert_eq!(asked(calls, "cordon s"), "ok s is out\n");
    assert_eq!(asked(calls, "cordon s"), "ok s is out already\n");
    let mut client = broker.connect();
    let refused = |client: &mut TcpStream, id: &str| {
        client.write_all(&query("fleet-search", id, &[0])).unwrap();
        assert_eq!(
            answer(client).status,
            503,
            "{id}: nobody else holds the shard"
        );
    };
    // The only holder is the last resort until shortly before the rule on drains, two seconds, ends
    // that.
    let begun = Instant::now();
    loop {
        client
            .write_all(&query(
                "fleet-search",
                &format!("q{}", begun.elapsed().as_micros()),
                &[0],
            ))
            .unwrap();
        match broker.got.recv_timeout(Duration::from_millis(200)) {
            Ok(mut got) => got
                .parts()
                .iter()
                .for_each(|id| got.answer(&format!("{id} OK 1 -\nv"))),
            Err(_) => break,
        }
        answer(&mut client);
        assert!(begun.elapsed() < Duration::from_millis(1_500));
    }
    assert_eq!(answer(&mut client).status, 503);
    // Lists that have it as serving come in between.
    let node_at = list
        .split("hostPort\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    tell(&watch, changed(2, node_at, "SERVING"));
    assert!(next_call(&watch).contains("since=2"));
    refused(&mut client, "after-a-change");
    tell(&watch, list.replace("\"generation\":1", "\"generation\":3"));
    assert!(next_call(&watch).contains("since=3"));
    refused(&mut client, "after-a-whole-list");
    assert!(broker.got.try_recv().is_err());
    assert!(asked(calls, "uncordon s").starts_with("ok s is used again"));
    assert_eq!(asked(calls, "uncordon s"), "ok s was not out\n");
    // It is one that has just started, and gets its first part within its allowance.
    let begun = Instant::now();
    for id in 0.. {
        client
            .write_all(&query("fleet-search", &format!("back-{id}"), &[0]))
            .unwrap();
        if let Ok(mut got) = broker.got.recv_timeout(Duration::from_millis(100)) {
            got.parts()
                .iter()
                .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
            assert_eq!(answer(&mut client).status, 200);
            break;
        }
        assert_eq!(answer(&mut client).status, 503);
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "used again within 5 s"
        );
    }
}

#[test]
fn what_drains_by_the_list_drains_after_the_uncordon_too() {
    let (watches, watched) = mpsc::channel();
    let (broker, calls) = Platformed::managed(SETTINGS, move |listener: TcpListener, list| {
        let (stream, _) = call(&listener);
        tell(&stream, list.clone());
        next_call(&stream);
        watches.send((stream, list)).unwrap();
    });
    let (watch, list) = watched.recv().unwrap();
    let node_at = list
        .split("hostPort\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    asked_until(calls, "health", "ok ");
    assert!(asked(calls, "cordon s").starts_with("ok "));
    tell(&watch, changed(2, node_at, "DRAINING"));
    next_call(&watch);
    assert!(asked(calls, "uncordon s").starts_with("ok "));
    let mut client = broker.connect();
    client.write_all(&query("fleet-search", "1", &[0])).unwrap();
    assert_eq!(answer(&mut client).status, 503);
    assert!(broker.got.try_recv().is_err());
}

/// How a connection ends: what came on it, within what time since then.
fn ended(stream: &mut TcpStream, since: Instant) -> (String, Duration) {
    let mut came = Vec::new();
    stream.read_to_end(&mut came).unwrap();
    (String::from_utf8(came).unwrap(), since.elapsed())
}

#[test]
fn clients_that_are_sent_away_are_told_then_closed_and_nothing_read_is_lost() {
    let (broker, calls) = Platformed::managed(SETTINGS, discovery);
    asked_until(calls, "health", "ok ");
    let [mut waits, mut rests, mut arrives, mut uses] = [(); 4].map(|()| broker.connect());
    waits
        .write_all(&query("fleet-search", "waits", &[0]))
        .unwrap();
    let mut out = broker.next();
    for stream in [&mut rests, &mut uses] {
        stream
            .write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
            .unwrap();
        let ready = answer(stream);
        assert!(ready.status == 200 && ready.keep_alive);
    }
    let begun = Instant::now();
    assert_eq!(asked(calls, "quiesce"), "ok clients are sent away\n");
    // One call later the loop has heard of it.
    assert_eq!(
        asked_until(calls, "health", "fail "),
        "fail clients are sent away\n"
    );
    let whole = query("fleet-search", "arrives", &[0]);
    arrives.write_all(&whole[..whole.len() - 1]).unwrap();
    // Who is here and has not heard of it is served, and told with the answer.
    uses.write_all(&query("fleet-search", "uses", &[0]))
        .unwrap();
    let mut got = broker.next();
    got.parts()
        .iter()
        .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
    let served = answer(&mut uses);
    assert!(served.status == 200 && !served.keep_alive, "{served:?}");
    let mut asks = broker.connect();
    asks.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    let ready = answer(&mut asks);
    assert!(ready.status == 503 && !ready.keep_alive, "{ready:?}");
    let (came, after) = ended(&mut rests, begun);
    assert!(
        came.is_empty() && after >= Duration::from_millis(500) && after < Duration::from_secs(2),
        "{after:?}"
    );
    let (came, after) = ended(&mut arrives, begun);
    assert!(
        came.starts_with("HTTP/1.1 503 ") && after < Duration::from_secs(2),
        "{after:?} {came}"
    );
    // Nothing new is taken any more; what was taken long before is waited for, and answered.
    let mut late = broker.connect();
    late.write_all(&query("fleet-search", "late", &[0]))
        .unwrap();
    let refused = answer(&mut late);
    assert!(refused.status == 503 && !refused.keep_alive);
    out.parts()
        .iter()
        .for_each(|id| out.answer(&format!("{id} OK 1 -\nv")));
    let (came, _) = ended(&mut waits, begun);
    assert!(
        came.starts_with("HTTP/1.1 200 ") && came.contains("connection: close"),
        "{came}"
    );
    assert!(
        broker.got.try_recv().is_err(),
        "what was refused was sent nowhere"
    );
    // Back to work.
    let begun = Instant::now();
    assert_eq!(asked(calls, "resume"), "ok back to work\n");
    asked_until(calls, "health", "ok ");
    assert!(begun.elapsed() < OWED);
    let mut back = broker.connect();
    back.write_all(&query("fleet-search", "back", &[0]))
        .unwrap();
    let mut got = broker.next();
    got.parts()
        .iter()
        .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
    let served = answer(&mut back);
    assert!(served.status == 200 && served.keep_alive);
}

#[test]
fn the_answers_are_those_of_the_operators_page() {
    let page = include_str!("../docs/operate/operation.md");
    let (_broker, calls) = Platformed::managed(SETTINGS, discovery);
    asked_until(calls, "health", "ok ");
    let named = |text: &str| {
        text.trim_end()
            .replace("\"s\"", "\"ID\"")
            .replace("ok s ", "ok ID ")
    };
    for (call, begins) in [
        ("health", "ok ready"),
        ("cordon s", "ok ID is out"),
        ("cordon s", "ok ID is out already"),
        ("uncordon s", "ok ID is used again"),
        ("uncordon s", "ok ID was not out"),
        ("resume", "ok clients were not sent away"),
        ("quiesce", "ok clients are sent away"),
        ("resume", "ok back to work"),
    ] {
        let told = named(&asked(calls, call));
        assert!(
            told.starts_with(begins) && page.contains(&format!("`{told}`")),
            "{call}: {told}"
        );
    }
    let figures = asked(calls, "counters");
    for line in figures.lines().filter(|line| line.starts_with("svc_")) {
        let name = line.split(['{', ' ']).next().unwrap();
        assert!(
            page.contains(&format!("`{name}")),
            "{name} is not on the page"
        );
    }
}

/// The value of a figure.
fn figure(told: &str, name: &str) -> u64 {
    let line = told
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} is not in {told}"))
        .parse()
        .unwrap()
}

/// Asks for the figures until these are so.
fn figures_until(calls: SocketAddr, expected: &[(&str, u64)]) {
    let begun = Instant::now();
    loop {
        let told = asked(calls, "counters");
        assert!(
            told.starts_with("ok\n") && told.ends_with("\neof\n"),
            "{told}"
        );
        if expected
            .iter()
            .all(|(name, value)| figure(&told, name) == *value)
        {
            return;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "{expected:?} in {told}"
        );
    }
}

#[test]
fn figures_tell_what_ended_how_what_is_held_and_which_nodes_are_there() {
    // Where the rule on drains allows no time a node is out at once.
    let settings = SETTINGS.replace(
        "\"classes\"",
        r#""rules":{"stopSendingWithinUs":0},"classes""#,
    );
    let (broker, calls) = Platformed::managed(&settings, discovery);
    asked_until(calls, "health", "ok ");
    let none = ["ok", "shed", "errors", "tries"]
        .map(|n| format!("svc_{n}_total{{kind=\"network-report\"}}"));
    let none: Vec<(&str, u64)> = none.iter().map(|name| (name.as_str(), 0)).collect();
    figures_until(calls, &none);
    figures_until(
        calls,
        &[
            ("svc_active", 0),
            ("svc_pool_size", 1),
            ("svc_pool_ejected", 0),
        ],
    );
    let mut client = broker.connect();
    let mut ask = |id: &str, says: &str| {
        client.write_all(&query("fleet-search", id, &[0])).unwrap();
        let mut got = broker.next();
        got.parts()
            .iter()
            .for_each(|id| got.answer(&format!("{id} {says}")));
        answer(&mut client).status
    };
    assert_eq!([ask("a", "OK 1 -\nv"), ask("b", "OK 1 -\nv")], [200, 200]);
    let kind = |name: &str| format!("svc_{name}_total{{kind=\"fleet-search\"}}");
    let (ok, shed, errors, tries) = (kind("ok"), kind("shed"), kind("errors"), kind("tries"));
    let of = |values: [u64; 4]| {
        [
            (&*ok, values[0]),
            (&*shed, values[1]),
            (&*errors, values[2]),
            (&*tries, values[3]),
        ]
    };
    figures_until(calls, &of([2, 0, 0, 2]));
    // A part that is out: its query is held, its attempt counts as soon as it is written.
    let mut second = broker.connect();
    second.write_all(&query("fleet-search", "c", &[0])).unwrap();
    let mut out = broker.next();
    figures_until(calls, &[of([2, 0, 0, 3])[3], ("svc_active", 1)]);
    out.parts()
        .iter()
        .for_each(|id| out.answer(&format!("{id} OK 1 -\nv")));
    assert_eq!(answer(&mut second).status, 200);
    // What makes no sense has failed; with the only node out a query is refused, and nothing is
    // sent.
    second
        .write_all(&query("fleet-search", "d", &[0, 0]))
        .unwrap();
    assert_eq!(answer(&mut second).status, 400);
    assert!(asked(calls, "cordon s").starts_with("ok "));
    figures_until(
        calls,
        &[
            ("svc_active", 0),
            ("svc_pool_size", 1),
            ("svc_pool_ejected", 1),
        ],
    );
    second.write_all(&query("fleet-search", "e", &[0])).unwrap();
    assert_eq!(answer(&mut second).status, 503);
    figures_until(calls, &of([3, 1, 1, 3]));
}

//! Operators' calls: answered in time whatever the loop and other callers do, and carried out.

mod test_broker;

use lichenswitch::config::Platform;
use lichenswitch::management::ManagementHandle;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::{Duration, Instant};
use test_broker::*;

/// An answer is to be sent within this time.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// A management thread whose broker's loop never runs.
fn management_without_loop() -> (ManagementHandle, SocketAddr) {
    let calls = free_address();
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","mgmt":"{calls}","discovery":"127.0.0.1:1","settings":{SETTINGS}}}"#
    );
    let platform = Platform::parse(&config, |_| None).unwrap();
    (ManagementHandle::open(&platform).unwrap().unwrap(), calls)
}

fn read_answer(mut stream: TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

#[test]
fn calls_are_answered_in_time_beside_a_stuck_loop_and_hundreds_of_connections() {
    let (_management, calls) = management_without_loop();
    drop(operator(calls));
    let open_connections: Vec<TcpStream> = (0..300)
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
        let started_at = Instant::now();
        let answer = operator_call(calls, line);
        assert!(
            started_at.elapsed() < ANSWER_TIMEOUT,
            "{line}: {:?}",
            started_at.elapsed()
        );
        assert!(
            answer.starts_with("ok") || answer.starts_with("fail "),
            "{answer}"
        );
    }
    assert!(
        operator_call(calls, "health").starts_with("fail "),
        "a loop that does not come round serves nobody"
    );
    drop(open_connections);
}

#[test]
fn line_is_read_in_pieces_without_its_end_or_with_more_after_it() {
    let (_management, calls) = management_without_loop();
    let mut stream = operator(calls);
    stream.set_nodelay(true).unwrap();
    for byte in b"cordon nobody\r\n" {
        stream.write_all(&[*byte]).unwrap();
    }
    assert_eq!(
        read_answer(stream),
        "fail no server \"nobody\" is listed or out\n"
    );
    let mut stream = operator(calls);
    stream.write_all(b"cordon").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    assert_eq!(
        read_answer(stream),
        "fail cordon needs the id of a server\n"
    );
    let mut stream = operator(calls);
    stream.write_all(b"resume\nquiesce\n").unwrap();
    assert_eq!(
        read_answer(stream),
        "ok clients were not sent away\n",
        "each connection carries one line"
    );
    let mut stream = operator(calls);
    stream.write_all(&[b'x'; 600]).unwrap();
    assert_eq!(
        read_answer(stream),
        "fail the line is longer than 512 bytes\n"
    );
}

/// A change of the list, for the watch that waits.
fn list_change(generation: u64, node_at: &str, lifecycle: &str) -> String {
    format!(
        r#"{{"generation":{generation},"reset":false,"instances":[{{"instanceId":"s","hostPort":"{node_at}","zone":"a",
        "machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}]}}"#
    )
}

#[test]
fn cordoned_node_gets_nothing_new_until_one_uncordon() {
    let (sender, watches) = mpsc::channel();
    // Cold for two seconds and not very: what a node that was put back may be sent shows soon.
    let rules =
        r#""rules":{"coldUs":2000000,"coldShare":0.5,"fallMultiple":3,"fallUs":1000000},"classes""#;
    let settings = SETTINGS
        .replace("\"classes\"", rules)
        .replace("4000000", "200000");
    let (broker, calls) = TestBroker::managed(&settings, move |listener, list| {
        let (stream, _) = accept_discovery_call(&listener);
        send_list(&stream, list.clone());
        assert!(read_discovery_call(&stream).contains("since=1"));
        sender.send((stream, list)).unwrap();
    });
    let (watch, list) = watches.recv().unwrap();
    operator_call_until(calls, "health", "ok ");
    assert_eq!(operator_call(calls, "cordon s"), "ok s is out\n");
    assert_eq!(operator_call(calls, "cordon s"), "ok s is out already\n");
    let mut client = broker.connect();
    let assert_rejected = |client: &mut TcpStream, id: &str| {
        client.write_all(&query("fleet-search", id, &[0])).unwrap();
        assert_eq!(
            read_response(client).status,
            503,
            "{id}: nobody else holds the shard"
        );
    };
    // The only holder is the last resort until shortly before the rule on drains, two seconds, ends
    // that.
    let started_at = Instant::now();
    let last = loop {
        client
            .write_all(&query(
                "fleet-search",
                &format!("q{}", started_at.elapsed().as_micros()),
                &[0],
            ))
            .unwrap();
        let served = serve_until_response(&broker.frames, &mut client);
        if served.calls == 0 {
            break served;
        }
        assert!(started_at.elapsed() < Duration::from_millis(1_500));
    };
    assert_eq!(last.status, 503);
    // Lists that have it as serving come in between.
    let node_at = list
        .split("hostPort\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    send_list(&watch, list_change(2, node_at, "SERVING"));
    assert!(read_discovery_call(&watch).contains("since=2"));
    assert_rejected(&mut client, "after-a-change");
    send_list(&watch, list.replace("\"generation\":1", "\"generation\":3"));
    assert!(read_discovery_call(&watch).contains("since=3"));
    assert_rejected(&mut client, "after-a-whole-list");
    assert!(broker.frames.try_recv().is_err());
    assert!(operator_call(calls, "uncordon s").starts_with("ok s is used again"));
    assert_eq!(operator_call(calls, "uncordon s"), "ok s was not out\n");
    // It is one that has just started, and gets its first part within its allowance.
    let started_at = Instant::now();
    for id in 0.. {
        client
            .write_all(&query("fleet-search", &format!("back-{id}"), &[0]))
            .unwrap();
        let served = serve_until_response(&broker.frames, &mut client);
        if served.calls > 0 {
            assert_eq!(served.status, 200);
            break;
        }
        assert_eq!(served.status, 503);
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "used again within 5 s"
        );
    }
}

#[test]
fn node_that_drains_by_the_list_drains_after_the_uncordon_too() {
    let (sender, watches) = mpsc::channel();
    let (broker, calls) = TestBroker::managed(SETTINGS, move |listener: TcpListener, list| {
        let (stream, _) = accept_discovery_call(&listener);
        send_list(&stream, list.clone());
        read_discovery_call(&stream);
        sender.send((stream, list)).unwrap();
    });
    let (watch, list) = watches.recv().unwrap();
    let node_at = list
        .split("hostPort\":\"")
        .nth(1)
        .unwrap()
        .split('"')
        .next()
        .unwrap();
    operator_call_until(calls, "health", "ok ");
    assert!(operator_call(calls, "cordon s").starts_with("ok "));
    send_list(&watch, list_change(2, node_at, "DRAINING"));
    read_discovery_call(&watch);
    assert!(operator_call(calls, "uncordon s").starts_with("ok "));
    let mut client = broker.connect();
    client.write_all(&query("fleet-search", "1", &[0])).unwrap();
    assert_eq!(read_response(&mut client).status, 503);
    assert!(broker.frames.try_recv().is_err());
}

/// What arrives on a connection until its end, and the time until then.
fn read_to_end(stream: &mut TcpStream, started_at: Instant) -> (String, Duration) {
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    (String::from_utf8(received).unwrap(), started_at.elapsed())
}

#[test]
fn quiesced_clients_are_notified_then_closed_and_no_accepted_request_is_lost() {
    let (broker, calls) = TestBroker::managed(SETTINGS, discovery);
    operator_call_until(calls, "health", "ok ");
    let [mut waiting, mut idle, mut arriving, mut active] = [(); 4].map(|()| broker.connect());
    waiting
        .write_all(&query("fleet-search", "waits", &[0]))
        .unwrap();
    let mut pending = broker.next();
    for stream in [&mut idle, &mut active] {
        stream
            .write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
            .unwrap();
        let ready = read_response(stream);
        assert!(ready.status == 200 && ready.keep_alive);
    }
    let started_at = Instant::now();
    assert_eq!(
        operator_call(calls, "quiesce"),
        "ok clients are sent away\n"
    );
    // One call later the loop follows it.
    assert_eq!(
        operator_call_until(calls, "health", "fail "),
        "fail clients are sent away\n"
    );
    let request = query("fleet-search", "arrives", &[0]);
    arriving.write_all(&request[..request.len() - 1]).unwrap();
    // A client that does not know of it is served, and notified with the answer.
    active
        .write_all(&query("fleet-search", "uses", &[0]))
        .unwrap();
    let mut call = broker.next();
    call.parts()
        .iter()
        .for_each(|id| call.answer(&format!("{id} OK 1 -\nv")));
    let served = read_response(&mut active);
    assert!(served.status == 200 && !served.keep_alive, "{served:?}");
    let mut prober = broker.connect();
    prober
        .write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    let ready = read_response(&mut prober);
    assert!(ready.status == 503 && !ready.keep_alive, "{ready:?}");
    let (received, elapsed) = read_to_end(&mut idle, started_at);
    assert!(
        received.is_empty()
            && elapsed >= Duration::from_millis(500)
            && elapsed < Duration::from_secs(2),
        "{elapsed:?}"
    );
    let (received, elapsed) = read_to_end(&mut arriving, started_at);
    assert!(
        received.starts_with("HTTP/1.1 503 ") && elapsed < Duration::from_secs(2),
        "{elapsed:?} {received}"
    );
    // Nothing new is accepted any more; what was accepted long before is waited for, and answered.
    let mut late = broker.connect();
    late.write_all(&query("fleet-search", "late", &[0]))
        .unwrap();
    let rejected = read_response(&mut late);
    assert!(rejected.status == 503 && !rejected.keep_alive);
    pending
        .parts()
        .iter()
        .for_each(|id| pending.answer(&format!("{id} OK 1 -\nv")));
    let (received, _) = read_to_end(&mut waiting, started_at);
    assert!(
        received.starts_with("HTTP/1.1 200 ") && received.contains("connection: close"),
        "{received}"
    );
    assert!(
        broker.frames.try_recv().is_err(),
        "a rejected query is not sent on"
    );
    // Back to work.
    let started_at = Instant::now();
    assert_eq!(operator_call(calls, "resume"), "ok back to work\n");
    operator_call_until(calls, "health", "ok ");
    assert!(started_at.elapsed() < ANSWER_TIMEOUT);
    let mut back = broker.connect();
    back.write_all(&query("fleet-search", "back", &[0]))
        .unwrap();
    let mut call = broker.next();
    call.parts()
        .iter()
        .for_each(|id| call.answer(&format!("{id} OK 1 -\nv")));
    let served = read_response(&mut back);
    assert!(served.status == 200 && served.keep_alive);
}

#[test]
fn answers_are_those_of_the_operators_page() {
    let page = include_str!("../docs/operate/operation.md");
    let (_broker, calls) = TestBroker::managed(SETTINGS, discovery);
    operator_call_until(calls, "health", "ok ");
    let named = |text: &str| {
        text.trim_end()
            .replace("\"s\"", "\"ID\"")
            .replace("ok s ", "ok ID ")
    };
    for (call, expected) in [
        ("health", "ok ready"),
        ("cordon s", "ok ID is out"),
        ("cordon s", "ok ID is out already"),
        ("uncordon s", "ok ID is used again"),
        ("uncordon s", "ok ID was not out"),
        ("resume", "ok clients were not sent away"),
        ("quiesce", "ok clients are sent away"),
        ("resume", "ok back to work"),
    ] {
        let answer = named(&operator_call(calls, call));
        assert!(
            answer.starts_with(expected) && page.contains(&format!("`{answer}`")),
            "{call}: {answer}"
        );
    }
    let metrics = operator_call(calls, "counters");
    for line in metrics.lines().filter(|line| line.starts_with("svc_")) {
        let name = line.split(['{', ' ']).next().unwrap();
        assert!(
            page.contains(&format!("`{name}")),
            "{name} is not on the page"
        );
    }
}

/// The value of a metric.
fn metric(text: &str, name: &str) -> u64 {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.unwrap_or_else(|| panic!("{name} is not in {text}"))
        .parse()
        .unwrap()
}

/// Reads the metrics until these have the expected values.
fn wait_for_metrics(calls: SocketAddr, expected: &[(&str, u64)]) {
    let started_at = Instant::now();
    loop {
        let text = operator_call(calls, "counters");
        assert!(
            text.starts_with("ok\n") && text.ends_with("\neof\n"),
            "{text}"
        );
        if expected
            .iter()
            .all(|(name, value)| metric(&text, name) == *value)
        {
            return;
        }
        assert!(
            started_at.elapsed() < Duration::from_secs(5),
            "{expected:?} in {text}"
        );
    }
}

#[test]
fn metrics_count_requests_by_their_end_and_show_active_ones_and_nodes() {
    // Where the rule on drains allows no time a node is out at once.
    let settings = SETTINGS.replace(
        "\"classes\"",
        r#""rules":{"stopSendingWithinUs":0},"classes""#,
    );
    let (broker, calls) = TestBroker::managed(&settings, discovery);
    operator_call_until(calls, "health", "ok ");
    let none = ["ok", "shed", "errors", "tries"]
        .map(|n| format!("svc_{n}_total{{kind=\"network-report\"}}"));
    let none: Vec<(&str, u64)> = none.iter().map(|name| (name.as_str(), 0)).collect();
    wait_for_metrics(calls, &none);
    wait_for_metrics(
        calls,
        &[
            ("svc_active", 0),
            ("svc_pool_size", 1),
            ("svc_pool_ejected", 0),
        ],
    );
    let mut client = broker.connect();
    let mut query_status = |id: &str, answered: &str| {
        client.write_all(&query("fleet-search", id, &[0])).unwrap();
        let mut call = broker.next();
        call.parts()
            .iter()
            .for_each(|id| call.answer(&format!("{id} {answered}")));
        read_response(&mut client).status
    };
    assert_eq!(
        [
            query_status("a", "OK 1 -\nv"),
            query_status("b", "OK 1 -\nv")
        ],
        [200, 200]
    );
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
    wait_for_metrics(calls, &of([2, 0, 0, 2]));
    // A part that is out: its query is held, its attempt counts as soon as it is written.
    let mut second = broker.connect();
    second.write_all(&query("fleet-search", "c", &[0])).unwrap();
    let mut pending = broker.next();
    wait_for_metrics(calls, &[of([2, 0, 0, 3])[3], ("svc_active", 1)]);
    pending
        .parts()
        .iter()
        .for_each(|id| pending.answer(&format!("{id} OK 1 -\nv")));
    assert_eq!(read_response(&mut second).status, 200);
    // What makes no sense has failed; with the only node out a query is refused, and nothing is
    // sent.
    second
        .write_all(&query("fleet-search", "d", &[0, 0]))
        .unwrap();
    assert_eq!(read_response(&mut second).status, 400);
    assert!(operator_call(calls, "cordon s").starts_with("ok "));
    wait_for_metrics(
        calls,
        &[
            ("svc_active", 0),
            ("svc_pool_size", 1),
            ("svc_pool_ejected", 1),
        ],
    );
    second.write_all(&query("fleet-search", "e", &[0])).unwrap();
    assert_eq!(read_response(&mut second).status, 503);
    wait_for_metrics(calls, &of([3, 1, 1, 3]));
}

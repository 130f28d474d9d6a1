//! A broker that is started beside itself: its processes count as one, and no client notices.

mod test_broker;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use test_broker::*;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A broker: its configuration, its folder, a discovery and one data node.
struct TestBroker {
    folder: PathBuf,
    address: SocketAddr,
    requests: Receiver<ReceivedFrame>,
}

/// A process of the broker.
struct Process {
    child: Child,
    calls: SocketAddr,
    lines: Receiver<String>,
}

impl TestBroker {
    fn new() -> TestBroker {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lichenswitch-upgrade-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir(&folder).unwrap();
        let [node, list] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let (node_at, list_at) = (node.local_addr().unwrap(), list.local_addr().unwrap());
        let (sender, requests) = mpsc::channel();
        thread::spawn(move || data_node(node, sender));
        let text = format!(
            r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"s","hostPort":"{node_at}","zone":"a",
            "machineType":"m","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}]}}"#
        );
        let address = free_address();
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{list_at}","seed":"1","known":{text},
            "limits":{{"memory_mb":16}},"settings":{}}}"#,
            // There is time for an aim after the signal to stop.
            SETTINGS.replace("\"objectiveUs\":4000000", "\"objectiveUs\":1000000")
        );
        std::fs::write(folder.join("config.json"), config).unwrap();
        thread::spawn(move || discovery(list, text));
        TestBroker {
            folder,
            address,
            requests,
        }
    }

    fn start(&self) -> Process {
        self.start_at(free_address())
    }

    /// A process whose operators call there.
    fn start_at(&self, calls: SocketAddr) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lichenswitch"))
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("NODE_MGMT", calls.to_string())
            .env("TMPDIR", &self.folder)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (sender, lines) = mpsc::channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|line| sender.send(line))
        });
        Process {
            child,
            calls,
            lines,
        }
    }

    /// A process that is ready.
    fn start_ready(&self) -> Process {
        let process = self.start();
        operator_call_until(process.calls, "health", "ok ");
        process
    }

    /// A client that has sent a query, on a connection of its own.
    fn query_client(&self, id: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream.write_all(&query("fleet-search", id, &[0])).unwrap();
        stream
    }

    /// Answers one request at the data node.
    fn answer_one(&self) {
        let mut got = self.requests.recv_timeout(WAIT_TIMEOUT).unwrap();
        got.parts()
            .iter()
            .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
    }
}

impl Drop for TestBroker {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Waits for a log line with this text.
    fn wait_for_log(&self, text: &str) {
        loop {
            let line = self
                .lines
                .recv_timeout(WAIT_TIMEOUT)
                .unwrap_or_else(|e| panic!("{text}: {e}"));
            if line.contains(text) {
                return;
            }
        }
    }

    fn wait_for_exit(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn backlog_of_a_stopping_process_is_served_by_the_other() {
    let broker = TestBroker::new();
    let mut old = broker.start_ready();
    let mut new = broker.start_ready();
    // Nobody accepts: what comes waits. Then the old one is told to stop, before the new one comes
    // round again.
    new.signal("-STOP");
    old.signal("-STOP");
    let mut clients: Vec<TcpStream> = (0..30)
        .map(|i| broker.query_client(&format!("q{i}")))
        .collect();
    old.signal("-TERM");
    old.signal("-CONT");
    old.wait_for_log("new clients are left to it");
    new.signal("-CONT");
    // Each gets a final answer; what is beyond what one data node bears is refused.
    let served: Vec<u16> = thread::scope(|scope| {
        let waiting: Vec<_> = clients
            .iter_mut()
            .map(|client| scope.spawn(|| read_response(client).status))
            .collect();
        while !waiting.iter().all(thread::ScopedJoinHandle::is_finished) {
            if let Ok(mut call) = broker.requests.recv_timeout(Duration::from_millis(10)) {
                call.answer_all();
            }
        }
        let statuses = waiting.into_iter().map(|client| client.join().unwrap());
        statuses
            .inspect(|status| assert!([200, 503].contains(status)))
            .collect()
    });
    assert!(served.contains(&200) && new.is_running());
    assert!(old.wait_for_exit().success());
}

#[test]
fn stopping_process_serves_its_clients_and_sends_them_to_the_other() {
    let broker = TestBroker::new();
    let mut old = broker.start_ready();
    let mut client = broker.query_client("first");
    broker.answer_one();
    assert!(read_response(&mut client).keep_alive);
    let new = broker.start_ready();
    old.signal("-TERM");
    old.wait_for_log("new clients are left to it");
    // The broker as such is ready, whichever of its processes is asked.
    client
        .write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    let ready = read_response(&mut client);
    assert_eq!((ready.status, ready.keep_alive), (200, false), "{ready:?}");
    let mut next = broker.query_client("second");
    broker.answer_one();
    assert_eq!(read_response(&mut next).status, 200);
    assert!(old.wait_for_exit().success());
    drop(new);
}

#[test]
fn desired_state_holds_in_both_processes_and_survives_a_crash() {
    let broker = TestBroker::new();
    let old = broker.start_ready();
    let new = broker.start_ready();
    assert!(operator_call(new.calls, "cordon s").starts_with("ok "));
    // The old one alone serves now; it has heard of it.
    new.signal("-STOP");
    let started_at = Instant::now();
    for id in 0.. {
        let mut client = broker.query_client(&format!("old-{id}"));
        let served = serve_until_response(&broker.requests, &mut client);
        if served.calls == 0 {
            assert_eq!(served.status, 503);
            break;
        }
        assert!(
            started_at.elapsed() < Duration::from_millis(1_900),
            "the rule on drains allows two seconds"
        );
    }
    assert!(operator_call(old.calls, "uncordon nobody").starts_with("fail "));
    new.signal("-CONT");
    // Both end without having a say.
    old.signal("-KILL");
    new.signal("-KILL");
    drop((old, new));
    let next = broker.start_ready();
    assert_eq!(
        read_response(&mut broker.query_client("next")).status,
        503,
        "it is out from the first moment on"
    );
    assert!(broker.requests.try_recv().is_err());
    assert!(operator_call(next.calls, "uncordon s").starts_with("ok s is used again"));
}

#[test]
fn damaged_state_is_ignored() {
    let broker = TestBroker::new();
    let first = broker.start_ready();
    assert!(operator_call(first.calls, "cordon s").starts_with("ok "));
    drop(first);
    let folder = std::fs::read_dir(&broker.folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .find(|p| p.is_dir());
    let path = folder.unwrap().join("wanted");
    let complete = std::fs::read(&path).unwrap();
    std::fs::write(&path, &complete[..complete.len() - 3]).unwrap();
    let next = broker.start_ready();
    next.wait_for_log("its checksum is not that of its content");
    let mut client = broker.query_client("1");
    broker.answer_one();
    assert_eq!(read_response(&mut client).status, 200);
}

#[test]
fn start_waits_for_addresses_in_use() {
    // Whoever is there does not share the addresses. One that was free a moment ago may have been
    // taken by another test since.
    let (broker, listener) = std::iter::repeat_with(TestBroker::new)
        .find_map(|broker| {
            TcpListener::bind(broker.address)
                .ok()
                .map(|listener| (broker, listener))
        })
        .unwrap();
    let calls = TcpListener::bind(free_address()).unwrap();
    let mut process = broker.start_at(calls.local_addr().unwrap());
    process.wait_for_log("is in use");
    let calls = {
        let at = calls.local_addr().unwrap();
        drop(calls);
        at
    };
    assert_eq!(
        operator_call_until(calls, "health", "fail the clients"),
        "fail the clients' address is in use\n"
    );
    assert!(process.is_running());
    drop(listener);
    operator_call_until(calls, "health", "ok ");
    let mut client = broker.query_client("1");
    broker.answer_one();
    assert_eq!(read_response(&mut client).status, 200);
}

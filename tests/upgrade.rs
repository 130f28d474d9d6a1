//! A broker that is started beside itself: its processes count as one, and no client notices.

mod platformed;

use platformed::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(20);

/// A broker's surroundings: its configuration, its folder, discovery and one data node.
struct Stage {
    folder: PathBuf,
    address: SocketAddr,
    got: Receiver<Got>,
}

/// A process of it.
struct Process {
    child: Child,
    calls: SocketAddr,
    lines: Receiver<String>,
}

impl Stage {
    fn new() -> Stage {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("lichenswitch-upgrade-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir(&folder).unwrap();
        let [node, list] = [(); 2].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
        let (node_at, list_at) = (node.local_addr().unwrap(), list.local_addr().unwrap());
        let (told, got) = mpsc::channel();
        thread::spawn(move || data_node(node, told));
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
        Stage {
            folder,
            address,
            got,
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
        let (told, lines) = mpsc::channel();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        thread::spawn(move || {
            stderr
                .lines()
                .map_while(Result::ok)
                .try_for_each(|line| told.send(line))
        });
        Process {
            child,
            calls,
            lines,
        }
    }

    /// One that says that it is ready.
    fn ready(&self) -> Process {
        let process = self.start();
        asked_until(process.calls, "health", "ok ");
        process
    }

    /// A client that has asked, on a connection of its own.
    fn client(&self, id: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.write_all(&query("fleet-search", id, &[0])).unwrap();
        stream
    }

    fn serve(&self) {
        let mut got = self.got.recv_timeout(LONG).unwrap();
        got.parts()
            .iter()
            .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let told = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status()
            .unwrap();
        assert!(told.success());
    }

    /// Waits for a line that has this in it.
    fn says(&self, text: &str) {
        loop {
            let line = self
                .lines
                .recv_timeout(LONG)
                .unwrap_or_else(|e| panic!("{text}: {e}"));
            if line.contains(text) {
                return;
            }
        }
    }

    fn ends(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    fn lives(&mut self) -> bool {
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
fn what_waits_at_the_door_of_the_process_that_stops_is_served_by_the_other() {
    let stage = Stage::new();
    let mut old = stage.ready();
    let mut new = stage.ready();
    // Nobody accepts: what comes waits. Then the old one is told to stop, before the new one comes
    // round again.
    new.signal("-STOP");
    old.signal("-STOP");
    let mut clients: Vec<TcpStream> = (0..30).map(|i| stage.client(&format!("q{i}"))).collect();
    old.signal("-TERM");
    old.signal("-CONT");
    old.says("new clients are left to it");
    new.signal("-CONT");
    // Each gets a final answer; what is beyond what one data node bears is refused.
    while let Ok(mut got) = stage.got.recv_timeout(Duration::from_millis(500)) {
        got.parts()
            .iter()
            .for_each(|id| got.answer(&format!("{id} OK 1 -\nv")));
    }
    let served = clients.iter_mut().map(|client| answer(client).status);
    let served: Vec<u16> = served
        .inspect(|status| assert!([200, 503].contains(status)))
        .collect();
    assert!(served.contains(&200) && new.lives());
    assert!(old.ends().success());
}

#[test]
fn the_one_that_stops_serves_who_is_here_and_sends_them_to_the_other_for_the_next_time() {
    let stage = Stage::new();
    let mut old = stage.ready();
    let mut here = stage.client("first");
    stage.serve();
    assert!(answer(&mut here).keep_alive);
    let new = stage.ready();
    old.signal("-TERM");
    old.says("new clients are left to it");
    // The broker as such is ready, whichever of its processes is asked.
    here.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n")
        .unwrap();
    let ready = answer(&mut here);
    assert_eq!((ready.status, ready.keep_alive), (200, false), "{ready:?}");
    let mut next = stage.client("second");
    stage.serve();
    assert_eq!(answer(&mut next).status, 200);
    assert!(old.ends().success());
    drop(new);
}

#[test]
fn what_is_set_by_hand_holds_in_both_processes_over_the_upgrade_and_over_a_crash() {
    let stage = Stage::new();
    let old = stage.ready();
    let new = stage.ready();
    assert!(asked(new.calls, "cordon s").starts_with("ok "));
    // The old one alone serves now; it has heard of it.
    new.signal("-STOP");
    let begun = Instant::now();
    for id in 0.. {
        let mut client = stage.client(&format!("old-{id}"));
        match stage.got.recv_timeout(Duration::from_millis(100)) {
            Ok(mut got) => got
                .parts()
                .iter()
                .for_each(|id| got.answer(&format!("{id} OK 1 -\nv"))),
            Err(_) => {
                assert_eq!(answer(&mut client).status, 503);
                break;
            }
        }
        answer(&mut client);
        assert!(
            begun.elapsed() < Duration::from_millis(1_900),
            "the rule on drains allows two seconds"
        );
    }
    assert!(asked(old.calls, "uncordon nobody").starts_with("fail "));
    new.signal("-CONT");
    // Both end without having a say.
    old.signal("-KILL");
    new.signal("-KILL");
    drop((old, new));
    let next = stage.ready();
    assert_eq!(
        answer(&mut stage.client("next")).status,
        503,
        "it is out from the first moment on"
    );
    assert!(stage.got.try_recv().is_err());
    assert!(asked(next.calls, "uncordon s").starts_with("ok s is used again"));
}

#[test]
fn a_torn_state_is_no_state_and_no_reason_to_end() {
    let stage = Stage::new();
    let first = stage.ready();
    assert!(asked(first.calls, "cordon s").starts_with("ok "));
    drop(first);
    let folder = std::fs::read_dir(&stage.folder)
        .unwrap()
        .map(|e| e.unwrap().path())
        .find(|p| p.is_dir());
    let wanted = folder.unwrap().join("wanted");
    let whole = std::fs::read(&wanted).unwrap();
    std::fs::write(&wanted, &whole[..whole.len() - 3]).unwrap();
    let next = stage.ready();
    next.says("its checksum is not that of its content");
    let mut client = stage.client("1");
    stage.serve();
    assert_eq!(answer(&mut client).status, 200);
}

#[test]
fn a_start_where_both_addresses_are_in_use_waits_for_them() {
    // Whoever is there does not share the addresses. One that was free a moment ago may have been
    // taken by another test since.
    let (stage, door) = std::iter::repeat_with(Stage::new)
        .find_map(|stage| {
            TcpListener::bind(stage.address)
                .ok()
                .map(|door| (stage, door))
        })
        .unwrap();
    let calls = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut process = stage.start_at(calls.local_addr().unwrap());
    process.says("is in use");
    let calls = {
        let at = calls.local_addr().unwrap();
        drop(calls);
        at
    };
    assert_eq!(
        asked_until(calls, "health", "fail the clients"),
        "fail the clients' address is in use\n"
    );
    assert!(process.lives());
    drop(door);
    asked_until(calls, "health", "ok ");
    let mut client = stage.client("1");
    stage.serve();
    assert_eq!(answer(&mut client).status, 200);
}

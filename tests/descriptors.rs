//! Clients that rest fill the descriptors while discovery is down: at its return the list is had in
//! time, queries are served, and meanwhile no loop spins.

mod test_broker;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};
use test_broker::{query, read_response, SETTINGS};

/// A broker that ends with its test, however that goes.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Processor time that a process has taken so far, in ticks of 10 ms.
fn ticks(process: &Child) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id())).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

/// Fills the descriptors of a broker, whose settings name so many and whose system gives it so
/// many, while discovery is down.
fn serve_with_descriptors_filled_by_idle_clients(name: &str, sockets: usize, system_limit: usize) {
    let path =
        std::env::temp_dir().join(format!("lichenswitch-{name}-{}.json", std::process::id()));
    let node = TcpListener::bind("127.0.0.1:0").unwrap();
    let node_address = node.local_addr().unwrap();
    // Discovery is down: its address refuses, and nobody else is given its port.
    let discovery =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    discovery
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let discovery_address = discovery.local_addr().unwrap().as_socket().unwrap();
    let list_text = |lifecycle: &str, generation: u32| {
        format!(
            r#"{{"generation":{generation},"reset":true,"instances":[{{"instanceId":"s","hostPort":"{node_address}","zone":"a",
            "machineType":"m","cell":0,"lifecycle":"{lifecycle}","weight":1.0,"startedAtMs":0}}]}}"#
        )
    };
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_address}","seed":"1","known":{},
        "limits":{{"memory_mb":16,"sockets":{sockets}}},"settings":{SETTINGS}}}"#,
        list_text("SERVING", 1)
    );
    std::fs::write(&path, config).unwrap();
    let limited = format!(
        "ulimit -n {system_limit}; exec {}",
        env!("CARGO_BIN_EXE_lichenswitch")
    );
    let mut broker = Command::new("sh")
        .args(["-c", &limited])
        .env("NODE_CONFIG", &path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .map(Running)
        .unwrap();
    let mut log_lines = BufReader::new(broker.0.stderr.take().unwrap()).lines();
    let line = log_lines
        .find(|l| l.as_ref().unwrap().contains("listens on "))
        .unwrap()
        .unwrap();
    thread::spawn(move || log_lines.for_each(drop));
    let address = line.rsplit(' ').next().unwrap().to_string();
    // Far more clients than there are descriptors connect and rest; half of them have asked
    // something first.
    let mut clients: Vec<TcpStream> = Vec::new();
    for i in 0..120 {
        let mut client = TcpStream::connect(&address).unwrap();
        client
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        if i % 2 == 0 {
            client
                .write_all(b"GET /health/live HTTP/1.1\r\n\r\n")
                .unwrap();
        }
        clients.push(client);
    }
    // They rest for a second and a half: the broker has next to nothing to do.
    let (before, began) = (ticks(&broker.0), Instant::now());
    while began.elapsed() < Duration::from_millis(1_500) {
        thread::park_timeout(Duration::from_millis(100));
    }
    let used_ticks = ticks(&broker.0) - before;
    assert!(used_ticks < 40, "{used_ticks} of 150 ticks: a loop spins");
    // Discovery is back, with a change: the node drains.
    discovery.listen(128).unwrap();
    let discovery = TcpListener::from(discovery);
    let restarted_at = Instant::now();
    let (request_sender, requests) = mpsc::channel();
    let draining_list = list_text("DRAINING", 2);
    thread::spawn(move || {
        for mut stream in discovery.incoming().flatten() {
            let mut received = Vec::new();
            let mut byte = [0];
            while !received.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
                received.push(byte[0]);
            }
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{draining_list}",
                draining_list.len()
            );
            let _ = stream.write_all(text.as_bytes());
            let _ = request_sender.send(());
            // The watch goes on with this one; it is left open.
            std::mem::forget(stream);
        }
    });
    requests
        .recv_timeout(Duration::from_secs(6))
        .expect("the list is asked for before it counts as told");
    assert!(restarted_at.elapsed() < Duration::from_secs(6));
    // A query is answered at once: refused, since its only node drains.
    let mut client = TcpStream::connect(&address).unwrap();
    client
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    client.write_all(&query("fleet-search", "q", &[1])).unwrap();
    assert_eq!(read_response(&mut client).status, 503);
    drop(clients);
    assert!(Command::new("kill")
        .arg(broker.0.id().to_string())
        .status()
        .unwrap()
        .success());
    broker.0.wait().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn idle_clients_fill_what_the_settings_give_while_discovery_is_down() {
    serve_with_descriptors_filled_by_idle_clients("settings", 80, 1_024);
}

#[test]
fn idle_clients_fill_what_the_system_gives_while_discovery_is_down() {
    serve_with_descriptors_filled_by_idle_clients("system", 512, 80);
}

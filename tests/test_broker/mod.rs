//! A broker with the platform's front on loopback, before a discovery and a data node of which the
//! test holds both ends.
#![allow(dead_code, reason = "each test file uses a part of it")]

use lichenswitch::broker::Broker;
use lichenswitch::config::Platform;
use lichenswitch::http::{self, Parsed, Response};
use lichenswitch::management::ManagementHandle;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

pub const SETTINGS: &str = r#"{"allowed":{"maxAttempts":4,"mostHeld":40,"mayCancel":true,"secondCopies":true,
    "retryAfter":true,"maxRetryAfterUs":2000000,"maxStreams":32},
    "classes":[
      {"name":"fleet-search","objectiveUs":4000000,"deadlineUs":9000000,"idempotency":"retryable","gain":1.0,
        "lateShare":0.1},
      {"name":"network-report","objectiveUs":4000000,"deadlineUs":9000000,"idempotency":"retryable","gain":3.0,
        "lateShare":0.1}],
    "discovery":"subscribe","resolutionUs":5000,"zones":["a"],
    "familyInfo":{"partsACall":8,"sets":1,"width":1,"classFetch":[0,2],"classPartial":[0.9,0.8],
      "minShare":[1.0,0.8],"needByClass":[1.0,1.0]}}"#;

/// A frame that a data node received, and the connection to answer on.
pub struct ReceivedFrame {
    pub frame: String,
    pub stream: TcpStream,
}

impl ReceivedFrame {
    /// Ids of the parts of a call.
    pub fn parts(&self) -> Vec<String> {
        let lines = self.frame.trim_start_matches('R').split('\n');
        lines
            .filter_map(|l| l.rsplit("text").next()?.split(' ').next())
            .filter(|l| l.contains('.'))
            .map(Into::into)
            .collect()
    }

    /// Answers each part of a call.
    pub fn answer_all(&mut self) {
        for id in self.parts() {
            self.answer(&format!("{id} OK 1 -\nv"));
        }
    }

    pub fn answer(&mut self, line: &str) {
        let mut bytes = (line.len() as u32 + 1).to_be_bytes().to_vec();
        bytes.push(b'Y');
        bytes.extend_from_slice(line.as_bytes());
        self.stream.write_all(&bytes).unwrap();
    }
}

/// Hands on every frame that comes in on any connection.
pub fn data_node(listener: TcpListener, frames: Sender<ReceivedFrame>) {
    for stream in listener.incoming().flatten() {
        let frames = frames.clone();
        thread::spawn(move || {
            let mut reader = stream.try_clone().unwrap();
            loop {
                let mut length = [0; 4];
                if reader.read_exact(&mut length).is_err() {
                    return;
                }
                let mut frame = vec![0; u32::from_be_bytes(length) as usize];
                if reader.read_exact(&mut frame).is_err() {
                    return;
                }
                if frame == b"G" {
                    (&stream).write_all(b"\0\0\0\x03GOK").unwrap();
                    continue;
                }
                let frame = String::from_utf8(frame).unwrap();
                if frames
                    .send(ReceivedFrame {
                        frame,
                        stream: stream.try_clone().unwrap(),
                    })
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

/// Answers the first call with the list and leaves watches open.
pub fn discovery(listener: TcpListener, list: String) {
    for mut stream in listener.incoming().flatten() {
        let list = list.clone();
        thread::spawn(move || {
            let mut received = Vec::new();
            let mut chunk = [0; 1024];
            while let Ok(n @ 1..) = stream.read(&mut chunk) {
                received.extend_from_slice(&chunk[..n]);
                while let Ok(Parsed::Complete(request, used)) = http::request(&received) {
                    received.drain(..used);
                    if request.query().is_empty() {
                        let answer = Response::new(200, "application/json", list.clone());
                        stream.write_all(&answer.encode(true, false)).unwrap();
                    }
                }
            }
        });
    }
}

pub struct TestBroker {
    pub address: SocketAddr,
    pub frames: Receiver<ReceivedFrame>,
    pub stop: Option<UnixStream>,
    pub broker: Option<thread::JoinHandle<()>>,
}

impl TestBroker {
    pub fn new() -> TestBroker {
        TestBroker::with(SETTINGS)
    }

    pub fn with(settings: &str) -> TestBroker {
        TestBroker::listed(settings, discovery)
    }

    /// A broker that knows a list of one node, before the discovery that is given its listener and
    /// that list.
    pub fn listed(
        settings: &str,
        discovery: impl FnOnce(TcpListener, String) + Send + 'static,
    ) -> TestBroker {
        let node = TcpListener::bind("127.0.0.1:0").unwrap();
        let node_address = node.local_addr().unwrap();
        let (frame_sender, frames) = mpsc::channel();
        thread::spawn(move || data_node(node, frame_sender));
        TestBroker::start(settings, node_address, frames, discovery)
    }

    /// A broker whose only data node listens there and is the test's own.
    pub fn before(settings: &str, node_address: SocketAddr) -> TestBroker {
        TestBroker::start(settings, node_address, mpsc::channel().1, discovery)
    }

    fn start(
        settings: &str,
        node_address: SocketAddr,
        frames: Receiver<ReceivedFrame>,
        discovery: impl FnOnce(TcpListener, String) + Send + 'static,
    ) -> TestBroker {
        TestBroker::start_with(settings, "", node_address, frames, discovery)
    }

    /// The same with operators who call at the address that is returned too.
    pub fn managed(
        settings: &str,
        discovery: impl FnOnce(TcpListener, String) + Send + 'static,
    ) -> (TestBroker, SocketAddr) {
        let node = TcpListener::bind("127.0.0.1:0").unwrap();
        let node_address = node.local_addr().unwrap();
        let (frame_sender, frames) = mpsc::channel();
        thread::spawn(move || data_node(node, frame_sender));
        let operator_address = free_address();
        let extra_keys = format!(r#""mgmt":"{operator_address}","#);
        (
            TestBroker::start_with(settings, &extra_keys, node_address, frames, discovery),
            operator_address,
        )
    }

    fn start_with(
        settings: &str,
        extra_keys: &str,
        node_address: SocketAddr,
        frames: Receiver<ReceivedFrame>,
        discovery: impl FnOnce(TcpListener, String) + Send + 'static,
    ) -> TestBroker {
        let list = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery_address = list.local_addr().unwrap();
        let text = format!(
            r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"s","hostPort":"{node_address}","zone":"a",
            "machineType":"m","cell":0,"lifecycle":"SERVING","weight":1.0,"startedAtMs":0}}]}}"#
        );
        let config = format!(
            r#"{{{extra_keys}"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_address}","seed":"1","known":{text},
            "limits":{{"memory_mb":16}},
            "settings":{settings}}}"#
        );
        thread::spawn(move || discovery(list, text));
        let (stop, signal) = UnixStream::pair().unwrap();
        let (address_sender, address) = mpsc::channel();
        let broker = thread::spawn(move || {
            let platform = Platform::parse(&config, |_| None).unwrap();
            let management = ManagementHandle::open(&platform).unwrap();
            let mut broker = Broker::with_management(Some(platform), None, management).unwrap();
            broker.stop_on(signal).unwrap();
            address_sender.send(broker.addresses()[0].1).unwrap();
            broker.run().unwrap();
        });
        let address = address.recv().unwrap();
        TestBroker {
            address,
            frames,
            stop: Some(stop),
            broker: Some(broker),
        }
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream
    }

    /// Lets the broker know that its node takes its time: else a connection on which nothing has come
    /// for 50 ms is taken for mute, and ended in place of the word that a part is given up.
    pub fn learn_slow_node(&self) {
        let mut client = self.connect();
        client
            .write_all(&query("fleet-search", "slow", &[1]))
            .unwrap();
        let mut call = self.next();
        thread::sleep(Duration::from_millis(200));
        call.answer_all();
        assert_eq!(read_response(&mut client).status, 200);
    }

    pub fn next(&self) -> ReceivedFrame {
        self.frames.recv_timeout(Duration::from_secs(20)).unwrap()
    }
}

impl Drop for TestBroker {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.broker.take().map(thread::JoinHandle::join);
    }
}

/// An address that nobody listens at, and that no other test is given. Its port is below those that
/// the system gives to connections: who tries to connect there before anybody listens would meet
/// itself otherwise.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = (std::process::id() % 4_000 * 4_000 + NEXT.fetch_add(1, Ordering::Relaxed))
            % 16_000_000;
        let [_, a, b, c] = (number + 65_536).to_be_bytes();
        let address = SocketAddr::from(([127, a, b, c], 7_001));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// An operator's connection, as soon as calls are answered there.
pub fn operator(address: SocketAddr) -> TcpStream {
    let started_at = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream
                    .set_read_timeout(Some(Duration::from_secs(20)))
                    .unwrap();
                return stream;
            }
            Err(e) => assert!(started_at.elapsed() < Duration::from_secs(20), "{e}"),
        }
        thread::yield_now();
    }
}

/// An operator's call: the complete answer.
pub fn operator_call(address: SocketAddr, line: &str) -> String {
    try_operator_call(address, line).unwrap()
}

fn try_operator_call(address: SocketAddr, line: &str) -> std::io::Result<String> {
    let mut stream = operator(address);
    stream.write_all(format!("{line}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

/// Asks until the answer begins like this. A connection may be reset before: by a process that is
/// not there yet, or by the last holder of the address, as a process that is being started beside
/// is for a moment.
pub fn operator_call_until(address: SocketAddr, line: &str, begins: &str) -> String {
    let started_at = Instant::now();
    loop {
        match try_operator_call(address, line) {
            Ok(answer) if answer.starts_with(begins) => return answer,
            other => assert!(started_at.elapsed() < Duration::from_secs(20), "{other:?}"),
        }
        thread::yield_now();
    }
}

pub fn body(segments: &[u32]) -> String {
    let boost = 1.0 / segments.len() as f64;
    let segments: Vec<String> = segments
        .iter()
        .map(|s| format!(r#"{{"segment":{s},"boost":{boost}}}"#))
        .collect();
    format!(r#"{{"segments":[{}],"text":"text"}}"#, segments.join(","))
}

pub fn head(class: &str, id: &str) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: h\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Deadline-Ms: 8000\r\n"
    )
}

pub fn query(class: &str, id: &str, segments: &[u32]) -> Vec<u8> {
    let body = body(segments);
    format!(
        "{}Content-Length: {}\r\n\r\n{body}",
        head(class, id),
        body.len()
    )
    .into_bytes()
}

/// Reads one response.
pub fn read_response(stream: &mut TcpStream) -> Response {
    let (mut received, mut chunk) = (Vec::new(), [0; 4096]);
    loop {
        let n = stream.read(&mut chunk).unwrap();
        received.extend_from_slice(&chunk[..n]);
        match http::response(&received, n == 0, 1 << 20).unwrap() {
            Parsed::Complete(response, _) => return response,
            Parsed::Partial(_) => assert!(n > 0, "ended early"),
        }
    }
}

pub fn text(response: &Response) -> String {
    String::from_utf8(response.body.clone()).unwrap()
}

/// How a query ended.
#[derive(Debug, PartialEq, Eq)]
pub struct Served {
    pub status: u16,
    /// Calls that the data node got meanwhile.
    pub calls: usize,
}

/// Answers the calls that a data node gets until this client has its response: however long a call
/// takes to the data node, none is missed.
pub fn serve_until_response(calls: &Receiver<ReceivedFrame>, client: &mut TcpStream) -> Served {
    let started_at = Instant::now();
    let mut count = 0;
    client.set_nonblocking(true).unwrap();
    while client
        .peek(&mut [0])
        .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    {
        assert!(
            started_at.elapsed() < Duration::from_secs(20),
            "no response"
        );
        if let Ok(mut call) = calls.recv_timeout(Duration::from_millis(1)) {
            call.answer_all();
            count += 1;
        }
    }
    client.set_nonblocking(false).unwrap();
    Served {
        status: read_response(client).status,
        calls: count,
    }
}

/// Answers parts until `count` have been; returns the frames.
pub fn serve(stage: &TestBroker, count: usize) -> Vec<String> {
    let (mut served, mut frames) = (0, Vec::new());
    while served < count {
        let mut call = stage.next();
        for id in call.parts() {
            let score = id.split('.').nth(1).unwrap().to_string();
            call.answer(&format!("{id} OK {score} -\nv{score}"));
            served += 1;
        }
        frames.push(call.frame);
    }
    frames
}

/// The next connection to an emulated discovery, and the target of the call on it.
pub fn accept_discovery_call(listener: &TcpListener) -> (TcpStream, String) {
    let (stream, _) = listener.accept().unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    let target = read_discovery_call(&stream);
    (stream, target)
}

pub fn read_discovery_call(mut stream: &TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        received.push(byte[0]);
    }
    String::from_utf8(received)
        .unwrap()
        .split(' ')
        .nth(1)
        .unwrap()
        .into()
}

pub fn send_list(mut stream: &TcpStream, list: String) {
    let answer = Response::new(200, "application/json", list);
    stream.write_all(&answer.encode(true, false)).unwrap();
}

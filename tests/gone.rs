//! Clients that have gone: no attempt begins for them any more, whatever stands between their end
//! and the broker.

mod test_broker;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};
use test_broker::*;

/// Whether the broker has read all that was done before on other connections: it answers this.
fn wait_until_input_is_read(stage: &TestBroker) {
    let mut probe = stage.connect();
    probe
        .write_all(b"GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    assert_eq!(read_response(&mut probe).status, 200);
}

/// A data node to which no connection comes up before it accepts: its queue is full.
struct BacklogFullNode {
    listener: TcpListener,
    fillers: Vec<socket2::Socket>,
}

impl BacklogFullNode {
    fn new() -> BacklogFullNode {
        let socket =
            socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket
            .bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        let fill = |_| {
            let socket =
                socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
            socket.set_nonblocking(true).unwrap();
            // It is on its way, and stays so.
            let _ = socket.connect(&address.into());
            socket
        };
        let fillers = (0..4).map(fill).collect();
        BacklogFullNode { listener, fillers }
    }

    /// From now on connections come up; the first frame that comes on any of them.
    fn first_frame(mut self) -> String {
        self.fillers.clear();
        self.listener.set_nonblocking(true).unwrap();
        let (began, mut open) = (Instant::now(), Vec::<TcpStream>::new());
        loop {
            assert!(began.elapsed() < Duration::from_secs(20), "nothing comes");
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                open.push(stream);
            }
            for stream in &mut open {
                let mut frame = [0; 4096];
                if let Ok(n @ 5..) = stream.read(&mut frame) {
                    return String::from_utf8_lossy(&frame[4..n]).into_owned();
                }
            }
            std::thread::yield_now();
        }
    }
}

/// Connections to this address that are being opened and not up.
fn connecting_sockets(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else {
        panic!("loopback")
    };
    let remote = format!(
        "{:08X}:{:04X} 02",
        u32::from_le_bytes(v4.ip().octets()),
        v4.port()
    );
    std::fs::read_to_string("/proc/net/tcp")
        .unwrap()
        .lines()
        .filter(|l| l.contains(&remote))
        .count()
}

/// The client leaves while its part waits for a connection; the connection comes up after that.
/// With `cancel` false nodes may not be told that parts are given up, and `resolution_us` is the
/// time between two turns of the module.
fn assert_not_sent_after_disconnect(
    cancel: bool,
    resolution_us: u64,
    disconnect: impl Fn(TcpStream),
) {
    let node = BacklogFullNode::new();
    let address = node.listener.local_addr().unwrap();
    let settings = SETTINGS
        .replace("\"mayCancel\":true", &format!("\"mayCancel\":{cancel}"))
        .replace(
            "\"resolutionUs\":5000",
            &format!("\"resolutionUs\":{resolution_us}"),
        )
        .replace(
            "\"maxStreams\":32",
            "\"maxStreams\":32,\"connectTimeoutUs\":60000000",
        )
        .replace("4000000", "40000000")
        .replace("9000000", "90000000");
    // Time enough for seldom turns.
    let query = |id: &str, shard| {
        let bytes = String::from_utf8(query("fleet-search", id, &[shard])).unwrap();
        bytes.replace("Ms: 8000", "Ms: 60000").into_bytes()
    };
    let stage = TestBroker::before(&settings, address);
    let before = connecting_sockets(address);
    let mut departed_client = stage.connect();
    departed_client.write_all(&query("gone", 1)).unwrap();
    while connecting_sockets(address) == before {
        std::thread::yield_now();
    }
    disconnect(departed_client);
    wait_until_input_is_read(&stage);
    let mut staying_client = stage.connect();
    staying_client.write_all(&query("stays", 2)).unwrap();
    let frame = node.first_frame();
    assert!(
        frame.starts_with("Rstays.2 2 ") && !frame.contains("gone"),
        "the first that is sent: {frame}"
    );
}

fn reset(stream: TcpStream) {
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
}

#[test]
fn part_waiting_for_a_connection_is_not_sent_after_its_client_left() {
    assert_not_sent_after_disconnect(true, 5_000, drop);
}

#[test]
fn part_waiting_for_a_connection_is_not_sent_where_cancels_are_not_allowed() {
    assert_not_sent_after_disconnect(false, 5_000, drop);
    assert_not_sent_after_disconnect(false, 5_000, reset);
}

#[test]
fn part_waiting_for_a_connection_is_not_sent_where_turns_are_rare() {
    // The connection is up after the second that the system takes to try again.
    assert_not_sent_after_disconnect(true, 3_000_000, drop);
}

#[test]
fn departed_client_with_unread_input_is_noticed() {
    for disconnect in [drop::<TcpStream>, reset] {
        let stage = TestBroker::new();
        stage.learn_slow_node();
        let mut client = stage.connect();
        client.write_all(&query("fleet-search", "g", &[1])).unwrap();
        let call = stage.next();
        assert_eq!(call.parts(), ["g.1"]);
        // Far more than is held of any request: its end lies behind that.
        client
            .set_write_timeout(Some(Duration::from_secs(1)))
            .unwrap();
        let sent = (0..16)
            .map(|_| client.write_all(&[b'x'; 1 << 20]))
            .all(|r| r.is_ok());
        let disconnected_at = Instant::now();
        disconnect(client);
        assert_eq!(stage.next().frame, "Ag.1");
        assert!(
            sent && disconnected_at.elapsed() < Duration::from_millis(1_000),
            "{:?}",
            disconnected_at.elapsed()
        );
    }
}

#[test]
fn client_that_sends_on_gets_its_answer_then_the_end() {
    let stage = TestBroker::new();
    let mut client = stage.connect();
    client.write_all(&query("fleet-search", "g", &[1])).unwrap();
    let mut call = stage.next();
    client.write_all(&vec![b'x'; 4 << 20]).unwrap();
    wait_until_input_is_read(&stage);
    call.answer("g.1 OK 1 -\nv");
    let response = read_response(&mut client);
    assert_eq!(
        (response.status, response.header("connection")),
        (200, Some("close"))
    );
    assert_eq!(client.read(&mut [0; 10]).unwrap(), 0);
}

#[test]
fn pipelined_request_of_a_departed_client_is_not_sent() {
    let stage = TestBroker::new();
    stage.learn_slow_node();
    let mut client = stage.connect();
    client
        .write_all(&query("fleet-search", "one", &[1]))
        .unwrap();
    let mut call = stage.next();
    client
        .write_all(&query("fleet-search", "two", &[2]))
        .unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    assert_eq!(
        stage.next().frame,
        "Aone.1",
        "whoever ends its side has gone"
    );
    call.answer("one.1 OK 1 -\nv");
    let mut other = stage.connect();
    other
        .write_all(&query("fleet-search", "three", &[3]))
        .unwrap();
    assert!(
        stage.next().frame.starts_with("Rthree.3 3 "),
        "the next that is sent"
    );
}

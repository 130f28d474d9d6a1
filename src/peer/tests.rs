//! The protocol on the loopback interface, with peers of the test.

use super::inbound::MAX_FRAMES_PER_WINDOW;
use super::Delivery::{Droppable, Required};
use super::*;
use crate::net::{Owner, Ready};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn member(name: &str, address: SocketAddr) -> Member {
    Member {
        name: name.into(),
        address,
        zone: "a".into(),
        incarnation: 1,
    }
}

struct TestPeer {
    net: Net,
    protocol: PeerProtocol,
    /// Where the protocol listens, and the one peer that it sends to.
    at: SocketAddr,
    peer: Member,
    listener: TcpListener,
}

impl TestPeer {
    fn new() -> TestPeer {
        let mut net = Net::new(1_024).unwrap();
        net.reserve_for_peers(MAX_CONNECTIONS);
        let at = net
            .listen(Owner::InboundPeer, "127.0.0.1:0".parse().unwrap())
            .unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = member("p", listener.local_addr().unwrap());
        let now = net.clock.now();
        let protocol = PeerProtocol::new(now, "c".into(), member("own", at), BTreeMap::new(), 1);
        TestPeer {
            net,
            protocol,
            at,
            peer,
            listener,
        }
    }

    fn send(&mut self, bytes: &[u8], delivery: Delivery) -> bool {
        let peer = self.peer.clone();
        self.protocol
            .send_swim(&mut self.net, &peer, bytes.to_vec(), delivery)
    }

    /// Handles all that is ready and due; returns what was received.
    fn run_turn(&mut self) -> Vec<ReceivedMessage> {
        let until = self.net.clock.now().plus(10_000);
        let mut received = Vec::new();
        for ready in self.net.wait(Some(until)).unwrap() {
            match ready {
                Ready::Listener(_) => {
                    let ids = self.net.accept(Owner::InboundPeer);
                    self.protocol.on_accepted(&self.net, ids);
                }
                Ready::Conn(id, _) => received.extend(self.protocol.on_ready(&mut self.net, id)),
                Ready::Signal(_) => {}
            }
        }
        if self.protocol.next() <= self.net.clock.now() {
            received.extend(self.protocol.on_time(&mut self.net));
        }
        received.retain(|h| h.payload != Payload::Greeting);
        received
    }

    fn run_until(&mut self, event: &str, mut done: impl FnMut(&mut TestPeer) -> bool) {
        for _ in 0..2_000 {
            self.run_turn();
            if done(self) {
                return;
            }
        }
        panic!("{event} never came");
    }

    /// The connection that the protocol has opened, with its greeting read.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().unwrap();
        self.run_turn();
        let greeting = wire::decode_greeting(&read_frame(&mut stream), "c").unwrap();
        assert_eq!(greeting.from.name, "own");
        stream
    }

    /// A peer that has connected and greeted.
    fn greeted(&mut self) -> TcpStream {
        let mut stream = TcpStream::connect(self.at).unwrap();
        let from = Greeting {
            cluster: "c".into(),
            from: self.peer.clone(),
        };
        stream.write_all(&wire::encode_greeting(&from)).unwrap();
        stream
    }
}

fn read_frame(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut content).unwrap();
    content
}

fn frame(bytes: &[u8]) -> Frame {
    Frame::Swim(bytes.to_vec())
}

#[test]
fn frames_arrive_in_order_on_one_connection_and_name_their_sender() {
    let mut test = TestPeer::new();
    assert!(test.send(b"one", Droppable) && test.send(b"two", Droppable));
    let mut stream = test.accept();
    let sent =
        [read_frame(&mut stream), read_frame(&mut stream)].map(|m| wire::decode_frame(&m).unwrap());
    assert_eq!(sent, [frame(b"one"), frame(b"two")]);
    let mut peer = test.greeted();
    for bytes in [b"three", b"fours"] {
        peer.write_all(&wire::encode_frame(&frame(bytes)).unwrap())
            .unwrap();
    }
    let mut received = Vec::new();
    for _ in 0..2_000 {
        received.extend(test.run_turn());
        if received.len() == 2 {
            break;
        }
    }
    let words: Vec<_> = received
        .iter()
        .map(|h| (h.from.name.as_str(), &h.payload))
        .collect();
    let fleet = |bytes: &[u8]| Payload::Swim(bytes.to_vec());
    assert_eq!(words, [("p", &fleet(b"three")), ("p", &fleet(b"fours"))]);
    let stats = test.protocol.stats();
    assert_eq!((stats.sent, stats.received, stats.dropped), (2, 2, 0));
}

#[test]
fn unreachable_peer_is_connected_to_again_and_logged_once() {
    let mut test = TestPeer::new();
    // Below the ports that the system gives to connections, at an address of this process's own: a
    // port that was free a moment ago may be another test's by now.
    let id = std::process::id().to_le_bytes();
    let away = SocketAddr::from(([127, 200 + id[2] % 50, id[1], 1 + id[0] % 250], 7_001));
    let peer = member("q", away);
    for _ in 0..3 {
        test.protocol
            .send_swim(&mut test.net, &peer, b"x".to_vec(), Required);
        let waits = test.protocol.outbound.peers["q"].backoff.ready_at();
        test.run_until("a failure", |s| {
            s.protocol.outbound.peers["q"].backoff.ready_at() > waits
        });
    }
    let log = test.protocol.take_log();
    assert_eq!(log.len(), 1, "{log:?}");
    assert!(log[0].starts_with("peer q: can't be spoken to: "));
    assert_eq!(test.protocol.stats().dropped, 0, "required frames are kept");
    let listener = TcpListener::bind(away).unwrap();
    listener.set_nonblocking(true).unwrap();
    let mut taken = None;
    test.run_until("a connection", |_| {
        taken = listener.accept().ok();
        taken.is_some()
    });
    test.run_until("a line", |s| !s.protocol.journal.log.is_empty());
    assert_eq!(test.protocol.take_log(), ["peer q: can be spoken to again"]);
    assert!(
        test.protocol.outbound.peers["q"].queue.is_empty(),
        "required frames are sent"
    );
}

#[test]
fn peer_that_does_not_read_costs_bounded_memory() {
    let mut test = TestPeer::new();
    let large = vec![7; 60_000];
    test.send(&large, Droppable);
    let _unread = test.accept();
    let (mut refused, mut turns) = (0, 0);
    // Far more than the system's buffers take.
    while refused == 0 && turns < 2_000 {
        refused += u64::from(!test.send(&large, Required));
        test.run_turn();
        turns += 1;
    }
    assert!(refused > 0, "required frames are rejected in the end");
    let conn = test.protocol.outbound.peers["p"].conn.unwrap();
    assert!(!test.net.get(conn).unwrap().flushed());
    assert!(!test.send(&large, Droppable), "and so are droppable ones");
    assert!(test.protocol.stats().dropped > 0);
}

#[test]
fn reading_pauses_at_the_limit_without_loss() {
    let mut test = TestPeer::new();
    let mut peer = test.greeted();
    let all = 3 * MAX_FRAMES_PER_WINDOW as usize;
    let one = wire::encode_frame(&frame(b"x")).unwrap();
    peer.write_all(&one.repeat(all)).unwrap();
    let (mut received, mut rested) = (0, false);
    for _ in 0..2_000 {
        let now = test.run_turn().len();
        assert!(now <= MAX_FRAMES_PER_WINDOW as usize + 1, "{now} at once");
        rested |= test.protocol.inbound.resume_at().is_some();
        received += now;
        if received == all {
            break;
        }
    }
    assert!(received == all && rested, "{received} of {all}");
}

#[test]
fn least_used_connection_makes_room_and_one_too_many_is_not_accepted() {
    let mut test = TestPeer::new();
    let listeners: Vec<TcpListener> = (0..MAX_CONNECTIONS + 2)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    for (i, listener) in listeners.iter().enumerate() {
        let peer = member(&format!("q{i:02}"), listener.local_addr().unwrap());
        test.protocol
            .send_swim(&mut test.net, &peer, b"x".to_vec(), Droppable);
        let name = peer.name;
        test.run_until("a connection", |s| {
            s.protocol.outbound.peers[&name].queue.is_empty()
        });
    }
    let open: Vec<&str> = test
        .protocol
        .outbound
        .peers
        .iter()
        .filter(|(_, o)| o.conn.is_some())
        .map(|(n, _)| n.as_str())
        .collect();
    assert_eq!(
        (open.len(), open[0]),
        (MAX_CONNECTIONS, "q02"),
        "the first two made room"
    );
    let clients: Vec<TcpStream> = (0..MAX_CONNECTIONS + 8)
        .map(|_| TcpStream::connect(test.at).unwrap())
        .collect();
    test.run_until("all of them", |s| {
        s.protocol.inbound.len() == MAX_CONNECTIONS
    });
    let closed = |c: &TcpStream| {
        c.set_read_timeout(Some(std::time::Duration::from_millis(1)))
            .unwrap();
        matches!((&mut &*c).read(&mut [0]), Ok(0))
    };
    test.run_until("the end of the others", |_| {
        clients.iter().filter(|c| closed(c)).count() == 8
    });
    assert!(
        !test.net.is_accept_paused(),
        "clients of the fronts are still accepted"
    );
}

#[test]
fn rejection_is_logged_with_the_peer_that_sent_it() {
    let mut test = TestPeer::new();
    test.send(b"x", Droppable);
    let mut stream = test.accept();
    stream
        .write_all(&wire::encode_frame(&Frame::Rejected("not you".into())).unwrap())
        .unwrap();
    test.run_until("a line", |s| !s.protocol.journal.log.is_empty());
    assert_eq!(
        test.protocol.take_log(),
        ["peer p: can't be spoken to: it refused: not you"]
    );
}

//! The talk on loopback, with peers of the tests' own.

use super::*;
use crate::net::Ready;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

fn member(name: &str, address: SocketAddr) -> Member {
    Member {
        name: name.into(),
        address,
        zone: "a".into(),
        life: 1,
    }
}

struct Stage {
    net: Net,
    talk: Talk,
    /// Where the talk listens, and the one peer that it speaks to.
    at: SocketAddr,
    peer: Member,
    listener: TcpListener,
}

impl Stage {
    fn new() -> Stage {
        let mut net = Net::new(1_024).unwrap();
        net.reserve_for_peers(MOST);
        let at = net
            .listen(Owner::PeerIn, "127.0.0.1:0".parse().unwrap())
            .unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let peer = member("p", listener.local_addr().unwrap());
        let now = net.clock.now();
        let talk = Talk::new(now, "c".into(), member("own", at), BTreeMap::new(), 1);
        Stage {
            net,
            talk,
            at,
            peer,
            listener,
        }
    }

    fn say(&mut self, bytes: &[u8], keep: bool) -> bool {
        let peer = self.peer.clone();
        self.talk.say(&mut self.net, &peer, bytes.to_vec(), keep)
    }

    /// One look at all that is ready and due; tells what was heard.
    fn turn(&mut self) -> Vec<Heard> {
        let until = self.net.clock.now().plus(10_000);
        let mut heard = Vec::new();
        for ready in self.net.wait(Some(until)).unwrap() {
            match ready {
                Ready::Listener(_) => {
                    let ids = self.net.accept(Owner::PeerIn);
                    self.talk.accepted(&mut self.net, ids);
                }
                Ready::Conn(id, _) => heard.extend(self.talk.ready(&mut self.net, id)),
                Ready::Signal(_) => {}
            }
        }
        if self.talk.next() <= self.net.clock.now() {
            heard.extend(self.talk.on_time(&mut self.net));
        }
        heard.retain(|h| h.what != What::Greeting);
        heard
    }

    fn until(&mut self, what: &str, mut done: impl FnMut(&mut Stage) -> bool) {
        for _ in 0..2_000 {
            self.turn();
            if done(self) {
                return;
            }
        }
        panic!("{what} never came");
    }

    /// The connection that the talk opened, with its greeting read.
    fn accept(&mut self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().unwrap();
        self.turn();
        let greeting = wire::read_greeting(&message(&mut stream), "c").unwrap();
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
        stream.write_all(&wire::greeting(&from)).unwrap();
        stream
    }
}

fn message(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut content = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut content).unwrap();
    content
}

fn word(bytes: &[u8]) -> Word {
    Word::Fleet(bytes.to_vec())
}

#[test]
fn what_is_said_comes_in_order_on_one_connection_and_what_is_heard_names_its_sender() {
    let mut stage = Stage::new();
    assert!(stage.say(b"one", false) && stage.say(b"two", false));
    let mut stream = stage.accept();
    let said = [message(&mut stream), message(&mut stream)].map(|m| wire::read(&m).unwrap());
    assert_eq!(said, [word(b"one"), word(b"two")]);
    let mut peer = stage.greeted();
    for bytes in [b"three", b"fours"] {
        peer.write_all(&wire::message(&word(bytes)).unwrap())
            .unwrap();
    }
    let mut heard = Vec::new();
    for _ in 0..2_000 {
        heard.extend(stage.turn());
        if heard.len() == 2 {
            break;
        }
    }
    let words: Vec<_> = heard
        .iter()
        .map(|h| (h.from.name.as_str(), &h.what))
        .collect();
    let fleet = |bytes: &[u8]| What::Fleet(bytes.to_vec());
    assert_eq!(words, [("p", &fleet(b"three")), ("p", &fleet(b"fours"))]);
    let figures = stage.talk.figures();
    assert_eq!((figures.said, figures.heard, figures.dropped), (2, 2, 0));
}

#[test]
fn a_peer_that_is_away_is_tried_again_and_said_so_once() {
    let mut stage = Stage::new();
    // Below the ports that the system gives to connections, at an address of this process's own: a
    // port that was free a moment ago may be another test's by now.
    let id = std::process::id().to_le_bytes();
    let away = SocketAddr::from(([127, 200 + id[2] % 50, id[1], 1 + id[0] % 250], 7_001));
    let peer = member("q", away);
    for _ in 0..3 {
        stage.talk.say(&mut stage.net, &peer, b"x".to_vec(), true);
        let waits = stage.talk.outs["q"].redial.at();
        stage.until("a failure", |s| s.talk.outs["q"].redial.at() > waits);
    }
    let log = stage.talk.take_log();
    assert_eq!(log.len(), 1, "{log:?}");
    assert!(log[0].starts_with("peer q: can't be spoken to: "));
    assert_eq!(stage.talk.figures().dropped, 0, "what must be kept is");
    let listener = TcpListener::bind(away).unwrap();
    listener.set_nonblocking(true).unwrap();
    let mut taken = None;
    stage.until("a call", |_| {
        taken = listener.accept().ok();
        taken.is_some()
    });
    stage.until("a line", |s| !s.talk.log.is_empty());
    assert_eq!(stage.talk.take_log(), ["peer q: can be spoken to again"]);
    assert!(
        stage.talk.outs["q"].queue.is_empty(),
        "what was kept is said"
    );
}

#[test]
fn a_peer_that_does_not_read_costs_bounded_memory() {
    let mut stage = Stage::new();
    let large = vec![7; 60_000];
    stage.say(&large, false);
    let _unread = stage.accept();
    let (mut refused, mut turns) = (0, 0);
    // Far more than the system's buffers take.
    while refused == 0 && turns < 2_000 {
        refused += u64::from(!stage.say(&large, true));
        stage.turn();
        turns += 1;
    }
    assert!(refused > 0, "what must be kept is refused in the end");
    let conn = stage.talk.outs["p"].conn.unwrap();
    assert!(!stage.net.get(conn).unwrap().flushed());
    assert!(!stage.say(&large, false), "and so is what may be dropped");
    assert!(stage.talk.figures().dropped > 0);
}

#[test]
fn reading_rests_when_much_comes_and_nothing_is_lost_by_that() {
    let mut stage = Stage::new();
    let mut peer = stage.greeted();
    let all = 3 * BUDGET as usize;
    let one = wire::message(&word(b"x")).unwrap();
    peer.write_all(&one.repeat(all)).unwrap();
    let (mut heard, mut rested) = (0, false);
    for _ in 0..2_000 {
        let now = stage.turn().len();
        assert!(now <= BUDGET as usize + 1, "{now} at once");
        rested |= !stage.talk.resting.is_empty();
        heard += now;
        if heard == all {
            break;
        }
    }
    assert!(heard == all && rested, "{heard} of {all}");
}

#[test]
fn beyond_its_connections_the_one_unused_for_longest_goes_and_one_too_many_is_not_taken() {
    let mut stage = Stage::new();
    let listeners: Vec<TcpListener> = (0..MOST + 2)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    for (i, listener) in listeners.iter().enumerate() {
        let peer = member(&format!("q{i:02}"), listener.local_addr().unwrap());
        stage.talk.say(&mut stage.net, &peer, b"x".to_vec(), false);
        let name = peer.name;
        stage.until("a call", |s| s.talk.outs[&name].queue.is_empty());
    }
    let open: Vec<&str> = stage
        .talk
        .outs
        .iter()
        .filter(|(_, o)| o.conn.is_some())
        .map(|(n, _)| n.as_str())
        .collect();
    assert_eq!(
        (open.len(), open[0]),
        (MOST, "q02"),
        "the first two made room"
    );
    let clients: Vec<TcpStream> = (0..MOST + 8)
        .map(|_| TcpStream::connect(stage.at).unwrap())
        .collect();
    stage.until("all of them", |s| s.talk.ins.len() == MOST);
    let closed = |c: &TcpStream| {
        c.set_read_timeout(Some(std::time::Duration::from_millis(1)))
            .unwrap();
        matches!((&mut &*c).read(&mut [0]), Ok(0))
    };
    stage.until("the end of the others", |_| {
        clients.iter().filter(|c| closed(c)).count() == 8
    });
    assert!(
        !stage.net.is_accept_paused(),
        "clients of the fronts do not wait for that"
    );
}

#[test]
fn a_refusal_is_told_by_whom_it_came_from() {
    let mut stage = Stage::new();
    stage.say(b"x", false);
    let mut stream = stage.accept();
    stream
        .write_all(&wire::message(&Word::Refused("not you".into())).unwrap())
        .unwrap();
    stage.until("a line", |s| !s.talk.log.is_empty());
    assert_eq!(
        stage.talk.take_log(),
        ["peer p: can't be spoken to: it refused: not you"]
    );
}

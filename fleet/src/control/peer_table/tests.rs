//! Tests of `peer_table`.

use super::super::net_program::{Net, Owner};
use super::*;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * 1_000)
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_300))
}

fn handshake() -> PeerHandshake {
    PeerHandshake {
        node: "n".to_owned(),
        identity: 5,
        is_eligible: true,
    }
}

/// Ids of connections.
fn connections(count: usize) -> Vec<ConnId> {
    let mut net = Net::new(100).unwrap();
    net.reserve_for_peers(8);
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    (0..count)
        .map(|_| net.connect(Owner::Dialled, to).unwrap())
        .collect()
}

#[test]
fn both_ends_of_pair_choose_same_connection() {
    let dialled = connections(2);
    // The smaller address dialled the first one, the greater the second.
    let (by_small, by_great) = (dialled[0], dialled[1]);
    let mut small = PeerTable::new(address(1), vec![address(2)], at(0));
    let mut great = PeerTable::new(address(2), vec![address(1)], at(0));
    small.on_dial_started(address(2), by_small, at(0));
    great.on_dial_started(address(1), by_great, at(0));
    assert_eq!(
        small.connection(address(2)),
        None,
        "messages are sent only after the handshake"
    );
    small.on_handshake(address(2), by_small, handshake(), at(1));
    small.on_handshake(address(2), by_great, handshake(), at(1));
    great.on_handshake(address(1), by_great, handshake(), at(1));
    great.on_handshake(address(1), by_small, handshake(), at(1));
    assert_eq!(small.connection(address(2)), Some(by_small));
    assert_eq!(great.connection(address(1)), Some(by_small));

    // Without that one both go on with the other, and neither dials.
    small.on_closed(address(2), by_small, at(2));
    great.on_closed(address(1), by_small, at(2));
    assert_eq!(small.connection(address(2)), Some(by_great));
    assert_eq!(great.connection(address(1)), Some(by_great));
    assert!(small.due_dials(at(60_000)).is_empty() && great.due_dials(at(60_000)).is_empty());
}

#[test]
fn lost_peer_is_redialled_with_backoff_up_to_half_a_second() {
    let id = connections(1)[0];
    let mut peers = PeerTable::new(address(1), vec![address(2)], at(0));
    assert_eq!(peers.due_dials(at(0)), [address(2)]);
    let mut now = 0;
    for _ in 0..20 {
        peers.on_dial_started(address(2), id, at(now));
        assert!(
            peers.due_dials(at(now + 10_000)).is_empty(),
            "one attempt at a time"
        );
        peers.on_closed(address(2), id, at(now));
        let next = peers.next_wake().unwrap();
        let delay = elapsed(at(now), next);
        assert!(
            delay >= MIN_REDIAL_DELAY / 2 && delay <= MAX_REDIAL_DELAY,
            "{delay:?}"
        );
        now = (next.0 - at(0).0).div_ceil(1_000);
    }
    assert!(now > 3_000, "it gets slower: {now} ms for 20 attempts");
}

#[test]
fn unreachable_addresses_are_forgotten_except_seeds_and_voters() {
    let mut peers = PeerTable::new(address(1), vec![address(2)], at(0));
    peers.learn_all(
        &[
            "10.0.0.3:7300".to_owned(),
            "10.0.0.4:7300".to_owned(),
            "no address".to_owned(),
        ],
        at(0),
    );
    peers.learn(address(1), at(0));
    assert_eq!(peers.iter().count(), 3, "its own address is no peer");
    assert!(peers
        .forget_unreachable(&[address(4)], at(59_000))
        .is_empty());
    assert_eq!(
        peers.forget_unreachable(&[address(4)], at(61_000)),
        [address(3)]
    );
    assert!(
        peers.reached_addresses().is_empty(),
        "an address that was never reached is not reported to others"
    );
}

#[test]
fn number_of_learned_addresses_is_bounded() {
    let mut peers = PeerTable::new(address(1), vec![address(2)], at(0));
    (0..200).for_each(|n| peers.learn(SocketAddr::from(([10, 1, 0, n], 7_300)), at(0)));
    assert_eq!(peers.iter().count(), MAX_PEERS);
}

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

/// Returns the ids of `count` connections.
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
    // The machine with the lower address has dialled the first connection, the other the second.
    let (dialled_by_lower, dialled_by_higher) = (dialled[0], dialled[1]);
    let mut lower = PeerTable::new(address(1), vec![address(2)], at(0));
    let mut higher = PeerTable::new(address(2), vec![address(1)], at(0));
    lower.on_dial_started(address(2), dialled_by_lower, at(0));
    higher.on_dial_started(address(1), dialled_by_higher, at(0));
    assert_eq!(
        lower.connection(address(2)),
        None,
        "messages are sent only after the handshake"
    );
    lower.on_handshake(address(2), dialled_by_lower, handshake(), at(1));
    lower.on_handshake(address(2), dialled_by_higher, handshake(), at(1));
    higher.on_handshake(address(1), dialled_by_higher, handshake(), at(1));
    higher.on_handshake(address(1), dialled_by_lower, handshake(), at(1));
    assert_eq!(lower.connection(address(2)), Some(dialled_by_lower));
    assert_eq!(higher.connection(address(1)), Some(dialled_by_lower));

    // After that connection is closed, both use the other one, and neither dials.
    lower.on_closed(address(2), dialled_by_lower, at(2));
    higher.on_closed(address(1), dialled_by_lower, at(2));
    assert_eq!(lower.connection(address(2)), Some(dialled_by_higher));
    assert_eq!(higher.connection(address(1)), Some(dialled_by_higher));
    assert!(lower.due_dials(at(60_000)).is_empty() && higher.due_dials(at(60_000)).is_empty());
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
    assert!(now > 3_000, "delays increase: {now} ms for 20 attempts");
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

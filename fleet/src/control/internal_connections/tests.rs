//! Tests of `internal_connections`.

use super::*;
use crate::control::net_program::Owner;
use lichenswitch_messages::PeerMessage;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// How long a test waits for what is due before it fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

fn net() -> Net {
    let mut net = Net::new(256).unwrap();
    net.reserve_for_peers(16);
    net
}

/// An established connection in the table, and the other end of it.
fn connected(net: &mut Net, connections: &mut InternalConnections) -> (ConnId, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let id = net.connect(Owner::Dialled, address).unwrap();
    connections.insert(id, RemoteRole::Peer(address), net.clock.now());
    let (other, _) = listener.accept().unwrap();
    other.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    while !net.get(id).unwrap().up {
        net.wait(None).unwrap();
        connections.process_ready(net, id);
    }
    (id, other)
}

fn message_of(payload_bytes: usize) -> Envelope {
    Envelope::Peer(PeerMessage::Replication(vec![0; payload_bytes]))
}

/// Guards against CONFIG (review/3): a message that was dropped and noted as sent.
#[test]
fn message_that_cannot_be_encoded_closes_its_connections_alone() {
    let mut net = net();
    let mut connections = InternalConnections::default();
    let (first, _first_end) = connected(&mut net, &mut connections);
    let (second, _second_end) = connected(&mut net, &mut connections);
    let (third, mut third_end) = connected(&mut net, &mut connections);
    connections.send_to_all(
        &mut net,
        &[first, second],
        &message_of(PAYLOAD_LIMIT_BYTES + 1),
    );
    connections.send(&mut net, second, &message_of(1));
    connections.send(&mut net, third, &message_of(1));
    let failed = connections.flush(&mut net);
    let ids: BTreeSet<ConnId> = failed.iter().map(|failed| failed.id).collect();
    assert_eq!(ids, BTreeSet::from([first, second]));
    assert!(failed
        .iter()
        .all(|failed| matches!(failed.reason, CloseReason::MessageNotEncoded)));
    third_end.read_exact(&mut [0]).unwrap();
    assert!(connections.flush(&mut net).is_empty(), "each is told once");
}

#[test]
fn longest_message_may_wait_behind_another_one() {
    let mut net = net();
    let mut connections = InternalConnections::default();
    let (id, _other_end) = connected(&mut net, &mut connections);
    let longest = message_of(PAYLOAD_LIMIT_BYTES - 1_024);
    for _ in 0..2 {
        connections.send(&mut net, id, &longest);
        assert!(connections.flush(&mut net).is_empty());
    }
    connections.send(&mut net, id, &longest);
    let failed = connections.flush(&mut net);
    assert!(
        matches!(
            failed[..],
            [FailedConnection {
                reason: CloseReason::QueueFull(_),
                ..
            }]
        ),
        "a reader that stalls bounds what is kept for it"
    );
}

//! Tests of `relay`.

use super::*;

#[test]
fn messages_are_forwarded_dropped_paused_and_duplicated_as_set() {
    let end = TcpListener::bind("127.0.0.1:0").unwrap();
    let relay = Relay::start(end.local_addr().unwrap(), 1).unwrap();
    let mut from = TcpStream::connect(relay.address).unwrap();
    let (mut to, _) = end.accept().unwrap();
    let mut send = |byte: u8| from.write_all(&[0, 0, 0, 1, byte]).unwrap();
    let received = |least| loop {
        let counts = relay.message_counts();
        if counts.forwarded + counts.dropped >= least {
            return;
        }
        thread::yield_now();
    };
    relay.set(Faults {
        is_partitioned: true,
        ..Faults::default()
    });
    send(1);
    received(1);
    relay.set(Faults {
        duplicate_share: 1.0,
        ..Faults::default()
    });
    send(2);
    received(2);
    relay.set(Faults {
        is_paused: true,
        ..Faults::default()
    });
    send(3);
    relay.set(Faults::default());
    let mut got = [0; 15];
    to.read_exact(&mut got).unwrap();
    assert_eq!([got[4], got[9], got[14]], [2, 2, 3]);
    let expected = MessageCounts {
        forwarded: 2,
        dropped: 1,
    };
    assert_eq!(relay.message_counts(), expected);
    relay.reset();
    assert_eq!(to.read(&mut [0]).unwrap_or(0), 0, "both ends are over");
}

//! Tests of `byte_link`.

use super::*;

fn linked() -> (TcpListener, ByteLink) {
    let end = TcpListener::bind("127.0.0.1:0").unwrap();
    let link = ByteLink::start(end.local_addr().unwrap()).unwrap();
    (end, link)
}

/// Whether nothing arrives within 50 ms.
fn is_silent(stream: &mut TcpStream) -> bool {
    stream
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let silent = stream.read(&mut [0]).is_err();
    stream.set_read_timeout(None).unwrap();
    silent
}

#[test]
fn bytes_sent_during_partition_arrive_both_ways_after_healing() {
    let (end, link) = linked();
    let mut from = TcpStream::connect(link.address).unwrap();
    let (mut to, _) = end.accept().unwrap();
    let mut got = [0; 2];
    from.write_all(b"ab").unwrap();
    to.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"ab");
    link.set_partitioned(true);
    from.write_all(b"cd").unwrap();
    to.write_all(b"ef").unwrap();
    assert!(is_silent(&mut to) && is_silent(&mut from));
    link.set_partitioned(false);
    to.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"cd");
    from.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"ef");
}

#[test]
fn connection_end_during_partition_is_seen_only_after_healing() {
    let (end, link) = linked();
    let from = TcpStream::connect(link.address).unwrap();
    let (mut to, _) = end.accept().unwrap();
    link.set_partitioned(true);
    drop(from);
    assert!(is_silent(&mut to));
    link.set_partitioned(false);
    assert_eq!(to.read(&mut [0]).unwrap_or(0), 0);
}

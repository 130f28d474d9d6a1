//! Tests of `handover`.

use super::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::net::UnixListener;
use std::path::PathBuf;
use std::thread;

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lichenswitch-{name}-{}", std::process::id()))
}

/// A client that has connected and asked, and that nobody has accepted.
fn waits(listener: &TcpListener) -> TcpStream {
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"?").unwrap();
    client
}

#[test]
fn a_listener_that_is_closed_resets_what_waits_there() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = waits(&listener);
    drop(listener);
    assert_eq!(
        client.read(&mut [0]).unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
}

#[test]
fn what_waits_at_a_socket_that_was_handed_over_is_served_by_the_next() {
    let path = path("handed");
    let offers = UnixListener::bind(&path).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = waits(&listener);
    let before = thread::spawn(move || {
        offer(&offers.accept().unwrap().0, &listener).unwrap();
        drop(listener);
    });
    let next = take(&path).unwrap();
    before.join().unwrap();
    let (mut served, _) = next.accept().unwrap();
    served.read_exact(&mut [0]).unwrap();
    served.write_all(b"!").unwrap();
    client.read_exact(&mut [0]).unwrap();
    std::fs::remove_file(path).unwrap();
}

#[test]
fn who_offers_nothing_or_is_not_there_hands_nothing_over() {
    let path = path("refused");
    assert!(take(&path).is_err());
    let offers = UnixListener::bind(&path).unwrap();
    let before = thread::spawn(move || {
        (&offers.accept().unwrap().0).write_all(b"d").unwrap();
        drop(offers.accept().unwrap());
    });
    assert_eq!(take(&path).unwrap_err().to_string(), "no socket came");
    assert!(take(&path).is_err(), "who ends without a word");
    before.join().unwrap();
    std::fs::remove_file(path).unwrap();
}

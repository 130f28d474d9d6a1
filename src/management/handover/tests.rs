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

/// A client that has connected and sent a request, and that nobody has accepted.
fn waiting_client(listener: &TcpListener) -> TcpStream {
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    client.write_all(b"?").unwrap();
    client
}

#[test]
fn closed_listener_resets_its_backlog() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = waiting_client(&listener);
    drop(listener);
    assert_eq!(
        client.read(&mut [0]).unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
}

#[test]
fn backlog_of_a_handed_over_socket_is_served_by_the_next_process() {
    let path = path("handed");
    let offers = UnixListener::bind(&path).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = waiting_client(&listener);
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
fn process_without_an_offer_hands_nothing_over() {
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

//! Tests of `net`.

use super::*;
use lichenswitch_interface::Micros;
use socket2::SockRef;
use std::io::Write;

/// A program that has clients, servers it calls and one signal.
struct TestProgram;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Clients,
    Servers,
}

impl Program for TestProgram {
    type Owner = Owner;
    type Timer = u32;
    type Signal = ();

    fn side(owner: Owner) -> ConnectionKind {
        match owner {
            Owner::Clients => ConnectionKind::Clients,
            Owner::Servers => ConnectionKind::Nodes,
        }
    }

    fn user_timeout(owner: Owner) -> Option<Duration> {
        (owner == Owner::Servers).then_some(PATIENCE)
    }

    fn probe_after(owner: Owner) -> Option<Duration> {
        (owner == Owner::Servers).then_some(PATIENCE)
    }
}

const PATIENCE: Duration = Duration::from_secs(2);

type Net = super::Net<TestProgram>;

/// How long a test waits for what is due before it fails (microseconds).
const TEST_TIMEOUT: Micros = 10_000_000;
/// For how long nothing may be reported where nothing is due (microseconds).
const QUIET_TIME: Micros = 200_000;

/// Whether this is reported within a time.
fn is_reported_within(net: &mut Net, time: Micros, expected: Ready<Owner, ()>) -> bool {
    let until = net.clock.now().plus(time);
    loop {
        if net.wait(Some(until)).unwrap().contains(&expected) {
            return true;
        }
        if net.clock.now() >= until {
            return false;
        }
    }
}

/// Whether clients come to wait at the listener.
fn knocks(net: &mut Net) -> bool {
    is_reported_within(net, TEST_TIMEOUT, Ready::Listener(Owner::Clients))
}

#[test]
fn beyond_the_budget_clients_wait_until_a_connection_is_given_back() {
    let mut net = Net::new(RESERVED + 16).unwrap();
    let address = net
        .listen(Owner::Clients, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    let _clients: Vec<TcpStream> = (0..8)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let mut open = Vec::new();
    // Two of the 16 are discovery's, half of the others is for data nodes while it is not known how
    // many there are.
    while open.len() < 7 {
        assert!(knocks(&mut net));
        open.extend(net.accept(Owner::Clients));
    }
    assert!(net.accept(Owner::Clients).is_empty() && net.is_accept_paused());
    assert!(
        !is_reported_within(&mut net, QUIET_TIME, Ready::Listener(Owner::Clients)),
        "a listener that can't be served does not spin the loop"
    );
    net.close(open[0]);
    assert!(net.get(open[0]).is_none() && !net.is_accept_paused() && knocks(&mut net));
    let last = net.accept(Owner::Clients);
    assert!(
        last.len() == 1 && last[0] != open[0],
        "names are never reused"
    );
}

#[test]
fn servers_are_connected_to_while_clients_hold_all_that_is_theirs() {
    let mut net = Net::new(RESERVED + 16).unwrap();
    let address = net
        .listen(Owner::Clients, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    let _clients: Vec<TcpStream> = (0..8)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    while !net.is_accept_paused() {
        assert!(knocks(&mut net));
        net.accept(Owner::Clients);
    }
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(net
        .connect(Owner::Servers, server.local_addr().unwrap())
        .is_ok());
}

#[test]
fn the_systems_limit_on_open_files_is_read_from_its_table() {
    let table = "Limit                     Soft Limit           Hard Limit           Units\n\
        Max processes             95788                95788                processes\n\
        Max open files            1024                 524288               files\n";
    assert_eq!(soft_limit(table), Some(1_024));
    assert_eq!(soft_limit(&table.replace("1024 ", "unlimited ")), None);
    assert_eq!(soft_limit("no table"), None);
}

#[test]
fn the_next_process_listens_where_this_one_does() {
    let [mut first, mut second] = [(); 2].map(|()| Net::new(RESERVED + 16).unwrap());
    let address = first
        .listen(Owner::Clients, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    assert_eq!(second.listen(Owner::Clients, address).unwrap(), address);
    // The system deals connections out between the two; with one of them gone all come to the
    // other.
    first.stop_listening();
    let _client = TcpStream::connect(address).unwrap();
    assert!(knocks(&mut second) && second.accept(Owner::Clients).len() == 1);
}

/// A net with one connection to a server that listens, and the server's end of it.
fn connected() -> (Net, ConnId, TcpStream) {
    let mut net = Net::new(RESERVED + 16).unwrap();
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let id = net
        .connect(Owner::Servers, server.local_addr().unwrap())
        .unwrap();
    let (other, _) = server.accept().unwrap();
    other
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    while !net.get(id).unwrap().up {
        reported(&mut net, id);
        assert_eq!(net.transfer(id, FILL_LIMIT), TransferProgress::Alive);
    }
    (net, id, other)
}

const FILL_LIMIT: usize = 64 * 1024;

/// Whether a connection comes to be reported.
fn reported(net: &mut Net, id: ConnId) -> bool {
    is_reported_within(net, TEST_TIMEOUT, Ready::Conn(id, Owner::Servers))
}

/// Whether a connection is not reported for a moment.
fn is_quiet(net: &mut Net, id: ConnId) -> bool {
    !is_reported_within(net, QUIET_TIME, Ready::Conn(id, Owner::Servers))
}

#[test]
fn sent_bytes_leave_at_once_and_a_silent_peer_is_detected_by_owner() {
    let (net, id, _other) = connected();
    let socket = SockRef::from(&net.get(id).unwrap().stream);
    assert!(socket.tcp_nodelay().unwrap() && socket.keepalive().unwrap());
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(PATIENCE));
    assert_eq!(socket.tcp_keepalive_time().unwrap(), PATIENCE);
    let mut net = Net::new(RESERVED + 16).unwrap();
    let address = net
        .listen(Owner::Clients, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    let _client = TcpStream::connect(address).unwrap();
    assert!(knocks(&mut net));
    let id = net.accept(Owner::Clients)[0];
    let socket = SockRef::from(&net.get(id).unwrap().stream);
    assert!(socket.tcp_nodelay().unwrap() && !socket.keepalive().unwrap());
    assert_eq!(socket.tcp_user_timeout().unwrap(), None);
}

#[test]
fn unread_bytes_of_the_peer_are_reported() {
    let (mut net, id, mut other) = connected();
    let piece = vec![7; 1 << 20];
    let mut sent = 0;
    while net.get(id).unwrap().queued_unwritten() == 0 {
        net.get_mut(id).unwrap().send(&piece);
        sent += piece.len();
        assert_eq!(net.flush(id, false), TransferProgress::Alive);
    }
    let conn = net.get(id).unwrap();
    assert_eq!(conn.queued_unwritten() + conn.written(), sent as u64);
    let reader = std::thread::spawn(move || other.read_exact(&mut vec![0; sent]).map(|()| other));
    while net.get(id).unwrap().queued_unwritten() > 0 {
        assert!(reported(&mut net, id));
        assert_eq!(net.transfer(id, FILL_LIMIT), TransferProgress::Alive);
    }
    reader.join().unwrap().unwrap();
}

#[test]
fn a_connection_that_rests_is_not_read_and_goes_on_where_it_was() {
    let (mut net, id, mut other) = connected();
    assert_eq!(net.pause(id, true), TransferProgress::Alive);
    other.write_all(b"abc").unwrap();
    assert!(is_quiet(&mut net, id) && net.get(id).unwrap().paused());
    assert_eq!(
        (
            net.transfer(id, FILL_LIMIT),
            net.get(id).unwrap().input.bytes()
        ),
        (TransferProgress::Alive, &b""[..])
    );
    // Writing goes on meanwhile.
    net.get_mut(id).unwrap().send(b"xy");
    assert_eq!(net.flush(id, false), TransferProgress::Alive);
    let mut got = [0; 2];
    other.read_exact(&mut got).unwrap();
    assert!(&got == b"xy" && is_quiet(&mut net, id));
    assert_eq!(net.pause(id, false), TransferProgress::Alive);
    assert!(reported(&mut net, id));
    assert_eq!(
        (
            net.transfer(id, FILL_LIMIT),
            net.get(id).unwrap().input.bytes()
        ),
        (TransferProgress::Alive, &b"abc"[..])
    );
}

#[test]
fn broken_paused_connection_spins_no_loop_and_is_found_later() {
    let (mut net, id, other) = connected();
    assert_eq!(net.pause(id, true), TransferProgress::Alive);
    SockRef::from(&other)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(other);
    assert!(is_quiet(&mut net, id), "nothing is to be done about it");
    assert_eq!(net.pause(id, false), TransferProgress::Alive);
    assert!(reported(&mut net, id));
    assert_eq!(net.transfer(id, FILL_LIMIT), TransferProgress::Broken);
}

#[test]
fn broken_paused_connection_with_output_is_found() {
    let (mut net, id, other) = connected();
    let piece = vec![7; 1 << 20];
    while net.get(id).unwrap().flushed() {
        net.get_mut(id).unwrap().send(&piece);
        assert_eq!(net.flush(id, false), TransferProgress::Alive);
    }
    assert_eq!(net.pause(id, true), TransferProgress::Alive);
    SockRef::from(&other)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(other);
    assert!(reported(&mut net, id));
    assert_eq!(net.transfer(id, FILL_LIMIT), TransferProgress::Broken);
}

#[test]
fn a_peer_that_ends_and_then_breaks_is_found() {
    let (mut net, id, other) = connected();
    other.shutdown(std::net::Shutdown::Write).unwrap();
    assert!(reported(&mut net, id));
    assert!(net.transfer(id, FILL_LIMIT) == TransferProgress::Alive && net.get(id).unwrap().ended);
    SockRef::from(&other)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(other);
    assert!(reported(&mut net, id));
    assert_eq!(net.transfer(id, FILL_LIMIT), TransferProgress::Broken);
}

#[test]
fn the_ceiling_bounds_what_is_read_ahead() {
    let (mut net, id, mut other) = connected();
    other.write_all(&vec![1; 200_000]).unwrap();
    assert!(reported(&mut net, id));
    assert_eq!(net.transfer(id, 20_000), TransferProgress::Alive);
    let held = net.get(id).unwrap().input.bytes().len();
    assert!((20_000..20_000 + 16 * 1024).contains(&held), "{held}");
    assert!(is_quiet(&mut net, id), "it is full");
}

#[test]
fn a_reset_is_no_end_and_an_end_is_no_reset() {
    let (mut net, id, mut other) = connected();
    net.get_mut(id).unwrap().send(b"abc");
    assert_eq!(net.flush(id, false), TransferProgress::Alive);
    net.get_mut(id).unwrap().end_output();
    let mut got = Vec::new();
    assert_eq!(other.read_to_end(&mut got).map(|_| got).unwrap(), b"abc");
    let (mut net, id, mut other) = connected();
    net.reset(id);
    assert!(net.get(id).is_none());
    assert_eq!(
        other.read(&mut [0; 4]).unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
}

#[test]
fn exclusive_listener_keeps_others_out_until_it_closes() {
    let [mut first, mut second] = [(); 2].map(|()| Net::new(RESERVED + 16).unwrap());
    let address = first
        .listen_exclusively(Owner::Clients, "127.0.0.1:0".parse().unwrap())
        .unwrap();
    assert_eq!(
        second
            .listen_exclusively(Owner::Clients, address)
            .unwrap_err()
            .kind(),
        io::ErrorKind::AddrInUse
    );
    assert!(second.listen(Owner::Clients, address).is_err());
    // A connection that this side ended first is known to the system for a minute.
    let client = TcpStream::connect(address).unwrap();
    assert!(knocks(&mut first));
    let id = first.accept(Owner::Clients)[0];
    first.close(id);
    drop(client);
    first.stop_listening();
    assert_eq!(
        second.listen_exclusively(Owner::Clients, address).unwrap(),
        address
    );
}

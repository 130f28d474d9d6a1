//! Tests of `net`.

use super::*;

/// A program that has clients, servers it calls and one signal.
struct Tried;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Clients,
    Servers,
}

impl Program for Tried {
    type Owner = Owner;
    type Timer = u32;
    type Signal = ();

    fn side(owner: Owner) -> Side {
        match owner {
            Owner::Clients => Side::Clients,
            Owner::Servers => Side::Nodes,
        }
    }
}

type Net = super::Net<Tried>;

/// Whether a listener is ready within a moment.
fn knocks(net: &mut Net) -> bool {
    let until = net.clock.now().plus(200_000);
    net.wait(Some(until)).unwrap().contains(&Ready::Listener(Owner::Clients))
}

#[test]
fn beyond_the_budget_clients_wait_until_a_connection_is_given_back() {
    let mut net = Net::new(RESERVED + 16).unwrap();
    let address = net.listen(Owner::Clients, "127.0.0.1:0".parse().unwrap()).unwrap();
    let _clients: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    let mut open = Vec::new();
    // Two of the 16 are discovery's, half of the others is for data nodes while it is not known how many there are.
    while open.len() < 7 {
        assert!(knocks(&mut net));
        open.extend(net.accept(Owner::Clients));
    }
    assert!(net.accept(Owner::Clients).is_empty() && net.resting());
    assert!(!knocks(&mut net), "a listener that can't be served does not spin the loop");
    net.close(open[0]);
    assert!(net.get(open[0]).is_none() && !net.resting() && knocks(&mut net));
    let last = net.accept(Owner::Clients);
    assert!(last.len() == 1 && last[0] != open[0], "names are never reused");
}

#[test]
fn servers_are_connected_to_while_clients_hold_all_that_is_theirs() {
    let mut net = Net::new(RESERVED + 16).unwrap();
    let address = net.listen(Owner::Clients, "127.0.0.1:0".parse().unwrap()).unwrap();
    let _clients: Vec<TcpStream> = (0..8).map(|_| TcpStream::connect(address).unwrap()).collect();
    while !net.resting() {
        assert!(knocks(&mut net));
        net.accept(Owner::Clients);
    }
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    assert!(net.connect(Owner::Servers, server.local_addr().unwrap()).is_ok());
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
    let address = first.listen(Owner::Clients, "127.0.0.1:0".parse().unwrap()).unwrap();
    assert_eq!(second.listen(Owner::Clients, address).unwrap(), address);
    // The system deals connections out between the two; with one of them gone all come to the other.
    first.stop_listening();
    let _client = TcpStream::connect(address).unwrap();
    assert!(knocks(&mut second) && second.accept(Owner::Clients).len() == 1);
}

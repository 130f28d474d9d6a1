//! Tests of `link`.

use super::*;
use crate::router::control_link::connection::CONTROL_IDLE_TIMEOUT_US;
use lichenswitch_messages::Envelope;
use std::io::Write;
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

fn link_to(control: SocketAddr, now: Time) -> ControlLink {
    let identity = RouterIdentity {
        node: "r-1".to_owned(),
        zone: "a".to_owned(),
        process: 7,
    };
    let candidates = ControlCandidates::new(Ipv4Addr::LOCALHOST.into(), vec![control]);
    ControlLink::new(now, identity, candidates)
}

fn heartbeat(control: SocketAddr) -> Vec<u8> {
    let heartbeat = ControlToRouter::Heartbeat {
        in_contact: true,
        control_addresses: vec![control.to_string()],
        router_count: 1,
    };
    envelopes::encode(&Envelope::ToRouter(heartbeat)).unwrap()
}

/// Reads what has come until a heartbeat has.
fn receive(link: &mut ControlLink, net: &mut Net) {
    loop {
        let until = net.clock.now().plus(10_000);
        net.wait(Some(until)).unwrap();
        let id = link.connection.as_ref().unwrap().id;
        let updates = link.on_ready(net, id);
        if updates
            .iter()
            .any(|update| matches!(update, ControlUpdate::Routers(_)))
        {
            return;
        }
    }
}

/// A net, a link that is connected and has had a heartbeat, and the other end of its connection.
fn connected() -> (Net, ControlLink, TcpStream, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let mut net = Net::new(256).unwrap();
    net.reserve_for_peers(16);
    let mut link = link_to(address, net.clock.now());
    link.check(&mut net);
    assert!(link.connection.is_some());
    let (mut control, _) = listener.accept().unwrap();
    control.write_all(&heartbeat(address)).unwrap();
    receive(&mut link, &mut net);
    (net, link, control, address)
}

/// Guards routers that apply a large configuration: they read nothing meanwhile (review/3).
#[test]
fn heartbeats_that_came_while_the_router_was_busy_keep_the_link() {
    let (mut net, mut link, mut control, address) = connected();
    let id = link.connection.as_ref().unwrap().id;
    control.write_all(&heartbeat(address)).unwrap();
    thread::sleep(Duration::from_micros(CONTROL_IDLE_TIMEOUT_US) + Duration::from_millis(50));
    link.check(&mut net);
    assert_eq!(link.connection.as_ref().map(|of| of.id), Some(id));
    thread::sleep(Duration::from_micros(CONTROL_IDLE_TIMEOUT_US) + Duration::from_millis(50));
    link.check(&mut net);
    assert_ne!(
        link.connection.as_ref().map(|of| of.id),
        Some(id),
        "silence ends it"
    );
}

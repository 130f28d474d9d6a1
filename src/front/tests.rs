//! Tests of `front`.

use super::*;
use crate::contract::Contracts;
use crate::interface::Settings;
use std::net::{Shutdown, TcpStream};

/// So many clients, connected, and their connections, oldest first.
fn connected(net: &mut Net, sessions: &mut Sessions<()>, count: usize) -> (Vec<TcpStream>, Vec<ConnId>) {
    let address = net.listen(Owner::Platform, "127.0.0.1:0".parse().unwrap()).unwrap();
    let clients: Vec<TcpStream> = (0..count).map(|_| TcpStream::connect(address).unwrap()).collect();
    while sessions.open.len() < count {
        net.wait(None).unwrap();
        for id in net.accept(Owner::Platform) {
            sessions.opened(net, id, Owner::Platform);
        }
    }
    let mut ids: Vec<ConnId> = sessions.open.keys().copied().collect();
    ids.sort_unstable();
    (clients, ids)
}

#[test]
fn those_that_never_asked_make_room_before_any_other_and_open_queries_stay() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::<()>::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (clients, ids) = connected(&mut net, &mut sessions, 8);
    let now = net.clock.now();
    for (i, id) in ids.iter().enumerate() {
        let session = sessions.open.get_mut(id).unwrap();
        (session.since, session.asked) = (now.minus(SPARED_BUSY), i > 0);
        if i == 1 {
            session.state = State::Waiting(QueryId(1), true, false);
        }
    }
    sessions.make_room(&mut net, &mut core);
    assert!(sessions.open.len() == 7 && net.get(ids[0]).is_none(), "the one that never asked");
    (0..20).for_each(|_| sessions.make_room(&mut net, &mut core));
    assert_eq!(sessions.open.keys().copied().collect::<Vec<_>>(), [ids[1]]);
    clients.iter().for_each(|c| c.shutdown(Shutdown::Both).unwrap());
}

#[test]
fn beyond_a_quarter_of_the_descriptors_those_idle_for_longest_go() {
    let (mut net, mut sessions) = (Net::new(64).unwrap(), Sessions::<()>::new(32 << 20));
    let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
    let (_clients, ids) = connected(&mut net, &mut sessions, 20);
    let now = net.clock.now();
    for (id, i) in ids.iter().zip(0..) {
        let session = sessions.open.get_mut(id).unwrap();
        (session.since, session.asked) = (now.minus(SPARED * (40 - i)), true);
    }
    let front = crate::front::platform::Platform::new(Vec::new(), Vec::new());
    core.end_by(now);
    sessions.look(&mut net, Owner::Platform, &front, &mut core);
    assert_eq!(sessions.open.len(), 20, "nobody has to go while the broker stops");
    let mut core = Core::new(1, Settings::default(), Contracts::default(), 32 << 20);
    sessions.look(&mut net, Owner::Platform, &front, &mut core);
    let mut left: Vec<ConnId> = sessions.open.keys().copied().collect();
    left.sort_unstable();
    assert_eq!(left, ids[11..], "a quarter of the 38 descriptors that are not discovery's stays");
}

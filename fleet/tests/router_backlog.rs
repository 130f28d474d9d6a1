//! Work that waits at servers: what a router tells of it, and how it goes by what it is told.

mod support;

use lichenswitch_messages::{BacklogReport, ServerBacklog, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;
use support::client::request;
use support::rig::{record, Rig};
use support::server::{Next, Server};
use support::until;

const PARTS: &str = "Model: m\r\nPrompt-Prefix: 5c1e:800,91bd:410,e440:2500\r\n";

/// Answers at once, but requests with `Work: slow` after a while.
fn server(instance: &str) -> Server {
    Server::start(instance, |seen, talk| {
        if seen.header("work") == Some("slow") {
            std::thread::sleep(Duration::from_millis(400));
        }
        talk.answer(seen, 200, "", "ok");
        Next::Keep
    })
}

#[test]
fn backlog_is_reported_while_attempts_are_pending() {
    let server = server("i-1");
    let rig = Rig::with(&[&server], 6_000, 2_000, 1);
    let mut client = rig.client();
    client.send(request(
        "POST",
        "unsafe",
        "one",
        &format!("{PARTS}Work: slow\r\n"),
        "x",
    ));
    // The last part is what a server has to read that keeps the others.
    until("it is told", || {
        rig.control.backlogs().into_values().collect::<Vec<_>>() == [2_500]
    });
    assert_eq!(client.reply().status, 200);
    until("it is told that nothing waits", || {
        rig.control.backlogs().is_empty()
    });
}

#[test]
fn backlog_is_reported_again_on_new_connection() {
    let server = server("i-1");
    let rig = Rig::with(&[&server], 6_000, 2_000, 1);
    let mut client = rig.client();
    client.send(request("POST", "unsafe", "one", "Work: slow\r\n", "x"));
    until("it is told", || rig.control.backlogs().len() == 1);
    let told = rig.control.backlogs();
    rig.control.drop_links();
    rig.control.forget_backlogs();
    until("it is told again", || rig.control.backlogs() == told);
    assert_eq!(client.reply().status, 200);
}

#[test]
fn requests_prefer_servers_with_less_backlog_of_other_routers() {
    let servers = [server("i-1"), server("i-2")];
    let rig = Rig::with(&[&servers[0], &servers[1]], 6_000, 2_000, 1);
    let mut client = rig.client();
    let mut ask = |id: &str| {
        assert_eq!(
            client.ask(request("POST", "unsafe", id, PARTS, "x")).status,
            200
        )
    };
    (0..4).for_each(|n| ask(&format!("first-{n}")));
    let home = servers
        .iter()
        .position(|server| server.seen().len() == 4)
        .expect("one keeps the beginning");
    // The router names servers as it does in its own reports.
    let names: BTreeMap<usize, u32> = (0..2).map(|at| (at, name_of(&rig, &servers, at))).collect();
    let before = servers[1 - home].seen().len();
    tell(&rig, names[&home], 1_000_000);
    (0..4).for_each(|n| ask(&format!("second-{n}")));
    assert_eq!(
        servers[1 - home].seen().len(),
        before + 4,
        "much waits at the other one"
    );
    tell(&rig, names[&home], 0);
    (0..4).for_each(|n| ask(&format!("third-{n}")));
    assert_eq!(servers[1 - home].seen().len(), before + 4);
}

/// Tells the router, and waits until it has taken that in.
fn tell(rig: &Rig, server: u32, tokens: u32) {
    rig.control.tell_backlogs(&BacklogReport {
        is_complete: true,
        servers: vec![ServerBacklog { server, tokens }],
    });
    // A push on the same connection is acknowledged once what came before it has been applied.
    rig.control.push_servers(Vec::new());
    rig.control.settled();
}

/// The name of a server in reports: what waits while only that server takes requests.
fn name_of(rig: &Rig, servers: &[Server], at: usize) -> u32 {
    let of = |state| {
        servers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at)
            .map(move |(_, s)| record(s, state, 9))
    };
    rig.control.push_servers(
        of(ServerState::Ready)
            .map(|record| lichenswitch_messages::ServerRecord {
                is_suspect: true,
                ..record
            })
            .collect(),
    );
    rig.control.settled();
    let mut client = rig.client();
    client.send(request(
        "POST",
        "unsafe",
        &format!("name-{at}"),
        "Work: slow\r\n",
        "x",
    ));
    until("it is told", || rig.control.backlogs().len() == 1);
    let name = *rig.control.backlogs().keys().next().expect("one server");
    assert_eq!(client.reply().status, 200);
    until("nothing waits", || rig.control.backlogs().is_empty());
    rig.control.push_servers(
        of(ServerState::Ready)
            .map(|record| lichenswitch_messages::ServerRecord {
                sequence_number: 10,
                ..record
            })
            .collect(),
    );
    rig.control.settled();
    name
}

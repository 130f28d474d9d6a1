//! Work that waits at servers: what a router tells of it, and how it goes by what it is told.

mod support;

use lichenswitch_messages::{BacklogReport, ServerBacklog, ServerState};
use std::collections::BTreeMap;
use std::time::Duration;
use support::client::request;
use support::harness::{record, RouterHarness};
use support::server::{NextAction, Server};
use support::wait_until;

const PARTS: &str = "Model: m\r\nPrompt-Prefix: 5c1e:800,91bd:410,e440:2500\r\n";

/// Answers at once, but requests with `Work: slow` after a while.
fn server(instance: &str) -> Server {
    Server::start(instance, |received, connection| {
        if received.header("work") == Some("slow") {
            std::thread::sleep(Duration::from_millis(400));
        }
        connection.respond(received, 200, "", "ok");
        NextAction::Keep
    })
}

#[test]
fn backlog_is_reported_while_attempts_are_pending() {
    let server = server("i-1");
    let harness = RouterHarness::with(&[&server], 6_000, 2_000, 1);
    let mut client = harness.client();
    client.send(request(
        "POST",
        "unsafe",
        "one",
        &format!("{PARTS}Work: slow\r\n"),
        "x",
    ));
    // The last part is what a server has to read that keeps the others.
    wait_until("it is told", || {
        harness.control.backlogs().into_values().collect::<Vec<_>>() == [2_500]
    });
    assert_eq!(client.reply().status, 200);
    wait_until("it is told that nothing waits", || {
        harness.control.backlogs().is_empty()
    });
}

#[test]
fn backlog_is_reported_again_on_new_connection() {
    let server = server("i-1");
    let harness = RouterHarness::with(&[&server], 6_000, 2_000, 1);
    let mut client = harness.client();
    client.send(request("POST", "unsafe", "one", "Work: slow\r\n", "x"));
    wait_until("it is told", || harness.control.backlogs().len() == 1);
    let reported = harness.control.backlogs();
    harness.control.drop_links();
    harness.control.forget_backlogs();
    wait_until("it is told again", || {
        harness.control.backlogs() == reported
    });
    assert_eq!(client.reply().status, 200);
}

#[test]
fn requests_prefer_servers_with_less_backlog_of_other_routers() {
    let servers = [server("i-1"), server("i-2")];
    let harness = RouterHarness::with(&[&servers[0], &servers[1]], 6_000, 2_000, 1);
    let mut client = harness.client();
    let mut round_trip = |id: &str| {
        assert_eq!(
            client
                .round_trip(request("POST", "unsafe", id, PARTS, "x"))
                .status,
            200
        )
    };
    (0..4).for_each(|n| round_trip(&format!("first-{n}")));
    let home = servers
        .iter()
        .position(|server| server.received().len() == 4)
        .expect("one keeps the beginning");
    // The router names servers as it does in its own reports.
    let names: BTreeMap<usize, u32> = (0..2)
        .map(|at| (at, name_of(&harness, &servers, at)))
        .collect();
    let before = servers[1 - home].received().len();
    tell(&harness, names[&home], 1_000_000);
    (0..4).for_each(|n| round_trip(&format!("second-{n}")));
    assert_eq!(
        servers[1 - home].received().len(),
        before + 4,
        "much waits at the other one"
    );
    tell(&harness, names[&home], 0);
    (0..4).for_each(|n| round_trip(&format!("third-{n}")));
    assert_eq!(servers[1 - home].received().len(), before + 4);
}

/// Tells the router, and waits until it has taken that in.
fn tell(harness: &RouterHarness, server: u32, tokens: u32) {
    harness.control.push_backlogs(&BacklogReport {
        is_complete: true,
        servers: vec![ServerBacklog { server, tokens }],
    });
    // A push on the same connection is acknowledged once what came before it has been applied.
    harness.control.push_servers(Vec::new());
    harness.control.wait_until_acknowledged();
}

/// The name of a server in reports: what waits while only that server takes requests.
fn name_of(harness: &RouterHarness, servers: &[Server], at: usize) -> u32 {
    let of = |state| {
        servers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != at)
            .map(move |(_, s)| record(s, state, 9))
    };
    harness.control.push_servers(
        of(ServerState::Ready)
            .map(|record| lichenswitch_messages::ServerRecord {
                is_suspect: true,
                ..record
            })
            .collect(),
    );
    harness.control.wait_until_acknowledged();
    let mut client = harness.client();
    client.send(request(
        "POST",
        "unsafe",
        &format!("name-{at}"),
        "Work: slow\r\n",
        "x",
    ));
    wait_until("it is told", || harness.control.backlogs().len() == 1);
    let name = *harness
        .control
        .backlogs()
        .keys()
        .next()
        .expect("one server");
    assert_eq!(client.reply().status, 200);
    wait_until("nothing waits", || harness.control.backlogs().is_empty());
    harness.control.push_servers(
        of(ServerState::Ready)
            .map(|record| lichenswitch_messages::ServerRecord {
                sequence_number: 10,
                ..record
            })
            .collect(),
    );
    harness.control.wait_until_acknowledged();
    name
}

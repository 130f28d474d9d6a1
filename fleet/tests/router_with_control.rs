//! A router with control machines that are real processes: from an operator's order and a server's
//! heartbeat to a client's answer.

mod control_support;
mod support;

use control_support::{call, wait_for, ControlFleet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::client::{request, Client};
use support::harness::{document, document_of, settings_text, RouterThread};
use support::server::{NextAction, Server};

fn send_heartbeats(control: SocketAddr, server: &Server, state: &str, sequence_number: u64) -> u16 {
    let body = format!(
        "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"capacitySlots\":4,\"state\":\"{state}\",\
         \"coldRemainingMs\":0,\"sequenceNumber\":{sequence_number}}}",
        server.address
    );
    let path = format!("/instances/{}/heartbeat", server.instance);
    wait_for("a beat is taken", || {
        call(control, "POST", &path, &[], &body)
            .ok()
            .filter(|a| a.status == 200)
    })
    .status
}

fn named(instance: &str) -> Server {
    let name = instance.to_owned();
    Server::start(instance, move |received, connection| {
        connection.respond(received, 200, "", &name);
        NextAction::Keep
    })
}

#[test]
fn orders_and_heartbeats_take_effect_despite_lost_control_machine() {
    let mut fleet = ControlFleet::of("with-router", &[true, true, true]);
    fleet.start_first();
    let ips: Vec<std::net::Ipv4Addr> = fleet
        .machines
        .iter()
        .map(|machine| machine.ip.parse().expect("an address"))
        .collect();
    let mut router = RouterThread::start(
        &settings_text(&ips, fleet.machines[0].internal.port(), ""),
        None,
    );
    assert_eq!(router.readiness_status(), 503);

    assert_eq!(
        fleet
            .send_order("/configuration/replace", 0, &document(1, 3_000, 1_000, 2))
            .status,
        200
    );
    let servers = [named("i-1"), named("i-2")];
    for server in &servers {
        assert_eq!(
            send_heartbeats(fleet.machines[0].control_plane, server, "ready", 1),
            200
        );
    }
    wait_for("the router is ready", || {
        (router.readiness_status() == 200).then_some(())
    });
    let mut client = Client::connect(router.frontend);
    wait_for("both servers are used", || {
        let id = format!("a{}", fastrand::u64(..));
        client.round_trip(request("GET", "safe", &id, "", ""));
        servers
            .iter()
            .all(|server| !server.received().is_empty())
            .then_some(())
    });

    // A server that says that it leaves gets nothing once that is acknowledged and has had its
    // time.
    assert_eq!(
        send_heartbeats(fleet.machines[1].control_plane, &servers[0], "draining", 2),
        200
    );
    let began = Instant::now();
    wait_for("nothing goes there", || {
        let before = servers[0].received().len();
        for n in 0..10 {
            assert_eq!(
                client
                    .round_trip(request("GET", "safe", &format!("d{n}"), "", ""))
                    .status,
                200
            );
        }
        (servers[0].received().len() == before).then_some(())
    });
    assert!(
        began.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        began.elapsed()
    );

    // Any one of them may go: what is in force stays, and what is new comes from the others.
    let primary = fleet.primary(&[0, 1, 2]);
    fleet.kill(primary);
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "k", "", ""))
            .text(),
        "i-2"
    );
    let route = "{\"name\":\"r-new\",\"host\":\"fleet.example\",\"pathPrefix\":\"/new/\",\"kind\":\"safe\",\"timeoutMs\":3000,\
                 \"targetLatencyMs\":1000,\"priority\":0,\"service\":\"pool\",\"maxAttempts\":2}";
    assert_eq!(
        fleet
            .send_order(
                "/configuration/replace",
                1,
                &document_of(2, &[route.to_owned()])
            )
            .status,
        200
    );
    let acknowledged = Instant::now();
    wait_for("the new version is in force", || {
        (client
            .round_trip(request(
                "GET",
                "new",
                &format!("n{}", fastrand::u64(..)),
                "",
                "",
            ))
            .status
            == 200)
            .then_some(())
    });
    assert!(
        acknowledged.elapsed() < Duration::from_millis(2_000),
        "{:?}",
        acknowledged.elapsed()
    );
    router.stop();
    assert!(router.ends_within(Duration::from_secs(6)));
}

//! What control says: CONFIG, DRAIN and the link to control machines.

mod support;

use lichenswitch_messages::{ConfigurationPosition, ServerState};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use support::client::request;
use support::control::{position, Control};
use support::harness::{
    document, document_of, record, settings_text, RefusingAddress, RouterHarness, RouterThread,
};
use support::server::{NextAction, Server};

fn named(instance: &str) -> Server {
    let name = instance.to_owned();
    Server::start(instance, move |received, connection| {
        connection.respond(received, 200, "Keep-Alive: timeout=9\r\n", &name);
        NextAction::Keep
    })
}

fn route(name: &str, prefix: &str, host: &str, split: &[(&str, u32)]) -> String {
    let split: Vec<String> = split
        .iter()
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"safe\",\"timeoutMs\":3000,\
         \"targetLatencyMs\":1000,\"priority\":0,\"trafficSplit\":[{}],\"maxAttempts\":2}}",
        split.join(",")
    )
}

#[test]
fn final_response_comes_at_route_timeout() {
    let server = Server::start("i-1", |_, connection| {
        connection.closes_within(Duration::from_secs(5));
        NextAction::Close
    });
    let harness = RouterHarness::with(&[&server], 500, 400, 1);
    for kind in ["safe", "unsafe", "stream", "resume"] {
        let reply = harness.client().round_trip(request(
            "POST",
            kind,
            &format!("a-{kind}"),
            "Deadline-Ms: 9000\r\n",
            "x",
        ));
        assert_eq!(reply.status, 504, "{kind}");
        assert!(
            reply.elapsed >= Duration::from_millis(450),
            "{kind}: {:?}",
            reply.elapsed
        );
        assert!(
            reply.elapsed <= Duration::from_millis(750),
            "{kind}: {:?}",
            reply.elapsed
        );
    }
    assert!(server
        .received()
        .iter()
        .all(|received| received.deadline_ms() <= 500));
}

#[test]
fn new_version_is_active_at_once_and_requests_keep_theirs() {
    let server = Server::start("i-1", |received, connection| {
        if received.target.starts_with("/safe/") {
            connection.closes_within(Duration::from_millis(400));
        }
        connection.respond(received, 200, "", "ok");
        NextAction::Keep
    });
    let harness = RouterHarness::with_defaults(&[&server]);
    let mut held = harness.client();
    held.send(request("GET", "safe", "a1", "", ""));
    support::wait_until("it is held", || server.request_count("a1") == 1);
    let changed = document_of(
        2,
        &[route("r-new", "/new/", "fleet.example", &[("pool", 1)])],
    );
    harness.control.push_configuration(2, &changed);
    support::wait_until("it is in force", || {
        harness.control.applied() == Some(position(2))
    });
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "new", "a2", "", ""))
            .status,
        200
    );
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a3", "", ""))
            .status,
        404
    );
    assert_eq!(held.reply().status, 200, "it has the terms it came under");
}

#[test]
fn older_position_is_rejected_from_any_control_machine() {
    let server = named("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    harness.control.push_at(
        ConfigurationPosition {
            epoch: 3,
            primary: 7,
            number: 1,
        },
        &document(5, 3_000, 1_000, 2),
    );
    let newest = ConfigurationPosition {
        epoch: 3,
        primary: 7,
        number: 1,
    };
    support::wait_until("it is in force", || {
        harness.control.applied() == Some(newest)
    });
    // A higher number of an older epoch is older; so is a higher version in it.
    let old = document_of(9, &[route("r", "/other/", "fleet.example", &[("pool", 1)])]);
    harness.control.push_at(
        ConfigurationPosition {
            epoch: 2,
            primary: 9,
            number: 50,
        },
        &old,
    );
    harness.control.wait_until_acknowledged();
    assert_eq!(harness.control.applied(), Some(newest));
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a1", "", ""))
            .status,
        200
    );
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "other", "a2", "", ""))
            .status,
        404
    );
    // The same after the connection was lost: it says what it has, and goes back for nobody.
    harness.control.drop_links();
    support::wait_until("it is back", || harness.control.handshake_count() >= 2);
    harness.control.wait_until_acknowledged();
    assert_eq!(harness.control.applied(), Some(newest));
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a3", "", ""))
            .status,
        200
    );
}

#[test]
fn unreadable_document_changes_nothing() {
    let server = named("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    harness
        .control
        .push_configuration(2, "{\"version\":2,\"routes\":[{]");
    harness.control.wait_until_acknowledged();
    assert_eq!(harness.control.applied(), Some(position(1)));
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a1", "", ""))
            .status,
        200
    );
}

#[test]
fn longest_prefix_of_host_matches_and_weights_are_sampled() {
    let servers = [named("i-a"), named("i-b"), named("i-c")];
    let harness = RouterHarness::without_configuration();
    let records = ["a", "b", "c"]
        .iter()
        .zip(&servers)
        .map(|(service, server)| {
            let mut record = record(server, ServerState::Ready, 1);
            record.service = (*service).to_owned();
            record
        });
    harness.control.push_servers(records.collect());
    let document = format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"a\"}},{{\"name\":\"b\"}},{{\"name\":\"c\"}}]}}",
        [
            route("short", "/x/", "one.example", &[("a", 1), ("b", 0)]),
            route("long", "/x/y/", "one.example", &[("b", 1)]),
            route("split", "/x/", "two.example", &[("a", 1), ("c", 1)]),
        ]
        .join(",")
    );
    harness.control.push_configuration(1, &document);
    support::wait_until("it is in force", || harness.control.applied().is_some());
    let mut client = harness.client();
    let mut round_trip = |host: &str, path: &str, id: usize| {
        let reply = client.round_trip(format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: a{id}\r\n\r\n"
        ));
        assert_eq!(reply.status, 200, "{host}{path}");
        reply.text().to_owned()
    };
    for n in 0..20 {
        assert_eq!(
            round_trip("one.example", "/x/1", n),
            "i-a",
            "a service without weight gets nothing"
        );
    }
    assert_eq!(round_trip("one.example", "/x/y/1?/x/", 30), "i-b");
    assert_eq!(round_trip("ONE.example:80", "/x/yy/1", 31), "i-a");
    let instances: Vec<String> = (0..40)
        .map(|n| round_trip("two.example", "/x/1", 100 + n))
        .collect();
    assert!(
        instances.iter().any(|name| name == "i-a") && instances.iter().any(|name| name == "i-c")
    );
    assert!(instances.iter().all(|name| name != "i-b"));
}

#[test]
fn draining_or_gone_server_gets_no_requests_and_is_never_revived() {
    let servers = [named("i-1"), named("i-2")];
    let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
    let mut client = harness.client();
    for n in 0..12 {
        assert_eq!(
            client
                .round_trip(request("GET", "safe", &format!("a{n}"), "", ""))
                .status,
            200
        );
    }
    assert!(!servers[0].received().is_empty(), "both are used");
    for (state, late) in [(ServerState::Draining, 9), (ServerState::Gone, 99)] {
        let before = servers[0].received().len();
        harness
            .control
            .push_servers(vec![record(&servers[0], state, 5)]);
        harness.control.wait_until_acknowledged();
        // A beat of before that comes late revives nobody.
        harness
            .control
            .push_servers(vec![record(&servers[0], ServerState::Ready, late)]);
        harness.control.wait_until_acknowledged();
        for n in 0..12 {
            let reply = client.round_trip(request("GET", "safe", &format!("{state:?}{n}"), "", ""));
            assert_eq!(reply.text(), "i-2");
        }
        assert_eq!(servers[0].received().len(), before, "{state:?}");
    }
}

#[test]
fn suspect_server_is_used_only_without_alternative() {
    let servers = [named("i-1"), named("i-2")];
    let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
    let suspect = |sequence_number| {
        let mut suspect = record(&servers[0], ServerState::Ready, sequence_number);
        suspect.is_suspect = true;
        suspect
    };
    harness.control.push_servers(vec![suspect(2)]);
    harness.control.wait_until_acknowledged();
    let mut client = harness.client();
    for n in 0..12 {
        assert_eq!(
            client
                .round_trip(request("GET", "safe", &format!("a{n}"), "", ""))
                .text(),
            "i-2"
        );
    }
    harness
        .control
        .push_servers(vec![record(&servers[1], ServerState::Gone, 9)]);
    harness.control.wait_until_acknowledged();
    assert_eq!(
        client
            .round_trip(request("GET", "safe", "b", "", ""))
            .text(),
        "i-1"
    );
}

#[test]
fn servers_missing_in_a_push_stay() {
    let servers = [named("i-1"), named("i-2")];
    let harness = RouterHarness::with_defaults(&[&servers[0], &servers[1]]);
    harness
        .control
        .push_servers(vec![record(&servers[1], ServerState::Gone, 2)]);
    harness.control.wait_until_acknowledged();
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a1", "", ""))
            .text(),
        "i-1"
    );
}

#[test]
fn routing_continues_while_control_is_unreachable() {
    let server = named("i-1");
    let harness = RouterHarness::with_defaults(&[&server]);
    harness.control.set_silent(true);
    harness.control.drop_links();
    std::thread::sleep(Duration::from_millis(1_000));
    assert_eq!(harness.router.readiness_status(), 200);
    assert_eq!(
        harness
            .client()
            .round_trip(request("GET", "safe", "a1", "", ""))
            .status,
        200
    );
}

/// Control machines at these addresses, at a port that is free at both.
fn control_at_one_port(ips: [Ipv4Addr; 2]) -> [Control; 2] {
    let listeners = || {
        let first = TcpListener::bind((ips[0], 0)).ok()?;
        let port = first.local_addr().ok()?.port();
        Some([first, TcpListener::bind((ips[1], port)).ok()?])
    };
    let found = std::iter::repeat_with(listeners).take(100).flatten().next();
    found.expect("a port that is free at both").map(Control::on)
}

#[test]
fn other_control_machine_is_tried_on_silence_or_lost_contact() {
    let ips = [Ipv4Addr::new(127, 0, 0, 1), Ipv4Addr::new(127, 0, 0, 2)];
    let control = control_at_one_port(ips);
    let port = control[0].address.port();
    control[0].push_configuration(1, &document(1, 3_000, 1_000, 2));
    control[1].push_configuration(1, &document(1, 3_000, 1_000, 2));
    let router = RouterThread::start(&settings_text(&ips, port, ""), None);
    support::wait_until("it is in force", || {
        control.iter().any(|c| c.applied().is_some())
    });
    for round in 0..2 {
        let at = usize::from(control[1].handshake_count() > control[0].handshake_count());
        let others = control[1 - at].handshake_count();
        match round {
            0 => control[at].set_silent(true),
            _ => control[at].set_contact(false),
        }
        support::wait_until("it is at the other", || {
            control[1 - at].handshake_count() > others
        });
        control[at].set_silent(false);
        control[at].set_contact(true);
        support::wait_until("they differ again", || {
            control[0].handshake_count() != control[1].handshake_count() || {
                control[1 - at].drop_links();
                std::thread::sleep(Duration::from_millis(300));
                false
            }
        });
    }
    assert_eq!(router.readiness_status(), 200);
}

#[test]
fn configuration_without_contact_is_accepted_after_three_seconds() {
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    control.set_contact(false);
    control.push_configuration(1, &document(1, 3_000, 1_000, 2));
    let began = std::time::Instant::now();
    let router = RouterThread::start(
        &settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), ""),
        None,
    );
    support::wait_until("it is in force", || router.readiness_status() == 200);
    assert!(
        began.elapsed() >= Duration::from_millis(2_900),
        "{:?}",
        began.elapsed()
    );
    assert!(
        began.elapsed() < Duration::from_millis(6_000),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn contact_of_one_control_machine_does_not_confirm_another_offer() {
    let [without, with] = [2, 3].map(|last| Control::at(SocketAddr::from(([127, 0, 0, last], 0))));
    without.set_contact(false);
    without.push_configuration(5, &document(5, 3_000, 1_000, 2));
    without.set_control(vec![with.address.to_string()]);
    let began = std::time::Instant::now();
    let seed = Ipv4Addr::new(127, 0, 0, 2);
    let router = RouterThread::start(&settings_text(&[seed], without.address.port(), ""), None);
    without.wait_until_acknowledged();
    assert_eq!(without.applied(), None, "nobody in contact has offered it");
    // It leaves the one without contact. What it acknowledges here came after the word that this
    // one is in contact.
    support::wait_until("it is at the other", || with.handshake_count() > 0);
    with.wait_until_acknowledged();
    assert_eq!((with.applied(), router.readiness_status()), (None, 503));
    let judged = began.elapsed();
    assert!(
        judged < Duration::from_millis(2_900),
        "after 3 s it may be taken: {judged:?}"
    );
    // What this one offers itself is taken at once.
    with.push_configuration(6, &document(6, 3_000, 1_000, 2));
    with.wait_until_acknowledged();
    assert_eq!(
        (with.applied(), router.readiness_status()),
        (Some(position(6)), 200)
    );
}

#[test]
fn newest_offer_without_contact_is_accepted() {
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    control.set_contact(false);
    control.push_configuration(5, &document(5, 3_000, 1_000, 2));
    let router = RouterThread::start(
        &settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), ""),
        None,
    );
    control.wait_until_acknowledged();
    // From now on each connection offers the older one, with a higher version.
    control.push_configuration(3, &document(9, 3_000, 1_000, 2));
    support::wait_until("one is in force", || control.applied().is_some());
    assert_eq!(
        (control.applied(), router.readiness_status()),
        (Some(position(5)), 200)
    );
}

/// Guards against CONFIG: a configuration that takes longer to arrive than a control machine may be
/// silent was never received (review, "Not done").
#[test]
fn configuration_over_a_slow_link_arrives_on_one_connection() {
    const PIECES: usize = 20;
    const PAUSE: Duration = Duration::from_millis(100);
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    control.push_configuration(1, &document(1, 3_000, 1_000, 2));
    let _router = RouterThread::start(
        &settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), ""),
        None,
    );
    support::wait_until("it is in force", || control.applied() == Some(position(1)));
    control.push_configuration_slowly(2, &document(2, 3_000, 1_000, 2), PIECES, PAUSE);
    support::wait_until("the next one is", || control.applied() == Some(position(2)));
    // Heartbeats go on: the link is kept.
    std::thread::sleep(Duration::from_millis(900));
    assert_eq!(control.handshake_count(), 1);
}

#[test]
fn lagging_control_machine_does_not_revert_configuration() {
    let server = named("i-1");
    let [newer, older] = [2, 3].map(|last| Control::at(SocketAddr::from(([127, 0, 0, last], 0))));
    let old = document_of(9, &[route("r", "/other/", "fleet.example", &[("pool", 1)])]);
    older.push_configuration(4, &old);
    newer.push_servers(vec![record(&server, ServerState::Ready, 1)]);
    newer.push_configuration(5, &document(5, 3_000, 1_000, 2));
    newer.set_control(vec![older.address.to_string()]);
    let seed = Ipv4Addr::new(127, 0, 0, 2);
    let router = RouterThread::start(&settings_text(&[seed], newer.address.port(), ""), None);
    support::wait_until("it is in force", || newer.applied() == Some(position(5)));
    newer.wait_until_acknowledged();
    newer.set_contact(false);
    for in_contact in [false, true] {
        older.set_contact(in_contact);
        let before = older.handshake_count();
        older.drop_links();
        support::wait_until("it is at the other", || older.handshake_count() > before);
        older.wait_until_acknowledged();
        assert_eq!(
            older.applied(),
            Some(position(5)),
            "in contact: {in_contact}"
        );
        let mut client = support::client::Client::connect(router.frontend);
        let id = format!("a-{in_contact}");
        assert_eq!(
            client
                .round_trip(request("GET", "safe", &id, "", ""))
                .status,
            200
        );
        assert_eq!(
            client
                .round_trip(request("GET", "other", &format!("{id}-other"), "", ""))
                .status,
            404
        );
    }
}

#[test]
fn router_started_before_control_connects_soon() {
    let unstarted = RefusingAddress::new();
    let port = unstarted.address().port();
    let router = RouterThread::start(&settings_text(&[Ipv4Addr::LOCALHOST], port, ""), None);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(router.readiness_status(), 503);
    let control = Control::on(unstarted.listen());
    control.push_configuration(1, &document(1, 3_000, 1_000, 2));
    let began = std::time::Instant::now();
    support::wait_until("it is in force", || control.applied().is_some());
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn changed_seeds_are_used_with_and_without_signal() {
    for with_signal in [true, false] {
        let control = Control::at(SocketAddr::from(([127, 0, 0, 3], 0)));
        let port = control.address.port();
        let path = std::env::temp_dir().join(format!(
            "router-seeds-{}-{with_signal}.toml",
            std::process::id()
        ));
        let nobody = settings_text(&[Ipv4Addr::new(127, 0, 0, 9)], port, "");
        std::fs::write(&path, &nobody).expect("write");
        let mut router = RouterThread::start(&nobody, Some(path.clone()));
        control.push_configuration(1, &document(1, 3_000, 1_000, 2));
        std::fs::write(
            &path,
            settings_text(&[Ipv4Addr::new(127, 0, 0, 3)], port, "# changed\n"),
        )
        .expect("write");
        if with_signal {
            router.reload();
        }
        support::wait_until("it is in force", || control.applied().is_some());
        // A file that can't be read changes nothing.
        std::fs::write(&path, "nodeName = ").expect("write");
        router.reload();
        assert_eq!(router.readiness_status(), 200);
        std::fs::remove_file(&path).expect("remove");
    }
}

//! Keys, tenants and quotas at a router.

mod support;

use lichenswitch_messages::ServerState;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use support::client::{request, Reply};
use support::control::{position, Control};
use support::rig::{record, settings_text, Rig, Running};
use support::server::{Next, Server};
use support::until;

/// Bounds of a deployment with tenants; revocations bind within 2.5 s.
const BOUNDS: &str =
    "revocationStrict = true\nrevokeMs = 2500\nquotaWindowS = 8\nquotaOverage = 0.1\nquotaSlack = 0\n";
const ONE: &str = r#"{"name":"one","apiKeys":["key-1","key-2"],"priority":1}"#;
const LIMITED: &str =
    r#"{"name":"two","apiKeys":["key-3"],"unit":"token_count","uncachedTokens":7,"ratePerS":1000}"#;

/// Routes of all kinds under `tenants`, one of them public.
fn document(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"fleet.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":3000,\
             \"targetLatencyMs\":800,\"priority\":2,\"service\":\"pool\",\"maxAttempts\":2{more}}}"
        )
    };
    let routes = [
        route("safe", "safe", ""),
        route("unsafe", "unsafe", ""),
        route("resume", "streaming", ",\"streamResume\":true"),
        route("public", "safe", ",\"publicAccess\":true"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"maxConnections\":100}}],\"tenants\":[{tenants}]}}",
        routes.join(",")
    )
}

fn rig(servers: &[&Server], tenants: &str) -> Rig {
    let control = Control::at(SocketAddr::from(([127, 0, 0, 1], 0)));
    let text = settings_text(&[Ipv4Addr::LOCALHOST], control.address.port(), BOUNDS);
    let rig = Rig {
        router: Running::start(&text, None),
        control,
    };
    rig.control.push_servers(
        servers
            .iter()
            .map(|server| record(server, ServerState::Ready, 1))
            .collect(),
    );
    rig.control.push_configuration(1, &document(1, tenants));
    until("the configuration is in force", || {
        rig.control.applied().is_some()
    });
    rig.control.settled();
    until("it is confirmed", || rig.router.readiness_status() == 200);
    rig
}

fn ask(rig: &Rig, kind: &str, id: &str, headers: &str) -> Reply {
    rig.client().ask(request("POST", kind, id, headers, "x"))
}

fn echo() -> Server {
    Server::start("i-1", |seen, talk| {
        talk.answer(seen, 200, "", "ok");
        Next::Keep
    })
}

#[test]
fn server_gets_tenant_and_never_the_key() {
    let server = echo();
    let rig = rig(&[&server], ONE);
    for (id, headers) in [
        ("a1", "Api-Key: key-1\r\n"),
        ("a2", "Api-Key: key-2\r\nTenant: another\r\n"),
        ("a3", "api-key:  key-1  \r\nTENANT: x\r\nTenant: y\r\n"),
    ] {
        assert_eq!(ask(&rig, "safe", id, headers).status, 200, "{id}");
    }
    for seen in server.seen() {
        let tenants: Vec<&str> = seen
            .headers
            .iter()
            .filter(|(name, _)| name == "tenant")
            .map(|(_, value)| value.as_str())
            .collect();
        assert_eq!(tenants, ["one"]);
        assert_eq!(seen.header("api-key"), None);
        assert!(!format!("{seen:?}").contains("key-"));
    }
}

#[test]
fn unknown_key_is_rejected_and_public_routes_are_open() {
    let server = echo();
    let rig = rig(&[&server], ONE);
    for (id, headers) in [
        ("b1", ""),
        ("b2", "Api-Key: key-9\r\n"),
        ("b3", "Api-Key: \r\n"),
        ("b4", "Api-Key: KEY-1\r\n"),
    ] {
        assert_eq!(ask(&rig, "safe", id, headers).status, 401, "{id}");
    }
    let long = format!("Api-Key: {}\r\n", "k".repeat(8_000));
    assert_eq!(ask(&rig, "safe", "b5", &long).status, 401);
    assert_eq!(
        ask(&rig, "safe", "b6", "Api-Key: key-1\r\nApi-Key: key-1\r\n").status,
        400
    );
    assert_eq!(ask(&rig, "none", "b7", "Api-Key: key-1\r\n").status, 404);
    assert!(server.seen().is_empty());
    assert_eq!(ask(&rig, "public", "b8", "Tenant: forged\r\n").status, 200);
    assert_eq!(ask(&rig, "public", "b9", "Api-Key: key-1\r\n").status, 200);
    let tenants: Vec<Option<String>> = server
        .seen()
        .iter()
        .map(|seen| seen.header("tenant").map(str::to_owned))
        .collect();
    assert_eq!(tenants, [None, Some("one".to_owned())]);
}

#[test]
fn tenant_rank_precedes_route_rank() {
    let server = echo();
    let rig = rig(
        &[&server],
        &format!(
            "{ONE},{}",
            r#"{"name":"first","apiKeys":["key-0"],"priority":0}"#
        ),
    );
    ask(&rig, "safe", "r1", "Api-Key: key-1\r\n");
    ask(&rig, "safe", "r2", "Api-Key: key-0\r\nPriority: 9\r\n");
    let ranks: Vec<String> = server
        .seen()
        .iter()
        .map(|seen| seen.header("priority").unwrap_or_default().to_owned())
        .collect();
    assert_eq!(ranks, ["1", "0"]);
}

#[test]
fn revoked_key_stops_working_and_new_one_works() {
    let server = echo();
    let rig = rig(&[&server], ONE);
    assert_eq!(ask(&rig, "safe", "c1", "Api-Key: key-1\r\n").status, 200);
    rig.control.push_configuration(
        2,
        &document(2, r#"{"name":"one","apiKeys":["key-2","key-4"]}"#),
    );
    until("it is in force", || {
        rig.control.applied() == Some(position(2))
    });
    assert_eq!(ask(&rig, "safe", "c2", "Api-Key: key-1\r\n").status, 401);
    assert_eq!(ask(&rig, "safe", "c3", "Api-Key: key-4\r\n").status, 200);
}

#[test]
fn request_with_revoked_key_is_not_sent_again() {
    // The first attempt is turned away by its server once the key is gone.
    let server = Server::start("i-1", |seen, talk| {
        talk.closes_within(Duration::from_millis(600));
        talk.answer(seen, 503, "Not-Executed: 1\r\n", "");
        Next::Keep
    });
    let second = Server::start("i-2", |seen, talk| {
        talk.closes_within(Duration::from_millis(600));
        talk.answer(seen, 503, "Not-Executed: 1\r\n", "");
        Next::Keep
    });
    let rig = rig(&[&server, &second], ONE);
    let mut client = rig.client();
    client.send(request("POST", "unsafe", "d1", "Api-Key: key-1\r\n", "x"));
    until("it is out", || server.times("d1") + second.times("d1") == 1);
    rig.control
        .push_configuration(2, &document(2, r#"{"name":"one","apiKeys":["key-2"]}"#));
    until("it is in force", || {
        rig.control.applied() == Some(position(2))
    });
    let status = client.reply().status;
    assert!(matches!(status, 401 | 503), "{status}");
    assert_eq!(server.times("d1") + second.times("d1"), 1);
}

#[test]
fn keys_are_served_only_while_configuration_is_fresh() {
    let server = echo();
    let rig = rig(&[&server], ONE);
    rig.control.set_confirms(false);
    let refused = support::within(Duration::from_secs(4), || {
        ask(&rig, "safe", "e1", "Api-Key: key-1\r\n").status == 503
    });
    assert!(refused, "keys are served on without confirmation");
    // It doesn't know who holds a key either, but who needs none is served.
    let unknown = ask(&rig, "safe", "e2", "Api-Key: key-9\r\n");
    assert_eq!(unknown.status, 503);
    assert!(unknown.retry_after().is_some());
    assert_eq!(ask(&rig, "public", "e3", "").status, 200);
    assert_eq!(rig.router.readiness_status(), 503);
    rig.control.set_confirms(true);
    until("it is confirmed", || {
        ask(&rig, "safe", "e4", "Api-Key: key-1\r\n").status == 200
    });
}

#[test]
fn request_over_quota_is_rejected_with_retry_after() {
    let server = echo();
    let rig = rig(&[&server], &format!("{ONE},{LIMITED}"));
    rig.control.set_quota(Some(100));
    let tokens = |usage: &str| format!("Api-Key: key-3\r\nToken-Usage: {usage}\r\n");
    assert_eq!(ask(&rig, "safe", "f1", &tokens("60,30")).status, 200);
    let beyond = ask(&rig, "safe", "f2", &tokens("10, 5"));
    assert_eq!((beyond.status, beyond.retry_after()), (429, Some(0.25)));
    assert!(
        beyond.took < Duration::from_millis(200),
        "{:?}",
        beyond.took
    );
    // Without a count of its own it is the tenant's figure; another tenant has no quota.
    assert_eq!(ask(&rig, "safe", "f3", "Api-Key: key-3\r\n").status, 200);
    assert_eq!(ask(&rig, "safe", "f4", "Api-Key: key-1\r\n").status, 200);
    let amounts: Vec<Vec<u64>> = rig
        .control
        .draws()
        .iter()
        .map(|draw| draw.amounts.clone())
        .collect();
    assert_eq!(amounts, [vec![90], vec![15], vec![7]]);
    assert!(rig
        .control
        .draws()
        .iter()
        .all(|draw| draw.tenant == "two" && draw.may_forward));
    assert_eq!(server.seen().len(), 3);
}

#[test]
fn invalid_token_usage_is_rejected_for_token_quotas() {
    let server = echo();
    let rig = rig(&[&server], &format!("{ONE},{LIMITED}"));
    rig.control.set_quota(Some(1_000_000));
    for usage in [
        "",
        "5",
        "a,b",
        "-1,2",
        "1,2,3",
        "18446744073709551615,1",
        "99999999999999999999999,1",
        "\u{ff}\u{fe}",
    ] {
        let headers = format!("Api-Key: key-3\r\nToken-Usage: {usage}\r\n");
        assert_eq!(ask(&rig, "safe", "g1", &headers).status, 400, "{usage:?}");
    }
    assert!(server.seen().is_empty());
    assert_eq!(
        ask(&rig, "safe", "g2", "Api-Key: key-1\r\nToken-Usage: a,b\r\n").status,
        200
    );
}

#[test]
fn quota_wait_is_at_most_a_quarter_of_latency_target() {
    let server = echo();
    let rig = rig(&[&server], LIMITED);
    let reply = ask(&rig, "safe", "h1", "Api-Key: key-3\r\n");
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after().is_some());
    assert!(
        (150..600).contains(&reply.took.as_millis()),
        "{:?}",
        reply.took
    );
    // One whose client leaves meanwhile is forgotten.
    drop({
        let mut client = rig.client();
        client.send(request("POST", "safe", "h2", "Api-Key: key-3\r\n", "x"));
        client
    });
    rig.control.set_quota(Some(1_000));
    assert_eq!(ask(&rig, "safe", "h3", "Api-Key: key-3\r\n").status, 200);
    assert_eq!(server.times("h1") + server.times("h2"), 0);
}

#[test]
fn lease_requests_are_repeated_on_new_connection() {
    let server = echo();
    let rig = rig(&[&server], LIMITED);
    let mut client = rig.client();
    client.send(request("POST", "safe", "i1", "Api-Key: key-3\r\n", "x"));
    until("it is drawn for", || !rig.control.draws().is_empty());
    rig.control.set_quota(Some(1_000));
    rig.control.drop_links();
    assert_eq!(client.reply().status, 200);
}

#[test]
fn shutdown_answers_requests_waiting_for_quota() {
    let server = echo();
    let mut rig = rig(&[&server], LIMITED);
    let mut client = rig.client();
    client.send(request("POST", "safe", "j1", "Api-Key: key-3\r\n", "x"));
    until("it is drawn for", || !rig.control.draws().is_empty());
    rig.router.stop();
    assert_eq!(client.reply().status, 503);
    assert!(rig.router.ends_within(Duration::from_secs(9)));
}

#[test]
fn resumed_stream_carries_tenant_and_no_key() {
    let broken = Server::start("i-1", |seen, talk| {
        talk.stream_head(seen);
        talk.event(1);
        Next::Close
    });
    let whole = Server::start("i-2", |seen, talk| {
        talk.stream_head(seen);
        let from = if seen.header("last-event-id").is_some() {
            2
        } else {
            1
        };
        for id in from..=2 {
            talk.event(id);
        }
        talk.end();
        Next::Keep
    });
    let rig = rig(&[&broken, &whole], ONE);
    for n in 0..6 {
        ask(
            &rig,
            "resume",
            &format!("k{n}"),
            "Api-Key: key-1\r\nTenant: forged\r\n",
        );
    }
    let seen: Vec<_> = broken.seen().into_iter().chain(whole.seen()).collect();
    assert!(
        seen.iter()
            .any(|seen| seen.header("last-event-id").is_some()),
        "no stream was taken up"
    );
    assert!(seen
        .iter()
        .all(|seen| seen.header("tenant") == Some("one") && seen.header("api-key").is_none()));
}

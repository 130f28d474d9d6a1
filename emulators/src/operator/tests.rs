//! The operator against control machines by script, and its judgement of planted faults.

use super::document::{replace, update, version, Route};
use super::scripted_control::{Reply, ScriptedControl};
use super::*;

const LONG: Duration = Duration::from_secs(10);

fn order(base: u64, version: u64) -> Order {
    let body = replace(version, &[Route::new("r", "a.example", "/a/", "s")]);
    Order {
        verb: Verb::Replace,
        base,
        body,
    }
}

fn control(reply: impl Fn(&Call, usize) -> Reply + Send + Sync + 'static) -> ScriptedControl {
    ScriptedControl::start(reply).expect("an address of loopback")
}

#[test]
fn order_is_repeated_at_other_machines_until_a_clear_response() {
    let refuses = control(|_, _| Reply::status(503));
    let closes = control(|_, _| Reply::Close);
    let takes = control(|_, _| Reply::status(200));
    let operator = Operator::new(vec![refuses.address, closes.address, takes.address]);
    assert_eq!(operator.send(&order(0, 1), 0, LONG), Outcome::Acknowledged);
    let sent = [refuses.calls(), closes.calls(), takes.calls()];
    for calls in &sent {
        assert_eq!(calls.len(), 1);
        assert_eq!(calls[0].body, sent[0][0].body);
        assert!(calls[0]
            .fields
            .contains(&("Base-Version".into(), "0".into())));
    }
}

#[test]
fn clear_rejection_ends_the_order_and_another_4xx_at_the_third_attempt() {
    for (status, outcome, calls) in [
        (412, Outcome::OtherVersion, 1),
        (400, Outcome::Refused(400), 1),
        (422, Outcome::Refused(422), 1),
        (404, Outcome::Refused(404), 3),
    ] {
        let machine = control(move |_, _| Reply::status(status));
        let operator = Operator::new(vec![machine.address]);
        assert_eq!(operator.send(&order(0, 1), 0, LONG), outcome);
        assert_eq!(machine.calls().len(), calls, "{status}");
    }
}

#[test]
fn order_without_a_clear_response_is_unclear() {
    let machine = control(|_, _| Reply::status(429));
    let operator = Operator::new(vec![machine.address]);
    assert_eq!(
        operator.send(&order(0, 1), 0, Duration::from_millis(200)),
        Outcome::Unclear
    );
    assert!(machine.calls().len() > 1);
    assert!(operator.faults().is_empty());
}

#[test]
fn redirect_is_followed_twice_at_most() {
    let last = control(|_, _| Reply::status(200));
    let leads = move |to: SocketAddr| {
        let location = format!("http://{to}/configuration/replace");
        control(move |_, _| Reply::Response {
            status: 307,
            fields: vec![("Location".into(), location.clone())],
            body: String::new(),
        })
    };
    let second = leads(last.address);
    let first = leads(second.address);
    let before = leads(first.address);
    let response = order(0, 1)
        .call()
        .send_following(first.address, RESPONSE_TIMEOUT)
        .expect("an answer");
    assert_eq!(response.status(), 200);
    let response = order(0, 1)
        .call()
        .send_following(before.address, RESPONSE_TIMEOUT)
        .expect("an answer");
    assert_eq!(response.status(), 307);
}

#[test]
fn raced_orders_go_to_two_machines() {
    let (one, other) = (
        control(|_, _| Reply::status(200)),
        control(|_, _| Reply::status(412)),
    );
    let operator = Operator::new(vec![one.address, other.address]);
    let outcomes = operator.race([&order(3, 4), &order(3, 5)], LONG);
    assert_eq!(outcomes, [Outcome::Acknowledged, Outcome::OtherVersion]);
    assert!(operator.faults().is_empty());
}

#[test]
fn abandoned_order_has_reached_the_machine() {
    let machine = control(|_, _| Reply::status(200));
    let operator = Operator::new(vec![machine.address]);
    operator
        .send_without_waiting(&order(0, 1), 0)
        .expect("sent");
    let until = Instant::now() + LONG;
    while machine.calls().is_empty() && Instant::now() < until {
        thread::yield_now();
    }
    assert_eq!(machine.calls().len(), 1);
}

#[test]
fn configuration_is_read_from_a_machine_that_has_it() {
    let (empty, full) = (
        control(|_, _| Reply::status(503)),
        control(|_, _| Reply::body("{\"version\":7}")),
    );
    let operator = Operator::new(vec![empty.address, full.address]);
    assert_eq!(
        operator.describe(0, LONG),
        Some(b"{\"version\":7}".to_vec())
    );
    assert_eq!(operator.ledger(), [Entry::Read(full.address, Some(7))]);
}

#[test]
fn planted_faults_are_found() {
    let at = SocketAddr::from(([127, 0, 0, 1], 1));
    let taken = |order: Order| Entry::Responded(order, at, Outcome::Acknowledged);
    let two = [taken(order(3, 4)), taken(order(3, 5))];
    assert_eq!(judge(&two), [Fault::TwoOnOneVersion(3)]);
    let repeated = [taken(order(3, 4)), taken(order(4, 6)), taken(order(3, 4))];
    assert!(judge(&repeated).is_empty());
    let refused = [
        taken(order(3, 4)),
        Entry::Responded(order(3, 4), at, Outcome::OtherVersion),
    ];
    assert_eq!(
        judge(&refused),
        [Fault::RefusedAfterAcknowledged(order(3, 4))]
    );
    let older = [taken(order(3, 4)), Entry::Read(at, Some(3))];
    assert_eq!(judge(&older), [Fault::OlderReadBack(3, 4)]);
    let newer = [taken(order(3, 4)), Entry::Read(at, Some(9))];
    assert!(judge(&newer).is_empty());
}

#[test]
fn split_route_lists_its_services_by_weight() {
    let mut route = Route::new("r", "a.example", "/a/", "s");
    route.split = vec![("s".into(), 70), ("t".into(), 30)];
    let document: serde_json::Value =
        serde_json::from_str(&replace(1, &[route])).expect("a document");
    assert_eq!(
        document["routes"][0]["trafficSplit"][1],
        serde_json::json!({"service": "t", "weight": 30})
    );
    assert!(document["routes"][0].get("service").is_none());
    assert_eq!(document["services"].as_array().map(Vec::len), Some(2));
}

#[test]
fn update_lists_upserts_and_removals() {
    let route = Route::new("r", "a.example", "/a/", "s");
    let body: serde_json::Value =
        serde_json::from_str(&update(9, &[route], &["old"])).expect("JSON");
    assert_eq!(body["upserts"]["routes"][0]["pathPrefix"], "/a/");
    assert_eq!(body["removals"]["routes"][0], "old");
    assert_eq!(version(body.to_string().as_bytes()), Some(9));
}

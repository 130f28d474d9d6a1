//! Tests of the evaluation of orders.

use super::*;
use crate::order::tests::{replace, update};
use assert_matches::assert_matches;

/// Returns a configuration with one route. Different timeouts distinguish configurations of the
/// same version.
fn configuration(version: u64, timeout_ms: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r","host":"h","pathPrefix":"/a/","timeoutMs":{timeout_ms},"service":"s"}}],"services":[{{"name":"s"}}]}}"#
    )
}

/// Evaluates an order, applies its change if there is one, and returns the outcome.
fn submit(state: &mut State, order: &Order) -> OrderOutcome {
    let outcome = evaluate(state, order);
    if let OrderOutcome::Change(change) = &outcome {
        state
            .apply(change)
            .expect("a change that was just evaluated applies");
    }
    outcome
}

fn assert_accepted(state: &mut State, order: &Order) {
    assert_matches!(submit(state, order), OrderOutcome::Change(_));
}

/// Returns a state in which version 5 is current.
fn state_at_version_5() -> State {
    let mut state = State::default();
    assert_accepted(&mut state, &replace(0, &configuration(5, 10)));
    state
}

#[test]
fn repeated_order_is_already_applied_after_newer_ones() {
    let mut state = State::default();
    let first = replace(0, &configuration(5, 10));
    let second = update(
        5,
        "{\"version\":6,\"upserts\":{\"services\":[{\"name\":\"t\"}]}}",
    );
    assert_accepted(&mut state, &first);
    assert_accepted(&mut state, &second);
    for version in 7..300 {
        assert_accepted(
            &mut state,
            &replace(version - 1, &configuration(version, version)),
        );
    }
    let before = state.clone();
    for order in [&first, &second] {
        assert_eq!(submit(&mut state, order), OrderOutcome::AlreadyApplied);
    }
    assert_eq!(state, before);
}

#[test]
fn other_order_with_same_version_and_base_conflicts() {
    let mut state = state_at_version_5();
    let (one, other) = (
        replace(5, &configuration(7, 10)),
        replace(5, &configuration(7, 11)),
    );
    assert_accepted(&mut state, &one);
    assert_eq!(
        submit(&mut state, &other),
        OrderOutcome::VersionConflict { current: 7 }
    );
    assert_eq!(submit(&mut state, &one), OrderOutcome::AlreadyApplied);
    let spaced = replace(5, &format!("{} ", configuration(7, 10)));
    assert_eq!(
        submit(&mut state, &spaced),
        OrderOutcome::VersionConflict { current: 7 }
    );
}

#[test]
fn older_and_newer_base_versions_conflict() {
    let mut state = state_at_version_5();
    assert_eq!(
        submit(&mut state, &replace(0, &configuration(9, 1))),
        OrderOutcome::VersionConflict { current: 5 }
    );
    assert_eq!(
        submit(&mut state, &update(8, "{\"version\":9}")),
        OrderOutcome::VersionConflict { current: 5 }
    );
    assert_eq!(
        submit(&mut State::default(), &replace(3, &configuration(4, 1))),
        OrderOutcome::VersionConflict { current: 0 }
    );
}

/// Returns the kinds of invalid bodies that operators are known to send by mistake, for base
/// version 5.
fn invalid_bodies() -> Vec<(&'static str, String)> {
    let good = configuration(7, 10);
    let second =
        r#"},{"name":"q","host":"h","pathPrefix":"/a/","timeoutMs":9,"service":"s"}],"services""#;
    let split = r#""trafficSplit":[{"service":"s","weight":0},{"service":"s","weight":0}]"#;
    vec![
        ("truncated", good[..good.len() / 2].to_owned()),
        (
            "unknown_service",
            good.replace("\"service\":\"s\"", "\"service\":\"nowhere\""),
        ),
        ("duplicate_prefix", good.replace("}],\"services\"", second)),
        ("zero_weight", good.replace("\"service\":\"s\"", split)),
        ("zero_timeout", configuration(7, 0)),
        ("old_version", configuration(4, 10)),
        (
            "same_version",
            configuration(5, 10).replace("\"timeoutMs\":10", "\"timeoutMs\":11"),
        ),
    ]
}

#[test]
fn invalid_configurations_are_rejected_and_change_nothing() {
    let mut state = state_at_version_5();
    let before = state.clone();
    for (kind, body) in invalid_bodies() {
        let order = replace(5, &body);
        assert_matches!(
            submit(&mut state, &order),
            OrderOutcome::Invalid(_),
            "{kind}"
        );
        assert_matches!(validate(&order), Err(_), "{kind}");
    }
    assert_eq!(state, before);
}

#[test]
fn invalid_updates_are_rejected_and_change_nothing() {
    let mut state = state_at_version_5();
    let before = state.clone();
    let route = |fields: &str| {
        format!("{{\"version\":7,\"upserts\":{{\"routes\":[{{\"name\":\"q\",\"host\":\"h\",{fields}}}]}}}}")
    };
    let bodies = [
        ("truncated", "{\"version\":7,\"upserts\":{".to_owned(), true),
        (
            "unknown_service",
            route("\"pathPrefix\":\"/b/\",\"service\":\"nowhere\""),
            false,
        ),
        (
            "duplicate_prefix",
            route("\"pathPrefix\":\"/a/\",\"service\":\"s\""),
            false,
        ),
        (
            "zero_weight",
            route("\"pathPrefix\":\"/b/\",\"trafficSplit\":[{\"service\":\"s\",\"weight\":0}]"),
            true,
        ),
        (
            "zero_timeout",
            route("\"pathPrefix\":\"/b/\",\"service\":\"s\",\"timeoutMs\":0"),
            true,
        ),
        ("old_version", "{\"version\":4}".to_owned(), true),
        ("same_version", "{\"version\":5}".to_owned(), true),
        (
            "removal of a used service",
            "{\"version\":7,\"removals\":{\"services\":[\"s\"]}}".to_owned(),
            false,
        ),
    ];
    for (kind, body, is_invalid_by_itself) in bodies {
        let order = update(5, &body);
        assert_matches!(
            submit(&mut state, &order),
            OrderOutcome::Invalid(_),
            "{kind}"
        );
        assert_eq!(validate(&order).is_err(), is_invalid_by_itself, "{kind}");
    }
    assert_eq!(state, before);
}

#[test]
fn order_invalid_by_itself_is_invalid_on_any_base() {
    let mut state = state_at_version_5();
    let order = replace(3, &configuration(4, 0));
    assert_matches!(
        submit(&mut state, &order),
        OrderOutcome::Invalid(ConfigurationError::ZeroTimeout { .. })
    );
    let order = replace(9, &configuration(9, 1));
    let expected = ConfigurationError::VersionNotAbove {
        version: 9,
        current: 9,
    };
    assert_eq!(
        submit(&mut state, &order),
        OrderOutcome::Invalid(expected.clone())
    );
    assert_eq!(validate(&order), Err(expected));
}

#[test]
fn order_valid_by_itself_passes_validation() {
    for order in [
        replace(5, &configuration(7, 10)),
        update(5, "{\"version\":7,\"removals\":{\"services\":[\"s\"]}}"),
    ] {
        assert_eq!(validate(&order), Ok(()));
    }
}

#[test]
fn update_without_configuration_and_unknown_path_are_invalid() {
    let mut state = State::default();
    let first = update(0, "{\"version\":1}");
    assert_eq!(
        submit(&mut state, &first),
        OrderOutcome::Invalid(ConfigurationError::NothingToUpdate)
    );
    let order_with_unknown_path = Order {
        path: "/configuration/other".to_owned(),
        ..first
    };
    assert_eq!(
        evaluate(&state, &order_with_unknown_path),
        OrderOutcome::Invalid(ConfigurationError::UnknownPath)
    );
    assert_eq!(
        validate(&order_with_unknown_path),
        Err(ConfigurationError::UnknownPath)
    );
}

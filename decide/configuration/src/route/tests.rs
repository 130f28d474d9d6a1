//! Tests of parsing routes and picking services.

use super::*;
use crate::json::value_of;
use assert_matches::assert_matches;

/// Parses a route with these fields in addition to its name, host and prefix.
fn read(fields: &str) -> Result<Route, ConfigurationError> {
    let text = format!("{{\"name\":\"r\",\"host\":\"A.example\",\"pathPrefix\":\"/p/\"{fields}}}");
    Route::parse("r", &value_of(&text).expect("JSON"))
}

fn split(elements: &[(&str, f64)]) -> String {
    let elements: Vec<_> = elements
        .iter()
        .map(|(service, weight)| format!("{{\"service\":\"{service}\",\"weight\":{weight}}}"))
        .collect();
    format!(",\"trafficSplit\":[{}]", elements.join(","))
}

#[test]
fn route_without_optional_fields_has_safe_defaults() {
    let route = read(",\"service\":\"s\"").expect("valid");
    let target = WeightedService {
        service: "s".to_owned(),
        weight: 1.0,
    };
    assert_eq!(
        (route.host.as_str(), route.kind, route.max_attempts),
        ("a.example", RouteKind::Unknown, 1)
    );
    assert_eq!(route.targets, [target]);
    assert_eq!(route.target_latency_ms, route.timeout_ms);
    assert!(!route.is_idempotent() && route.event_gap_target_ms.is_none());
}

#[test]
fn route_kind_determines_idempotence() {
    let kind = |fields: &str| read(&format!(",\"service\":\"s\",{fields}")).expect("valid");
    assert!(kind("\"kind\":\"safe\"").is_idempotent());
    assert!(!kind("\"kind\":\"unsafe\",\"streamResume\":true").is_idempotent());
    assert!(!kind("\"kind\":\"streaming\"").is_idempotent());
    assert!(kind("\"kind\":\"streaming\",\"streamResume\":true").is_idempotent());
    let keyed = kind("\"kind\":\"keyed\"");
    assert_eq!(
        (keyed.kind, keyed.is_idempotent()),
        (RouteKind::Unknown, false)
    );
}

#[test]
fn numbers_with_fractions_are_accepted() {
    let route = read(",\"service\":\"s\",\"timeoutMs\":3000.0,\"priority\":2,\"gap_aim_ms\":0.25")
        .expect("valid");
    assert_eq!(
        (route.timeout_ms, route.priority, route.event_gap_target_ms),
        (3_000, 2, Some(1))
    );
}

#[test]
fn invalid_route_is_rejected_with_its_reason() {
    let name = || "r".to_owned();
    let cases = [
        (
            read(",\"service\":\"s\",\"timeoutMs\":0"),
            ConfigurationError::ZeroTimeout { route: name() },
        ),
        (
            read(",\"service\":\"s\",\"timeoutMs\":0.0"),
            ConfigurationError::ZeroTimeout { route: name() },
        ),
        (
            read(&split(&[("s", 0.0), ("t", 0.0)])),
            ConfigurationError::ZeroWeight { route: name() },
        ),
        (
            read(&split(&[])),
            ConfigurationError::ZeroWeight { route: name() },
        ),
        (
            read(&split(&[("s", 5.0), ("t", -1.0)])),
            ConfigurationError::NegativeWeight { route: name() },
        ),
    ];
    for (outcome, expected) in cases {
        assert_eq!(outcome, Err(expected));
    }
    for fields in [
        ",\"service\":7",
        ",\"service\":\"s\",\"timeoutMs\":-3",
        ",\"service\":\"s\",\"timeoutMs\":\"3\"",
    ] {
        assert_matches!(
            read(fields),
            Err(ConfigurationError::WrongType { .. }),
            "{fields}"
        );
    }
    assert_matches!(read(""), Err(ConfigurationError::MissingField { field, .. }) if field == "service");
    assert_matches!(
        read(",\"trafficSplit\":[{\"service\":\"s\"}]"),
        Err(ConfigurationError::MissingField { field, .. }) if field == "weight"
    );
}

#[test]
fn prefix_without_slashes_is_rejected() {
    let read = |prefix: &str| {
        let text = format!("{{\"host\":\"h\",\"pathPrefix\":\"{prefix}\",\"service\":\"s\"}}");
        Route::parse("r", &value_of(&text).expect("JSON"))
    };
    assert!(read("/").is_ok() && read("/a/b/").is_ok());
    for prefix in ["a/", "/a", "a"] {
        assert_eq!(
            read(prefix),
            Err(ConfigurationError::InvalidPrefix {
                route: "r".to_owned()
            })
        );
    }
    assert_matches!(read(""), Err(ConfigurationError::MissingField { .. }));
}

#[test]
fn services_are_picked_by_weight_and_never_with_weight_0() {
    let route = read(&split(&[
        ("none", 0.0),
        ("most", 90.0),
        ("few", 10.0),
        ("last", 0.0),
    ]))
    .expect("valid");
    let picks = 1_000_u64;
    let step = u64::MAX / picks;
    let picked: Vec<&str> = (0..picks).map(|n| route.pick_service(n * step)).collect();
    let times = |service: &str| picked.iter().filter(|picked| **picked == service).count();
    assert_eq!((times("none"), times("last")), (0, 0));
    assert!((899..=901).contains(&times("most")), "{}", times("most"));
    assert_eq!(times("most") + times("few"), 1_000);
    assert_eq!(
        (route.pick_service(0), route.pick_service(u64::MAX)),
        ("most", "few")
    );
}

#[test]
fn service_with_weight_0_is_not_picked_if_the_sum_is_rounded() {
    let route = read(&split(&[("a", 0.1), ("b", 0.2), ("c", 0.3), ("none", 0.0)])).expect("valid");
    assert_eq!(route.pick_service(u64::MAX), "c");
}

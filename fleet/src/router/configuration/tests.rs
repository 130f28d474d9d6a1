use super::*;

fn position(epoch: u64, primary: u64, number: u64) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch,
        primary,
        number,
    }
}

fn document(version: u64) -> Vec<u8> {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"h.example\",\"pathPrefix\":\"/a/\",\"kind\":\"streaming\",\
         \"timeoutMs\":500,\"targetLatencyMs\":900,\"priority\":2,\"maxAttempts\":3,\"streamResume\":true,\
         \"trafficSplit\":[{{\"service\":\"x\",\"weight\":1}},{{\"service\":\"y\",\"weight\":0}}]}}],\
         \"services\":[{{\"name\":\"x\",\"maxConnections\":9}},{{\"name\":\"y\"}}]}}"
    )
    .into_bytes()
}

fn in_force(position: ConfigurationPosition, version: u64) -> ActiveConfiguration {
    ActiveConfiguration::parse(position, &document(version)).expect("a configuration")
}

#[test]
fn active_position_never_decreases() {
    let mut configuration = CurrentConfiguration::default();
    assert!(configuration.get().is_none());
    assert!(configuration.apply(in_force(position(2, 1, 5), 8)));
    for older in [
        position(2, 1, 5),
        position(2, 1, 4),
        position(1, 9, 90),
        position(2, 0, 60),
    ] {
        assert!(!configuration.apply(in_force(older, 99)), "{older:?}");
    }
    assert_eq!(
        configuration.get().map(|known| known.document().version()),
        Some(8)
    );
    // A later epoch outranks numbers and versions.
    assert!(configuration.apply(in_force(position(3, 0, 1), 7)));
    assert_eq!(
        configuration.get().map(|known| known.document().version()),
        Some(7)
    );
}

#[test]
fn terms_are_taken_from_route() {
    let in_force = in_force(position(1, 1, 1), 1);
    let route = in_force.route("H.example:80", "/a/b?c").expect("a route");
    assert_eq!(route.pick_service(3), "x");
    let terms = in_force.terms(route, None);
    assert!(terms.is_idempotent && terms.is_streaming && terms.is_resumable);
    assert_eq!(
        (terms.timeout, terms.target_latency),
        (500_000, 500_000),
        "no aim is beyond the time-out"
    );
    assert_eq!((terms.rank, terms.max_attempts), (2, 3));
    assert!(in_force.route("h.example", "/b/").is_none());
    assert!(in_force.route("other.example", "/a/").is_none());
}

#[test]
fn service_without_weight_has_no_terms() {
    let in_force = in_force(position(1, 1, 1), 1);
    assert_eq!(
        (in_force.terms_of("x").len(), in_force.terms_of("y").len()),
        (1, 0)
    );
}

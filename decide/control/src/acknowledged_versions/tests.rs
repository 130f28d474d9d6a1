use super::*;

#[test]
fn read_after_acknowledgement_returns_at_least_that_version() {
    let mut acknowledged = AcknowledgedVersions::default();
    assert!(
        acknowledged.allows_read(Time(5), 0),
        "no version is acknowledged yet"
    );
    acknowledged.on_acknowledged(Time(10), 3);
    acknowledged.on_acknowledged(Time(20), 7);
    assert!(
        acknowledged.allows_read(Time(10), 0),
        "the read arrived before the acknowledgement"
    );
    assert!(acknowledged.allows_read(Time(15), 3));
    assert!(!acknowledged.allows_read(Time(15), 2));
    assert!(!acknowledged.allows_read(Time(25), 3));
    assert!(acknowledged.allows_read(Time(25), 9));
}

#[test]
fn repeated_older_order_does_not_lower_acknowledged_version() {
    let mut acknowledged = AcknowledgedVersions::default();
    acknowledged.on_acknowledged(Time(10), 7);
    acknowledged.on_acknowledged(Time(20), 3);
    assert!(!acknowledged.allows_read(Time(30), 3));
}

#[test]
fn newest_versions_are_kept_beyond_limit() {
    let mut acknowledged = AcknowledgedVersions::default();
    for version in 1..=200 {
        acknowledged.on_acknowledged(Time(version), version);
    }
    assert!(!acknowledged.allows_read(Time(300), 199));
    assert!(acknowledged.allows_read(Time(300), 200));
}

#[test]
fn version_is_parsed_only_at_start_of_response() {
    assert_eq!(
        parse_response_version(b"{\"version\":42,\"routes\":[]}"),
        Some(42)
    );
    assert_eq!(parse_response_version(b"{\"version\":7}"), Some(7));
    assert_eq!(parse_response_version(b"{\"error\":\"x\"}"), None);
    assert_eq!(parse_response_version(b"{\"version\":}"), None);
}

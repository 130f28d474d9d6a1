//! Tests of `request_target`.

use super::*;

#[test]
fn method_and_path_select_the_target() {
    let target = |method, path| RequestTarget::of(method, path);
    assert_eq!(
        target("GET", "/configuration/describe"),
        RequestTarget::Describe
    );
    assert_eq!(
        target("POST", "/configuration/update"),
        RequestTarget::Order
    );
    assert_eq!(
        target("GET", "/instances/i-1/heartbeat"),
        RequestTarget::OtherMethod("POST")
    );
    assert_eq!(
        target("POST", "/instances/i-1/deregister"),
        RequestTarget::Deregister("i-1".into())
    );
    for unknown in [
        "/instances//heartbeat",
        "/instances/i-1",
        "/instances/i-1/x",
    ] {
        assert_eq!(target("POST", unknown), RequestTarget::Unknown);
    }
}

/// Guards against servers that are named to themselves in the encoding of paths, and answer 421 to
/// all requests.
#[test]
fn instance_is_named_without_the_encoding_of_its_path() {
    for (segment, instance) in [
        ("i-7f3a91c2", "i-7f3a91c2"),
        ("i-%C5%A0ibenik", "i-Šibenik"),
        ("i-Šibenik", "i-Šibenik"),
        ("two%20words", "two words"),
        ("i%2F1", "i/1"),
        ("100%25", "100%"),
        ("100%", "100%"),
    ] {
        let path = format!("/instances/{segment}/heartbeat");
        assert_eq!(
            RequestTarget::of("POST", &path),
            RequestTarget::Heartbeat(instance.into())
        );
    }
}

#[test]
fn instance_that_no_header_carries_is_invalid() {
    for segment in ["%FF", "%20edge", "a%0D%0AApi-Key:%20x", "a%00"] {
        for call in ["heartbeat", "deregister"] {
            let path = format!("/instances/{segment}/{call}");
            assert_eq!(
                RequestTarget::of("POST", &path),
                RequestTarget::InvalidInstance
            );
        }
    }
}

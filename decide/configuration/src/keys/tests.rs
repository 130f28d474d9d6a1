//! Tests of `keys`.

use super::*;

fn keys(tenants: &str) -> Keys {
    let text = format!("{{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":{tenants}}}");
    Keys::new(&Document::parse(text.as_bytes()).expect("valid"))
}

#[test]
fn each_key_finds_its_holder_and_no_other_text_does() {
    let long = "k".repeat(100_000);
    let keys = keys(&format!(
        r#"[{{"name":"a","apiKeys":["one","{long}"]}},{{"name":"b","apiKeys":["two"]}}]"#
    ));
    let holder = |key: &str| keys.holder(&KeyDigest::of(key.as_bytes()));
    assert_eq!(
        (holder("one"), holder(&long), holder("two")),
        (Some(0), Some(0), Some(1))
    );
    for other in ["", "on", "one ", "ONE", "three", &long[1..]] {
        assert_eq!(holder(other), None);
    }
}

#[test]
fn a_digest_is_compared_whole_and_never_shown() {
    let (one, mut other) = (KeyDigest::of(b"one"), KeyDigest::of(b"one"));
    assert!(one.is(&other));
    other.0[31] ^= 1;
    assert!(!one.is(&other) && one.slot() == other.slot());
    assert_eq!(format!("{one:?}"), "KeyDigest(..)");
}

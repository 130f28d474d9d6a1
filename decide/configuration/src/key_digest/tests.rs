//! Tests of digests of API keys.

use super::*;

#[test]
fn digest_is_compared_in_full_and_never_shown() {
    let (one, mut other) = (KeyDigest::of(b"one"), KeyDigest::of(b"one"));
    assert!(one.equals_in_constant_time(&other));
    other.0[31] ^= 1;
    assert!(!one.equals_in_constant_time(&other) && one.prefix() == other.prefix());
    assert_eq!(format!("{one:?}"), "KeyDigest(..)");
}

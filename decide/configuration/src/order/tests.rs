//! Tests of the header `Base-Version` and of the digests of orders.

use super::*;

/// Returns an order that replaces the complete configuration.
pub(crate) fn replace(base_version: u64, body: &str) -> Order {
    Order {
        path: REPLACE_PATH.to_owned(),
        base_version,
        body: body.as_bytes().to_vec(),
    }
}

/// Returns an order that updates named items.
pub(crate) fn update(base_version: u64, body: &str) -> Order {
    Order {
        path: UPDATE_PATH.to_owned(),
        base_version,
        body: body.as_bytes().to_vec(),
    }
}

#[test]
fn base_version_must_be_a_whole_number() {
    assert_eq!(parse_base_version(Some(b"0")), Ok(0));
    assert_eq!(
        parse_base_version(Some(b" 18446744073709551615\t")),
        Ok(u64::MAX)
    );
    assert_eq!(
        parse_base_version(None),
        Err(ConfigurationError::MissingBaseVersion)
    );
    for header in [
        &b""[..],
        b" ",
        b"-1",
        b"+1",
        b"1.0",
        b"x",
        b"1 2",
        b"18446744073709551616",
        b"\xff",
        b"*",
    ] {
        assert_eq!(
            parse_base_version(Some(header)),
            Err(ConfigurationError::UnreadableBaseVersion),
            "{header:?}"
        );
    }
}

#[test]
fn digest_depends_on_path_base_version_and_body() {
    let order = replace(5, "{}");
    let others = [
        update(5, "{}"),
        replace(6, "{}"),
        replace(5, "{} "),
        Order {
            path: format!("{REPLACE_PATH}{{"),
            body: b"}".to_vec(),
            ..order.clone()
        },
    ];
    for other in &others {
        assert_ne!(other.digest(), order.digest(), "{other:?}");
    }
    assert_eq!(order.digest(), order.clone().digest());
    let (one, other) = (
        OrderDigest::of("x", 0x41, &[1]),
        OrderDigest::of("xA", 1 << 56, &[]),
    );
    assert_ne!(one, other, "their concatenated bytes are equal");
    assert_eq!(
        OrderKind::of_path(OrderKind::Update.path()),
        Some(OrderKind::Update)
    );
}

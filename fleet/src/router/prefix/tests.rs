use super::*;

fn of(parts: &str) -> u64 {
    shared_prefix(Some(b"m"), Some(parts.as_bytes()))
}

#[test]
fn the_last_part_is_the_requests_own() {
    assert_eq!(of("5c1e:800,91bd:410,e440:250"), of("5c1e:800,91bd:410,0001:99"));
    assert_ne!(of("5c1e:800,91bd:410,e440:250"), of("5c1e:800,91be:410,e440:250"));
    assert_ne!(of("5c1e:800,91bd:410,e440:250"), of("91bd:410,5c1e:800,e440:250"), "order counts");
    assert_ne!(of("5c1e:800,91bd:410,e440:250"), of("5c1e:800,e440:250"));
    assert_ne!(of("ab:1,c:1,x:1"), of("a:1,bc:1,x:1"), "parts are told apart");
}

#[test]
fn models_share_nothing() {
    let parts = Some(&b"5c1e:800,e440:250"[..]);
    assert_ne!(shared_prefix(Some(b"a"), parts), shared_prefix(Some(b"b"), parts));
    assert_ne!(shared_prefix(None, parts), 0);
}

#[test]
fn what_shares_nothing_or_cannot_be_read_has_no_name() {
    assert_eq!(shared_prefix(Some(b"m"), None), 0);
    for parts in ["", "e440:250", ",", ",e440:250", "5c1e:800,,e440:250"] {
        assert_eq!(of(parts), 0, "{parts:?}");
    }
}

#[test]
fn the_hash_is_the_same_in_all_versions() {
    // The published test values of FNV-1a with 64 bits.
    assert_eq!(stable_hash(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(stable_hash(b"foobar"), 0x8594_4171_f739_67e8);
}

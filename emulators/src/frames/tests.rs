//! Tests of `frames`.

use super::*;

#[test]
fn published_calls_are_parsed_and_malformed_ones_rejected() {
    let call = b"9b.3 3 d=240,k=5c 8\nc41e77d09b.4.get 4 d=99,from=3+4,whole=1 0\n";
    let found = parse_parts(call).unwrap();
    assert_eq!(
        (found[0].shard, found[0].wait_ms, &found[0].included_shards),
        (3, 240, &None)
    );
    assert_eq!(
        (found[1].query(), &found[1].included_shards),
        ("9b", &Some(vec![3, 4]))
    );
    for bad in [
        &b"9b.3 3 d=240 9\nshort"[..],
        b"9b.3 3 8\n",
        b"9b.3 x d=1 0\n",
        b"9b.3 3 k=1 0\n",
        b"no line",
    ] {
        assert!(
            parse_parts(bad).is_err(),
            "{}",
            String::from_utf8_lossy(bad)
        );
    }
}

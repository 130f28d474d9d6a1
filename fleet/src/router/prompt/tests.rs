use super::*;

fn prompt(parts: &str) -> Prompt {
    Prompt::from_headers(Some(b"m"), Some(parts.as_bytes()))
}

fn of(parts: &str) -> u64 {
    prompt(parts).prefix_hash
}

#[test]
fn last_part_is_not_shared() {
    assert_eq!(
        of("5c1e:800,91bd:410,e440:250"),
        of("5c1e:800,91bd:410,0001:99")
    );
    assert_ne!(
        of("5c1e:800,91bd:410,e440:250"),
        of("5c1e:800,91be:410,e440:250")
    );
    assert_ne!(
        of("5c1e:800,91bd:410,e440:250"),
        of("91bd:410,5c1e:800,e440:250"),
        "order counts"
    );
    assert_ne!(of("5c1e:800,91bd:410,e440:250"), of("5c1e:800,e440:250"));
    assert_ne!(
        of("ab:1,c:1,x:1"),
        of("a:1,bc:1,x:1"),
        "parts are told apart"
    );
}

#[test]
fn different_models_share_no_prefix() {
    let parts = Some(&b"5c1e:800,e440:250"[..]);
    assert_ne!(
        Prompt::from_headers(Some(b"a"), parts).prefix_hash,
        Prompt::from_headers(Some(b"b"), parts).prefix_hash
    );
    assert_ne!(Prompt::from_headers(None, parts).prefix_hash, 0);
}

#[test]
fn unshared_or_invalid_prompt_has_no_prefix_hash() {
    assert_eq!(Prompt::from_headers(Some(b"m"), None), Prompt::default());
    for parts in ["", "e440:250", ",", ",e440:250", "5c1e:800,,e440:250"] {
        assert_eq!(of(parts), 0, "{parts:?}");
    }
}

#[test]
fn stable_hash_never_changes() {
    // The published test values of FNV-1a with 64 bits.
    assert_eq!(stable_hash(b""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash(b"a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(stable_hash(b"foobar"), 0x8594_4171_f739_67e8);
}

#[test]
fn shared_and_uncached_tokens_are_separated() {
    let read = prompt("5c1e:800,91bd:410,e440:2500");
    assert_eq!((read.shared_tokens, read.uncached_tokens), (1_210, 2_500));
    // What can't be read counts for nothing in what is shared, and for the least in the whole.
    assert_eq!(
        prompt("5c1e:x,91bd,e440:-3"),
        Prompt {
            shared_tokens: 0,
            uncached_tokens: MIN_TOKENS,
            ..prompt("5c1e:x,91bd,e440:1")
        }
    );
    assert_eq!(prompt("e440:250000").uncached_tokens, 250_000);
    assert_eq!(
        prompt("a:4294967295,b:4294967295,c:1").shared_tokens,
        u32::MAX
    );
}

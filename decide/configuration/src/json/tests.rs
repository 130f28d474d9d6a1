//! Tests of JSON parsing and slicing.

use super::*;
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests, fixed so that failures are reproducible.
const SEED: u64 = 0x5eed_0001;

#[test]
fn fields_and_elements_are_returned_unchanged() {
    let text =
        "\n{ \"a\" : [ 1.50 , {\"b\":\"]},\\\"\"} , [] ] ,\"c\\u0041\":260000.0,\"d\":null , \"e\": \"x\"}\t";
    let lookup_result = object_fields(text).expect("an object");
    let expected = [
        ("a", "[ 1.50 , {\"b\":\"]},\\\"\"} , [] ]"),
        ("cA", "260000.0"),
        ("d", "null"),
        ("e", "\"x\""),
    ];
    assert_eq!(
        lookup_result,
        expected.map(|(name, text)| (name.to_owned(), text))
    );
    assert_eq!(
        array_elements(lookup_result[0].1),
        Some(vec!["1.50", "{\"b\":\"]},\\\"\"}", "[]"])
    );
    assert_eq!(array_elements("[]"), Some(Vec::new()));
    assert_eq!(object_fields("{ }"), Some(Vec::new()));
}

#[test]
fn other_texts_than_objects_and_arrays_have_no_fields_or_elements() {
    for text in [
        "", "1", "\"{\"", "null", "[", "{", "{\"a\"", "{\"a\":", "[1", "[\"a",
    ] {
        assert_eq!(object_fields(text), None, "{text}");
    }
    for text in ["", "{}", "7", "[", "[1", "[\"a", "[[1]"] {
        assert_eq!(array_elements(text), None, "{text}");
    }
}

#[test]
fn nesting_is_limited_and_counted_outside_strings() {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    assert!(parse_complete(nested(MAX_DEPTH).as_bytes()).is_ok());
    assert_eq!(
        parse_complete(nested(MAX_DEPTH + 1).as_bytes()).unwrap_err(),
        ConfigurationError::TooDeep { limit: MAX_DEPTH }
    );
    assert!(parse_complete(format!("\"{}\"", "[".repeat(1_000)).as_bytes()).is_ok());
    let open = "[{\"a\":".repeat(1_000_000);
    assert_eq!(
        parse_complete(open.as_bytes()).unwrap_err(),
        ConfigurationError::TooDeep { limit: MAX_DEPTH }
    );
}

#[test]
fn too_long_and_non_utf8_and_truncated_bodies_are_rejected() {
    let long = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    let (bytes, limit) = (MAX_DOCUMENT_BYTES + 1, MAX_DOCUMENT_BYTES);
    assert_eq!(
        parse_complete(&long).unwrap_err(),
        ConfigurationError::TooLarge { bytes, limit }
    );
    for body in [
        &b"\xff{}"[..],
        b"",
        b"{",
        b"{\"a\":1",
        b"{} {}",
        b"{\"a\":}",
        b"{\"a\":1,}",
        b"\"a",
    ] {
        assert_eq!(
            parse_complete(body).unwrap_err(),
            ConfigurationError::Unreadable,
            "{body:?}"
        );
    }
}

#[test]
fn duplicate_field_is_named() {
    let error = distinct_fields("the thing", "{\"a\":1,\"b\":2,\"\\u0061\":3}").unwrap_err();
    let (location, field) = ("the thing".to_owned(), "a".to_owned());
    assert_eq!(
        error,
        ConfigurationError::DuplicateField { location, field }
    );
}

/// Returns a sequence of JSON tokens. Many of the sequences are almost JSON.
fn nearly_json(picks: &[u8]) -> String {
    let tokens = [
        "{", "}", "[", "]", ",", ":", "\"", "\\", "\"a\"", "1", "-2.5e3", "null", "true", " ", "u",
    ];
    picks
        .iter()
        .map(|pick| tokens[usize::from(*pick) % tokens.len()])
        .collect()
}

#[test]
fn slicing_never_panics_and_agrees_with_the_parser() {
    fn property(picks: Vec<u8>) -> bool {
        let text = nearly_json(&picks);
        let (object, array) = (object_fields(&text), array_elements(&text));
        match parse_complete(text.as_bytes()) {
            Ok((_, Value::Array(list))) => {
                array.is_some_and(|elements| elements.len() == list.len())
            }
            Ok((_, Value::Object(parsed))) => object
                .is_some_and(|elements| elements.iter().all(|(name, _)| parsed.contains_key(name))),
            Ok(_) => object.is_none() && array.is_none(),
            Err(_) => true,
        }
    }
    let gen = Gen::from_size_and_seed(24, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(20_000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

//! Tests of `json`.

use super::*;
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests: a failure comes again with the same command.
const SEED: u64 = 0x5eed_0001;

#[test]
fn the_parts_of_a_text_are_cut_out_as_they_came() {
    let text =
        "\n{ \"a\" : [ 1.50 , {\"b\":\"]},\\\"\"} , [] ] ,\"c\\u0041\":260000.0,\"d\":null , \"e\": \"x\"}\t";
    let found = object_fields(text).expect("an object");
    let expected = [
        ("a", "[ 1.50 , {\"b\":\"]},\\\"\"} , [] ]"),
        ("cA", "260000.0"),
        ("d", "null"),
        ("e", "\"x\""),
    ];
    assert_eq!(found, expected.map(|(name, text)| (name.to_owned(), text)));
    assert_eq!(
        array_elements(found[0].1),
        Some(vec!["1.50", "{\"b\":\"]},\\\"\"}", "[]"])
    );
    assert_eq!(array_elements("[]"), Some(Vec::new()));
    assert_eq!(object_fields("{ }"), Some(Vec::new()));
}

#[test]
fn what_is_no_object_or_array_has_no_parts() {
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
fn nesting_is_counted_outside_strings_and_bounded() {
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
fn what_is_too_long_or_not_utf_8_or_cut_short_is_refused() {
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
fn a_field_that_is_given_twice_is_named() {
    let error = distinct_fields("the thing", "{\"a\":1,\"b\":2,\"\\u0061\":3}").unwrap_err();
    let (location, field) = ("the thing".to_owned(), "a".to_owned());
    assert_eq!(
        error,
        ConfigurationError::DuplicateField { location, field }
    );
}

/// Texts of the signs that JSON is made of, so that many of them nearly are JSON.
fn nearly_json(picks: &[u8]) -> String {
    let signs = [
        "{", "}", "[", "]", ",", ":", "\"", "\\", "\"a\"", "1", "-2.5e3", "null", "true", " ", "u",
    ];
    picks
        .iter()
        .map(|pick| signs[usize::from(*pick) % signs.len()])
        .collect()
}

#[test]
fn cutting_never_panics_and_agrees_with_the_parser_on_whole_texts() {
    fn holds(picks: Vec<u8>) -> bool {
        let text = nearly_json(&picks);
        let (object, array) = (object_fields(&text), array_elements(&text));
        match parse_complete(text.as_bytes()) {
            Ok((_, Value::Array(list))) => array.is_some_and(|parts| parts.len() == list.len()),
            Ok((_, Value::Object(found))) => {
                object.is_some_and(|parts| parts.iter().all(|(name, _)| found.contains_key(name)))
            }
            Ok(_) => object.is_none() && array.is_none(),
            Err(_) => true,
        }
    }
    let gen = Gen::from_size_and_seed(24, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(20_000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

//! Tests of `call`.

use super::*;

#[test]
fn each_call_is_parsed_with_or_without_its_line_end() {
    for (line, call) in [
        ("health\n", Call::Health),
        ("counters\r\n", Call::Counters),
        ("  quiesce ", Call::Change(Change::Quiesce)),
        ("resume", Call::Change(Change::Resume)),
        ("cordon s-1\n", Call::Change(Change::Cordon("s-1".into()))),
        (
            "uncordon\ts-1\n",
            Call::Change(Change::Uncordon("s-1".into())),
        ),
    ] {
        assert_eq!(parse(line.as_bytes()), Ok(call), "{line:?}");
    }
}

#[test]
fn faulty_line_is_rejected_with_a_sentence() {
    for (line, expected) in [
        (&b""[..], "the line is empty; calls are "),
        (b" \r\n", "the line is empty; calls are "),
        (
            b"reboot now",
            "there is no call \"reboot\"; calls are health, counters, cordon ID",
        ),
        (b"Health", "there is no call \"Health\""),
        (b"cordon\n", "cordon needs the id of a server"),
        (b"uncordon ", "uncordon needs the id of a server"),
        (
            b"cordon a b",
            "cordon takes nothing more than that, and there is \"b\"",
        ),
        (b"health now", "health takes nothing more than that"),
        (b"cordon \xff\xfe", "the line is no UTF-8 text"),
        (
            &[b'a'; MAX_LINE_BYTES + 1],
            "the line is longer than 512 bytes",
        ),
    ] {
        let error = parse(line).expect_err("no call").to_string();
        assert!(error.starts_with(expected), "{error}");
    }
    let long = format!("cordon {}", "x".repeat(MAX_ID_BYTES + 1));
    assert_eq!(parse(long.as_bytes()), Err(ParseError::LongId));
}

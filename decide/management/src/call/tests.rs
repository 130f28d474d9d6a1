//! Tests of `call`.

use super::*;

#[test]
fn each_call_is_read_with_or_without_its_end() {
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
        assert_eq!(read(line.as_bytes()), Ok(call), "{line:?}");
    }
}

#[test]
fn what_is_no_call_is_told_in_a_sentence() {
    for (line, says) in [
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
        (&[b'a'; LONGEST + 1], "the line is longer than 512 bytes"),
    ] {
        let told = read(line).expect_err("no call").to_string();
        assert!(told.starts_with(says), "{told}");
    }
    let long = format!("cordon {}", "x".repeat(LONGEST_ID + 1));
    assert_eq!(read(long.as_bytes()), Err(Unread::LongId));
}

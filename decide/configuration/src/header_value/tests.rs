//! Tests of `header_value`.

use super::*;

#[test]
fn text_outside_ascii_is_a_header_value() {
    for text in [
        "kaje80",
        "two words",
        "a\tb",
        "Šibenik",
        "%C5%A0ibenik",
        "\u{85}",
        "",
    ] {
        assert!(is_header_value(text), "{text:?}");
    }
}

#[test]
fn text_that_a_reader_would_not_get_back_is_none() {
    for text in [
        " edge",
        "edge ",
        "\tedge",
        "edge\t",
        "a\r\nApi-Key: x",
        "a\0",
        "\u{7f}",
        " ",
    ] {
        assert!(!is_header_value(text), "{text:?}");
    }
}

//! Fixtures of bytes as text: hexadecimal digits, alone or one line each behind a name.

use std::fmt::Write as _;

/// Bytes as hexadecimal digits, two for each.
#[must_use]
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut digits, byte| {
        let _ = write!(digits, "{byte:02x}");
        digits
    })
}

/// The bytes that hexadecimal digits name.
///
/// # Panics
/// Where these are no pairs of digits.
#[must_use]
pub fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks(2);
    pairs
        .map(|pair| {
            assert_eq!(pair.len(), 2, "a byte has two digits");
            std::str::from_utf8(pair).expect("digits are ASCII")
        })
        .map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits"))
        .collect()
}

/// The lines `NAME DIGITS` of a fixture, as names with bytes.
///
/// # Panics
/// Where a line is no such line.
#[must_use]
pub fn named_lines(text: &str) -> Vec<(&str, Vec<u8>)> {
    text.lines()
        .map(|line| {
            let (name, digits) = line.split_once(' ').expect("a name and digits");
            (name, from_hex(digits))
        })
        .collect()
}

//! Header lines that are forwarded from one connection to another.

use lichenswitch_http::Headers;

/// The lines of end-to-end headers, but for these.
pub(crate) fn forwarded_header_lines(headers: &Headers, without: &[&str]) -> Vec<u8> {
    let mut lines = Vec::with_capacity(512);
    for field in headers.end_to_end() {
        if without
            .iter()
            .any(|name| field.name.eq_ignore_ascii_case(name))
        {
            continue;
        }
        lines.extend_from_slice(field.name.as_bytes());
        lines.extend_from_slice(b": ");
        lines.extend_from_slice(&field.value);
        lines.extend_from_slice(b"\r\n");
    }
    lines
}

//! Texts that are sent as the value of an HTTP header.

/// Returns whether a header can carry this text unchanged: a reader of the header gets its UTF-8
/// bytes. Control characters but the tab are not allowed in a value, and spaces and tabs around it
/// are not part of it (RFC 9110, section 5.5). Letters outside ASCII are allowed.
#[must_use]
pub fn is_header_value(text: &str) -> bool {
    let is_allowed = |byte: u8| byte == b'\t' || !byte.is_ascii_control();
    let is_trimmed = text.trim_matches([' ', '\t']).len() == text.len();
    is_trimmed && text.bytes().all(is_allowed)
}

#[cfg(test)]
mod tests;

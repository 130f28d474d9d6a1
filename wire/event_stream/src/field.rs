//! The fields of an event that a relay needs.

/// A line of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Line<'a> {
    /// A comment: it begins with a colon.
    Comment,
    /// `id`, with its value.
    Id(&'a [u8]),
    /// `versions`, with its value, where it is an integer.
    Versions(u64),
    /// Any other field.
    Other,
}

/// Parses a line that isn't empty, without its line ending.
pub(crate) fn parse(line: &[u8]) -> Line<'_> {
    // Most lines are data: their first byte is enough.
    match line.first() {
        Some(b':') => Line::Comment,
        Some(b'i') => value_of(line, b"id").map_or(Line::Other, Line::Id),
        Some(b'v') => value_of(line, b"versions")
            .and_then(number)
            .map_or(Line::Other, Line::Versions),
        _ => Line::Other,
    }
}

/// The value of a field of this name: what follows its colon and one space.
fn value_of<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// An integer without a sign.
fn number(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()
}

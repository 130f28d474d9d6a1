//! The fields of an event that a relay looks at.

/// A line of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Line<'a> {
    /// Begins with a colon.
    Comment,
    /// `id`, with its value.
    Id(&'a [u8]),
    /// `versions`, with its value, where it is a whole number.
    Versions(u64),
    /// Any other field.
    Other,
}

/// Reads a line that isn't empty; its end has been taken off.
pub(crate) fn read(line: &[u8]) -> Line<'_> {
    // Most lines are data: they are known by their first byte.
    match line.first() {
        Some(b':') => Line::Comment,
        Some(b'i') => value_of(line, b"id").map_or(Line::Other, Line::Id),
        Some(b'v') => value_of(line, b"versions")
            .and_then(number)
            .map_or(Line::Other, Line::Versions),
        _ => Line::Other,
    }
}

/// The value of a field of this name: what is behind its colon and one space.
fn value_of<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let rest = line.strip_prefix(name)?;
    if rest.is_empty() {
        return Some(rest);
    }
    let value = rest.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

fn number(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| digits)?
        .parse()
        .ok()
}

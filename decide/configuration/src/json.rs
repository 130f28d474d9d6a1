//! JSON within bounds: texts that are whole, their parts as they came, and fields by type.
//!
//! `miniserde` decides what is JSON. The parts of a text are cut out of it unchanged, so that
//! whatever is kept is kept to the digit.

use crate::error::{shown, ConfigurationError};
use miniserde::json::{from_str, Number, Object, Value};
use std::collections::HashSet;

/// Longest configuration or order that is read (bytes). The largest deployments have about 1 KB a
/// route.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Deepest nesting that is read. The documents of the operators have 5 levels.
pub const MAX_DEPTH: usize = 64;

/// The text of a body that is whole JSON within the bounds, and its value.
pub(crate) fn parse_complete(body: &[u8]) -> Result<(&str, Value), ConfigurationError> {
    if body.len() > MAX_DOCUMENT_BYTES {
        return Err(ConfigurationError::TooLarge {
            bytes: body.len(),
            limit: MAX_DOCUMENT_BYTES,
        });
    }
    let text = std::str::from_utf8(body).map_err(|_| ConfigurationError::Unreadable)?;
    if is_nested_deeper_than(text.as_bytes(), MAX_DEPTH) {
        return Err(ConfigurationError::TooDeep { limit: MAX_DEPTH });
    }
    Ok((text, value_of(text)?))
}

/// The value of a text.
pub(crate) fn value_of(text: &str) -> Result<Value, ConfigurationError> {
    from_str(text).map_err(|_| ConfigurationError::Unreadable)
}

/// Appends a string as JSON.
pub(crate) fn write_string(out: &mut String, text: &str) {
    out.push_str(&miniserde::json::to_string(text));
}

/// Whether brackets outside strings open deeper than this. Holds for texts that are not JSON as
/// well.
fn is_nested_deeper_than(bytes: &[u8], limit: usize) -> bool {
    let (mut at, mut depth) = (0, 0_usize);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = string_end(bytes, at).unwrap_or(bytes.len()) - 1,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return true;
        }
        at += 1;
    }
    false
}

/// Just past the string that begins here.
fn string_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut at = start + 1;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
    None
}

/// Just past the value that begins here. A value has a byte at least, so that whoever goes from
/// value to value gets on.
fn value_end(bytes: &[u8], start: usize) -> Option<usize> {
    match bytes.get(start)? {
        b'"' => string_end(bytes, start),
        b'{' | b'[' => bracket_end(bytes, start),
        _ => scalar_end(bytes, start),
    }
}

fn scalar_end(bytes: &[u8], start: usize) -> Option<usize> {
    let length = bytes[start..]
        .iter()
        .position(|byte| ends_scalar(*byte))
        .unwrap_or(bytes.len() - start);
    (length > 0).then_some(start + length)
}

fn ends_scalar(byte: u8) -> bool {
    matches!(byte, b',' | b']' | b'}') || is_space(byte)
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

/// Just past the array or object that begins here.
fn bracket_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut at, mut depth) = (start, 0_usize);
    while at < bytes.len() {
        match bytes[at] {
            b'"' => at = string_end(bytes, at)? - 1,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.checked_sub(1)?,
            _ => {}
        }
        at += 1;
        if depth == 0 {
            return Some(at);
        }
    }
    None
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).copied().is_some_and(is_space) {
        at += 1;
    }
    at
}

/// Past a byte, with space on both sides of it.
fn skip_token(bytes: &[u8], at: usize, expected: u8) -> Option<usize> {
    let at = skip_space(bytes, at);
    (*bytes.get(at)? == expected).then(|| skip_space(bytes, at + 1))
}

/// The elements of an array as they came; nothing where the text is not an array.
pub(crate) fn array_elements(text: &str) -> Option<Vec<&str>> {
    let bytes = text.as_bytes();
    let mut at = skip_token(bytes, 0, b'[')?;
    let mut found = Vec::new();
    while *bytes.get(at)? != b']' {
        let end = value_end(bytes, at)?;
        found.push(text.get(at..end)?);
        at = skip_space(bytes, end);
        at = skip_token(bytes, at, b',').unwrap_or(at);
    }
    Some(found)
}

/// The fields of an object as they came, by their names; nothing where the text is not an object.
pub(crate) fn object_fields(text: &str) -> Option<Vec<(String, &str)>> {
    let bytes = text.as_bytes();
    let mut at = skip_token(bytes, 0, b'{')?;
    let mut found = Vec::new();
    while *bytes.get(at)? != b'}' {
        let name_end = value_end(bytes, at)?;
        let name: String = from_str(text.get(at..name_end)?).ok()?;
        at = skip_token(bytes, name_end, b':')?;
        let end = value_end(bytes, at)?;
        found.push((name, text.get(at..end)?));
        at = skip_space(bytes, end);
        at = skip_token(bytes, at, b',').unwrap_or(at);
    }
    Some(found)
}

/// The fields of an object as they came; an error where it is none, or gives one twice.
pub(crate) fn distinct_fields<'a>(
    location: &str,
    text: &'a str,
) -> Result<Vec<(String, &'a str)>, ConfigurationError> {
    let found = object_fields(text).ok_or_else(|| wrong_type(location, "", "an object"))?;
    let mut seen = HashSet::with_capacity(found.len());
    match found.iter().find(|(name, _)| !seen.insert(name)) {
        Some((name, _)) => Err(ConfigurationError::DuplicateField {
            location: shown(location),
            field: shown(name),
        }),
        None => Ok(found),
    }
}

/// The error for a field of another type.
pub(crate) fn wrong_type(
    location: &str,
    field: &str,
    expected: &'static str,
) -> ConfigurationError {
    ConfigurationError::WrongType {
        location: shown(location),
        field: shown(field),
        expected,
    }
}

/// The fields of an object by type. `null` stands for a field that is not there.
pub(crate) struct Fields<'a> {
    /// What the object is, for errors.
    location: String,
    object: &'a Object,
}

impl<'a> Fields<'a> {
    /// Of an object that stands at a place; an error where it is none.
    pub(crate) fn new(
        location: String,
        value: &'a Value,
    ) -> Result<Fields<'a>, ConfigurationError> {
        match value {
            Value::Object(object) => Ok(Fields { location, object }),
            _ => Err(wrong_type(&location, "", "an object")),
        }
    }

    /// Any value.
    pub(crate) fn get(&self, field: &str) -> Option<&'a Value> {
        self.object
            .get(field)
            .filter(|value| !matches!(value, Value::Null))
    }

    /// A text, where there is one.
    pub(crate) fn text(&self, field: &str) -> Result<Option<&'a str>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(wrong_type(&self.location, field, "a text")),
        }
    }

    /// A text that is not empty.
    pub(crate) fn required_text(&self, field: &str) -> Result<&'a str, ConfigurationError> {
        self.text(field)?
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.missing(field))
    }

    /// True or false, false where it is not there.
    pub(crate) fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(wrong_type(&self.location, field, "true or false")),
        }
    }

    /// A number of 0 or more; fractions are rounded up, so that only 0 is 0.
    pub(crate) fn count(&self, field: &str) -> Result<Option<u64>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Number(Number::U64(n))) => Ok(Some(*n)),
            Some(Value::Number(Number::F64(x))) if *x >= 0.0 => Ok(Some(x.ceil() as u64)),
            Some(_) => Err(wrong_type(&self.location, field, "a number of 0 or more")),
        }
    }

    /// A number of 0 or more that is held in 32 bits; larger ones become the largest.
    pub(crate) fn count_u32(&self, field: &str) -> Result<Option<u32>, ConfigurationError> {
        Ok(self
            .count(field)?
            .map(|n| u32::try_from(n).unwrap_or(u32::MAX)))
    }

    /// Any number.
    pub(crate) fn number(&self, field: &str) -> Result<Option<f64>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Number(Number::U64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::I64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::F64(x))) => Ok(Some(*x)),
            Some(_) => Err(wrong_type(&self.location, field, "a number")),
        }
    }

    /// A list, where there is one.
    pub(crate) fn list(&self, field: &str) -> Result<Option<&'a [Value]>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Array(list)) => Ok(Some(list)),
            Some(_) => Err(wrong_type(&self.location, field, "a list")),
        }
    }

    /// The error for a field that is not there.
    pub(crate) fn missing(&self, field: &str) -> ConfigurationError {
        ConfigurationError::MissingField {
            location: shown(&self.location),
            field: shown(field),
        }
    }
}

/// The version of a configuration or an update: a whole number.
pub(crate) fn version_of(fields: &Fields<'_>) -> Result<u64, ConfigurationError> {
    match fields.get("version") {
        None => Err(fields.missing("version")),
        Some(Value::Number(Number::U64(version))) => Ok(*version),
        Some(_) => Err(wrong_type(&fields.location, "version", "a whole number")),
    }
}

#[cfg(test)]
mod tests;

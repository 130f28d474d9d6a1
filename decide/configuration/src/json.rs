//! Parsing of JSON with limits on size and depth. Returns elements and fields as text or by type.
//!
//! `miniserde` decides whether a text is JSON. Elements and fields are slices of the text, so that
//! all digits of numbers are preserved.

use crate::error::{shown, ConfigurationError};
use miniserde::json::{from_str, Number, Object, Value};
use std::collections::HashSet;

/// Maximum length of a configuration or an order (bytes). The largest deployments have about 1 KB
/// per route.
pub const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Maximum nesting of arrays and objects. Operators' documents have 5 levels.
pub const MAX_DEPTH: usize = 64;

/// Checks that a body is complete JSON within the limits, and returns its text and value.
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

/// Parses a text as JSON.
pub(crate) fn value_of(text: &str) -> Result<Value, ConfigurationError> {
    from_str(text).map_err(|_| ConfigurationError::Unreadable)
}

/// Appends a string as JSON, quoted and escaped.
pub(crate) fn write_string(json: &mut String, text: &str) {
    json.push_str(&miniserde::json::to_string(text));
}

/// Whether brackets outside strings are nested deeper than `limit`. The text need not be JSON.
fn is_nested_deeper_than(bytes: &[u8], limit: usize) -> bool {
    let (mut position, mut depth) = (0, 0_usize);
    while position < bytes.len() {
        match bytes[position] {
            b'"' => position = string_end(bytes, position).unwrap_or(bytes.len()) - 1,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > limit {
            return true;
        }
        position += 1;
    }
    false
}

/// Returns the position after the string that begins at `start`.
fn string_end(bytes: &[u8], start: usize) -> Option<usize> {
    let mut position = start + 1;
    while position < bytes.len() {
        match bytes[position] {
            b'"' => return Some(position + 1),
            b'\\' => position += 2,
            _ => position += 1,
        }
    }
    None
}

/// Returns the position after the value that begins at `start`. A value has at least one byte, so
/// that a loop over values makes progress.
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
        .position(|byte| is_scalar_end(*byte))
        .unwrap_or(bytes.len() - start);
    (length > 0).then_some(start + length)
}

fn is_scalar_end(byte: u8) -> bool {
    matches!(byte, b',' | b']' | b'}') || is_space(byte)
}

fn is_space(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

/// Returns the position after the array or object that begins at `start`.
fn bracket_end(bytes: &[u8], start: usize) -> Option<usize> {
    let (mut position, mut depth) = (start, 0_usize);
    while position < bytes.len() {
        match bytes[position] {
            b'"' => position = string_end(bytes, position)? - 1,
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.checked_sub(1)?,
            _ => {}
        }
        position += 1;
        if depth == 0 {
            return Some(position);
        }
    }
    None
}

fn skip_space(bytes: &[u8], mut position: usize) -> usize {
    while bytes.get(position).copied().is_some_and(is_space) {
        position += 1;
    }
    position
}

/// Returns the position after a token and the white space around it; `None` if the token doesn't
/// follow.
fn skip_token(bytes: &[u8], position: usize, token: u8) -> Option<usize> {
    let position = skip_space(bytes, position);
    (*bytes.get(position)? == token).then(|| skip_space(bytes, position + 1))
}

/// Returns the elements of an array as they were received; `None` if the text is not an array.
pub(crate) fn array_elements(text: &str) -> Option<Vec<&str>> {
    let bytes = text.as_bytes();
    let mut position = skip_token(bytes, 0, b'[')?;
    let mut elements = Vec::new();
    while *bytes.get(position)? != b']' {
        let end = value_end(bytes, position)?;
        elements.push(text.get(position..end)?);
        position = skip_space(bytes, end);
        position = skip_token(bytes, position, b',').unwrap_or(position);
    }
    Some(elements)
}

/// Returns the names and values of an object's fields as they were received; `None` if the text is
/// not an object.
pub(crate) fn object_fields(text: &str) -> Option<Vec<(String, &str)>> {
    let bytes = text.as_bytes();
    let mut position = skip_token(bytes, 0, b'{')?;
    let mut fields = Vec::new();
    while *bytes.get(position)? != b'}' {
        let name_end = value_end(bytes, position)?;
        let name: String = from_str(text.get(position..name_end)?).ok()?;
        position = skip_token(bytes, name_end, b':')?;
        let end = value_end(bytes, position)?;
        fields.push((name, text.get(position..end)?));
        position = skip_space(bytes, end);
        position = skip_token(bytes, position, b',').unwrap_or(position);
    }
    Some(fields)
}

/// Returns the fields of an object as they were received. Fails if the text is not an object or has
/// a field twice.
pub(crate) fn distinct_fields<'a>(
    location: &str,
    text: &'a str,
) -> Result<Vec<(String, &'a str)>, ConfigurationError> {
    let fields = object_fields(text).ok_or_else(|| wrong_type(location, "", "an object"))?;
    let mut seen = HashSet::with_capacity(fields.len());
    match fields.iter().find(|(name, _)| !seen.insert(name)) {
        Some((name, _)) => Err(ConfigurationError::DuplicateField {
            location: shown(location),
            field: shown(name),
        }),
        None => Ok(fields),
    }
}

/// Returns the error for a field of the wrong type.
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

/// A typed view of the fields of an object. `null` counts as a missing field.
pub(crate) struct Fields<'a> {
    /// Description of the object in errors.
    location: String,
    object: &'a Object,
}

impl<'a> Fields<'a> {
    /// Creates a view of a value, which `location` describes in errors. Fails if the value is not
    /// an object.
    pub(crate) fn new(
        location: String,
        value: &'a Value,
    ) -> Result<Fields<'a>, ConfigurationError> {
        match value {
            Value::Object(object) => Ok(Fields { location, object }),
            _ => Err(wrong_type(&location, "", "an object")),
        }
    }

    /// Returns the value of a field; `None` if the field is missing or `null`.
    pub(crate) fn get(&self, field: &str) -> Option<&'a Value> {
        self.object
            .get(field)
            .filter(|value| !matches!(value, Value::Null))
    }

    /// Returns an optional string.
    pub(crate) fn text(&self, field: &str) -> Result<Option<&'a str>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(wrong_type(&self.location, field, "a text")),
        }
    }

    /// Returns a required string, which must not be empty.
    pub(crate) fn required_text(&self, field: &str) -> Result<&'a str, ConfigurationError> {
        self.text(field)?
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.missing(field))
    }

    /// Returns a boolean; false if it is missing.
    pub(crate) fn flag(&self, field: &str) -> Result<bool, ConfigurationError> {
        match self.get(field) {
            None => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(wrong_type(&self.location, field, "true or false")),
        }
    }

    /// Returns an optional number of 0 or more. Fractions are rounded up, so that only 0 becomes 0.
    pub(crate) fn count(&self, field: &str) -> Result<Option<u64>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Number(Number::U64(n))) => Ok(Some(*n)),
            Some(Value::Number(Number::F64(x))) if *x >= 0.0 => Ok(Some(x.ceil() as u64)),
            Some(_) => Err(wrong_type(&self.location, field, "a number of 0 or more")),
        }
    }

    /// Returns an optional number of 0 or more. Larger numbers become `u32::MAX`.
    pub(crate) fn count_u32(&self, field: &str) -> Result<Option<u32>, ConfigurationError> {
        Ok(self
            .count(field)?
            .map(|n| u32::try_from(n).unwrap_or(u32::MAX)))
    }

    /// Returns an optional number, which may be negative or infinite.
    pub(crate) fn number(&self, field: &str) -> Result<Option<f64>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Number(Number::U64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::I64(n))) => Ok(Some(*n as f64)),
            Some(Value::Number(Number::F64(x))) => Ok(Some(*x)),
            Some(_) => Err(wrong_type(&self.location, field, "a number")),
        }
    }

    /// Returns the elements of an optional list.
    pub(crate) fn list(&self, field: &str) -> Result<Option<&'a [Value]>, ConfigurationError> {
        match self.get(field) {
            None => Ok(None),
            Some(Value::Array(list)) => Ok(Some(list)),
            Some(_) => Err(wrong_type(&self.location, field, "a list")),
        }
    }

    /// Returns the error for a missing field.
    pub(crate) fn missing(&self, field: &str) -> ConfigurationError {
        ConfigurationError::MissingField {
            location: shown(&self.location),
            field: shown(field),
        }
    }
}

/// Returns the version of a configuration or an update, which must be a whole number.
pub(crate) fn version_of(fields: &Fields<'_>) -> Result<u64, ConfigurationError> {
    match fields.get("version") {
        None => Err(fields.missing("version")),
        Some(Value::Number(Number::U64(version))) => Ok(*version),
        Some(_) => Err(wrong_type(&fields.location, "version", "a whole number")),
    }
}

#[cfg(test)]
mod tests;

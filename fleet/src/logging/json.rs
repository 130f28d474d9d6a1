//! Writer for a log line, which is a single JSON object.

use log::kv::{Error, Key, Value, VisitSource};

/// A JSON object under construction. `text` holds it without the closing brace.
pub(super) struct Object {
    text: String,
}

impl Default for Object {
    fn default() -> Self {
        Object {
            text: String::from("{"),
        }
    }
}

impl Object {
    /// Appends a key with a string value, escaped as JSON.
    pub(super) fn push_string(&mut self, key: &str, value: &str) {
        let value = miniserde::json::to_string(value);
        self.push_json(key, &value);
    }

    /// Appends a key with a value that is JSON already.
    fn push_json(&mut self, key: &str, json: &str) {
        if self.text.len() > 1 {
            self.text.push(',');
        }
        self.text.push_str(&miniserde::json::to_string(key));
        self.text.push(':');
        self.text.push_str(json);
    }

    /// Closes the object and appends the line end.
    pub(super) fn into_line(mut self) -> Vec<u8> {
        self.text.push_str("}\n");
        self.text.into_bytes()
    }
}

impl<'kvs> VisitSource<'kvs> for Object {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value
            .to_u64()
            .map(|n| n.to_string())
            .or_else(|| value.to_i64().map(|n| n.to_string()));
        match number.or_else(|| value.to_bool().map(|b| b.to_string())) {
            Some(json) => self.push_json(key.as_str(), &json),
            None => self.push_string(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

//! One line of the log as a JSON object.

use log::kv::{Error, Key, Value, VisitSource};

/// An object that is being written.
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
    /// Adds a string.
    pub(super) fn text(&mut self, key: &str, value: &str) {
        let value = miniserde::json::to_string(value);
        self.raw(key, &value);
    }

    fn raw(&mut self, key: &str, json: &str) {
        if self.text.len() > 1 {
            self.text.push(',');
        }
        self.text.push_str(&miniserde::json::to_string(key));
        self.text.push(':');
        self.text.push_str(json);
    }

    /// The object with its line end.
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
            Some(json) => self.raw(key.as_str(), &json),
            None => self.text(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

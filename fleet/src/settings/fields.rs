//! The fields of a settings file, read one by one, so that every invalid one is found and named by its
//! key.

use super::error::FieldError;
use serde::de::DeserializeOwned;
use std::time::Duration;
use toml::{Table, Value};

/// A table that is being read, and the invalid fields so far.
pub(super) struct Fields<'a> {
    table: &'a Table,
    prefix: String,
    errors: Vec<FieldError>,
}

/// Longest duration that is accepted: every documented one is far below an hour.
const MAX_SECONDS: f64 = 86_400.0;

impl<'a> Fields<'a> {
    /// The fields of a whole file.
    pub(super) fn new(table: &'a Table) -> Fields<'a> {
        Fields {
            table,
            prefix: String::new(),
            errors: Vec::new(),
        }
    }

    /// All invalid fields.
    pub(super) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Reports an invalid field, unless it was reported already.
    pub(super) fn report(&mut self, key: &str, reason: impl Into<String>) {
        let key = format!("{}{key}", self.prefix);
        // A missing field is not reported again for its type.
        if self.errors.iter().all(|error| error.key != key) {
            self.errors.push(FieldError {
                key,
                reason: reason.into(),
            });
        }
    }

    /// A field that may be absent.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        match self.table.get(key)?.clone().try_into() {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(key, one_line(&e.to_string()));
                None
            }
        }
    }

    /// A field that must be there.
    pub(super) fn required<T: DeserializeOwned + Default>(&mut self, key: &str) -> T {
        self.required_or(key, T::default())
    }

    /// A field that must be there; `fallback` is what an invalid record gets.
    pub(super) fn required_or<T: DeserializeOwned>(&mut self, key: &str, fallback: T) -> T {
        if !self.table.contains_key(key) {
            self.report(key, "is missing");
        }
        self.optional(key).unwrap_or(fallback)
    }

    /// A number, integral or not, of at least 0.
    pub(super) fn number(&mut self, key: &str, default: f64) -> f64 {
        let number = match self.table.get(key) {
            None => return default,
            Some(Value::Integer(integer)) => *integer as f64,
            Some(Value::Float(float)) => *float,
            Some(other) => {
                self.report(key, format!("must be a number, not {}", other.type_str()));
                return default;
            }
        };
        if number.is_finite() && number >= 0.0 {
            return number;
        }
        self.report(key, "must not be below 0");
        default
    }

    /// A duration in seconds.
    pub(super) fn seconds(&mut self, key: &str, default: f64) -> Duration {
        self.duration(key, default, 1.0)
    }

    /// A duration in milliseconds.
    pub(super) fn milliseconds(&mut self, key: &str, default: u32) -> Duration {
        self.duration(key, f64::from(default), 1_000.0)
    }

    fn duration(&mut self, key: &str, default: f64, units_per_second: f64) -> Duration {
        let seconds = self.number(key, default) / units_per_second;
        if seconds <= MAX_SECONDS {
            return Duration::from_secs_f64(seconds);
        }
        self.report(key, "is longer than a day");
        Duration::ZERO
    }

    /// A table inside this one; a missing one is empty.
    pub(super) fn table<T>(&mut self, key: &str, read: impl FnOnce(&mut Fields<'_>) -> T) -> T {
        let empty = Table::new();
        let table = match self.table.get(key) {
            Some(Value::Table(table)) => table,
            None => &empty,
            Some(other) => {
                self.report(key, format!("must be a table, not {}", other.type_str()));
                &empty
            }
        };
        let mut inner = Fields {
            table,
            prefix: format!("{}{key}.", self.prefix),
            errors: Vec::new(),
        };
        let value = read(&mut inner);
        self.errors.append(&mut inner.errors);
        value
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

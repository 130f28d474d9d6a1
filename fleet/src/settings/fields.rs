//! Reading of single fields of a settings file. Errors are collected, so that every invalid field
//! is reported by its key.

use super::error::FieldError;
use serde::de::DeserializeOwned;
use std::time::Duration;
use toml::{Table, Value};

/// A reader of one table, which collects the invalid fields.
pub(super) struct Fields<'a> {
    table: &'a Table,
    prefix: String,
    errors: Vec<FieldError>,
}

/// Longest accepted duration: one day. Every documented duration is far below an hour.
const MAX_SECONDS: f64 = 86_400.0;

impl<'a> Fields<'a> {
    /// Creates a reader of the top-level table of a file.
    pub(super) fn new(table: &'a Table) -> Fields<'a> {
        Fields {
            table,
            prefix: String::new(),
            errors: Vec::new(),
        }
    }

    /// Returns all invalid fields found so far.
    pub(super) fn into_errors(self) -> Vec<FieldError> {
        self.errors
    }

    /// Reports an invalid field, unless it was reported already.
    pub(super) fn report(&mut self, key: &str, reason: impl Into<String>) {
        let key = format!("{}{key}", self.prefix);
        // `required` reports a missing field; later checks of its value must not report it again.
        if self.errors.iter().all(|error| error.key != key) {
            self.errors.push(FieldError {
                key,
                reason: reason.into(),
            });
        }
    }

    /// Reads an optional field. Returns `None` if it is absent or invalid.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        match self.table.get(key)?.clone().try_into() {
            Ok(value) => Some(value),
            Err(e) => {
                self.report(key, one_line(&e.to_string()));
                None
            }
        }
    }

    /// Reads a required field. Returns the default of the type if it is missing or invalid.
    pub(super) fn required<T: DeserializeOwned + Default>(&mut self, key: &str) -> T {
        self.required_or(key, T::default())
    }

    /// Reads a required field. Returns `fallback` if it is missing or invalid.
    pub(super) fn required_or<T: DeserializeOwned>(&mut self, key: &str, fallback: T) -> T {
        if !self.table.contains_key(key) {
            self.report(key, "is missing");
        }
        self.optional(key).unwrap_or(fallback)
    }

    /// Reads a finite number of at least 0, written as an integer or a float.
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

    /// Reads a duration in seconds.
    pub(super) fn seconds(&mut self, key: &str, default: f64) -> Duration {
        self.duration(key, default, 1.0)
    }

    /// Reads a duration in milliseconds.
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

    /// Reads a nested table with `read`. A missing table is read as an empty one.
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

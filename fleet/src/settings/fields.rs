//! Fields of a settings file, one by one, so that every fault is found and named by its key.

use super::Fault;
use serde::de::DeserializeOwned;
use std::time::Duration;
use toml::{Table, Value};

/// A table that is being read, and the faults so far.
pub(super) struct Fields<'a> {
    table: &'a Table,
    prefix: String,
    faults: Vec<Fault>,
}

/// An hour and a day are far above any figure of the pages: what is larger is a slip of the pen.
const MOST_SECONDS: f64 = 86_400.0;

impl<'a> Fields<'a> {
    pub(super) fn new(table: &'a Table) -> Fields<'a> {
        Fields {
            table,
            prefix: String::new(),
            faults: Vec::new(),
        }
    }

    pub(super) fn into_faults(self) -> Vec<Fault> {
        self.faults
    }

    pub(super) fn fault(&mut self, key: &str, reason: impl Into<String>) {
        let key = format!("{}{key}", self.prefix);
        // A field that is missing is not also named for what it would have to be.
        if self.faults.iter().all(|fault| fault.key != key) {
            self.faults.push(Fault {
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
                self.fault(key, one_line(&e.to_string()));
                None
            }
        }
    }

    /// A field that must be there.
    pub(super) fn required<T: DeserializeOwned + Default>(&mut self, key: &str) -> T {
        self.required_or(key, T::default())
    }

    /// A field that must be there; `instead` is what the faulty record holds.
    pub(super) fn required_or<T: DeserializeOwned>(&mut self, key: &str, instead: T) -> T {
        if !self.table.contains_key(key) {
            self.fault(key, "is missing");
        }
        self.optional(key).unwrap_or(instead)
    }

    /// A number, whole or not, that is not below 0.
    pub(super) fn number(&mut self, key: &str, default: f64) -> f64 {
        let number = match self.table.get(key) {
            None => return default,
            Some(Value::Integer(whole)) => *whole as f64,
            Some(Value::Float(fraction)) => *fraction,
            Some(other) => {
                self.fault(key, format!("must be a number, not {}", other.type_str()));
                return default;
            }
        };
        if number.is_finite() && number >= 0.0 {
            return number;
        }
        self.fault(key, "must not be below 0");
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

    fn duration(&mut self, key: &str, default: f64, in_a_second: f64) -> Duration {
        let seconds = self.number(key, default) / in_a_second;
        if seconds <= MOST_SECONDS {
            return Duration::from_secs_f64(seconds);
        }
        self.fault(key, "is longer than a day");
        Duration::ZERO
    }

    /// A table inside this one; an absent one is empty.
    pub(super) fn within<T>(&mut self, key: &str, read: impl FnOnce(&mut Fields<'_>) -> T) -> T {
        let empty = Table::new();
        let table = match self.table.get(key) {
            Some(Value::Table(table)) => table,
            None => &empty,
            Some(other) => {
                self.fault(key, format!("must be a table, not {}", other.type_str()));
                &empty
            }
        };
        let mut inner = Fields {
            table,
            prefix: format!("{}{key}.", self.prefix),
            faults: Vec::new(),
        };
        let value = read(&mut inner);
        self.faults.append(&mut inner.faults);
        value
    }
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

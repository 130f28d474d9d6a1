//! Updates: changes of named items, as the operator sends them.

use crate::error::ConfigurationError;
use crate::json::{
    array_elements, distinct_fields, parse_complete, value_of, version_of, wrong_type, Fields,
};
use crate::limits::Limits;
use crate::named_list::{named_items, parse_items, FieldContent};
use crate::route::{check_distinct_prefixes, Route};
use crate::service::Service;
use crate::tenant::{check_distinct_keys, check_unnamed_tenants, Tenant};
use miniserde::json::Value;

/// An update that has passed all checks that don't depend on the current configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    version: u64,
    upserts: Vec<Upsert>,
    removals: Vec<Removal>,
}

/// Items to add or to replace by name, or the new value of a field that is not a named list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Upsert {
    /// Name of the field of the configuration.
    pub(crate) field: String,
    /// Items to upsert, or the new content of the field.
    pub(crate) content: FieldContent,
}

/// Names of items to remove from a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Removal {
    /// Name of the list in the configuration.
    pub(crate) list: String,
    /// Names of the items to remove.
    pub(crate) names: Vec<String>,
}

impl Update {
    /// Parses an update, and checks all conditions that don't depend on the current configuration.
    ///
    /// # Errors
    /// Returns the first reason for which it is invalid.
    pub fn parse(body: &[u8]) -> Result<Update, ConfigurationError> {
        let (text, value) = parse_complete(body)?;
        let location = "the update";
        let mut update = Update {
            version: version_of(&Fields::new(location.to_owned(), &value)?)?,
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        for (name, text) in distinct_fields(location, text)? {
            update.parse_field(&name, text)?;
        }
        update.upserts.iter().try_for_each(Upsert::check)?;
        Ok(update)
    }

    /// Parses a field of the update. Unknown fields are ignored.
    fn parse_field(&mut self, name: &str, text: &str) -> Result<(), ConfigurationError> {
        match name {
            "upserts" if text != "null" => self.parse_upserts(text),
            "removals" if text != "null" => self.parse_removals(text),
            "limits" if text != "null" => self.parse_upsert("limits", text),
            _ => Ok(()),
        }
    }

    fn parse_upserts(&mut self, text: &str) -> Result<(), ConfigurationError> {
        for (field, text) in distinct_fields("upserts", text)? {
            self.parse_upsert(&field, text)?;
        }
        Ok(())
    }

    fn parse_upsert(&mut self, field: &str, text: &str) -> Result<(), ConfigurationError> {
        if field == "version" {
            return Err(wrong_type("upserts", field, "a list of items"));
        }
        let content = FieldContent::parse(field, text)?;
        self.upserts.push(Upsert {
            field: field.to_owned(),
            content,
        });
        Ok(())
    }

    fn parse_removals(&mut self, text: &str) -> Result<(), ConfigurationError> {
        for (list, text) in distinct_fields("removals", text)? {
            let names = removed_names(&list, text)?;
            self.removals.push(Removal { list, names });
        }
        Ok(())
    }

    /// Returns the version of the configuration that results from the update.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn upserts(&self) -> &[Upsert] {
        &self.upserts
    }

    pub(crate) fn removals(&self) -> &[Removal] {
        &self.removals
    }
}

impl Upsert {
    /// Checks each item and conditions that involve several of the items.
    fn check(&self) -> Result<(), ConfigurationError> {
        match (self.field.as_str(), &self.content) {
            ("routes", FieldContent::Named(items)) => {
                check_distinct_prefixes(&parse_items(items, Route::parse)?)
            }
            ("services", FieldContent::Named(items)) => {
                parse_items(items, Service::parse).map(drop)
            }
            ("tenants", FieldContent::Text(text)) => check_unnamed_tenants(text),
            ("tenants", FieldContent::Named(items)) => {
                check_distinct_keys(&parse_items(items, Tenant::parse)?)
            }
            ("limits", FieldContent::Text(text)) => Limits::parse(&value_of(text)?).map(drop),
            _ => Ok(()),
        }
    }
}

/// Parses a list of names. An element may also be an object with a `name`.
fn removed_names(list: &str, text: &str) -> Result<Vec<String>, ConfigurationError> {
    let elements =
        array_elements(text).ok_or_else(|| wrong_type("removals", list, "a list of names"))?;
    elements
        .iter()
        .map(|element| removed_name(list, element))
        .collect()
}

fn removed_name(list: &str, element: &str) -> Result<String, ConfigurationError> {
    match value_of(element)? {
        Value::String(name) => Ok(name),
        Value::Object(_) => Ok(named_items(list, &[element])?.remove(0).name),
        _ => Err(wrong_type("removals", list, "a list of names")),
    }
}

#[cfg(test)]
mod tests;

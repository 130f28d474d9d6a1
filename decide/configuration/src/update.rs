//! A change of named items, as the operator sends it.

use crate::document::{check_places, content_of, named_items, not_tenants, read_items, Content};
use crate::error::ConfigurationError;
use crate::json::{distinct_fields, elements, value_of, version_of, whole, wrong, Fields};
use crate::limits::Limits;
use crate::route::Route;
use crate::service::Service;
use crate::tenant::{check_keys, Tenant};
use miniserde::json::Value;

/// An update that has passed the checks that need no configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    version: u64,
    upserts: Vec<Upsert>,
    removals: Vec<Removal>,
}

/// Items to add or to replace by name; or a field that is no named list, whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Upsert {
    /// The field of the configuration.
    pub(crate) field: String,
    /// What to put there.
    pub(crate) content: Content,
}

/// Names to take out of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Removal {
    /// The field of the configuration.
    pub(crate) list: String,
    /// The names.
    pub(crate) names: Vec<String>,
}

impl Update {
    /// Reads an update, and checks what is wrong whatever it is applied to.
    ///
    /// # Errors
    /// What is wrong with it, by name.
    pub fn parse(body: &[u8]) -> Result<Update, ConfigurationError> {
        let (text, value) = whole(body)?;
        let place = "the update";
        let mut update = Update {
            version: version_of(&Fields::new(place.to_owned(), &value)?)?,
            upserts: Vec::new(),
            removals: Vec::new(),
        };
        for (name, text) in distinct_fields(place, text)? {
            update.take(&name, text)?;
        }
        update.upserts.iter().try_for_each(Upsert::check)?;
        Ok(update)
    }

    /// Takes a field of the update; fields that are not known are passed over.
    fn take(&mut self, name: &str, text: &str) -> Result<(), ConfigurationError> {
        match name {
            "upserts" if text != "null" => self.take_upserts(text),
            "removals" if text != "null" => self.take_removals(text),
            "limits" if text != "null" => self.put_upsert("limits", text),
            _ => Ok(()),
        }
    }

    fn take_upserts(&mut self, text: &str) -> Result<(), ConfigurationError> {
        for (field, text) in distinct_fields("upserts", text)? {
            self.put_upsert(&field, text)?;
        }
        Ok(())
    }

    fn put_upsert(&mut self, field: &str, text: &str) -> Result<(), ConfigurationError> {
        if field == "version" {
            return Err(wrong("upserts", field, "a list of items"));
        }
        let content = content_of(field, text)?;
        self.upserts.push(Upsert {
            field: field.to_owned(),
            content,
        });
        Ok(())
    }

    fn take_removals(&mut self, text: &str) -> Result<(), ConfigurationError> {
        for (list, text) in distinct_fields("removals", text)? {
            let names = names(&list, text)?;
            self.removals.push(Removal { list, names });
        }
        Ok(())
    }

    /// Version of the configuration that it makes.
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
    /// What is wrong with the items by themselves and with each other.
    fn check(&self) -> Result<(), ConfigurationError> {
        match (self.field.as_str(), &self.content) {
            ("routes", Content::Named(items)) => check_places(&read_items(items, Route::read)?),
            ("services", Content::Named(items)) => read_items(items, Service::read).map(drop),
            ("tenants", Content::Text(text)) => not_tenants(text),
            ("tenants", Content::Named(items)) => check_keys(&read_items(items, Tenant::read)?),
            ("limits", Content::Text(text)) => Limits::read(&value_of(text)?).map(drop),
            _ => Ok(()),
        }
    }
}

/// A list of names; an item with a name stands for that name.
fn names(list: &str, text: &str) -> Result<Vec<String>, ConfigurationError> {
    let parts = elements(text).ok_or_else(|| wrong("removals", list, "a list of names"))?;
    parts.iter().map(|part| removed_name(list, part)).collect()
}

fn removed_name(list: &str, part: &str) -> Result<String, ConfigurationError> {
    match value_of(part)? {
        Value::String(name) => Ok(name),
        Value::Object(_) => Ok(named_items(list, &[part])?.remove(0).name),
        _ => Err(wrong("removals", list, "a list of names")),
    }
}

#[cfg(test)]
mod tests;

//! Fields of a configuration: lists of named items, and all other fields as text.

use crate::error::{shown, ConfigurationError};
use crate::json::{array_elements, distinct_fields, object_fields, value_of, wrong_type};
use miniserde::json::Value;
use std::collections::{HashMap, HashSet};

/// The content of a field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FieldContent {
    /// A list whose items all have distinct names.
    Named(Vec<Item>),
    /// Any other value, as it was received.
    Text(String),
}

/// An item of a named list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    /// Value of the item's field `name`.
    pub(crate) name: String,
    /// JSON text of the item as it was received, including the name.
    pub(crate) text: String,
}

impl FieldContent {
    /// Parses the content of a field. `routes` and `services` must be named lists. Any other list
    /// is a named list if all its items have distinct names.
    pub(crate) fn parse(field: &str, text: &str) -> Result<FieldContent, ConfigurationError> {
        let must_be_named = matches!(field, "routes" | "services");
        let Some(elements) = array_elements(text) else {
            return match must_be_named {
                true => Err(wrong_type("the configuration", field, "a list")),
                false => Ok(FieldContent::Text(text.to_owned())),
            };
        };
        match named_items(field, &elements) {
            Ok(items) => Ok(FieldContent::Named(items)),
            Err(_) if !must_be_named => Ok(FieldContent::Text(text.to_owned())),
            Err(error) => Err(error),
        }
    }

    /// Appends the content to a JSON text.
    pub(crate) fn write(&self, json: &mut String) {
        let items = match self {
            FieldContent::Text(text) => return json.push_str(text),
            FieldContent::Named(items) => items,
        };
        json.push('[');
        for (index, item) in items.iter().enumerate() {
            if index > 0 {
                json.push(',');
            }
            json.push_str(&item.text);
        }
        json.push(']');
    }
}

/// Parses the elements of a named list. Fails if a name is missing or occurs twice.
pub(crate) fn named_items(list: &str, elements: &[&str]) -> Result<Vec<Item>, ConfigurationError> {
    let mut seen = HashSet::with_capacity(elements.len());
    let mut items = Vec::with_capacity(elements.len());
    for (index, element) in elements.iter().enumerate() {
        let name = name_of(list, index, element)?;
        if !seen.insert(name.clone()) {
            return Err(ConfigurationError::DuplicateName {
                list: shown(list),
                name: shown(&name),
            });
        }
        items.push(Item {
            name,
            text: (*element).to_owned(),
        });
    }
    Ok(items)
}

fn name_of(list: &str, index: usize, element: &str) -> Result<String, ConfigurationError> {
    let location = || format!("item {index} of `{list}`");
    if object_fields(element).is_none() {
        return Err(wrong_type(&location(), "", "an object"));
    }
    let fields = distinct_fields(&location(), element)?;
    let name = fields
        .into_iter()
        .find(|(field, _)| field == "name")
        .map(|(_, text)| value_of(text))
        .transpose()?;
    match name {
        Some(Value::String(name)) if !name.is_empty() => Ok(name),
        Some(Value::Number(_) | Value::Bool(_) | Value::Array(_) | Value::Object(_)) => {
            Err(wrong_type(&location(), "name", "a text"))
        }
        _ => Err(ConfigurationError::MissingName {
            list: shown(list),
            index,
        }),
    }
}

/// Parses each item into its typed view.
pub(crate) fn parse_items<T>(
    items: &[Item],
    parse: impl Fn(&str, &Value) -> Result<T, ConfigurationError>,
) -> Result<Vec<T>, ConfigurationError> {
    items
        .iter()
        .map(|item| parse(&item.name, &value_of(&item.text)?))
        .collect()
}

/// Replaces existing items by name in place, and appends new ones.
pub(crate) fn upsert_items(items: &mut Vec<Item>, upserts: &[Item]) {
    let mut indexes: HashMap<String, usize> = items
        .iter()
        .enumerate()
        .map(|(index, item)| (item.name.clone(), index))
        .collect();
    for item in upserts {
        match indexes.get(&item.name) {
            Some(index) => items[*index] = item.clone(),
            None => {
                indexes.insert(item.name.clone(), items.len());
                items.push(item.clone());
            }
        }
    }
}

//! A whole configuration: kept as it came, with typed views that have passed every check.

use crate::error::{shown, ConfigurationError};
use crate::json::{
    distinct_fields, elements, fields, value_of, version_of, whole, write_string, wrong, Fields,
    MAX_DOCUMENT_BYTES,
};
use crate::limits::Limits;
use crate::route::Route;
use crate::service::Service;
use crate::tenant::{check_keys, Tenant};
use crate::update::{Removal, Update, Upsert};
use miniserde::json::Value;
use std::collections::{HashMap, HashSet};

/// A configuration that has passed every check that does not depend on the one before it.
#[derive(Clone, Debug)]
pub struct Document {
    version: u64,
    fields: Vec<Field>,
    routes: Vec<Route>,
    services: Vec<Service>,
    tenants: Option<Vec<Tenant>>,
    limits: Limits,
}

/// Reads the tenants of the fields of a document.
type ReadTenants = fn(&[Field]) -> Result<Option<Vec<Tenant>>, ConfigurationError>;

/// A field of the document, at its place.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: String,
    content: Content,
}

/// What a field holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    /// A list whose items all have names of their own.
    Named(Vec<Item>),
    /// Anything else, as it came.
    Text(String),
}

/// An item of a named list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Item {
    /// Its name.
    pub(crate) name: String,
    /// All of it, as it came.
    pub(crate) text: String,
}

/// Two documents are equal if they are handed out as the same text.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.fields == other.fields
    }
}

impl Document {
    /// Reads and checks a whole configuration.
    ///
    /// # Errors
    /// What is wrong with it, by name.
    pub fn parse(body: &[u8]) -> Result<Document, ConfigurationError> {
        Document::read(body, read_tenants)
    }

    /// Reads a configuration that was committed, maybe by a program that did not know of tenants:
    /// where `tenants` can't be read, nobody holds a key.
    ///
    /// # Errors
    /// What is wrong with all else of it, by name.
    pub fn parse_committed(body: &[u8]) -> Result<Document, ConfigurationError> {
        let closed = |kept: &[Field]| read_tenants(kept).or(Ok(Some(Vec::new())));
        Document::parse(body).or_else(|_| Document::read(body, closed))
    }

    fn read(body: &[u8], read_tenants: ReadTenants) -> Result<Document, ConfigurationError> {
        let (text, value) = whole(body)?;
        let place = "the configuration";
        let version = version_of(&Fields::new(place.to_owned(), &value)?)?;
        let mut kept = Vec::new();
        for (name, text) in distinct_fields(place, text)? {
            let content = content_of(&name, text)?;
            kept.push(Field { name, content });
        }
        Document::build(version, kept, read_tenants)
    }

    /// Makes the typed views, and checks all that joins several items.
    fn build(
        version: u64,
        kept: Vec<Field>,
        read_tenants: ReadTenants,
    ) -> Result<Document, ConfigurationError> {
        let document = Document {
            version,
            routes: read_items(items(&kept, "routes")?, Route::read)?,
            services: read_items(items(&kept, "services")?, Service::read)?,
            tenants: read_tenants(&kept)?,
            limits: read_limits(&kept)?,
            fields: kept,
        };
        check_places(&document.routes)?;
        document.check_services()?;
        Ok(document)
    }

    fn check_services(&self) -> Result<(), ConfigurationError> {
        let known: HashSet<&str> = self
            .services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        for route in &self.routes {
            let unknown = route
                .targets
                .iter()
                .find(|target| !known.contains(target.service.as_str()));
            if let Some(target) = unknown {
                let (route, service) = (shown(&route.name), shown(&target.service));
                return Err(ConfigurationError::UnknownService { route, service });
            }
        }
        Ok(())
    }

    /// The configuration that an update makes of this one. Removals come first, so that an item
    /// that is removed and given anew is there; a replaced item stays at its place, a new one goes
    /// to the end.
    ///
    /// # Errors
    /// What is wrong with the outcome, by name; a version that is not above this one.
    pub fn apply_update(&self, update: &Update) -> Result<Document, ConfigurationError> {
        self.check_successor(update.version())?;
        let mut kept = self.fields.clone();
        for removal in update.removals() {
            remove(&mut kept, removal)?;
        }
        for upsert in update.upserts() {
            put(&mut kept, upsert)?;
        }
        set_version(&mut kept, update.version());
        let document = Document::build(update.version(), kept, read_tenants)?;
        let bytes = document.to_json().len();
        if bytes > MAX_DOCUMENT_BYTES {
            return Err(ConfigurationError::TooLarge {
                bytes,
                most: MAX_DOCUMENT_BYTES,
            });
        }
        Ok(document)
    }

    /// Whether a version may follow this one.
    ///
    /// # Errors
    /// It is not above this one.
    pub(crate) fn check_successor(&self, version: u64) -> Result<(), ConfigurationError> {
        match version > self.version {
            true => Ok(()),
            false => Err(ConfigurationError::VersionNotAbove {
                version,
                current: self.version,
            }),
        }
    }

    /// Its version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Its routes, in the operator's order.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Its services, in the operator's order.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Its tenants, in the operator's order; `None` where the configuration has no `tenants`, and
    /// no request needs a key.
    #[must_use]
    pub fn tenants(&self) -> Option<&[Tenant]> {
        self.tenants.as_deref()
    }

    /// What clients may send.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The whole configuration: every field and item as it came, in order.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let mut out = String::from("{");
        for (index, field) in self.fields.iter().enumerate() {
            if index > 0 {
                out.push(',');
            }
            write_string(&mut out, &field.name);
            out.push(':');
            field.content.write(&mut out);
        }
        out.push('}');
        out.into_bytes()
    }
}

impl Content {
    fn write(&self, out: &mut String) {
        let items = match self {
            Content::Text(text) => return out.push_str(text),
            Content::Named(items) => items,
        };
        out.push('[');
        for (index, item) in items.iter().enumerate() {
            if index > 0 {
                out.push(',');
            }
            out.push_str(&item.text);
        }
        out.push(']');
    }
}

/// What a field of the document holds. Routes and services must be named lists; other lists are so
/// where all their items have names.
pub(crate) fn content_of(field: &str, text: &str) -> Result<Content, ConfigurationError> {
    let needed = matches!(field, "routes" | "services");
    let Some(parts) = elements(text) else {
        return match needed {
            true => Err(wrong("the configuration", field, "a list")),
            false => Ok(Content::Text(text.to_owned())),
        };
    };
    match named_items(field, &parts) {
        Ok(items) => Ok(Content::Named(items)),
        Err(_) if !needed => Ok(Content::Text(text.to_owned())),
        Err(error) => Err(error),
    }
}

/// The items of a named list.
pub(crate) fn named_items(list: &str, parts: &[&str]) -> Result<Vec<Item>, ConfigurationError> {
    let mut seen = HashSet::with_capacity(parts.len());
    let mut items = Vec::with_capacity(parts.len());
    for (index, part) in parts.iter().enumerate() {
        let name = name_of(list, index, part)?;
        if !seen.insert(name.clone()) {
            return Err(ConfigurationError::DuplicateName {
                list: shown(list),
                name: shown(&name),
            });
        }
        items.push(Item {
            name,
            text: (*part).to_owned(),
        });
    }
    Ok(items)
}

fn name_of(list: &str, index: usize, part: &str) -> Result<String, ConfigurationError> {
    let place = || format!("item {index} of `{list}`");
    if fields(part).is_none() {
        return Err(wrong(&place(), "", "an object"));
    }
    let found = distinct_fields(&place(), part)?;
    let name = found
        .into_iter()
        .find(|(field, _)| field == "name")
        .map(|(_, text)| value_of(text))
        .transpose()?;
    match name {
        Some(Value::String(name)) if !name.is_empty() => Ok(name),
        Some(Value::Number(_) | Value::Bool(_) | Value::Array(_) | Value::Object(_)) => {
            Err(wrong(&place(), "name", "a text"))
        }
        _ => Err(ConfigurationError::MissingName {
            list: shown(list),
            index,
        }),
    }
}

/// The items of a list that a configuration must have.
fn items<'a>(kept: &'a [Field], name: &str) -> Result<&'a [Item], ConfigurationError> {
    match kept
        .iter()
        .find(|field| field.name == name)
        .map(|field| &field.content)
    {
        Some(Content::Named(items)) => Ok(items),
        Some(Content::Text(_)) => Err(wrong("the configuration", name, "a list")),
        None => Err(ConfigurationError::MissingField {
            place: "the configuration".to_owned(),
            field: name.to_owned(),
        }),
    }
}

/// The typed views of items.
pub(crate) fn read_items<T>(
    items: &[Item],
    read: impl Fn(&str, &Value) -> Result<T, ConfigurationError>,
) -> Result<Vec<T>, ConfigurationError> {
    items
        .iter()
        .map(|item| read(&item.name, &value_of(&item.text)?))
        .collect()
}

fn read_limits(kept: &[Field]) -> Result<Limits, ConfigurationError> {
    match kept
        .iter()
        .find(|field| field.name == "limits")
        .map(|field| &field.content)
    {
        None => Ok(Limits::default()),
        Some(Content::Text(text)) if text == "null" => Ok(Limits::default()),
        Some(Content::Text(text)) => Limits::read(&value_of(text)?),
        Some(Content::Named(_)) => Err(wrong("the configuration", "limits", "an object")),
    }
}

/// The tenants, where there is such a list.
fn read_tenants(kept: &[Field]) -> Result<Option<Vec<Tenant>>, ConfigurationError> {
    match kept
        .iter()
        .find(|field| field.name == "tenants")
        .map(|field| &field.content)
    {
        Some(Content::Named(items)) => {
            let tenants = read_items(items, Tenant::read)?;
            check_keys(&tenants)?;
            Ok(Some(tenants))
        }
        Some(Content::Text(text)) => not_tenants(text).map(|()| None),
        None => Ok(None),
    }
}

/// What is wrong with `tenants` that are no named list; nothing with `null`.
pub(crate) fn not_tenants(text: &str) -> Result<(), ConfigurationError> {
    match elements(text) {
        _ if text == "null" => Ok(()),
        Some(parts) => named_items("tenants", &parts).map(drop),
        None => Err(wrong("the configuration", "tenants", "a list")),
    }
}

/// No two routes may have the same host and prefix.
pub(crate) fn check_places(routes: &[Route]) -> Result<(), ConfigurationError> {
    let mut taken = HashMap::with_capacity(routes.len());
    for route in routes {
        if let Some(first) = taken.insert((&route.host, &route.path_prefix), &route.name) {
            let (first, second) = (shown(first), shown(&route.name));
            return Err(ConfigurationError::SamePlace { first, second });
        }
    }
    Ok(())
}

/// Takes names out of a list. Those that are not there are passed over: what the operator wants
/// holds.
fn remove(kept: &mut [Field], removal: &Removal) -> Result<(), ConfigurationError> {
    let Some(field) = kept.iter_mut().find(|field| field.name == removal.list) else {
        return Ok(());
    };
    let Content::Named(items) = &mut field.content else {
        return Err(ConfigurationError::NotANamedList {
            list: shown(&removal.list),
        });
    };
    items.retain(|item| !removal.names.contains(&item.name));
    Ok(())
}

/// Puts the items of a list in by name, or a field that is no such list in whole.
fn put(kept: &mut Vec<Field>, upsert: &Upsert) -> Result<(), ConfigurationError> {
    let Some(field) = kept.iter_mut().find(|field| field.name == upsert.field) else {
        kept.push(Field {
            name: upsert.field.clone(),
            content: upsert.content.clone(),
        });
        return Ok(());
    };
    match (&mut field.content, &upsert.content) {
        (Content::Named(items), Content::Named(new)) => put_items(items, new),
        (Content::Text(text), Content::Named(_)) if text == "null" => {
            field.content = upsert.content.clone()
        }
        (Content::Text(_), Content::Text(_)) => field.content = upsert.content.clone(),
        _ => {
            return Err(ConfigurationError::NotANamedList {
                list: shown(&upsert.field),
            })
        }
    }
    Ok(())
}

fn put_items(items: &mut Vec<Item>, new: &[Item]) {
    let mut places: HashMap<String, usize> = items
        .iter()
        .enumerate()
        .map(|(place, item)| (item.name.clone(), place))
        .collect();
    for item in new {
        match places.get(&item.name) {
            Some(place) => items[*place] = item.clone(),
            None => {
                places.insert(item.name.clone(), items.len());
                items.push(item.clone());
            }
        }
    }
}

fn set_version(kept: &mut [Field], version: u64) {
    let field = kept.iter_mut().find(|field| field.name == "version");
    debug_assert!(field.is_some(), "a document that was read has a version");
    if let Some(field) = field {
        field.content = Content::Text(version.to_string());
    }
}

#[cfg(test)]
mod tests;

//! Complete configurations: the text as it was received, and validated typed views.

use crate::error::{shown, ConfigurationError};
use crate::json::{
    distinct_fields, parse_complete, value_of, version_of, write_string, wrong_type, Fields,
    MAX_DOCUMENT_BYTES,
};
use crate::limits::Limits;
use crate::named_list::{parse_items, upsert_items, FieldContent, Item};
use crate::route::{check_distinct_prefixes, Route};
use crate::service::Service;
use crate::tenant::{
    check_distinct_keys, check_names_fit_in_header, check_unnamed_tenants, Tenant,
};
use crate::update::{Removal, Update, Upsert};
use std::collections::HashSet;

/// A configuration that has passed all checks, except that its version exceeds the previous one.
#[derive(Clone, Debug)]
pub struct Document {
    version: u64,
    fields: Vec<Field>,
    routes: Vec<Route>,
    services: Vec<Service>,
    tenants: Option<Vec<Tenant>>,
    limits: Limits,
}

/// A function that parses the tenants from the fields of a document.
type ParseTenants = fn(&[Field]) -> Result<Option<Vec<Tenant>>, ConfigurationError>;

/// A field of the document. Documents keep their fields in the operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Field {
    name: String,
    content: FieldContent,
}

/// Two documents are equal if they are returned as the same text.
impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        self.fields == other.fields
    }
}

impl Document {
    /// Parses and checks a complete configuration.
    ///
    /// # Errors
    /// Returns the first reason for which it is invalid.
    pub fn parse(body: &[u8]) -> Result<Document, ConfigurationError> {
        Document::parse_with(body, parse_tenants)
    }

    /// Parses a committed configuration. A build that validated less may have committed it, so two
    /// faults of `tenants` are accepted. A tenant whose name fits in no header is kept: its requests
    /// can't be served, and the others can. Any other fault results in an empty list: then no key
    /// belongs to a tenant.
    ///
    /// # Errors
    /// Returns the first reason for which any other part is invalid.
    pub fn parse_committed(body: &[u8]) -> Result<Document, ConfigurationError> {
        let parse_or_empty =
            |fields: &[Field]| parse_tenants_with_any_name(fields).or(Ok(Some(Vec::new())));
        Document::parse(body).or_else(|_| Document::parse_with(body, parse_or_empty))
    }

    fn parse_with(
        body: &[u8],
        parse_tenants: ParseTenants,
    ) -> Result<Document, ConfigurationError> {
        let (text, value) = parse_complete(body)?;
        let location = "the configuration";
        let version = version_of(&Fields::new(location.to_owned(), &value)?)?;
        let mut fields = Vec::new();
        for (name, text) in distinct_fields(location, text)? {
            let content = FieldContent::parse(&name, text)?;
            fields.push(Field { name, content });
        }
        Document::build(version, fields, parse_tenants)
    }

    /// Parses the typed views, and checks conditions that involve several items.
    fn build(
        version: u64,
        fields: Vec<Field>,
        parse_tenants: ParseTenants,
    ) -> Result<Document, ConfigurationError> {
        let document = Document {
            version,
            routes: parse_items(required_items(&fields, "routes")?, Route::parse)?,
            services: parse_items(required_items(&fields, "services")?, Service::parse)?,
            tenants: parse_tenants(&fields)?,
            limits: parse_limits(&fields)?,
            fields,
        };
        check_distinct_prefixes(&document.routes)?;
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

    /// Applies an update. Removals are applied first, so that the result contains an item that is
    /// both removed and upserted. A replaced item keeps its position, and a new one is appended.
    ///
    /// # Errors
    /// Returns an error if the version is not above the current one, or the first reason for which
    /// the result is invalid.
    pub fn apply_update(&self, update: &Update) -> Result<Document, ConfigurationError> {
        self.check_successor(update.version())?;
        let mut fields = self.fields.clone();
        for removal in update.removals() {
            remove(&mut fields, removal)?;
        }
        for upsert in update.upserts() {
            apply_upsert(&mut fields, upsert)?;
        }
        set_version(&mut fields, update.version());
        let document = Document::build(update.version(), fields, parse_tenants)?;
        let bytes = document.to_json().len();
        if bytes > MAX_DOCUMENT_BYTES {
            return Err(ConfigurationError::TooLarge {
                bytes,
                limit: MAX_DOCUMENT_BYTES,
            });
        }
        Ok(document)
    }

    /// Checks that `version` is above the version of this document.
    pub(crate) fn check_successor(&self, version: u64) -> Result<(), ConfigurationError> {
        match version > self.version {
            true => Ok(()),
            false => Err(ConfigurationError::VersionNotAbove {
                version,
                current: self.version,
            }),
        }
    }

    /// Returns the version, which every successor has to exceed.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the routes in the operator's order.
    #[must_use]
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the services in the operator's order.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// Returns the service with this name by a linear search.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the tenants in the operator's order; `None` if the configuration has no `tenants`.
    /// No request needs a key in that case.
    #[must_use]
    pub fn tenants(&self) -> Option<&[Tenant]> {
        self.tenants.as_deref()
    }

    /// Returns the limits on clients' requests; the default if the configuration has no `limits`.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the complete configuration as JSON, with every field and item as it was received and
    /// in the same order.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let mut json = String::from("{");
        for (index, field) in self.fields.iter().enumerate() {
            if index > 0 {
                json.push(',');
            }
            write_string(&mut json, &field.name);
            json.push(':');
            field.content.write(&mut json);
        }
        json.push('}');
        json.into_bytes()
    }
}

fn content_of<'a>(fields: &'a [Field], name: &str) -> Option<&'a FieldContent> {
    fields
        .iter()
        .find(|field| field.name == name)
        .map(|field| &field.content)
}

/// Returns the items of a list that a configuration must have.
fn required_items<'a>(fields: &'a [Field], name: &str) -> Result<&'a [Item], ConfigurationError> {
    match content_of(fields, name) {
        Some(FieldContent::Named(items)) => Ok(items),
        Some(FieldContent::Text(_)) => Err(wrong_type("the configuration", name, "a list")),
        None => Err(ConfigurationError::MissingField {
            location: "the configuration".to_owned(),
            field: name.to_owned(),
        }),
    }
}

fn parse_limits(fields: &[Field]) -> Result<Limits, ConfigurationError> {
    match content_of(fields, "limits") {
        None => Ok(Limits::default()),
        Some(FieldContent::Text(text)) if text == "null" => Ok(Limits::default()),
        Some(FieldContent::Text(text)) => Limits::parse(&value_of(text)?),
        Some(FieldContent::Named(_)) => Err(wrong_type("the configuration", "limits", "an object")),
    }
}

/// Parses and checks the tenants; returns `None` if there is no such list.
fn parse_tenants(fields: &[Field]) -> Result<Option<Vec<Tenant>>, ConfigurationError> {
    let tenants = parse_tenants_with_any_name(fields)?;
    check_names_fit_in_header(tenants.as_deref().unwrap_or_default())?;
    Ok(tenants)
}

/// The same without the check whether servers can be sent their names.
fn parse_tenants_with_any_name(
    fields: &[Field],
) -> Result<Option<Vec<Tenant>>, ConfigurationError> {
    match content_of(fields, "tenants") {
        Some(FieldContent::Named(items)) => {
            let tenants = parse_items(items, Tenant::parse)?;
            check_distinct_keys(&tenants)?;
            Ok(Some(tenants))
        }
        Some(FieldContent::Text(text)) => check_unnamed_tenants(text).map(|()| None),
        None => Ok(None),
    }
}

/// Removes items from a list by name. Missing names are ignored, since the result is the same.
fn remove(fields: &mut [Field], removal: &Removal) -> Result<(), ConfigurationError> {
    let Some(field) = fields.iter_mut().find(|field| field.name == removal.list) else {
        return Ok(());
    };
    let FieldContent::Named(items) = &mut field.content else {
        return Err(ConfigurationError::NotANamedList {
            list: shown(&removal.list),
        });
    };
    items.retain(|item| !removal.names.contains(&item.name));
    Ok(())
}

/// Upserts the items of a named list, or replaces a field that is not a named list.
fn apply_upsert(fields: &mut Vec<Field>, upsert: &Upsert) -> Result<(), ConfigurationError> {
    let Some(field) = fields.iter_mut().find(|field| field.name == upsert.field) else {
        fields.push(Field {
            name: upsert.field.clone(),
            content: upsert.content.clone(),
        });
        return Ok(());
    };
    match (&mut field.content, &upsert.content) {
        (FieldContent::Named(items), FieldContent::Named(new)) => upsert_items(items, new),
        (FieldContent::Text(text), FieldContent::Named(_)) if text == "null" => {
            field.content = upsert.content.clone()
        }
        (FieldContent::Text(_), FieldContent::Text(_)) => field.content = upsert.content.clone(),
        _ => {
            return Err(ConfigurationError::NotANamedList {
                list: shown(&upsert.field),
            })
        }
    }
    Ok(())
}

fn set_version(fields: &mut [Field], version: u64) {
    let field = fields.iter_mut().find(|field| field.name == "version");
    debug_assert!(field.is_some(), "a parsed document has a version");
    if let Some(field) = field {
        field.content = FieldContent::Text(version.to_string());
    }
}

#[cfg(test)]
mod tests;

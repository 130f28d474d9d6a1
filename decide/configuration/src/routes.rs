//! Lookup of the route that matches a request.

use crate::document::Document;
use crate::route::Route;
use crate::service::Service;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// An index of a configuration's routes by host and path. Built once for each configuration.
#[derive(Clone, Debug)]
pub struct Routes {
    document: Arc<Document>,
    hosts: HashMap<String, Prefixes>,
    services: HashMap<String, usize>,
}

/// The path prefixes of one host.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Prefixes in ascending order, each with the index of its route in the document.
    sorted: Vec<(String, usize)>,
    /// Length of the longest prefix (bytes).
    max_length: usize,
}

impl Routes {
    /// Builds the index of a configuration.
    #[must_use]
    pub fn new(document: Arc<Document>) -> Routes {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (index, route) in document.routes().iter().enumerate() {
            hosts
                .entry(route.host.clone())
                .or_default()
                .add(&route.path_prefix, index);
        }
        hosts
            .values_mut()
            .for_each(|prefixes| prefixes.sorted.sort());
        let services = document.services().iter().enumerate();
        let services = services
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        Routes {
            hosts,
            services,
            document,
        }
    }

    /// Returns the configuration that the index was built from.
    #[must_use]
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the route of a request by its `Host` header and its path: the route of the host that
    /// has the longest matching prefix. Hosts are compared case-insensitively and including the
    /// port. If no route has the host with that port, the host without the port is used. The query
    /// is ignored.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        let index = self.prefixes(host)?.longest_match(path)?;
        self.document.routes().get(index)
    }

    fn prefixes(&self, host: &str) -> Option<&Prefixes> {
        let host = lower_case(host.trim_matches([' ', '\t']));
        self.hosts
            .get(host.as_ref())
            .or_else(|| self.hosts.get(without_port(&host)?))
    }

    /// Returns the service with this name by a hash lookup.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services().get(*self.services.get(name)?)
    }
}

impl Prefixes {
    fn add(&mut self, prefix: &str, index: usize) {
        self.sorted.push((prefix.to_owned(), index));
        self.max_length = self.max_length.max(prefix.len());
    }

    /// Returns the index of the route with the longest prefix of a path. Every prefix ends with a
    /// slash, so only the positions after a slash in the path have to be tried.
    fn longest_match(&self, path: &str) -> Option<usize> {
        let path = path.split(['?', '#']).next().unwrap_or_default().as_bytes();
        let bounded = &path[..path.len().min(self.max_length)];
        let slashes = bounded
            .iter()
            .enumerate()
            .rev()
            .filter(|(_, byte)| **byte == b'/');
        slashes
            .map(|(last, _)| &path[..=last])
            .find_map(|candidate| self.index_of(candidate))
    }

    fn index_of(&self, candidate: &[u8]) -> Option<usize> {
        let found = self
            .sorted
            .binary_search_by(|(prefix, _)| prefix.as_bytes().cmp(candidate))
            .ok()?;
        Some(self.sorted[found].1)
    }
}

fn lower_case(host: &str) -> Cow<'_, str> {
    match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        true => Cow::Owned(host.to_ascii_lowercase()),
        false => Cow::Borrowed(host),
    }
}

/// Returns the host without its port; `None` if there is no port. A colon within an IPv6 address is
/// not taken for that of a port.
fn without_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    let is_port = !name.contains(':') || name.ends_with(']');
    (is_port && port.bytes().all(|byte| byte.is_ascii_digit())).then_some(name)
}

#[cfg(test)]
mod tests;

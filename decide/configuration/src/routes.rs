//! Which route a request takes.

use crate::document::Document;
use crate::route::Route;
use crate::service::Service;
use std::borrow::Cow;
use std::collections::HashMap;
use std::sync::Arc;

/// A lookup by host and path, built once for each configuration.
#[derive(Clone, Debug)]
pub struct Routes {
    document: Arc<Document>,
    hosts: HashMap<String, Prefixes>,
    services: HashMap<String, usize>,
}

/// The prefixes of one host.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Each with its route's place in the document, sorted by prefix.
    sorted: Vec<(String, usize)>,
    /// Length of the longest (bytes).
    longest: usize,
}

impl Routes {
    /// Of a configuration.
    #[must_use]
    pub fn new(document: Arc<Document>) -> Routes {
        let mut hosts: HashMap<String, Prefixes> = HashMap::new();
        for (location, route) in document.routes().iter().enumerate() {
            hosts
                .entry(route.host.clone())
                .or_default()
                .add(&route.path_prefix, location);
        }
        hosts
            .values_mut()
            .for_each(|prefixes| prefixes.sorted.sort());
        let services = document.services().iter().enumerate();
        let services = services
            .map(|(location, service)| (service.name.clone(), location))
            .collect();
        Routes {
            hosts,
            services,
            document,
        }
    }

    /// The configuration.
    #[must_use]
    pub fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// The route of a request by its `Host` header and its path: the one of that host with the
    /// longest prefix. Hosts are compared without regard to case, and first as they came; where no
    /// route has the host with that port, the port is left out. A query does not count.
    #[must_use]
    pub fn lookup(&self, host: &str, path: &str) -> Option<&Route> {
        let location = self.prefixes(host)?.longest_of(path)?;
        self.document.routes().get(location)
    }

    fn prefixes(&self, host: &str) -> Option<&Prefixes> {
        let host = lower_case(host.trim_matches([' ', '\t']));
        self.hosts
            .get(host.as_ref())
            .or_else(|| self.hosts.get(without_port(&host)?))
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services().get(*self.services.get(name)?)
    }
}

impl Prefixes {
    fn add(&mut self, prefix: &str, location: usize) {
        self.sorted.push((prefix.to_owned(), location));
        self.longest = self.longest.max(prefix.len());
    }

    /// Every prefix ends with a slash, so only what ends with one in the path can be a prefix of
    /// it.
    fn longest_of(&self, path: &str) -> Option<usize> {
        let path = path.split(['?', '#']).next().unwrap_or_default().as_bytes();
        let bounded = &path[..path.len().min(self.longest)];
        let ends = bounded
            .iter()
            .enumerate()
            .rev()
            .filter(|(_, byte)| **byte == b'/');
        ends.map(|(last, _)| &path[..=last])
            .find_map(|candidate| self.place_of(candidate))
    }

    fn place_of(&self, candidate: &[u8]) -> Option<usize> {
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

/// The host before its port; nothing where there is no port.
fn without_port(host: &str) -> Option<&str> {
    let (name, port) = host.rsplit_once(':')?;
    let parse_complete = !name.contains(':') || name.ends_with(']');
    (parse_complete && port.bytes().all(|byte| byte.is_ascii_digit())).then_some(name)
}

#[cfg(test)]
mod tests;

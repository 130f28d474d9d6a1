//! The active configuration, and the terms of a route that a request keeps to its end.
//!
//! It promises that the position of the active configuration never decreases while the process runs.

use super::ranks::PriorityRanks;
use lichenswitch_configuration::{
    ConfigurationError, Document, KeyIndex, Limits, Route, RouteKind, Routes, Tenant,
};
use lichenswitch_interface::Micros;
use lichenswitch_messages::ConfigurationPosition;
use std::sync::Arc;

/// The terms of a route. A request keeps a copy to its end, whatever configuration becomes active
/// meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RouteTerms {
    /// Name of the route.
    pub route: Arc<str>,
    /// A request may be executed more than once: it is safe, or a stream that may be resumed.
    pub is_idempotent: bool,
    /// Responses are event streams.
    pub is_streaming: bool,
    /// An interrupted stream may be resumed at another server.
    pub is_resumable: bool,
    /// The longest time to the final response.
    pub timeout: Micros,
    /// The latency up to which a response has its full value.
    pub target_latency: Micros,
    /// Its rank, 0 to 9; 0 is the most urgent.
    pub rank: u8,
    /// How many servers a request may be sent to.
    pub max_attempts: u32,
}

impl RouteTerms {
    fn of(route: &Route, rank: u8) -> RouteTerms {
        let streaming = route.kind == RouteKind::Streaming;
        RouteTerms {
            route: Arc::from(route.name.as_str()),
            is_idempotent: route.is_idempotent(),
            is_streaming: streaming,
            is_resumable: streaming && route.stream_resume,
            timeout: route.timeout_ms.saturating_mul(1_000),
            target_latency: route
                .target_latency_ms
                .clamp(1, route.timeout_ms)
                .saturating_mul(1_000),
            rank,
            max_attempts: route.max_attempts,
        }
    }
}

/// An operator's configuration, indexed for lookups.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// Its position.
    pub position: ConfigurationPosition,
    routes: Routes,
    /// The tenant of each key.
    pub keys: KeyIndex,
    ranks: PriorityRanks,
}

impl ActiveConfiguration {
    /// Parses a document.
    ///
    /// # Errors
    /// What is wrong with it.
    pub(crate) fn parse(
        position: ConfigurationPosition,
        document: &[u8],
    ) -> Result<ActiveConfiguration, ConfigurationError> {
        let document = Arc::new(Document::parse_committed(document)?);
        let (keys, ranks) = (KeyIndex::new(&document), PriorityRanks::new(&document));
        Ok(ActiveConfiguration {
            position,
            keys,
            ranks,
            routes: Routes::new(document),
        })
    }

    /// The document.
    #[must_use]
    pub(crate) fn document(&self) -> &Document {
        self.routes.document()
    }

    /// Limits on what clients may send.
    #[must_use]
    pub(crate) fn limits(&self) -> Limits {
        *self.document().limits()
    }

    /// The route of a request, if there is one.
    #[must_use]
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.lookup(host, path)
    }

    /// The terms of a tenant's request on a route.
    #[must_use]
    pub(crate) fn terms(&self, route: &Route, tenant: Option<&Tenant>) -> RouteTerms {
        RouteTerms::of(route, self.ranks.rank(tenant, route))
    }

    /// The terms of all routes that may send to a service, one for each rank that tenants may give
    /// them.
    #[must_use]
    pub(crate) fn terms_of(&self, service: &str) -> Vec<RouteTerms> {
        let sends_to_service = |route: &&Route| {
            route
                .targets
                .iter()
                .any(|target| target.service == service && target.weight > 0.0)
        };
        let tenants = self.document().tenants().unwrap_or_default();
        let of_route = |route: &Route| {
            self.ranks
                .ranks_of_route(tenants, route)
                .into_iter()
                .map(|rank| RouteTerms::of(route, rank))
                .collect::<Vec<_>>()
        };
        self.document()
            .routes()
            .iter()
            .filter(sends_to_service)
            .flat_map(of_route)
            .collect()
    }
}

/// The active configuration, once there is one.
#[derive(Default)]
pub(crate) struct CurrentConfiguration {
    active: Option<ActiveConfiguration>,
}

impl CurrentConfiguration {
    /// The active configuration.
    #[must_use]
    pub(crate) fn get(&self) -> Option<&ActiveConfiguration> {
        self.active.as_ref()
    }

    /// Activates a configuration, if its position is above that of the active one; `true` if so.
    pub(crate) fn apply(&mut self, new: ActiveConfiguration) -> bool {
        let is_newer = self
            .active
            .as_ref()
            .is_none_or(|active| active.position < new.position);
        if is_newer {
            self.active = Some(new);
        }
        is_newer
    }
}

#[cfg(test)]
mod tests;

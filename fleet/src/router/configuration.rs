//! The configuration in force, and what a request keeps of it to its end.
//!
//! It promises that the position of what is in force never goes back within a life of the process.

use super::ranks::PriorityRanks;
use lichenswitch_configuration::{
    ConfigurationError, Document, Keys, Limits, Route, RouteKind, Routes, Tenant,
};
use lichenswitch_interface::Micros;
use lichenswitch_messages::ConfigurationPosition;
use std::sync::Arc;

/// What a route says of its requests. A request keeps a copy to its end, whatever configuration
/// comes meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RouteTerms {
    /// Name of the route.
    pub route: Arc<str>,
    /// A request may run more than once: a safe one, or a stream that may be resumed.
    pub is_idempotent: bool,
    /// Answers are streams of events.
    pub is_streaming: bool,
    /// A stream that was cut may go on at another server.
    pub is_resumable: bool,
    /// The longest that a request is held.
    pub timeout: Micros,
    /// Within which an answer earns its full worth.
    pub target_latency: Micros,
    /// Its rank, 0 to 9; 0 is highest.
    pub rank: u8,
    /// Servers to which one try may be sent.
    pub max_attempts: u32,
}

impl RouteTerms {
    fn of(route: &Route, rank: u8) -> RouteTerms {
        let streaming = route.kind == RouteKind::Streaming;
        RouteTerms {
            route: Arc::from(route.name.as_str()),
            is_idempotent: route.idempotent(),
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

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    /// Its position.
    pub position: ConfigurationPosition,
    routes: Routes,
    /// Who holds which key.
    pub keys: Keys,
    ranks: PriorityRanks,
}

impl ActiveConfiguration {
    /// Reads a document.
    ///
    /// # Errors
    /// What is wrong with it.
    pub(crate) fn parse(
        position: ConfigurationPosition,
        document: &[u8],
    ) -> Result<ActiveConfiguration, ConfigurationError> {
        let document = Arc::new(Document::parse_committed(document)?);
        let (keys, ranks) = (Keys::new(&document), PriorityRanks::new(&document));
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

    /// What clients may send.
    #[must_use]
    pub(crate) fn limits(&self) -> Limits {
        *self.document().limits()
    }

    /// The route of a request; `None`: no route takes it.
    #[must_use]
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.lookup(host, path)
    }

    /// The terms of a tenant's request on a route.
    #[must_use]
    pub(crate) fn terms(&self, route: &Route, tenant: Option<&Tenant>) -> RouteTerms {
        RouteTerms::of(route, self.ranks.rank(tenant, route))
    }

    /// Terms of all routes that may send to a service, by the ranks that their tenants may give
    /// them.
    #[must_use]
    pub(crate) fn terms_of(&self, service: &str) -> Vec<RouteTerms> {
        let to = |route: &&Route| {
            route
                .targets
                .iter()
                .any(|t| t.service == service && t.weight > 0.0)
        };
        let tenants = self.document().tenants().unwrap_or_default();
        let of_route = |route: &Route| {
            self.ranks
                .all(tenants, route)
                .into_iter()
                .map(|rank| RouteTerms::of(route, rank))
                .collect::<Vec<_>>()
        };
        self.document()
            .routes()
            .iter()
            .filter(to)
            .flat_map(of_route)
            .collect()
    }
}

/// The configuration in force, where there is one.
#[derive(Default)]
pub(crate) struct CurrentConfiguration {
    in_force: Option<ActiveConfiguration>,
}

impl CurrentConfiguration {
    /// The configuration in force.
    #[must_use]
    pub(crate) fn get(&self) -> Option<&ActiveConfiguration> {
        self.in_force.as_ref()
    }

    /// Puts a configuration in force, if its position is above that of the one which is.
    pub(crate) fn apply(&mut self, new: ActiveConfiguration) -> bool {
        let newer = self
            .in_force
            .as_ref()
            .is_none_or(|known| known.position < new.position);
        if newer {
            self.in_force = Some(new);
        }
        newer
    }
}

#[cfg(test)]
mod tests;

//! The configuration in force, and what a request keeps of it to its end.
//!
//! It promises that the position of what is in force never goes back within a life of the process.

use lichenswitch_configuration::{ConfigurationError, Document, Limits, Route, RouteKind, Routes};
use lichenswitch_interface::Micros;
use lichenswitch_messages::ConfigurationPosition;
use std::sync::Arc;

/// The least urgent rank.
const LOWEST_RANK: u8 = 9;

/// What a route says of its requests. A request keeps a copy to its end, whatever configuration comes meanwhile.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Name of the route.
    pub route: Arc<str>,
    /// A request may run more than once: a safe one, or a stream that may be resumed.
    pub idempotent: bool,
    /// Answers are streams of events.
    pub streaming: bool,
    /// A stream that was cut may go on at another server.
    pub resumable: bool,
    /// The longest that a request is held.
    pub timeout: Micros,
    /// Within which an answer earns its full worth.
    pub target_latency: Micros,
    /// Its rank; 0 is highest.
    pub priority: u32,
    /// Servers to which one try may be sent.
    pub max_attempts: u32,
}

impl Terms {
    /// Its rank as servers and the module count it, 0 to 9.
    #[must_use]
    pub fn rank(&self) -> u8 {
        self.priority.min(u32::from(LOWEST_RANK)) as u8
    }

    fn of(route: &Route) -> Terms {
        let streaming = route.kind == RouteKind::Streaming;
        Terms {
            route: Arc::from(route.name.as_str()),
            idempotent: route.idempotent(),
            streaming,
            resumable: streaming && route.stream_resume,
            timeout: route.timeout_ms.saturating_mul(1_000),
            target_latency: route.target_latency_ms.clamp(1, route.timeout_ms).saturating_mul(1_000),
            priority: route.priority,
            max_attempts: route.max_attempts,
        }
    }
}

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Its position.
    pub position: ConfigurationPosition,
    routes: Routes,
}

impl InForce {
    /// Reads a document.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(position: ConfigurationPosition, document: &[u8]) -> Result<InForce, ConfigurationError> {
        Ok(InForce { position, routes: Routes::new(Arc::new(Document::parse(document)?)) })
    }

    /// The document.
    #[must_use]
    pub fn document(&self) -> &Document {
        self.routes.document()
    }

    /// What clients may send.
    #[must_use]
    pub fn limits(&self) -> Limits {
        *self.document().limits()
    }

    /// The terms of a request and the service that it goes to, drawn once; `None`: no route takes it.
    #[must_use]
    pub fn route(&self, host: &str, path: &str, random: u64) -> Option<(Terms, &str)> {
        let route = self.routes.lookup(host, path)?;
        Some((Terms::of(route), route.draw(random)))
    }

    /// Terms of all routes that may send to a service.
    #[must_use]
    pub fn terms_of(&self, service: &str) -> Vec<Terms> {
        let to = |route: &&Route| route.targets.iter().any(|t| t.service == service && t.weight > 0.0);
        self.document().routes().iter().filter(to).map(Terms::of).collect()
    }
}

/// The configuration in force, where there is one.
#[derive(Default)]
pub struct Configuration {
    in_force: Option<InForce>,
}

impl Configuration {
    /// The configuration in force.
    #[must_use]
    pub fn get(&self) -> Option<&InForce> {
        self.in_force.as_ref()
    }

    /// Puts a configuration in force, if its position is above that of the one which is.
    pub fn apply(&mut self, new: InForce) -> bool {
        let newer = self.in_force.as_ref().is_none_or(|known| known.position < new.position);
        if newer {
            self.in_force = Some(new);
        }
        newer
    }
}

#[cfg(test)]
mod tests;

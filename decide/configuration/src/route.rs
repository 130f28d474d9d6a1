//! Routes: the requests that a route matches, their handling, and the services that they go to.

use crate::error::{shown, ConfigurationError};
use crate::json::{wrong_type, Fields};
use miniserde::json::Value;
use std::collections::HashMap;

/// Timeout of a request if the operator sets none (milliseconds).
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// The kind of a route, which determines whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests are idempotent and may be executed more than once.
    Safe,
    /// A request may be executed once for each attempt of the client.
    Unsafe,
    /// Responses are event streams. Requests are treated as unsafe unless the route resumes
    /// streams.
    Streaming,
    /// The kind is unknown or missing. Requests are treated as unsafe.
    Unknown,
}

impl RouteKind {
    fn parse(kind: Option<&str>) -> RouteKind {
        match kind {
            Some("safe") => RouteKind::Safe,
            Some("unsafe") => RouteKind::Unsafe,
            Some("streaming") => RouteKind::Streaming,
            _ => RouteKind::Unknown,
        }
    }

    /// Whether requests of this kind may be executed more than once regardless of the route's other
    /// fields.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// A target service of a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service in the configuration.
    pub service: String,
    /// Weight relative to the sum of the route's weights; 0 or more.
    pub weight: f64,
}

/// A route that has passed all checks that don't involve other items.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, which is unique among the routes.
    pub name: String,
    /// Host of the matching requests, in lower case.
    pub host: String,
    /// Prefix of the matching paths; begins and ends with a slash.
    pub path_prefix: String,
    /// Kind of the route, which determines whether requests may be repeated.
    pub kind: RouteKind,
    /// Timeout of a request (milliseconds); never 0.
    pub timeout_ms: u64,
    /// Latency up to which a response has its full value (milliseconds). Equal to the timeout if
    /// the operator sets none.
    pub target_latency_ms: u64,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Target services; the sum of their weights is above 0.
    pub targets: Vec<WeightedService>,
    /// Maximum number of servers to which one attempt of a client may be sent; at least 1.
    pub max_attempts: u32,
    /// Whether requests need no API key: true only if `publicAccess` is `true`.
    pub public_access: bool,
    /// Whether requests name the chunks of their prompts, which servers may have in their cache.
    pub session_affinity: bool,
    /// Whether an interrupted event stream may be resumed at another server.
    pub stream_resume: bool,
    /// Maximum gap between the events of a response that meets its target (milliseconds), if set.
    pub event_gap_target_ms: Option<u64>,
}

impl Route {
    /// Parses an item of `routes`.
    pub(crate) fn parse(name: &str, value: &Value) -> Result<Route, ConfigurationError> {
        let fields = Fields::new(format!("route `{name}`"), value)?;
        let timeout_ms = fields.count("timeoutMs")?.unwrap_or(DEFAULT_TIMEOUT_MS);
        let route = Route {
            name: name.to_owned(),
            host: fields.required_text("host")?.to_ascii_lowercase(),
            path_prefix: fields.required_text("pathPrefix")?.to_owned(),
            kind: RouteKind::parse(fields.text("kind")?),
            timeout_ms,
            target_latency_ms: fields.count("targetLatencyMs")?.unwrap_or(timeout_ms),
            priority: fields.count_u32("priority")?.unwrap_or(0),
            targets: parse_targets(name, &fields)?,
            max_attempts: fields.count_u32("maxAttempts")?.unwrap_or(1).max(1),
            public_access: matches!(fields.get("publicAccess"), Some(Value::Bool(true))),
            session_affinity: fields.flag("sessionAffinity")?,
            stream_resume: fields.flag("streamResume")?,
            event_gap_target_ms: fields.count("gap_aim_ms")?,
        };
        route.check()?;
        Ok(route)
    }

    /// Checks conditions that don't involve other items of the configuration.
    fn check(&self) -> Result<(), ConfigurationError> {
        let route = || shown(&self.name);
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return Err(ConfigurationError::InvalidPrefix { route: route() });
        }
        if self.timeout_ms == 0 {
            return Err(ConfigurationError::ZeroTimeout { route: route() });
        }
        if self.targets.iter().any(|target| target.weight < 0.0) {
            return Err(ConfigurationError::NegativeWeight { route: route() });
        }
        if self.total_weight() <= 0.0 {
            return Err(ConfigurationError::ZeroWeight { route: route() });
        }
        Ok(())
    }

    fn total_weight(&self) -> f64 {
        self.targets.iter().map(|target| target.weight).sum()
    }

    /// Whether a request may be executed more than once: its route is safe, or is a streaming route
    /// that resumes streams.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind.is_idempotent() || (self.kind == RouteKind::Streaming && self.stream_resume)
    }

    /// Picks the service for one request by weight. `random` has to be uniformly distributed over
    /// all 64-bit numbers. A service with weight 0 is never picked.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> &str {
        let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let mut remaining = fraction * self.total_weight();
        let weighted = self.targets.iter().filter(|target| target.weight > 0.0);
        let mut picked = "";
        for target in weighted {
            picked = &target.service;
            if remaining < target.weight {
                break;
            }
            remaining -= target.weight;
        }
        debug_assert!(
            !picked.is_empty(),
            "the sum of the weights of a checked route is above 0"
        );
        picked
    }
}

/// Parses the services of a route: those of `trafficSplit`, or else the single `service`.
fn parse_targets(
    name: &str,
    fields: &Fields<'_>,
) -> Result<Vec<WeightedService>, ConfigurationError> {
    let single = fields.text("service")?;
    match (fields.list("trafficSplit")?, single) {
        (Some(split), _) if !split.is_empty() => split
            .iter()
            .map(|element| parse_target(name, element))
            .collect(),
        (_, Some(service)) => Ok(vec![WeightedService {
            service: service.to_owned(),
            weight: 1.0,
        }]),
        (Some(_), None) => Ok(Vec::new()),
        (None, None) => Err(fields.missing("service")),
    }
}

fn parse_target(route: &str, element: &Value) -> Result<WeightedService, ConfigurationError> {
    let fields = Fields::new(format!("trafficSplit of route `{route}`"), element)?;
    let weight = fields
        .number("weight")?
        .ok_or_else(|| fields.missing("weight"))?;
    if !weight.is_finite() {
        return Err(wrong_type(
            &format!("trafficSplit of route `{route}`"),
            "weight",
            "a finite number",
        ));
    }
    Ok(WeightedService {
        service: fields.required_text("service")?.to_owned(),
        weight,
    })
}

/// Checks that no two routes have the same host and path prefix.
pub(crate) fn check_distinct_prefixes(routes: &[Route]) -> Result<(), ConfigurationError> {
    let mut names_by_prefix = HashMap::with_capacity(routes.len());
    for route in routes {
        if let Some(first) = names_by_prefix.insert((&route.host, &route.path_prefix), &route.name)
        {
            let (first, second) = (shown(first), shown(&route.name));
            return Err(ConfigurationError::DuplicatePrefix { first, second });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;

//! A route: which requests it takes, how they may be treated, and which services they go to.

use crate::error::{shown, ConfigurationError};
use crate::json::{wrong_type, Fields};
use miniserde::json::Value;
use std::collections::HashMap;

/// How long a request may be held where the operator gives no time-out (milliseconds).
const DEFAULT_TIMEOUT_MS: u64 = 60_000;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run once for each try of the client.
    Unsafe,
    /// Answers are streams of events; to be treated as unsafe, unless the route resumes streams.
    Streaming,
    /// A kind that is not known here, or none: to be treated as unsafe.
    Unknown,
}

impl RouteKind {
    fn parse(word: Option<&str>) -> RouteKind {
        match word {
            Some("safe") => RouteKind::Safe,
            Some("unsafe") => RouteKind::Unsafe,
            Some("streaming") => RouteKind::Streaming,
            _ => RouteKind::Unknown,
        }
    }

    /// Whether requests of this kind may run more than once, whatever else the route says.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        self == RouteKind::Safe
    }
}

/// A service that a route's requests go to, with its share.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its share, against the sum of all.
    pub weight: f64,
}

/// A route that has passed the checks that need no other item.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host whose requests it takes, in lower case.
    pub host: String,
    /// Prefix of the paths that it takes; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request may be held (milliseconds); never 0.
    pub timeout_ms: u64,
    /// Within which an answer earns its full worth (milliseconds); the time-out where the operator
    /// says nothing.
    pub target_latency_ms: u64,
    /// Its rank; 0 is highest.
    pub priority: u32,
    /// Where its requests go; the weights add up to more than 0.
    pub targets: Vec<WeightedService>,
    /// The most servers to which one try may be sent; at least 1.
    pub max_attempts: u32,
    /// Whether its requests need no key (`publicAccess`); only where that is `true`.
    pub public_access: bool,
    /// Whether requests bear the parts of their prompts, which servers keep.
    pub session_affinity: bool,
    /// Whether a stream may be taken up at another server.
    pub stream_resume: bool,
    /// The longest pause between events that keeps an answer in time (milliseconds), where that is
    /// told.
    pub event_gap_target_ms: Option<u64>,
}

impl Route {
    /// Of an item of `routes`.
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
            targets: targets(name, &fields)?,
            max_attempts: fields.count_u32("maxAttempts")?.unwrap_or(1).max(1),
            public_access: matches!(fields.get("publicAccess"), Some(Value::Bool(true))),
            session_affinity: fields.flag("sessionAffinity")?,
            stream_resume: fields.flag("streamResume")?,
            event_gap_target_ms: fields.count("gap_aim_ms")?,
        };
        route.check()?;
        Ok(route)
    }

    /// What must hold whatever else the configuration says.
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

    /// Whether a request may run more than once: a safe one, or a stream that may be resumed.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        self.kind.is_idempotent() || (self.kind == RouteKind::Streaming && self.stream_resume)
    }

    /// The service of one request, drawn by weight with a number that is even over all of its
    /// range. A service without weight is never drawn.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> &str {
        let share = (random >> 11) as f64 / (1_u64 << 53) as f64;
        let mut left = share * self.total_weight();
        let weighted = self.targets.iter().filter(|target| target.weight > 0.0);
        let mut drawn = "";
        for target in weighted {
            drawn = &target.service;
            if left < target.weight {
                break;
            }
            left -= target.weight;
        }
        debug_assert!(
            !drawn.is_empty(),
            "the weights of a checked route add up to more than 0"
        );
        drawn
    }
}

/// Where a route's requests go: its `trafficSplit`, or else all to its `service`.
fn targets(name: &str, fields: &Fields<'_>) -> Result<Vec<WeightedService>, ConfigurationError> {
    let single = fields.text("service")?;
    match (fields.list("trafficSplit")?, single) {
        (Some(split), _) if !split.is_empty() => {
            split.iter().map(|part| weighted(name, part)).collect()
        }
        (_, Some(service)) => Ok(vec![WeightedService {
            service: service.to_owned(),
            weight: 1.0,
        }]),
        (Some(_), None) => Ok(Vec::new()),
        (None, None) => Err(fields.missing("service")),
    }
}

fn weighted(route: &str, part: &Value) -> Result<WeightedService, ConfigurationError> {
    let fields = Fields::new(format!("trafficSplit of route `{route}`"), part)?;
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

/// Checks that no two routes have the same host and prefix.
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

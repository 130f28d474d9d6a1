//! Configurations as the operator writes them.

use serde_json::{json, Value};

/// The kind of a route: which requests it is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests for streams.
    Streaming,
    /// Requests that may be retried.
    Safe,
    /// Requests that may not be retried.
    Unsafe,
}

impl RouteKind {
    /// Its name in a document.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            RouteKind::Streaming => "streaming",
            RouteKind::Safe => "safe",
            RouteKind::Unsafe => "unsafe",
        }
    }
}

/// A service with its share of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService {
    /// Its name.
    pub service: String,
    /// Its weight; the weights of a route add up to 100.
    pub weight: u32,
}

impl WeightedService {
    /// A service with this weight.
    #[must_use]
    pub fn new(service: &str, weight: u32) -> WeightedService {
        WeightedService {
            service: service.into(),
            weight,
        }
    }

    fn json(&self) -> Value {
        json!({"service": self.service, "weight": self.weight})
    }
}

/// A route, with the settings that emulators choose.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Its host.
    pub host: String,
    /// Its prefix, with a slash at both ends.
    pub prefix: String,
    /// Its service.
    pub service: String,
    /// Services with their weights, in place of `service`; empty: that one alone.
    pub split: Vec<WeightedService>,
    /// Its kind.
    pub kind: RouteKind,
    /// `timeoutMs`.
    pub timeout_ms: u64,
    /// `maxAttempts`.
    pub attempts: u32,
    /// `streamResume`.
    pub resume: bool,
    /// A text of the operator's own, which the fleet passes on; empty: none.
    pub note: String,
}

impl Route {
    /// A streaming route to a service.
    #[must_use]
    pub fn new(name: &str, host: &str, prefix: &str, service: &str) -> Route {
        let [name, host, prefix, service] = [name, host, prefix, service].map(String::from);
        Route {
            name,
            host,
            prefix,
            service,
            split: Vec::new(),
            kind: RouteKind::Streaming,
            timeout_ms: 5_000,
            attempts: 2,
            resume: true,
            note: String::new(),
        }
    }

    fn services(&self) -> impl Iterator<Item = &str> {
        let one = self.split.is_empty().then_some(self.service.as_str());
        one.into_iter()
            .chain(self.split.iter().map(|split| split.service.as_str()))
    }

    fn json(&self) -> Value {
        let mut route = json!({
            "name": self.name,
            "host": self.host,
            "pathPrefix": self.prefix,
            "kind": self.kind.name(),
            "timeoutMs": self.timeout_ms,
            "targetLatencyMs": 500,
            "priority": 0,
            "maxAttempts": self.attempts,
            "sessionAffinity": true,
            "streamResume": self.resume,
            "gap_aim_ms": 300,
        });
        if !self.note.is_empty() {
            route["note"] = json!(self.note);
        }
        if self.split.is_empty() {
            route["service"] = json!(self.service);
        } else {
            route["trafficSplit"] = self.split.iter().map(WeightedService::json).collect();
        }
        route
    }
}

/// A tenant with one key and without a quota.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its key, an item of `apiKeys`.
    pub key: String,
}

impl Tenant {
    fn json(&self) -> Value {
        json!({"name": self.name, "apiKeys": [self.key]})
    }
}

/// The document that replaces a configuration: this version, with these routes and the services
/// that they name. No request needs a key.
#[must_use]
pub fn replace(version: u64, routes: &[Route]) -> String {
    replacement(version, routes).to_string()
}

/// The same with tenants: each request needs the key of one.
#[must_use]
pub fn replace_with_tenants(version: u64, routes: &[Route], tenants: &[Tenant]) -> String {
    let mut document = replacement(version, routes);
    document["tenants"] = tenants.iter().map(Tenant::json).collect();
    document.to_string()
}

fn replacement(version: u64, routes: &[Route]) -> Value {
    let mut names: Vec<&str> = routes.iter().flat_map(Route::services).collect();
    names.sort_unstable();
    names.dedup();
    let service = |name: &&str| {
        json!({
            "name": name,
            "healthCheckPath": "/health",
            "maxConnections": 64,
            "protocol": "h1",
            "tlsEnabled": false,
            "engine": {
                "capacitySlots": 8,
                "kvTokenCapacity": 100_000,
                "kvTokenBytes": 163_840,
                "bandwidthMbps": 180_000.0,
                "stride": 4,
                "models": [{"name": "m"}],
            },
        })
    };
    json!({
        "version": version,
        "routes": routes.iter().map(Route::json).collect::<Vec<_>>(),
        "services": names.iter().map(service).collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
    })
}

/// The document that updates a configuration to this version: these routes are added, or replace
/// those of the same names; those of the names in `removed` are removed.
#[must_use]
pub fn update(version: u64, routes: &[Route], removed: &[&str]) -> String {
    let mut document = json!({"version": version});
    if !routes.is_empty() {
        document["upserts"] = json!({"routes": routes.iter().map(Route::json).collect::<Vec<_>>()});
    }
    if !removed.is_empty() {
        document["removals"] = json!({ "routes": removed });
    }
    document.to_string()
}

/// The version of a document; `None`: it is no document.
#[must_use]
pub fn version(document: &[u8]) -> Option<u64> {
    serde_json::from_slice::<Value>(document)
        .ok()?
        .get("version")?
        .as_u64()
}

//! The configurations that operators order: random variants of one configuration, each of which
//! names its order.

use crate::servers::SERVICES;
use fastrand::Rng;
use lichenswitch_emulators::operator::document::{Route, RouteKind, WeightedService};

/// The host of all routes.
pub const HOST: &str = "help.example";
/// The path of requests on the route that the last long update adds.
pub const LONG_CONFIGURATION_PATH: &str = "/long-2-0/1";
/// Updates that together bring the configuration above 5 MiB; an order has 4 MiB at most.
pub(super) const LONG_UPDATES: usize = 3;
/// Routes that each of them adds, and the length of the text that each route carries (bytes).
const LONG_ROUTES: usize = 5;
const NOTE_BYTES: usize = 400_000;
/// `maxAttempts` of the route to servers that are about full.
const OVERLOAD_ATTEMPTS: u32 = 6;
/// The name of the route whose path names the order.
const MARK_ROUTE: &str = "mark";

/// A configuration.
#[derive(Clone, Copy, Debug)]
pub(super) struct Variant {
    /// The number of the order that makes it.
    pub(super) number: u64,
    /// `timeoutMs` of the routes of streams: above the deadlines of all requests.
    stream_timeout_ms: u64,
    /// `timeoutMs` of the routes of short requests: above the deadlines of all requests.
    short_timeout_ms: u64,
    attempts: u32,
    /// The weight of the second service in percent; `None`: the configuration has neither that
    /// service nor the route to it.
    second_weight: Option<u32>,
}

impl Variant {
    /// The configuration of the first order.
    pub(super) fn first() -> Variant {
        Variant {
            number: 1,
            stream_timeout_ms: 12_000,
            short_timeout_ms: 3_000,
            attempts: 2,
            second_weight: Some(30),
        }
    }

    /// The same configuration, made by another order.
    pub(super) fn with_number(self, number: u64) -> Variant {
        Variant { number, ..self }
    }

    /// Draws the configuration of another order; with `keeps_routes`, one of the same routes and
    /// services.
    pub(super) fn next(self, number: u64, keeps_routes: bool, random: &mut Rng) -> Variant {
        let second_weight = match self.second_weight {
            Some(_) if keeps_routes => Some(random.u32(1..60)),
            None if keeps_routes => None,
            _ => random.bool().then(|| random.u32(1..60)),
        };
        // Fields are drawn in the order in which they stand here.
        Variant {
            number,
            stream_timeout_ms: random.u64(9_500..14_000),
            short_timeout_ms: random.u64(2_300..4_000),
            attempts: random.u32(1..4),
            second_weight,
        }
    }

    /// Its routes, those of a whole configuration.
    pub(super) fn routes(self) -> Vec<Route> {
        let [first, second] = SERVICES;
        let mut split = self.route("long", first, RouteKind::Streaming, true);
        let mut routes = vec![
            self.route("safe", first, RouteKind::Safe, false),
            self.route("once", first, RouteKind::Unsafe, false),
            self.route("whole", first, RouteKind::Streaming, false),
            self.mark_route(),
        ];
        if let Some(weight) = self.second_weight {
            split.split = vec![
                WeightedService::new(first, 100 - weight),
                WeightedService::new(second, weight),
            ];
            routes.push(self.route("extra", second, RouteKind::Streaming, true));
        }
        routes.push(split);
        routes
    }

    fn route(self, name: &str, service: &str, kind: RouteKind, resume: bool) -> Route {
        let mut route = Route::new(name, HOST, &format!("/{name}/"), service);
        route.kind = kind;
        route.resume = resume;
        route.attempts = self.attempts;
        route.timeout_ms = if kind == RouteKind::Streaming {
            self.stream_timeout_ms
        } else {
            self.short_timeout_ms
        };
        route
    }

    /// The route by which a configuration names its order.
    fn mark_route(self) -> Route {
        let prefix = format!("/{MARK_ROUTE}/{}/", self.number);
        Route::new(MARK_ROUTE, HOST, &prefix, SERVICES[0])
    }
}

/// The route to the servers that are about full on days of overload. It stays as it is.
pub(super) fn overload_route() -> Route {
    let mut route = Route::new("full", HOST, "/full/", SERVICES[1]);
    route.kind = RouteKind::Unsafe;
    route.resume = false;
    route.attempts = OVERLOAD_ATTEMPTS;
    route.timeout_ms = 3_000;
    route
}

/// The routes that a long update adds.
pub(super) fn long_routes(update: usize) -> Vec<Route> {
    let route = |number| {
        let name = format!("long-{update}-{number}");
        let mut route = Route::new(&name, HOST, &format!("/{name}/"), SERVICES[0]);
        route.kind = RouteKind::Safe;
        route.resume = false;
        route.timeout_ms = 3_000;
        route.note = "x".repeat(NOTE_BYTES);
        route
    };
    (0..LONG_ROUTES).map(route).collect()
}

/// Whether this route names the order of its configuration.
pub(super) fn is_mark(route: &Route) -> bool {
    route.name == MARK_ROUTE
}

/// The number of the order that a document names.
pub(super) fn order_number_in(document: &[u8]) -> Option<u64> {
    let document: serde_json::Value = serde_json::from_slice(document).ok()?;
    let routes = document.get("routes")?.as_array()?;
    let mark = routes.iter().find(|route| route["name"] == MARK_ROUTE)?;
    mark.get("pathPrefix")?
        .as_str()?
        .trim_matches('/')
        .rsplit('/')
        .next()?
        .parse()
        .ok()
}

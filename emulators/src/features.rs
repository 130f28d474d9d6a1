//! A data node that speaks OGC API Features: it serves points, filtered by bounding box and sorted on
//! request.

use crate::http::{self, Request};
use crate::sync::lock;
use serde_json::{json, Value as Json};
use std::cmp::Ordering;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a data node treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Behavior {
    /// Responds.
    #[default]
    Serve,
    /// Reads requests for longitudes between these, and never responds to them.
    Withhold(f64, f64),
    /// The same for the second phase of sorted requests alone: those for more than one feature.
    WithholdDetails(f64, f64),
    /// Rejects every request with 503.
    Busy,
    /// Responds to every request with 500.
    Fail,
    /// Rejects `sortby` with 400.
    CantSort,
    /// Returns its worst feature as its best.
    WrongBest,
    /// Delays the first phase of sorted requests by this number of milliseconds.
    DelayFirstPhase(u64),
    /// Closes the connection on a request of the second phase.
    DisconnectInSecondPhase,
    /// Responds with truncated JSON.
    Malformed,
}

/// What a data node received and sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Targets of the requests received.
    pub received_targets: Vec<String>,
    /// Those of them that got features.
    pub responded: Vec<String>,
}

/// A data node. Its threads end with the process.
#[derive(Clone)]
pub struct FeatureServer {
    features: Arc<Vec<Json>>,
    behavior: Arc<Mutex<Behavior>>,
    ledger: Arc<Mutex<Ledger>>,
}

/// A point feature with these properties beside its name.
#[must_use]
pub fn point_with(id: &str, east: f64, north: f64, properties: &Json) -> Json {
    let mut all = json!({"name": id});
    if let (Some(all), Some(more)) = (all.as_object_mut(), properties.as_object()) {
        all.extend(more.clone());
    }
    let geometry = json!({"type": "Point", "coordinates": [east, north]});
    json!({"type": "Feature", "id": id, "geometry": geometry, "properties": all})
}

/// A point feature.
#[must_use]
pub fn point(id: &str, east: f64, north: f64) -> Json {
    point_with(id, east, north, &json!({}))
}

fn bounds(request: &Request) -> Option<Vec<f64>> {
    let text = request.parameter("bbox")?;
    let bounds: Vec<f64> = text.split(',').filter_map(|f| f.parse().ok()).collect();
    (bounds.len() == 4).then_some(bounds)
}

fn is_inside(feature: &Json, bounds: &[f64]) -> bool {
    let at = &feature["geometry"]["coordinates"];
    let (Some(east), Some(north)) = (at[0].as_f64(), at[1].as_f64()) else {
        return false;
    };
    east >= bounds[0] && north >= bounds[1] && east <= bounds[2] && north <= bounds[3]
}

/// The order of two features by a property; those without it come last in both directions.
#[must_use]
pub fn compare_by_property(a: &Json, b: &Json, property: &str, descending: bool) -> Ordering {
    let (a, b) = (&a["properties"][property], &b["properties"][property]);
    let order = match (a.as_f64(), b.as_f64(), a.as_str(), b.as_str()) {
        (Some(a), Some(b), ..) => a.total_cmp(&b),
        (.., Some(a), Some(b)) => a.cmp(b),
        _ => return a.is_null().cmp(&b.is_null()),
    };
    if descending {
        order.reverse()
    } else {
        order
    }
}

impl FeatureServer {
    /// Starts a server of these features on a listener.
    #[must_use]
    pub fn start(listener: TcpListener, features: Vec<Json>) -> FeatureServer {
        let server = FeatureServer {
            features: Arc::new(features),
            behavior: Arc::default(),
            ledger: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || {
                    http::serve(stream, |stream, request| server.handle(stream, request))
                });
            }
        });
        server
    }

    /// Sets how requests are treated from now on.
    pub fn set_behavior(&self, behavior: Behavior) {
        *lock(&self.behavior) = behavior;
    }

    /// A copy of the ledger.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        lock(&self.ledger).clone()
    }

    /// Targets of the requests so far.
    #[must_use]
    pub fn received_targets(&self) -> Vec<String> {
        self.ledger().received_targets
    }

    fn handle(&self, stream: &mut TcpStream, request: &Request) -> bool {
        lock(&self.ledger)
            .received_targets
            .push(request.target.clone());
        let behavior = *lock(&self.behavior);
        let is_sorted = request.parameter("sortby").is_some();
        let is_second_phase = is_sorted && request.parameter("limit").is_none_or(|l| l != "1");
        let within = |west: f64, east: f64| {
            let requested = bounds(request).map_or((west, east), |b| (b[0], b[2]));
            requested.0 >= west && requested.1 <= east
        };
        let problem = |stream: &mut TcpStream, status| {
            http::respond(stream, status, "application/problem+json", "{}")
        };
        match behavior {
            Behavior::Withhold(west, east) if within(west, east) => return true,
            Behavior::WithholdDetails(west, east) if is_second_phase && within(west, east) => {
                return true
            }
            Behavior::Busy => return problem(stream, 503),
            Behavior::Fail => return problem(stream, 500),
            Behavior::CantSort if is_sorted => return problem(stream, 400),
            Behavior::DisconnectInSecondPhase if is_second_phase => return false,
            Behavior::DelayFirstPhase(ms) if is_sorted && !is_second_phase => {
                thread::sleep(Duration::from_millis(ms))
            }
            Behavior::Malformed => {
                return http::respond(stream, 200, "application/geo+json", "{\"type\":")
            }
            _ => {}
        }
        let Some(body) = self.body(request, behavior) else {
            return problem(stream, 404);
        };
        lock(&self.ledger).responded.push(request.target.clone());
        http::respond(stream, 200, "application/geo+json", &body.to_string())
    }

    fn body(&self, request: &Request, behavior: Behavior) -> Option<Json> {
        let path: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        match path[..] {
            ["collections", _, "items"] => Some(self.items(request, behavior)),
            ["collections", _, "items", id] => {
                // Ids come percent-encoded.
                let id = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
                self.features.iter().find(|f| f["id"] == *id).cloned()
            }
            _ => None,
        }
    }

    fn items(&self, request: &Request, behavior: Behavior) -> Json {
        let limit = request
            .parameter("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(10);
        let bounds = bounds(request);
        let all = self.features.iter();
        let mut found: Vec<&Json> = all
            .filter(|f| bounds.as_ref().is_none_or(|b| is_inside(f, b)))
            .collect();
        if let Some(order) = request.parameter("sortby") {
            let (descending, property) = match order.strip_prefix('-') {
                Some(property) => (true, property),
                None => (false, order.trim_start_matches(['+', ' '])),
            };
            found.sort_by(|a, b| compare_by_property(a, b, property, descending));
            if behavior == Behavior::WrongBest && limit == 1 {
                found.reverse();
            }
        }
        let page: Vec<_> = found.iter().take(limit).collect();
        json!({"type": "FeatureCollection", "numberMatched": found.len(),
            "numberReturned": page.len(), "features": page})
    }
}

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

/// The content type of features.
const GEOJSON: &str = "application/geo+json";

/// What a request gets.
enum Reply {
    Features(Json),
    /// A response without features, with this status.
    Problem(u16),
    /// Truncated JSON.
    Malformed,
    /// No response.
    Nothing,
    /// The connection is closed without a response.
    Disconnect,
}

/// The reply that a behavior makes of a request; `None`: it is served.
fn scripted_reply(behavior: Behavior, request: &Request) -> Option<Reply> {
    match behavior {
        Behavior::Withhold(west, east) if is_between(request, west, east) => Some(Reply::Nothing),
        Behavior::WithholdDetails(west, east)
            if is_second_phase(request) && is_between(request, west, east) =>
        {
            Some(Reply::Nothing)
        }
        Behavior::Busy => Some(Reply::Problem(503)),
        Behavior::Fail => Some(Reply::Problem(500)),
        Behavior::CantSort if is_sorted(request) => Some(Reply::Problem(400)),
        Behavior::DisconnectInSecondPhase if is_second_phase(request) => Some(Reply::Disconnect),
        Behavior::Malformed => Some(Reply::Malformed),
        _ => None,
    }
}

fn is_sorted(request: &Request) -> bool {
    request.parameter("sortby").is_some()
}

/// Whether a request is of the second phase of a sorted one, which asks for more than one feature.
fn is_second_phase(request: &Request) -> bool {
    is_sorted(request) && request.parameter("limit").is_none_or(|limit| limit != "1")
}

/// Whether a request asks for features between these longitudes alone; one without bounds does.
fn is_between(request: &Request, west: f64, east: f64) -> bool {
    bounds(request).is_none_or(|bounds| bounds[0] >= west && bounds[2] <= east)
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

    /// Responds to a request as the behavior says; `false`: the connection is closed.
    fn handle(&self, stream: &mut TcpStream, request: &Request) -> bool {
        lock(&self.ledger)
            .received_targets
            .push(request.target.clone());
        let behavior = *lock(&self.behavior);
        let reply = match scripted_reply(behavior, request) {
            Some(reply) => reply,
            None => self.reply(request, behavior),
        };
        match reply {
            Reply::Nothing => true,
            Reply::Disconnect => false,
            Reply::Problem(status) => {
                http::respond(stream, status, "application/problem+json", "{}")
            }
            Reply::Malformed => http::respond(stream, 200, GEOJSON, "{\"type\":"),
            Reply::Features(body) => {
                lock(&self.ledger).responded.push(request.target.clone());
                http::respond(stream, 200, GEOJSON, &body.to_string())
            }
        }
    }

    fn reply(&self, request: &Request, behavior: Behavior) -> Reply {
        if let Behavior::DelayFirstPhase(delay_ms) = behavior {
            if is_sorted(request) && !is_second_phase(request) {
                thread::sleep(Duration::from_millis(delay_ms));
            }
        }
        self.body(request, behavior)
            .map_or(Reply::Problem(404), Reply::Features)
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

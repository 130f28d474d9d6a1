//! A data node that speaks OGC API Features: points, filtered by bounding box, sorted where it is
//! asked to.

use crate::http::{self, Request};
use serde_json::{json, Value as Json};
use std::cmp::Ordering;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How a data node treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// Answers.
    #[default]
    Serve,
    /// Reads requests for longitudes between these, and never answers them.
    Withhold(f64, f64),
    /// The same for the second phase of sorted answers alone: those that ask for more than one
    /// feature.
    WithholdDetails(f64, f64),
    /// Turns everything away.
    Busy,
    /// Answers everything with an error.
    Fail,
    /// Does not know `sortby`.
    CantSort,
    /// Gives its worst feature for its best.
    Lie,
    /// Answers the first phase of sorted answers so many milliseconds late.
    LateFirst(u64),
    /// Breaks the connection when it is asked for the second phase.
    DieInSecond,
    /// Answers with what is no JSON.
    Spoil,
}

/// What a data node did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// Targets of the requests that came.
    pub seen: Vec<String>,
    /// Of them, those that were answered with features.
    pub answered: Vec<String>,
}

/// A data node that runs in threads of its own for as long as the process.
#[derive(Clone)]
pub struct Server {
    features: Arc<Vec<Json>>,
    mood: Arc<Mutex<Mood>>,
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

fn inside(feature: &Json, bounds: &[f64]) -> bool {
    let at = &feature["geometry"]["coordinates"];
    let (Some(east), Some(north)) = (at[0].as_f64(), at[1].as_f64()) else {
        return false;
    };
    east >= bounds[0] && north >= bounds[1] && east <= bounds[2] && north <= bounds[3]
}

/// The order of two features by a property; those without it come last, whichever way is sorted.
#[must_use]
pub fn compare(a: &Json, b: &Json, property: &str, down: bool) -> Ordering {
    let (a, b) = (&a["properties"][property], &b["properties"][property]);
    let order = match (a.as_f64(), b.as_f64(), a.as_str(), b.as_str()) {
        (Some(a), Some(b), ..) => a.total_cmp(&b),
        (.., Some(a), Some(b)) => a.cmp(b),
        _ => return a.is_null().cmp(&b.is_null()),
    };
    if down {
        order.reverse()
    } else {
        order
    }
}

impl Server {
    /// Starts to serve these features on a listener.
    #[must_use]
    pub fn start(listener: TcpListener, features: Vec<Json>) -> Server {
        let server = Server {
            features: Arc::new(features),
            mood: Arc::default(),
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

    /// Changes how requests are treated from now on.
    pub fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap_or_else(|e| e.into_inner()) = mood;
    }

    /// What it did so far.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.ledger
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .clone()
    }

    /// Targets of the requests so far.
    #[must_use]
    pub fn seen(&self) -> Vec<String> {
        self.ledger().seen
    }

    fn handle(&self, stream: &mut TcpStream, request: &Request) -> bool {
        self.ledger
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .seen
            .push(request.target.clone());
        let mood = *self.mood.lock().unwrap_or_else(|e| e.into_inner());
        let sorted = request.parameter("sortby").is_some();
        let second = sorted && request.parameter("limit").is_none_or(|l| l != "1");
        let within = |west: f64, east: f64| {
            let asked = bounds(request).map_or((west, east), |b| (b[0], b[2]));
            asked.0 >= west && asked.1 <= east
        };
        let problem = |stream: &mut TcpStream, status| {
            http::respond(stream, status, "application/problem+json", "{}")
        };
        match mood {
            Mood::Withhold(west, east) if within(west, east) => return true,
            Mood::WithholdDetails(west, east) if second && within(west, east) => return true,
            Mood::Busy => return problem(stream, 503),
            Mood::Fail => return problem(stream, 500),
            Mood::CantSort if sorted => return problem(stream, 400),
            Mood::DieInSecond if second => return false,
            Mood::LateFirst(ms) if sorted && !second => thread::sleep(Duration::from_millis(ms)),
            Mood::Spoil => return http::respond(stream, 200, "application/geo+json", "{\"type\":"),
            _ => {}
        }
        let Some(body) = self.body(request, mood) else {
            return problem(stream, 404);
        };
        self.ledger
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .answered
            .push(request.target.clone());
        http::respond(stream, 200, "application/geo+json", &body.to_string())
    }

    fn body(&self, request: &Request, mood: Mood) -> Option<Json> {
        let path: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        match path[..] {
            ["collections", _, "items"] => Some(self.items(request, mood)),
            ["collections", _, "items", id] => {
                // Ids come percent-encoded.
                let id = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
                self.features.iter().find(|f| f["id"] == *id).cloned()
            }
            _ => None,
        }
    }

    fn items(&self, request: &Request, mood: Mood) -> Json {
        let limit = request
            .parameter("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(10);
        let bounds = bounds(request);
        let all = self.features.iter();
        let mut found: Vec<&Json> = all
            .filter(|f| bounds.as_ref().is_none_or(|b| inside(f, b)))
            .collect();
        if let Some(order) = request.parameter("sortby") {
            let (down, property) = match order.strip_prefix('-') {
                Some(property) => (true, property),
                None => (false, order.trim_start_matches(['+', ' '])),
            };
            found.sort_by(|a, b| compare(a, b, property, down));
            if mood == Mood::Lie && limit == 1 {
                found.reverse();
            }
        }
        let page: Vec<_> = found.iter().take(limit).collect();
        json!({"type": "FeatureCollection", "numberMatched": found.len(),
            "numberReturned": page.len(), "features": page})
    }
}

//! A small server of OGC API Features: points, filtered by bounding box, in the order in which they were given.

use lichenswitch::http::{self, Parsed, Request, Response};
use serde_json::{json, Value as Json};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mood {
    /// Answers.
    #[default]
    Serve,
    /// Reads requests for longitudes between these, and never answers them.
    Withhold(f64, f64),
    /// Turns everything away.
    Busy,
    /// Answers everything with an error.
    Fail,
}

/// A server that runs in threads of its own for as long as the process.
#[derive(Clone)]
pub struct Server {
    features: Arc<Vec<Json>>,
    mood: Arc<Mutex<Mood>>,
    seen: Arc<Mutex<Vec<String>>>,
}

/// A point feature.
pub fn point(id: &str, east: f64, north: f64) -> Json {
    let geometry = json!({"type": "Point", "coordinates": [east, north]});
    json!({"type": "Feature", "id": id, "geometry": geometry, "properties": {"name": id}})
}

fn parameter(request: &Request, name: &str) -> Option<String> {
    let mut found = form_urlencoded::parse(request.query().as_bytes());
    found.find(|p| p.0 == name).map(|p| p.1.to_string())
}

fn bounds(request: &Request) -> Option<Vec<f64>> {
    let text = parameter(request, "bbox")?;
    let bounds: Vec<f64> = text.split(',').filter_map(|f| f.parse().ok()).collect();
    (bounds.len() == 4).then_some(bounds)
}

fn inside(feature: &Json, bounds: &[f64]) -> bool {
    let at = &feature["geometry"]["coordinates"];
    let (Some(east), Some(north)) = (at[0].as_f64(), at[1].as_f64()) else { return false };
    east >= bounds[0] && north >= bounds[1] && east <= bounds[2] && north <= bounds[3]
}

impl Server {
    /// Starts to serve these features on a listener.
    pub fn start(listener: TcpListener, features: Vec<Json>) -> Server {
        let server = Server { features: Arc::new(features), mood: Arc::default(), seen: Arc::default() };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Changes how requests are treated from now on.
    pub fn set(&self, mood: Mood) {
        *self.mood.lock().unwrap() = mood;
    }

    /// Targets of the requests so far.
    #[allow(dead_code)] // For the tests that share this file.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut held, mut chunk) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut chunk) {
                Ok(n) if n > 0 => held.extend_from_slice(&chunk[..n]),
                _ => return,
            }
            while let Ok(Parsed::Whole(request, used)) = http::request(&held) {
                held.drain(..used);
                self.seen.lock().unwrap().push(request.target.clone());
                let Some(answer) = self.answer(&request) else { continue };
                if stream.write_all(&answer.encode(true, false)).is_err() {
                    return;
                }
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let problem = |status| Some(Response::new(status, "application/problem+json", "{}"));
        let bounds = bounds(request);
        match *self.mood.lock().unwrap() {
            Mood::Serve => {}
            Mood::Withhold(west, east) => {
                let asked = bounds.as_ref().map_or((west, east), |b| (b[0], b[2]));
                if asked.0 >= west && asked.1 <= east {
                    return None;
                }
            }
            Mood::Busy => return problem(503),
            Mood::Fail => return problem(500),
        }
        let path: Vec<&str> = request.path().trim_matches('/').split('/').collect();
        let body = match path[..] {
            ["collections", _, "items"] => {
                let limit = parameter(request, "limit").and_then(|l| l.parse().ok()).unwrap_or(10);
                let all = self.features.iter();
                let found: Vec<_> = all.filter(|f| bounds.as_ref().is_none_or(|b| inside(f, b))).collect();
                let page: Vec<_> = found.iter().take(limit).collect();
                json!({"type": "FeatureCollection", "numberMatched": found.len(),
                    "numberReturned": page.len(), "features": page})
            }
            ["collections", _, "items", id] => {
                // Ids come percent-encoded.
                let id = percent_encoding::percent_decode_str(id).decode_utf8_lossy();
                match self.features.iter().find(|f| f["id"] == *id) {
                    Some(feature) => feature.clone(),
                    None => return problem(404),
                }
            }
            _ => return problem(404),
        };
        Some(Response::new(200, "application/geo+json", body.to_string()))
    }
}

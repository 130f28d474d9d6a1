//! The platform's protocol: queries by POST, and the checks of the front layer.

use super::{Front, Verdict};
use crate::contract::ContractViolation;
use crate::core::{Refusal, Reply, Request};
use crate::http::{self, Response};
use crate::interface::{Micros, Placement, RetrySafety, Shard, Time};
use crate::upstream::frames::Job;
use serde::{Deserialize, Serialize};
use std::collections::HashSet;

/// A class as its clients know it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name: the first part of the path.
    pub name: String,
    /// What repeating a part of it can do.
    pub repeat: RetrySafety,
    /// How long its clients wait at most.
    pub deadline: Micros,
}

/// The front.
pub struct Platform {
    classes: Vec<Class>,
    /// Names of the tenants, in the order of the settings.
    tenants: Vec<String>,
    taken: Taken,
    /// A list of data nodes is here.
    listed: bool,
    stopping: bool,
    /// Clients are sent away.
    away: bool,
}

/// Ids of the queries taken of late, in two generations: each is remembered for as long as a query
/// can be open, and at most twice as long.
struct Taken {
    ids: [HashSet<String>; 2],
    since: Time,
    open: Micros,
}

impl Taken {
    /// Notes an id; `false`: it was taken of late. Guards the query that has it: its parts are
    /// named by it.
    fn record_id(&mut self, now: Time, id: &str) -> bool {
        if now.since(self.since) >= self.open {
            let [recent, older] = &mut self.ids;
            *older = std::mem::take(recent);
            self.since = now;
        }
        !self.ids[1].contains(id) && self.ids[0].insert(id.to_string())
    }
}

/// Longest id and key that are taken.
const LONGEST: usize = 200;

#[derive(Deserialize)]
struct Body {
    segments: Vec<Segment>,
    text: String,
}

#[derive(Deserialize)]
struct Segment {
    segment: u32,
    boost: f64,
    #[serde(default)]
    affinity: Option<String>,
}

#[derive(Serialize)]
struct Served<'a> {
    all_in: bool,
    matches: Vec<Match<'a>>,
}

#[derive(Serialize)]
struct Match<'a> {
    segment: u32,
    payload: std::borrow::Cow<'a, str>,
}

impl Platform {
    /// A front for these classes and tenants, in the order of the settings.
    #[must_use]
    pub fn new(classes: Vec<Class>, tenants: Vec<String>) -> Self {
        let open = classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let taken = Taken {
            ids: Default::default(),
            since: Time(0),
            open,
        };
        Platform {
            classes,
            tenants,
            taken,
            listed: false,
            stopping: false,
            away: false,
        }
    }

    /// Whether a list of data nodes is here.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    fn query(&mut self, now: Time, request: &http::Request) -> Result<Request<Job>, (u16, String)> {
        let bad = |reason: String| (400, reason);
        let name = request
            .path()
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        let class = self.classes.iter().position(|c| c.name == name);
        let class = class.ok_or_else(|| (404, "no such class".to_string()))?;
        if request.method != "POST" {
            return Err((405, "queries are sent by POST".into()));
        }
        if request.header("req-kind").is_some_and(|kind| kind != name) {
            return Err(bad("Req-Kind is not the class of the path".into()));
        }
        let id = request.header("req-id").filter(|id| is_token(id));
        let id = id.ok_or_else(|| bad("Req-Id is missing or malformed".into()))?;
        let wait: u64 = request
            .header("req-deadline-ms")
            .filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()))
            .and_then(|ms| ms.parse().ok())
            .filter(|&ms| ms > 0 && ms < 1 << 32)
            .ok_or_else(|| bad("Req-Deadline-Ms is missing or malformed".into()))?;
        // Guards what is held: no query is, longer than its class's clients wait.
        let wait = (wait * 1_000).min(self.classes[class].deadline);
        let key = request.header("idempotency-key");
        if key.is_some_and(|key| !is_token(key)) {
            return Err(bad("Idempotency-Key is malformed".into()));
        }
        let keyed = matches!(self.classes[class].repeat, RetrySafety::Keyed(_));
        if keyed && key.is_none() {
            return Err(bad("Idempotency-Key is missing".into()));
        }
        let body: Body =
            serde_json::from_slice(&request.body).map_err(|e| bad(format!("body: {e}")))?;
        if !self.taken.record_id(now, id) {
            return Err((409, "Req-Id is that of another query".into()));
        }
        let owner = request.header("req-owner");
        let tenant = self.tenants.iter().position(|name| owner == Some(name));
        Ok(Request {
            class,
            deadline: now.plus(wait),
            key: subject(request.header("cookie"), &body.segments),
            placement: Placement::default(),
            again: request.header("req-retry") == Some("1"),
            tenant: tenant.map_or(u32::MAX, |i| i as u32),
            team: owner.map(str::to_string),
            parts: body
                .segments
                .iter()
                .map(|s| (Shard(s.segment), s.boost))
                .collect(),
            top: None,
            job: Job {
                id: id.to_string(),
                text: body.text,
                key: key.filter(|_| keyed).map(Into::into),
            },
        })
    }
}

/// What a query is about: its cookie `k` where it has one, or else the first affinity of its parts;
/// 0: not told.
fn subject(cookie: Option<&str>, segments: &[Segment]) -> u64 {
    let pairs = cookie.into_iter().flat_map(|c| c.split(';'));
    let expected = pairs
        .filter_map(|pair| pair.trim().strip_prefix("k="))
        .next();
    let expected = expected.or_else(|| segments.iter().find_map(|s| s.affinity.as_deref()));
    expected
        .and_then(|hex| u64::from_str_radix(hex, 16).ok())
        .unwrap_or(0)
}

/// Whether a text can stand in a line of a frame, where spaces and commas part words.
fn is_token(text: &str) -> bool {
    let sound = |b: u8| b.is_ascii_graphic() && b != b',';
    !text.is_empty() && text.len() <= LONGEST && text.bytes().all(sound)
}

fn plain(status: u16, text: &str) -> Response {
    Response::new(status, "text/plain; charset=utf-8", format!("{text}\n"))
}

/// A refusal, with the advice when to come back in seconds, to the millisecond.
fn come_back(status: u16, after: Option<Micros>) -> Response {
    let response = plain(status, "refused: trying again is harmless");
    match after {
        Some(after) => response.with("retry-after", format!("{:.3}", after as f64 / 1e6)),
        None => response,
    }
}

impl Front for Platform {
    type Job = Job;
    type Context = ();

    fn read(&mut self, now: Time, request: &http::Request) -> Verdict<Job, ()> {
        match request.path() {
            "/health/live" | "/health/ready"
                if !matches!(request.method.as_str(), "GET" | "HEAD") =>
            {
                Verdict::Reply(plain(405, "health is read by GET").with("allow", "GET, HEAD"))
            }
            "/health/ready" if self.stopping => Verdict::Reply(plain(503, "stopping")),
            "/health/ready" if self.away => Verdict::Reply(plain(503, "clients are sent away")),
            "/health/ready" if !self.listed => {
                Verdict::Reply(plain(503, "no list of data nodes yet"))
            }
            "/health/live" | "/health/ready" => Verdict::Reply(plain(200, "ok")),
            _ => match self.query(now, request) {
                Ok(query) => Verdict::Take(Box::new(query), ()),
                Err((405, reason)) => Verdict::Reply(plain(405, &reason).with("allow", "POST")),
                Err((status, reason)) => Verdict::Reply(plain(status, &reason)),
            },
        }
    }

    fn refused(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::Busy(after) => come_back(503, after),
            Refusal::Contract(ContractViolation::Rate(after)) => come_back(429, Some(after)),
            // Its next try shall meet another broker.
            Refusal::Stopping => Response {
                keep_alive: false,
                ..come_back(503, None)
            },
            Refusal::Malformed(reason) => plain(400, reason),
            Refusal::Contract(_) => plain(403, "no contract for this"),
        }
    }

    fn format_reply(&mut self, (): (), reply: Reply) -> Response {
        match reply {
            Reply::Served { whole, values, .. } => {
                let matches = values
                    .iter()
                    .map(|(shard, value)| Match {
                        segment: shard.0,
                        payload: String::from_utf8_lossy(&value.bytes),
                    })
                    .collect();
                match serde_json::to_vec(&Served {
                    all_in: whole,
                    matches,
                }) {
                    Ok(body) => Response::new(200, "application/json", body),
                    Err(_) => plain(500, "the answer can't be written"),
                }
            }
            Reply::Refused(after) => come_back(503, after),
            Reply::Failed => plain(504, "given up"),
        }
    }

    fn malformed(&self, status: u16, reason: &str) -> Response {
        plain(status, reason)
    }

    fn stop(&mut self) {
        self.stopping = true;
    }

    fn send_away(&mut self, away: bool) {
        self.away = away;
    }

    fn listed(&mut self) {
        self.listed = true;
    }
}

#[cfg(test)]
mod tests;

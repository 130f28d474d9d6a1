//! The platform's protocol: queries by POST, and the checks of the front layer.

mod query;

use self::query::{QueryError, RecentIds};
use super::{Front, RequestAction};
use crate::contract::ContractViolation;
use crate::core::{Refusal, Reply};
use crate::http::{self, Response};
use crate::interface::{Micros, RetrySafety, Time};
use crate::upstream::frames::Job;
use serde::Serialize;

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
    recent_ids: RecentIds,
    /// A list of data nodes is here.
    has_server_list: bool,
    is_stopping: bool,
    /// Clients are sent away.
    is_quiesced: bool,
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
        let longest_query = classes.iter().map(|class| class.deadline).max();
        Platform {
            classes,
            tenants,
            recent_ids: RecentIds::new(longest_query.unwrap_or_default()),
            has_server_list: false,
            is_stopping: false,
            is_quiesced: false,
        }
    }

    /// Whether a list of data nodes is here.
    #[must_use]
    pub fn has_server_list(&self) -> bool {
        self.has_server_list
    }

    /// The response to a check of the front layer: whether the process lives, or takes queries.
    fn health(&self, path: &str, method: &str) -> Response {
        if !matches!(method, "GET" | "HEAD") {
            return plain(405, "health is read by GET").with("allow", "GET, HEAD");
        }
        if path == "/health/live" {
            return plain(200, "ok");
        }
        if self.is_stopping {
            plain(503, "stopping")
        } else if self.is_quiesced {
            plain(503, "clients are sent away")
        } else if !self.has_server_list {
            plain(503, "no list of data nodes yet")
        } else {
            plain(200, "ok")
        }
    }
}

fn plain(status: u16, text: &str) -> Response {
    Response::new(status, "text/plain; charset=utf-8", format!("{text}\n"))
}

/// A refusal, with the advice when to come back in seconds, to the millisecond.
fn retry_later(status: u16, after: Option<Micros>) -> Response {
    let response = plain(status, "refused: trying again is harmless");
    match after {
        Some(after) => response.with("retry-after", format!("{:.3}", after as f64 / 1e6)),
        None => response,
    }
}

impl Front for Platform {
    type Job = Job;
    type Context = ();

    fn read_request(&mut self, now: Time, request: &http::Request) -> RequestAction<Job, ()> {
        let path = request.path();
        if matches!(path, "/health/live" | "/health/ready") {
            return RequestAction::Reply(self.health(path, &request.method));
        }
        match self.read_query(now, request) {
            Ok(query) => RequestAction::Query(Box::new(query), ()),
            Err(error) => {
                let response = plain(error.status(), &error.to_string());
                RequestAction::Reply(match error {
                    QueryError::MethodNotAllowed => response.with("allow", "POST"),
                    _ => response,
                })
            }
        }
    }

    fn format_refusal(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::Busy(after) => retry_later(503, after),
            Refusal::Contract(ContractViolation::Rate(after)) => retry_later(429, Some(after)),
            // Its next try shall meet another broker.
            Refusal::Stopping => Response {
                keep_alive: false,
                ..retry_later(503, None)
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
            Reply::Refused(after) => retry_later(503, after),
            Reply::Failed => plain(504, "given up"),
        }
    }

    fn format_malformed(&self, status: u16, reason: &str) -> Response {
        plain(status, reason)
    }

    fn on_stop(&mut self) {
        self.is_stopping = true;
    }

    fn on_quiesce(&mut self, is_quiesced: bool) {
        self.is_quiesced = is_quiesced;
    }

    fn on_server_list(&mut self) {
        self.has_server_list = true;
    }
}

#[cfg(test)]
mod tests;

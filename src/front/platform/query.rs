//! Reads the queries of the platform's protocol: the class by the path, the terms by the headers, the
//! parts by the body.

use super::Platform;
use crate::core::Request;
use crate::http;
use crate::interface::{Micros, Placement, RetrySafety, Shard, Time};
use crate::upstream::frames::Job;
use serde::Deserialize;
use std::collections::HashSet;
use thiserror::Error;

/// Longest id and key that are taken.
const MAX_TOKEN_BYTES: usize = 200;
/// The time limit of a query is below this (milliseconds).
const DEADLINE_MS_BOUND: u64 = 1 << 32;

/// Why a request is no query.
#[derive(Debug, Error)]
pub(super) enum QueryError {
    #[error("no such class")]
    UnknownClass,
    #[error("queries are sent by POST")]
    MethodNotAllowed,
    #[error("Req-Kind is not the class of the path")]
    ClassMismatch,
    #[error("Req-Id is missing or malformed")]
    InvalidId,
    #[error("Req-Deadline-Ms is missing or malformed")]
    InvalidDeadline,
    #[error("Idempotency-Key is malformed")]
    MalformedKey,
    #[error("Idempotency-Key is missing")]
    MissingKey,
    #[error("body: {0}")]
    Body(#[from] serde_json::Error),
    #[error("Req-Id is that of another query")]
    RepeatedId,
}

impl QueryError {
    /// The status of the response.
    pub(super) fn status(&self) -> u16 {
        match self {
            QueryError::UnknownClass => 404,
            QueryError::MethodNotAllowed => 405,
            QueryError::RepeatedId => 409,
            QueryError::ClassMismatch
            | QueryError::InvalidId
            | QueryError::InvalidDeadline
            | QueryError::MalformedKey
            | QueryError::MissingKey
            | QueryError::Body(_) => 400,
        }
    }
}

/// Ids of the queries taken of late, in two generations: each is remembered for as long as a query
/// can be open, and at most twice as long.
pub(super) struct RecentIds {
    generations: [HashSet<String>; 2],
    /// When the newer generation began.
    rotated_at: Time,
    /// How long a query can be open.
    lifetime: Micros,
}

impl RecentIds {
    /// No ids yet.
    pub(super) fn new(lifetime: Micros) -> RecentIds {
        RecentIds {
            generations: Default::default(),
            rotated_at: Time(0),
            lifetime,
        }
    }

    /// Records an id; `false`: it was taken of late. Guards the query that has it: its parts are
    /// named by it.
    fn record(&mut self, now: Time, id: &str) -> bool {
        if now.since(self.rotated_at) >= self.lifetime {
            let [newer, older] = &mut self.generations;
            *older = std::mem::take(newer);
            self.rotated_at = now;
        }
        let [newer, older] = &mut self.generations;
        !older.contains(id) && newer.insert(id.to_string())
    }
}

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

impl Platform {
    /// Reads a query. Its id is recorded once all else is found right.
    pub(super) fn read_query(
        &mut self,
        now: Time,
        request: &http::Request,
    ) -> Result<Request<Job>, QueryError> {
        let class = self.class_of(request)?;
        let id = request.header("req-id").filter(|id| is_token(id));
        let id = id.ok_or(QueryError::InvalidId)?;
        // Guards what is held: no query is, longer than its class's clients wait.
        let wait = requested_wait(request)?.min(self.classes[class].deadline);
        let idempotency_key = self.idempotency_key(class, request)?;
        let body: Body = serde_json::from_slice(&request.body)?;
        if !self.recent_ids.record(now, id) {
            return Err(QueryError::RepeatedId);
        }
        let owner = request.header("req-owner");
        let tenant = self.tenants.iter().position(|name| owner == Some(name));
        let parts = body.segments.iter();
        Ok(Request {
            class,
            deadline: now.plus(wait),
            key: affinity_key(request.header("cookie"), &body.segments),
            placement: Placement::default(),
            is_retry: request.header("req-retry") == Some("1"),
            tenant: tenant.map_or(u32::MAX, |index| index as u32),
            team: owner.map(str::to_string),
            parts: parts.map(|s| (Shard(s.segment), s.boost)).collect(),
            top: None,
            job: Job {
                id: id.to_string(),
                text: body.text,
                key: idempotency_key,
            },
        })
    }

    /// The index of the class that the path names.
    fn class_of(&self, request: &http::Request) -> Result<usize, QueryError> {
        let path = request.path().trim_start_matches('/');
        let name = path.split('/').next().unwrap_or_default();
        let class = self.classes.iter().position(|class| class.name == name);
        let class = class.ok_or(QueryError::UnknownClass)?;
        if request.method != "POST" {
            return Err(QueryError::MethodNotAllowed);
        }
        if request.header("req-kind").is_some_and(|kind| kind != name) {
            return Err(QueryError::ClassMismatch);
        }
        Ok(class)
    }

    /// The idempotency key, where the class needs one.
    fn idempotency_key(
        &self,
        class: usize,
        request: &http::Request,
    ) -> Result<Option<String>, QueryError> {
        let key = request.header("idempotency-key");
        if key.is_some_and(|key| !is_token(key)) {
            return Err(QueryError::MalformedKey);
        }
        if !matches!(self.classes[class].repeat, RetrySafety::Keyed(_)) {
            return Ok(None);
        }
        let key = key.ok_or(QueryError::MissingKey)?;
        Ok(Some(key.to_string()))
    }
}

/// How long the client waits, as it says.
fn requested_wait(request: &http::Request) -> Result<Micros, QueryError> {
    let wait_ms: u64 = request
        .header("req-deadline-ms")
        .filter(|ms| ms.bytes().all(|b| b.is_ascii_digit()))
        .and_then(|ms| ms.parse().ok())
        .filter(|&ms| ms > 0 && ms < DEADLINE_MS_BOUND)
        .ok_or(QueryError::InvalidDeadline)?;
    Ok(wait_ms * 1_000)
}

/// What a query is about: its cookie `k` where it has one, or else the first affinity of its parts;
/// 0: unknown.
fn affinity_key(cookie: Option<&str>, segments: &[Segment]) -> u64 {
    let pairs = cookie.into_iter().flat_map(|c| c.split(';'));
    let key = pairs
        .filter_map(|pair| pair.trim().strip_prefix("k="))
        .next();
    let key = key.or_else(|| segments.iter().find_map(|s| s.affinity.as_deref()));
    key.and_then(|hex| u64::from_str_radix(hex, 16).ok())
        .unwrap_or(0)
}

/// Whether a text can stand in a line of a frame, where spaces and commas separate words.
fn is_token(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_graphic() && b != b',';
    !text.is_empty() && text.len() <= MAX_TOKEN_BYTES && text.bytes().all(is_allowed)
}

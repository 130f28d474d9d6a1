//! OGC API Features: a bounding box becomes one part for each slice that it crosses, and the parts
//! that come in become one feature collection, marked complete only if nothing is missing.

mod documents;
mod links;
mod page_query;
mod parameters;
mod problem;
mod response;

use self::documents::CONFORMS;
use self::links::{base, encoded, link, JSON, OPENAPI};
use self::page_query::PageQuery;
use self::parameters::{parameters, shared};
use self::problem::{problem, retry_later, Fault};
use self::response::format_reply;
use super::{Front, RequestAction};
use crate::config::Collection;
use crate::contract::ContractViolation;
use crate::core::{Refusal, Reply, Request};
use crate::decide::phases::prune::SortDirection;
use crate::http::{self, Response};
use crate::interface::{Placement, Shard, Time};
use crate::inventory::Slice;
use crate::upstream::ogc::{ExpectedBody, Job, Sort};
use percent_encoding::percent_decode_str;
use serde_json::{json, Value as Json};
use std::collections::BTreeMap;
use std::rc::Rc;

/// The front.
pub struct Ogc {
    title: String,
    collections: Vec<Collection>,
    slices: Vec<Slice>,
}

/// Features on borders, which come from two slices, that a sorted page has room for.
const BORDER_FEATURES: usize = 8;

/// What is remembered of a query until its answer.
pub enum Context {
    /// A page of features.
    Page {
        /// The collection's address.
        address: String,
        /// The parameters that its links repeat.
        repeated: Vec<(String, String)>,
        /// First feature of the page.
        offset: usize,
        /// Features of the page.
        limit: usize,
        /// Numbers and names of the slices asked.
        requested_slices: Vec<(u32, String)>,
        /// Which way it is sorted, if it is.
        way: Option<SortDirection>,
    },
    /// One feature.
    Item {
        /// The collection's address.
        address: String,
        /// The feature's id as it stands in the path.
        id: String,
        /// Numbers and names of the slices asked.
        requested_slices: Vec<(u32, String)>,
    },
}

impl Ogc {
    /// A front for these collections, over these slices.
    #[must_use]
    pub fn new(title: String, collections: Vec<Collection>, slices: Vec<Slice>) -> Self {
        Ogc {
            title,
            collections,
            slices,
        }
    }

    /// A slice's number with its name.
    fn named(&self, shard: u32) -> (u32, String) {
        (
            shard,
            self.slices
                .get(shard as usize)
                .map_or_else(String::new, |slice| slice.name.clone()),
        )
    }

    /// A page of a collection's features.
    fn page(
        &self,
        base: &str,
        collection: &Collection,
        query: &str,
    ) -> Result<(Job, Context), Fault> {
        let page = PageQuery::read(query)?;
        // One more than the page needs shows whether another page follows.
        let most = page.offset + page.limit + 1;
        let targets = self.targets(collection, &page, most);
        let context = Context::Page {
            address: format!("{base}/collections/{}", encoded(&collection.id)),
            repeated: page.repeated,
            offset: page.offset,
            limit: page.limit,
            requested_slices: targets.keys().map(|&shard| self.named(shard)).collect(),
            way: page.order.as_ref().map(|o| o.1),
        };
        let expected = match page.order {
            None => ExpectedBody::Items(most),
            Some((property, way)) => {
                // A feature on a border comes from both slices and counts once: some more make up
                // for that.
                let most = most + BORDER_FEATURES;
                ExpectedBody::Sorted {
                    sort: Rc::new(Sort {
                        property,
                        way,
                        most,
                    }),
                    most,
                    node: None,
                    all: false,
                }
            }
        };
        Ok((Job { targets, expected }, context))
    }

    /// The path and query for each slice that the box meets.
    fn targets(
        &self,
        collection: &Collection,
        page: &PageQuery,
        most: usize,
    ) -> BTreeMap<u32, String> {
        let mut targets = BTreeMap::new();
        for (shard, slice) in (0..).zip(&self.slices) {
            let area = page
                .bbox
                .map_or(Some(slice.bounds), |bbox| shared(bbox, slice.bounds));
            let Some([west, south, east, north]) = area else {
                continue;
            };
            let mut query = form_urlencoded::Serializer::new(String::new());
            query.append_pair("bbox", &format!("{west},{south},{east},{north}"));
            query.extend_pairs(page.datetime.iter().map(|d| ("datetime", d)));
            // Of a sorted answer the wire says how many: that depends on the step.
            if page.order.is_none() {
                query.append_pair("limit", &most.to_string());
            }
            let path = format!(
                "/collections/{}/items?{}",
                encoded(&collection.id),
                query.finish()
            );
            targets.insert(shard, path);
        }
        targets
    }

    /// A feature by its id may be in any slice: all are asked.
    fn item(&self, base: &str, collection: &Collection, id: &str) -> (Job, Context) {
        let (collection, id) = (encoded(&collection.id), encoded(id));
        let target = format!("/collections/{collection}/items/{id}");
        let requested_slices: Vec<(u32, String)> = (0..self.slices.len() as u32)
            .map(|shard| self.named(shard))
            .collect();
        let targets = requested_slices
            .iter()
            .map(|slice| (slice.0, target.clone()))
            .collect();
        let address = format!("{base}/collections/{collection}");
        (
            Job {
                targets,
                expected: ExpectedBody::Item,
            },
            Context::Item {
                address,
                id,
                requested_slices,
            },
        )
    }

    fn route(
        &self,
        now: Time,
        request: &http::Request,
    ) -> Result<RequestAction<Job, Context>, Fault> {
        let path = request.path();
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err(Fault::method_not_allowed("this interface is for reading"));
        }
        let base = base(request);
        let segments = segments(path)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let lookup = |id: &str| {
            let found = self.collections.iter().find(|c| c.id == id);
            found.ok_or_else(|| Fault::not_found(format!("there is no collection {id:?}")))
        };
        let plain = |kind: &str, body: Json| {
            parameters(request.query(), &["f"])?;
            Ok(RequestAction::Reply(Response::new(
                200,
                kind,
                body.to_string(),
            )))
        };
        let (collection, (job, context)) = match segments[..] {
            [] => return plain(JSON, self.landing(&base)),
            ["api"] => return plain(OPENAPI, self.api()),
            ["conformance"] => return plain(JSON, json!({"conformsTo": CONFORMS})),
            ["collections"] => {
                let all: Vec<Json> = self
                    .collections
                    .iter()
                    .map(|c| self.collection(&base, c))
                    .collect();
                let links = [link(&format!("{base}/collections"), "self", JSON)];
                return plain(JSON, json!({"links": links, "collections": all}));
            }
            ["collections", id] => return plain(JSON, self.collection(&base, lookup(id)?)),
            ["collections", id, "items"] => {
                let collection = lookup(id)?;
                (collection, self.page(&base, collection, request.query())?)
            }
            ["collections", id, "items", feature] => {
                let collection = lookup(id)?;
                parameters(request.query(), &["f"])?;
                (collection, self.item(&base, collection, feature))
            }
            _ => return Err(Fault::not_found("there is nothing here")),
        };
        if job.targets.is_empty() {
            // Nothing lies in the box: the answer is complete and empty.
            return Ok(RequestAction::Reply(format_reply(context, true, &[], &[])));
        }
        let team = request.header("req-owner").map(str::to_string);
        let request = Box::new(query_of(now, collection, job, team));
        Ok(RequestAction::Query(request, context))
    }
}

/// The segments of a path, decoded.
fn segments(path: &str) -> Result<Vec<String>, Fault> {
    path.trim_matches('/')
        .split('/')
        .filter(|segment| !segment.is_empty())
        .map(|segment| percent_decode_str(segment).decode_utf8().map(Into::into))
        .collect::<Result<_, _>>()
        .map_err(|_| Fault::bad_request("the path is no text"))
}

/// The query for a job, a part for each of its slices.
fn query_of(now: Time, collection: &Collection, job: Job, team: Option<String>) -> Request<Job> {
    let weight = 1.0 / job.targets.len() as f64;
    let top = match &job.expected {
        ExpectedBody::Sorted { sort, .. } => Some((sort.most, sort.way)),
        _ => None,
    };
    Request {
        class: if top.is_some() {
            collection.sorted
        } else {
            collection.class
        },
        deadline: now.plus(collection.wait),
        key: 0,
        placement: Placement::default(),
        is_retry: false,
        tenant: u32::MAX,
        team,
        parts: job
            .targets
            .keys()
            .map(|&shard| (Shard(shard), weight))
            .collect(),
        top,
        job,
    }
}

impl Front for Ogc {
    type Job = Job;
    type Context = Context;

    fn read_request(&mut self, now: Time, request: &http::Request) -> RequestAction<Job, Context> {
        self.route(now, request)
            .unwrap_or_else(|fault| RequestAction::Reply(fault.response()))
    }

    fn format_refusal(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::Busy(after) => retry_later(503, "Too busy", after),
            Refusal::Contract(ContractViolation::Rate(after)) => {
                retry_later(429, "Rate used up", Some(after))
            }
            Refusal::Stopping => Response {
                keep_alive: false,
                ..retry_later(503, "Stopping", None)
            },
            Refusal::Malformed(reason) => problem(400, "Malformed request", reason),
            Refusal::Contract(ContractViolation::UnknownTeam) => problem(
                403,
                "No contract",
                "Req-Owner names no team that has a contract",
            ),
            Refusal::Contract(ContractViolation::Class) => problem(
                403,
                "No contract",
                "the team's contract does not hold this class",
            ),
        }
    }

    fn format_reply(&mut self, context: Context, reply: Reply) -> Response {
        match reply {
            Reply::Served {
                whole,
                values,
                missing_shards: gaps,
            } => format_reply(context, whole, &values, &gaps),
            Reply::Refused(after) => retry_later(503, "Refused", after),
            Reply::Failed => problem(504, "Given up", "the data nodes did not answer in time"),
        }
    }

    fn format_malformed(&self, status: u16, reason: &str) -> Response {
        problem(status, "Malformed request", reason)
    }

    fn on_stop(&mut self) {}
}

#[cfg(test)]
mod tests;

//! OGC API Features: a bounding box becomes one part for each slice that it crosses, and the parts
//! that come in become one feature collection, marked complete only if nothing is missing.

mod parameters;

use self::parameters::{bounds, datetime, number, order, parameters, shared};

use super::{Front, Verdict};
use crate::config::Collection;
use crate::contract::ContractViolation;
use crate::core::{Refusal, Reply, Request, Value};
use crate::decide::phases::prune::{Key, Way};
use crate::http::{self, Response};
use crate::interface::{Micros, Placement, Shard, Time};
use crate::inventory::{Bounds, Slice};
use crate::upstream::ogc::{ExpectedBody, Feature, Job, List, Sort};
use percent_encoding::{percent_decode_str, utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Map, Value as Json};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// The front.
pub struct Ogc {
    title: String,
    collections: Vec<Collection>,
    slices: Vec<Slice>,
}

/// Features of a page where the client names no limit, and at most.
const LIMIT: usize = 10;
const LIMIT_MOST: usize = 1_000;
/// Features that paging goes through at most: each page asks the data nodes for all before it, too.
const REACH: usize = 10_000;
/// Features on borders, which come from two slices, that a sorted page has room for.
const BORDER: usize = 8;

const CONFORMS: [&str; 2] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";
const JSON: &str = "application/json";
const GEOJSON: &str = "application/geo+json";
const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";

/// What is wrong with a request: a status and a detail.
type Fault = (u16, String);

fn bad(detail: impl Into<String>) -> Fault {
    (400, detail.into())
}

fn problem(status: u16, title: &str, detail: &str) -> Response {
    let body = json!({"status": status, "title": title, "detail": detail});
    Response::new(status, "application/problem+json", body.to_string())
}

fn faulty((status, detail): Fault) -> Response {
    let title = match status {
        404 => "Not found",
        405 => "Method not allowed",
        _ => "Bad request",
    };
    let response = problem(status, title, &detail);
    if status == 405 {
        return response.with("allow", "GET, HEAD");
    }
    response
}

/// Whole seconds, as Retry-After has them, never less than the advice.
fn come_back(status: u16, title: &str, after: Option<Micros>) -> Response {
    let response = problem(status, title, "trying again is harmless");
    response.with(
        "retry-after",
        after
            .unwrap_or(1_000_000)
            .div_ceil(1_000_000)
            .max(1)
            .to_string(),
    )
}

/// Where a client's links lead: what it called this host, if that is a sound name.
fn base(request: &http::Request) -> String {
    let sound = |host: &&str| {
        !host.is_empty()
            && host
                .bytes()
                .all(|b| b.is_ascii_alphanumeric() || b"-.:[]_".contains(&b))
    };
    request
        .header("host")
        .filter(sound)
        .map(|host| format!("http://{host}"))
        .unwrap_or_default()
}

fn link(href: &str, rel: &str, kind: &str) -> Json {
    json!({"href": href, "rel": rel, "type": kind})
}

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
        way: Option<Way>,
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

    fn landing(&self, base: &str) -> Json {
        json!({
            "title": self.title,
            "links": [
                link(&format!("{base}/"), "self", JSON),
                link(&format!("{base}/api"), "service-desc", OPENAPI),
                link(&format!("{base}/conformance"), "conformance", JSON),
                link(&format!("{base}/collections"), "data", JSON),
            ],
        })
    }

    fn api(&self) -> Json {
        let get = |summary: &str, parameters: Json| {
            json!({"get": {"summary": summary, "parameters": parameters,
                "responses": {"200": {"description": "found"}, "default": {"description": "a problem"}}}})
        };
        let path = |name: &str| json!({"name": name, "in": "path", "required": true, "schema": {"type": "string"}});
        let query =
            |name: &str, kind: &str| json!({"name": name, "in": "query", "schema": {"type": kind}});
        let items = json!([
            path("collectionId"),
            query("bbox", "string"),
            query("datetime", "string"),
            query("sortby", "string"),
            query("limit", "integer"),
            query("offset", "integer")
        ]);
        json!({
            "openapi": "3.0.3",
            "info": {"title": self.title, "version": env!("CARGO_PKG_VERSION")},
            "paths": {
                "/": get("landing page", json!([])),
                "/conformance": get("conformance classes", json!([])),
                "/collections": get("collections", json!([])),
                "/collections/{collectionId}": get("a collection", json!([path("collectionId")])),
                "/collections/{collectionId}/items": get("features", items),
                "/collections/{collectionId}/items/{featureId}":
                    get("a feature", json!([path("collectionId"), path("featureId")])),
            },
        })
    }

    fn collection(&self, base: &str, collection: &Collection) -> Json {
        let fold = |all: Bounds, s: &Slice| {
            let b = s.bounds;
            [
                all[0].min(b[0]),
                all[1].min(b[1]),
                all[2].max(b[2]),
                all[3].max(b[3]),
            ]
        };
        let extent = self.slices.iter().fold([180.0, 90.0, -180.0, -90.0], fold);
        let href = format!("{base}/collections/{}", encoded(&collection.id));
        json!({
            "id": collection.id,
            "title": collection.title,
            "itemType": "feature",
            "crs": [CRS84],
            "extent": {"spatial": {"bbox": [extent], "crs": CRS84}},
            "links": [link(&href, "self", JSON), link(&format!("{href}/items"), "items", GEOJSON)],
        })
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
                let most = most + BORDER;
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

    fn route(&self, now: Time, request: &http::Request) -> Result<Verdict<Job, Context>, Fault> {
        let path = request.path();
        if !matches!(request.method.as_str(), "GET" | "HEAD") {
            return Err((405, "this interface is for reading".into()));
        }
        let base = base(request);
        let segments = segments(path)?;
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let lookup = |id: &str| {
            let found = self.collections.iter().find(|c| c.id == id);
            found.ok_or_else(|| (404, format!("there is no collection {id:?}")))
        };
        let plain = |kind: &str, body: Json| {
            parameters(request.query(), &["f"])?;
            Ok(Verdict::Reply(Response::new(200, kind, body.to_string())))
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
            _ => return Err((404, "there is nothing here".into())),
        };
        if job.targets.is_empty() {
            // Nothing lies in the box: the answer is complete and empty.
            return Ok(Verdict::Reply(format_reply(context, true, &[], &[])));
        }
        let team = request.header("req-owner").map(str::to_string);
        let request = Box::new(query_of(now, collection, job, team));
        Ok(Verdict::Take(request, context))
    }
}

/// The segments of a path, decoded.
fn segments(path: &str) -> Result<Vec<String>, Fault> {
    path.trim_matches('/')
        .split('/')
        .filter(|segment| !segment.is_empty())
        .map(|segment| percent_decode_str(segment).decode_utf8().map(Into::into))
        .collect::<Result<_, _>>()
        .map_err(|_| bad("the path is no text"))
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
        again: false,
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

/// The query of a request for a page of features.
struct PageQuery {
    /// Features of the page.
    limit: usize,
    /// Features before the page.
    offset: usize,
    /// The property that the features are sorted by, and which way.
    order: Option<(String, Way)>,
    bbox: Option<Bounds>,
    datetime: Option<String>,
    /// Parameters that links to other pages repeat.
    repeated: Vec<(String, String)>,
}

impl PageQuery {
    fn read(query: &str) -> Result<PageQuery, Fault> {
        let known = [
            "bbox", "bbox-crs", "datetime", "limit", "offset", "sortby", "f",
        ];
        let found = parameters(query, &known)?;
        if found.get("bbox-crs").is_some_and(|crs| crs != CRS84) {
            return Err(bad(format!("bbox-crs: only {CRS84}")));
        }
        let limit = number(&found, "limit", LIMIT)?;
        if limit == 0 {
            return Err(bad("limit: 1 at least"));
        }
        let limit = limit.min(LIMIT_MOST);
        let offset = number(&found, "offset", 0)?;
        if offset.saturating_add(limit) > REACH {
            return Err(bad(format!("offset: paging goes through {REACH} features")));
        }
        let order = found.get("sortby").map(|text| order(text)).transpose()?;
        let bbox = found.get("bbox").map(|text| bounds(text)).transpose()?;
        let datetime = found
            .get("datetime")
            .map(|text| datetime(text))
            .transpose()?;
        let repeated = ["bbox", "bbox-crs", "f"].iter();
        let mut repeated: Vec<(String, String)> = repeated
            .filter_map(|&name| Some((name.to_string(), found.get(name)?.clone())))
            .collect();
        repeated.extend(datetime.clone().map(|d| ("datetime".to_string(), d)));
        repeated.extend(
            found
                .get("sortby")
                .map(|sort| ("sortby".to_string(), sort.replace(' ', "+"))),
        );
        Ok(PageQuery {
            limit,
            offset,
            order,
            bbox,
            datetime,
            repeated,
        })
    }
}

/// What is encoded in a segment of a path. Dots are, so that no id climbs to another path.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'~');

fn encoded(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT).to_string()
}

/// The features of all parts in the order of their slices; one that lies on a border comes once.
fn merged(values: &[(Shard, Value)]) -> Vec<&RawValue> {
    let mut parts: Vec<&(Shard, Value)> = values.iter().collect();
    parts.sort_by_key(|p| p.0);
    let lists = parts
        .into_iter()
        .filter_map(|(_, value)| List::read(&value.bytes));
    once(lists.flat_map(|list| list.features))
}

/// Each feature once, the first time that it comes.
fn once<'a>(features: impl Iterator<Item = &'a RawValue>) -> Vec<&'a RawValue> {
    let mut seen = HashSet::new();
    // Features without an id are the same if all of them is.
    let first = |feature: &&RawValue| {
        let id = serde_json::from_str(feature.get())
            .ok()
            .and_then(|f: Feature<'_>| f.id);
        seen.insert(id.map_or((false, feature.get().to_string()), |id| {
            (true, id.get().to_string())
        }))
    };
    features.filter(first).collect()
}

/// The features of all parts in their order: by key, then by slice, then as their slice gives them;
/// one that lies on a border comes once. With it whether that is all that the slices have.
fn ranked(values: &[(Shard, Value)], way: Way) -> (Vec<&RawValue>, bool) {
    let mut found: Vec<(Key, u32, usize, &RawValue)> = Vec::new();
    let mut all = true;
    for (shard, value) in values {
        let (Some(list), Some(offer)) = (List::read(&value.bytes), &value.offer) else {
            continue;
        };
        all &= offer.matched == Some(list.features.len() as u64);
        let keyed = list.features.into_iter().zip(&offer.keys).enumerate();
        found.extend(keyed.map(|(i, (feature, key))| (key.clone(), shard.0, i, feature)));
    }
    found.sort_by(|a, b| {
        let order = a.0.compare(&b.0, way).unwrap_or(std::cmp::Ordering::Equal);
        order.then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
    });
    (once(found.into_iter().map(|f| f.3)), all)
}

/// A page as clients read it.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Page<'a> {
    r#type: &'static str,
    number_returned: usize,
    /// Told only where it is known: every slice sent all that it has.
    #[serde(skip_serializing_if = "Option::is_none")]
    number_matched: Option<usize>,
    complete: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    missing_slices: Vec<String>,
    links: Vec<Json>,
    features: Vec<&'a RawValue>,
}

/// Marks an answer in its header and, for a collection, in its body.
fn marked(response: Response, whole: bool) -> Response {
    response.with(
        "answer-completeness",
        if whole { "complete" } else { "partial" },
    )
}

/// The response to a query; `whole`: its core says that nothing is missing.
fn format_reply(
    context: Context,
    whole: bool,
    values: &[(Shard, Value)],
    gaps: &[Shard],
) -> Response {
    let missing = |requested_slices: Vec<(u32, String)>| -> Vec<String> {
        let lacks =
            |shard: u32| gaps.contains(&Shard(shard)) || !values.iter().any(|v| v.0 .0 == shard);
        requested_slices
            .into_iter()
            .filter(|slice| lacks(slice.0))
            .map(|slice| slice.1)
            .collect()
    };
    match context {
        Context::Page {
            address,
            repeated,
            offset,
            limit,
            requested_slices,
            way,
        } => {
            let links = PageLinks {
                address,
                repeated,
                offset,
                limit,
            };
            page_response(&links, way, whole, values, missing(requested_slices))
        }
        Context::Item {
            address,
            id,
            requested_slices,
        } => {
            let whole = whole && missing(requested_slices).is_empty();
            item_response(&address, &id, whole, values)
        }
    }
}

/// What the links between the pages of an answer need.
struct PageLinks {
    /// Address of the collection.
    address: String,
    /// Parameters that all pages have.
    repeated: Vec<(String, String)>,
    offset: usize,
    limit: usize,
}

impl PageLinks {
    fn href(&self, offset: usize) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        query
            .extend_pairs(&self.repeated)
            .append_pair("limit", &self.limit.to_string());
        query.append_pair("offset", &offset.to_string());
        format!("{}/items?{}", self.address, query.finish())
    }

    /// Links of a page; `counted`: features that are known, of all pages.
    fn links(&self, counted: usize) -> Vec<Json> {
        let (offset, limit) = (self.offset, self.limit);
        let mut links = vec![
            link(&self.href(offset), "self", GEOJSON),
            link(&self.address, "collection", JSON),
        ];
        if counted > offset + limit {
            links.push(link(&self.href(offset + limit), "next", GEOJSON));
        }
        if offset > 0 {
            links.push(link(
                &self.href(offset.saturating_sub(limit)),
                "prev",
                GEOJSON,
            ));
        }
        links
    }
}

fn page_response(
    links: &PageLinks,
    way: Option<Way>,
    whole: bool,
    values: &[(Shard, Value)],
    missing: Vec<String>,
) -> Response {
    let (offset, limit) = (links.offset, links.limit);
    let (features, all) = match way {
        None => (merged(values), true),
        Some(way) => ranked(values, way),
    };
    let counted = features.len();
    // Guards honesty: whatever was said before, an answer that lacks a slice is not complete, nor a
    // sorted page that features on borders have made too short while slices have more.
    let whole = whole && missing.is_empty() && (all || counted > offset + limit);
    let page: Vec<&RawValue> = features.into_iter().skip(offset).take(limit).collect();
    let body = serde_json::to_string(&Page {
        r#type: "FeatureCollection",
        number_returned: page.len(),
        number_matched: (whole && all && counted <= offset + limit).then_some(counted),
        complete: whole,
        missing_slices: missing,
        links: links.links(counted),
        features: page,
    });
    let Ok(body) = body else {
        return problem(500, "Internal error", "the page can't be written");
    };
    marked(Response::new(200, GEOJSON, body), whole)
}

fn item_response(address: &str, id: &str, whole: bool, values: &[(Shard, Value)]) -> Response {
    let found = values
        .iter()
        .find_map(|v| serde_json::from_slice::<Map<String, Json>>(&v.1.bytes).ok());
    match found {
        // One feature is complete by itself, whichever slices are missing.
        Some(mut feature) => {
            let itself = link(&format!("{address}/items/{id}"), "self", GEOJSON);
            feature.insert(
                "links".into(),
                json!([itself, link(address, "collection", JSON)]),
            );
            let body = Json::Object(feature).to_string();
            marked(Response::new(200, GEOJSON, body), true)
        }
        None if whole => problem(404, "Not found", "there is no such feature"),
        // It may be in a slice that did not answer.
        None => come_back(503, "Not all slices answered", None),
    }
}

impl Front for Ogc {
    type Job = Job;
    type Context = Context;

    fn read(&mut self, now: Time, request: &http::Request) -> Verdict<Job, Context> {
        self.route(now, request)
            .unwrap_or_else(|fault| Verdict::Reply(faulty(fault)))
    }

    fn refused(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::Busy(after) => come_back(503, "Too busy", after),
            Refusal::Contract(ContractViolation::Rate(after)) => {
                come_back(429, "Rate used up", Some(after))
            }
            Refusal::Stopping => Response {
                keep_alive: false,
                ..come_back(503, "Stopping", None)
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
                gaps,
            } => format_reply(context, whole, &values, &gaps),
            Reply::Refused(after) => come_back(503, "Refused", after),
            Reply::Failed => problem(504, "Given up", "the data nodes did not answer in time"),
        }
    }

    fn malformed(&self, status: u16, reason: &str) -> Response {
        problem(status, "Malformed request", reason)
    }

    fn stop(&mut self) {}
}

#[cfg(test)]
mod tests;

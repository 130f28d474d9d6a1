//! The wire to data nodes that speak OGC API Features: one GET for each part, one at a time on a
//! connection.

use super::{Answer, AnswerError, Wire};
use crate::core::{Dispatch, SortedElements, Value};
use crate::decide::phases::prune::{SortDirection, SortKey};
use crate::http::{self, Parsed, Response};
use crate::interface::{Micros, Outcome};
use crate::net::buffer::Buffer;
use crate::net::Owner;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::Value as Json;
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// What a data node is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The path and query for each shard; of a sorted answer without order and limit.
    pub targets: BTreeMap<u32, String>,
    /// What is expected back.
    pub expected: ExpectedBody,
}

/// How an answer is sorted.
#[derive(Clone, Debug, PartialEq)]
pub struct Sort {
    /// The property that it is sorted by.
    pub property: String,
    /// Which way.
    pub way: SortDirection,
    /// Features that are wanted.
    pub most: usize,
}

/// What is expected back.
#[derive(Clone, Debug, PartialEq)]
pub enum ExpectedBody {
    /// A feature collection with the first so many features.
    Items(usize),
    /// A feature, or none.
    Item,
    /// A feature collection with the first so many features in this order, from this data node;
    /// `all`: it can't sort, and sends all that it has.
    Sorted {
        /// The order.
        sort: Rc<Sort>,
        /// Features of it that are wanted.
        most: usize,
        /// The data node.
        node: Option<SocketAddr>,
        /// It sends all, in its own order.
        all: bool,
    },
}

impl Default for ExpectedBody {
    fn default() -> Self {
        ExpectedBody::Items(1)
    }
}

/// The wire to data nodes that speak OGC API Features.
#[derive(Default)]
pub struct Features {
    /// Data nodes that refused to sort: they are asked for all.
    unsorted: RefCell<HashSet<SocketAddr>>,
}

/// Features that a data node which can't sort is asked for; one that has more can't be sorted here.
const MAX_UNSORTED_FEATURES: usize = 10_000;
/// Data nodes that are remembered at most.
const MAX_UNSORTED_NODES: usize = 1_000;

/// Longest answer for a part.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// A feature collection whose features are not looked into.
#[derive(Deserialize)]
pub struct List<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    /// The features as they came.
    #[serde(borrow)]
    pub features: Vec<&'a RawValue>,
    #[serde(default, rename = "numberMatched")]
    matched: Option<u64>,
    #[serde(default)]
    links: Vec<Link>,
}

#[derive(Deserialize)]
struct Link {
    #[serde(default)]
    rel: String,
}

/// A feature whose properties are looked into.
#[derive(Deserialize)]
struct Sortable {
    #[serde(default)]
    properties: Option<HashMap<String, Json>>,
}

/// What a feature is sorted by.
fn sort_key(feature: &RawValue, property: &str) -> SortKey {
    let read: Option<Sortable> = serde_json::from_str(feature.get()).ok();
    match read
        .and_then(|f| f.properties)
        .and_then(|mut p| p.remove(property))
    {
        Some(Json::Number(n)) => SortKey::Number(n.as_f64().unwrap_or(f64::NAN)),
        Some(Json::String(text)) => SortKey::Text(text),
        Some(Json::Bool(flag)) => SortKey::Number(f64::from(u8::from(flag))),
        // Nothing, or what has no order.
        _ => SortKey::Missing,
    }
}

#[derive(Serialize)]
struct SortedCollection<'a> {
    r#type: &'static str,
    features: Vec<&'a RawValue>,
}

/// The value of a part of a sorted answer, with the keys of its features; `None`: it is not what
/// was asked for.
fn sorted(body: Vec<u8>, sort: &Sort, most: usize, all: bool) -> Option<Value> {
    let expected = if all { MAX_UNSORTED_FEATURES } else { most };
    let list = List::read(&body).filter(|list| !list.is_truncated(expected))?;
    if all {
        return sort_here(&list, sort);
    }
    let keys: Vec<SortKey> = list
        .features
        .iter()
        .map(|f| sort_key(f, &sort.property))
        .collect();
    // A list that stops short of what was asked for, and tells of no more, is all there is.
    let known = (keys.len() < most).then_some(keys.len() as u64);
    let matched = list.matched.or(known);
    Some(Value {
        score: 0.0,
        bytes: body,
        sorted: Some(SortedElements { keys, matched }),
    })
}

/// The value of a part whose data node can't sort, from all the features that it has; `None`: there
/// are more.
fn sort_here(list: &List<'_>, sort: &Sort) -> Option<Value> {
    let has_more = list.has_next_link()
        || list
            .matched
            .is_some_and(|count| count > MAX_UNSORTED_FEATURES as u64);
    if has_more || list.features.len() > MAX_UNSORTED_FEATURES {
        return None;
    }
    let mut found: Vec<(SortKey, &RawValue)> = list
        .features
        .iter()
        .map(|f| (sort_key(f, &sort.property), *f))
        .collect();
    found.sort_by(|a, b| {
        a.0.compare(&b.0, sort.way)
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    // All that can be wanted is here: nothing has to be asked again.
    found.truncate(sort.most);
    let matched = Some(found.len() as u64);
    let (keys, features) = found.into_iter().unzip();
    let bytes = serde_json::to_vec(&SortedCollection {
        r#type: "FeatureCollection",
        features,
    })
    .ok()?;
    Some(Value {
        score: 0.0,
        bytes,
        sorted: Some(SortedElements { keys, matched }),
    })
}

/// What tells one feature from another.
#[derive(Deserialize)]
pub struct Feature<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    /// Its id, where it has one.
    #[serde(default, borrow)]
    pub id: Option<&'a RawValue>,
}

impl<'a> List<'a> {
    /// Reads a feature collection; `None`: it is none.
    #[must_use]
    pub fn read(body: &'a [u8]) -> Option<List<'a>> {
        serde_json::from_slice(body)
            .ok()
            .filter(|list: &List<'_>| list.kind == "FeatureCollection")
    }

    /// Whether it stops short of what was asked for though there is more: then it is not the part's
    /// answer.
    fn is_truncated(&self, most: usize) -> bool {
        let count = self.features.len();
        let has_more = self.has_next_link() || self.matched.is_some_and(|n| n > count as u64);
        count < most && has_more
    }

    fn has_next_link(&self) -> bool {
        self.links.iter().any(|link| link.rel == "next")
    }
}

/// Whether a body is what was asked for.
fn is_expected(body: &[u8], expected: &ExpectedBody) -> bool {
    match *expected {
        ExpectedBody::Item => {
            serde_json::from_slice(body).is_ok_and(|f: Feature<'_>| f.kind == "Feature")
        }
        ExpectedBody::Items(most) | ExpectedBody::Sorted { most, .. } => {
            List::read(body).is_some_and(|list| !list.is_truncated(most))
        }
    }
}

/// What a response means for the attempt, and its value where it has one.
fn outcome_of(response: Response, expected: &ExpectedBody) -> (Outcome, Option<Value>) {
    let value = |bytes| {
        Some(Value {
            score: 0.0,
            bytes,
            sorted: None,
        })
    };
    match response.status {
        200 => match expected {
            ExpectedBody::Sorted {
                sort, most, all, ..
            } => match sorted(response.body, sort, *most, *all) {
                Some(value) => (Outcome::Ok, Some(value)),
                None => (Outcome::Error, None),
            },
            expected if is_expected(&response.body, expected) => {
                (Outcome::Ok, value(response.body))
            }
            _ => (Outcome::Error, None),
        },
        // This slice does not have the feature: that is an answer.
        404 if *expected == ExpectedBody::Item => (Outcome::Ok, value(Vec::new())),
        // The node rejected it; what is read may be asked elsewhere in any case.
        429 | 503 => (Outcome::Rejected, None),
        _ => (Outcome::Error, None),
    }
}

impl Features {
    /// What a part asks a data node for: of a sorted answer the best alone at first, then as many
    /// as can matter.
    fn expected_body(&self, part: &Dispatch<Job>, host: SocketAddr) -> ExpectedBody {
        let ExpectedBody::Sorted { sort, .. } = &part.job.expected else {
            return part.job.expected.clone();
        };
        let first = part.first.is_none();
        let most = if first {
            1
        } else {
            part.max_elements.unwrap_or(sort.most)
        };
        let all = self.unsorted.borrow().contains(&host);
        ExpectedBody::Sorted {
            sort: sort.clone(),
            most,
            node: Some(host),
            all,
        }
    }

    /// A data node that refuses the order as such is asked for all from then on. The part goes
    /// elsewhere, or there again, as any that ended with an error.
    fn remember_unsorted(&self, status: u16, expected: &ExpectedBody) {
        if let (
            400 | 501,
            ExpectedBody::Sorted {
                node: Some(node),
                all: false,
                ..
            },
        ) = (status, expected)
        {
            let mut unsorted = self.unsorted.borrow_mut();
            // Guards memory; what is forgotten is learnt again by one refusal.
            if unsorted.len() >= MAX_UNSORTED_NODES {
                unsorted.clear();
            }
            unsorted.insert(*node);
        }
    }
}

impl Wire for Features {
    type Job = Job;
    type Name = ExpectedBody;
    const OWNER: Owner = Owner::Features;
    const MAX_INPUT_BYTES: usize = MAX_RESPONSE_BYTES + http::MAX_HEAD_BYTES;
    const RESPONSE_TIMEOUT: Micros = 30_000_000;

    /// Each request costs the node as much as another: there is no cheaper one to begin with.
    fn greeting(&self) -> Option<Vec<u8>> {
        None
    }

    fn answer_name(&self, _: &Dispatch<Job>) -> Option<ExpectedBody> {
        None
    }

    fn encode_call(
        &self,
        parts: &[Dispatch<Job>],
        host: SocketAddr,
        output: &mut Vec<u8>,
    ) -> Vec<ExpectedBody> {
        let mut write = |part: &Dispatch<Job>| {
            let target = part
                .job
                .targets
                .get(&part.shard.0)
                .map_or("/", String::as_str);
            let expected = self.expected_body(part, host);
            let order = match &expected {
                ExpectedBody::Sorted { all: true, .. } => format!("&limit={MAX_UNSORTED_FEATURES}"),
                ExpectedBody::Sorted { sort, most, .. } => {
                    let sign = if sort.way == SortDirection::Descending {
                        "-"
                    } else {
                        ""
                    };
                    let mut query = form_urlencoded::Serializer::new(String::new());
                    query.append_pair("sortby", &format!("{sign}{}", sort.property));
                    format!("&{}&limit={most}", query.finish())
                }
                _ => String::new(),
            };
            let head = format!(
                "GET {target}{order} HTTP/1.1\r\nhost: {host}\r\naccept: application/geo+json\r\n\r\n"
            );
            output.extend_from_slice(head.as_bytes());
            expected
        };
        parts.iter().map(&mut write).collect()
    }

    fn encode_cancel(&self, _: &ExpectedBody) -> Option<Vec<u8>> {
        None
    }

    fn read_answer(
        &self,
        input: &mut Buffer,
        ended: bool,
        oldest: Option<&ExpectedBody>,
    ) -> Result<Option<Answer<ExpectedBody>>, AnswerError> {
        while !input.is_empty() {
            let expected = oldest.ok_or(AnswerError::Unrequested)?;
            match http::response(input.bytes(), ended, MAX_RESPONSE_BYTES) {
                Ok(Parsed::Complete(response, used)) => {
                    input.consume(used);
                    // An interim answer is followed by the real one.
                    if response.status >= 200 {
                        let is_last = !response.keep_alive;
                        self.remember_unsorted(response.status, expected);
                        let (outcome, value) = outcome_of(response, expected);
                        return Ok(Some(Answer {
                            part: None,
                            outcome,
                            value,
                            is_last,
                        }));
                    }
                }
                Ok(Parsed::Partial(_)) => return Ok(None),
                Err(http::MalformedMessage(_, reason)) => return Err(AnswerError::Http(reason)),
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests;

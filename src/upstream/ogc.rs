//! The wire to data nodes that speak OGC API Features: one GET for each part, one at a time on a connection.

use super::{Answer, Wire};
use crate::core::{Dispatch, Value};
use crate::http::{self, Parsed, Response};
use crate::interface::{Micros, Outcome};
use crate::net::buffer::Buffer;
use crate::net::Owner;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a data node is asked for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// The path and query for each shard.
    pub targets: BTreeMap<u32, String>,
    /// What is expected back.
    pub ask: Ask,
}

/// What is expected back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// A feature collection with the first so many features.
    Items(usize),
    /// A feature, or none.
    Item,
}

impl Default for Ask {
    fn default() -> Self {
        Ask::Items(1)
    }
}

/// The wire.
pub struct Features;

/// Longest answer for a part.
const LONGEST: usize = 1024 * 1024;

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
        serde_json::from_slice(body).ok().filter(|list: &List<'_>| list.kind == "FeatureCollection")
    }

    /// Whether it stops short of what was asked for though there is more: then it is not the part's answer.
    fn cut_short(&self, most: usize) -> bool {
        let count = self.features.len();
        let more =
            self.links.iter().any(|l| l.rel == "next") || self.matched.is_some_and(|n| n > count as u64);
        count < most && more
    }
}

/// Whether a body is what was asked for.
fn fits(body: &[u8], ask: Ask) -> bool {
    match ask {
        Ask::Item => serde_json::from_slice(body).is_ok_and(|f: Feature<'_>| f.kind == "Feature"),
        Ask::Items(most) => List::read(body).is_some_and(|list| !list.cut_short(most)),
    }
}

fn judge(response: Response, ask: Ask) -> (Outcome, Option<Value>) {
    let value = |bytes| Some(Value { score: 0.0, bytes, offer: None });
    match response.status {
        200 if fits(&response.body, ask) => (Outcome::Ok, value(response.body)),
        // This slice does not have the feature: that is an answer.
        404 if ask == Ask::Item => (Outcome::Ok, value(Vec::new())),
        // The node turned it away; what is read may be asked elsewhere in any case.
        429 | 503 => (Outcome::Rejected, None),
        _ => (Outcome::Error, None),
    }
}

impl Wire for Features {
    type Job = Job;
    type Name = Ask;
    const OWNER: Owner = Owner::Features;
    const CEILING: usize = LONGEST + http::HEAD;
    const STALL: Micros = 30_000_000;

    /// Each request costs the node as much as another: there is no cheaper one to begin with.
    fn greeting(&self) -> Option<Vec<u8>> {
        None
    }

    fn call(&self, parts: &[Dispatch<Job>], host: SocketAddr, out: &mut Vec<u8>) -> Vec<Ask> {
        let mut write = |part: &Dispatch<Job>| {
            let target = part.job.targets.get(&part.shard.0).map_or("/", String::as_str);
            let head =
                format!("GET {target} HTTP/1.1\r\nhost: {host}\r\naccept: application/geo+json\r\n\r\n");
            out.extend_from_slice(head.as_bytes());
            part.job.ask
        };
        parts.iter().map(&mut write).collect()
    }

    fn give_up(&self, _: &Ask) -> Option<Vec<u8>> {
        None
    }

    fn answer(
        &self,
        input: &mut Buffer,
        ended: bool,
        oldest: Option<&Ask>,
    ) -> Result<Option<Answer<Ask>>, String> {
        while !input.is_empty() {
            let ask = *oldest.ok_or("it sent what nobody asked for")?;
            match http::response(input.bytes(), ended, LONGEST) {
                Ok(Parsed::Whole(response, used)) => {
                    input.consume(used);
                    // An interim answer is followed by the real one.
                    if response.status >= 200 {
                        let last = !response.keep_alive;
                        let (outcome, value) = judge(response, ask);
                        return Ok(Some(Answer { part: None, outcome, value, last }));
                    }
                }
                Ok(Parsed::Partial(_)) => return Ok(None),
                Err(http::Malformed(_, why)) => return Err(why.into()),
            }
        }
        Ok(None)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{garbage, random_cuts};

    fn answered(bytes: &[u8], ask: Ask) -> Option<(Outcome, usize)> {
        let mut input = Buffer::default();
        input.push(bytes);
        let found = Features.answer(&mut input, false, Some(&ask)).ok()??;
        Some((found.outcome, bytes.len() - input.bytes().len()))
    }

    fn reply(status: u16, body: &str) -> Vec<u8> {
        Response::new(status, "application/geo+json", body).encode(true, false)
    }

    #[test]
    fn only_what_was_asked_for_is_an_answer() {
        let list = r#"{"type":"FeatureCollection","features":[{"type":"Feature","id":1}]}"#;
        let more = list.replace("]}", r#"],"links":[{"rel":"next"}]}"#);
        let known = list.replace("]}", r#"],"numberMatched":9}"#);
        let feature = r#"{"type":"Feature","id":1}"#;
        for (status, body, ask, outcome) in [
            (200, list, Ask::Items(5), Outcome::Ok),
            (200, &more, Ask::Items(1), Outcome::Ok),
            (200, &more, Ask::Items(5), Outcome::Error),
            (200, &known, Ask::Items(5), Outcome::Error),
            (200, feature, Ask::Items(5), Outcome::Error),
            (200, feature, Ask::Item, Outcome::Ok),
            (404, "", Ask::Item, Outcome::Ok),
            (404, "", Ask::Items(5), Outcome::Error),
            (503, "", Ask::Item, Outcome::Rejected),
            (500, "", Ask::Item, Outcome::Error),
            (200, "not json", Ask::Item, Outcome::Error),
        ] {
            let bytes = reply(status, body);
            assert_eq!(answered(&bytes, ask), Some((outcome, bytes.len())), "{status} {body} {ask:?}");
        }
    }

    #[test]
    fn answers_are_read_however_they_are_cut_and_garbage_never_panics() {
        let (list, none) = (reply(200, r#"{"type":"FeatureCollection","features":[]}"#), reply(500, ""));
        random_cuts(&[&list, &none], |bytes| answered(bytes, Ask::Items(5)).map(|a| a.1));
        garbage(&[&list, &none], |bytes| {
            answered(bytes, Ask::Item);
        });
        let mut input = Buffer::default();
        input.push(&list);
        assert!(Features.answer(&mut input, false, None).is_err(), "nobody asked");
    }
}

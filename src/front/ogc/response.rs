//! Responses of the OGC front: the parts of a reply merged into one page of features, or one feature.

use super::links::{link, PageLinks, GEOJSON, JSON};
use super::problem::{problem, retry_later};
use super::Context;
use crate::core::Value;
use crate::decide::phases::prune::{SortDirection, SortKey};
use crate::http::Response;
use crate::interface::Shard;
use crate::upstream::ogc::{Feature, List};
use serde::Serialize;
use serde_json::value::RawValue;
use serde_json::{json, Map, Value as Json};
use std::collections::HashSet;

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
    let mut ids_before = HashSet::new();
    // Features without an id are the same if all of them is.
    let first = |feature: &&RawValue| {
        let id = serde_json::from_str(feature.get())
            .ok()
            .and_then(|f: Feature<'_>| f.id);
        ids_before.insert(id.map_or((false, feature.get().to_string()), |id| {
            (true, id.get().to_string())
        }))
    };
    features.filter(first).collect()
}

/// The features of all parts in their order: by key, then by slice, then as their slice gives them;
/// one that lies on a border comes once. With it whether that is all that the slices have.
fn ranked(values: &[(Shard, Value)], way: SortDirection) -> (Vec<&RawValue>, bool) {
    let mut found: Vec<(SortKey, u32, usize, &RawValue)> = Vec::new();
    let mut all = true;
    for (shard, value) in values {
        let (Some(list), Some(offer)) = (List::read(&value.bytes), &value.sorted) else {
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
pub(super) fn format_reply(
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

/// A page of a collection's features.
fn page_response(
    links: &PageLinks,
    way: Option<SortDirection>,
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

/// One feature, looked for in all slices.
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
        None => retry_later(503, "Not all slices answered", None),
    }
}

//! Links of the OGC front's documents, and the media types that they name.

use crate::http;
use percent_encoding::{utf8_percent_encode, AsciiSet, NON_ALPHANUMERIC};
use serde_json::{json, Value as Json};

pub(super) const JSON: &str = "application/json";
pub(super) const GEOJSON: &str = "application/geo+json";
pub(super) const OPENAPI: &str = "application/vnd.oai.openapi+json;version=3.0";

/// Where a client's links lead: what it called this host, if that is a sound name.
pub(super) fn base(request: &http::Request) -> String {
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

/// A link of a document.
pub(super) fn link(href: &str, rel: &str, kind: &str) -> Json {
    json!({"href": href, "rel": rel, "type": kind})
}

/// What is encoded in a segment of a path. Dots are, so that no id climbs to another path.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'~');

/// `text` as one segment of a path.
pub(super) fn encoded(text: &str) -> String {
    utf8_percent_encode(text, SEGMENT).to_string()
}

/// What the links between the pages of an answer need.
pub(super) struct PageLinks {
    /// Address of the collection.
    pub(super) address: String,
    /// Parameters that all pages have.
    pub(super) repeated: Vec<(String, String)>,
    /// First feature of the page.
    pub(super) offset: usize,
    /// Features of the page.
    pub(super) limit: usize,
}

impl PageLinks {
    /// The address of the page that starts at `offset`.
    fn href(&self, offset: usize) -> String {
        let mut query = form_urlencoded::Serializer::new(String::new());
        query
            .extend_pairs(&self.repeated)
            .append_pair("limit", &self.limit.to_string());
        query.append_pair("offset", &offset.to_string());
        format!("{}/items?{}", self.address, query.finish())
    }

    /// Links of a page; `counted`: features that are known, of all pages.
    pub(super) fn links(&self, counted: usize) -> Vec<Json> {
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

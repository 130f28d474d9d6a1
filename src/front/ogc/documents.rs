//! Documents of the OGC front that no data node is asked for.

use super::links::{encoded, link, GEOJSON, JSON, OPENAPI};
use super::Ogc;
use crate::config::Collection;
use crate::inventory::{Bounds, Slice};
use serde_json::{json, Value as Json};

/// The conformance classes of OGC API Features that the front meets.
pub(super) const CONFORMS: [&str; 2] = [
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/core",
    "http://www.opengis.net/spec/ogcapi-features-1/1.0/conf/geojson",
];
/// The coordinate reference system of boxes: longitude and latitude in degrees.
pub(super) const CRS84: &str = "http://www.opengis.net/def/crs/OGC/1.3/CRS84";

impl Ogc {
    /// The landing page.
    pub(super) fn landing(&self, base: &str) -> Json {
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

    /// The OpenAPI description of this front.
    pub(super) fn api(&self) -> Json {
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

    /// A collection with the extent of all slices.
    pub(super) fn collection(&self, base: &str, collection: &Collection) -> Json {
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
}

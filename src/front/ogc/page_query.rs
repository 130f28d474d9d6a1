//! The query of a request for a page of features.

use super::documents::CRS84;
use super::parameters::{bounds, datetime, number, order, parameters};
use super::problem::Fault;
use crate::decide::phases::prune::SortDirection;
use crate::inventory::Bounds;

/// Features of a page where the client names no limit.
const DEFAULT_LIMIT: usize = 10;
/// Features of a page at most.
const MAX_LIMIT: usize = 1_000;
/// Features that paging goes through at most: each page asks the data nodes for all before it, too.
const MAX_PAGED_FEATURES: usize = 10_000;

/// The query of a request for a page of features.
pub(super) struct PageQuery {
    /// Features of the page.
    pub(super) limit: usize,
    /// Features before the page.
    pub(super) offset: usize,
    /// The property that the features are sorted by, and which way.
    pub(super) order: Option<(String, SortDirection)>,
    /// The box that features are looked for in.
    pub(super) bbox: Option<Bounds>,
    /// The instant or interval that features belong to, as the client wrote it.
    pub(super) datetime: Option<String>,
    /// Parameters that links to other pages repeat.
    pub(super) repeated: Vec<(String, String)>,
}

impl PageQuery {
    /// Reads and checks the query.
    pub(super) fn read(query: &str) -> Result<PageQuery, Fault> {
        let known = [
            "bbox", "bbox-crs", "datetime", "limit", "offset", "sortby", "f",
        ];
        let found = parameters(query, &known)?;
        if found.get("bbox-crs").is_some_and(|crs| crs != CRS84) {
            return Err(Fault::bad_request(format!("bbox-crs: only {CRS84}")));
        }
        let limit = number(&found, "limit", DEFAULT_LIMIT)?;
        if limit == 0 {
            return Err(Fault::bad_request("limit: 1 at least"));
        }
        let limit = limit.min(MAX_LIMIT);
        let offset = number(&found, "offset", 0)?;
        if offset.saturating_add(limit) > MAX_PAGED_FEATURES {
            return Err(Fault::bad_request(format!(
                "offset: paging goes through {MAX_PAGED_FEATURES} features"
            )));
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

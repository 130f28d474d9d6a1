//! Parameters of a request of the OGC front: read, and refused where they make no sense.

use super::problem::Fault;
use crate::decide::phases::prune::SortDirection;
use crate::inventory::Bounds;
use std::collections::BTreeMap;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

/// The parameters of a query: value by name.
pub(super) type Parameters = BTreeMap<String, String>;

/// Reads the parameters of a query; one that is unknown or there twice is a fault.
pub(super) fn parameters(query: &str, known: &[&str]) -> Result<Parameters, Fault> {
    let mut found = Parameters::new();
    for (name, value) in form_urlencoded::parse(query.as_bytes()) {
        if !known.contains(&&*name) {
            return Err(Fault::bad_request(format!("unknown parameter {name:?}")));
        }
        if found.insert(name.to_string(), value.to_string()).is_some() {
            return Err(Fault::bad_request(format!(
                "parameter {name:?} is there twice"
            )));
        }
    }
    match found.get("f").map(String::as_str) {
        None | Some("json" | "geojson") => Ok(found),
        Some(other) => Err(Fault::bad_request(format!(
            "f: there is no format {other:?}"
        ))),
    }
}

/// The whole number that the parameter `name` gives, or `default` where it is absent.
pub(super) fn number(found: &Parameters, name: &str, default: usize) -> Result<usize, Fault> {
    let Some(text) = found.get(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| Fault::bad_request(format!("{name}: {text:?} is no whole number")))
}

/// A bounding box of four numbers, or of six with heights, which are not looked at.
pub(super) fn bounds(text: &str) -> Result<Bounds, Fault> {
    let figures: Option<Vec<f64>> = text
        .split(',')
        .map(|f| f.trim().parse().ok().filter(|f: &f64| f.is_finite()))
        .collect();
    let found = match figures.as_deref() {
        Some([west, south, east, north]) | Some([west, south, _, east, north, _]) => {
            [*west, *south, *east, *north]
        }
        _ => {
            return Err(Fault::bad_request(
                "bbox: four or six numbers, parted by commas",
            ))
        }
    };
    if found[1] > found[3] {
        return Err(Fault::bad_request("bbox: south is north of north"));
    }
    let in_range = found[0].abs() <= 180.0 && found[2].abs() <= 180.0;
    if !in_range || found[1] < -90.0 || found[3] > 90.0 {
        return Err(Fault::bad_request(
            "bbox: beyond the degrees that there are",
        ));
    }
    Ok(found)
}

/// What a box and a slice share, borders included. A box whose west is east of its east crosses the
/// antimeridian; of a slice that it enters from both sides it gets the whole width.
pub(super) fn shared(bbox: Bounds, slice: Bounds) -> Option<Bounds> {
    let [west, south, east, north] = bbox;
    let part = |west: f64, east: f64| (west.max(slice[0]), east.min(slice[2]));
    let sound = |part: &(f64, f64)| part.0 <= part.1;
    let (low, high) = (south.max(slice[1]), north.min(slice[3]));
    let across = if west <= east {
        Some(part(west, east)).filter(sound)
    } else {
        let sides = [
            Some(part(west, 180.0)).filter(sound),
            Some(part(-180.0, east)).filter(sound),
        ];
        match sides {
            [Some(_), Some(_)] => Some((slice[0], slice[2])),
            [one, other] => one.or(other),
        }
    };
    across
        .filter(|_| low <= high)
        .map(|(west, east)| [west, low, east, high])
}

/// Checks an instant or an interval, open at one end at most with `..` or nothing.
pub(super) fn datetime(text: &str) -> Result<String, Fault> {
    // A plus that was not encoded has become a space.
    let text = text.replace(' ', "+");
    let wrong = || {
        Fault::bad_request(format!(
            "datetime: {text:?} is no RFC 3339 instant or interval"
        ))
    };
    let instant = |text: &str| OffsetDateTime::parse(text, &Rfc3339).map_err(|_| wrong());
    match text.split_once('/') {
        None => drop(instant(&text)?),
        Some((from, to)) => {
            let end = |text: &str| match text {
                "" | ".." => Ok(None),
                text => instant(text).map(Some),
            };
            let (from, to) = (end(from)?, end(to)?);
            if from.is_none() && to.is_none() || from.zip(to).is_some_and(|(from, to)| from > to) {
                return Err(wrong());
            }
        }
    }
    Ok(text)
}

/// The property that an answer is sorted by, and which way: `[+|-]property`.
pub(super) fn order(text: &str) -> Result<(String, SortDirection), Fault> {
    // A plus that was not encoded has become a space.
    let (way, property) = match text.split_at_checked(1) {
        Some(("-", property)) => (SortDirection::Descending, property),
        Some(("+" | " ", property)) => (SortDirection::Ascending, property),
        _ => (SortDirection::Ascending, text),
    };
    let sound = |c: char| c.is_alphanumeric() || "_-.:".contains(c);
    match () {
        () if property.contains(',') => {
            Err(Fault::bad_request("sortby: one property, not several"))
        }
        () if property.is_empty() || !property.chars().all(sound) => Err(Fault::bad_request(
            format!("sortby: {text:?} is no property with + or - before it"),
        )),
        () => Ok((property.to_string(), way)),
    }
}

//! Sorted answers, which take two steps.

use crate::city::{ids, next, City};
use lichenswitch_emulators::features::{compare_by_property, point_with, Behavior, FeatureServer};
use serde_json::{json, Value as Json};

/// Scooters over all slices, many with equal batteries, some without any: sixteen a slice, none on
/// a border.
fn scooters() -> Vec<Json> {
    let scooter = |i: usize| {
        let east = (i % 5) as f64 + 0.1 + (i / 5) as f64 * 0.04;
        let battery = (i * 37) % 23;
        let properties = if i.is_multiple_of(13) {
            json!({})
        } else {
            json!({"battery": battery})
        };
        point_with(&format!("s{i}"), east, 0.5, &properties)
    };
    (0..80).map(scooter).collect()
}

/// The ids that one big server would give: by battery, then by slice, then in the order of the
/// slice.
fn expected(down: bool) -> Vec<String> {
    let mut all = scooters();
    all.sort_by(|a, b| {
        let slice = |f: &Json| f["geometry"]["coordinates"][0].as_f64().unwrap() as u32;
        compare_by_property(a, b, "battery", down).then(slice(a).cmp(&slice(b)))
    });
    all.iter()
        .map(|f| f["id"].as_str().unwrap().to_string())
        .collect()
}

fn requests(city: &City) -> usize {
    city.servers
        .iter()
        .map(|s| s.received_targets().len())
        .sum()
}

#[test]
fn sorted_pages_equal_those_of_one_server_and_ask_few_slices() {
    let city = City::with("", scooters());
    for (order, down) in [
        ("battery", false),
        ("%2Bbattery", false),
        ("+battery", false),
        ("-battery", true),
    ] {
        let (mut target, mut seen_ids) = (
            format!("/collections/scooters/items?sortby={order}&limit=9"),
            Vec::new(),
        );
        loop {
            let (_, page) = city.page(&target);
            assert_eq!(page["complete"], true, "{target}");
            seen_ids.extend(ids(&page).into_iter().map(str::to_string));
            match next(&page) {
                Some(next) => target = next,
                None => break,
            }
        }
        assert_eq!(seen_ids, expected(down), "{order}");
    }
    // Five bests, then details from the slices that can have any of the first.
    let before = requests(&city);
    let (_, page) = city.page("/collections/scooters/items?sortby=-battery&limit=1&bbox=0,0,5,1");
    assert_eq!(ids(&page), expected(true)[..1]);
    assert!(requests(&city) - before <= 10);
    for bad in ["", "-", "a,b", "a%20b", "battery&sortby=battery"] {
        let target = format!("/collections/scooters/items?sortby={bad}");
        assert_eq!(city.get(&target).status, 400, "{target}");
    }
}

#[test]
fn nodes_that_cannot_sort_are_remembered_and_queried_for_all() {
    let city = City::with("", scooters());
    city.set_behavior(Behavior::CantSort);
    let target = "/collections/scooters/items?sortby=-battery&limit=12";
    let (_, page) = city.recovered_page(target);
    assert_eq!(ids(&page), expected(true)[..12]);
    let (before, sorted) = (requests(&city), |city: &City| {
        let received_targets = city
            .servers
            .iter()
            .flat_map(FeatureServer::received_targets);
        received_targets
            .filter(|target| target.contains("sortby"))
            .count()
    });
    let refused_sorts = sorted(&city);
    let (_, page) = city.recovered_page(target);
    assert_eq!(ids(&page), expected(true)[..12]);
    assert!(
        sorted(&city) - refused_sorts <= 5,
        "each node refuses once at most"
    );
    assert!(requests(&city) > before);
}

#[test]
fn sorted_answer_with_missing_details_or_wrong_bounds_is_incomplete() {
    let city = City::with("", scooters());
    // The first phase comes in whole; one slice's details never do.
    city.set_behavior(Behavior::WithholdDetails(1.0, 2.0));
    let (_, page) = city.page("/collections/network/items?sortby=-battery&limit=40");
    assert_eq!(
        (&page["complete"], &page["missingSlices"]),
        (&json!(false), &json!(["s1"]))
    );
    let answered: Vec<String> = city
        .servers
        .iter()
        .flat_map(|s| s.ledger().responded)
        .collect();
    let of_slice = answered.iter().filter(|t| t.contains("bbox=1%2C0%2C2%2C1"));
    assert!(
        of_slice.clone().count() > 0 && of_slice.clone().all(|t| t.ends_with("&limit=1")),
        "{answered:?}"
    );
    // A class that needs all parts gives none.
    assert_eq!(
        city.get("/collections/scooters/items?sortby=-battery&limit=40")
            .status,
        503
    );
    city.set_behavior(Behavior::Serve);
    assert_eq!(
        city.recovered_page("/collections/scooters/items?sortby=-battery&limit=40")
            .1["complete"],
        true
    );
    // A slice that gives more than its bound: what the answer rests on is wrong.
    city.set_behavior(Behavior::WrongBest);
    let (_, page) = city.page("/collections/network/items?sortby=-battery&limit=40");
    assert_eq!(page["complete"], false);
}

#[test]
fn second_phase_uses_the_other_replica_when_one_breaks() {
    let city = City::with("", scooters());
    city.servers[2].set_behavior(Behavior::DisconnectInSecondPhase);
    let (_, page) = city.recovered_page("/collections/scooters/items?sortby=battery&limit=30");
    assert_eq!(ids(&page), expected(false)[..30]);
    city.servers[2].set_behavior(Behavior::Malformed);
    let (_, page) = city.recovered_page("/collections/scooters/items?sortby=battery&limit=30");
    assert_eq!(ids(&page), expected(false)[..30]);
}

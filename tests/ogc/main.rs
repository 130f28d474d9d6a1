//! The OGC front on loopback, before small emulated feature servers: each answer's marking is checked
//! against the parts that were really received.

mod city;
mod sorted;

use city::{ids, next, City};
use lichenswitch_emulators::features::Behavior;
use serde_json::Value as Json;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

#[test]
fn service_description_pages_exist_and_no_others() {
    let city = City::new("");
    let json = |target: &str| -> Json {
        let response = city.get(target);
        assert_eq!(response.status, 200, "{target}");
        serde_json::from_slice(&response.body).unwrap()
    };
    let landing = json("/");
    for rel in ["self", "service-desc", "conformance", "data"] {
        let link = landing["links"]
            .as_array()
            .unwrap()
            .iter()
            .find(|l| l["rel"] == rel)
            .unwrap();
        json(
            link["href"]
                .as_str()
                .unwrap()
                .strip_prefix("http://city")
                .unwrap(),
        );
    }
    assert!(json("/conformance")["conformsTo"][0]
        .as_str()
        .unwrap()
        .ends_with("/core"));
    assert_eq!(
        json("/collections")["collections"]
            .as_array()
            .unwrap()
            .len(),
        2
    );
    assert_eq!(
        json("/collections/scooters")["extent"]["spatial"]["bbox"][0],
        serde_json::json!([0.0, 0.0, 5.0, 1.0])
    );
    for (target, status) in [
        ("/nothing", 404),
        ("/collections/nothing", 404),
        ("/collections/nothing/items", 404),
        ("/collections/scooters/items?bbox=1,2,3", 400),
        ("/collections/scooters/items?limit=0", 400),
        ("/collections/scooters/items?limit=many", 400),
        ("/collections/scooters/items?offset=-1", 400),
        ("/collections/scooters/items?datetime=yesterday", 400),
        ("/collections/scooters/items?colour=red", 400),
        ("/collections/scooters/items?bbox=0,0,1,1&bbox=0,0,2,1", 400),
        ("/collections/%ff/items", 400),
    ] {
        let response = city.get(target);
        assert_eq!(response.status, status, "{target}");
        assert_eq!(
            response.header("content-type"),
            Some("application/problem+json")
        );
    }
    let write = city.send("POST /collections/scooters/items HTTP/1.1\r\nConnection: close\r\n\r\n");
    assert_eq!(
        (write.status, write.header("allow")),
        (405, Some("GET, HEAD"))
    );
    assert!(
        city.servers.iter().all(|s| s.received_targets().is_empty()),
        "no data node was asked for any of this"
    );
}

#[test]
fn box_over_many_slices_returns_each_feature_once() {
    let city = City::new("");
    let (_, all) = city.page("/collections/scooters/items?limit=50");
    assert_eq!(
        ids(&all),
        ["f0", "f1", "f2", "f3", "f4", "f5", "f6", "f7", "f8"]
    );
    assert_eq!(
        (&all["complete"], &all["numberMatched"]),
        (&Json::Bool(true), &9.into())
    );
    let before: usize = city
        .servers
        .iter()
        .map(|s| s.received_targets().len())
        .sum();
    assert_eq!(before, 5, "one part for each slice");
    let (_, some) = city.page("/collections/scooters/items?bbox=0.4,0,1.7,1&limit=50");
    assert_eq!(ids(&some), ["f1", "f2", "f3"]);
    let after: usize = city
        .servers
        .iter()
        .map(|s| s.received_targets().len())
        .sum();
    assert_eq!(after - before, 2, "only the slices that the box crosses");
    let (_, none) = city.page("/collections/scooters/items?bbox=50,50,51,51");
    assert!(ids(&none).is_empty() && none["complete"] == true);
}

#[test]
fn pages_of_a_list_contain_every_feature_once() {
    let city = City::new("");
    let (mut target, mut seen_ids) = (
        "/collections/scooters/items?limit=2&bbox=0,0,5,1".to_string(),
        Vec::new(),
    );
    loop {
        let (_, page) = city.page(&target);
        seen_ids.extend(ids(&page).into_iter().map(str::to_string));
        match next(&page) {
            Some(next) => target = next,
            None => break,
        }
    }
    assert_eq!(
        seen_ids,
        (0..9).map(|i| format!("f{i}")).collect::<Vec<_>>()
    );
}

#[test]
fn response_without_a_withheld_part_is_partial_or_rejected() {
    let city = City::new("");
    city.set_behavior(Behavior::Withhold(3.0, 4.0));
    let (_, body) = city.page("/collections/network/items?limit=50");
    assert_eq!(body["complete"], false);
    assert_eq!(body["missingSlices"], serde_json::json!(["s3"]));
    let expected: BTreeSet<&str> = ["f0", "f1", "f2", "f3", "f4", "f5", "f7", "f8"].into();
    assert_eq!(
        ids(&body).into_iter().collect::<BTreeSet<_>>(),
        expected,
        "what the other four slices hold"
    );
    // A box that does not cross the slice is complete.
    let (_, body) = city.recovered_page("/collections/network/items?bbox=0,0,2.5,1&limit=50");
    assert_eq!(body["complete"], true);
    // Under a class that needs all parts there is no answer, and the client hears of it in its
    // time.
    let began = Instant::now();
    let response = city.get("/collections/scooters/items?limit=50");
    assert_eq!(response.status, 503);
    assert!(
        response
            .header("retry-after")
            .unwrap()
            .parse::<u32>()
            .unwrap()
            >= 1
    );
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "within its time, with ample room for a busy machine"
    );
    // Two of five slices missing are more than the class may leave out.
    city.set_behavior(Behavior::Withhold(2.0, 4.0));
    assert_eq!(city.get("/collections/network/items?limit=50").status, 503);
    city.set_behavior(Behavior::Serve);
    assert_eq!(
        city.recovered_page("/collections/network/items?limit=50").1["complete"],
        true
    );
}

#[test]
fn rejecting_or_failing_servers_lead_to_a_rejection_with_retry_advice() {
    let city = City::new("");
    for behavior in [Behavior::Busy, Behavior::Fail] {
        city.set_behavior(behavior);
        let response = city.get("/collections/scooters/items");
        assert_eq!(response.status, 503, "{behavior:?}");
        assert!(response.header("retry-after").is_some());
        assert_eq!(
            response.header("content-type"),
            Some("application/problem+json")
        );
    }
    // One server that fails is made good by the other replica of its slices.
    city.set_behavior(Behavior::Serve);
    city.servers[2].set_behavior(Behavior::Fail);
    assert_eq!(
        city.recovered_page("/collections/scooters/items?limit=50")
            .1["complete"],
        true
    );
}

#[test]
fn feature_absence_is_reported_only_when_certain() {
    let city = City::new("");
    let found = city.get("/collections/scooters/items/f3");
    let body: Json = serde_json::from_slice(&found.body).unwrap();
    assert_eq!(
        (found.status, &body["id"], &body["type"]),
        (200, &"f3".into(), &"Feature".into())
    );
    assert_eq!(city.get("/collections/scooters/items/nothing").status, 404);
    city.set_behavior(Behavior::Withhold(0.0, 5.0));
    let unsure = city.get("/collections/network/items/nothing");
    assert!(
        unsure.status == 503 && unsure.header("retry-after").is_some(),
        "{}",
        unsure.status
    );
}

#[test]
fn teams_are_held_to_their_contracts() {
    let city = City::new("teams:\n  - {name: coast, classes: fleet-search, rate: 0.01}\n");
    let send_as = |owner: &str, collection: &str| {
        city.send(&format!(
            "GET /collections/{collection}/items HTTP/1.1\r\n{owner}Connection: close\r\n\r\n"
        ))
    };
    assert_eq!(send_as("", "scooters").status, 403);
    assert_eq!(send_as("Req-Owner: inland\r\n", "scooters").status, 403);
    assert_eq!(send_as("Req-Owner: coast\r\n", "network").status, 403);
    assert_eq!(send_as("Req-Owner: coast\r\n", "scooters").status, 200);
    let over = send_as("Req-Owner: coast\r\n", "scooters");
    assert!(over.status == 429 && over.header("retry-after").is_some());
}

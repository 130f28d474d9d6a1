//! The OGC front on loopback, before small stand-in feature servers: each answer's marking is
//! checked against the parts that were really received.

use lichenswitch::broker::Broker;
use lichenswitch::config::{Ogc, Operators};
use lichenswitch::http::{self, Parsed, Response};
use lichenswitch_emulators::features::{
    compare_by_property, point, point_with, Behavior, FeatureServer,
};
use serde_json::{json, Value as Json};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"allowed":{"maxAttempts":4,"mostHeld":500,"mayCancel":true,"secondCopies":true,
    "retryAfter":true,"maxRetryAfterUs":2000000,"maxStreams":32},
    "classes":[
      {"name":"network-report","objectiveUs":600000,"deadlineUs":3000000,"idempotency":"retryable","gain":3.0,
        "lateShare":0.1},
      {"name":"fleet-search","objectiveUs":600000,"deadlineUs":3000000,"idempotency":"retryable","gain":1.0,
        "lateShare":0.1}],
    "discovery":"subscribe","resolutionUs":5000,
    "familyInfo":{"partsACall":8,"sets":9,"width":2,"classFetch":[5,0],"classPartial":[0.8,0.9],
      "minShare":[0.8,1.0],"needByClass":[1.0,1.0]}}"#;

/// Five slices side by side, one degree wide, each held by two of five servers that know all
/// features.
struct City {
    address: SocketAddr,
    servers: Vec<FeatureServer>,
    stop: Option<UnixStream>,
    broker: Option<thread::JoinHandle<()>>,
    folder: PathBuf,
}

/// Where the features lie; whole numbers are borders of slices.
const EAST_COORDINATES: [f64; 9] = [0.2, 0.5, 1.0, 1.5, 2.0, 2.5, 3.5, 4.2, 4.8];

impl City {
    fn new(teams: &str) -> City {
        let point = |(i, &east): (usize, &f64)| point(&format!("f{i}"), east, 0.5);
        City::with(
            teams,
            EAST_COORDINATES.iter().enumerate().map(point).collect(),
        )
    }

    fn with(teams: &str, features: Vec<Json>) -> City {
        let listeners: Vec<TcpListener> = (0..5)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let mut inventory = "zones:\n  - name: z\ncells:\n".to_string();
        (0..5).for_each(|i| inventory += &format!("  - name: c{i}\n"));
        inventory += "slices:\n";
        for i in 0..5 {
            inventory += &format!(
                "  - {{name: s{i}, west: {i}, south: 0, east: {}, north: 1}}\n",
                i + 1
            );
        }
        inventory += "nodes:\n";
        for (i, listener) in listeners.iter().enumerate() {
            let address = listener.local_addr().unwrap();
            inventory +=
                &format!("  - {{name: n{i}, address: \"{address}\", cell: c{i}, zone: z}}\n");
        }
        inventory += teams;
        let front = "ogc:\n  listen: 127.0.0.1:0\n  inventory: inventory.yaml\n  settings: settings.json\n  \
            collections:\n    \
            - {id: scooters, class: fleet-search, wait_ms: 1200}\n    \
            - {id: network, class: network-report, wait_ms: 1200}\n";
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("lichenswitch-ogc-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        for (name, text) in [
            ("lichenswitch.yaml", front),
            ("inventory.yaml", &inventory),
            ("settings.json", SETTINGS),
        ] {
            std::fs::write(folder.join(name), text).unwrap();
        }
        let servers = listeners
            .into_iter()
            .map(|l| FeatureServer::start(l, features.clone()))
            .collect();
        let (stop, signal) = UnixStream::pair().unwrap();
        let (address_sender, address) = mpsc::channel();
        let path = folder.join("lichenswitch.yaml");
        let broker = thread::spawn(move || {
            let front = Ogc::load(&Operators::load(&path).unwrap(), None)
                .unwrap()
                .unwrap();
            let mut broker = Broker::new(None, Some(front)).unwrap();
            broker.stop_on(signal).unwrap();
            address_sender.send(broker.addresses()[0].1).unwrap();
            broker.run().unwrap();
        });
        let address = address.recv().unwrap();
        City {
            address,
            servers,
            stop: Some(stop),
            broker: Some(broker),
            folder,
        }
    }

    fn set_behavior(&self, behavior: Behavior) {
        self.servers.iter().for_each(|s| s.set_behavior(behavior));
    }

    fn send(&self, request: &str) -> Response {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        stream.write_all(request.as_bytes()).unwrap();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).unwrap();
        match http::response(&bytes, true, 1 << 24) {
            Ok(Parsed::Complete(response, _)) => response,
            other => panic!("{other:?} for {request}"),
        }
    }

    fn get(&self, target: &str) -> Response {
        self.send(&format!(
            "GET {target} HTTP/1.1\r\nHost: city\r\nConnection: close\r\n\r\n"
        ))
    }

    /// A whole page of a city that was ill a moment ago: while its servers are taken to be slow,
    /// queries are refused.
    fn recovered_page(&self, target: &str) -> (Response, Json) {
        for _ in 0..100 {
            let response = self.get(target);
            if response.header("answer-completeness") == Some("complete") {
                return self.checked(target, response);
            }
            thread::sleep(Duration::from_millis(100));
        }
        panic!("{target}: never whole again");
    }

    fn page(&self, target: &str) -> (Response, Json) {
        self.checked(target, self.get(target))
    }

    fn checked(&self, target: &str, response: Response) -> (Response, Json) {
        assert_eq!(
            response.status,
            200,
            "{target}: {}",
            String::from_utf8_lossy(&response.body)
        );
        let body: Json = serde_json::from_slice(&response.body).unwrap();
        let features = body["features"].as_array().unwrap().len();
        assert_eq!(body["numberReturned"], features, "numberReturned is true");
        // The two marks agree, and only a whole answer knows how many match.
        let complete = body["complete"].as_bool().unwrap();
        assert_eq!(
            response.header("answer-completeness"),
            Some(if complete { "complete" } else { "partial" })
        );
        assert!(complete || body.get("numberMatched").is_none());
        (response, body)
    }
}

impl Drop for City {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.broker.take().map(thread::JoinHandle::join);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ids(body: &Json) -> Vec<&str> {
    body["features"]
        .as_array()
        .unwrap()
        .iter()
        .map(|f| f["id"].as_str().unwrap())
        .collect()
}

fn next(body: &Json) -> Option<String> {
    let links = body["links"].as_array().unwrap();
    let next = links.iter().find(|l| l["rel"] == "next")?;
    Some(
        next["href"]
            .as_str()
            .unwrap()
            .strip_prefix("http://city")
            .unwrap()
            .to_string(),
    )
}

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

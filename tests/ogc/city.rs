//! A broker with the OGC front on loopback, before five emulated feature servers.

use lichenswitch::broker::Broker;
use lichenswitch::config::{Ogc, Operators};
use lichenswitch::http::{self, Parsed, Response};
use lichenswitch_emulators::features::{point, Behavior, FeatureServer};
use serde_json::Value as Json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

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
pub struct City {
    address: SocketAddr,
    pub servers: Vec<FeatureServer>,
    stop: Option<UnixStream>,
    broker: Option<thread::JoinHandle<()>>,
    folder: PathBuf,
}

/// Where the features lie; whole numbers are borders of slices.
const EAST_COORDINATES: [f64; 9] = [0.2, 0.5, 1.0, 1.5, 2.0, 2.5, 3.5, 4.2, 4.8];

impl City {
    pub fn new(teams: &str) -> City {
        let point = |(i, &east): (usize, &f64)| point(&format!("f{i}"), east, 0.5);
        City::with(
            teams,
            EAST_COORDINATES.iter().enumerate().map(point).collect(),
        )
    }

    pub fn with(teams: &str, features: Vec<Json>) -> City {
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

    pub fn set_behavior(&self, behavior: Behavior) {
        self.servers.iter().for_each(|s| s.set_behavior(behavior));
    }

    pub fn send(&self, request: &str) -> Response {
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

    pub fn get(&self, target: &str) -> Response {
        self.send(&format!(
            "GET {target} HTTP/1.1\r\nHost: city\r\nConnection: close\r\n\r\n"
        ))
    }

    /// A whole page of a city that was ill a moment ago: while its servers are taken to be slow,
    /// queries are refused.
    pub fn recovered_page(&self, target: &str) -> (Response, Json) {
        for _ in 0..100 {
            let response = self.get(target);
            if response.header("answer-completeness") == Some("complete") {
                return self.checked(target, response);
            }
            thread::sleep(Duration::from_millis(100));
        }
        panic!("{target}: never whole again");
    }

    pub fn page(&self, target: &str) -> (Response, Json) {
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

/// The ids of the features of a page, in order.
pub fn ids(body: &Json) -> Vec<&str> {
    body["features"]
        .as_array()
        .unwrap()
        .iter()
        .map(|f| f["id"].as_str().unwrap())
        .collect()
}

/// The target of the next page, if there is one.
pub fn next(body: &Json) -> Option<String> {
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

//! Tests of `peers`.

use super::*;
use crate::testing::Folder;

fn load(text: &str) -> Result<Option<PeersConfig>, OperatorsError> {
    let folder = Folder::new(&[("f.yaml", text)]);
    PeersConfig::load(&Operators::load(&folder.path().join("f.yaml"))?, None)
}

const SOUND: &str = "peers:\n  cluster: c\n  listen: 127.0.0.1:9000\n  name: n0\n  zone: a\n  known:\n    \
        - {name: n0, address: \"127.0.0.1:9000\"}\n    - {name: n1, address: \"127.0.0.1:9001\", zone: b}\n";

#[test]
fn section_is_read_with_its_defaults_and_without_the_broker_itself() {
    assert_eq!(load("phases:\n  explain: false\n").unwrap(), None);
    let peers = load(SOUND).unwrap().unwrap();
    assert_eq!(
        (peers.known.len(), peers.known[0].name.as_str(), peers.swim),
        (1, "n1", SwimConfig::default())
    );
    assert_eq!(peers.own.address, peers.listen);
    let quick = load(&format!("{SOUND}  probe_ms: 100\n  suspicion_ms: 400\n"))
        .unwrap()
        .unwrap();
    assert_eq!(
        (
            quick.swim.probe_interval,
            quick.swim.probe_timeout,
            quick.swim.suspicion_timeout
        ),
        (100_000, 30_000, 400_000)
    );
}

#[test]
fn error_names_line_and_key() {
    let long = "n".repeat(MAX_NAME_BYTES + 1);
    let cases = [
        (
            "cluster: c",
            "cluster: \"\"",
            "f.yaml:2: cluster: \"\" has not 1 to 64 bytes",
        ),
        ("name: n1", &format!("name: {long}"), "f.yaml:8: name: "),
        (
            "listen: 127.0.0.1:9000",
            "listen: here",
            "f.yaml:3: peers: listen: \"here\" is no address",
        ),
        (
            "listen: 127.0.0.1:9000",
            "listen: 0.0.0.0:9000",
            "f.yaml:3: advertise: missing",
        ),
        (
            "listen: 127.0.0.1:9000",
            "listen: 127.0.0.1:0",
            "f.yaml:3: listen: 127.0.0.1:0 is nowhere",
        ),
        (
            "127.0.0.1:9001",
            "0.0.0.0:9001",
            "f.yaml:8: address: 0.0.0.0:9001 is nowhere",
        ),
        (
            "name: n1",
            "name: n0",
            "f.yaml:8: name: \"n0\" is there twice",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  probe_ms: 1\n",
            "f.yaml:6: probe_ms: 1 is not within 20 to 60000",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  suspicion_ms: 900\n",
            "f.yaml:6: suspicion_ms: 900 ms is less than two probes",
        ),
        ("  zone: a\n", "", "zone: missing, and so is NODE_CONFIG"),
        (
            "  zone: a\n",
            "  zone: a\n  voters: [n0, n1]\n",
            "f.yaml:6: voters: 2 are named, 3 to 7 can agree",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  voters: [n0, n1, n9]\n",
            "f.yaml:6: voters: \"n9\" is not among known: nobody could find it",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  voters: [n0, n1, n1]\n",
            "f.yaml:6: voters: \"n1\" is there twice",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  duties: [d]\n",
            "f.yaml:6: duties: there are no voters to agree",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  folder: \"\"\n",
            "f.yaml:6: folder: it names no folder",
        ),
        (
            "  zone: a\n",
            "  zone: a\n  lease_ms: 5\n",
            "f.yaml:6: lease_ms: 5 is not within 500 to 600000",
        ),
        ("  zone: a\n", "  zone: a\n  colour: red\n", "f.yaml:6: "),
    ];
    for (from, to, reason) in cases {
        let error = load(&SOUND.replacen(from, to, 1)).unwrap_err().to_string();
        assert!(error.contains(reason), "{error}, not {reason}");
    }
}

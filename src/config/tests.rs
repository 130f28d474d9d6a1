use super::*;
use crate::interface::{Discovery, Layout, RetrySafety};
use crate::testing::Folder;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":4096},
    "known":{"generation":41,"reset":true,"instances":[]},
    "settings":{"allowed":{"maxStreams":32,"connIdleUs":7,"connectTimeoutUs":9,"mostHeld":5},
      "classes":[{"name":"a","objectiveUs":1,"deadlineUs":2,"idempotency":"retryable","gain":1.0}],
      "discovery":"subscribe","zones":["z"],
      "familyInfo":{"partsACall":8,"sets":12,"width":2,"classFetch":[0],"classPartial":[0.8],
        "minShare":[1.0],"needByClass":[1.0]}}}"#;

fn parse(text: &str) -> Result<Platform, String> {
    Platform::parse(text, |_| None).map_err(|error| error.to_string())
}

#[test]
fn the_documented_configuration_is_read() {
    let read = parse(CONFIG).unwrap();
    assert_eq!(
        (read.name.as_str(), read.seed, read.sockets, read.memory),
        ("n3", 0x8c1f_30d2_7a5b_e964, 1_024, 192 << 20)
    );
    assert_eq!(
        read.connections,
        Connections {
            max_streams: 32,
            connect_timeout: 9,
            idle_timeout: 7
        }
    );
    assert_eq!(
        (read.classes, read.zones),
        (vec!["a".to_string()], vec!["z".to_string()])
    );
    assert_eq!(read.known.unwrap().generation, 41);
}

#[test]
fn tenants_and_drain_rule_are_read_with_defaults() {
    let read = parse(CONFIG).unwrap();
    assert_eq!(
        (
            read.stop_within,
            read.tenants.len(),
            read.settings.over_quota
        ),
        (2_000_000, 0, 1.0)
    );
    let tenants = r#""settings":{"rules":{"stopSendingWithinUs":500000},"overShareWorth":0.2,
        "tenants":[{"name":"a","portion":0.6,"quotaPerS":12.5},{"name":"b","portion":0.4,"quotaPerS":8}],"#;
    let read = parse(&CONFIG.replace(r#""settings":{"#, tenants)).unwrap();
    assert_eq!(
        (read.stop_within, read.tenants),
        (500_000, vec!["a".to_string(), "b".to_string()])
    );
    assert_eq!(
        (read.settings.quotas, read.settings.over_quota),
        (vec![12.5, 8.0], 0.2)
    );
    let faulty = tenants.replace("12.5", "-1");
    let error = parse(&CONFIG.replace(r#""settings":{"#, &faulty)).unwrap_err();
    assert_eq!(error, "settings: quotaPerS is -1");
}

#[test]
fn keyed_window_leaves_time_for_a_connection() {
    let keyed = |connect: &str, window: &str| {
        let class = format!(r#""idempotency":"dedup","windowUs":{window}"#);
        let text = CONFIG.replace(r#""idempotency":"retryable""#, &class);
        let text = text.replace(
            r#""connectTimeoutUs":9"#,
            &format!(r#""connectTimeoutUs":{connect}"#),
        );
        parse(&text).unwrap().settings.classes[0].retry_safety
    };
    assert_eq!(keyed("250000", "2000000"), RetrySafety::Keyed(1_650_000));
    assert_eq!(
        keyed("250000", "300000"),
        RetrySafety::Keyed(0),
        "never repeated where it may have run"
    );
}

#[test]
fn messages_name_the_faulty_key() {
    for (good, bad, key) in [
        (
            r#""listen":"127.0.0.1:8080""#,
            r#""listen":"here""#,
            "listen",
        ),
        (r#""listen":"127.0.0.1:8080","#, "", "NODE_LISTEN"),
        ("8c1f30d27a5be964", "seed", "seed"),
        ("4096", "3", "limits.sockets"),
        ("192", "15", "limits.memory_mb"),
        (r#""name":"a","#, "", "classes[0].name"),
        (r#""sets":12,"#, "", "sets"),
        ("retryable", "maybe", "idempotency"),
        (
            r#""discovery":"subscribe""#,
            r#""discovery":"dream""#,
            "discovery",
        ),
    ] {
        let error = parse(&CONFIG.replacen(good, bad, 1)).unwrap_err();
        assert!(error.contains(key), "{error:?} does not name {key}");
    }
}

#[test]
fn the_environment_stands_in_for_what_the_file_lacks() {
    let text = CONFIG.replacen(r#""listen":"127.0.0.1:8080","#, "", 1);
    let env = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:9".to_string());
    assert_eq!(Platform::parse(&text, env).unwrap().listen.port(), 9);
    assert!(Platform::from_env(|_| None).unwrap().is_none());
    let missing = |name: &str| (name == "NODE_CONFIG").then(|| "/no/such/file".to_string());
    assert!(Platform::from_env(missing)
        .unwrap_err()
        .to_string()
        .contains("NODE_CONFIG"));
}

const FRONT: &str = include_str!("../../examples/lichenswitch.yaml");
const INVENTORY: &str = include_str!("../../examples/inventory.yaml");
const SETTINGS: &str = include_str!("../../examples/settings.json");

fn front(text: &str) -> Result<Option<Ogc>, String> {
    let files = [
        ("lichenswitch.yaml", text),
        ("inventory.yaml", INVENTORY),
        ("settings.json", SETTINGS),
    ];
    let folder = Folder::new(&files);
    Ogc::load(
        &Operators::load(&folder.path().join("lichenswitch.yaml")).map_err(|e| e.to_string())?,
        None,
    )
    .map_err(|error| error.to_string())
}

#[test]
fn the_example_of_the_ogc_front_is_sound() {
    let read = front(FRONT).unwrap().unwrap();
    assert_eq!(
        read.settings.layout,
        Layout {
            cells: 5,
            width: 2,
            shards: 5,
            parts_a_call: 1
        }
    );
    assert_eq!(read.settings.discovery, Discovery::Push);
    let waits: Vec<u64> = read.collections.iter().map(|c| c.wait).collect();
    assert_eq!(waits, [3_000_000, 7_500_000]);
    assert!(read.contracts.is_empty());
}

#[test]
fn the_ogc_front_is_off_on_the_platform() {
    assert!(front(include_str!("../../deploy/lichenswitch.yaml"))
        .unwrap()
        .is_none());
}

#[test]
fn faulty_ogc_section_is_named_by_line_and_key() {
    for (good, bad, expected) in [
        ("127.0.0.1:8090", "here", "lichenswitch.yaml:3: listen"),
        (
            "class: fleet-search",
            "class: ride-close",
            "lichenswitch.yaml:12: class: \"ride-close\" is for writes",
        ),
        (
            "class: fleet-search",
            "class: rides",
            "lichenswitch.yaml:12: class",
        ),
        (
            "wait_ms: 3000",
            "wait_ms: 4001",
            "lichenswitch.yaml:13: wait_ms",
        ),
        ("id: network", "id: scooters", "lichenswitch.yaml:14: id"),
        (
            "replicas: 2",
            "replicas: 6",
            "lichenswitch.yaml:7: replicas",
        ),
        ("zone: zagreb-1", "zone: split", "lichenswitch.yaml:8: zone"),
        ("  inventory: inventory.yaml\n", "", "inventory: missing"),
        ("  settings: settings.json\n", "", "settings: missing"),
        ("title: Scooters of", "colour: Scooters of", "colour"),
    ] {
        let error = front(&FRONT.replacen(good, bad, 1)).unwrap_err();
        assert!(error.contains(expected), "{error:?} for {bad:?}");
    }
}

#[test]
fn a_budget_of_attempts_reaches_the_module() {
    let teams =
        "teams:\n  - {name: coast, attempts_least: 3, attempts_share: 0.1, attempts_window_s: 5}\n";
    let inventory = INVENTORY.to_string() + teams;
    let files = [
        ("lichenswitch.yaml", FRONT),
        ("inventory.yaml", &inventory),
        ("settings.json", SETTINGS),
    ];
    let folder = Folder::new(&files);
    let operators = Operators::load(&folder.path().join("lichenswitch.yaml")).unwrap();
    let read = Ogc::load(&operators, None).unwrap().unwrap();
    let budget = read.settings.limits.budget.unwrap();
    assert_eq!(
        (budget.window, budget.min_retries, budget.share),
        (5_000_000, 3.0, 0.1)
    );
}

const TWO_STEPS: &str = r#"{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{
    "classes":[{"name":"report","objectiveUs":2500000,"deadlineUs":7500000,"idempotency":"retryable","gain":3.0},
      {"name":"search","objectiveUs":1500000,"deadlineUs":4000000,"idempotency":"retryable","gain":1.0}],
    "discovery":"subscribe","familyInfo":{"partsACall":8,"sets":12,"width":2,"classFetch":[5,0],
      "classPartial":[0.8,0.9],"minShare":[0.8,1.0],"needByClass":[1.0,1.0]}}}"#;

fn phases(text: &str) -> Result<Platform, String> {
    let folder = Folder::new(&[("lichenswitch.yaml", text)]);
    parse(TWO_STEPS)?
        .apply(
            &Operators::load(&folder.path().join("lichenswitch.yaml"))
                .map_err(|e| e.to_string())?,
        )
        .map_err(|error| error.to_string())
}

#[test]
fn two_phases_are_planned_only_for_the_classes_that_the_file_names() {
    for off in ["", "# nothing\n", "ogc:\n  listen: null\n"] {
        assert_eq!(phases(off).unwrap().phases, Phases::default(), "{off:?}");
    }
    let section =
        "phases:\n  explain: true\n  classes:\n    - {class: report, first_share: 0.5, prune: false}\n";
    let read = phases(section).unwrap();
    let rules = read.phases.rules[0].as_ref().unwrap();
    assert_eq!(
        (rules.wanted, rules.latency_target, rules.floor),
        (5, 2_500_000, 0.8),
        "the rest follows the class"
    );
    assert_eq!(
        (rules.probability, rules.first_share, rules.prune),
        (0.9, 0.5, false)
    );
    assert_eq!(
        (
            read.settings.classes[0].first_share,
            read.settings.classes[1].first_share
        ),
        (0.5, 0.6)
    );
    assert!(read.phases.explain && read.phases.rules[1].is_none());
    assert!(
        Operators::from_env(|_| Some("/no/such/file".into())).is_err(),
        "one that is named has to be there"
    );
}

#[test]
fn faulty_phase_rules_are_named_by_line_and_key() {
    let good =
        "phases:\n  classes:\n    - class: report\n      probability: 0.9\n      least_gain: 0.1\n";
    assert!(phases(good).is_ok());
    for (part, bad, expected) in [
        (
            "report",
            "ride",
            "lichenswitch.yaml:3: class: there is no class \"ride\"",
        ),
        (
            "report",
            "search",
            "lichenswitch.yaml:3: class: \"search\" has no second phase",
        ),
        (
            "0.9",
            "1.5",
            "lichenswitch.yaml:4: probability: 1.5 is not between 0 and 1",
        ),
        ("0.9", "-0.1", "lichenswitch.yaml:4: probability"),
        ("0.9", ".nan", "lichenswitch.yaml:4: probability"),
        ("0.9", "high", "lichenswitch.yaml:4"),
        ("0.1", "1", "lichenswitch.yaml:5: least_gain"),
        ("least_gain", "gain", "gain"),
        ("phases", "phase", "phase"),
        (
            "0.1\n",
            "0.1\n    - class: report\n",
            "lichenswitch.yaml:6: class: \"report\" is there twice",
        ),
    ] {
        let error = phases(&good.replacen(part, bad, 1)).unwrap_err();
        assert!(error.contains(expected), "{error:?} for {bad:?}");
    }
}

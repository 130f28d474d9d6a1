use super::*;

const CONFIG: &str = r#"{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500",
    "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":4096},
    "known":{"generation":41,"reset":true,"instances":[]},
    "settings":{"allowed":{"maxStreams":32,"connIdleUs":7,"connectTimeoutUs":9,"mostHeld":5},
      "classes":[{"name":"a","objectiveUs":1,"deadlineUs":2,"idempotency":"retryable","gain":1.0}],
      "discovery":"subscribe","zones":["z"],
      "familyInfo":{"partsACall":8,"sets":12,"width":2,"classFetch":[0],"classPartial":[0.8],
        "minShare":[1.0],"needByClass":[1.0]}}}"#;

fn parse(text: &str) -> Result<Platform, String> {
    Platform::parse(text, |_| None)
}

#[test]
fn the_documented_configuration_is_read() {
    let read = parse(CONFIG).unwrap();
    assert_eq!((read.name.as_str(), read.seed, read.sockets), ("n3", 0x8c1f_30d2_7a5b_e964, 1_024));
    assert_eq!(read.connections, Connections { streams: 32, connect: 9, idle: 7 });
    assert_eq!((read.classes, read.zones), (vec!["a".to_string()], vec!["z".to_string()]));
    assert_eq!(read.known.unwrap().generation, 41);
}

#[test]
fn messages_name_the_faulty_key() {
    for (good, bad, key) in [
        (r#""listen":"127.0.0.1:8080""#, r#""listen":"here""#, "listen"),
        (r#""listen":"127.0.0.1:8080","#, "", "NODE_LISTEN"),
        ("8c1f30d27a5be964", "seed", "seed"),
        ("4096", "3", "limits.sockets"),
        (r#""name":"a","#, "", "classes[0].name"),
        (r#""sets":12,"#, "", "sets"),
        ("retryable", "maybe", "idempotency"),
        (r#""discovery":"subscribe""#, r#""discovery":"dream""#, "discovery"),
    ] {
        let told = parse(&CONFIG.replacen(good, bad, 1)).unwrap_err();
        assert!(told.contains(key), "{told:?} does not name {key}");
    }
}

#[test]
fn the_environment_stands_in_for_what_the_file_lacks() {
    let text = CONFIG.replacen(r#""listen":"127.0.0.1:8080","#, "", 1);
    let env = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:9".to_string());
    assert_eq!(Platform::parse(&text, env).unwrap().listen.port(), 9);
    assert!(Platform::from_env(|_| None).unwrap().is_none());
    let missing = |name: &str| (name == "NODE_CONFIG").then(|| "/no/such/file".to_string());
    assert!(Platform::from_env(missing).unwrap_err().contains("NODE_CONFIG"));
}

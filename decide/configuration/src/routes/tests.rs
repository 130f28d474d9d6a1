//! Tests of `routes`.

use super::*;
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests: a failure comes again with the same command.
const SEED: u64 = 0x5eed_0004;

/// A lookup of routes that are named by their host and prefix.
fn routes(places: &[(&str, &str)]) -> Routes {
    let routes: Vec<String> = places
        .iter()
        .map(|(host, prefix)| {
            format!(r#"{{"name":"{host}{prefix}","host":"{host}","pathPrefix":"{prefix}","service":"s"}}"#)
        })
        .collect();
    let text = format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"t\"}},{{\"name\":\"s\"}}]}}",
        routes.join(",")
    );
    Routes::new(Arc::new(Document::parse(text.as_bytes()).expect("valid")))
}

fn found<'a>(routes: &'a Routes, host: &str, path: &str) -> Option<&'a str> {
    routes.lookup(host, path).map(|route| route.name.as_str())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let routes = routes(&[
        ("h", "/a/"),
        ("h", "/a/b/"),
        ("h", "/a/bc/d/"),
        ("g", "/"),
        ("g", "/a/b/c/d/e/"),
    ]);
    assert_eq!(found(&routes, "h", "/a/x"), Some("h/a/"));
    assert_eq!(found(&routes, "h", "/a/b/x/y"), Some("h/a/b/"));
    assert_eq!(found(&routes, "h", "/a/b"), Some("h/a/"));
    assert_eq!(found(&routes, "h", "/a/bc/d"), Some("h/a/"));
    assert_eq!(found(&routes, "h", "/a/bc/d/"), Some("h/a/bc/d/"));
    assert_eq!(found(&routes, "g", "/a/b/x"), Some("g/"));
    for path in ["/", "/a", "/b/", "", "a/", "//a/"] {
        assert_eq!(found(&routes, "h", path), None, "{path}");
    }
    assert_eq!(found(&routes, "f", "/a/"), None);
}

#[test]
fn a_query_is_no_part_of_the_path() {
    let routes = routes(&[("h", "/a/"), ("h", "/a/b/")]);
    assert_eq!(found(&routes, "h", "/a/?/b/"), Some("h/a/"));
    assert_eq!(found(&routes, "h", "/a?x=/a/"), None);
    assert_eq!(found(&routes, "h", "/a/b/?q"), Some("h/a/b/"));
}

#[test]
fn hosts_are_found_without_regard_to_case_and_with_or_without_their_port() {
    let routes = routes(&[
        ("Nony24.Example", "/a/"),
        ("b.example:8080", "/a/"),
        ("b.example", "/"),
        ("[::1]", "/a/"),
    ]);
    for host in [
        "nony24.example",
        "NONY24.example",
        "nony24.example:80",
        " nony24.example:8443 ",
        "nony24.example:",
    ] {
        assert_eq!(
            found(&routes, host, "/a/"),
            Some("Nony24.Example/a/"),
            "{host}"
        );
    }
    assert_eq!(
        found(&routes, "b.example:8080", "/a/"),
        Some("b.example:8080/a/")
    );
    assert_eq!(found(&routes, "b.example:81", "/a/"), Some("b.example/"));
    for host in ["[::1]", "[::1]:80"] {
        assert_eq!(found(&routes, host, "/a/"), Some("[::1]/a/"), "{host}");
    }
    for host in [
        "",
        ":80",
        "nony24.example:x",
        "nony24.example:80:80",
        "other",
        "nony24.example.",
    ] {
        assert_eq!(found(&routes, host, "/a/"), None, "{host}");
    }
}

#[test]
fn services_are_found_by_name() {
    let routes = routes(&[]);
    assert_eq!(
        routes.service("s").map(|service| service.name.as_str()),
        Some("s")
    );
    assert!(routes.service("none").is_none());
    assert_eq!(routes.document().version(), 1);
}

#[test]
fn a_lookup_agrees_with_a_look_at_every_route() {
    /// Paths of few signs, so that many share their beginnings.
    fn path(picks: &[u8]) -> String {
        picks
            .iter()
            .map(|pick| ['/', 'a', 'b'][usize::from(*pick) % 3])
            .collect()
    }
    fn holds(prefixes: Vec<Vec<u8>>, asked: Vec<u8>) -> bool {
        let mut prefixes: Vec<String> = prefixes
            .iter()
            .map(|picks| format!("/{}/", path(picks)))
            .collect();
        prefixes.sort();
        prefixes.dedup();
        let places: Vec<(&str, &str)> = prefixes
            .iter()
            .map(|prefix| ("h", prefix.as_str()))
            .collect();
        let (routes, asked) = (routes(&places), format!("/{}", path(&asked)));
        let longest = prefixes
            .iter()
            .filter(|prefix| asked.starts_with(*prefix))
            .max_by_key(|prefix| prefix.len());
        routes.lookup("h", &asked).map(|route| &route.path_prefix) == longest
    }
    let gen = Gen::from_size_and_seed(8, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(3_000)
        .quickcheck(holds as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
}

//! Tests of the lookup of routes.

use super::*;
use quickcheck::{Gen, QuickCheck};

/// Seed of the random tests, fixed so that failures are reproducible.
const SEED: u64 = 0x5eed_0004;

/// Builds an index of routes with these hosts and prefixes. The name of each route is its host
/// followed by its prefix.
fn routes(prefixes: &[(&str, &str)]) -> Routes {
    let routes: Vec<String> = prefixes
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

fn lookup_result<'a>(routes: &'a Routes, host: &str, path: &str) -> Option<&'a str> {
    routes.lookup(host, path).map(|route| route.name.as_str())
}

#[test]
fn longest_prefix_of_the_host_matches() {
    let routes = routes(&[
        ("h", "/a/"),
        ("h", "/a/b/"),
        ("h", "/a/bc/d/"),
        ("g", "/"),
        ("g", "/a/b/c/d/e/"),
    ]);
    assert_eq!(lookup_result(&routes, "h", "/a/x"), Some("h/a/"));
    assert_eq!(lookup_result(&routes, "h", "/a/b/x/y"), Some("h/a/b/"));
    assert_eq!(lookup_result(&routes, "h", "/a/b"), Some("h/a/"));
    assert_eq!(lookup_result(&routes, "h", "/a/bc/d"), Some("h/a/"));
    assert_eq!(lookup_result(&routes, "h", "/a/bc/d/"), Some("h/a/bc/d/"));
    assert_eq!(lookup_result(&routes, "g", "/a/b/x"), Some("g/"));
    for path in ["/", "/a", "/b/", "", "a/", "//a/"] {
        assert_eq!(lookup_result(&routes, "h", path), None, "{path}");
    }
    assert_eq!(lookup_result(&routes, "f", "/a/"), None);
}

#[test]
fn query_is_ignored() {
    let routes = routes(&[("h", "/a/"), ("h", "/a/b/")]);
    assert_eq!(lookup_result(&routes, "h", "/a/?/b/"), Some("h/a/"));
    assert_eq!(lookup_result(&routes, "h", "/a?x=/a/"), None);
    assert_eq!(lookup_result(&routes, "h", "/a/b/?q"), Some("h/a/b/"));
}

#[test]
fn host_matches_in_any_case_with_and_without_port() {
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
            lookup_result(&routes, host, "/a/"),
            Some("Nony24.Example/a/"),
            "{host}"
        );
    }
    assert_eq!(
        lookup_result(&routes, "b.example:8080", "/a/"),
        Some("b.example:8080/a/")
    );
    assert_eq!(
        lookup_result(&routes, "b.example:81", "/a/"),
        Some("b.example/")
    );
    for host in ["[::1]", "[::1]:80"] {
        assert_eq!(
            lookup_result(&routes, host, "/a/"),
            Some("[::1]/a/"),
            "{host}"
        );
    }
    for host in [
        "",
        ":80",
        "nony24.example:x",
        "nony24.example:80:80",
        "other",
        "nony24.example.",
    ] {
        assert_eq!(lookup_result(&routes, host, "/a/"), None, "{host}");
    }
}

#[test]
fn service_is_found_by_name() {
    let routes = routes(&[]);
    assert_eq!(
        routes.service("s").map(|service| service.name.as_str()),
        Some("s")
    );
    assert!(routes.service("none").is_none());
    assert_eq!(routes.document().version(), 1);
}

#[test]
fn lookup_agrees_with_a_linear_search() {
    /// Returns a path of only three different characters, so that many paths have common prefixes.
    fn path(picks: &[u8]) -> String {
        picks
            .iter()
            .map(|pick| ['/', 'a', 'b'][usize::from(*pick) % 3])
            .collect()
    }
    fn property(prefixes: Vec<Vec<u8>>, requested_path: Vec<u8>) -> bool {
        let mut prefixes: Vec<String> = prefixes
            .iter()
            .map(|picks| format!("/{}/", path(picks)))
            .collect();
        prefixes.sort();
        prefixes.dedup();
        let hosts_and_prefixes: Vec<(&str, &str)> = prefixes
            .iter()
            .map(|prefix| ("h", prefix.as_str()))
            .collect();
        let (routes, requested_path) = (
            routes(&hosts_and_prefixes),
            format!("/{}", path(&requested_path)),
        );
        let longest = prefixes
            .iter()
            .filter(|prefix| requested_path.starts_with(*prefix))
            .max_by_key(|prefix| prefix.len());
        routes
            .lookup("h", &requested_path)
            .map(|route| &route.path_prefix)
            == longest
    }
    let gen = Gen::from_size_and_seed(8, SEED);
    QuickCheck::new()
        .rng(gen)
        .tests(3_000)
        .quickcheck(property as fn(Vec<Vec<u8>>, Vec<u8>) -> bool);
}

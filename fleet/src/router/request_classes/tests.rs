//! Tests of `request_classes`.

use super::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn terms(route: &str) -> RouteTerms {
    RouteTerms {
        route: Arc::from(route),
        is_idempotent: false,
        is_streaming: false,
        is_resumable: false,
        timeout: 3_000_000,
        target_latency: 500_000,
        rank: 0,
        max_attempts: 2,
    }
}

#[test]
fn index_is_reused_only_once_neither_requests_nor_the_configuration_have_it() {
    let mut classes = RequestClasses::default();
    classes.set_active(vec![terms("a"), terms("b")]);
    let (a, _) = classes.index_of(&terms("a"));
    classes.acquire(a);
    classes.set_active(vec![terms("b")]);
    assert_eq!(
        classes.index_of(&terms("c")),
        (2, true),
        "a request has the first"
    );
    classes.set_active(vec![terms("b"), terms("c")]);
    classes.release(a);
    assert_eq!(classes.index_of(&terms("d")), (a, true));
    assert_eq!(classes.index_of(&terms("d")), (a, false));
    assert_eq!(classes.index_of(&terms("b")), (1, false));
    classes.set_active(vec![terms("b"), terms("c"), terms("d"), terms("a")]);
    assert_eq!(classes.index_of(&terms("a")), (3, false));
}

/// Guards against a router that stands still while it applies a large configuration (review/3: 2.2 s).
#[test]
fn time_to_apply_grows_with_the_routes_not_with_their_square() {
    const ROUTES: usize = 40_000;
    let routes: Vec<RouteTerms> = (0..ROUTES)
        .map(|number| terms(&format!("r-{number:05}")))
        .collect();
    let mut classes = RequestClasses::default();
    let started_at = Instant::now();
    classes.set_active(routes.clone());
    classes.set_active(routes);
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
}

use super::*;
use std::collections::HashSet;
use std::net::Ipv4Addr;

fn address(zone: u8, host: u8) -> SocketAddr {
    SocketAddr::from(([10, zone, 0, host], 7_300))
}

fn candidates(seeds: &[SocketAddr]) -> ControlCandidates {
    ControlCandidates::new(IpAddr::V4(Ipv4Addr::new(10, 2, 0, 9)), seeds.to_vec())
}

#[test]
fn nearest_candidate_is_first_and_ties_are_random() {
    let near = candidates(&[address(1, 1), address(2, 1), address(3, 1)]);
    assert!((0..20).all(|random| near.next(Time(0), random) == Ok(address(2, 1))));
    let far = candidates(&[address(1, 1), address(3, 1), address(4, 1)]);
    let choices: HashSet<_> = (0..20).map(|random| far.next(Time(0), random)).collect();
    assert_eq!(choices.len(), 3);
}

#[test]
fn candidates_are_tried_at_once_and_backoff_grows() {
    let seeds = [address(1, 1), address(2, 1), address(3, 1)];
    let mut candidates = candidates(&seeds);
    let mut tried = HashSet::new();
    while let Ok(next) = candidates.next(Time(0), 0) {
        assert!(
            tried.insert(next),
            "none comes twice while others have not been tried"
        );
        candidates.on_failed(Time(0), next, 0);
    }
    assert_eq!(tried.len(), seeds.len());
    let first = candidates.next(Time(0), 0).expect_err("all rest");
    assert!(first.0 >= INITIAL_BACKOFF_US / 2 && first.0 <= INITIAL_BACKOFF_US);
    let mut last = 0;
    for _ in 0..20 {
        for seed in seeds {
            candidates.on_failed(Time(0), seed, u64::MAX);
        }
        let backoff = candidates.next(Time(0), 0).expect_err("all rest").0;
        assert!(backoff <= MAX_BACKOFF_US);
        last = backoff;
    }
    assert!(last >= MAX_BACKOFF_US / 2);
    assert!(
        candidates.next(Time(MAX_BACKOFF_US), 0).is_ok(),
        "and is tried again in time"
    );
}

#[test]
fn useless_near_candidate_does_not_block_others() {
    let (near, far) = (address(2, 1), [address(1, 1), address(3, 1)]);
    let mut candidates = candidates(&[near, far[0], far[1]]);
    let mut now = Time(0);
    let mut tried = Vec::new();
    for random in 0..3 {
        let next = candidates.next(now, random).expect("one is awake");
        tried.push(next);
        // It is up, but not in contact: it is given up after a while, when the rests of the others
        // are over.
        now = now.plus(700_000);
        candidates.on_failed(now, next, random);
        now = now.plus(INITIAL_BACKOFF_US);
    }
    assert_eq!(tried[0], near);
    assert_eq!(HashSet::from([tried[1], tried[2]]), HashSet::from(far));
    assert_eq!(candidates.next(now, 0), Ok(near), "all have failed once");
    candidates.on_failed(now, near, 0);
    now = now.plus(MAX_BACKOFF_US + FAILURE_MEMORY_US);
    assert_eq!(
        candidates.next(now, 0),
        Ok(near),
        "what was long ago counts no more"
    );
}

#[test]
fn changing_list_keeps_failures() {
    let mut candidates = candidates(&[address(1, 1)]);
    candidates.on_advertised(vec![address(2, 2)]);
    candidates.on_failed(Time(0), address(2, 2), 0);
    candidates.on_advertised(vec![address(3, 3)]);
    candidates.on_advertised(vec![address(2, 2), address(3, 3)]);
    let choices: HashSet<_> = (0..20)
        .filter_map(|random| candidates.next(Time(MAX_BACKOFF_US), random).ok())
        .collect();
    assert_eq!(choices, HashSet::from([address(1, 1), address(3, 3)]));
}

#[test]
fn advertised_candidates_extend_seeds_and_replace_older_ones() {
    let mut candidates = candidates(&[address(1, 1)]);
    candidates.on_advertised(vec![address(2, 2), address(2, 3)]);
    candidates.on_failed(Time(0), address(2, 2), 0);
    assert_eq!(candidates.next(Time(0), 0), Ok(address(2, 3)));
    candidates.on_advertised(vec![address(3, 4)]);
    let choices: HashSet<_> = (0..20)
        .filter_map(|random| candidates.next(Time(0), random).ok())
        .collect();
    assert_eq!(choices, HashSet::from([address(1, 1), address(3, 4)]));
    // An empty list says nothing.
    candidates.on_advertised(Vec::new());
    assert!((0..20).any(|random| candidates.next(Time(0), random) == Ok(address(3, 4))));
}

#[test]
fn useful_candidate_loses_its_failures() {
    let mut candidates = candidates(&[address(1, 1)]);
    candidates.on_failed(Time(0), address(1, 1), 0);
    candidates.on_useful(address(1, 1));
    assert_eq!(candidates.next(Time(0), 0), Ok(address(1, 1)));
}

#[test]
fn empty_candidate_list_has_a_next_time() {
    assert!(candidates(&[])
        .next(Time(5), 0)
        .is_err_and(|at| at > Time(5)));
}

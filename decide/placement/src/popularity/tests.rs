use super::*;

const SECOND: Micros = 1_000_000;

#[test]
fn shares_follow_the_traffic_by_size() {
    let mut popularity = Popularity::default();
    let mut last = [0.0; 4];
    for round in 0..2_000 {
        // One of four has half of all requests, and requests of it are as large as the others'.
        let part = [0, 1, 0, 2, 0, 3][round % 6];
        last[part] = popularity.on_request(Time(round as u64 * SECOND / 20), part as u64, 100.0);
    }
    assert!((last[0] - 0.5).abs() < 0.03, "{last:?}");
    assert!(last[1..].iter().all(|share| (share - 1.0 / 6.0).abs() < 0.03), "{last:?}");
}

#[test]
fn the_first_requests_do_not_count_for_all() {
    let mut popularity = Popularity::default();
    assert!(popularity.on_request(Time(0), 1, 1_000.0) < 0.1);
}

#[test]
fn what_is_not_seen_any_more_is_forgotten() {
    let mut popularity = Popularity::default();
    (0..100).for_each(|at| _ = popularity.on_request(Time(at * SECOND / 10), 1, 100.0));
    (100..4_000).for_each(|at| _ = popularity.on_request(Time(at * SECOND / 10), 2, 100.0));
    assert_eq!(popularity.sums.len(), 1);
    assert!(popularity.on_request(Time(400 * SECOND), 2, 100.0) > 0.9);
}

#[test]
fn memory_is_bounded_and_shares_stay_between_0_and_1() {
    let mut popularity = Popularity::default();
    let mut rng = fastrand::Rng::with_seed(7);
    for at in 0..50_000 {
        let size = [0.0, 1.0, 1e9][rng.usize(..3)];
        let share = popularity.on_request(Time(at * 1_000), rng.u64(..), size);
        assert!(share > 0.0 && share <= 1.0, "{share}");
        assert!(popularity.sums.len() <= MOST_PARTS);
    }
}

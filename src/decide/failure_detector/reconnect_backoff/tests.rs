//! Tests of `reconnect_backoff`.

use super::*;

#[test]
fn delay_doubles_up_to_a_bound_is_random_and_ends_with_a_success() {
    let mut rng = SeededRng::default();
    let mut all: Vec<ReconnectBackoff> = vec![ReconnectBackoff::default(); 100];
    for failures in 1..=12u32 {
        let usual = (MIN_DELAY << (failures - 1).min(20)).min(MAX_DELAY);
        for backoff in &mut all {
            backoff.on_failure(Time(0), &mut rng);
            assert!(
                (usual / 2..=usual * 3 / 2).contains(&backoff.ready_at().0),
                "{failures}: {backoff:?}"
            );
            assert!(
                !backoff.is_ready(Time(usual / 2 - 1)) && backoff.is_ready(Time(usual * 3 / 2))
            );
        }
        let within = |from: u64| {
            all.iter()
                .filter(|r| (from..from + usual / 5).contains(&r.ready_at().0))
                .count()
        };
        assert!(
            (0..5).all(|i| within(usual / 2 + i * usual / 5) < 50),
            "{failures}: they come together"
        );
    }
    all[0].on_success();
    assert!(all[0].is_ready(Time(0)));
}

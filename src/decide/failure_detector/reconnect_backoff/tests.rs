//! Tests of `reconnect_backoff`.

use super::*;

#[test]
fn delay_doubles_up_to_a_bound_with_jitter_and_resets_on_success() {
    let mut rng = SeededRng::default();
    let mut backoffs: Vec<ReconnectBackoff> = vec![ReconnectBackoff::default(); 100];
    for failures in 1..=12u32 {
        let nominal = (MIN_DELAY << (failures - 1).min(20)).min(MAX_DELAY);
        for backoff in &mut backoffs {
            backoff.on_failure(Time(0), &mut rng);
            assert!(
                (nominal / 2..=nominal * 3 / 2).contains(&backoff.ready_at().0),
                "{failures}: {backoff:?}"
            );
            assert!(
                !backoff.is_ready(Time(nominal / 2 - 1)) && backoff.is_ready(Time(nominal * 3 / 2))
            );
        }
        let count_within = |from: u64| {
            backoffs
                .iter()
                .filter(|backoff| (from..from + nominal / 5).contains(&backoff.ready_at().0))
                .count()
        };
        assert!(
            (0..5).all(|i| count_within(nominal / 2 + i * nominal / 5) < 50),
            "{failures} failures: the delays are not spread"
        );
    }
    backoffs[0].on_success();
    assert!(backoffs[0].is_ready(Time(0)));
}

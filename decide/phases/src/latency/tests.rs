//! Tests of `latency`.

use super::*;

const MS: Micros = 1_000;

fn latencies() -> Latencies {
    let mut latencies = Latencies::default();
    // Latencies from 1 to 100 ms, evenly distributed, at servers without pending parts.
    (1..=100).for_each(|i| latencies.add(Time(i * MS), i * MS, 0.0));
    latencies
}

#[test]
fn probabilities_and_quantiles_match_the_samples() {
    let (mut latencies, now) = (latencies(), Time(900 * MS));
    for (within, share) in [(25, 0.25), (50, 0.5), (90, 0.9)] {
        assert!(
            (latencies.probability_within(now, within * MS, 0.0) - share).abs() < 0.03,
            "{within} ms"
        );
        let back = latencies.quantile(now, share, 0.0) as f64 / MS as f64;
        assert!((back - within as f64).abs() < 3.0, "{back} ms for {share}");
    }
    assert_eq!(latencies.probability_within(now, 0, 0.0), 0.0);
    assert!(
        latencies.probability_within(now, 500 * MS, 0.0) < 1.0,
        "nothing is certain"
    );
}

#[test]
fn pending_parts_and_elapsed_time_lengthen_the_forecast() {
    let (mut latencies, now) = (latencies(), Time(900 * MS));
    assert!(
        (latencies.probability_within(now, 100 * MS, 2.0) - 0.5).abs() < 0.03,
        "twice as long"
    );
    let after = latencies.probability_within_after(now, 50 * MS, 25 * MS, 0.0);
    assert!((after - 0.5).abs() < 0.05, "half of those left: {after}");
    let lost = latencies.probability_within_after(now, 500 * MS, 25 * MS, 0.0);
    assert!(
        (lost - 25.0 / 525.0).abs() < 1e-6,
        "longer than any: {lost}"
    );
}

#[test]
fn old_samples_are_forgotten_and_few_samples_predict_nothing() {
    let mut latencies = Latencies::default();
    (0..19).for_each(|i| latencies.add(Time(i), 10 * MS, 0.0));
    assert!(!latencies.has_enough_samples());
    for i in 0..4 * GENERATION_SAMPLES {
        latencies.add(
            Time(i),
            if i < 2 * GENERATION_SAMPLES {
                10 * MS
            } else {
                80 * MS
            },
            0.0,
        );
    }
    assert!(
        latencies.probability_within(Time(9), 40 * MS, 0.0) < 0.01,
        "the first ones are forgotten"
    );
}

#[test]
fn unanswered_parts_count_only_if_they_were_late() {
    let mut latencies = latencies();
    (0..100).for_each(|_| latencies.add_unanswered(Time(200 * MS), 10 * MS, 0.0));
    assert!((latencies.probability_within(Time(900 * MS), 50 * MS, 0.0) - 0.5).abs() < 0.03);
    (0..100).for_each(|_| latencies.add_unanswered(Time(900 * MS), 400 * MS, 0.0));
    assert!(latencies.probability_within(Time(1_900 * MS), 100 * MS, 0.0) < 0.6);
}

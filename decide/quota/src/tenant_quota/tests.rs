//! Tests of `figures`.

use super::*;

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens,
        rate_per_s,
        burst,
    }
}

fn terms(window_s: f64, overage: f64, slack: f64) -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs_f64(window_s),
        overage,
        slack,
    }
}

/// What the rule allows in a window.
fn allowed(quota: &Quota, terms: &QuotaBounds) -> f64 {
    (quota.rate_per_s * terms.window.as_secs_f64() + quota.burst) * (1.0 + terms.overage)
        + terms.slack
}

#[test]
fn what_is_let_through_in_a_window_stays_within_the_rule_whatever_its_figures() {
    let seed = 0x5eed_0101;
    let mut random = fastrand::Rng::with_seed(seed);
    for case in 0..20_000 {
        let rate = 10_f64.powf(random.f64() * 8.0 - 1.0);
        let quota = quota(
            rate,
            rate * random.f64() * [0.0, 0.1, 1.0, 20.0][random.usize(0..4)],
        );
        let slack = [0.0, 10.0, 140_000.0, 1e9][random.usize(0..4)];
        let terms = terms(
            1.0 + random.f64() * 30.0,
            [0.0, 0.1, 0.5][random.usize(0..3)],
            slack,
        );
        let figures = TenantQuota::of(&quota, &terms);
        let (most, allowed) = (
            figures.most_in(terms.window.as_secs_f64()),
            allowed(&quota, &terms),
        );
        assert!(
            most <= allowed,
            "seed {seed:x}, case {case}: {quota:?} {terms:?}: {most} of {allowed}"
        );
    }
}

#[test]
fn nine_tenths_of_a_rate_and_more_are_usable() {
    for (rate, burst) in [
        (731_839.0, 731_839.0),
        (36_000.0, 36_000.0),
        (5.0, 0.0),
        (5.0, 50.0),
    ] {
        for (overage, slack) in [(0.1, 140_000.0), (0.1, 0.0), (0.0, 0.0)] {
            let figures = TenantQuota::of(&quota(rate, burst), &terms(8.0, overage, slack));
            let least = if overage > 0.0 { 0.96 } else { 0.9 };
            assert!(
                figures.refill_per_s >= least * rate,
                "{rate} {burst} {overage} {slack}: {figures:?}"
            );
            assert!(
                figures.depth + figures.max_debt >= 0.06 * rate * 8.0,
                "{figures:?}"
            );
        }
    }
}

#[test]
fn a_request_fits_however_few_are_allowed() {
    let few = Quota {
        unit: QuotaUnit::Requests,
        ..quota(0.5, 0.0)
    };
    let figures = TenantQuota::of(&few, &terms(8.0, 0.1, 0.0));
    assert!(
        figures.max_debt >= 1.0 && figures.refill_per_s > 0.3 && figures.most_in(8.0) <= 4.4,
        "{figures:?}"
    );
}

#[test]
fn a_slack_of_another_unit_makes_no_quota_endless() {
    let figures = TenantQuota::of(&quota(5.0, 5.0), &terms(8.0, 0.1, 140_000.0));
    assert!(figures.most_in(8.0) <= 100.0, "{figures:?}");
}

//! Tests of the bucket parameters that are derived from quotas.

use super::*;

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota {
        unit: QuotaUnit::Tokens,
        rate_per_s,
        burst,
    }
}

fn bounds(window_s: f64, overage: f64, slack: f64) -> QuotaBounds {
    QuotaBounds {
        window: Duration::from_secs_f64(window_s),
        overage,
        slack,
    }
}

/// Returns the amount that the limit allows in a window.
fn allowed(quota: &Quota, bounds: &QuotaBounds) -> f64 {
    (quota.rate_per_s * bounds.window.as_secs_f64() + quota.burst) * (1.0 + bounds.overage)
        + bounds.slack
}

#[test]
fn admitted_amount_in_a_window_stays_within_the_limit_for_any_quota() {
    let seed = 0x5eed_0101;
    let mut random = fastrand::Rng::with_seed(seed);
    for case in 0..20_000 {
        let rate = 10_f64.powf(random.f64() * 8.0 - 1.0);
        let quota = quota(
            rate,
            rate * random.f64() * [0.0, 0.1, 1.0, 20.0][random.usize(0..4)],
        );
        let slack = [0.0, 10.0, 140_000.0, 1e9][random.usize(0..4)];
        let bounds = bounds(
            1.0 + random.f64() * 30.0,
            [0.0, 0.1, 0.5][random.usize(0..3)],
            slack,
        );
        let tenant_quota = TenantQuota::of(&quota, &bounds);
        let (admitted, allowed) = (
            tenant_quota.max_admitted_in(bounds.window.as_secs_f64()),
            allowed(&quota, &bounds),
        );
        assert!(
            admitted <= allowed,
            "seed {seed:x}, case {case}: {quota:?} {bounds:?}: {admitted} of {allowed}"
        );
    }
}

#[test]
fn at_least_nine_tenths_of_the_rate_are_usable() {
    for (rate, burst) in [
        (731_839.0, 731_839.0),
        (36_000.0, 36_000.0),
        (5.0, 0.0),
        (5.0, 50.0),
    ] {
        for (overage, slack) in [(0.1, 140_000.0), (0.1, 0.0), (0.0, 0.0)] {
            let tenant_quota = TenantQuota::of(&quota(rate, burst), &bounds(8.0, overage, slack));
            let min_fraction = if overage > 0.0 { 0.96 } else { 0.9 };
            assert!(
                tenant_quota.refill_per_s >= min_fraction * rate,
                "{rate} {burst} {overage} {slack}: {tenant_quota:?}"
            );
            assert!(
                tenant_quota.depth + tenant_quota.max_debt >= 0.06 * rate * 8.0,
                "{tenant_quota:?}"
            );
        }
    }
}

#[test]
fn one_request_fits_at_the_lowest_rate() {
    let low_rate = Quota {
        unit: QuotaUnit::Requests,
        ..quota(0.5, 0.0)
    };
    let tenant_quota = TenantQuota::of(&low_rate, &bounds(8.0, 0.1, 0.0));
    assert!(
        tenant_quota.max_debt >= 1.0
            && tenant_quota.refill_per_s > 0.3
            && tenant_quota.max_admitted_in(8.0) <= 4.4,
        "{tenant_quota:?}"
    );
}

#[test]
fn slack_above_the_limit_counts_as_the_limit() {
    let tenant_quota = TenantQuota::of(&quota(5.0, 5.0), &bounds(8.0, 0.1, 140_000.0));
    assert!(
        tenant_quota.max_admitted_in(8.0) <= 100.0,
        "{tenant_quota:?}"
    );
}

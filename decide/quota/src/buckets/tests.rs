//! Tests of the buckets of a control machine.

use super::*;
use crate::ownership::OwnerId;
use lichenswitch_configuration::Document;
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 0.0,
};

fn tenants(text: &str) -> Vec<Tenant> {
    let text = format!("{{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":{text}}}");
    let document = Document::parse(text.as_bytes()).expect("valid");
    document.tenants().expect("tenants").to_vec()
}

fn limited(rate: u32, burst: u32) -> Vec<Tenant> {
    tenants(&format!(
        r#"[{{"name":"a","unit":"token_count","ratePerS":{rate},"burstSize":{burst}}},{{"name":"free"}}]"#
    ))
}

/// Returns the ownership of the only voter, which is always in contact.
fn ownership() -> ShardOwnership {
    let mut ownership = ShardOwnership::new(OwnerId(1), vec![OwnerId(1)]);
    for second in 0..100 {
        ownership.on_contact(Time(second * SECOND_US));
    }
    ownership
}

fn request(amounts: &[u64]) -> LeaseRequest {
    LeaseRequest {
        tenant: "a".to_owned(),
        unit: QuotaUnit::Tokens,
        amounts: amounts.to_vec(),
        prefetch_amount: 0,
    }
}

fn buckets(rate: u32, burst: u32) -> Buckets {
    let mut buckets = Buckets::new(BOUNDS);
    buckets.set_tenants(Time(0), &limited(rate, burst));
    buckets
}

/// Returns the maximum debt of the tenant's bucket.
fn max_debt(rate: u32, burst: u32) -> f64 {
    TenantQuota::of(&limited(rate, burst)[0].quota.expect("a quota"), &BOUNDS).max_debt
}

#[test]
fn bucket_begins_in_debt_and_refills_up_to_its_depth() {
    let (mut buckets, ownership) = (buckets(1_000, 500), ownership());
    // A bucket without known earlier grants begins at its maximum debt.
    let first = buckets.lease(Time(0), &request(&[100]), &ownership);
    let wait = (max_debt(1_000, 500) * 1_000.0) as u64 + 100_000;
    assert!(
        first.granted_bits == 0 && (wait * 9 / 10..wait * 11 / 10).contains(&first.retry_after_us),
        "{first:?}"
    );
    assert!(buckets
        .lease(Time(wait * 11 / 10), &request(&[100]), &ownership)
        .covers(0));
    // After a long time, the level is limited to the depth.
    let grant = buckets.lease(Time(50 * SECOND_US), &request(&[500, 500, 100]), &ownership);
    assert!(
        grant.covers(0) && !grant.covers(1) && grant.covers(2),
        "{grant:?}"
    );
}

#[test]
fn each_amount_is_granted_in_full_or_not_at_all() {
    let (mut buckets, ownership) = (buckets(1_000, 0), ownership());
    buckets.lease(Time(0), &request(&[1]), &ownership);
    let level = buckets.usage(Time(10 * SECOND_US), &ownership)[0].1.level;
    let (full, two_thirds) = (level as u64, (level * 0.66) as u64);
    let grant = buckets.lease(
        Time(10 * SECOND_US),
        &request(&[two_thirds, two_thirds, full / 4]),
        &ownership,
    );
    assert!(
        grant.covers(0)
            && !grant.covers(1)
            && grant.covers(2)
            && !grant.covers_all(&request(&[1, 1, 1]))
    );
}

#[test]
fn amount_above_depth_is_granted_by_full_bucket_and_repaid() {
    let (mut buckets, ownership) = (buckets(1_000, 500), ownership());
    let tenant_quota = TenantQuota::of(&limited(1_000, 500)[0].quota.expect("a quota"), &BOUNDS);
    let large = (tenant_quota.depth + tenant_quota.max_debt * 0.9) as u64;
    buckets.lease(Time(0), &request(&[1]), &ownership);
    assert!(!buckets
        .lease(Time(SECOND_US / 4), &request(&[large]), &ownership)
        .covers(0));
    assert!(buckets
        .lease(Time(5 * SECOND_US), &request(&[large]), &ownership)
        .covers(0));
    assert!(!buckets
        .lease(Time(5 * SECOND_US), &request(&[1]), &ownership)
        .covers(0));
    let too_large = (tenant_quota.depth + tenant_quota.max_debt * 1.1) as u64;
    assert!(!buckets
        .lease(Time(50 * SECOND_US), &request(&[too_large]), &ownership)
        .covers(0));
}

#[test]
fn tenant_without_quota_is_unlimited_and_unknown_tenant_is_denied() {
    let (mut buckets, ownership) = (buckets(1_000, 0), ownership());
    let free = LeaseRequest {
        tenant: "free".to_owned(),
        ..request(&[u64::MAX, 1])
    };
    assert!(buckets.lease(Time(0), &free, &ownership).covers_all(&free));
    let unknown = LeaseRequest {
        tenant: "unknown".to_owned(),
        ..request(&[1])
    };
    assert!(buckets.lease(Time(0), &unknown, &ownership).granted_bits == 0);
    let other_unit = LeaseRequest {
        unit: QuotaUnit::Requests,
        ..request(&[1])
    };
    assert!(
        buckets
            .lease(Time(9 * SECOND_US), &other_unit, &ownership)
            .granted_bits
            == 0
    );
}

#[test]
fn machine_without_shard_grants_and_refills_nothing() {
    let mut buckets = buckets(1_000, 1_000);
    let mut ownership = ShardOwnership::new(OwnerId(1), vec![OwnerId(1)]);
    ownership.on_contact(Time(0));
    buckets.lease(Time(0), &request(&[1]), &ownership);
    // The ownership ends at 4 s, and contact is renewed at 20 s.
    assert!(
        buckets
            .lease(Time(5 * SECOND_US), &request(&[1]), &ownership)
            .granted_bits
            == 0
    );
    ownership.on_contact(Time(20 * SECOND_US));
    assert!(
        buckets
            .lease(Time(20 * SECOND_US), &request(&[1]), &ownership)
            .granted_bits
            == 0
    );
    // The bucket begins at its maximum debt again.
    let repaid_at = Time(20 * SECOND_US + (max_debt(1_000, 1_000) * 1_000.0) as u64);
    assert!(
        buckets
            .lease(repaid_at.minus(SECOND_US / 20), &request(&[1]), &ownership)
            .granted_bits
            == 0
    );
    assert!(buckets
        .lease(repaid_at.plus(SECOND_US / 20), &request(&[1]), &ownership)
        .covers(0));
}

#[test]
fn lower_quota_applies_at_once_and_readded_tenant_is_not_refilled() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &request(&[1]), &ownership);
    buckets.set_tenants(Time(9 * SECOND_US), &limited(10, 10));
    assert!(!buckets
        .lease(Time(9 * SECOND_US), &request(&[500]), &ownership)
        .covers(0));
    buckets.set_tenants(Time(9 * SECOND_US), &tenants("[]"));
    buckets.set_tenants(Time(10 * SECOND_US), &limited(1_000, 1_000));
    assert!(!buckets
        .lease(Time(10 * SECOND_US), &request(&[1_500]), &ownership)
        .covers(0));
}

#[test]
fn quota_added_while_running_begins_full() {
    let ownership = ownership();
    let mut buckets = Buckets::new(BOUNDS);
    buckets.on_no_configuration();
    buckets.set_tenants(Time(0), &limited(1_000, 1_000));
    assert!(buckets
        .lease(Time(0), &request(&[1_000]), &ownership)
        .covers(0));
    assert!(!buckets
        .lease(Time(1), &request(&[1_000]), &ownership)
        .covers(0));
    // A quota that exists at the start begins in debt, since an earlier owner may have granted
    // tokens.
    let mut buckets = self::buckets(1_000, 1_000);
    assert!(
        buckets
            .lease(Time(0), &request(&[1]), &ownership)
            .granted_bits
            == 0
    );
}

#[test]
fn prefetch_amount_is_granted_only_by_well_filled_bucket() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &request(&[1]), &ownership);
    let prefetch_amount = |amount| LeaseRequest {
        prefetch_amount: amount,
        ..request(&[10])
    };
    assert_eq!(
        buckets
            .lease(Time(20 * SECOND_US), &prefetch_amount(300), &ownership)
            .prefetch_amount,
        300
    );
    assert_eq!(
        buckets
            .lease(Time(20 * SECOND_US), &prefetch_amount(900), &ownership)
            .prefetch_amount,
        0
    );
}

#[test]
fn usage_counts_granted_units_and_denied_amounts() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &request(&[1]), &ownership);
    buckets.lease(Time(5 * SECOND_US), &request(&[700]), &ownership);
    let usage = buckets.usage(Time(5 * SECOND_US), &ownership);
    assert_eq!(
        (usage[0].0, usage[0].1.granted, usage[0].1.denied),
        ("a", 700.0, 1)
    );
}

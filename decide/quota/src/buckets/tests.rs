//! Tests of `buckets`.

use super::*;
use crate::ownership::OwnerId;
use lichenswitch_configuration::Document;
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;
const TERMS: QuotaBounds = QuotaBounds {
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

/// The only voter, in contact from the beginning on.
fn ownership() -> ShardOwnership {
    let mut ownership = ShardOwnership::new(OwnerId(1), vec![OwnerId(1)]);
    for second in 0..100 {
        ownership.on_contact(Time(second * SECOND_US));
    }
    ownership
}

fn draw(amounts: &[u64]) -> LeaseRequest {
    LeaseRequest {
        tenant: "a".to_owned(),
        unit: QuotaUnit::Tokens,
        amounts: amounts.to_vec(),
        prefetch_amount: 0,
    }
}

fn buckets(rate: u32, burst: u32) -> Buckets {
    let mut buckets = Buckets::new(TERMS);
    buckets.set_tenants(Time(0), &limited(rate, burst));
    buckets
}

/// What the first holder may go below 0.
fn debt(rate: u32, burst: u32) -> f64 {
    TenantQuota::of(&limited(rate, burst)[0].quota.expect("a quota"), &TERMS).max_debt
}

#[test]
fn a_bucket_begins_empty_refills_and_holds_no_more_than_its_depth() {
    let (mut buckets, ownership) = (buckets(1_000, 500), ownership());
    // It begins in debt.
    let first = buckets.lease(Time(0), &draw(&[100]), &ownership);
    let wait = (debt(1_000, 500) * 1_000.0) as u64 + 100_000;
    assert!(
        first.granted_bits == 0 && (wait * 9 / 10..wait * 11 / 10).contains(&first.retry_after_us),
        "{first:?}"
    );
    assert!(buckets
        .lease(Time(wait * 11 / 10), &draw(&[100]), &ownership)
        .covers(0));
    // After a long rest: depth, not all that might have come.
    let grant = buckets.lease(Time(50 * SECOND_US), &draw(&[500, 500, 100]), &ownership);
    assert!(
        grant.covers(0) && !grant.covers(1) && grant.covers(2),
        "{grant:?}"
    );
}

#[test]
fn each_need_is_granted_whole_or_not_at_all() {
    let (mut buckets, ownership) = (buckets(1_000, 0), ownership());
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    let level = buckets.usage(Time(10 * SECOND_US), &ownership)[0].1.level;
    let (most, two_thirds) = (level as u64, (level * 0.66) as u64);
    let grant = buckets.lease(
        Time(10 * SECOND_US),
        &draw(&[two_thirds, two_thirds, most / 4]),
        &ownership,
    );
    assert!(
        grant.covers(0)
            && !grant.covers(1)
            && grant.covers(2)
            && !grant.covers_all(&draw(&[1, 1, 1]))
    );
}

#[test]
fn a_request_larger_than_the_bucket_goes_once_that_is_full_and_is_paid_off() {
    let (mut buckets, ownership) = (buckets(1_000, 500), ownership());
    let figures = TenantQuota::of(&limited(1_000, 500)[0].quota.expect("a quota"), &TERMS);
    let large = (figures.depth + figures.max_debt * 0.9) as u64;
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    assert!(!buckets
        .lease(Time(SECOND_US / 4), &draw(&[large]), &ownership)
        .covers(0));
    assert!(buckets
        .lease(Time(5 * SECOND_US), &draw(&[large]), &ownership)
        .covers(0));
    assert!(!buckets
        .lease(Time(5 * SECOND_US), &draw(&[1]), &ownership)
        .covers(0));
    let beyond = (figures.depth + figures.max_debt * 1.1) as u64;
    assert!(!buckets
        .lease(Time(50 * SECOND_US), &draw(&[beyond]), &ownership)
        .covers(0));
}

#[test]
fn tenants_without_a_quota_are_not_counted_and_unknown_ones_wait() {
    let (mut buckets, ownership) = (buckets(1_000, 0), ownership());
    let free = LeaseRequest {
        tenant: "free".to_owned(),
        ..draw(&[u64::MAX, 1])
    };
    assert!(buckets.lease(Time(0), &free, &ownership).covers_all(&free));
    let unknown = LeaseRequest {
        tenant: "unknown".to_owned(),
        ..draw(&[1])
    };
    assert!(buckets.lease(Time(0), &unknown, &ownership).granted_bits == 0);
    let other_unit = LeaseRequest {
        unit: QuotaUnit::Requests,
        ..draw(&[1])
    };
    assert!(
        buckets
            .lease(Time(9 * SECOND_US), &other_unit, &ownership)
            .granted_bits
            == 0
    );
}

#[test]
fn who_holds_no_part_grants_nothing_and_gains_nothing_meanwhile() {
    let mut buckets = buckets(1_000, 1_000);
    let mut ownership = ShardOwnership::new(OwnerId(1), vec![OwnerId(1)]);
    ownership.on_contact(Time(0));
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    // Out of contact from 4 s on; back at 20 s.
    assert!(
        buckets
            .lease(Time(5 * SECOND_US), &draw(&[1]), &ownership)
            .granted_bits
            == 0
    );
    ownership.on_contact(Time(20 * SECOND_US));
    assert!(
        buckets
            .lease(Time(20 * SECOND_US), &draw(&[1]), &ownership)
            .granted_bits
            == 0
    );
    // It begins anew from nothing.
    let paid_off = Time(20 * SECOND_US + (debt(1_000, 1_000) * 1_000.0) as u64);
    assert!(
        buckets
            .lease(paid_off.minus(SECOND_US / 20), &draw(&[1]), &ownership)
            .granted_bits
            == 0
    );
    assert!(buckets
        .lease(paid_off.plus(SECOND_US / 20), &draw(&[1]), &ownership)
        .covers(0));
}

#[test]
fn a_lower_limit_takes_hold_and_a_tenant_that_comes_back_is_not_refilled() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    buckets.set_tenants(Time(9 * SECOND_US), &limited(10, 10));
    assert!(!buckets
        .lease(Time(9 * SECOND_US), &draw(&[500]), &ownership)
        .covers(0));
    buckets.set_tenants(Time(9 * SECOND_US), &tenants("[]"));
    buckets.set_tenants(Time(10 * SECOND_US), &limited(1_000, 1_000));
    assert!(!buckets
        .lease(Time(10 * SECOND_US), &draw(&[1_500]), &ownership)
        .covers(0));
}

#[test]
fn a_quota_that_is_seen_to_come_into_being_begins_full() {
    let ownership = ownership();
    let mut buckets = Buckets::new(TERMS);
    buckets.on_no_configuration();
    buckets.set_tenants(Time(0), &limited(1_000, 1_000));
    assert!(buckets
        .lease(Time(0), &draw(&[1_000]), &ownership)
        .covers(0));
    assert!(!buckets
        .lease(Time(1), &draw(&[1_000]), &ownership)
        .covers(0));
    // Not where the process has begun with it: it may have been drawn on before.
    let mut buckets = self::buckets(1_000, 1_000);
    assert!(buckets.lease(Time(0), &draw(&[1]), &ownership).granted_bits == 0);
}

#[test]
fn ahead_is_granted_only_out_of_plenty() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    let prefetch_amount = |amount| LeaseRequest {
        prefetch_amount: amount,
        ..draw(&[10])
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
fn usage_tells_what_was_granted_and_denied() {
    let (mut buckets, ownership) = (buckets(1_000, 1_000), ownership());
    buckets.lease(Time(0), &draw(&[1]), &ownership);
    buckets.lease(Time(5 * SECOND_US), &draw(&[700]), &ownership);
    let usage = buckets.usage(Time(5 * SECOND_US), &ownership);
    assert_eq!(
        (usage[0].0, usage[0].1.granted, usage[0].1.denied),
        ("a", 700.0, 1)
    );
}

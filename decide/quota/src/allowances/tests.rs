//! Tests of `allowances`.

use super::*;
use crate::lease::MAX_AMOUNTS;
use lichenswitch_configuration::Document;
use std::time::Duration;

const TERMS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(8),
    overage: 0.1,
    slack: 0.0,
};
const LATER: Time = Time(10_000_000);

fn tenants() -> Vec<Tenant> {
    let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
        {"name":"a","unit":"token_count","ratePerS":1000,"burstSize":0},{"name":"free"}]}"#;
    Document::parse(text)
        .expect("valid")
        .tenants()
        .expect("tenants")
        .to_vec()
}

fn validity() -> Micros {
    TenantQuota::of(&tenants()[0].quota.expect("a quota"), &TERMS).lease_validity
}

fn new() -> Allowances<u32> {
    Allowances::new(TERMS, 0)
}

fn take(allowances: &mut Allowances<u32>, now: u64, need: u64, waiter: u32) -> AdmissionOutcome {
    allowances.admit(Time(now), &tenants()[0], need, waiter, LATER)
}

/// The draw that is sent now.
fn sent(allowances: &mut Allowances<u32>, now: u64) -> (u64, LeaseRequest) {
    let mut draws = allowances.lease_requests(Time(now));
    assert_eq!(draws.len(), 1);
    draws.remove(0)
}

fn grant(amounts: u64, prefetch_amount: u64, wait: Micros) -> LeaseGrant {
    LeaseGrant {
        granted_bits: amounts,
        prefetch_amount,
        retry_after_us: wait,
    }
}

fn ends(decided: &[AdmissionDecision<u32>]) -> Vec<(u32, AdmissionOutcome)> {
    decided
        .iter()
        .map(|decided| (decided.request, decided.outcome))
        .collect()
}

#[test]
fn a_tenant_without_a_quota_goes_at_once() {
    assert_eq!(
        new().admit(Time(5), &tenants()[1], 99, 1, LATER),
        AdmissionOutcome::Admitted(Time(5))
    );
}

#[test]
fn requests_wait_for_one_draw_at_a_time() {
    let mut allowances = new();
    assert_eq!(take(&mut allowances, 0, 10, 1), AdmissionOutcome::Queued);
    let (id, draw) = sent(&mut allowances, 0);
    assert_eq!((draw.amounts, draw.tenant.as_str()), (vec![10], "a"));
    assert_eq!(take(&mut allowances, 1, 20, 2), AdmissionOutcome::Queued);
    assert!(allowances.lease_requests(Time(1)).is_empty());
    let until = Time(validity());
    assert_eq!(
        ends(&allowances.on_grant(Time(2), id, grant(1, 0, 0))),
        [(1, AdmissionOutcome::Admitted(until))]
    );
    assert!(
        allowances.on_grant(Time(2), id, grant(1, 0, 0)).is_empty(),
        "an answer counts once"
    );
    assert_eq!(sent(&mut allowances, 3).1.amounts, [20]);
}

#[test]
fn what_is_denied_is_denied_at_once_for_a_moment() {
    let mut allowances = new();
    take(&mut allowances, 0, 10, 1);
    take(&mut allowances, 0, 50, 2);
    let (id, _) = sent(&mut allowances, 0);
    let decided = allowances.on_grant(Time(1), id, grant(1, 0, 30_000));
    assert_eq!(ends(&decided)[1], (2, AdmissionOutcome::OverQuota(30_000)));
    assert_eq!(
        take(&mut allowances, 2, 60, 3),
        AdmissionOutcome::OverQuota(30_000)
    );
    assert_eq!(take(&mut allowances, 2, 40, 4), AdmissionOutcome::Queued);
    assert_eq!(
        take(&mut allowances, 30_001, 60, 5),
        AdmissionOutcome::Queued
    );
}

#[test]
fn a_grant_is_valid_from_when_it_was_asked_for_and_no_longer() {
    let mut allowances = new();
    take(&mut allowances, 0, 10, 1);
    let (id, _) = sent(&mut allowances, 0);
    assert!(allowances
        .on_grant(Time(validity()), id, grant(1, 500, 0))
        .is_empty());
    // It waits still, and is asked for anew.
    let (id, _) = sent(&mut allowances, validity());
    let granted = allowances.on_grant(Time(validity() + 1), id, grant(1, 500, 0));
    assert_eq!(
        ends(&granted),
        [(1, AdmissionOutcome::Admitted(Time(2 * validity())))]
    );
    assert_eq!(
        take(&mut allowances, validity() + 2, 400, 2),
        AdmissionOutcome::Admitted(Time(2 * validity()))
    );
    assert_eq!(
        take(&mut allowances, 2 * validity(), 50, 3),
        AdmissionOutcome::Queued,
        "what was ahead has lapsed"
    );
}

#[test]
fn the_grant_of_who_has_left_serves_another() {
    let mut allowances = new();
    take(&mut allowances, 0, 10, 1);
    take(&mut allowances, 0, 30, 2);
    let (id, _) = sent(&mut allowances, 0);
    assert!(allowances.cancel(1) && !allowances.cancel(1) && !allowances.cancel(9));
    assert_eq!(allowances.queued_count(), 1);
    let decided = allowances.on_grant(Time(5), id, grant(0b11, 0, 0));
    assert_eq!(
        ends(&decided),
        [(2, AdmissionOutcome::Admitted(Time(validity())))]
    );
    assert_eq!(
        take(&mut allowances, 6, 10, 3),
        AdmissionOutcome::Admitted(Time(validity()))
    );
    assert_eq!(take(&mut allowances, 6, 1, 4), AdmissionOutcome::Queued);
}

#[test]
fn what_was_let_through_and_sent_to_nobody_serves_another_while_it_is_valid() {
    let mut allowances = new();
    take(&mut allowances, 0, 10, 1);
    let (id, _) = sent(&mut allowances, 0);
    allowances.on_grant(Time(5), id, grant(1, 0, 0));
    allowances.return_unused("a", 10, Time(validity()));
    assert_eq!(
        take(&mut allowances, 6, 10, 2),
        AdmissionOutcome::Admitted(Time(validity()))
    );
    allowances.return_unused("a", 10, Time(validity()));
    assert_eq!(
        take(&mut allowances, validity(), 10, 3),
        AdmissionOutcome::Queued
    );
}

#[test]
fn who_waits_for_too_long_is_told_that_nobody_knows() {
    let mut allowances = new();
    allowances.admit(Time(0), &tenants()[0], 10, 1, Time(50));
    allowances.admit(Time(0), &tenants()[0], 20, 2, Time(90));
    let (id, _) = sent(&mut allowances, 0);
    assert_eq!(allowances.next_wake(), Some(Time(50)));
    assert_eq!(
        ends(&allowances.expire(Time(50))),
        [(1, AdmissionOutcome::Unavailable(RETRY_AFTER_US))]
    );
    // The grants still find their places.
    let decided = allowances.on_grant(Time(60), id, grant(0b10, 0, 9));
    assert_eq!(
        ends(&decided),
        [(2, AdmissionOutcome::Admitted(Time(validity())))]
    );
    assert_eq!(allowances.queued_count(), 0);
}

#[test]
fn another_connection_is_asked_anew() {
    let mut allowances = new();
    take(&mut allowances, 0, 10, 1);
    let (id, _) = sent(&mut allowances, 0);
    allowances.on_link_lost();
    assert!(allowances.on_grant(Time(1), id, grant(1, 0, 0)).is_empty());
    let (again, draw) = sent(&mut allowances, 2);
    assert!(again != id && draw.amounts == [10]);
}

#[test]
fn many_requests_are_drawn_for_ahead() {
    let mut allowances = new();
    for waiter in 0..3 {
        take(&mut allowances, 0, 10, waiter);
    }
    let (id, draw) = sent(&mut allowances, 0);
    assert_eq!((draw.amounts.len(), draw.prefetch_amount), (3, 0));
    allowances.on_grant(Time(1), id, grant(0b111, 0, 0));
    take(&mut allowances, 2, 10, 9);
    assert_eq!(sent(&mut allowances, 2).1.prefetch_amount, 30);
}

#[test]
fn what_waits_and_what_is_remembered_is_bounded() {
    let mut allowances = new();
    for waiter in 0..tenant::MAX_QUEUED as u32 {
        assert_eq!(
            take(&mut allowances, 0, 10, waiter),
            AdmissionOutcome::Queued
        );
    }
    assert_eq!(
        take(&mut allowances, 0, 10, 9_999),
        AdmissionOutcome::Unavailable(RETRY_AFTER_US)
    );
    assert_eq!(sent(&mut allowances, 0).1.amounts.len(), MAX_AMOUNTS);
    allowances.on_link_lost();
    allowances.expire(LATER);
    assert!(allowances.tenants.is_empty());
}

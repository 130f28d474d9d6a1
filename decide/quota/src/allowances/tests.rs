//! Tests of admission control at a router.

use super::*;
use crate::lease::MAX_AMOUNTS;
use lichenswitch_configuration::Document;
use lichenswitch_interface::Micros;
use std::time::Duration;

const BOUNDS: QuotaBounds = QuotaBounds {
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
    TenantQuota::of(&tenants()[0].quota.expect("a quota"), &BOUNDS).lease_validity
}

fn new_allowances() -> Allowances<u32> {
    Allowances::new(BOUNDS, 0)
}

fn admit(
    allowances: &mut Allowances<u32>,
    now: u64,
    amount: u64,
    request: u32,
) -> AdmissionOutcome {
    allowances.admit(Time(now), &tenants()[0], amount, request, LATER)
}

/// Returns the lease request that is sent now, which must be the only one.
fn sent_lease_request(allowances: &mut Allowances<u32>, now: u64) -> (u64, LeaseRequest) {
    let mut requests = allowances.lease_requests(Time(now));
    assert_eq!(requests.len(), 1);
    requests.remove(0)
}

fn grant(granted_bits: u64, prefetch_amount: u64, retry_after_us: Micros) -> LeaseGrant {
    LeaseGrant {
        granted_bits,
        prefetch_amount,
        retry_after_us,
    }
}

fn outcomes(decisions: &[AdmissionDecision<u32>]) -> Vec<(u32, AdmissionOutcome)> {
    decisions
        .iter()
        .map(|decision| (decision.request, decision.outcome))
        .collect()
}

#[test]
fn request_of_tenant_without_quota_is_admitted_at_once() {
    assert_eq!(
        new_allowances().admit(Time(5), &tenants()[1], 99, 1, LATER),
        AdmissionOutcome::Admitted(Time(5))
    );
}

#[test]
fn one_lease_request_is_in_flight_at_a_time() {
    let mut allowances = new_allowances();
    assert_eq!(admit(&mut allowances, 0, 10, 1), AdmissionOutcome::Queued);
    let (id, request) = sent_lease_request(&mut allowances, 0);
    assert_eq!((request.amounts, request.tenant.as_str()), (vec![10], "a"));
    assert_eq!(admit(&mut allowances, 1, 20, 2), AdmissionOutcome::Queued);
    assert!(allowances.lease_requests(Time(1)).is_empty());
    let until = Time(validity());
    assert_eq!(
        outcomes(&allowances.on_grant(Time(2), id, grant(1, 0, 0))),
        [(1, AdmissionOutcome::Admitted(until))]
    );
    assert!(
        allowances.on_grant(Time(2), id, grant(1, 0, 0)).is_empty(),
        "a second response to the same request has no effect"
    );
    assert_eq!(sent_lease_request(&mut allowances, 3).1.amounts, [20]);
}

#[test]
fn denial_applies_to_further_requests_until_it_expires() {
    let mut allowances = new_allowances();
    admit(&mut allowances, 0, 10, 1);
    admit(&mut allowances, 0, 50, 2);
    let (id, _) = sent_lease_request(&mut allowances, 0);
    let decisions = allowances.on_grant(Time(1), id, grant(1, 0, 30_000));
    assert_eq!(
        outcomes(&decisions)[1],
        (2, AdmissionOutcome::OverQuota(30_000))
    );
    assert_eq!(
        admit(&mut allowances, 2, 60, 3),
        AdmissionOutcome::OverQuota(30_000)
    );
    assert_eq!(admit(&mut allowances, 2, 40, 4), AdmissionOutcome::Queued);
    assert_eq!(
        admit(&mut allowances, 30_001, 60, 5),
        AdmissionOutcome::Queued
    );
}

#[test]
fn grant_expires_one_validity_after_its_request() {
    let mut allowances = new_allowances();
    admit(&mut allowances, 0, 10, 1);
    let (id, _) = sent_lease_request(&mut allowances, 0);
    assert!(allowances
        .on_grant(Time(validity()), id, grant(1, 500, 0))
        .is_empty());
    // The request is still queued, and its lease is requested again.
    let (id, _) = sent_lease_request(&mut allowances, validity());
    let granted = allowances.on_grant(Time(validity() + 1), id, grant(1, 500, 0));
    assert_eq!(
        outcomes(&granted),
        [(1, AdmissionOutcome::Admitted(Time(2 * validity())))]
    );
    assert_eq!(
        admit(&mut allowances, validity() + 2, 400, 2),
        AdmissionOutcome::Admitted(Time(2 * validity()))
    );
    assert_eq!(
        admit(&mut allowances, 2 * validity(), 50, 3),
        AdmissionOutcome::Queued,
        "the prefetched tokens have expired"
    );
}

#[test]
fn tokens_of_cancelled_request_are_used_by_another() {
    let mut allowances = new_allowances();
    admit(&mut allowances, 0, 10, 1);
    admit(&mut allowances, 0, 30, 2);
    let (id, _) = sent_lease_request(&mut allowances, 0);
    assert!(allowances.cancel(1) && !allowances.cancel(1) && !allowances.cancel(9));
    assert_eq!(allowances.queued_count(), 1);
    let decisions = allowances.on_grant(Time(5), id, grant(0b11, 0, 0));
    assert_eq!(
        outcomes(&decisions),
        [(2, AdmissionOutcome::Admitted(Time(validity())))]
    );
    assert_eq!(
        admit(&mut allowances, 6, 10, 3),
        AdmissionOutcome::Admitted(Time(validity()))
    );
    assert_eq!(admit(&mut allowances, 6, 1, 4), AdmissionOutcome::Queued);
}

#[test]
fn returned_tokens_are_used_by_another_request_until_they_expire() {
    let mut allowances = new_allowances();
    admit(&mut allowances, 0, 10, 1);
    let (id, _) = sent_lease_request(&mut allowances, 0);
    allowances.on_grant(Time(5), id, grant(1, 0, 0));
    allowances.return_unused("a", 10, Time(validity()));
    assert_eq!(
        admit(&mut allowances, 6, 10, 2),
        AdmissionOutcome::Admitted(Time(validity()))
    );
    allowances.return_unused("a", 10, Time(validity()));
    assert_eq!(
        admit(&mut allowances, validity(), 10, 3),
        AdmissionOutcome::Queued
    );
}

#[test]
fn queued_request_is_unavailable_at_its_deadline() {
    let mut allowances = new_allowances();
    allowances.admit(Time(0), &tenants()[0], 10, 1, Time(50));
    allowances.admit(Time(0), &tenants()[0], 20, 2, Time(90));
    let (id, _) = sent_lease_request(&mut allowances, 0);
    assert_eq!(allowances.next_wake(), Some(Time(50)));
    assert_eq!(
        outcomes(&allowances.expire(Time(50))),
        [(1, AdmissionOutcome::Unavailable(RETRY_AFTER_US))]
    );
    // The bits of the grant still refer to the original positions of the requests.
    let decisions = allowances.on_grant(Time(60), id, grant(0b10, 0, 9));
    assert_eq!(
        outcomes(&decisions),
        [(2, AdmissionOutcome::Admitted(Time(validity())))]
    );
    assert_eq!(allowances.queued_count(), 0);
}

#[test]
fn lease_is_requested_again_after_link_is_lost() {
    let mut allowances = new_allowances();
    admit(&mut allowances, 0, 10, 1);
    let (id, _) = sent_lease_request(&mut allowances, 0);
    allowances.on_link_lost();
    assert!(allowances.on_grant(Time(1), id, grant(1, 0, 0)).is_empty());
    let (new_id, request) = sent_lease_request(&mut allowances, 2);
    assert!(new_id != id && request.amounts == [10]);
}

#[test]
fn frequent_requests_prefetch_tokens() {
    let mut allowances = new_allowances();
    for request in 0..3 {
        admit(&mut allowances, 0, 10, request);
    }
    let (id, request) = sent_lease_request(&mut allowances, 0);
    assert_eq!((request.amounts.len(), request.prefetch_amount), (3, 0));
    allowances.on_grant(Time(1), id, grant(0b111, 0, 0));
    admit(&mut allowances, 2, 10, 9);
    assert_eq!(sent_lease_request(&mut allowances, 2).1.prefetch_amount, 30);
}

#[test]
fn queue_is_bounded_and_idle_tenants_are_removed() {
    let mut allowances = new_allowances();
    for request in 0..tenant::MAX_QUEUED as u32 {
        assert_eq!(
            admit(&mut allowances, 0, 10, request),
            AdmissionOutcome::Queued
        );
    }
    assert_eq!(
        admit(&mut allowances, 0, 10, 9_999),
        AdmissionOutcome::Unavailable(RETRY_AFTER_US)
    );
    assert_eq!(
        sent_lease_request(&mut allowances, 0).1.amounts.len(),
        MAX_AMOUNTS
    );
    allowances.on_link_lost();
    allowances.expire(LATER);
    assert!(allowances.tenants.is_empty());
}

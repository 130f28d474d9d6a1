//! Tests of lease requests at a control machine.

use super::*;
use crate::tenant_quota::QuotaBounds;
use assert_matches::assert_matches;
use lichenswitch_configuration::{Document, QuotaUnit};
use std::time::Duration;

const SECOND: Micros = 1_000_000;

/// A control machine, voting or not, that can reach some of the voters 1 to 4.
struct Machine {
    buckets: Buckets,
    ownership: ShardOwnership,
    own_id: OwnerId,
    reachable: BTreeSet<OwnerId>,
    requests: LeaseRequests<&'static str>,
}

fn machine(own_id: u64, voters: &[u64], reachable: &[u64]) -> Machine {
    let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
        {"name":"a","unit":"token_count","ratePerS":3000,"burstSize":0}]}"#;
    let document = Document::parse(text).expect("valid");
    let mut buckets = Buckets::new(QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 0.0,
    });
    buckets.set_tenants(Time(0), document.tenants().expect("tenants"));
    let mut ownership = ShardOwnership::new(
        OwnerId(own_id),
        voters.iter().copied().map(OwnerId).collect(),
    );
    (0..20).for_each(|second| ownership.on_contact(Time(second * SECOND)));
    let reachable = reachable.iter().copied().map(OwnerId).collect();
    Machine {
        buckets,
        ownership,
        own_id: OwnerId(own_id),
        reachable,
        requests: LeaseRequests::new(0),
    }
}

impl Machine {
    fn with_context<T>(
        &mut self,
        action: impl FnOnce(&mut LeaseRequests<&'static str>, &mut LeaseContext<'_>) -> T,
    ) -> T {
        let mut context = LeaseContext {
            buckets: &mut self.buckets,
            ownership: &self.ownership,
            own_id: self.own_id,
            reachable: &self.reachable,
        };
        action(&mut self.requests, &mut context)
    }

    fn admit(&mut self, now: Time, request: LeaseRequest) -> Vec<LeaseAction<&'static str>> {
        self.with_context(|requests, context| requests.on_request(now, "router", request, context))
    }
}

fn request(amounts: &[u64]) -> LeaseRequest {
    LeaseRequest {
        tenant: "a".to_owned(),
        unit: QuotaUnit::Tokens,
        amounts: amounts.to_vec(),
        prefetch_amount: 0,
    }
}

fn sent_request(actions: &[LeaseAction<&'static str>]) -> (OwnerId, u64, LeaseRequest) {
    assert_matches!(actions, [LeaseAction::Request { to, id, request, .. }] => (*to, *id, request.clone()))
}

fn response(actions: &[LeaseAction<&'static str>]) -> LeaseGrant {
    assert_matches!(actions, [LeaseAction::Respond { origin: "router", grant }] => *grant)
}

#[test]
fn request_within_own_shard_is_granted_at_once() {
    let mut only_owner = machine(1, &[1], &[]);
    only_owner.admit(Time(0), request(&[1]));
    assert!(response(&only_owner.admit(Time(5 * SECOND), request(&[100]))).covers(0));
}

#[test]
fn remaining_amounts_are_requested_from_other_owners_in_turn() {
    let mut relay = machine(9, &[1, 2, 3, 4], &[1, 2, 3, 4]);
    let (first, id, request) = sent_request(&relay.admit(Time(0), request(&[10, 20])));
    assert_eq!(request.amounts, [10, 20]);
    let granted = LeaseGrant {
        granted_bits: 0b10,
        prefetch_amount: 0,
        retry_after_us: 40_000,
    };
    let actions = relay.with_context(|requests, context| {
        requests.on_response(Time(1), first, id, granted, context)
    });
    let (second, id, request) = sent_request(&actions);
    assert!(second != first && request.amounts == [10]);
    let granted = LeaseGrant {
        granted_bits: 0b1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    let actions = relay.with_context(|requests, context| {
        requests.on_response(Time(2), second, id, granted, context)
    });
    assert_eq!(response(&actions).granted_bits, 0b11);
    assert!(relay.requests.next_wake().is_none());
}

#[test]
fn response_counts_once_and_only_from_the_requested_owner() {
    let mut relay = machine(9, &[1, 2, 3, 4], &[1, 2, 3, 4]);
    let (first, id, _) = sent_request(&relay.admit(Time(0), request(&[10])));
    let all = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    let other = OwnerId(first.0 % 4 + 1);
    assert!(relay
        .with_context(|requests, context| requests.on_response(Time(1), other, id, all, context))
        .is_empty());
    assert!(response(
        &relay.with_context(|requests, context| requests.on_response(
            Time(1),
            first,
            id,
            all,
            context
        ))
    )
    .covers(0));
    assert!(relay
        .with_context(|requests, context| requests.on_response(Time(1), first, id, all, context))
        .is_empty());
}

#[test]
fn lost_overdue_and_unreachable_owners_are_skipped() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (first, _, _) = sent_request(&relay.admit(Time(0), request(&[10])));
    let actions =
        relay.with_context(|requests, context| requests.on_owner_lost(Time(1), first, context));
    let (second, id, _) = sent_request(&actions);
    let due = relay.requests.next_wake().expect("a wake");
    assert!(relay
        .with_context(|requests, context| requests.tick(Time(due.0 - 1), context))
        .is_empty());
    let (third, _, _) =
        sent_request(&relay.with_context(|requests, context| requests.tick(due, context)));
    // A late response grants nothing to this request.
    let late = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    assert!(relay
        .with_context(|requests, context| requests.on_response(due, second, id, late, context))
        .is_empty());
    let actions =
        relay.with_context(|requests, context| requests.on_owner_lost(due, third, context));
    assert_eq!(response(&actions).granted_bits, 0);
    let mut cut_off = machine(9, &[1, 2, 3], &[]);
    assert_eq!(
        response(&cut_off.admit(Time(0), request(&[10]))).granted_bits,
        0
    );
}

#[test]
fn unresponsive_owner_is_tried_last() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (unresponsive, _, _) = sent_request(&relay.admit(Time(0), request(&[10])));
    let due = relay.requests.next_wake().expect("a wake");
    relay.with_context(|requests, context| requests.tick(due, context));
    let after = Time(owner_health::UNRESPONSIVE_AFTER_US);
    for _ in 0..6 {
        let (first, _, _) = sent_request(&relay.admit(after, request(&[10])));
        assert_ne!(first, unresponsive);
    }
    let later = after.plus(owner_health::UNRESPONSIVE_BACKOFF_US);
    let first_owners: Vec<OwnerId> = (0..6)
        .map(|_| sent_request(&relay.admit(later, request(&[10]))).0)
        .collect();
    assert!(first_owners.contains(&unresponsive));
}

#[test]
fn owner_suspended_for_less_than_100_ms_is_not_unresponsive() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (suspended, id, _) = sent_request(&relay.admit(Time(0), request(&[10])));
    let due = relay.requests.next_wake().expect("a wake");
    let (next, ..) =
        sent_request(&relay.with_context(|requests, context| requests.tick(due, context)));
    assert_ne!(next, suspended, "the suspended owner is skipped");
    let first_owners = |relay: &mut Machine, now| -> Vec<OwnerId> {
        (0..6)
            .map(|_| sent_request(&relay.admit(now, request(&[10]))).0)
            .collect()
    };
    assert!(first_owners(&mut relay, Time(99_000)).contains(&suspended));
    // The late response grants nothing but shows that its sender is alive.
    let late = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    assert!(relay
        .with_context(|requests, context| requests.on_response(
            Time(100_000),
            suspended,
            id,
            late,
            context
        ))
        .is_empty());
    assert!(first_owners(
        &mut relay,
        Time(owner_health::UNRESPONSIVE_AFTER_US + 1_000)
    )
    .contains(&suspended));
}

#[test]
fn owner_is_not_tried_again_for_denied_amount_until_denial_expires() {
    let mut relay = machine(9, &[1], &[1]);
    let denied = LeaseGrant {
        granted_bits: 0,
        prefetch_amount: 0,
        retry_after_us: 50_000,
    };
    let (owner, id, _) = sent_request(&relay.admit(Time(0), request(&[100])));
    relay.with_context(|requests, context| {
        requests.on_response(Time(1), owner, id, denied, context)
    });
    assert_eq!(
        response(&relay.admit(Time(2), request(&[100, 120]))).granted_bits,
        0
    );
    let (_, _, remaining) = sent_request(&relay.admit(Time(2), request(&[100, 99])));
    assert_eq!(remaining.amounts, [99]);
    relay.with_context(|requests, context| requests.tick(Time(60_000), context));
    sent_request(&relay.admit(Time(60_000), request(&[100])));
}

#[test]
fn machine_without_known_voters_allows_receiver_to_forward() {
    let mut relay = machine(9, &[], &[1, 2, 3]);
    let actions = relay.admit(Time(0), request(&[10]));
    assert_matches!(
        &actions[..],
        [LeaseAction::Request {
            may_forward: true,
            ..
        }]
    );
}

//! Tests of `lease_requests`.

use super::*;
use crate::tenant_quota::QuotaBounds;
use assert_matches::assert_matches;
use lichenswitch_configuration::{Document, QuotaUnit};
use std::time::Duration;

const SECOND: Micros = 1_000_000;

/// A machine among the voters 1 to 4 (or without a vote) that can reach some of them.
struct Machine {
    buckets: Buckets,
    ownership: ShardOwnership,
    own: OwnerId,
    reachable: BTreeSet<OwnerId>,
    draws: LeaseRequests<&'static str>,
}

fn machine(own: u64, voters: &[u64], reachable: &[u64]) -> Machine {
    let text = br#"{"version":1,"routes":[],"services":[],"tenants":[
        {"name":"a","unit":"token_count","ratePerS":3000,"burstSize":0}]}"#;
    let document = Document::parse(text).expect("valid");
    let mut buckets = Buckets::new(QuotaBounds {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 0.0,
    });
    buckets.set_tenants(Time(0), document.tenants().expect("tenants"));
    let mut ownership =
        ShardOwnership::new(OwnerId(own), voters.iter().copied().map(OwnerId).collect());
    (0..20).for_each(|second| ownership.on_contact(Time(second * SECOND)));
    let reachable = reachable.iter().copied().map(OwnerId).collect();
    Machine {
        buckets,
        ownership,
        own: OwnerId(own),
        reachable,
        draws: LeaseRequests::new(0),
    }
}

impl Machine {
    fn with<T>(
        &mut self,
        act: impl FnOnce(&mut LeaseRequests<&'static str>, &mut LeaseContext<'_>) -> T,
    ) -> T {
        let mut place = LeaseContext {
            buckets: &mut self.buckets,
            ownership: &self.ownership,
            own_id: self.own,
            reachable: &self.reachable,
        };
        act(&mut self.draws, &mut place)
    }

    fn take(&mut self, now: Time, draw: LeaseRequest) -> Vec<LeaseAction<&'static str>> {
        self.with(|draws, place| draws.on_request(now, "router", draw, place))
    }
}

fn draw(amounts: &[u64]) -> LeaseRequest {
    LeaseRequest {
        tenant: "a".to_owned(),
        unit: QuotaUnit::Tokens,
        amounts: amounts.to_vec(),
        prefetch_amount: 0,
    }
}

fn asked(orders: &[LeaseAction<&'static str>]) -> (OwnerId, u64, LeaseRequest) {
    assert_matches!(orders, [LeaseAction::Request { to, id, request, .. }] => (*to, *id, request.clone()))
}

fn answer(orders: &[LeaseAction<&'static str>]) -> LeaseGrant {
    assert_matches!(orders, [LeaseAction::Respond { origin: "router", grant }] => *grant)
}

#[test]
fn what_the_own_part_bears_is_answered_at_once() {
    let mut alone = machine(1, &[1], &[]);
    alone.take(Time(0), draw(&[1]));
    assert!(answer(&alone.take(Time(5 * SECOND), draw(&[100]))).covers(0));
}

#[test]
fn the_other_holders_are_asked_one_after_another_for_what_is_left() {
    let mut relay = machine(9, &[1, 2, 3, 4], &[1, 2, 3, 4]);
    let (first, id, wanted) = asked(&relay.take(Time(0), draw(&[10, 20])));
    assert_eq!(wanted.amounts, [10, 20]);
    let granted = LeaseGrant {
        granted_bits: 0b10,
        prefetch_amount: 0,
        retry_after_us: 40_000,
    };
    let orders = relay.with(|draws, place| draws.on_response(Time(1), first, id, granted, place));
    let (second, id, wanted) = asked(&orders);
    assert!(second != first && wanted.amounts == [10]);
    let granted = LeaseGrant {
        granted_bits: 0b1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    let orders = relay.with(|draws, place| draws.on_response(Time(2), second, id, granted, place));
    assert_eq!(answer(&orders).granted_bits, 0b11);
    assert!(relay.draws.next_wake().is_none());
}

#[test]
fn an_answer_counts_once_and_only_from_whom_it_was_asked_of() {
    let mut relay = machine(9, &[1, 2, 3, 4], &[1, 2, 3, 4]);
    let (first, id, _) = asked(&relay.take(Time(0), draw(&[10])));
    let all = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    let other = OwnerId(first.0 % 4 + 1);
    assert!(relay
        .with(|draws, place| draws.on_response(Time(1), other, id, all, place))
        .is_empty());
    assert!(
        answer(&relay.with(|draws, place| draws.on_response(Time(1), first, id, all, place)))
            .covers(0)
    );
    assert!(relay
        .with(|draws, place| draws.on_response(Time(1), first, id, all, place))
        .is_empty());
}

#[test]
fn holders_that_are_lost_silent_or_out_of_reach_are_passed_over() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (first, _, _) = asked(&relay.take(Time(0), draw(&[10])));
    let orders = relay.with(|draws, place| draws.on_owner_lost(Time(1), first, place));
    let (second, id, _) = asked(&orders);
    let due = relay.draws.next_wake().expect("a wake");
    assert!(relay
        .with(|draws, place| draws.tick(Time(due.0 - 1), place))
        .is_empty());
    let (third, _, _) = asked(&relay.with(|draws, place| draws.tick(due, place)));
    // What comes too late is no grant of this draw.
    let late = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    assert!(relay
        .with(|draws, place| draws.on_response(due, second, id, late, place))
        .is_empty());
    let orders = relay.with(|draws, place| draws.on_owner_lost(due, third, place));
    assert_eq!(answer(&orders).granted_bits, 0);
    let mut cut_off = machine(9, &[1, 2, 3], &[]);
    assert_eq!(answer(&cut_off.take(Time(0), draw(&[10]))).granted_bits, 0);
}

#[test]
fn a_holder_that_did_not_answer_in_time_is_asked_last() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (silent, _, _) = asked(&relay.take(Time(0), draw(&[10])));
    let due = relay.draws.next_wake().expect("a wake");
    relay.with(|draws, place| draws.tick(due, place));
    let after = Time(owner_health::UNRESPONSIVE_AFTER_US);
    for _ in 0..6 {
        let (first, _, _) = asked(&relay.take(after, draw(&[10])));
        assert_ne!(first, silent);
    }
    let later = after.plus(owner_health::UNRESPONSIVE_BACKOFF_US);
    let firsts: Vec<OwnerId> = (0..6)
        .map(|_| asked(&relay.take(later, draw(&[10]))).0)
        .collect();
    assert!(firsts.contains(&silent));
}

#[test]
fn a_holder_that_stands_still_for_less_than_a_tenth_of_a_second_is_not_taken_to_be_gone() {
    let mut relay = machine(9, &[1, 2, 3], &[1, 2, 3]);
    let (still, id, _) = asked(&relay.take(Time(0), draw(&[10])));
    let due = relay.draws.next_wake().expect("a wake");
    let (next, ..) = asked(&relay.with(|draws, place| draws.tick(due, place)));
    assert_ne!(next, still, "it is passed over");
    let firsts = |relay: &mut Machine, now| -> Vec<OwnerId> {
        (0..6)
            .map(|_| asked(&relay.take(now, draw(&[10]))).0)
            .collect()
    };
    assert!(firsts(&mut relay, Time(99_000)).contains(&still));
    // Its answer comes too late for that draw, and in time to be trusted.
    let late = LeaseGrant {
        granted_bits: 1,
        prefetch_amount: 0,
        retry_after_us: 0,
    };
    assert!(relay
        .with(|draws, place| draws.on_response(Time(100_000), still, id, late, place))
        .is_empty());
    assert!(firsts(
        &mut relay,
        Time(owner_health::UNRESPONSIVE_AFTER_US + 1_000)
    )
    .contains(&still));
}

#[test]
fn a_holder_that_had_too_little_is_not_asked_for_as_much_again_at_once() {
    let mut relay = machine(9, &[1], &[1]);
    let denied = LeaseGrant {
        granted_bits: 0,
        prefetch_amount: 0,
        retry_after_us: 50_000,
    };
    let (holder, id, _) = asked(&relay.take(Time(0), draw(&[100])));
    relay.with(|draws, place| draws.on_response(Time(1), holder, id, denied, place));
    assert_eq!(
        answer(&relay.take(Time(2), draw(&[100, 120]))).granted_bits,
        0
    );
    let (_, _, wanted) = asked(&relay.take(Time(2), draw(&[100, 99])));
    assert_eq!(wanted.amounts, [99]);
    relay.with(|draws, place| draws.tick(Time(60_000), place));
    asked(&relay.take(Time(60_000), draw(&[100])));
}

#[test]
fn a_machine_that_knows_no_voters_asks_others_to_ask() {
    let mut relay = machine(9, &[], &[1, 2, 3]);
    let orders = relay.take(Time(0), draw(&[10]));
    assert_matches!(
        &orders[..],
        [LeaseAction::Request {
            may_forward: true,
            ..
        }]
    );
}

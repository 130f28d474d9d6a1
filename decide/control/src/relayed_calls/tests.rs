//! Tests of `relayed_calls`.

use super::*;
use crate::call::{CallKind, CallOrigin};
use assert_matches::assert_matches;
use lichenswitch_configuration::{Order, REPLACE_PATH};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * MS)
}

/// Caller handles and machine addresses are small numbers.
type Call = crate::call::Call<u8, u8>;
type RelayedCalls = super::RelayedCalls<u8, u8>;

fn peer(number: u8) -> u8 {
    number
}

fn order_call(arrived_at: Time) -> Call {
    let order = Order {
        path: REPLACE_PATH.to_owned(),
        base_version: 3,
        body: b"{}".to_vec(),
    };
    // The origin does not affect how calls are relayed.
    Call {
        origin: CallOrigin::Peer {
            address: peer(9),
            id: 1,
        },
        kind: CallKind::Order(order),
        arrived_at,
    }
}

/// Submits a call from a peer that numbered it `origin_id`, forwards it, and returns the number
/// that it was forwarded with.
fn forward_one(calls: &mut RelayedCalls, now: Time, origin_id: u64) -> u64 {
    let origin = CallOrigin::Peer {
        address: peer(9),
        id: origin_id,
    };
    calls.submit(Call {
        origin,
        ..order_call(now)
    });
    calls.advance(now, &PrimaryLocation::Remote(peer(1)));
    next_forwarded(calls).1
}

fn respond(calls: &mut RelayedCalls, now: Time, id: u64) {
    let response = RelayedResponse::Response {
        status: 200,
        body: Vec::new(),
    };
    calls.on_response(now, &peer(1), id, response);
}

/// Returns the origin's number of each call that has completed.
fn take_completed_origin_ids(calls: &mut RelayedCalls) -> Vec<u64> {
    let origin_id = |action| {
        assert_matches!(
            action,
            RelayAction::Respond(CompletedCall {
                call: Call {
                    origin: CallOrigin::Peer { id, .. },
                    ..
                },
                ..
            }) => id
        )
    };
    calls.take_actions().into_iter().map(origin_id).collect()
}

fn describe_call(arrived_at: Time) -> Call {
    Call {
        kind: CallKind::Describe,
        ..order_call(arrived_at)
    }
}

/// Returns the address and the number of the only call to forward.
fn next_forwarded(calls: &mut RelayedCalls) -> (u8, u64) {
    let actions = calls.take_actions();
    assert_matches!(&actions[..], [RelayAction::Forward { to, id, .. }] => (*to, *id))
}

#[test]
fn call_waits_for_primary_and_returns_its_response() {
    let mut calls = RelayedCalls::new(0);
    calls.submit(order_call(at(0)));
    calls.advance(at(0), &PrimaryLocation::Unknown);
    assert!(calls.take_actions().is_empty());
    calls.advance(at(300), &PrimaryLocation::Remote(peer(1)));
    let (to, id) = next_forwarded(&mut calls);
    assert_eq!(to, peer(1));
    calls.on_response(at(310), &peer(2), id, RelayedResponse::Unknown);
    assert!(
        calls.take_actions().is_empty(),
        "a response from another machine is ignored"
    );
    calls.on_response(
        at(320),
        &peer(1),
        id,
        RelayedResponse::Response {
            status: 200,
            body: Vec::new(),
        },
    );
    assert_matches!(
        &calls.take_actions()[..],
        [RelayAction::Respond(CompletedCall {
            response: RelayedResponse::Response { status: 200, .. },
            ..
        })]
    );
    calls.on_response(at(330), &peer(1), id, RelayedResponse::Unknown);
    assert!(
        calls.take_actions().is_empty() && calls.is_empty(),
        "a call is answered only once"
    );
}

#[test]
fn call_without_primary_completes_as_not_primary_after_650_ms() {
    let mut calls = RelayedCalls::new(0);
    calls.submit(order_call(at(0)));
    assert_eq!(calls.next_wake(), Some(at(650)));
    calls.advance(at(649), &PrimaryLocation::Unknown);
    assert!(calls.take_actions().is_empty());
    calls.advance(at(650), &PrimaryLocation::Unknown);
    assert_matches!(
        &calls.take_actions()[..],
        [RelayAction::Respond(CompletedCall {
            response: RelayedResponse::NotPrimary,
            ..
        })]
    );
}

#[test]
fn lost_forwarded_order_is_unknown_and_lost_read_is_not_primary() {
    for is_disconnected in [false, true] {
        let mut calls = RelayedCalls::new(0);
        calls.submit(order_call(at(0)));
        calls.submit(describe_call(at(0)));
        calls.advance(at(0), &PrimaryLocation::Remote(peer(1)));
        assert_eq!(calls.take_actions().len(), 2);
        match is_disconnected {
            true => calls.on_peer_disconnected(&peer(1)),
            false => calls.expire(at(800)),
        }
        let mut has_expected_response: Vec<bool> = calls
            .take_actions()
            .into_iter()
            .map(|action| {
                assert_matches!(action, RelayAction::Respond(CompletedCall { call, response, .. }) => match call.kind {
                    CallKind::Order(_) => response == RelayedResponse::Unknown,
                    _ => response == RelayedResponse::NotPrimary,
                })
            })
            .collect();
        has_expected_response.sort_unstable();
        assert_eq!(has_expected_response, [true, true]);
    }
}

#[test]
fn returned_call_is_forwarded_again_after_delay() {
    let mut calls = RelayedCalls::new(0);
    calls.submit(order_call(at(0)));
    calls.advance(at(0), &PrimaryLocation::Remote(peer(1)));
    let (_, id) = next_forwarded(&mut calls);
    calls.on_response(at(10), &peer(1), id, RelayedResponse::NotPrimary);
    calls.advance(at(20), &PrimaryLocation::Remote(peer(2)));
    assert!(calls.take_actions().is_empty());
    assert_eq!(calls.next_wake(), Some(at(110)));
    calls.advance(at(110), &PrimaryLocation::Remote(peer(2)));
    assert_eq!(next_forwarded(&mut calls).0, peer(2));
}

#[test]
fn calls_beyond_limit_get_503() {
    let mut calls = RelayedCalls::new(0);
    (0..MAX_PENDING_CALLS).for_each(|_| calls.submit(describe_call(at(0))));
    assert!(calls.take_actions().is_empty());
    calls.submit(describe_call(at(0)));
    assert_matches!(
        &calls.take_actions()[..],
        [RelayAction::Respond(CompletedCall {
            response: RelayedResponse::Response { status: 503, .. },
            ..
        })]
    );
}

#[test]
fn returned_call_never_sets_wake_in_past() {
    let mut calls = RelayedCalls::new(0);
    calls.submit(order_call(at(0)));
    calls.submit(describe_call(at(40)));
    calls.advance(at(40), &PrimaryLocation::Remote(peer(1)));
    let forwarded: Vec<u64> = calls
        .take_actions()
        .into_iter()
        .map(|action| assert_matches!(action, RelayAction::Forward { id, .. } => id))
        .collect();
    forwarded
        .iter()
        .for_each(|id| calls.on_response(at(50), &peer(1), *id, RelayedResponse::NotPrimary));
    // From here on no primary is known. After the requeue delays nothing can be done until the
    // calls' deadlines.
    let (mut now, mut wakes) = (at(50), 0);
    loop {
        calls.advance(now, &PrimaryLocation::Unknown);
        let Some(next) = calls.next_wake() else { break };
        assert!(next > now, "woken at {now:?} for {next:?}");
        (now, wakes) = (next, wakes + 1);
    }
    assert_eq!(
        (now, wakes),
        (at(690), 3),
        "one wake-up for both delays and one for each deadline"
    );
    assert_eq!(calls.take_actions().len(), 2);
    assert!(calls.is_empty());
}

#[test]
fn every_wake_makes_progress_for_any_sequence_of_primaries() {
    let primaries = [
        PrimaryLocation::Unknown,
        PrimaryLocation::Remote(peer(1)),
        PrimaryLocation::Remote(peer(2)),
        PrimaryLocation::Unknown,
    ];
    for first in 0..primaries.len() {
        let mut calls = RelayedCalls::new(0);
        (0..5).for_each(|n| calls.submit(order_call(at(30 * n))));
        let mut now = at(150);
        for turn in 0..200 {
            calls.advance(now, &primaries[(first + turn) % primaries.len()]);
            for action in calls.take_actions() {
                if let RelayAction::Forward { to, id, .. } = action {
                    if turn % 3 != 0 {
                        calls.on_response(now, &to, id, RelayedResponse::NotPrimary);
                    }
                }
            }
            calls.advance(now, &primaries[(first + turn) % primaries.len()]);
            let Some(next) = calls.next_wake() else { break };
            assert!(next > now, "woken at {now:?} for {next:?}");
            now = next;
        }
        assert!(
            calls.next_wake().is_none() && calls.is_empty(),
            "a call is pending at {now:?}"
        );
    }
}

#[test]
fn response_completes_its_call_once_and_unknown_number_completes_none() {
    let mut calls = RelayedCalls::new(100);
    let first = forward_one(&mut calls, at(0), 1);
    let second = forward_one(&mut calls, at(1), 2);
    assert_eq!((first, second), (101, 102));
    respond(&mut calls, at(2), 100);
    respond(&mut calls, at(2), 103);
    assert!(take_completed_origin_ids(&mut calls).is_empty());
    respond(&mut calls, at(2), second);
    assert_eq!(take_completed_origin_ids(&mut calls), [2]);
    respond(&mut calls, at(2), second);
    assert!(take_completed_origin_ids(&mut calls).is_empty());
    assert!(!calls.is_empty());
    assert_eq!(
        calls.next_wake(),
        Some(at(800)),
        "deadline of the first call"
    );
}

#[test]
fn response_after_deadline_completes_no_call() {
    let mut calls = RelayedCalls::new(0);
    let expired_id = forward_one(&mut calls, at(0), 1);
    forward_one(&mut calls, at(0), 2);
    forward_one(&mut calls, at(20), 3);
    calls.expire(at(799));
    assert!(take_completed_origin_ids(&mut calls).is_empty());
    calls.expire(at(800));
    assert_eq!(take_completed_origin_ids(&mut calls), [1, 2]);
    respond(&mut calls, at(801), expired_id);
    assert!(take_completed_origin_ids(&mut calls).is_empty());
    calls.on_peer_disconnected(&peer(1));
    assert_eq!(take_completed_origin_ids(&mut calls), [3]);
    assert!(calls.is_empty() && calls.next_wake().is_none());
}

#[test]
fn call_numbers_wrap_around_at_u64_max() {
    let mut calls = RelayedCalls::new(u64::MAX - 1);
    let first = forward_one(&mut calls, at(0), 1);
    let second = forward_one(&mut calls, at(0), 2);
    assert_eq!((first, second), (u64::MAX, 0));
}

#[derive(Clone, Debug)]
enum Step {
    Begin,
    Finish { age: u8 },
    Expire { elapsed: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let amount = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 3 {
            0 => Step::Begin,
            1 => Step::Finish { age: amount },
            _ => Step::Expire { elapsed: amount },
        }
    }
}

/// Compares `RelayedCalls` with a model that maps the origin's number of each pending call to its
/// response deadline. Calls are forwarded in the order of the origins' numbers, and the numbers
/// that they are forwarded with follow `first`.
#[test]
fn pending_calls_match_a_map_model() {
    fn property(first: u64, steps: Vec<Step>) -> bool {
        let (mut calls, mut model, mut now) = (RelayedCalls::new(first), BTreeMap::new(), at(0));
        let mut submitted_count = 0_u64;
        let number_of = |origin: u64| first.wrapping_add(origin).wrapping_add(1);
        steps.into_iter().all(|step| match step {
            Step::Begin => {
                let origin = submitted_count;
                submitted_count += 1;
                model.insert(origin, now.after(800 * MS));
                forward_one(&mut calls, now, origin) == number_of(origin)
            }
            Step::Finish { age } => {
                let origin = submitted_count.wrapping_sub(u64::from(age));
                let expected: Vec<u64> =
                    model.remove(&origin).map(|_| origin).into_iter().collect();
                respond(&mut calls, now, number_of(origin));
                take_completed_origin_ids(&mut calls) == expected
            }
            Step::Expire { elapsed } => {
                now = now.after(u64::from(elapsed) * 100 * MS);
                let mut expected: Vec<u64> = model
                    .iter()
                    .filter(|(_, deadline)| **deadline <= now)
                    .map(|(origin, _)| *origin)
                    .collect();
                model.retain(|_, deadline| *deadline > now);
                expected.sort_unstable_by_key(|origin| number_of(*origin));
                calls.expire(now);
                take_completed_origin_ids(&mut calls) == expected
                    && calls.is_empty() == model.is_empty()
                    && calls.next_wake() == model.values().min().copied()
            }
        })
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(property as fn(u64, Vec<Step>) -> bool);
}

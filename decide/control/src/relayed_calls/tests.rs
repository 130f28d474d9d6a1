//! Tests of `relayed_calls`.

use super::*;
use crate::call::{Origin, Question};
use assert_matches::assert_matches;
use lichenswitch_configuration::{Order, REPLACE_PATH};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * MS)
}

/// Handle of a caller, address of a machine.
type Call = crate::call::Call<u8, u8>;
type RelayedCalls = super::RelayedCalls<u8, u8>;

fn peer(number: u8) -> u8 {
    number
}

fn order(arrived: Time) -> Call {
    let order = Order {
        path: REPLACE_PATH.to_owned(),
        base_version: 3,
        body: b"{}".to_vec(),
    };
    // Who waits doesn't matter here.
    Call {
        origin: Origin::Peer {
            address: peer(9),
            id: 1,
        },
        question: Question::Order(order),
        arrived,
    }
}

fn describe(arrived: Time) -> Call {
    Call {
        question: Question::Describe,
        ..order(arrived)
    }
}

/// The call that is to be sent, if there is one.
fn sent(calls: &mut RelayedCalls) -> (u8, u64) {
    let steps = calls.take_steps();
    assert_matches!(&steps[..], [Step::Send { to, id, .. }] => (*to, *id))
}

#[test]
fn a_call_waits_for_a_primary_and_gets_its_answer() {
    let mut calls = RelayedCalls::new(0);
    calls.take(order(at(0)));
    calls.advance(at(0), &Primary::Unknown);
    assert!(calls.take_steps().is_empty());
    calls.advance(at(300), &Primary::At(peer(1)));
    let (to, id) = sent(&mut calls);
    assert_eq!(to, peer(1));
    calls.on_answer(at(310), &peer(2), id, RelayedResponse::Unknown);
    assert!(
        calls.take_steps().is_empty(),
        "an answer counts only from whom the call was sent to"
    );
    calls.on_answer(
        at(320),
        &peer(1),
        id,
        RelayedResponse::Response {
            status: 200,
            body: Vec::new(),
        },
    );
    assert_matches!(
        &calls.take_steps()[..],
        [Step::Answer(
            _,
            RelayedResponse::Response { status: 200, .. }
        )]
    );
    calls.on_answer(at(330), &peer(1), id, RelayedResponse::Unknown);
    assert!(
        calls.take_steps().is_empty() && calls.is_empty(),
        "a call is answered once"
    );
}

#[test]
fn without_a_primary_a_call_ends_with_a_promise() {
    let mut calls = RelayedCalls::new(0);
    calls.take(order(at(0)));
    assert_eq!(calls.next_wake(), Some(at(650)));
    calls.advance(at(649), &Primary::Unknown);
    assert!(calls.take_steps().is_empty());
    calls.advance(at(650), &Primary::Unknown);
    assert_matches!(
        &calls.take_steps()[..],
        [Step::Answer(_, RelayedResponse::NotPrimary)]
    );
}

#[test]
fn an_order_that_was_handed_on_ends_without_an_answer_and_a_read_with_a_promise() {
    for lost in [false, true] {
        let mut calls = RelayedCalls::new(0);
        calls.take(order(at(0)));
        calls.take(describe(at(0)));
        calls.advance(at(0), &Primary::At(peer(1)));
        assert_eq!(calls.take_steps().len(), 2);
        match lost {
            true => calls.on_lost(&peer(1)),
            false => calls.expire(at(800)),
        }
        let mut answers: Vec<bool> = calls
            .take_steps()
            .into_iter()
            .map(|step| {
                assert_matches!(step, Step::Answer(call, answer) => match call.question {
                    Question::Order(_) => answer == RelayedResponse::Unknown,
                    _ => answer == RelayedResponse::NotPrimary,
                })
            })
            .collect();
        answers.sort_unstable();
        assert_eq!(answers, [true, true]);
    }
}

#[test]
fn a_call_that_is_sent_back_goes_to_the_next_primary_after_a_pause() {
    let mut calls = RelayedCalls::new(0);
    calls.take(order(at(0)));
    calls.advance(at(0), &Primary::At(peer(1)));
    let (_, id) = sent(&mut calls);
    calls.on_answer(at(10), &peer(1), id, RelayedResponse::NotPrimary);
    calls.advance(at(20), &Primary::At(peer(2)));
    assert!(calls.take_steps().is_empty());
    assert_eq!(calls.next_wake(), Some(at(110)));
    calls.advance(at(110), &Primary::At(peer(2)));
    assert_eq!(sent(&mut calls).0, peer(2));
}

#[test]
fn more_calls_than_memory_bears_are_refused_with_a_promise() {
    let mut calls = RelayedCalls::new(0);
    (0..MOST).for_each(|_| calls.take(describe(at(0))));
    assert!(calls.take_steps().is_empty());
    calls.take(describe(at(0)));
    assert_matches!(
        &calls.take_steps()[..],
        [Step::Answer(
            _,
            RelayedResponse::Response { status: 503, .. }
        )]
    );
}

#[test]
fn a_call_that_came_back_never_wakes_the_machine_for_what_is_past() {
    let mut calls = RelayedCalls::new(0);
    calls.take(order(at(0)));
    calls.take(describe(at(40)));
    calls.advance(at(40), &Primary::At(peer(1)));
    let sent: Vec<u64> = calls
        .take_steps()
        .into_iter()
        .map(|step| assert_matches!(step, Step::Send { id, .. } => id))
        .collect();
    sent.iter()
        .for_each(|id| calls.on_answer(at(50), &peer(1), *id, RelayedResponse::NotPrimary));
    // No primary is known from then on: the pauses end, and nothing can be done until the callers'
    // patience is over.
    let (mut now, mut wakes) = (at(50), 0);
    loop {
        calls.advance(now, &Primary::Unknown);
        let Some(next) = calls.next_wake() else { break };
        assert!(next > now, "woken at {now:?} for {next:?}");
        (now, wakes) = (next, wakes + 1);
    }
    assert_eq!(
        (now, wakes),
        (at(690), 3),
        "the end of both pauses, and of each caller's patience"
    );
    assert_eq!(calls.take_steps().len(), 2);
    assert!(calls.is_empty());
}

#[test]
fn all_that_is_woken_for_is_done_by_then_whatever_is_known_of_the_primary() {
    let primaries = [
        Primary::Unknown,
        Primary::At(peer(1)),
        Primary::At(peer(2)),
        Primary::Unknown,
    ];
    for first in 0..primaries.len() {
        let mut calls = RelayedCalls::new(0);
        (0..5).for_each(|n| calls.take(order(at(30 * n))));
        let mut now = at(150);
        for turn in 0..200 {
            calls.advance(now, &primaries[(first + turn) % primaries.len()]);
            for step in calls.take_steps() {
                if let Step::Send { to, id, .. } = step {
                    if turn % 3 != 0 {
                        calls.on_answer(now, &to, id, RelayedResponse::NotPrimary);
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
            "all have ended by {now:?}"
        );
    }
}

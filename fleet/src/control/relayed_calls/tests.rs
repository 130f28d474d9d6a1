//! Tests of `relayed_calls`.

use super::super::calls::{Origin, Question};
use super::*;
use assert_matches::assert_matches;
use lichenswitch_configuration::{Order, REPLACE_PATH};

const MS: u64 = 1_000;

fn at(ms: u64) -> Time {
    Time(10_000_000 + ms * MS)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_300))
}

fn order(arrived: Time) -> Call {
    let order = Order { path: REPLACE_PATH.to_owned(), base_version: 3, body: b"{}".to_vec() };
    // Who waits doesn't matter here.
    Call { origin: Origin::Peer { address: peer(9), id: 1 }, question: Question::Order(order), arrived }
}

fn describe(arrived: Time) -> Call {
    Call { question: Question::Describe, ..order(arrived) }
}

/// The call that is to be sent, if there is one.
fn sent(calls: &mut RelayedCalls) -> (SocketAddr, u64) {
    let steps = calls.take_steps();
    assert_matches!(&steps[..], [Step::Send { to, id, .. }] => (*to, *id))
}

#[test]
fn a_call_waits_for_a_primary_and_gets_its_answer() {
    let mut calls = RelayedCalls::default();
    calls.take(order(at(0)));
    calls.advance(at(0), Primary::Unknown);
    assert!(calls.take_steps().is_empty());
    calls.advance(at(300), Primary::At(peer(1)));
    let (to, id) = sent(&mut calls);
    assert_eq!(to, peer(1));
    calls.on_answer(at(310), peer(2), id, RelayedAnswer::Unknown);
    assert!(calls.take_steps().is_empty(), "an answer counts only from whom the call was sent to");
    calls.on_answer(at(320), peer(1), id, RelayedAnswer::Answer { status: 200, body: Vec::new() });
    assert_matches!(&calls.take_steps()[..], [Step::Answer(_, RelayedAnswer::Answer { status: 200, .. })]);
    calls.on_answer(at(330), peer(1), id, RelayedAnswer::Unknown);
    assert!(calls.take_steps().is_empty() && calls.is_empty(), "a call is answered once");
}

#[test]
fn without_a_primary_a_call_ends_with_a_promise() {
    let mut calls = RelayedCalls::default();
    calls.take(order(at(0)));
    assert_eq!(calls.next_wake(), Some(at(650)));
    calls.advance(at(649), Primary::Unknown);
    assert!(calls.take_steps().is_empty());
    calls.advance(at(650), Primary::Unknown);
    assert_matches!(&calls.take_steps()[..], [Step::Answer(_, RelayedAnswer::NotPrimary)]);
}

#[test]
fn an_order_that_was_handed_on_ends_without_an_answer_and_a_read_with_a_promise() {
    for lost in [false, true] {
        let mut calls = RelayedCalls::default();
        calls.take(order(at(0)));
        calls.take(describe(at(0)));
        calls.advance(at(0), Primary::At(peer(1)));
        assert_eq!(calls.take_steps().len(), 2);
        match lost {
            true => calls.on_lost(peer(1)),
            false => calls.expire(at(800)),
        }
        let mut answers: Vec<bool> = calls
            .take_steps()
            .into_iter()
            .map(|step| {
                assert_matches!(step, Step::Answer(call, answer) => match call.question {
                    Question::Order(_) => answer == RelayedAnswer::Unknown,
                    _ => answer == RelayedAnswer::NotPrimary,
                })
            })
            .collect();
        answers.sort_unstable();
        assert_eq!(answers, [true, true]);
    }
}

#[test]
fn a_call_that_is_sent_back_goes_to_the_next_primary_after_a_pause() {
    let mut calls = RelayedCalls::default();
    calls.take(order(at(0)));
    calls.advance(at(0), Primary::At(peer(1)));
    let (_, id) = sent(&mut calls);
    calls.on_answer(at(10), peer(1), id, RelayedAnswer::NotPrimary);
    calls.advance(at(20), Primary::At(peer(2)));
    assert!(calls.take_steps().is_empty());
    assert_eq!(calls.next_wake(), Some(at(110)));
    calls.advance(at(110), Primary::At(peer(2)));
    assert_eq!(sent(&mut calls).0, peer(2));
}

#[test]
fn more_calls_than_memory_bears_are_refused_with_a_promise() {
    let mut calls = RelayedCalls::default();
    (0..MOST).for_each(|_| calls.take(describe(at(0))));
    assert!(calls.take_steps().is_empty());
    calls.take(describe(at(0)));
    assert_matches!(&calls.take_steps()[..], [Step::Answer(_, RelayedAnswer::Answer { status: 503, .. })]);
}

//! Tests of `calls`: what passes from one part to the other.

use super::*;
use crate::call::Question;
use crate::replicated::Replicated;
use assert_matches::assert_matches;
use lichenswitch_replication::{Identity, Member, Output, Settings};

const START: Time = Time(1_000_000);

fn describe(origin: Origin<u8, u8>) -> Call<u8, u8> {
    Call {
        origin,
        question: Question::Describe,
        arrived: START,
    }
}

fn outsider() -> Replica<Replicated> {
    let member = Member {
        identity: Identity(7),
        address: "10.0.0.1:7300".to_owned(),
    };
    Replica::learner(Settings::default(), member, 1, START)
}

#[test]
fn a_call_that_is_relayed_to_a_machine_that_does_not_serve_goes_back_at_once() {
    for mut replica in [None, Some(outsider())] {
        let mut calls = Calls::new(0);
        let call = describe(Origin::Peer { address: 2, id: 5 });
        calls.take(START, call.clone(), replica.as_mut());
        assert_eq!(
            calls.advance(START, &Primary::Unknown, replica.as_mut()),
            [Action::Answer {
                call,
                answer: RelayedResponse::NotPrimary,
                refusal: None
            }]
        );
        assert!(calls.is_empty());
    }
}

#[test]
fn a_call_of_a_caller_that_nobody_has_begun_is_kept_and_handed_to_the_next_primary() {
    let mut replica = outsider();
    let mut calls = Calls::new(0);
    calls.take(START, describe(Origin::Caller(1)), Some(&mut replica));
    // The machine took itself for the primary; the replica knows better.
    assert_eq!(calls.advance(START, &Primary::Here, Some(&mut replica)), []);
    for output in replica.take_outputs() {
        if let Output::Completed { request, outcome } = output {
            calls.on_settled(START, request, &outcome, &mut replica, |_| Vec::new());
        }
    }
    assert_eq!(
        calls.advance(START, &Primary::Unknown, Some(&mut replica)),
        []
    );
    let wake = calls.next_wake().expect("the call waits");
    assert!(wake > START && !calls.is_empty());
    assert_matches!(
        &calls.advance(wake, &Primary::At(2), Some(&mut replica))[..],
        [Action::Send {
            to: 2,
            id: 1,
            call: RelayedCall::Describe
        }]
    );
    let answer = RelayedResponse::Response {
        status: 200,
        body: Vec::new(),
    };
    calls.on_answer(wake, &2, 1, answer.clone());
    let actions = calls.advance(wake, &Primary::At(2), Some(&mut replica));
    assert_eq!(
        actions,
        [Action::Answer {
            call: describe(Origin::Caller(1)),
            answer,
            refusal: None
        }]
    );
}

#[test]
fn a_call_whose_primary_is_lost_ends() {
    let mut calls = Calls::new(0);
    calls.take(
        START,
        describe(Origin::Caller(1)),
        None::<&mut Replica<Replicated>>,
    );
    let sent = calls.advance(START, &Primary::At(2), None::<&mut Replica<Replicated>>);
    assert_matches!(&sent[..], [Action::Send { .. }]);
    calls.on_lost(&2);
    assert_matches!(
        &calls.advance(START, &Primary::Unknown, None::<&mut Replica<Replicated>>)[..],
        [Action::Answer {
            answer: RelayedResponse::NotPrimary,
            ..
        }]
    );
}

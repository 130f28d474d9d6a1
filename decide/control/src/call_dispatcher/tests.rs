//! Tests of how `call_dispatcher` passes calls between relaying and answering as primary.

use super::*;
use crate::call::CallKind;
use crate::replicated_configuration::ReplicatedConfiguration;
use assert_matches::assert_matches;
use lichenswitch_replication::{Identity, Member, Output, Settings};

const START: Time = Time(1_000_000);

fn describe_call(origin: CallOrigin<u8, u8>) -> Call<u8, u8> {
    Call {
        origin,
        kind: CallKind::Describe,
        arrived_at: START,
    }
}

fn non_member_replica() -> Replica<ReplicatedConfiguration> {
    let member = Member {
        identity: Identity(7),
        address: "10.0.0.1:7300".to_owned(),
    };
    Replica::learner(Settings::default(), member, 1, START)
}

#[test]
fn relayed_call_is_returned_at_once_by_machine_that_is_not_primary() {
    for mut replica in [None, Some(non_member_replica())] {
        let mut calls = CallDispatcher::new(0);
        let call = describe_call(CallOrigin::Peer { address: 2, id: 5 });
        calls.submit(START, call.clone(), replica.as_mut());
        assert_eq!(
            calls.advance(START, &PrimaryLocation::Unknown, replica.as_mut()),
            [CallAction::Respond(CompletedCall {
                call,
                response: RelayedResponse::NotPrimary,
                rejection: None
            })]
        );
        assert!(calls.is_empty());
    }
}

#[test]
fn call_that_was_not_begun_is_forwarded_to_next_primary() {
    let mut replica = non_member_replica();
    let mut calls = CallDispatcher::new(0);
    calls.submit(
        START,
        describe_call(CallOrigin::Caller(1)),
        Some(&mut replica),
    );
    // The machine regards itself as the primary, but its replica is not.
    assert_eq!(
        calls.advance(START, &PrimaryLocation::Local, Some(&mut replica)),
        []
    );
    for output in replica.take_outputs() {
        if let Output::Completed { request, outcome } = output {
            calls.on_request_completed(START, request, &outcome, &mut replica, |_| Vec::new());
        }
    }
    assert_eq!(
        calls.advance(START, &PrimaryLocation::Unknown, Some(&mut replica)),
        []
    );
    let wake = calls.next_wake().expect("the call has a deadline");
    assert!(wake > START && !calls.is_empty());
    assert_matches!(
        &calls.advance(wake, &PrimaryLocation::Remote(2), Some(&mut replica))[..],
        [CallAction::Forward {
            to: 2,
            id: 1,
            call: RelayedCall::Describe
        }]
    );
    let response = RelayedResponse::Response {
        status: 200,
        body: Vec::new(),
    };
    calls.on_response(wake, &2, 1, response.clone());
    let actions = calls.advance(wake, &PrimaryLocation::Remote(2), Some(&mut replica));
    assert_eq!(
        actions,
        [CallAction::Respond(CompletedCall {
            call: describe_call(CallOrigin::Caller(1)),
            response,
            rejection: None
        })]
    );
}

#[test]
fn call_completes_when_its_primary_disconnects() {
    let mut calls = CallDispatcher::new(0);
    calls.submit(
        START,
        describe_call(CallOrigin::Caller(1)),
        None::<&mut Replica<ReplicatedConfiguration>>,
    );
    let actions = calls.advance(
        START,
        &PrimaryLocation::Remote(2),
        None::<&mut Replica<ReplicatedConfiguration>>,
    );
    assert_matches!(&actions[..], [CallAction::Forward { .. }]);
    calls.on_peer_disconnected(&2);
    assert_matches!(
        &calls.advance(
            START,
            &PrimaryLocation::Unknown,
            None::<&mut Replica<ReplicatedConfiguration>>
        )[..],
        [CallAction::Respond(CompletedCall {
            response: RelayedResponse::NotPrimary,
            ..
        })]
    );
}

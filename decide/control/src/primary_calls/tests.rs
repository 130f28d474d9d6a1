//! Tests of `primary_calls`, with a replica that is the only voter and persists at once.

use super::*;
use crate::call::CallOrigin;
use crate::rejected_orders::RejectedOrders;
use crate::replicated_configuration::ReplicatedConfiguration;
use assert_matches::assert_matches;
use lichenswitch_configuration::REPLACE_PATH;
use lichenswitch_replication::{Identity, Member, Output, Settings};

const START: Time = Time(1_000_000);

/// Caller handles and machine addresses are small numbers.
type PrimaryCalls = super::PrimaryCalls<u8, u8>;

/// A machine, by default the only voter of its group, with its replica and its calls.
struct TestMachine {
    replica: Replica<ReplicatedConfiguration>,
    calls: PrimaryCalls,
    rejections: RejectedOrders,
    now: Time,
    /// Outcomes of the replica that were not yet passed to `calls`.
    completions: Vec<(RequestId, Outcome)>,
}

impl TestMachine {
    /// Founds a group and ticks the replica until it serves as primary.
    fn new() -> TestMachine {
        let settings = Settings {
            fault_tolerance: 0,
            ..Settings::default()
        };
        let member = Member {
            identity: Identity(7),
            address: "10.0.0.1:7300".to_owned(),
        };
        let replica = Replica::bootstrap(
            settings,
            member,
            ReplicatedConfiguration::default(),
            1,
            START,
        );
        let mut voter = TestMachine {
            replica,
            calls: PrimaryCalls::default(),
            rejections: RejectedOrders::default(),
            now: START,
            completions: Vec::new(),
        };
        while !voter.replica.is_serving() {
            voter.now = voter.now.after(50_000);
            voter.replica.tick(voter.now);
            voter.persist();
        }
        voter
    }

    /// Reports each write of the replica as persisted until it requests no more, and collects its
    /// outcomes.
    fn persist(&mut self) {
        loop {
            let mut last = None;
            for output in self.replica.take_outputs() {
                match output {
                    Output::Persist { write_id, .. } => last = Some(write_id),
                    Output::Completed { request, outcome } => {
                        self.completions.push((request, outcome))
                    }
                    _ => {}
                }
            }
            match last {
                Some(write_id) => self.replica.on_persisted(self.now, write_id),
                None => return,
            }
        }
    }

    /// Passes the replica's outcomes to the calls.
    fn deliver_completions(&mut self) {
        self.persist();
        for (request, outcome) in std::mem::take(&mut self.completions) {
            self.calls
                .on_request_completed(self.now, request, &outcome, &mut self.replica, |_| {
                    b"status".to_vec()
                });
        }
        self.persist();
    }

    fn submit(&mut self, kind: CallKind) {
        let call = Call {
            origin: CallOrigin::Peer { address: 2, id: 1 },
            kind,
            arrived_at: self.now,
        };
        self.calls.submit(self.now, call, &mut self.replica);
    }

    fn submit_order(&mut self, base_version: u64, version: u64, host: &str) {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"{host}\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutMs\":30,\
             \"service\":\"s\"}}],\"services\":[{{\"name\":\"s\"}}]}}"
        );
        let order = Order {
            path: REPLACE_PATH.to_owned(),
            base_version,
            body: body.into_bytes(),
        };
        self.submit(CallKind::Order(order));
    }

    /// Advances until all calls have completed, and returns the statuses of their responses.
    fn run_to_completion(&mut self) -> Vec<u16> {
        for _ in 0..4 * MAX_QUEUED_ORDERS {
            self.calls.advance(self.now, &mut self.replica);
            self.deliver_completions();
        }
        let status = |response: RelayedResponse| assert_matches!(response, RelayedResponse::Response { status, .. } => status);
        let completed = self.calls.take_completed();
        completed
            .iter()
            .filter_map(|completed| completed.rejection.clone())
            .for_each(|rejection| self.rejections.record(rejection));
        completed
            .into_iter()
            .map(|completed| status(completed.response))
            .collect()
    }
}

#[test]
fn one_of_conflicting_orders_is_accepted_and_repeats_succeed() {
    let mut voter = TestMachine::new();
    voter.submit_order(0, 2, "a");
    voter.submit_order(0, 2, "b");
    voter.submit_order(0, 2, "a");
    assert_eq!(voter.run_to_completion(), [200, 412, 200]);
    voter.submit_order(2, 3, "c");
    voter.submit_order(0, 2, "a");
    voter.submit_order(0, 2, "b");
    assert_eq!(voter.run_to_completion(), [200, 200, 412]);
    let rejected: Vec<_> = voter
        .rejections
        .iter()
        .map(|rejection| (rejection.status, rejection.base_version))
        .collect();
    assert_eq!(rejected, [(412, 0), (412, 0)]);
    assert!(voter.calls.is_empty());
}

#[test]
fn rejection_is_sent_only_after_confirmation_round() {
    let mut voter = TestMachine::new();
    voter.submit_order(0, 2, "a");
    voter.calls.advance(voter.now, &mut voter.replica);
    assert!(
        voter.calls.take_completed().is_empty(),
        "an order is not answered before its record is committed"
    );
    voter.deliver_completions();
    assert_eq!(voter.calls.take_completed().len(), 1);

    voter.submit_order(5, 6, "z");
    voter.calls.advance(voter.now, &mut voter.replica);
    assert!(
        voter.calls.take_completed().is_empty(),
        "an order is not rejected before a confirmation round has ended"
    );
    voter.deliver_completions();
    assert_eq!(voter.run_to_completion(), [412]);
}

#[test]
fn describe_returns_state_committed_at_end_of_its_round() {
    let mut voter = TestMachine::new();
    voter.submit(CallKind::Describe);
    assert_eq!(
        voter.run_to_completion(),
        [503],
        "there is no configuration yet"
    );
    voter.submit_order(0, 2, "a");
    assert_eq!(voter.run_to_completion(), [200]);
    voter.submit(CallKind::Describe);
    voter.deliver_completions();
    let completed = voter.calls.take_completed();
    assert_matches!(&completed[..], [CompletedCall { response: RelayedResponse::Response { status: 200, body }, .. }] => {
        assert!(body.starts_with(b"{\"version\":2,"));
    });
}

#[test]
fn machine_that_is_not_primary_answers_all_calls_with_not_primary() {
    let settings = Settings::default();
    let member = Member {
        identity: Identity(7),
        address: "10.0.0.1:7300".to_owned(),
    };
    let replica = Replica::learner(settings, member, 1, START);
    let mut non_member = TestMachine {
        replica,
        calls: PrimaryCalls::default(),
        rejections: RejectedOrders::default(),
        now: START,
        completions: Vec::new(),
    };
    non_member.submit_order(0, 2, "a");
    non_member.submit(CallKind::Describe);
    non_member
        .calls
        .advance(non_member.now, &mut non_member.replica);
    non_member.deliver_completions();
    let completed = non_member.calls.take_completed();
    assert_eq!(completed.len(), 2);
    assert!(completed
        .iter()
        .all(|completed| completed.response == RelayedResponse::NotPrimary));
}

#[test]
fn orders_beyond_queue_limit_get_503() {
    let mut voter = TestMachine::new();
    (0..=MAX_QUEUED_ORDERS).for_each(|_| voter.submit_order(0, 2, "a"));
    let completed = voter.calls.take_completed();
    assert_matches!(
        &completed[..],
        [CompletedCall {
            response: RelayedResponse::Response { status: 503, .. },
            ..
        }]
    );
    assert_eq!(voter.run_to_completion().len(), MAX_QUEUED_ORDERS);
}

//! Tests of `primary_calls`, with a replica that is alone and remembers at once.

use super::*;
use crate::call::CallOrigin;
use crate::rejected_orders::RejectedOrders;
use crate::replicated_configuration::ReplicatedConfiguration;
use assert_matches::assert_matches;
use lichenswitch_configuration::REPLACE_PATH;
use lichenswitch_replication::{Identity, Member, Output, Settings};

const START: Time = Time(1_000_000);

/// Handle of a caller, address of a machine.
type PrimaryCalls = super::PrimaryCalls<u8, u8>;

struct SoleVoter {
    replica: Replica<ReplicatedConfiguration>,
    calls: PrimaryCalls,
    rejections: RejectedOrders,
    now: Time,
    /// Requests that the replica has completed and that were not delivered yet.
    completions: Vec<(RequestId, Outcome)>,
}

impl SoleVoter {
    /// A sole founder that serves, and has waited long enough for others.
    fn new() -> SoleVoter {
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
        let mut voter = SoleVoter {
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

    /// Acknowledges all that the replica wants persisted.
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

    /// Delivers the replica's completions to the calls.
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

    fn take(&mut self, kind: CallKind) {
        let call = Call {
            origin: CallOrigin::Peer { address: 2, id: 1 },
            kind,
            arrived_at: self.now,
        };
        self.calls.submit(self.now, call, &mut self.replica);
    }

    fn order(&mut self, base_version: u64, version: u64, host: &str) {
        let body = format!(
            "{{\"version\":{version},\"routes\":[{{\"name\":\"r\",\"host\":\"{host}\",\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutMs\":30,\
             \"service\":\"s\"}}],\"services\":[{{\"name\":\"s\"}}]}}"
        );
        let order = Order {
            path: REPLACE_PATH.to_owned(),
            base_version,
            body: body.into_bytes(),
        };
        self.take(CallKind::Order(order));
    }

    /// Advances until nothing is left; returns the statuses of the completed calls.
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
fn conflicting_orders_have_one_winner_and_repeats_are_recognised() {
    let mut voter = SoleVoter::new();
    voter.order(0, 2, "a");
    voter.order(0, 2, "b");
    voter.order(0, 2, "a");
    assert_eq!(voter.run_to_completion(), [200, 412, 200]);
    voter.order(2, 3, "c");
    voter.order(0, 2, "a");
    voter.order(0, 2, "b");
    assert_eq!(voter.run_to_completion(), [200, 200, 412]);
    let refused: Vec<_> = voter
        .rejections
        .iter()
        .map(|rejection| (rejection.status, rejection.base_version))
        .collect();
    assert_eq!(refused, [(412, 0), (412, 0)]);
    assert!(voter.calls.is_empty());
}

#[test]
fn rejection_is_sent_only_after_confirmation_round() {
    let mut voter = SoleVoter::new();
    voter.order(0, 2, "a");
    voter.calls.advance(voter.now, &mut voter.replica);
    assert!(
        voter.calls.take_completed().is_empty(),
        "before its record is committed an order has no answer"
    );
    voter.deliver_completions();
    assert_eq!(voter.calls.take_completed().len(), 1);

    voter.order(5, 6, "z");
    voter.calls.advance(voter.now, &mut voter.replica);
    assert!(
        voter.calls.take_completed().is_empty(),
        "before a round has ended nobody is refused"
    );
    voter.deliver_completions();
    assert_eq!(voter.run_to_completion(), [412]);
}

#[test]
fn describe_returns_state_committed_at_end_of_its_round() {
    let mut voter = SoleVoter::new();
    voter.take(CallKind::Describe);
    assert_eq!(
        voter.run_to_completion(),
        [503],
        "there is no configuration yet"
    );
    voter.order(0, 2, "a");
    assert_eq!(voter.run_to_completion(), [200]);
    voter.take(CallKind::Describe);
    voter.deliver_completions();
    let completed = voter.calls.take_completed();
    assert_matches!(&completed[..], [CompletedCall { response: RelayedResponse::Response { status: 200, body }, .. }] => {
        assert!(body.starts_with(b"{\"version\":2,"));
    });
}

#[test]
fn machine_that_is_not_primary_returns_all_calls() {
    let settings = Settings::default();
    let member = Member {
        identity: Identity(7),
        address: "10.0.0.1:7300".to_owned(),
    };
    let replica = Replica::learner(settings, member, 1, START);
    let mut outsider = SoleVoter {
        replica,
        calls: PrimaryCalls::default(),
        rejections: RejectedOrders::default(),
        now: START,
        completions: Vec::new(),
    };
    outsider.order(0, 2, "a");
    outsider.take(CallKind::Describe);
    outsider.calls.advance(outsider.now, &mut outsider.replica);
    outsider.deliver_completions();
    let completed = outsider.calls.take_completed();
    assert_eq!(completed.len(), 2);
    assert!(completed
        .iter()
        .all(|completed| completed.response == RelayedResponse::NotPrimary));
}

#[test]
fn orders_beyond_queue_limit_get_503() {
    let mut voter = SoleVoter::new();
    (0..=MAX_QUEUED_ORDERS).for_each(|_| voter.order(0, 2, "a"));
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

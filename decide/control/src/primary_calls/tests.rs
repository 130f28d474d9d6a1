//! Tests of `primary_calls`, with a replica that is alone and remembers at once.

use super::*;
use crate::call::Origin;
use crate::replicated::Replicated;
use assert_matches::assert_matches;
use lichenswitch_configuration::REPLACE_PATH;
use lichenswitch_replication::{Identity, Member, Output, Settings};

const START: Time = Time(1_000_000);

/// Handle of a caller, address of a machine.
type PrimaryCalls = super::PrimaryCalls<u8, u8>;

struct Alone {
    replica: Replica<Replicated>,
    calls: PrimaryCalls,
    refusals: Refusals,
    now: Time,
    /// What the replica has settled and nobody was told yet.
    settled: Vec<(RequestId, Outcome)>,
}

impl Alone {
    /// A sole founder that serves, and has waited long enough for others.
    fn new() -> Alone {
        let settings = Settings {
            fault_tolerance: 0,
            ..Settings::default()
        };
        let member = Member {
            identity: Identity(7),
            address: "10.0.0.1:7300".to_owned(),
        };
        let replica = Replica::bootstrap(settings, member, Replicated::default(), 1, START);
        let mut alone = Alone {
            replica,
            calls: PrimaryCalls::default(),
            refusals: Refusals::default(),
            now: START,
            settled: Vec::new(),
        };
        while !alone.replica.is_serving() {
            alone.now = alone.now.after(50_000);
            alone.replica.tick(alone.now);
            alone.write();
        }
        alone
    }

    /// Does what the replica wants written.
    fn write(&mut self) {
        loop {
            let mut last = None;
            for output in self.replica.take_outputs() {
                match output {
                    Output::Persist { write_id, .. } => last = Some(write_id),
                    Output::Completed { request, outcome } => self.settled.push((request, outcome)),
                    _ => {}
                }
            }
            match last {
                Some(write_id) => self.replica.on_persisted(self.now, write_id),
                None => return,
            }
        }
    }

    /// Tells the calls what was settled.
    fn settle(&mut self) {
        self.write();
        for (request, outcome) in std::mem::take(&mut self.settled) {
            self.calls
                .on_settled(self.now, request, &outcome, &mut self.replica, |_| {
                    b"status".to_vec()
                });
        }
        self.write();
    }

    fn take(&mut self, question: Question) {
        let call = Call {
            origin: Origin::Peer { address: 2, id: 1 },
            question,
            arrived: self.now,
        };
        self.calls.take(self.now, call, &mut self.replica);
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
        self.take(Question::Order(order));
    }

    /// Works until nothing is left; tells the statuses of what has ended.
    fn work(&mut self) -> Vec<u16> {
        for _ in 0..4 * MOST_WAITING {
            self.calls.advance(self.now, &mut self.replica);
            self.settle();
        }
        let status = |answer: RelayedResponse| assert_matches!(answer, RelayedResponse::Response { status, .. } => status);
        let ended = self.calls.take_ended();
        ended
            .iter()
            .filter_map(|ended| ended.refusal.clone())
            .for_each(|refusal| self.refusals.note(refusal));
        ended
            .into_iter()
            .map(|ended| status(ended.answer))
            .collect()
    }
}

#[test]
fn of_two_orders_on_one_version_one_wins_and_repeats_are_known() {
    let mut alone = Alone::new();
    alone.order(0, 2, "a");
    alone.order(0, 2, "b");
    alone.order(0, 2, "a");
    assert_eq!(alone.work(), [200, 412, 200]);
    alone.order(2, 3, "c");
    alone.order(0, 2, "a");
    alone.order(0, 2, "b");
    assert_eq!(alone.work(), [200, 200, 412]);
    let refused: Vec<_> = alone
        .refusals
        .iter()
        .map(|refusal| (refusal.status, refusal.base_version))
        .collect();
    assert_eq!(refused, [(412, 0), (412, 0)]);
    assert!(alone.calls.is_empty());
}

#[test]
fn a_refusal_is_told_only_after_a_round_and_is_judged_again_then() {
    let mut alone = Alone::new();
    alone.order(0, 2, "a");
    alone.calls.advance(alone.now, &mut alone.replica);
    assert!(
        alone.calls.take_ended().is_empty(),
        "before its record is committed an order has no answer"
    );
    alone.settle();
    assert_eq!(alone.calls.take_ended().len(), 1);

    alone.order(5, 6, "z");
    alone.calls.advance(alone.now, &mut alone.replica);
    assert!(
        alone.calls.take_ended().is_empty(),
        "before a round has ended nobody is refused"
    );
    alone.settle();
    assert_eq!(alone.work(), [412]);
}

#[test]
fn describe_is_what_is_committed_when_its_round_ends() {
    let mut alone = Alone::new();
    alone.take(Question::Describe);
    assert_eq!(alone.work(), [503], "there is no configuration yet");
    alone.order(0, 2, "a");
    assert_eq!(alone.work(), [200]);
    alone.take(Question::Describe);
    alone.settle();
    let ended = alone.calls.take_ended();
    assert_matches!(&ended[..], [Ended { answer: RelayedResponse::Response { status: 200, body }, .. }] => {
        assert!(body.starts_with(b"{\"version\":2,"));
    });
}

#[test]
fn one_that_is_not_primary_gives_all_calls_back() {
    let settings = Settings::default();
    let member = Member {
        identity: Identity(7),
        address: "10.0.0.1:7300".to_owned(),
    };
    let replica = Replica::learner(settings, member, 1, START);
    let mut outsider = Alone {
        replica,
        calls: PrimaryCalls::default(),
        refusals: Refusals::default(),
        now: START,
        settled: Vec::new(),
    };
    outsider.order(0, 2, "a");
    outsider.take(Question::Describe);
    outsider.calls.advance(outsider.now, &mut outsider.replica);
    outsider.settle();
    let ended = outsider.calls.take_ended();
    assert_eq!(ended.len(), 2);
    assert!(ended
        .iter()
        .all(|ended| ended.answer == RelayedResponse::NotPrimary));
}

#[test]
fn more_orders_than_memory_bears_are_refused_with_a_promise() {
    let mut alone = Alone::new();
    (0..=MOST_WAITING).for_each(|_| alone.order(0, 2, "a"));
    let ended = alone.calls.take_ended();
    assert_matches!(
        &ended[..],
        [Ended {
            answer: RelayedResponse::Response { status: 503, .. },
            ..
        }]
    );
    assert_eq!(alone.work().len(), MOST_WAITING);
}

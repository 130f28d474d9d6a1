//! Tests of `consensus`.

use super::*;
use crate::decide::lease::LeaseTerms;

const TERMS: LeaseTerms = LeaseTerms {
    lease: 1_000_000,
    drift: 20_000,
};
const START: Time = Time(50_000_000);

/// Consensus of four brokers in virtual time; messages arrive at once.
struct TestCluster {
    brokers: Vec<Consensus>,
    now: Time,
}

impl TestCluster {
    /// Three voters without folders and one broker that does not vote; all are to hold the role.
    fn new() -> TestCluster {
        let voters: Vec<String> = (0..3).map(|i| format!("n{i}")).collect();
        let config = ConsensusConfig {
            voters,
            folder: None,
            roles: vec!["d".into()],
            terms: TERMS,
        };
        let holder = |i: u64| LeaseHolder {
            name: format!("n{i}"),
            incarnation: 7 + i,
        };
        let broker = |i| Consensus::new(START, "c", holder(i), config.clone()).unwrap();
        TestCluster {
            brokers: (0..4).map(broker).collect(),
            now: START,
        }
    }

    fn deliver(&mut self, from: usize, messages: OutgoingMessages) {
        let mut waiting: Vec<(usize, String, Vec<u8>)> = messages
            .into_iter()
            .map(|(to, bytes)| (from, to, bytes))
            .collect();
        while let Some((from, to, bytes)) = waiting.pop() {
            let to: usize = to[1..].parse().unwrap();
            let answers = self.brokers[to].on_message(self.now, &format!("n{from}"), &bytes);
            waiting.extend(answers.into_iter().map(|(next, bytes)| (to, next, bytes)));
        }
    }

    fn holders(&self) -> Vec<usize> {
        let role = RoleName("d".into());
        (0..4)
            .filter(|i| self.brokers[*i].fencing_token(self.now, &role).is_some())
            .collect()
    }

    /// Runs until a broker holds the role, for this long at most; returns which one.
    fn run_until_acquired(&mut self, timeout: Micros) -> Option<usize> {
        let end = self.now.plus(timeout);
        while self.now < end {
            self.now = self.now.plus(5_000);
            for i in 0..4 {
                if self.brokers[i].next() <= self.now {
                    let messages = self.brokers[i].on_time(self.now);
                    self.deliver(i, messages);
                }
            }
            let holders = self.holders();
            assert!(holders.len() < 2, "{holders:?} hold it at a time");
            if let Some(holder) = holders.first() {
                return Some(*holder);
            }
        }
        None
    }
}

#[test]
fn voters_without_grants_wait_for_a_lease_and_a_released_role_is_granted_at_once() {
    let mut cluster = TestCluster::new();
    let holder = cluster.run_until_acquired(10_000_000).unwrap();
    assert!(
        cluster.now.since(START) >= TERMS.voter_duration(),
        "a broker may hold it by a genesis that was lost"
    );
    let (other, role) = ((holder + 1) % 4, RoleName("d".into()));
    let token = cluster.brokers[holder]
        .fencing_token(cluster.now, &role)
        .unwrap();
    let release = postcard::to_stdvec(&Message::Release(role, token)).unwrap();
    cluster.deliver(
        other,
        (0..3).map(|v| (format!("n{v}"), release.clone())).collect(),
    );
    assert_eq!(
        cluster.run_until_acquired(5_000),
        Some(holder),
        "only the holder may release it"
    );
    let knows_holder = |voter: &Voter| voter.grants().holder(&RoleName("d".into())).is_some();
    assert!((0..3).all(|v| cluster.brokers[v].voting().is_some_and(knows_holder)));
    let messages = cluster.brokers[holder].on_stop(cluster.now);
    cluster.deliver(holder, messages);
    assert!(cluster.holders().is_empty(), "the lease has ended");
    let stopped = cluster.now;
    let next = cluster.run_until_acquired(10_000_000).unwrap();
    assert!(
        next != holder && cluster.now.since(stopped) < TERMS.lease,
        "nobody waits for the end of its lease"
    );
}

#[test]
fn holder_keeps_its_role_when_a_voter_knows_another_and_foreign_genesis_stops_requests() {
    let mut cluster = TestCluster::new();
    let holder = cluster.run_until_acquired(10_000_000).unwrap();
    let now = cluster.now;
    let broker = &mut cluster.brokers[holder];
    let elsewhere = postcard::to_stdvec(&Message::LeasedElsewhere(RoleName("d".into()))).unwrap();
    broker.on_message(now, "n1", &elsewhere);
    assert!(
        broker.fencing_token(now, &RoleName("d".into())).is_some(),
        "that voter may have missed the grant"
    );
    // Another genesis than the one it has known: its lease expires, and it requests none.
    let other = postcard::to_stdvec(&Message::ContactResponse(1, 99)).unwrap();
    broker.on_message(now, "n1", &other);
    assert_eq!(broker.quorum_status(now), QuorumStatus::ForeignGenesis);
    let mut requests = 0;
    for i in 1..400u64 {
        let at = now.plus(i * 5_000);
        for (_, bytes) in broker.on_time(at) {
            requests += usize::from(matches!(
                postcard::from_bytes(&bytes),
                Ok(Message::LeaseRequest(..))
            ));
        }
    }
    let log = broker.take_log().join("\n");
    assert!(
        log.contains("standing: a stranger: ")
            && log.contains("duty d: not held: the lease ran out"),
        "{log}"
    );
    assert_eq!(requests, 0);
}

#[test]
fn garbage_has_no_effect() {
    let mut cluster = TestCluster::new();
    crate::testing::garbage(&[&[1, 2, 3, 4, 5, 6, 7, 8]], |bytes| {
        cluster.brokers[0].on_message(START, "n1", bytes);
    });
    assert!(cluster.run_until_acquired(10_000_000).is_some());
}

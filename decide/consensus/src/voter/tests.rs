//! Simulated clusters of voters in virtual time. The network loses, delays and partitions messages,
//! voters keep or lose their storage, and a checker compares the entries that they decide.

use super::*;
use crate::bootstrap::{Bootstrap, BootstrapStatus};
use lichenswitch_lease::grant_table::LeaseCommand;
use lichenswitch_lease::{LeaseHolder, RoleName};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TERMS: LeaseTerms = LeaseTerms {
    lease: 3 * SECOND,
    drift: 100_000,
};
const LINK_DELAY: Micros = 2 * MS;

type InFlightMessage = Reverse<(Time, u64, usize, Vec<u8>)>;

struct Cluster {
    voters: Vec<Option<Voter>>,
    /// Records that each voter has persisted.
    storage: Vec<Vec<Record>>,
    /// `links[a][b]`: whether the link from voter `a` to voter `b` is up.
    links: Vec<Vec<bool>>,
    loss: f64,
    in_flight: BinaryHeap<InFlightMessage>,
    now: Time,
    sent_messages: u64,
    rng: Xoshiro256PlusPlus,
    last_request: u64,
    /// First entry decided at each position.
    log: BTreeMap<usize, Entry>,
    /// How often a voter decided another entry than `log` has at that position.
    conflicts: usize,
    /// Number of entries that each voter has applied.
    decided: Vec<usize>,
    snapshots_received: usize,
}

fn name(i: usize) -> String {
    format!("v{i}")
}

impl Cluster {
    /// Starts a cluster whose voters have all adopted the genesis.
    fn new(count: usize, seed: u64) -> Cluster {
        let names: Vec<String> = (0..count).map(name).collect();
        let identity = |i: usize| VoterIdentity {
            name: name(i),
            storage_id: u64::MAX / 2 + i as u64,
        };
        let mut bootstraps: Vec<Bootstrap> = (0..count)
            .map(|i| Bootstrap::new(identity(i), &names, None))
            .collect();
        let announcements: Vec<_> = bootstraps.iter().map(Bootstrap::announcement).collect();
        let mut storage = Vec::new();
        for (i, bootstrap) in bootstraps.iter_mut().enumerate() {
            announcements
                .iter()
                .for_each(|a| _ = bootstrap.on_announcement(a));
            let mut state = PersistentState::default();
            state.set_identity(identity(i));
            state.set_genesis(bootstrap.genesis().unwrap().clone());
            storage.push(state.take_records());
        }
        let mut cluster = Cluster {
            voters: (0..count).map(|_| None).collect(),
            storage,
            links: vec![vec![true; count]; count],
            loss: 0.0,
            in_flight: BinaryHeap::new(),
            now: Time(1_000 * SECOND),
            sent_messages: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            last_request: 0,
            log: BTreeMap::new(),
            conflicts: 0,
            decided: vec![0; count],
            snapshots_received: 0,
        };
        (0..count).for_each(|i| cluster.start(i));
        cluster
    }

    /// Starts voter `i` from its persisted records and reconnects the other voters to it.
    fn start(&mut self, i: usize) {
        let state = PersistentState::from_records(&self.storage[i]).unwrap();
        let voter = Voter::new(self.now, state, TERMS).unwrap();
        self.decided[i] = voter.applied();
        self.voters[i] = Some(voter);
        for other in (0..self.voters.len()).filter(|o| *o != i) {
            let actions = self.voters[other]
                .as_mut()
                .map(|v| v.on_reconnected(self.now, &name(i)));
            self.execute_actions(other, actions.unwrap_or_default());
        }
    }

    fn execute_actions(&mut self, voter: usize, actions: Vec<VoterAction>) {
        for action in actions {
            match action {
                VoterAction::Persist(records) => self.storage[voter].extend(records),
                VoterAction::Send(to, bytes) => {
                    let to: usize = to.name[1..].parse().unwrap();
                    self.sent_messages += 1;
                    if self.links[voter][to] && !self.rng.random_bool(self.loss) {
                        self.in_flight.push(Reverse((
                            self.now.plus(LINK_DELAY),
                            self.sent_messages,
                            to,
                            bytes,
                        )));
                    }
                }
                VoterAction::Decided(position, entry, _) => {
                    assert_eq!(
                        position, self.decided[voter],
                        "entries are decided in order and once each"
                    );
                    self.decided[voter] += 1;
                    let first = self.log.entry(position).or_insert_with(|| entry.clone());
                    self.conflicts += usize::from(*first != entry);
                }
                VoterAction::CaughtUp(position) => {
                    assert!(position > self.decided[voter]);
                    (self.decided[voter], self.snapshots_received) =
                        (position, self.snapshots_received + 1);
                }
                VoterAction::LeaderChanged(..) => {}
            }
        }
    }

    fn run(&mut self, length: Micros) {
        let end = self.now.plus(length);
        loop {
            let timer = (0..self.voters.len())
                .filter_map(|i| Some((self.voters[i].as_ref()?.next(), i)))
                .min();
            let arrival = self.in_flight.peek().map(|message| message.0 .0);
            let Some(at) = arrival
                .into_iter()
                .chain(timer.map(|timer| timer.0))
                .min()
                .filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(at);
            if arrival == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.in_flight.pop() else {
                    continue;
                };
                let actions = self.voters[to]
                    .as_mut()
                    .map(|v| v.on_message(self.now, &bytes));
                self.execute_actions(to, actions.unwrap_or_default());
            } else if let Some((_, i)) = timer {
                let actions = self.voters[i].as_mut().map(|v| v.on_time(self.now));
                self.execute_actions(i, actions.unwrap_or_default());
            }
        }
        self.now = end;
    }

    /// Proposes a new `Acquire` request at a voter.
    fn request(&mut self, at: usize) {
        self.last_request += 1;
        let command = LeaseCommand::Acquire(
            RoleName("d".into()),
            LeaseHolder {
                name: format!("h{}", self.last_request),
                incarnation: 1,
            },
        );
        let entry = Entry {
            command,
            request: self.last_request,
        };
        let actions = self.voters[at].as_mut().map(|v| v.propose(self.now, entry));
        self.execute_actions(at, actions.unwrap_or_default());
    }

    /// Proposes a request at a voter every 100 ms for `length` microseconds. Returns the number of
    /// entries that this voter decided meanwhile.
    fn progress(&mut self, at: usize, length: Micros) -> usize {
        let before = self.decided[at];
        for _ in 0..length / (100 * MS) {
            self.request(at);
            self.run(100 * MS);
        }
        self.decided[at] - before
    }

    fn set_link(&mut self, from: usize, to: usize, is_up: bool) {
        self.links[from][to] = is_up;
    }

    /// Partitions the network: the voters in `side` reach each other, and so do the remaining ones.
    fn partition(&mut self, side: &[usize]) {
        let count = self.voters.len();
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            self.links[a][b] = side.contains(&a) == side.contains(&b);
        }
    }

    /// Restores all links and reports the reconnections.
    fn heal(&mut self) {
        self.links
            .iter_mut()
            .flatten()
            .for_each(|is_up| *is_up = true);
        for i in 0..self.voters.len() {
            let others: Vec<String> = (0..self.voters.len())
                .filter(|o| *o != i)
                .map(name)
                .collect();
            for other in others {
                let actions = self.voters[i]
                    .as_mut()
                    .map(|v| v.on_reconnected(self.now, &other));
                self.execute_actions(i, actions.unwrap_or_default());
            }
        }
    }

    /// Returns whether all running voters have decided the same entries and have equal grants.
    fn is_converged(&self) -> bool {
        let running = (0..self.voters.len())
            .filter(|i| self.voters[*i].is_some())
            .map(|i| self.decided[i]);
        let decided: Vec<usize> = running.collect();
        // Grants must be equal whether a voter applied entries or received a snapshot.
        let grants: Vec<_> = self
            .voters
            .iter()
            .flatten()
            .map(|v| v.grants().snapshot())
            .collect();
        self.conflicts == 0
            && decided.iter().all(|count| *count == decided[0])
            && grants.iter().all(|g| *g == grants[0])
    }
}

#[test]
fn majority_progresses_minority_does_not_and_both_converge_after_the_partition() {
    let mut cluster = Cluster::new(5, 1);
    assert!(cluster.progress(0, 3 * SECOND) > 10);
    cluster.partition(&[0, 1, 2]);
    cluster.run(2 * SECOND);
    assert!(
        cluster.progress(1, 2 * SECOND) > 10,
        "three of five voters make progress"
    );
    assert_eq!(
        cluster.progress(4, 2 * SECOND),
        0,
        "two of five voters make no progress"
    );
    // The majority side loses a voter: two voters on each side, and one that has crashed.
    cluster.voters[2] = None;
    assert!(cluster.progress(0, 2 * SECOND) + cluster.progress(3, 2 * SECOND) == 0);
    cluster.start(2);
    assert!(cluster.progress(0, 3 * SECOND) > 10);
    cluster.heal();
    cluster.run(3 * SECOND);
    assert!(
        cluster.is_converged() && cluster.progress(4, 2 * SECOND) > 10,
        "{:?}",
        cluster.decided
    );
}

#[test]
fn partial_connectivity_does_not_stop_progress() {
    for (count, failed_links) in [
        (3, vec![(0, 2), (2, 0)]),
        (3, vec![(0, 1), (1, 0)]),
        (5, vec![(0, 1), (1, 2), (2, 3), (3, 4), (4, 0)]),
        (5, vec![(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)]),
    ] {
        let mut cluster = Cluster::new(count, 3);
        assert!(cluster.progress(0, 3 * SECOND) > 10);
        failed_links
            .iter()
            .for_each(|(from, to)| cluster.set_link(*from, *to, false));
        cluster.run(3 * SECOND);
        let before = cluster.log.len();
        (0..count).for_each(|at| _ = cluster.progress(at, SECOND));
        assert!(
            cluster.log.len() > before + 10 && cluster.conflicts == 0,
            "{failed_links:?}: {before}, {}",
            cluster.log.len()
        );
        cluster.heal();
        cluster.run(3 * SECOND);
        assert!(
            cluster.is_converged(),
            "{failed_links:?}: {:?}",
            cluster.decided
        );
    }
}

#[test]
fn decided_entries_survive_a_restart_of_all_voters() {
    let mut cluster = Cluster::new(3, 5);
    assert!(cluster.progress(0, 3 * SECOND) > 10);
    let before = cluster.decided.clone();
    cluster.voters.iter_mut().for_each(|v| *v = None);
    cluster.in_flight.clear();
    cluster.run(5 * SECOND);
    (0..3).for_each(|i| cluster.start(i));
    assert!(
        cluster
            .decided
            .iter()
            .zip(&before)
            .all(|(now, then)| now <= then),
        "a restarted voter has decided at most the entries in its storage"
    );
    assert!(
        cluster.decided.iter().max() == before.iter().max(),
        "{:?}, {before:?}",
        cluster.decided
    );
    cluster.run(3 * SECOND);
    assert!(cluster.progress(1, 3 * SECOND) > 10 && cluster.is_converged());
}

#[test]
fn voter_after_a_long_absence_catches_up_by_a_snapshot_and_state_stays_bounded() {
    let mut cluster = Cluster::new(3, 7);
    cluster.run(SECOND);
    cluster.voters[2] = None;
    for _ in 0..2_500 {
        cluster.request(0);
        cluster.run(5 * MS);
    }
    cluster.run(SECOND);
    assert!(cluster.decided[0] > 2_200, "{}", cluster.decided[0]);
    let complete = PersistentState::from_records(&cluster.storage[0])
        .unwrap()
        .to_record();
    assert!(
        complete.0.len() < 2 * SNAPSHOT_ENTRIES * 40,
        "{} bytes",
        complete.0.len()
    );
    let restored = PersistentState::from_records(std::slice::from_ref(&complete)).unwrap();
    assert_eq!(
        restored.to_record(),
        complete,
        "one record replaces all records"
    );
    let sent_messages = cluster.sent_messages;
    cluster.start(2);
    cluster.run(3 * SECOND);
    assert!(
        cluster.snapshots_received > 0 && cluster.is_converged(),
        "{:?}",
        cluster.decided
    );
    assert!(
        cluster.sent_messages - sent_messages < 1_000,
        "{} messages",
        cluster.sent_messages - sent_messages
    );
    let [leading, restarted] =
        [0, 2].map(|i| cluster.voters[i].as_ref().unwrap().grants().snapshot());
    assert_eq!(leading, restarted);
}

/// Runs a cluster of three voters: voters 0 and 1 decide entries, voter 1 loses its storage, and
/// voter 0 is then partitioned off. Returns the cluster after voter 2 has proposed entries.
///
/// With `keeps_identity` voter 1 keeps its identity and votes, which violates the protocol.
fn run_with_lost_storage(keeps_identity: bool) -> Cluster {
    let mut cluster = Cluster::new(3, 11);
    cluster.partition(&[0, 1]);
    assert!(cluster.progress(0, 4 * SECOND) > 10 && cluster.decided[2] == 0);
    cluster.voters[1] = None;
    cluster.in_flight.clear();
    cluster.partition(&[1, 2]);
    if keeps_identity {
        cluster.storage[1].truncate(2);
        cluster.start(1);
        cluster.decided[1] = 0;
    } else {
        // Voter 1 restarts with another identity, receives the genesis, and does not vote.
        let names: Vec<String> = (0..3).map(name).collect();
        let mut bootstrap = Bootstrap::new(
            VoterIdentity {
                name: name(1),
                storage_id: 999,
            },
            &names,
            None,
        );
        let genesis = cluster.voters[2].as_ref().unwrap().genesis().clone();
        let announcement = crate::genesis::Announcement {
            identity: genesis.voters()[2].clone(),
            genesis: Some(genesis),
        };
        assert!(
            !bootstrap.on_announcement(&announcement)
                && matches!(bootstrap.status(), BootstrapStatus::StorageLost(_))
        );
        let mut state = PersistentState::default();
        state.set_identity(bootstrap.announcement().identity);
        assert!(Voter::new(cluster.now, state, TERMS).is_err());
    }
    cluster.run(SECOND);
    cluster.progress(2, 4 * SECOND);
    cluster
}

#[test]
fn voter_without_its_storage_does_not_vote_and_checker_detects_one_that_does() {
    let cluster = run_with_lost_storage(false);
    assert!(
        cluster.conflicts == 0 && cluster.decided[2] == 0,
        "nothing may be decided without a majority that has its storage"
    );
    let cluster = run_with_lost_storage(true);
    assert!(
        cluster.conflicts > 0,
        "the checker must detect a voter that votes without its storage"
    );
}

#[test]
fn random_faults_leave_one_log_and_progress_resumes_after_them() {
    for seed in 0..25 {
        let mut cluster = Cluster::new([3, 5, 7][seed as usize % 3], seed);
        cluster.loss = [0.0, 0.02, 0.1][seed as usize / 3 % 3];
        let count = cluster.voters.len();
        for _ in 0..60 {
            let (a, b) = (
                cluster.rng.random_range(0..count),
                cluster.rng.random_range(0..count),
            );
            match cluster.rng.random_range(0..6) {
                0 => cluster.voters[a] = None,
                1 if cluster.voters[a].is_none() => cluster.start(a),
                2 => cluster.set_link(a, b, false),
                3 => cluster.set_link(a, b, true),
                4 => cluster.partition(&[a, b]),
                _ => cluster.heal(),
            }
            cluster.progress(b, 500 * MS);
        }
        cluster.loss = 0.0;
        (0..count)
            .filter(|i| cluster.voters[*i].is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|i| cluster.start(i));
        cluster.heal();
        cluster.run(5 * SECOND);
        assert!(
            cluster.progress(0, 2 * SECOND) > 10,
            "seed {seed}: no progress after the faults"
        );
        cluster.run(2 * SECOND);
        assert!(
            cluster.is_converged() && cluster.log.len() > 50,
            "seed {seed}: {} conflicts, {:?}",
            cluster.conflicts,
            cluster.decided
        );
    }
}

#[test]
fn garbage_and_messages_of_another_genesis_are_rejected_without_effect() {
    let mut cluster = Cluster::new(3, 2);
    cluster.run(SECOND);
    let voter = cluster.voters[0].as_mut().unwrap();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(4);
    for length in 0..200 {
        let bytes: Vec<u8> = (0..length).map(|_| rng.random_range(0..=255)).collect();
        voter.on_message(cluster.now, &bytes);
    }
    assert_eq!(voter.rejected_messages(), 200);
    let message = Message::<Entry>::BLE(omnipaxos::messages::ballot_leader_election::BLEMessage {
        from: 2,
        to: 1,
        msg: omnipaxos::messages::ballot_leader_election::HeartbeatMsg::Request(
            omnipaxos::messages::ballot_leader_election::HeartbeatRequest { round: 1 },
        ),
    });
    let digest = voter.genesis().digest();
    for (digest, rejected) in [(digest + 1, 201), (digest, 201)] {
        voter.on_message(
            cluster.now,
            &postcard::to_stdvec(&(digest, &message)).unwrap(),
        );
        assert_eq!(voter.rejected_messages(), rejected);
    }
    assert!(cluster.progress(0, 2 * SECOND) > 5);
}

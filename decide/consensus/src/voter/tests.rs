//! Voters in virtual time, over a network that loses, cuts and delays, with memories that are kept
//! or lost, and a checker of what they decided.

use super::*;
use crate::genesis::{Gather, Reason as Named};
use lichenswitch_lease::{Duty, Holder};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TERMS: Terms = Terms {
    lease: 3 * SECOND,
    drift: 100_000,
};
const WAY: Micros = 2 * MS;

type Way = Reverse<(Time, u64, usize, Vec<u8>)>;

struct World {
    voters: Vec<Option<Voter>>,
    /// What each has kept.
    disks: Vec<Vec<Record>>,
    /// Whether each way works.
    works: Vec<Vec<bool>>,
    lost: f64,
    ways: BinaryHeap<Way>,
    now: Time,
    sent: u64,
    dice: Xoshiro256PlusPlus,
    asked: u64,
    /// What was decided at each place, and places at which two voters differ.
    log: BTreeMap<usize, Entry>,
    differ: usize,
    decided: Vec<usize>,
    caught: usize,
}

fn name(i: usize) -> String {
    format!("v{i}")
}

impl World {
    fn new(count: usize, seed: u64) -> World {
        let names: Vec<String> = (0..count).map(name).collect();
        let identity = |i: usize| Identity {
            name: name(i),
            memory: u64::MAX / 2 + i as u64,
        };
        let mut gathers: Vec<Gather> = (0..count)
            .map(|i| Gather::new(identity(i), &names, None))
            .collect();
        let announcements: Vec<_> = gathers.iter().map(Gather::announcement).collect();
        let mut disks = Vec::new();
        for (i, gather) in gathers.iter_mut().enumerate() {
            announcements
                .iter()
                .for_each(|a| _ = gather.on_announcement(a));
            let mut state = PersistentState::default();
            state.begin(identity(i));
            state.begun(gather.genesis().unwrap().clone());
            disks.push(take(&state.journal()));
        }
        let mut world = World {
            voters: (0..count).map(|_| None).collect(),
            disks,
            works: vec![vec![true; count]; count],
            lost: 0.0,
            ways: BinaryHeap::new(),
            now: Time(1_000 * SECOND),
            sent: 0,
            dice: Xoshiro256PlusPlus::seed_from_u64(seed),
            asked: 0,
            log: BTreeMap::new(),
            differ: 0,
            decided: vec![0; count],
            caught: 0,
        };
        (0..count).for_each(|i| world.start(i));
        world
    }

    fn start(&mut self, i: usize) {
        let state = PersistentState::from_records(&self.disks[i]).unwrap();
        let voter = Voter::new(self.now, state, TERMS).unwrap();
        self.decided[i] = voter.applied();
        self.voters[i] = Some(voter);
        for other in (0..self.voters.len()).filter(|o| *o != i) {
            let told = self.voters[other]
                .as_mut()
                .map(|v| v.on_reconnected(self.now, &name(i)));
            self.carry(other, told.unwrap_or_default());
        }
    }

    fn carry(&mut self, by: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Keep(records) => self.disks[by].extend(records),
                Verdict::Send(to, bytes) => {
                    let to: usize = to.name[1..].parse().unwrap();
                    self.sent += 1;
                    if self.works[by][to] && !self.dice.random_bool(self.lost) {
                        self.ways
                            .push(Reverse((self.now.plus(WAY), self.sent, to, bytes)));
                    }
                }
                Verdict::Decided(place, entry, _) => {
                    assert_eq!(place, self.decided[by], "in order, and each once");
                    self.decided[by] += 1;
                    let first = self.log.entry(place).or_insert_with(|| entry.clone());
                    self.differ += usize::from(*first != entry);
                }
                Verdict::Caught(place) => {
                    assert!(place > self.decided[by]);
                    (self.decided[by], self.caught) = (place, self.caught + 1);
                }
                Verdict::Led(..) => {}
            }
        }
    }

    fn run(&mut self, length: Micros) {
        let end = self.now.plus(length);
        loop {
            let timer = (0..self.voters.len())
                .filter_map(|i| Some((self.voters[i].as_ref()?.next(), i)))
                .min();
            let way = self.ways.peek().map(|w| w.0 .0);
            let Some(at) = way
                .into_iter()
                .chain(timer.map(|t| t.0))
                .min()
                .filter(|at| *at <= end)
            else {
                break;
            };
            self.now = self.now.max(at);
            if way == Some(at) {
                let Some(Reverse((_, _, to, bytes))) = self.ways.pop() else {
                    continue;
                };
                let told = self.voters[to]
                    .as_mut()
                    .map(|v| v.on_message(self.now, &bytes));
                self.carry(to, told.unwrap_or_default());
            } else if let Some((_, i)) = timer {
                let told = self.voters[i].as_mut().map(|v| v.on_time(self.now));
                self.carry(i, told.unwrap_or_default());
            }
        }
        self.now = end;
    }

    /// Puts an ask of its own forward at a voter.
    fn ask(&mut self, at: usize) {
        self.asked += 1;
        let grant = grants::Entry::Ask(
            Duty("d".into()),
            Holder {
                name: format!("h{}", self.asked),
                life: 1,
            },
        );
        let entry = Entry {
            grant,
            number: self.asked,
        };
        let told = self.voters[at]
            .as_mut()
            .map(|v| v.on_entry(self.now, entry));
        self.carry(at, told.unwrap_or_default());
    }

    /// Puts asks forward at a voter for so long, and tells how many entries were decided there
    /// meanwhile.
    fn progress(&mut self, at: usize, length: Micros) -> usize {
        let before = self.decided[at];
        for _ in 0..length / (100 * MS) {
            self.ask(at);
            self.run(100 * MS);
        }
        self.decided[at] - before
    }

    fn cut(&mut self, from: usize, to: usize, works: bool) {
        self.works[from][to] = works;
    }

    fn split(&mut self, side: &[usize]) {
        let count = self.voters.len();
        for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
            self.works[a][b] = side.contains(&a) == side.contains(&b);
        }
    }

    fn heal(&mut self) {
        self.works.iter_mut().flatten().for_each(|w| *w = true);
        for i in 0..self.voters.len() {
            let others: Vec<String> = (0..self.voters.len())
                .filter(|o| *o != i)
                .map(name)
                .collect();
            for other in others {
                let told = self.voters[i]
                    .as_mut()
                    .map(|v| v.on_reconnected(self.now, &other));
                self.carry(i, told.unwrap_or_default());
            }
        }
    }

    /// All voters that run have decided the same, all of it.
    fn agree(&self) -> bool {
        let all = (0..self.voters.len())
            .filter(|i| self.voters[*i].is_some())
            .map(|i| self.decided[i]);
        let all: Vec<usize> = all.collect();
        // And what follows from it is the same, whether it came by entries or by snapshots.
        let grants: Vec<_> = self
            .voters
            .iter()
            .flatten()
            .map(|v| v.grants().told())
            .collect();
        self.differ == 0
            && all.iter().all(|d| *d == all[0])
            && grants.iter().all(|g| *g == grants[0])
    }
}

#[test]
fn a_majority_goes_on_a_minority_does_not_and_both_are_one_again() {
    let mut world = World::new(5, 1);
    assert!(world.progress(0, 3 * SECOND) > 10);
    world.split(&[0, 1, 2]);
    world.run(2 * SECOND);
    assert!(world.progress(1, 2 * SECOND) > 10, "three of five go on");
    assert_eq!(world.progress(4, 2 * SECOND), 0, "two do not");
    // The majority's side loses one more: two and two, and one that is dead.
    world.voters[2] = None;
    assert!(world.progress(0, 2 * SECOND) + world.progress(3, 2 * SECOND) == 0);
    world.start(2);
    assert!(world.progress(0, 3 * SECOND) > 10);
    world.heal();
    world.run(3 * SECOND);
    assert!(
        world.agree() && world.progress(4, 2 * SECOND) > 10,
        "{:?}",
        world.decided
    );
}

#[test]
fn a_bridge_and_a_ring_of_one_way_cuts_do_not_stop_it() {
    for (count, cuts) in [
        (3, vec![(0, 2), (2, 0)]),
        (3, vec![(0, 1), (1, 0)]),
        (5, vec![(0, 1), (1, 2), (2, 3), (3, 4), (4, 0)]),
        (5, vec![(0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)]),
    ] {
        let mut world = World::new(count, 3);
        assert!(world.progress(0, 3 * SECOND) > 10);
        cuts.iter().for_each(|(a, b)| world.cut(*a, *b, false));
        world.run(3 * SECOND);
        let before = world.log.len();
        (0..count).for_each(|at| _ = world.progress(at, SECOND));
        assert!(
            world.log.len() > before + 10 && world.differ == 0,
            "{cuts:?}: {before}, {}",
            world.log.len()
        );
        world.heal();
        world.run(3 * SECOND);
        assert!(world.agree(), "{cuts:?}: {:?}", world.decided);
    }
}

#[test]
fn all_killed_at_once_and_started_together_know_what_they_had_decided() {
    let mut world = World::new(3, 5);
    assert!(world.progress(0, 3 * SECOND) > 10);
    let before = world.decided.clone();
    world.voters.iter_mut().for_each(|v| *v = None);
    world.ways.clear();
    world.run(5 * SECOND);
    (0..3).for_each(|i| world.start(i));
    assert!(
        world
            .decided
            .iter()
            .zip(&before)
            .all(|(now, then)| now <= then),
        "it learns them from its disk"
    );
    assert!(
        world.decided.iter().max() == before.iter().max(),
        "{:?}, {before:?}",
        world.decided
    );
    world.run(3 * SECOND);
    assert!(world.progress(1, 3 * SECOND) > 10 && world.agree());
}

#[test]
fn who_was_away_for_long_catches_up_by_a_snapshot_and_the_memory_stays_bounded() {
    let mut world = World::new(3, 7);
    world.run(SECOND);
    world.voters[2] = None;
    for _ in 0..2_500 {
        world.ask(0);
        world.run(5 * MS);
    }
    world.run(SECOND);
    assert!(world.decided[0] > 2_200, "{}", world.decided[0]);
    let whole = PersistentState::from_records(&world.disks[0])
        .unwrap()
        .whole();
    assert!(whole.0.len() < 2 * SNAPSHOT * 40, "{} bytes", whole.0.len());
    let again = PersistentState::from_records(std::slice::from_ref(&whole)).unwrap();
    assert_eq!(again.whole(), whole, "one record stands in place of all");
    let sent = world.sent;
    world.start(2);
    world.run(3 * SECOND);
    assert!(world.caught > 0 && world.agree(), "{:?}", world.decided);
    assert!(world.sent - sent < 1_000, "{} messages", world.sent - sent);
    let [a, c] = [0, 2].map(|i| world.voters[i].as_ref().unwrap().grants().told());
    assert_eq!(a, c);
}

/// Two of three decide, one of them loses its disk, and the other one is cut off: what the one that
/// is left over then decides with the one that has forgotten.
fn forgetting(keeps_its_identity: bool) -> World {
    let mut world = World::new(3, 11);
    world.split(&[0, 1]);
    assert!(world.progress(0, 4 * SECOND) > 10 && world.decided[2] == 0);
    world.voters[1] = None;
    world.ways.clear();
    world.split(&[1, 2]);
    if keeps_its_identity {
        world.disks[1].truncate(2);
        world.start(1);
        world.decided[1] = 0;
    } else {
        // It comes back as another one, hears of the genesis, and abstains.
        let names: Vec<String> = (0..3).map(name).collect();
        let mut gather = Gather::new(
            Identity {
                name: name(1),
                memory: 999,
            },
            &names,
            None,
        );
        let genesis = world.voters[2].as_ref().unwrap().genesis().clone();
        let announcement = crate::genesis::Announcement {
            identity: genesis.voters()[2].clone(),
            begun: Some(genesis),
        };
        assert!(!gather.on_announcement(&announcement) && matches!(gather.why(), Named::Forgot(_)));
        let mut state = PersistentState::default();
        state.begin(gather.announcement().identity);
        assert!(Voter::new(world.now, state, TERMS).is_err());
    }
    world.run(SECOND);
    world.progress(2, 4 * SECOND);
    world
}

#[test]
fn a_voter_that_has_forgotten_does_not_vote_and_the_checker_finds_what_one_that_did_would_do() {
    let world = forgetting(false);
    assert!(
        world.differ == 0 && world.decided[2] == 0,
        "nothing is decided without a majority that remembers"
    );
    let world = forgetting(true);
    assert!(
        world.differ > 0,
        "a planted voter without memory decides otherwise: the checker has to see it"
    );
}

#[test]
fn whatever_befalls_voters_and_ways_they_decide_one_log_and_go_on_once_it_is_over() {
    for seed in 0..25 {
        let mut world = World::new([3, 5, 7][seed as usize % 3], seed);
        world.lost = [0.0, 0.02, 0.1][seed as usize / 3 % 3];
        let count = world.voters.len();
        for _ in 0..60 {
            let (a, b) = (
                world.dice.random_range(0..count),
                world.dice.random_range(0..count),
            );
            match world.dice.random_range(0..6) {
                0 => world.voters[a] = None,
                1 if world.voters[a].is_none() => world.start(a),
                2 => world.cut(a, b, false),
                3 => world.cut(a, b, true),
                4 => world.split(&[a, b]),
                _ => world.heal(),
            }
            world.progress(b, 500 * MS);
        }
        world.lost = 0.0;
        (0..count)
            .filter(|i| world.voters[*i].is_none())
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|i| world.start(i));
        world.heal();
        world.run(5 * SECOND);
        assert!(world.progress(0, 2 * SECOND) > 10, "{seed}: it goes on");
        world.run(2 * SECOND);
        assert!(
            world.agree() && world.log.len() > 50,
            "{seed}: {} differ, {:?}",
            world.differ,
            world.decided
        );
    }
}

#[test]
fn garbage_and_words_of_another_genesis_are_refused_and_change_nothing() {
    let mut world = World::new(3, 2);
    world.run(SECOND);
    let voter = world.voters[0].as_mut().unwrap();
    let mut dice = Xoshiro256PlusPlus::seed_from_u64(4);
    for length in 0..200 {
        let bytes: Vec<u8> = (0..length).map(|_| dice.random_range(0..=255)).collect();
        voter.on_message(world.now, &bytes);
    }
    assert_eq!(voter.refused(), 200);
    let message = Message::<Entry>::BLE(omnipaxos::messages::ballot_leader_election::BLEMessage {
        from: 2,
        to: 1,
        msg: omnipaxos::messages::ballot_leader_election::HeartbeatMsg::Request(
            omnipaxos::messages::ballot_leader_election::HeartbeatRequest { round: 1 },
        ),
    });
    let digest = voter.genesis().digest();
    for (digest, refused) in [(digest + 1, 201), (digest, 201)] {
        voter.on_message(
            world.now,
            &postcard::to_stdvec(&(digest, &message)).unwrap(),
        );
        assert_eq!(voter.refused(), refused);
    }
    assert!(world.progress(0, 2 * SECOND) > 5);
}

//! Simulated failure detectors in virtual time, over a network that loses, partitions and delays
//! messages.

use super::*;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const START: Time = Time(1_000 * SECOND);
/// Delay of each message (microseconds).
const LINK_DELAY: Micros = 1_000;

/// A message in flight: when it arrives, its number, receiver, sender and bytes.
type InFlightMessage = std::cmp::Reverse<(Time, u64, usize, usize, Vec<u8>)>;

struct Network {
    detectors: Vec<FailureDetector>,
    /// Time until which each broker is paused: it runs no timers, and its messages wait.
    suspended_until: Vec<Time>,
    crashed: Vec<bool>,
    in_flight: BinaryHeap<InFlightMessage>,
    now: Time,
    sent_messages: u64,
    /// Bytes sent by each broker.
    bytes: Vec<u64>,
    /// Returns whether a message sent at this time from the first to the second broker is
    /// delivered.
    delivers: Box<dyn FnMut(Time, usize, usize) -> bool>,
    /// All changes of views: time, observing broker, member, whether the member is up.
    changes: Vec<(Time, usize, String, bool)>,
}

fn member(i: usize, incarnation: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + i as u16));
    Member {
        name: format!("n{i}"),
        address,
        zone: format!("z{}", i % 3),
        incarnation,
    }
}

impl Network {
    /// Creates a network of `count` brokers. The first three are the seeds of all.
    fn new(count: usize) -> Network {
        let detector = |i| {
            let seeds = (0..count.min(3)).map(|s| member(s, 0)).collect();
            FailureDetector::new(
                START,
                member(i, START.0),
                seeds,
                SwimConfig::default(),
                i as u64,
            )
        };
        Network {
            detectors: (0..count).map(detector).collect(),
            suspended_until: vec![START; count],
            crashed: vec![false; count],
            in_flight: BinaryHeap::new(),
            now: START,
            sent_messages: 0,
            bytes: vec![0; count],
            delivers: Box::new(|_, _, _| true),
            changes: Vec::new(),
        }
    }

    fn apply_actions(&mut self, from: usize, actions: Vec<DetectorAction>) {
        for verdict in actions {
            match verdict {
                DetectorAction::Send(to, bytes) => {
                    let to: usize = to.name[1..].parse().unwrap();
                    self.bytes[from] += bytes.len() as u64;
                    self.sent_messages += 1;
                    if (self.delivers)(self.now, from, to) {
                        self.in_flight.push(std::cmp::Reverse((
                            self.now.plus(LINK_DELAY),
                            self.sent_messages,
                            to,
                            from,
                            bytes,
                        )));
                    }
                }
                DetectorAction::Up(member, _) => {
                    self.changes.push((self.now, from, member.name, true))
                }
                DetectorAction::Down(member, _) => {
                    self.changes.push((self.now, from, member.name, false))
                }
                DetectorAction::Renewed(..) => {}
            }
        }
    }

    fn run(&mut self, length: Micros) {
        let end = self.now.plus(length);
        loop {
            let next_call = |i: usize| {
                (!self.crashed[i]).then(|| self.detectors[i].next().max(self.suspended_until[i]))
            };
            let timer = (0..self.detectors.len())
                .filter_map(|i| Some((next_call(i)?, i)))
                .min();
            let arrival = self.in_flight.peek().map(|message| message.0 .0);
            let Some(at) = [timer.map(|timer| timer.0), arrival]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= end)
            else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            if arrival.is_some_and(|arrives_at| arrives_at <= at) {
                let Some(std::cmp::Reverse((_, number, to, from, bytes))) = self.in_flight.pop()
                else {
                    continue;
                };
                if self.suspended_until[to] > self.now {
                    // The message is read when the paused broker resumes, after its due timers.
                    let later = self.suspended_until[to].plus(1);
                    self.in_flight
                        .push(std::cmp::Reverse((later, number, to, from, bytes)));
                } else if !self.crashed[to] {
                    let changes = self.detectors[to].on_message(self.now, &bytes);
                    self.apply_actions(to, changes);
                }
            } else if let Some((_, i)) = timer {
                let changes = self.detectors[i].on_time(self.now);
                self.apply_actions(i, changes);
            }
        }
    }

    /// Returns whether the view of each running broker contains exactly the other running brokers.
    fn is_consistent(&self) -> bool {
        let running: Vec<usize> = (0..self.detectors.len())
            .filter(|i| !self.crashed[*i])
            .collect();
        let has_expected_view = |i: &usize| {
            let names = self.detectors[*i].alive.keys().cloned().collect::<Vec<_>>();
            let mut expected: Vec<String> = running
                .iter()
                .filter(|o| *o != i)
                .map(|o| format!("n{o}"))
                .collect();
            expected.sort();
            names == expected
        };
        running.iter().all(has_expected_view)
    }

    fn deaths_declared(&self) -> usize {
        self.changes.iter().filter(|change| !change.3).count()
    }
}

/// Returns a function that returns `true` with this probability.
fn random_events(seed: u64, probability: f64) -> impl FnMut() -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    move || rng.f64() < probability
}

#[test]
fn brokers_discover_each_other_from_seeds_and_no_death_is_declared() {
    for count in [2, 3, 9, 30] {
        let mut network = Network::new(count);
        network.run(15 * SECOND);
        assert!(network.is_consistent(), "{count} brokers");
        network.run(60 * SECOND);
        assert!(
            network.is_consistent() && network.deaths_declared() == 0,
            "{count} brokers: {} deaths",
            network.deaths_declared()
        );
    }
}

#[test]
fn crash_is_detected_by_all_in_time_and_no_other_death_is_declared() {
    for (count, max_seconds) in [(3, 6), (9, 6), (30, 8)] {
        let mut network = Network::new(count);
        network.run(20 * SECOND);
        let (crashed_at, before) = (network.now, network.changes.len());
        network.crashed[1] = true;
        network.run(max_seconds * SECOND);
        assert!(network.is_consistent(), "{count} brokers, {max_seconds} s");
        let changes = &network.changes[before..];
        assert!(
            changes.iter().all(|change| change.2 == "n1" && !change.3)
                && changes.len() == count - 1,
            "{changes:?}"
        );
        let first = changes
            .iter()
            .map(|change| change.0)
            .min()
            .unwrap()
            .since(crashed_at);
        assert!(
            first >= 2 * SECOND,
            "a member must be suspected before it is declared dead: {first}"
        );
        // The broker restarts without state, with a later incarnation.
        network.detectors[1] = FailureDetector::new(
            network.now,
            member(1, network.now.0),
            vec![member(0, 0)],
            SwimConfig::default(),
            77,
        );
        network.crashed[1] = false;
        network.run(10 * SECOND);
        assert!(
            network.is_consistent(),
            "{count} brokers: after the restart"
        );
    }
}

#[test]
fn link_failure_in_one_direction_causes_no_death() {
    let mut network = Network::new(9);
    network.run(20 * SECOND);
    network.delivers = Box::new(|_, from, to| (from, to) != (4, 7));
    network.run(120 * SECOND);
    assert!(
        network.is_consistent() && network.deaths_declared() == 0,
        "indirect probes must prevent a death: {:?}",
        network.changes.last()
    );
}

#[test]
fn lost_messages_cause_no_death() {
    let mut network = Network::new(30);
    network.run(20 * SECOND);
    let mut lost = random_events(5, 0.05);
    network.delivers = Box::new(move |_, _, _| !lost());
    network.run(300 * SECOND);
    assert_eq!(
        network.deaths_declared(),
        0,
        "5 % of the messages are lost for five minutes"
    );
}

#[test]
fn paused_broker_declares_no_death_and_rejoins_by_itself() {
    for pause_s in [1, 3, 20] {
        let mut network = Network::new(9);
        network.run(20 * SECOND);
        network.suspended_until[4] = network.now.plus(pause_s * SECOND);
        network.run(pause_s * SECOND + 10 * SECOND);
        let deaths_by_paused: Vec<_> = network
            .changes
            .iter()
            .filter(|change| change.1 == 4 && !change.3)
            .collect();
        assert!(
            deaths_by_paused.is_empty(),
            "{pause_s} s: {deaths_by_paused:?}"
        );
        assert!(network.is_consistent(), "{pause_s} s");
        let declared_by_others = network.deaths_declared();
        assert!(
            if pause_s == 1 {
                declared_by_others == 0
            } else {
                declared_by_others <= 8
            },
            "{pause_s} s: {declared_by_others} deaths"
        );
        assert!(
            pause_s < 20 || declared_by_others == 8,
            "{pause_s} s: all others must declare the broker dead"
        );
    }
}

#[test]
fn views_converge_after_a_partition() {
    let mut network = Network::new(9);
    network.run(20 * SECOND);
    network.delivers = Box::new(|_, from, to| (from < 4) == (to < 4));
    network.run(30 * SECOND);
    let view_size = |network: &Network, i: usize| network.detectors[i].alive.len();
    assert_eq!((view_size(&network, 0), view_size(&network, 8)), (3, 4));
    network.delivers = Box::new(|_, _, _| true);
    network.run(30 * SECOND);
    assert!(
        network.is_consistent(),
        "{:?}",
        network
            .detectors
            .iter()
            .map(|detector| detector.alive.len())
            .collect::<Vec<_>>()
    );
}

#[test]
fn leaving_broker_is_removed_without_suspicion() {
    let mut network = Network::new(9);
    network.run(20 * SECOND);
    let changes = network.detectors[2].on_stop(network.now);
    network.apply_actions(2, changes);
    network.crashed[2] = true;
    network.run(SECOND + SECOND / 2);
    assert!(
        network.is_consistent(),
        "a leave must take effect without waiting for a suspicion of 2 s"
    );
}

#[test]
fn undecodable_messages_are_counted_and_have_no_effect() {
    let mut network = Network::new(3);
    network.run(10 * SECOND);
    let mut output = AccumulatingRuntime::new();
    network.detectors[1]
        .swim
        .announce(member(0, 0), &mut output)
        .unwrap();
    let valid = output.to_send().unwrap().1.to_vec();
    let now = network.now;
    crate::testing::garbage(&[&valid], |bytes| {
        let changes = network.detectors[0].on_message(now, bytes);
        assert!(
            !changes
                .iter()
                .any(|v| matches!(v, DetectorAction::Renewed(..))),
            "{changes:?}"
        );
    });
    assert!(
        network.detectors[0].rejected_messages() > 100,
        "{} rejected",
        network.detectors[0].rejected_messages()
    );
    network.run(10 * SECOND);
    assert!(["n1", "n2"]
        .iter()
        .all(|n| network.detectors[0].alive.contains_key(*n)));
}

#[test]
fn bytes_sent_per_broker_do_not_grow_with_the_fleet() {
    let rate = |count: usize, stabilization_s: u64| {
        let mut network = Network::new(count);
        network.run(stabilization_s * SECOND);
        assert!(
            network.is_consistent(),
            "{count} brokers after {stabilization_s} s"
        );
        network.bytes.iter_mut().for_each(|b| *b = 0);
        network.run(20 * SECOND);
        assert_eq!(network.deaths_declared(), 0);
        network.bytes.iter().sum::<u64>() as f64 / count as f64 / 20.0
    };
    let (few, many) = (rate(9, 20), rate(100, 40));
    assert!(
        many < 1.5 * few && few < 1.5 * many,
        "{few:.0} and {many:.0} bytes per second and broker"
    );
}

/// Guards the stopped clock of a paused process: a suspicion is pending when the process is paused,
/// and is refuted during the pause. The refutation is still unread when the suspicion would expire.
#[test]
fn suspicion_refuted_during_a_pause_causes_no_death() {
    for offset in 0..20 {
        let mut network = Network::new(5);
        network.run(20 * SECOND + offset * 100_000);
        network.delivers = Box::new(|_, from, to| from != 3 && to != 3);
        network.run(SECOND + SECOND / 2);
        network.delivers = Box::new(|_, _, _| true);
        network.suspended_until[1] = network.now.plus(6 * SECOND);
        network.run(12 * SECOND);
        let deaths_by_paused: Vec<_> = network
            .changes
            .iter()
            .filter(|change| change.1 == 1 && !change.3)
            .collect();
        assert!(
            deaths_by_paused.iter().all(|change| change.2 != "n3"),
            "offset {offset}: {deaths_by_paused:?}"
        );
        let deaths_of_suspect = network
            .changes
            .iter()
            .filter(|change| change.2 == "n3" && !change.3)
            .count();
        assert_eq!(
            deaths_of_suspect, 0,
            "offset {offset}: the suspect refuted the suspicion in time"
        );
        assert!(network.is_consistent(), "offset {offset}");
    }
}

#[test]
fn isolated_broker_declares_no_other_broker_dead() {
    let (mut wrong_deaths, mut deaths_of_isolated) = (Vec::new(), 0);
    for (seed, isolation_ms) in
        (0..24).flat_map(|seed| [2_200, 2_800, 3_400, 5_000, 9_000, 15_000].map(|ms| (seed, ms)))
    {
        let mut network = Network::new(9);
        network.run((20 + seed) * SECOND + seed * 37_000);
        assert!(network.is_consistent());
        network.changes.clear();
        // The messages of broker 4 are lost; with every third seed the messages to it are lost too.
        let (from, until) = (network.now, network.now.plus(isolation_ms * 1_000));
        let is_cut_both_ways = seed % 3 == 0;
        network.delivers = Box::new(move |now, sender, to| {
            now < from || now >= until || sender != 4 && !(is_cut_both_ways && to == 4)
        });
        network.run(isolation_ms * 1_000 + 20 * SECOND);
        let deaths_declared = network.changes.iter().filter(|change| !change.3);
        wrong_deaths.extend(
            deaths_declared
                .clone()
                .filter(|change| change.1 != 4 && change.2 != "n4")
                .map(|change| (seed, isolation_ms, change.clone())),
        );
        deaths_of_isolated += deaths_declared.filter(|change| change.2 == "n4").count();
        assert!(network.is_consistent(), "seed {seed}, {isolation_ms} ms");
    }
    let mut counts: BTreeMap<(u64, bool), usize> = BTreeMap::new();
    wrong_deaths
        .iter()
        .for_each(|death| *counts.entry((death.1, death.0 % 3 == 0)).or_default() += 1);
    assert!(
        wrong_deaths.is_empty() && deaths_of_isolated > 100,
        "{} deaths of others, {deaths_of_isolated} of the isolated broker: {counts:?}",
        wrong_deaths.len()
    );
}

#[test]
fn crash_of_one_of_two_brokers_is_detected() {
    let mut network = Network::new(2);
    network.run(20 * SECOND);
    network.crashed[1] = true;
    let crashed_at = network.now;
    network.run(20 * SECOND);
    let changes: Vec<Micros> = network
        .changes
        .iter()
        .filter(|change| !change.3)
        .map(|change| change.0.since(crashed_at))
        .collect();
    let max_delay = SwimConfig::default().suspicion_timeout * (MAX_WITHHELD_SUSPICIONS + 2)
        + 4 * SwimConfig::default().probe_interval;
    assert!(changes.len() == 1 && changes[0] <= max_delay, "{changes:?}");
}

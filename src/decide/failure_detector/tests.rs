//! Failure detectors in virtual time, over a network that loses, partitions and delays.

use super::*;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

const SECOND: Micros = 1_000_000;
const START: Time = Time(1_000 * SECOND);
/// The delay of a message.
const LINK_DELAY: Micros = 1_000;

/// A message in flight: when it arrives, its number, receiver, sender and bytes.
type InFlightMessage = std::cmp::Reverse<(Time, u64, usize, usize, Vec<u8>)>;

struct Network {
    detectors: Vec<FailureDetector>,
    /// Paused until then: nothing is done there, and messages wait.
    suspended_until: Vec<Time>,
    crashed: Vec<bool>,
    in_flight: BinaryHeap<InFlightMessage>,
    now: Time,
    sent_messages: u64,
    bytes: Vec<u64>,
    /// Whether a message from the first broker to the second is delivered at this time.
    delivers: Box<dyn FnMut(Time, usize, usize) -> bool>,
    /// All changes of views: when, whose view, of which member, whether up.
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
    /// This many brokers; the first three are seeds of all.
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
            let arrival = self.in_flight.peek().map(|w| w.0 .0);
            let Some(at) = [timer.map(|t| t.0), arrival]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= end)
            else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            if arrival.is_some_and(|w| w <= at) {
                let Some(std::cmp::Reverse((_, n, to, from, bytes))) = self.in_flight.pop() else {
                    continue;
                };
                if self.suspended_until[to] > self.now {
                    // It lies unread until that process goes on, and is read after what is due
                    // there.
                    let later = self.suspended_until[to].plus(1);
                    self.in_flight
                        .push(std::cmp::Reverse((later, n, to, from, bytes)));
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

    /// Whether the view of each broker that runs has all others that run, and nobody else.
    fn is_consistent(&self) -> bool {
        let living: Vec<usize> = (0..self.detectors.len())
            .filter(|i| !self.crashed[*i])
            .collect();
        let knows = |i: &usize| {
            let names = self.detectors[*i].alive.keys().cloned().collect::<Vec<_>>();
            let mut declared_by_others: Vec<String> = living
                .iter()
                .filter(|o| *o != i)
                .map(|o| format!("n{o}"))
                .collect();
            declared_by_others.sort();
            names == declared_by_others
        };
        living.iter().all(knows)
    }

    fn deaths_declared(&self) -> usize {
        self.changes.iter().filter(|t| !t.3).count()
    }
}

/// Random events of this probability.
fn random_events(seed: u64, share: f64) -> impl FnMut() -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    move || rng.f64() < share
}

#[test]
fn brokers_discover_each_other_from_seeds_and_stay_alive() {
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
fn crashed_broker_is_detected_by_all_in_time_and_no_other_is() {
    for (count, most) in [(3, 6), (9, 6), (30, 8)] {
        let mut network = Network::new(count);
        network.run(20 * SECOND);
        let (crashed_at, before) = (network.now, network.changes.len());
        network.crashed[1] = true;
        network.run(most * SECOND);
        assert!(network.is_consistent(), "{count} brokers, {most} s");
        let changes = &network.changes[before..];
        assert!(
            changes.iter().all(|t| t.2 == "n1" && !t.3) && changes.len() == count - 1,
            "{changes:?}"
        );
        let first = changes.iter().map(|t| t.0).min().unwrap().since(crashed_at);
        assert!(
            first >= 2 * SECOND,
            "nobody is declared dead without having been suspected: {first}"
        );
        // It returns without state, with a later incarnation.
        network.detectors[1] = FailureDetector::new(
            network.now,
            member(1, network.now.0),
            vec![member(0, 0)],
            SwimConfig::default(),
            77,
        );
        network.crashed[1] = false;
        network.run(10 * SECOND);
        assert!(network.is_consistent(), "{count} brokers: back again");
    }
}

#[test]
fn link_failure_in_one_direction_is_no_death() {
    let mut network = Network::new(9);
    network.run(20 * SECOND);
    network.delivers = Box::new(|_, from, to| (from, to) != (4, 7));
    network.run(120 * SECOND);
    assert!(
        network.is_consistent() && network.deaths_declared() == 0,
        "others probe: {:?}",
        network.changes.last()
    );
}

#[test]
fn lost_messages_are_no_deaths() {
    let mut network = Network::new(30);
    network.run(20 * SECOND);
    let mut lost = random_events(5, 0.05);
    network.delivers = Box::new(move |_, _, _| !lost());
    network.run(300 * SECOND);
    assert_eq!(
        network.deaths_declared(),
        0,
        "one in twenty is lost for five minutes"
    );
}

#[test]
fn paused_broker_declares_nobody_dead_and_returns_by_itself() {
    for paused in [1, 3, 20] {
        let mut network = Network::new(9);
        network.run(20 * SECOND);
        network.suspended_until[4] = network.now.plus(paused * SECOND);
        network.run(paused * SECOND + 10 * SECOND);
        let by_it: Vec<_> = network
            .changes
            .iter()
            .filter(|t| t.1 == 4 && !t.3)
            .collect();
        assert!(by_it.is_empty(), "{paused} s: {by_it:?}");
        assert!(network.is_consistent(), "{paused} s");
        let declared_by_others = network.deaths_declared();
        assert!(
            if paused == 1 {
                declared_by_others == 0
            } else {
                declared_by_others <= 8
            },
            "{paused} s: {declared_by_others} deaths"
        );
        assert!(
            paused < 20 || declared_by_others == 8,
            "{paused} s are a death to the others"
        );
    }
}

#[test]
fn views_converge_after_a_partition() {
    let mut network = Network::new(9);
    network.run(20 * SECOND);
    network.delivers = Box::new(|_, from, to| (from < 4) == (to < 4));
    network.run(30 * SECOND);
    let sees = |network: &Network, i: usize| network.detectors[i].alive.len();
    assert_eq!((sees(&network, 0), sees(&network, 8)), (3, 4));
    network.delivers = Box::new(|_, _, _| true);
    network.run(30 * SECOND);
    assert!(
        network.is_consistent(),
        "{:?}",
        network
            .detectors
            .iter()
            .map(|f| f.alive.len())
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
        "without a suspicion, which takes 2 s"
    );
}

#[test]
fn garbage_is_counted_without_effect() {
    let mut network = Network::new(3);
    network.run(10 * SECOND);
    let mut output = AccumulatingRuntime::new();
    network.detectors[1]
        .swim
        .announce(member(0, 0), &mut output)
        .unwrap();
    let sound = output.to_send().unwrap().1.to_vec();
    let now = network.now;
    crate::testing::garbage(&[&sound], |bytes| {
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
        "{} refused",
        network.detectors[0].rejected_messages()
    );
    network.run(10 * SECOND);
    assert!(["n1", "n2"]
        .iter()
        .all(|n| network.detectors[0].alive.contains_key(*n)));
}

#[test]
fn bytes_sent_by_each_do_not_grow_with_the_fleet() {
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
        "{few:.0} and {many:.0} bytes a second each"
    );
}

/// The case that the stopped clock is for: a suspicion is open as this process is paused, and is
/// refuted meanwhile. The refutation is still unread when the time of the suspicion is over.
#[test]
fn suspicion_refuted_during_a_pause_is_no_death() {
    for offset in 0..20 {
        let mut network = Network::new(5);
        network.run(20 * SECOND + offset * 100_000);
        network.delivers = Box::new(|_, from, to| from != 3 && to != 3);
        network.run(SECOND + SECOND / 2);
        network.delivers = Box::new(|_, _, _| true);
        network.suspended_until[1] = network.now.plus(6 * SECOND);
        network.run(12 * SECOND);
        let by_it: Vec<_> = network
            .changes
            .iter()
            .filter(|t| t.1 == 1 && !t.3)
            .collect();
        assert!(
            by_it.iter().all(|t| t.2 != "n3"),
            "offset {offset}: {by_it:?}"
        );
        let of_it = network
            .changes
            .iter()
            .filter(|t| t.2 == "n3" && !t.3)
            .count();
        assert_eq!(
            of_it, 0,
            "offset {offset}: it returned in time to refute it"
        );
        assert!(network.is_consistent(), "offset {offset}");
    }
}

#[test]
fn isolated_broker_spreads_no_death_of_others() {
    let (mut bad, mut of_it) = (Vec::new(), 0);
    for (seed, length) in
        (0..24).flat_map(|o| [2_200, 2_800, 3_400, 5_000, 9_000, 15_000].map(|ms| (o, ms)))
    {
        let mut network = Network::new(9);
        network.run((20 + seed) * SECOND + seed * 37_000);
        assert!(network.is_consistent());
        network.changes.clear();
        // Its messages are lost, those of others arrive; every third time those are lost too.
        let (from, until) = (network.now, network.now.plus(length * 1_000));
        let both = seed % 3 == 0;
        network.delivers = Box::new(move |now, by, to| {
            now < from || now >= until || by != 4 && !(both && to == 4)
        });
        network.run(length * 1_000 + 20 * SECOND);
        let deaths_declared = network.changes.iter().filter(|t| !t.3);
        bad.extend(
            deaths_declared
                .clone()
                .filter(|t| t.1 != 4 && t.2 != "n4")
                .map(|t| (seed, length, t.clone())),
        );
        of_it += deaths_declared.filter(|t| t.2 == "n4").count();
        assert!(network.is_consistent(), "{seed}, {length}");
    }
    let mut by: BTreeMap<(u64, bool), usize> = BTreeMap::new();
    bad.iter()
        .for_each(|b| *by.entry((b.1, b.0 % 3 == 0)).or_default() += 1);
    assert!(
        bad.is_empty() && of_it > 100,
        "{} of others, {of_it} of it: {by:?}",
        bad.len()
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
        .filter(|t| !t.3)
        .map(|t| t.0.since(crashed_at))
        .collect();
    let most = SwimConfig::default().suspicion_timeout * (MAX_WITHHELD_SUSPICIONS + 2)
        + 4 * SwimConfig::default().probe_interval;
    assert!(changes.len() == 1 && changes[0] <= most, "{changes:?}");
}

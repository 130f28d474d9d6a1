//! Fleets in virtual time, over a network that loses, cuts and delays.

use super::*;
use std::collections::BinaryHeap;

const SECOND: Micros = 1_000_000;
const START: Time = Time(1_000 * SECOND);
/// Time on the way.
const WAY: Micros = 1_000;

/// One message on its way: when it comes, its number, to whom, from whom, and its bytes.
type Way = std::cmp::Reverse<(Time, u64, usize, usize, Vec<u8>)>;

struct World {
    fleets: Vec<Fleet>,
    /// Stopped until then: nothing is done there, and what comes waits.
    stopped: Vec<Time>,
    dead: Vec<bool>,
    ways: BinaryHeap<Way>,
    now: Time,
    sent: u64,
    bytes: Vec<u64>,
    /// Whether a message from the first to the second gets through.
    gets_through: Box<dyn FnMut(Time, usize, usize) -> bool>,
    /// All that was told of others: when, by whom, of whom, whether up.
    told: Vec<(Time, usize, String, bool)>,
}

fn member(i: usize, life: u64) -> Member {
    let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + i as u16));
    Member {
        name: format!("n{i}"),
        address,
        zone: format!("z{}", i % 3),
        life,
    }
}

impl World {
    /// So many brokers; the first three are seeds of all.
    fn new(count: usize) -> World {
        let fleet = |i| {
            let seeds = (0..count.min(3)).map(|s| member(s, 0)).collect();
            Fleet::new(START, member(i, START.0), seeds, Rules::default(), i as u64)
        };
        World {
            fleets: (0..count).map(fleet).collect(),
            stopped: vec![START; count],
            dead: vec![false; count],
            ways: BinaryHeap::new(),
            now: START,
            sent: 0,
            bytes: vec![0; count],
            gets_through: Box::new(|_, _, _| true),
            told: Vec::new(),
        }
    }

    fn carry(&mut self, from: usize, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Send(to, bytes) => {
                    let to: usize = to.name[1..].parse().unwrap();
                    self.bytes[from] += bytes.len() as u64;
                    self.sent += 1;
                    if (self.gets_through)(self.now, from, to) {
                        self.ways.push(std::cmp::Reverse((
                            self.now.plus(WAY),
                            self.sent,
                            to,
                            from,
                            bytes,
                        )));
                    }
                }
                Verdict::Up(who, _) => self.told.push((self.now, from, who.name, true)),
                Verdict::Down(who, _) => self.told.push((self.now, from, who.name, false)),
                Verdict::Renewed(..) => {}
            }
        }
    }

    fn run(&mut self, length: Micros) {
        let end = self.now.plus(length);
        loop {
            let acts =
                |i: usize| (!self.dead[i]).then(|| self.fleets[i].next().max(self.stopped[i]));
            let timer = (0..self.fleets.len())
                .filter_map(|i| Some((acts(i)?, i)))
                .min();
            let way = self.ways.peek().map(|w| w.0 .0);
            let Some(at) = [timer.map(|t| t.0), way]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= end)
            else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            if way.is_some_and(|w| w <= at) {
                let Some(std::cmp::Reverse((_, n, to, from, bytes))) = self.ways.pop() else {
                    continue;
                };
                if self.stopped[to] > self.now {
                    // It lies unread until that process goes on, and is read after what is due
                    // there.
                    let later = self.stopped[to].plus(1);
                    self.ways
                        .push(std::cmp::Reverse((later, n, to, from, bytes)));
                } else if !self.dead[to] {
                    let told = self.fleets[to].on_message(self.now, &bytes);
                    self.carry(to, told);
                }
            } else if let Some((_, i)) = timer {
                let told = self.fleets[i].on_time(self.now);
                self.carry(i, told);
            }
        }
    }

    /// Whether each that is not dead knows all others that are not, and nobody else.
    fn agrees(&self) -> bool {
        let living: Vec<usize> = (0..self.fleets.len()).filter(|i| !self.dead[*i]).collect();
        let knows = |i: &usize| {
            let names = self.fleets[*i].alive.keys().cloned().collect::<Vec<_>>();
            let mut others: Vec<String> = living
                .iter()
                .filter(|o| *o != i)
                .map(|o| format!("n{o}"))
                .collect();
            others.sort();
            names == others
        };
        living.iter().all(knows)
    }

    fn deaths(&self) -> usize {
        self.told.iter().filter(|t| !t.3).count()
    }
}

/// Chance from a seed.
fn chance(seed: u64, share: f64) -> impl FnMut() -> bool {
    let mut rng = fastrand::Rng::with_seed(seed);
    move || rng.f64() < share
}

#[test]
fn brokers_find_each_other_from_some_seeds_and_stay_alive_to_each_other() {
    for count in [2, 3, 9, 30] {
        let mut world = World::new(count);
        world.run(15 * SECOND);
        assert!(world.agrees(), "{count} brokers");
        world.run(60 * SECOND);
        assert!(
            world.agrees() && world.deaths() == 0,
            "{count} brokers: {} deaths",
            world.deaths()
        );
    }
}

#[test]
fn a_dead_broker_is_found_out_by_all_in_time_and_nobody_else_is() {
    for (count, most) in [(3, 6), (9, 6), (30, 8)] {
        let mut world = World::new(count);
        world.run(20 * SECOND);
        let (died, before) = (world.now, world.told.len());
        world.dead[1] = true;
        world.run(most * SECOND);
        assert!(world.agrees(), "{count} brokers, {most} s");
        let told = &world.told[before..];
        assert!(
            told.iter().all(|t| t.2 == "n1" && !t.3) && told.len() == count - 1,
            "{told:?}"
        );
        let first = told.iter().map(|t| t.0).min().unwrap().since(died);
        assert!(
            first >= 2 * SECOND,
            "nobody is declared dead without having been suspected: {first}"
        );
        // It comes back without memory, under a later life.
        world.fleets[1] = Fleet::new(
            world.now,
            member(1, world.now.0),
            vec![member(0, 0)],
            Rules::default(),
            77,
        );
        world.dead[1] = false;
        world.run(10 * SECOND);
        assert!(world.agrees(), "{count} brokers: back again");
    }
}

#[test]
fn a_way_that_is_cut_in_one_direction_is_no_death() {
    let mut world = World::new(9);
    world.run(20 * SECOND);
    world.gets_through = Box::new(|_, from, to| (from, to) != (4, 7));
    world.run(120 * SECOND);
    assert!(
        world.agrees() && world.deaths() == 0,
        "helpers ask: {:?}",
        world.told.last()
    );
}

#[test]
fn lost_messages_are_no_deaths() {
    let mut world = World::new(30);
    world.run(20 * SECOND);
    let mut lost = chance(5, 0.05);
    world.gets_through = Box::new(move |_, _, _| !lost());
    world.run(300 * SECOND);
    assert_eq!(world.deaths(), 0, "one in twenty is lost for five minutes");
}

#[test]
fn a_broker_that_stood_still_declares_nobody_dead_and_comes_back_by_itself() {
    for still in [1, 3, 20] {
        let mut world = World::new(9);
        world.run(20 * SECOND);
        world.stopped[4] = world.now.plus(still * SECOND);
        world.run(still * SECOND + 10 * SECOND);
        let by_it: Vec<_> = world.told.iter().filter(|t| t.1 == 4 && !t.3).collect();
        assert!(by_it.is_empty(), "{still} s: {by_it:?}");
        assert!(world.agrees(), "{still} s");
        let others = world.deaths();
        assert!(
            if still == 1 { others == 0 } else { others <= 8 },
            "{still} s: {others} deaths"
        );
        assert!(
            still < 20 || others == 8,
            "{still} s are a death to the others"
        );
    }
}

#[test]
fn two_halves_find_together_after_a_cut() {
    let mut world = World::new(9);
    world.run(20 * SECOND);
    world.gets_through = Box::new(|_, from, to| (from < 4) == (to < 4));
    world.run(30 * SECOND);
    let sees = |world: &World, i: usize| world.fleets[i].alive.len();
    assert_eq!((sees(&world, 0), sees(&world, 8)), (3, 4));
    world.gets_through = Box::new(|_, _, _| true);
    world.run(30 * SECOND);
    assert!(
        world.agrees(),
        "{:?}",
        world
            .fleets
            .iter()
            .map(|f| f.alive.len())
            .collect::<Vec<_>>()
    );
}

#[test]
fn who_leaves_is_gone_at_once() {
    let mut world = World::new(9);
    world.run(20 * SECOND);
    let told = world.fleets[2].on_stop(world.now);
    world.carry(2, told);
    world.dead[2] = true;
    world.run(SECOND + SECOND / 2);
    assert!(world.agrees(), "without any suspicion, which takes 2 s");
}

#[test]
fn what_makes_no_sense_is_counted_and_ends_nothing() {
    let mut world = World::new(3);
    world.run(10 * SECOND);
    let mut out = AccumulatingRuntime::new();
    world.fleets[1]
        .swim
        .announce(member(0, 0), &mut out)
        .unwrap();
    let sound = out.to_send().unwrap().1.to_vec();
    let now = world.now;
    crate::testing::garbage(&[&sound], |bytes| {
        let told = world.fleets[0].on_message(now, bytes);
        assert!(
            !told.iter().any(|v| matches!(v, Verdict::Renewed(..))),
            "{told:?}"
        );
    });
    assert!(
        world.fleets[0].refused() > 100,
        "{} refused",
        world.fleets[0].refused()
    );
    world.run(10 * SECOND);
    assert!(["n1", "n2"]
        .iter()
        .all(|n| world.fleets[0].alive.contains_key(*n)));
}

#[test]
fn what_each_sends_is_flat_in_the_size_of_the_fleet() {
    let rate = |count: usize, settle: u64| {
        let mut world = World::new(count);
        world.run(settle * SECOND);
        assert!(world.agrees(), "{count} brokers after {settle} s");
        world.bytes.iter_mut().for_each(|b| *b = 0);
        world.run(20 * SECOND);
        assert_eq!(world.deaths(), 0);
        world.bytes.iter().sum::<u64>() as f64 / count as f64 / 20.0
    };
    let (few, many) = (rate(9, 20), rate(100, 40));
    assert!(
        many < 1.5 * few && few < 1.5 * many,
        "{few:.0} and {many:.0} bytes a second each"
    );
}

/// The case that the stopped clock is for: a suspicion is open as this process stops, and is
/// refuted while it sleeps. What ends the suspicion lies unread when its time is over.
#[test]
fn a_suspicion_that_was_refuted_while_this_process_stood_still_is_no_death() {
    for offset in 0..20 {
        let mut world = World::new(5);
        world.run(20 * SECOND + offset * 100_000);
        world.gets_through = Box::new(|_, from, to| from != 3 && to != 3);
        world.run(SECOND + SECOND / 2);
        world.gets_through = Box::new(|_, _, _| true);
        world.stopped[1] = world.now.plus(6 * SECOND);
        world.run(12 * SECOND);
        let by_it: Vec<_> = world.told.iter().filter(|t| t.1 == 1 && !t.3).collect();
        assert!(
            by_it.iter().all(|t| t.2 != "n3"),
            "offset {offset}: {by_it:?}"
        );
        let of_it = world.told.iter().filter(|t| t.2 == "n3" && !t.3).count();
        assert_eq!(
            of_it, 0,
            "offset {offset}: it was back in time to refute it"
        );
        assert!(world.agrees(), "offset {offset}");
    }
}

#[test]
fn who_was_not_heard_for_a_while_spreads_no_death_of_others() {
    let (mut bad, mut of_it) = (Vec::new(), 0);
    for (seed, length) in
        (0..24).flat_map(|o| [2_200, 2_800, 3_400, 5_000, 9_000, 15_000].map(|ms| (o, ms)))
    {
        let mut world = World::new(9);
        world.run((20 + seed) * SECOND + seed * 37_000);
        assert!(world.agrees());
        world.told.clear();
        // What it says is lost, what others say comes; every third time nothing comes either.
        let (from, until) = (world.now, world.now.plus(length * 1_000));
        let both = seed % 3 == 0;
        world.gets_through = Box::new(move |now, by, to| {
            now < from || now >= until || by != 4 && !(both && to == 4)
        });
        world.run(length * 1_000 + 20 * SECOND);
        let deaths = world.told.iter().filter(|t| !t.3);
        bad.extend(
            deaths
                .clone()
                .filter(|t| t.1 != 4 && t.2 != "n4")
                .map(|t| (seed, length, t.clone())),
        );
        of_it += deaths.filter(|t| t.2 == "n4").count();
        assert!(world.agrees(), "{seed}, {length}");
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
fn one_of_two_is_missed_though_nobody_else_could_answer() {
    let mut world = World::new(2);
    world.run(20 * SECOND);
    world.dead[1] = true;
    let died = world.now;
    world.run(20 * SECOND);
    let told: Vec<Micros> = world
        .told
        .iter()
        .filter(|t| !t.3)
        .map(|t| t.0.since(died))
        .collect();
    let most = Rules::default().suspicion * (HELD_BACK + 2) + 4 * Rules::default().probe;
    assert!(told.len() == 1 && told[0] <= most, "{told:?}");
}

//! When to call discovery. All brokers of a fleet share one discovery, which handles calls one after another and fails
//! those that wait too long; only a watch that goes on costs it nothing. First calls that come together fail together,
//! and so do their repeats: each broker spreads its own over a time that grows with the fleet and that it corrects by
//! what it sees. Nothing is agreed with the others.
//!
//! Where lists are pushed, an agent of the broker's own machine holds them: calls to it cost nobody anything, and while
//! it has nothing to tell since discovery is down, it is silent. There the watch is kept up by short calls, and what
//! fails is repeated soon.

use crate::interface::{Micros, Time};
use crate::stats::Dice;
use std::fmt;

/// What a call is taken to keep discovery busy for, until failures tell otherwise (microseconds). Measured with 100
/// brokers: 16 calls a second.
const CALL: Micros = 60_000;
/// The same at the least, however many calls are answered.
const CALL_LEAST: Micros = 15_000;
/// A call that could not be begun here is tried again after this long, up to twice.
const UNMADE: Micros = 100_000;
/// A call to the agent of the own machine that failed is repeated after this long: half of the 200 ms within which a
/// watch goes on.
const AGENT: Micros = 100_000;
/// What a watch that has fallen silent misses counts as told this long after that, or the second after the wait of its
/// call is over, if that is later (microseconds). So a wait beyond the difference buys nothing.
const SILENCE_TOLD: Micros = 6_000_000;
const WAIT_TOLD: Micros = 2_000_000;
/// How long a watch waits for news, and how long its answer may take beside that (microseconds). A silent one is noticed
/// when both are over, opened anew within [`REOPEN`], and answered within the first patience: all of it before what it
/// missed counts as told, wherever in its wait it fell silent. Measured: 300 renewed watches are answered within
/// 0.1 s after their wait, a call that begins one waits in discovery's queue first.
const SHARED: Watch = Watch { wait: 2_000_000, patience: 1_500_000, renewed: 500_000 };
const REOPEN: Micros = 1_000_000;
const _: () = assert!(SHARED.wait + WAIT_TOLD <= SILENCE_TOLD);
const _: () = assert!(SHARED.wait + SHARED.patience + REOPEN + SHARED.patience <= SILENCE_TOLD);
/// The same at the agent of the own machine, which answers at once and whose news is held against this broker
/// from when the agent has it: one that fell silent is noticed soon, and asked anew after [`AGENT`].
const OWN: Watch = Watch { wait: 1_000_000, patience: 500_000, renewed: 500_000 };
const _: () = assert!(OWN.wait + OWN.patience + AGENT + OWN.patience <= SILENCE_TOLD);
/// The calls of a fleet that fit into this are not spread.
const GAP: Micros = 200_000;
/// A call that failed makes the spread so many times as long, one that was answered so much of itself.
const GROW: f64 = 2.0;
const SHRINK: f64 = 0.9;
/// Share of the time after which a broker that does not ask counts as told: longest wait before the first call.
const START_MOST: f64 = 0.6;
/// Longest spread after failures, in such times: after a failed call that time is four times as long.
const FAILED_MOST: f64 = 2.0;

/// That time where none is set (microseconds): a discovery that was down for long is asked again all the same.
const EVERY: Micros = 10_000_000;

/// The times of one call (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// For so long it waits for news, where a list is held.
    pub wait: Micros,
    /// So much longer its answer may take where the call begins a watch.
    pub patience: Micros,
    /// The same where it goes on with one that was answered just before.
    pub renewed: Micros,
}

/// Why a call is made then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// The calls of a fleet as small as this do not get in each other's way.
    Few,
    /// No list is known: nothing can be served before it.
    NothingKnown,
    /// The fleet may have started together.
    Start,
    /// The watch goes on if the next call comes within 200 ms.
    Answered,
    /// Discovery has more calls than it can handle, or is down.
    Failed,
    /// The call could not be begun here, and discovery has no part in that.
    Unmade,
    /// Nothing came, not even a refusal: the way is cut or the watch is broken. Discovery is not too busy.
    Silent,
    /// The agent of the own machine holds the list, and calls cost it nothing.
    Agent,
}

/// When the next call may be made, and why then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Not before this.
    pub at: Time,
    /// The reason.
    pub why: Why,
    /// The time over which calls are spread by now, microseconds.
    pub spread: Micros,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}, calls spread over {} ms", self.why, self.spread / 1_000)
    }
}

/// The pace of one broker's calls.
#[derive(Clone, Debug)]
pub struct Pace {
    dice: Dice,
    /// How many brokers share discovery.
    instances: u64,
    /// A broker that has not asked for so long counts as told; 0: no such time is set.
    ask_every: Micros,
    spread: Micros,
    /// Discovery is an agent of this machine, which nobody else calls.
    agent: bool,
}

impl Pace {
    /// The pace of one of `instances` brokers; `ask_every` microseconds after its last call it counts as told.
    #[must_use]
    pub fn new(seed: u64, instances: u32, ask_every: Micros) -> Pace {
        let instances = u64::from(instances.max(1));
        // The seed of the module must not make the same draws here.
        let dice = Dice(fastrand::Rng::with_seed(seed ^ 0x5bd1_e995_9e37_79b9));
        let mut pace = Pace { dice, instances, ask_every, spread: instances * CALL, agent: false };
        pace.spread = pace.spread.min(pace.most(START_MOST));
        pace
    }

    /// The pace of a broker whose lists are pushed to an agent of its own machine.
    #[must_use]
    pub fn at_agent(seed: u64) -> Pace {
        Pace { agent: true, spread: 0, ..Pace::new(seed, 1, 0) }
    }

    /// Whether the watch is kept up without being asked for.
    #[must_use]
    pub fn goes_on(&self) -> bool {
        self.agent
    }

    /// The times of a call.
    #[must_use]
    pub fn watch(&self) -> Watch {
        if self.agent {
            OWN
        } else {
            SHARED
        }
    }

    fn most(&self, share: f64) -> Micros {
        let every = if self.ask_every == 0 { EVERY } else { self.ask_every };
        (every as f64 * share) as Micros
    }

    /// Whether the calls of the whole fleet fit into the gap: the module's own waits after failures are enough then.
    fn is_small(&self) -> bool {
        self.instances * CALL < GAP
    }

    fn verdict(&mut self, from: Time, within: Micros, why: Why) -> Verdict {
        if self.agent {
            let pause = if why == Why::Failed { AGENT } else { 0 };
            return Verdict { at: from.plus(pause), why: Why::Agent, spread: 0 };
        }
        if self.is_small() {
            return Verdict { at: from, why: Why::Few, spread: self.spread };
        }
        Verdict { at: from.plus(self.dice.0.u64(0..=within)), why, spread: self.spread }
    }

    /// The first call after a start, or to another address; `known`: some list is held.
    pub fn on_start(&mut self, now: Time, known: bool) -> Verdict {
        if !known {
            return Verdict { at: now, why: Why::NothingKnown, spread: self.spread };
        }
        self.verdict(now, self.spread.min(self.most(START_MOST)), Why::Start)
    }

    /// A call was answered: the next one goes at once, which makes the watch go on. Measured: discovery takes the
    /// renewals of 100 watches together, while it fails new calls that come faster than 16 a second.
    pub fn on_answer(&mut self, now: Time) -> Verdict {
        if self.agent {
            return self.verdict(now, 0, Why::Answered);
        }
        let least = (self.instances * CALL_LEAST).min(self.spread);
        self.spread = ((self.spread as f64 * SHRINK) as Micros).max(least);
        Verdict { at: now, why: Why::Answered, spread: self.spread }
    }

    /// A call failed: it waited too long, or discovery is down. Guards discovery against repeats that wait in vain
    /// behind each other.
    pub fn on_failure(&mut self, now: Time) -> Verdict {
        if self.agent {
            return self.verdict(now, 0, Why::Failed);
        }
        let longer = (self.spread as f64 * GROW) as Micros;
        self.spread = longer.min(self.most(FAILED_MOST)).max(self.spread);
        self.verdict(now, self.spread, Why::Failed)
    }

    /// A watch has fallen silent, or no connection came up: it is opened anew, soon. Guards the rule on drains: what it
    /// missed counts as told whether or not it arrived. Discovery is not called less for it, since one that is too busy
    /// says so; the calls of watches that fell silent together are spread, and each broker has one out at most.
    pub fn on_silence(&mut self, now: Time) -> Verdict {
        self.verdict(now, REOPEN, if self.agent { Why::Failed } else { Why::Silent })
    }

    /// A call could not be begun for a lack of this process's own. Guards the rule on drains: discovery is not too busy,
    /// and to wait as if it were would leave this broker with an old list.
    pub fn on_unmade(&mut self, now: Time) -> Verdict {
        let at = now.plus(UNMADE + self.dice.0.u64(0..=UNMADE));
        Verdict { at, why: Why::Unmade, spread: self.spread }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{BinaryHeap, VecDeque};

    const SECOND: Micros = 1_000_000;

    /// A discovery that works off one call after another and fails those that have waited for 2 s, in whose queue the
    /// failed ones stay; a watch that is renewed within 200 ms goes on. News comes every second from the third to the tenth. Tells the calls made, the failed, and
    /// how old at the worst and in the mean the list of a broker was from the fifth second on (seconds).
    fn day(instances: u32, serve: Micros, paced: bool) -> (usize, usize, f64, f64) {
        let mut paces: Vec<Pace> =
            (0..instances).map(|i| Pace::new(u64::from(i), instances, EVERY)).collect();
        // Calls to come, the latest last; calls that wait; watches; when each broker was last told all.
        let mut calls: BinaryHeap<std::cmp::Reverse<(Time, usize)>> = BinaryHeap::new();
        let (mut queue, mut watches): (VecDeque<(Time, usize)>, Vec<usize>) = (VecDeque::new(), Vec::new());
        let mut told = vec![Time(0); instances as usize];
        for (i, pace) in paces.iter_mut().enumerate() {
            let at = if paced { pace.on_start(Time(0), true).at } else { Time(0) };
            calls.push(std::cmp::Reverse((at, i)));
        }
        let (mut made, mut failed, mut worst, mut sum, mut looks) = (0, 0, 0, 0, 0);
        let mut free = Time(0);
        for now in (0..12 * SECOND).step_by(5_000).map(Time) {
            while calls.peek().is_some_and(|c| c.0 .0 <= now) {
                let Some(std::cmp::Reverse((_, i))) = calls.pop() else { break };
                made += 1;
                queue.push_back((now, i));
            }
            let old: Vec<usize> =
                queue.iter().filter(|(at, _)| now.since(*at) == 2 * SECOND).map(|q| q.1).collect();
            for i in old {
                failed += 1;
                let at = if paced { paces[i].on_failure(now).at } else { now.plus(300_000) };
                calls.push(std::cmp::Reverse((at, i)));
            }
            while free <= now {
                let Some((at, i)) = queue.pop_front() else { break };
                free = free.max(now).plus(serve);
                if now.since(at) < 2 * SECOND {
                    watches.push(i);
                }
            }
            let newest = Time(now.0 / SECOND * SECOND).min(Time(10 * SECOND));
            if newest >= Time(3 * SECOND) {
                for &i in &watches {
                    told[i] = now;
                    assert!(paces[i].on_answer(now).at.since(now) < GAP, "the watch goes on");
                }
            }
            if now >= Time(5 * SECOND) && now.0 % SECOND == 0 {
                for at in &told {
                    worst = worst.max(now.since(*at));
                    (sum, looks) = (sum + now.since(*at), looks + 1);
                }
            }
        }
        (made, failed, worst as f64 / 1e6, sum as f64 / 1e6 / f64::from(looks))
    }

    #[test]
    fn a_hundred_brokers_get_their_news_from_a_discovery_that_they_could_swamp() {
        let (_, failed, _, mean) = day(100, 60_000, false);
        assert!(failed > 300 && mean > 5.0, "at once they fail together, {failed} times, {mean:.1} s behind");
        let (made, failed, worst, mean) = day(100, 60_000, true);
        assert!(made < 120 && failed == 0, "{failed} of {made} failed");
        assert!(mean < 0.5, "{mean:.1} s behind in the mean, {worst:.1} s at the worst");
    }

    #[test]
    fn a_slower_discovery_is_called_less() {
        let (swamped, fails, ..) = day(100, 120_000, false);
        let (made, failed, ..) = day(100, 120_000, true);
        assert!(made * 3 < swamped && failed * 3 < fails, "{failed} of {made} failed, {fails} of {swamped}");
    }

    #[test]
    fn three_brokers_ask_at_once_and_go_on_watching() {
        let mut pace = Pace::new(1, 3, EVERY);
        for now in [Time(0), Time(SECOND)] {
            assert_eq!((pace.on_start(now, true).at, pace.on_answer(now).at), (now, now));
        }
        assert_eq!(pace.on_failure(Time(5)).why, Why::Few);
    }

    #[test]
    fn the_agent_of_the_own_machine_is_called_at_once_and_again_within_the_gap_however_many_brokers_there_are(
    ) {
        let mut pace = Pace::at_agent(1);
        assert!(pace.goes_on() && !Pace::new(1, 3, EVERY).goes_on());
        for i in 0..200 {
            let now = Time(i * SECOND);
            let asked = [pace.on_start(now, false), pace.on_start(now, true), pace.on_answer(now)];
            assert!(asked.iter().all(|v| v.at == now), "{asked:?}");
            let failed = pace.on_failure(now);
            assert!(failed.at > now && failed.at.since(now) < GAP, "{failed}");
            assert!(pace.on_unmade(now).at.since(now) <= GAP);
        }
        // One that is silent is asked anew in time.
        let watch = pace.watch();
        assert!(watch.wait + watch.patience + GAP < 2 * SECOND, "{watch:?}");
        assert!(pace.on_silence(Time(0)).at.since(Time(0)) <= GAP);
    }

    #[test]
    fn a_silent_watch_is_opened_anew_before_what_it_missed_counts_as_told_however_often_and_however_many() {
        for instances in [3, 4, 30, 300, 5_000] {
            let mut paces: Vec<Pace> = (0..100).map(|i| Pace::new(i, instances, EVERY)).collect();
            let watch = paces[0].watch();
            let mut at = Vec::new();
            for pace in &mut paces {
                // Discovery was too busy before: that says nothing of a silence.
                (0..5).for_each(|i| _ = pace.on_failure(Time(i * SECOND)));
                let spread = pace.spread;
                for begun in (0..50).map(|i| Time(i * SECOND)) {
                    let noticed = begun.plus(watch.wait + watch.patience);
                    let verdict = pace.on_silence(noticed);
                    let answered = verdict.at.plus(watch.patience);
                    assert!(answered.since(begun) <= SILENCE_TOLD, "{verdict}");
                    at.push(verdict.at.since(noticed));
                }
                assert_eq!(pace.spread, spread, "it is no failure");
            }
            at.sort_unstable();
            let half = at.iter().filter(|a| **a < REOPEN / 2).count();
            let spread = instances == 3 || (at.len() / 3..at.len() * 2 / 3).contains(&half);
            assert!(spread, "{instances}: those that fell silent together come together");
        }
        assert_eq!(Pace::new(1, 300, EVERY).on_silence(Time(0)).why, Why::Silent);
    }

    #[test]
    fn nobody_who_was_answered_is_silent_for_as_long_as_counts_as_told() {
        for (instances, every) in [(4, EVERY), (30, EVERY), (100, EVERY), (5_000, EVERY), (100, 0)] {
            let mut pace = Pace::new(3, instances, every);
            for i in 0..200 {
                let now = Time(i * SECOND);
                let failed = pace.on_failure(now);
                assert!(failed.at.since(now) <= 2 * EVERY, "{failed}");
                let (start, next) = (pace.on_start(now, true), pace.on_answer(now));
                assert!(start.at.since(now) <= EVERY * 6 / 10 && next.at == now, "{start}, {next}");
            }
        }
        let verdict = Pace::new(1, 100, 0).on_start(Time(0), false);
        assert_eq!((verdict.at, verdict.why), (Time(0), Why::NothingKnown));
        assert_eq!(verdict.to_string(), "NothingKnown, calls spread over 6000 ms");
    }
}

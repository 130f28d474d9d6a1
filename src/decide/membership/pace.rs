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
mod tests;

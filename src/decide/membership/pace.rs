//! When to call discovery. All brokers of a fleet share one discovery, which handles calls one
//! after another and fails those that wait too long; only a watch that goes on costs it nothing.
//! First calls that come together fail together, and so do their repeats: each broker spreads its
//! own over a time that grows with the fleet and that it corrects by what it sees. Nothing is
//! agreed with the others.
//!
//! Where lists are pushed, an agent of the broker's own machine holds them: calls to it cost nobody
//! anything, and while it has nothing to tell since discovery is down, it is silent. There the
//! watch is kept up by short calls, and what fails is repeated soon.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;
use std::fmt;

/// What a call is taken to keep discovery busy for, until failures tell otherwise (microseconds).
/// Measured with 100 brokers: 16 calls a second.
const CALL: Micros = 60_000;
/// The same at the least, however many calls are answered.
const CALL_LEAST: Micros = 15_000;
/// A call that could not be begun here is tried again after this long, up to twice.
const UNMADE: Micros = 100_000;
/// A call to the agent of the own machine that failed is repeated after this long: half of the 200
/// ms within which a watch goes on.
const AGENT: Micros = 100_000;
// ---- When a change counts as told, and the deadlines that follow
// ---------------------------------------
/// What a watch that has fallen silent misses counts as told this long after that, or the second
/// after the wait of its call is over, if that is later (microseconds). So a wait beyond the
/// difference buys nothing.
const SILENCE_TOLD: Micros = 6_000_000;
const WAIT_TOLD: Micros = 2_000_000;
/// After a failed, refused or given-up call a change counts as told this long after discovery had
/// it and could be reached.
const FAILED_TOLD: Micros = 6_000_000;
/// After SIGHUP all that the new discovery has to tell counts as told then.
const MOVED_TOLD: Micros = 4_000_000;
/// What is left of each of these times at the least: for a busy processor, the loop's turn and the
/// way there and back.
const HEADROOM: Micros = 250_000;
/// How long a watch waits for news, and how long its answer may take beside that (microseconds). A
/// silent one is noticed when both are over, opened anew within [`REOPEN`], and answered within the
/// first call's time: all of it before what it missed counts as told, wherever in its wait it fell
/// silent. Measured: 300 renewed watches are answered within
/// 0.1 s after their wait, a call that begins one waits in discovery's queue first; so that one
/// asks for little more.
const SHARED: Watch = Watch {
    first: 100_000,
    wait: 2_000_000,
    patience: 1_400_000,
    renewed: 500_000,
};
/// The next call comes so soon at the latest, however long the failed one had taken.
const REOPEN: Micros = 600_000;
/// From the beginning of a call that fails to the next one, at the most: whatever of it the failure
/// has not taken may be waited. A change may come just after a call has begun that will fail, the
/// next one may fail as well, and the one after that is answered within its patience.
const CYCLE: Micros = 2_100_000;
const _: () = assert!(SHARED.wait + WAIT_TOLD <= SILENCE_TOLD);
const _: () =
    assert!(SHARED.wait + SHARED.renewed + REOPEN + SHARED.begins() + HEADROOM <= SILENCE_TOLD);
const _: () = assert!(2 * CYCLE + SHARED.begins() + HEADROOM <= FAILED_TOLD);
const _: () = assert!(SHARED.begins() + REOPEN <= CYCLE);
/// The call to another address comes so soon at the latest.
const MOVE_MOST: Micros = 2_000_000;
const _: () = assert!(MOVE_MOST + SHARED.begins() + HEADROOM <= MOVED_TOLD);
/// The same at the agent of the own machine, which answers at once and whose news is held against
/// this broker from when the agent has it: one that fell silent is noticed soon, and asked anew
/// after [`AGENT`].
const OWN: Watch = Watch {
    first: 100_000,
    wait: 1_000_000,
    patience: 400_000,
    renewed: 500_000,
};
const _: () = assert!(OWN.wait + OWN.renewed + AGENT + OWN.begins() + HEADROOM <= SILENCE_TOLD);
const _: () = assert!(2 * (OWN.begins() + AGENT) + OWN.begins() + HEADROOM <= MOVED_TOLD);

/// The calls of a fleet that fit into this are not spread.
const GAP: Micros = 200_000;
/// A call that failed makes the spread so many times as long, one that was answered so much of
/// itself.
const GROW: f64 = 2.0;
const SHRINK: f64 = 0.9;
/// Share of the time after which a broker that does not ask counts as told: longest wait before the
/// first call.
const START_MOST: f64 = 0.6;
/// That time where none is set (microseconds).
const EVERY: Micros = 10_000_000;

/// The times of one call (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    /// For so long a call that begins a watch waits for news.
    pub first: Micros,
    /// For so long one that goes on with a watch does.
    pub wait: Micros,
    /// So much longer the answer may take where the call begins a watch.
    pub patience: Micros,
    /// The same where it goes on with one.
    pub renewed: Micros,
}

impl Watch {
    /// How long a call that begins a watch is out at the most.
    #[must_use]
    pub const fn begins(&self) -> Micros {
        self.first + self.patience
    }

    /// How long a call waits for news, and how much longer its answer may take; `renews`: it goes
    /// on with a watch; `known`: a list is held, without which there is nothing to wait for.
    #[must_use]
    pub fn times(&self, renews: bool, known: bool) -> (Micros, Micros) {
        match (renews, known) {
            (true, true) => (self.wait, self.renewed),
            (false, true) => (self.first, self.patience),
            (_, false) => (0, self.first + self.patience),
        }
    }
}

/// Why a call is made then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first calls of a fleet as small as this do not get in each other's way.
    Few,
    /// No list is known: nothing can be served before it.
    NothingKnown,
    /// The fleet may have started together.
    Start,
    /// The watch goes on if the next call comes within 200 ms.
    Answered,
    /// Discovery has more calls than it can handle, is down, or is cut off.
    Failed,
    /// Another address is to be asked from now on.
    Moved,
    /// The call could not be begun here, and discovery has no part in that.
    Unmade,
    /// Nothing came, not even a refusal: the way is cut or the watch is broken. Discovery is not
    /// called less for it.
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
    pub why: Reason,
    /// The time over which calls after failures are spread by now, microseconds.
    pub spread: Micros,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?}, calls spread over {} ms",
            self.why,
            self.spread / 1_000
        )
    }
}

/// The pace of one broker's calls.
#[derive(Clone, Debug)]
pub struct Pace {
    rng: SeededRng,
    /// How many brokers share discovery.
    instances: u64,
    /// A broker that has not asked for so long counts as told; 0: no such time is set.
    ask_every: Micros,
    spread: Micros,
    /// Discovery is an agent of this machine, which nobody else calls.
    agent: bool,
}

impl Pace {
    /// The pace of one of `instances` brokers; `ask_every` microseconds after its last call it
    /// counts as told.
    #[must_use]
    pub fn new(seed: u64, instances: u32, ask_every: Micros) -> Pace {
        let instances = u64::from(instances.max(1));
        // The seed of the module must not make the same draws here.
        let rng = SeededRng(fastrand::Rng::with_seed(seed ^ 0x5bd1_e995_9e37_79b9));
        let spread = (instances * CALL).min(CYCLE);
        Pace {
            rng,
            instances,
            ask_every,
            spread,
            agent: false,
        }
    }

    /// The pace of a broker whose lists are pushed to an agent of its own machine.
    #[must_use]
    pub fn at_agent(seed: u64) -> Pace {
        Pace {
            agent: true,
            spread: 0,
            ..Pace::new(seed, 1, 0)
        }
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
        let every = if self.ask_every == 0 {
            EVERY
        } else {
            self.ask_every
        };
        (every as f64 * share) as Micros
    }

    /// Whether the first calls of the whole fleet fit into the gap.
    fn is_small(&self) -> bool {
        self.instances * CALL < GAP
    }

    /// A random time up to `within` from then on: brokers that were cut off together do not come
    /// together.
    fn jitter(&mut self, from: Time, within: Micros, why: Reason) -> Verdict {
        Verdict {
            at: from.plus(self.rng.0.u64(0..=within)),
            why,
            spread: self.spread,
        }
    }

    fn at_once(&self, now: Time, why: Reason) -> Verdict {
        Verdict {
            at: now,
            why,
            spread: self.spread,
        }
    }

    /// The first call after a start; `known`: some list is held.
    pub fn on_start(&mut self, now: Time, known: bool) -> Verdict {
        match () {
            () if self.agent => self.at_once(now, Reason::Agent),
            () if !known => self.at_once(now, Reason::NothingKnown),
            () if self.is_small() => self.at_once(now, Reason::Few),
            () => self.jitter(now, self.fleet().min(self.most(START_MOST)), Reason::Start),
        }
    }

    /// The first call to another address, which the operators name to all brokers at once. The list
    /// that is held is good until then.
    pub fn on_move(&mut self, now: Time) -> Verdict {
        match () {
            () if self.agent => self.at_once(now, Reason::Agent),
            () if self.is_small() => self.at_once(now, Reason::Few),
            () => self.jitter(now, self.fleet().min(MOVE_MOST), Reason::Moved),
        }
    }

    /// The time in which discovery is taken to handle a call of each broker.
    fn fleet(&self) -> Micros {
        self.instances * CALL
    }

    /// A call was answered: the next one goes at once, which makes the watch go on. Measured:
    /// discovery takes the renewals of 100 watches together, while it fails new calls that come
    /// faster than 16 a second.
    pub fn on_answer(&mut self, now: Time) -> Verdict {
        if self.agent {
            return self.at_once(now, Reason::Agent);
        }
        let least = (self.instances * CALL_LEAST).min(self.spread);
        self.spread = ((self.spread as f64 * SHRINK) as Micros).max(least);
        self.at_once(now, Reason::Answered)
    }

    /// A call that began at `began` was refused, answered with a failure or broken off: discovery
    /// has more calls than it can handle, or is down. Exponential backoff with full jitter guards
    /// it against repeats that wait in vain behind each other; the cap guards the rule on drains,
    /// and goes first.
    pub fn on_failure(&mut self, now: Time, began: Time) -> Verdict {
        if self.agent {
            return Verdict {
                at: now.plus(AGENT),
                why: Reason::Agent,
                spread: 0,
            };
        }
        let grown = (self.spread as f64 * GROW) as Micros;
        self.spread = grown.max(self.fleet()).min(CYCLE);
        self.jitter(now, self.spread.min(Self::left(now, began)), Reason::Failed)
    }

    /// What may be waited after a call that began then.
    fn left(now: Time, began: Time) -> Micros {
        CYCLE.saturating_sub(now.since(began)).max(REOPEN)
    }

    /// A watch has fallen silent, or no connection came up: it is opened anew, soon. Guards the
    /// rule on drains: what it missed counts as told whether or not it arrived. Discovery is not
    /// called less for it, since one that is too busy says so; the calls of watches that fell
    /// silent together are spread, and each broker has one out at most.
    pub fn on_silence(&mut self, now: Time, began: Time) -> Verdict {
        match self.agent {
            true => Verdict {
                at: now.plus(AGENT),
                why: Reason::Agent,
                spread: 0,
            },
            false => self.jitter(
                now,
                self.fleet().min(Self::left(now, began)),
                Reason::Silent,
            ),
        }
    }

    /// A call could not be begun for a lack of this process's own. Guards the rule on drains:
    /// discovery is not too busy, and to wait as if it were would leave this broker with an old
    /// list.
    pub fn on_unmade(&mut self, now: Time) -> Verdict {
        let at = now.plus(UNMADE + self.rng.0.u64(0..=UNMADE));
        Verdict {
            at,
            why: Reason::Unmade,
            spread: self.spread,
        }
    }
}

#[cfg(test)]
mod tests;

//! When to call discovery. All brokers of a fleet share one discovery, which handles calls one after
//! another and fails those that wait too long; only a watch that is renewed costs it nothing. First
//! calls that arrive together fail together, and so do their retries: each broker spreads its own
//! over a time that grows with the fleet and that it adjusts to what it observes. The brokers do not
//! coordinate.
//!
//! Where lists are pushed, an agent of the broker's own machine has them. Calls to it cost nobody
//! anything, and while it has nothing to report since discovery is down, it is silent. There the
//! watch is renewed by short calls, and a failed one is retried soon.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;
use std::fmt;

/// How long a call is assumed to keep discovery busy, until failures show otherwise (microseconds).
/// Measured with 100 brokers: 16 calls a second.
const CALL_COST: Micros = 60_000;
/// The least that it is assumed to, however many calls are answered (microseconds).
const MIN_CALL_COST: Micros = 15_000;
/// A call that could not be sent is retried after this long, up to twice (microseconds).
const UNSENT_RETRY_DELAY: Micros = 100_000;
/// A call to the agent of the own machine that failed is retried after this long (microseconds):
/// half of the 200 ms within which a watch can be renewed.
const AGENT_RETRY_DELAY: Micros = 100_000;

// ---- The rules' deadlines, by which a broker has to know of a change, and what follows from them.

/// A broker has to know what a silent watch misses this long after that, or [`WAIT_DEADLINE`] after
/// the wait of its call is over, if that is later (microseconds). So a wait longer than the
/// difference gains nothing.
const STALLED_WATCH_DEADLINE: Micros = 6_000_000;
const WAIT_DEADLINE: Micros = 2_000_000;
/// After a failed, rejected or abandoned call a broker has to know of a change this long after
/// discovery had it and was reachable (microseconds).
const FAILURE_DEADLINE: Micros = 6_000_000;
/// After SIGHUP a broker has to know all of the new discovery by then (microseconds).
const MOVE_DEADLINE: Micros = 4_000_000;
/// The least that remains of each of these times (microseconds): for a busy processor, the loop's
/// turn and the network.
const HEADROOM: Micros = 250_000;
/// The times of a watch of the shared discovery. A silent one is noticed when its wait and the
/// margin of its response are over, opened again within [`REOPEN_DELAY`], and answered within the
/// time of a first call: all that before the broker has to know what it missed, wherever in its wait
/// it fell silent. Measured: 300 renewed watches are answered within 0.1 s after their wait; a first
/// call waits in discovery's queue before, so that it asks for a short wait.
const SHARED_WATCH: WatchTimes = WatchTimes {
    first_wait: 100_000,
    renewal_wait: 2_000_000,
    first_margin: 1_400_000,
    renewal_margin: 500_000,
};
/// The next call is made this soon at the latest, however long the failed one has taken
/// (microseconds).
const REOPEN_DELAY: Micros = 600_000;
/// The longest time from the start of a call that fails to the next one (microseconds): what the
/// failure has not taken of it may be waited. A change may come just after the start of a call that
/// fails; the next one may fail too; the one after that is answered in time.
const MAX_CALL_CYCLE: Micros = 2_100_000;
const _: () = assert!(SHARED_WATCH.renewal_wait + WAIT_DEADLINE <= STALLED_WATCH_DEADLINE);
const _: () = assert!(
    SHARED_WATCH.renewal_timeout() + REOPEN_DELAY + SHARED_WATCH.first_timeout() + HEADROOM
        <= STALLED_WATCH_DEADLINE
);
const _: () =
    assert!(2 * MAX_CALL_CYCLE + SHARED_WATCH.first_timeout() + HEADROOM <= FAILURE_DEADLINE);
const _: () = assert!(SHARED_WATCH.first_timeout() + REOPEN_DELAY <= MAX_CALL_CYCLE);
/// The call to another address is made this soon at the latest (microseconds).
const MAX_MOVE_DELAY: Micros = 2_000_000;
const _: () = assert!(MAX_MOVE_DELAY + SHARED_WATCH.first_timeout() + HEADROOM <= MOVE_DEADLINE);
/// The times of a watch of the own machine's agent, which answers at once, and whose lists the
/// broker has to know from when the agent has them: one that fell silent is noticed soon, and called
/// again after [`AGENT_RETRY_DELAY`].
const AGENT_WATCH: WatchTimes = WatchTimes {
    first_wait: 100_000,
    renewal_wait: 1_000_000,
    first_margin: 400_000,
    renewal_margin: 500_000,
};
const _: () = assert!(
    AGENT_WATCH.renewal_timeout() + AGENT_RETRY_DELAY + AGENT_WATCH.first_timeout() + HEADROOM
        <= STALLED_WATCH_DEADLINE
);
const _: () = assert!(
    2 * (AGENT_WATCH.first_timeout() + AGENT_RETRY_DELAY) + AGENT_WATCH.first_timeout() + HEADROOM
        <= MOVE_DEADLINE
);

/// The calls of a fleet that fit into this are not spread (microseconds): a watch can be renewed
/// within it.
const RENEWAL_GAP: Micros = 200_000;
/// A failed call multiplies the spread by the first, an answered one by the second.
const SPREAD_GROWTH: f64 = 2.0;
const SPREAD_DECAY: f64 = 0.9;
/// The longest wait before the first call, as a share of the time in which a broker has to call.
const MAX_START_SHARE: f64 = 0.6;
/// That time where none is set (microseconds).
const DEFAULT_CALL_INTERVAL: Micros = 10_000_000;

/// The times of the calls of a watch (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// How long the first call of a watch waits for a change.
    pub first_wait: Micros,
    /// How long a call that renews a watch does.
    pub renewal_wait: Micros,
    /// How much longer than its wait the first call may take.
    pub first_margin: Micros,
    /// How much longer than its wait a renewal may take.
    pub renewal_margin: Micros,
}

impl WatchTimes {
    /// The longest that the first call of a watch may take.
    #[must_use]
    pub const fn first_timeout(&self) -> Micros {
        self.first_wait + self.first_margin
    }

    /// The longest that a call that renews a watch may take.
    #[must_use]
    pub const fn renewal_timeout(&self) -> Micros {
        self.renewal_wait + self.renewal_margin
    }

    /// How long a call waits for a change, and how much longer it may take; `renews`: it renews a
    /// watch; `has_list`: a list is known, without which there is nothing to wait for.
    #[must_use]
    pub fn wait_and_margin(&self, renews: bool, has_list: bool) -> (Micros, Micros) {
        match (renews, has_list) {
            (true, true) => (self.renewal_wait, self.renewal_margin),
            (false, true) => (self.first_wait, self.first_margin),
            (_, false) => (0, self.first_timeout()),
        }
    }
}

/// Why a call is made then. The names are those of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The first calls of a fleet as small as this do not get in each other's way.
    Few,
    /// No list is known: nothing can be served before it.
    NothingKnown,
    /// The fleet may have started together.
    Start,
    /// The watch is renewed if the next call arrives within 200 ms.
    Answered,
    /// Discovery has more calls than it can handle, is down, or is partitioned off.
    Failed,
    /// Another address is to be called from now on.
    Moved,
    /// The call could not be sent, and discovery has no part in that.
    Unmade,
    /// Nothing arrived, not even a rejection: the network or the watch is broken. Discovery is not
    /// called less for it.
    Silent,
    /// The agent of the own machine has the list, and calls cost it nothing.
    Agent,
}

/// When the next call may be made, and why then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// Not before this.
    pub at: Time,
    /// The reason.
    pub reason: Reason,
    /// The time over which calls after failures are spread by now (microseconds).
    pub spread: Micros,
}

impl fmt::Display for NextCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spread_ms = self.spread / 1_000;
        write!(f, "{:?}, calls spread over {spread_ms} ms", self.reason)
    }
}

/// Paces one broker's calls.
#[derive(Clone, Debug)]
pub struct CallPacer {
    rng: SeededRng,
    /// How many brokers share discovery.
    brokers: u64,
    /// The time in which a broker has to call; 0: no such time is set.
    call_interval: Micros,
    spread: Micros,
    /// Discovery is an agent of this machine, which nobody else calls.
    is_agent: bool,
}

impl CallPacer {
    /// Paces the calls of one of `brokers`, each of which has to call again within `call_interval`
    /// microseconds.
    #[must_use]
    pub fn new(seed: u64, brokers: u32, call_interval: Micros) -> CallPacer {
        let brokers = u64::from(brokers.max(1));
        // The module has the same seed, and must not draw the same numbers.
        let rng = SeededRng(fastrand::Rng::with_seed(seed ^ 0x5bd1_e995_9e37_79b9));
        CallPacer {
            rng,
            brokers,
            call_interval,
            spread: (brokers * CALL_COST).min(MAX_CALL_CYCLE),
            is_agent: false,
        }
    }

    /// Paces the calls of a broker whose lists are pushed to an agent of its own machine.
    #[must_use]
    pub fn for_agent(seed: u64) -> CallPacer {
        CallPacer {
            is_agent: true,
            spread: 0,
            ..CallPacer::new(seed, 1, 0)
        }
    }

    /// Whether the watch is renewed without a request of the decision module.
    #[must_use]
    pub fn renews_by_itself(&self) -> bool {
        self.is_agent
    }

    /// The times of a call.
    #[must_use]
    pub fn watch_times(&self) -> WatchTimes {
        match self.is_agent {
            true => AGENT_WATCH,
            false => SHARED_WATCH,
        }
    }

    /// This share of the time in which a broker has to call.
    fn share_of_interval(&self, share: f64) -> Micros {
        let interval = match self.call_interval {
            0 => DEFAULT_CALL_INTERVAL,
            interval => interval,
        };
        (interval as f64 * share) as Micros
    }

    /// The time in which discovery is assumed to handle a call of each broker.
    fn fleet_cost(&self) -> Micros {
        self.brokers * CALL_COST
    }

    /// Whether the first calls of the whole fleet fit into the gap.
    fn is_small_fleet(&self) -> bool {
        self.fleet_cost() < RENEWAL_GAP
    }

    /// A random time up to `within` from then on: brokers that were partitioned off together do not
    /// call together.
    fn jitter(&mut self, from: Time, within: Micros, reason: Reason) -> NextCall {
        NextCall {
            at: from.plus(self.rng.0.u64(0..=within)),
            reason,
            spread: self.spread,
        }
    }

    fn call_now(&self, now: Time, reason: Reason) -> NextCall {
        NextCall {
            at: now,
            reason,
            spread: self.spread,
        }
    }

    fn agent_retry(now: Time) -> NextCall {
        NextCall {
            at: now.plus(AGENT_RETRY_DELAY),
            reason: Reason::Agent,
            spread: 0,
        }
    }

    /// The first call after a start; `has_list`: some list is known.
    pub fn on_start(&mut self, now: Time, has_list: bool) -> NextCall {
        if self.is_agent {
            self.call_now(now, Reason::Agent)
        } else if !has_list {
            self.call_now(now, Reason::NothingKnown)
        } else if self.is_small_fleet() {
            self.call_now(now, Reason::Few)
        } else {
            let longest = self.share_of_interval(MAX_START_SHARE);
            self.jitter(now, self.fleet_cost().min(longest), Reason::Start)
        }
    }

    /// The first call to another address, which the operators name to all brokers at once. The known
    /// list is good until then.
    pub fn on_address_change(&mut self, now: Time) -> NextCall {
        if self.is_agent {
            self.call_now(now, Reason::Agent)
        } else if self.is_small_fleet() {
            self.call_now(now, Reason::Few)
        } else {
            let within = self.fleet_cost().min(MAX_MOVE_DELAY);
            self.jitter(now, within, Reason::Moved)
        }
    }

    /// A call was answered: the next one is made at once, which renews the watch. Measured:
    /// discovery accepts the renewals of 100 watches together, while it fails first calls that come
    /// faster than 16 a second.
    pub fn on_response(&mut self, now: Time) -> NextCall {
        if self.is_agent {
            return self.call_now(now, Reason::Agent);
        }
        let least = (self.brokers * MIN_CALL_COST).min(self.spread);
        self.spread = ((self.spread as f64 * SPREAD_DECAY) as Micros).max(least);
        self.call_now(now, Reason::Answered)
    }

    /// A call that was started at `started_at` was rejected, answered with a failure or aborted:
    /// discovery has more calls than it can handle, or is down. Exponential backoff with full jitter
    /// guards it against retries that wait in vain behind each other; the bound of it guards the
    /// rule on drains, and takes precedence.
    pub fn on_failure(&mut self, now: Time, started_at: Time) -> NextCall {
        if self.is_agent {
            return Self::agent_retry(now);
        }
        let grown = (self.spread as f64 * SPREAD_GROWTH) as Micros;
        self.spread = grown.max(self.fleet_cost()).min(MAX_CALL_CYCLE);
        let within = self.spread.min(Self::remaining_cycle(now, started_at));
        self.jitter(now, within, Reason::Failed)
    }

    /// How long may be waited after a call that was started then.
    fn remaining_cycle(now: Time, started_at: Time) -> Micros {
        MAX_CALL_CYCLE
            .saturating_sub(now.since(started_at))
            .max(REOPEN_DELAY)
    }

    /// A watch has fallen silent, or no connection came up: it is opened again, soon. Guards the
    /// rule on drains: the broker has to know what the watch missed whether or not it arrived.
    /// Discovery is not called less for it, since a busy one says so; the calls of watches that fell
    /// silent together are spread, and each broker has one in flight at most.
    pub fn on_timeout(&mut self, now: Time, started_at: Time) -> NextCall {
        if self.is_agent {
            return Self::agent_retry(now);
        }
        let within = self
            .fleet_cost()
            .min(Self::remaining_cycle(now, started_at));
        self.jitter(now, within, Reason::Silent)
    }

    /// A call could not be sent for lack of this process's own resources. Guards the rule on drains:
    /// discovery is not too busy, and to wait as if it were would leave this broker with an old
    /// list.
    pub fn on_unsent(&mut self, now: Time) -> NextCall {
        let delay = UNSENT_RETRY_DELAY + self.rng.0.u64(0..=UNSENT_RETRY_DELAY);
        NextCall {
            at: now.plus(delay),
            reason: Reason::Unmade,
            spread: self.spread,
        }
    }
}

#[cfg(test)]
mod tests;

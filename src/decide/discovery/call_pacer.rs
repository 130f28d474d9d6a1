//! Decides when to call discovery.
//!
//! All brokers of a fleet share one discovery service. It handles calls sequentially and fails
//! calls that wait too long; only the renewal of a watch costs it nothing. First calls that arrive
//! together fail together, and so do their retries. Therefore each broker randomizes its calls over
//! a time that grows with the fleet and adapts to the observed failures. The brokers do not
//! coordinate.
//!
//! Where lists are pushed, an agent on the broker's own machine has them. Calls to the agent do not
//! load discovery. While discovery is down, the agent has nothing to report and does not respond.
//! Therefore the watch at an agent is renewed by short calls, and a failed call is retried soon.

use crate::interface::{Micros, Time};
use crate::stats::SeededRng;
use std::fmt;

/// Initial estimate of the time for which a call occupies discovery (microseconds): discovery
/// handles 16 calls a second with 100 brokers.
const CALL_COST: Micros = 60_000;
/// Lower bound of that estimate, however many calls succeed (microseconds).
const MIN_CALL_COST: Micros = 15_000;
/// Minimum delay before a call that could not be sent is retried (microseconds). The maximum is
/// twice this.
const UNSENT_RETRY_DELAY: Micros = 100_000;
/// Delay before a failed call to the agent of the own machine is retried (microseconds): half of
/// the 200 ms within which a watch can be renewed.
const AGENT_RETRY_DELAY: Micros = 100_000;

// ---- Deadlines by which a broker has to know of a change, and the times derived from them.

/// A broker has to know of a change that a stalled watch has missed within this time after the
/// change (microseconds), or within [`WAIT_DEADLINE`] after the wait of its call has ended,
/// whichever is later. Therefore a wait longer than the difference has no advantage.
const STALLED_WATCH_DEADLINE: Micros = 6_000_000;
/// See [`STALLED_WATCH_DEADLINE`] (microseconds).
const WAIT_DEADLINE: Micros = 2_000_000;
/// After a failed, rejected or aborted call, a broker has to know of a change within this time
/// after discovery had the change and was reachable (microseconds).
const FAILURE_DEADLINE: Micros = 6_000_000;
/// After SIGHUP, a broker has to know the complete list of the new discovery within this time
/// (microseconds).
const MOVE_DEADLINE: Micros = 4_000_000;
/// Minimum reserve that is left of each of these deadlines (microseconds): for a busy processor, an
/// iteration of the event loop, and the network.
const HEADROOM: Micros = 250_000;
/// Times of a watch at the shared discovery.
///
/// A stalled watch is detected when its wait and the response margin have passed. It is reopened
/// within [`REOPEN_DELAY`] and answered within the timeout of a first call. All of this ends before
/// the deadline, no matter when during its wait the watch stalled. Discovery answers 300 renewed
/// watches within 0.1 s after their wait. A first call additionally waits in discovery's queue, so
/// it requests a short wait.
const SHARED_WATCH: WatchTimes = WatchTimes {
    first_wait: 100_000,
    renewal_wait: 2_000_000,
    first_margin: 1_400_000,
    renewal_margin: 500_000,
};
/// Bound on the delay before the next call if the failed call has used up [`MAX_CALL_CYCLE`]
/// (microseconds).
const REOPEN_DELAY: Micros = 600_000;
/// Maximum time from the start of a failed call to the next call (microseconds). The next call may
/// be delayed by the part that the failed call has not used. If a change occurs just after the
/// start of a call that fails, and the next call fails as well, the call after that is answered in
/// time.
const MAX_CALL_CYCLE: Micros = 2_100_000;
const _: () = assert!(SHARED_WATCH.renewal_wait + WAIT_DEADLINE <= STALLED_WATCH_DEADLINE);
const _: () = assert!(
    SHARED_WATCH.renewal_timeout() + REOPEN_DELAY + SHARED_WATCH.first_timeout() + HEADROOM
        <= STALLED_WATCH_DEADLINE
);
const _: () =
    assert!(2 * MAX_CALL_CYCLE + SHARED_WATCH.first_timeout() + HEADROOM <= FAILURE_DEADLINE);
const _: () = assert!(SHARED_WATCH.first_timeout() + REOPEN_DELAY <= MAX_CALL_CYCLE);
/// Maximum delay before the first call to a new address (microseconds).
const MAX_MOVE_DELAY: Micros = 2_000_000;
const _: () = assert!(MAX_MOVE_DELAY + SHARED_WATCH.first_timeout() + HEADROOM <= MOVE_DEADLINE);
/// Times of a watch at the own machine's agent. The agent responds at once, and the deadlines start
/// when the agent has a list. Therefore a stalled watch is detected soon, and the agent is called
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

/// Time within which a watch can be renewed (microseconds). If the first calls of a whole fleet fit
/// into it, they are not randomized.
const RENEWAL_GAP: Micros = 200_000;
/// Factor by which a failed call increases the spread.
const SPREAD_GROWTH: f64 = 2.0;
/// Factor by which a successful call reduces the spread.
const SPREAD_DECAY: f64 = 0.9;
/// Maximum delay before the first call, as a share of the call interval.
const MAX_START_SHARE: f64 = 0.6;
/// Call interval if none is configured (microseconds).
const DEFAULT_CALL_INTERVAL: Micros = 10_000_000;

/// The wait times of the calls of a watch and the margins of their responses (microseconds).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Time that the first call of a watch waits for a change.
    pub first_wait: Micros,
    /// Time that a call that renews a watch waits for a change.
    pub renewal_wait: Micros,
    /// Time by which the first call may exceed its wait.
    pub first_margin: Micros,
    /// Time by which a renewal may exceed its wait.
    pub renewal_margin: Micros,
}

impl WatchTimes {
    /// Returns the maximum duration of the first call of a watch.
    #[must_use]
    pub const fn first_timeout(&self) -> Micros {
        self.first_wait + self.first_margin
    }

    /// Returns the maximum duration of a call that renews a watch.
    #[must_use]
    pub const fn renewal_timeout(&self) -> Micros {
        self.renewal_wait + self.renewal_margin
    }

    /// Returns how long a call waits for a change, and by how much it may exceed that wait.
    /// `renews` tells whether the call renews a watch, `has_list` whether a list is known. Without
    /// a list the call does not wait.
    #[must_use]
    pub fn wait_and_margin(&self, renews: bool, has_list: bool) -> (Micros, Micros) {
        match (renews, has_list) {
            (true, true) => (self.renewal_wait, self.renewal_margin),
            (false, true) => (self.first_wait, self.first_margin),
            (_, false) => (0, self.first_timeout()),
        }
    }
}

/// The reason for the time of a call. The variant names appear in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The fleet is so small that its first calls do not overload discovery.
    Few,
    /// No list is known, so the broker can't serve requests yet.
    NothingKnown,
    /// The broker has started, possibly together with the whole fleet.
    Start,
    /// The previous call was answered. Its watch is renewed if the next call arrives within 200 ms.
    Answered,
    /// The call failed: discovery is overloaded, down or unreachable.
    Failed,
    /// The address of discovery has changed.
    Moved,
    /// The call could not be sent for a local reason, independent of discovery.
    Unmade,
    /// No response arrived, not even a rejection: the network or the watch has failed. This does
    /// not reduce the rate of calls.
    Silent,
    /// The call goes to the agent of the own machine, which needs no pacing.
    Agent,
}

/// The decision when to make the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// Earliest time of the call.
    pub at: Time,
    /// Reason for this time.
    pub reason: Reason,
    /// Current time over which calls after failures are randomized (microseconds).
    pub spread: Micros,
}

impl fmt::Display for NextCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spread_ms = self.spread / 1_000;
        write!(f, "{:?}, calls spread over {spread_ms} ms", self.reason)
    }
}

/// Paces the calls of one broker to discovery.
#[derive(Clone, Debug)]
pub struct CallPacer {
    rng: SeededRng,
    /// Number of brokers that share discovery.
    brokers: u64,
    /// Time within which a broker has to call again (microseconds); 0 if not configured.
    call_interval: Micros,
    /// Time over which calls after failures are randomized (microseconds).
    spread: Micros,
    /// Whether discovery is an agent on this machine, which only this broker calls.
    is_agent: bool,
}

impl CallPacer {
    /// Creates the pacer of a broker in a fleet of `brokers`. Each broker has to call again within
    /// `call_interval` microseconds; 0 selects the default.
    #[must_use]
    pub fn new(seed: u64, brokers: u32, call_interval: Micros) -> CallPacer {
        let brokers = u64::from(brokers.max(1));
        // The decision module uses the same seed and must not draw the same numbers.
        let rng = SeededRng(fastrand::Rng::with_seed(seed ^ 0x5bd1_e995_9e37_79b9));
        CallPacer {
            rng,
            brokers,
            call_interval,
            spread: (brokers * CALL_COST).min(MAX_CALL_CYCLE),
            is_agent: false,
        }
    }

    /// Creates the pacer of a broker whose lists are pushed to an agent on its own machine.
    #[must_use]
    pub fn for_agent(seed: u64) -> CallPacer {
        CallPacer {
            is_agent: true,
            spread: 0,
            ..CallPacer::new(seed, 1, 0)
        }
    }

    /// Returns whether the watch is renewed without a request from the decision module.
    #[must_use]
    pub fn renews_by_itself(&self) -> bool {
        self.is_agent
    }

    /// Returns the wait times and margins of the calls of a watch.
    #[must_use]
    pub fn watch_times(&self) -> WatchTimes {
        match self.is_agent {
            true => AGENT_WATCH,
            false => SHARED_WATCH,
        }
    }

    /// Returns the given share of the call interval.
    fn share_of_interval(&self, share: f64) -> Micros {
        let interval = match self.call_interval {
            0 => DEFAULT_CALL_INTERVAL,
            interval => interval,
        };
        (interval as f64 * share) as Micros
    }

    /// Returns the estimated time for discovery to handle one call of each broker.
    fn fleet_cost(&self) -> Micros {
        self.brokers * CALL_COST
    }

    /// Returns whether the first calls of the whole fleet fit into [`RENEWAL_GAP`].
    fn is_small_fleet(&self) -> bool {
        self.fleet_cost() < RENEWAL_GAP
    }

    /// Schedules the next call at a random time in the `within` microseconds after `from`, so that
    /// brokers that lost contact at the same time do not call at the same time.
    fn call_within(&mut self, from: Time, within: Micros, reason: Reason) -> NextCall {
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

    fn retry_agent(now: Time) -> NextCall {
        NextCall {
            at: now.plus(AGENT_RETRY_DELAY),
            reason: Reason::Agent,
            spread: 0,
        }
    }

    /// Schedules the first call after a start. `has_list` tells whether a list is known.
    pub fn on_start(&mut self, now: Time, has_list: bool) -> NextCall {
        if self.is_agent {
            self.call_now(now, Reason::Agent)
        } else if !has_list {
            self.call_now(now, Reason::NothingKnown)
        } else if self.is_small_fleet() {
            self.call_now(now, Reason::Few)
        } else {
            let max_delay = self.share_of_interval(MAX_START_SHARE);
            self.call_within(now, self.fleet_cost().min(max_delay), Reason::Start)
        }
    }

    /// Schedules the first call to a new address, which operators set at all brokers at the same
    /// time. The known list remains in use until then.
    pub fn on_address_change(&mut self, now: Time) -> NextCall {
        if self.is_agent {
            self.call_now(now, Reason::Agent)
        } else if self.is_small_fleet() {
            self.call_now(now, Reason::Few)
        } else {
            let within = self.fleet_cost().min(MAX_MOVE_DELAY);
            self.call_within(now, within, Reason::Moved)
        }
    }

    /// Schedules the call after a response: at once, which renews the watch. Discovery accepts the
    /// renewals of 100 watches at the same time, but fails first calls that arrive faster than 16 a
    /// second.
    pub fn on_response(&mut self, now: Time) -> NextCall {
        if self.is_agent {
            return self.call_now(now, Reason::Agent);
        }
        let min_spread = (self.brokers * MIN_CALL_COST).min(self.spread);
        self.spread = ((self.spread as f64 * SPREAD_DECAY) as Micros).max(min_spread);
        self.call_now(now, Reason::Answered)
    }

    /// Schedules the call after one that started at `started_at` and was rejected, aborted or
    /// answered with an error: discovery is overloaded or down. Exponential backoff with full
    /// jitter prevents retries that fail because they wait behind each other. The bound of the
    /// backoff takes precedence, since the broker has to know of drained nodes by the deadline.
    pub fn on_failure(&mut self, now: Time, started_at: Time) -> NextCall {
        if self.is_agent {
            return Self::retry_agent(now);
        }
        let grown = (self.spread as f64 * SPREAD_GROWTH) as Micros;
        self.spread = grown.max(self.fleet_cost()).min(MAX_CALL_CYCLE);
        let within = self.spread.min(Self::remaining_cycle(now, started_at));
        self.call_within(now, within, Reason::Failed)
    }

    /// Returns the maximum delay after a call that started at `started_at` and has ended at `now`.
    fn remaining_cycle(now: Time, started_at: Time) -> Micros {
        MAX_CALL_CYCLE
            .saturating_sub(now.since(started_at))
            .max(REOPEN_DELAY)
    }

    /// Schedules the call after a watch has stalled or a connection could not be opened: soon,
    /// since the broker has to know of drained nodes by the deadline even if the watch missed the
    /// change. The spread does not grow, because an overloaded discovery rejects calls. The calls
    /// of watches that stalled together are randomized, and each broker has at most one call in
    /// flight.
    pub fn on_timeout(&mut self, now: Time, started_at: Time) -> NextCall {
        if self.is_agent {
            return Self::retry_agent(now);
        }
        let within = self
            .fleet_cost()
            .min(Self::remaining_cycle(now, started_at));
        self.call_within(now, within, Reason::Silent)
    }

    /// Schedules the call after one that could not be sent because this process lacks resources.
    /// Discovery is not overloaded, so a longer delay would only leave this broker with an outdated
    /// list past the drain deadline.
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

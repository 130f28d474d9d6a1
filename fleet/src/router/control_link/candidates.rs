//! Which control machine to connect to next.
//!
//! It owns the list of control machines and the failures of each. It promises that every one of them
//! is tried in time, however the others fail, that the backoff of one that fails grows each time, and
//! that routers which start together spread out. Pure: time and randomness are arguments.

use lichenswitch_interface::{Micros, Time};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Backoff after the first failure (microseconds). It is short: at the first start no control machine
/// may be listening yet.
const INITIAL_BACKOFF_US: Micros = 100_000;
/// Upper bound on the backoff (microseconds).
const MAX_BACKOFF_US: Micros = 2_000_000;
/// How long after its backoff a failure still counts (microseconds): a near control machine is worth
/// another try then.
const FAILURE_MEMORY_US: Micros = 10_000_000;

/// The recent failures of a control machine.
#[derive(Clone, Copy, Debug, Default)]
struct FailureRecord {
    consecutive: u32,
    backoff_until: Time,
}

/// The control machines that may be connected to.
pub(crate) struct ControlCandidates {
    machine: IpAddr,
    seeds: Vec<SocketAddr>,
    advertised: Vec<SocketAddr>,
    failures: HashMap<SocketAddr, FailureRecord>,
}

impl ControlCandidates {
    /// The seeds, as long as no others are advertised; `machine` is the address of this router.
    #[must_use]
    pub(crate) fn new(machine: IpAddr, seeds: Vec<SocketAddr>) -> ControlCandidates {
        ControlCandidates {
            machine,
            seeds,
            advertised: Vec::new(),
            failures: HashMap::new(),
        }
    }

    /// Sets the seeds that the settings name.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// A control machine advertises these addresses.
    pub(crate) fn on_advertised(&mut self, advertised: Vec<SocketAddr>) {
        if !advertised.is_empty() && advertised != self.advertised {
            self.advertised = advertised;
        }
    }

    /// A connection to it failed, or was of no use.
    pub(crate) fn on_failed(&mut self, now: Time, address: SocketAddr, random: u64) {
        self.failures.retain(|_, failures| failures.counts_at(now));
        let failures = self.failures.entry(address).or_default();
        let backoff = (INITIAL_BACKOFF_US << failures.consecutive.min(8)).min(MAX_BACKOFF_US);
        failures.consecutive += 1;
        // Between half of it and all of it, so that routers which failed together don't come back
        // together.
        failures.backoff_until = now.plus(backoff / 2 + random % (backoff / 2 + 1));
    }

    /// A connection to it is useful: its failures are forgotten.
    pub(crate) fn on_useful(&mut self, address: SocketAddr) {
        self.failures.remove(&address);
    }

    /// The one to connect to now.
    ///
    /// Of those without a backoff, those with the fewest recent failures (so that a near one which is
    /// up but of no use never keeps a router from the others); of these the nearest by address, and of
    /// these a random one.
    ///
    /// # Errors
    /// All are in backoff: when the first one is available again.
    pub(crate) fn next(&self, now: Time, random: u64) -> Result<SocketAddr, Time> {
        let is_available = |address: &&SocketAddr| self.backoff_until(**address) <= now;
        let rank = |address: &SocketAddr| {
            (
                self.consecutive_failures(*address, now),
                Reverse(self.proximity(*address)),
            )
        };
        let Some(best) = self.all().filter(is_available).map(rank).min() else {
            let soonest = self.all().map(|address| self.backoff_until(*address)).min();
            return Err(soonest.unwrap_or(now.plus(MAX_BACKOFF_US)));
        };
        let equals: Vec<&SocketAddr> = self
            .all()
            .filter(is_available)
            .filter(|address| rank(address) == best)
            .collect();
        Ok(*equals[(random % equals.len() as u64) as usize])
    }

    /// The advertised ones and the seeds: an old list may hold none that still exists.
    fn all(&self) -> impl Iterator<Item = &SocketAddr> {
        let seeds = self
            .seeds
            .iter()
            .filter(|seed| !self.advertised.contains(seed));
        self.advertised.iter().chain(seeds)
    }

    fn consecutive_failures(&self, address: SocketAddr, now: Time) -> u32 {
        self.failures
            .get(&address)
            .filter(|failures| failures.counts_at(now))
            .map_or(0, |failures| failures.consecutive)
    }

    fn backoff_until(&self, address: SocketAddr) -> Time {
        self.failures
            .get(&address)
            .map_or(Time(0), |failures| failures.backoff_until)
    }

    /// Whether a control machine is probably in the zone of this router. Zones of control machines are
    /// not advertised. Machines of a zone mostly share a network, so a shared address prefix stands for
    /// it; where that is not so, the choice is random all the same.
    fn proximity(&self, address: SocketAddr) -> u8 {
        match (self.machine, address.ip()) {
            (IpAddr::V4(own), IpAddr::V4(other)) => {
                u8::from(own.octets()[..2] == other.octets()[..2])
            }
            _ => 0,
        }
    }
}

impl FailureRecord {
    fn counts_at(&self, now: Time) -> bool {
        now < self.backoff_until.plus(FAILURE_MEMORY_US)
    }
}

#[cfg(test)]
mod tests;

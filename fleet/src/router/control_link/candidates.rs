//! Which control machine to connect to next.
//!
//! It owns the list of control machines and what is held against each. It promises that every one
//! of them is tried in time, however the others fail, that one which failed rests for longer each
//! time, and that routers which start together spread out. Pure: time and chance are arguments.

use lichenswitch_interface::{Micros, Time};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// How long one that failed rests at first, and at the most (microseconds). The first is short: at
/// the first start none need be listening yet.
const INITIAL_BACKOFF_US: Micros = 100_000;
const MAX_BACKOFF_US: Micros = 2_000_000;
/// So long after its rest a failure counts no more (microseconds): a near one is worth another look
/// then.
const FAILURE_MEMORY_US: Micros = 10_000_000;

/// What is held against a control machine.
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
    /// The seeds, as long as no others are told; `machine` is the own address.
    #[must_use]
    pub(crate) fn new(machine: IpAddr, seeds: Vec<SocketAddr>) -> ControlCandidates {
        ControlCandidates {
            machine,
            seeds,
            advertised: Vec::new(),
            failures: HashMap::new(),
        }
    }

    /// The settings name these seeds now.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// A control machine says that these can be connected to.
    pub(crate) fn on_advertised(&mut self, advertised: Vec<SocketAddr>) {
        if !advertised.is_empty() && advertised != self.advertised {
            self.advertised = advertised;
        }
    }

    /// A connection to it did not come up, or brought nothing of use.
    pub(crate) fn on_failed(&mut self, now: Time, address: SocketAddr, random: u64) {
        self.failures.retain(|_, failures| failures.counts_at(now));
        let failures = self.failures.entry(address).or_default();
        let backoff = (INITIAL_BACKOFF_US << failures.consecutive.min(8)).min(MAX_BACKOFF_US);
        failures.consecutive += 1;
        // Between a half and all of it, so that routers which failed together don't come back
        // together.
        failures.backoff_until = now.plus(backoff / 2 + random % (backoff / 2 + 1));
    }

    /// It is of use: whatever was held against it is forgotten.
    pub(crate) fn on_useful(&mut self, address: SocketAddr) {
        self.failures.remove(&address);
    }

    /// The one to connect to now, or when there is one again. Of those that don't rest, those that
    /// failed least often of late, so that a near one which is up but of no use never keeps a
    /// router from the others; of these the nearest by address, and of these one by chance.
    pub(crate) fn next(&self, now: Time, random: u64) -> Result<SocketAddr, Time> {
        let awake = |address: &&SocketAddr| self.backoff_until(**address) <= now;
        let rank = |address: &SocketAddr| {
            (
                self.consecutive_failures(*address, now),
                Reverse(self.proximity(*address)),
            )
        };
        let Some(best) = self.all().filter(awake).map(rank).min() else {
            let soonest = self.all().map(|address| self.backoff_until(*address)).min();
            return Err(soonest.unwrap_or(now.plus(MAX_BACKOFF_US)));
        };
        let equals: Vec<&SocketAddr> = self
            .all()
            .filter(awake)
            .filter(|address| rank(address) == best)
            .collect();
        Ok(*equals[(random % equals.len() as u64) as usize])
    }

    /// Those that were told come with the seeds: a list of the past may hold none that is still
    /// there.
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

    /// Nobody tells a control machine's zone. Machines of a zone share a network as a rule, so a
    /// shared beginning of the address stands for it; where that is not so, the choice is by chance
    /// all the same.
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

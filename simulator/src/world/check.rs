//! What must hold at all times, and at the end.

use std::collections::BTreeSet;

use lichenswitch_configuration::State;
use lichenswitch_replication::Time;

use super::{World, CHECK_INTERVAL, LIST_LAG};
use crate::callers::APPLY_BOUND;
use crate::disk::DiskFault;
use crate::documents::OrderId;
use crate::ledger::Violation;
use crate::network::Host;

/// The core is stable so many microseconds after the last trouble (`contactMs`).
pub(super) const CONTACT: u64 = 3_000_000;
/// An order is acknowledged within so many microseconds of a stable core (`ackTimeoutMs`).
pub(super) const ACKNOWLEDGE_BOUND: u64 = 4_000_000;
/// The same while some machines are out of reach: a caller may pick several of them first, a second
/// each.
const ACKNOWLEDGE_BOUND_UNDER_FAULTS: u64 = 8_000_000;
/// Wakes within one interval of a process that has something to do.
const MOST_WAKES: u32 = 2_000;
/// Within so many microseconds of a stable core, every member has what is committed (`catchUpS`).
const CATCH_UP_BOUND: u64 = 4_000_000;

impl World {
    pub(super) fn check(&mut self) {
        self.keep_list();
        self.check_wakes();
        if self.harmed || self.service_may_rest {
            self.last_fault_at = self.now();
        }
        let stable_since = self.last_fault_at.after(CONTACT);
        let majority = self.connected_majority();
        if majority.is_empty() || self.now() < stable_since {
            return;
        }
        self.check_orders(stable_since, &majority);
        self.check_routers(stable_since, &majority);
        if majority.len() == self.core().len() {
            self.check_members(stable_since);
        }
    }

    fn keep_list(&mut self) {
        let now = self.now();
        let list = self
            .machines
            .values()
            .filter(|machine| !machine.removed && machine.process.is_some());
        let list: Vec<Host> = list.map(|machine| machine.host).collect();
        self.lists.push_back((now, list));
        while self.lists.len() > 1 && now.since(self.lists[1].0) >= LIST_LAG {
            self.lists.pop_front();
        }
    }

    fn check_wakes(&mut self) {
        for (host, times) in std::mem::take(&mut self.woken) {
            if times > MOST_WAKES && self.settings.judges_wakes {
                self.ledger.violations.push(Violation::Spins(host, times));
            }
        }
        debug_assert_eq!(CHECK_INTERVAL, 100_000, "the bound is for 100 ms");
    }

    /// Machines that run and reach each other both ways, if those with a sound disk are more than
    /// half of all that count.
    fn connected_majority(&self) -> BTreeSet<Host> {
        let core = self.core();
        let running: Vec<Host> = core
            .iter()
            .copied()
            .filter(|host| self.machines[host].runs())
            .collect();
        let reached = |host: &Host| -> BTreeSet<Host> {
            running
                .iter()
                .copied()
                .filter(|other| other == host || self.reaches_both_ways(*host, *other))
                .collect()
        };
        let largest = running
            .iter()
            .map(reached)
            .max_by_key(BTreeSet::len)
            .unwrap_or_default();
        let well = largest
            .iter()
            .filter(|host| self.machines[host].disk.fault() == DiskFault::None);
        if well.count() * 2 > core.len() {
            return largest;
        }
        BTreeSet::new()
    }

    fn reaches_both_ways(&self, one: Host, other: Host) -> bool {
        self.network.reaches(one, other) && self.network.reaches(other, one)
    }

    fn in_touch(&self, caller: Host, majority: &BTreeSet<Host>) -> bool {
        !self.replies_lost
            && majority
                .iter()
                .all(|host| self.reaches_both_ways(caller, *host))
    }

    fn check_orders(&mut self, stable_since: Time, majority: &BTreeSet<Host>) {
        let now = self.now();
        let whole = majority.len() == self.core().len();
        let bound = if whole {
            ACKNOWLEDGE_BOUND
        } else {
            ACKNOWLEDGE_BOUND_UNDER_FAULTS
        };
        let overdue = self
            .operators
            .iter()
            .filter(|(host, _)| self.in_touch(**host, majority));
        let overdue = overdue.filter_map(|(_, operator)| {
            let (order, since) = operator.wait_times()?;
            let waited = now.since(since.max(stable_since));
            (waited > bound).then_some((order, waited / 1_000))
        });
        let overdue: Vec<(OrderId, u64)> = overdue.collect();
        for (order, waited) in overdue {
            self.ledger
                .violations
                .push(Violation::OrderOverdue(order, waited));
        }
    }

    fn check_routers(&mut self, stable_since: Time, majority: &BTreeSet<Host>) {
        let now = self.now();
        let mut late = Vec::new();
        for (host, router) in self
            .routers
            .iter()
            .filter(|(host, _)| self.in_touch(**host, majority))
        {
            let has = router.version();
            let lacks = self.ledger.acknowledged_before(Time(now.0 - APPLY_BOUND));
            let missing = lacks > has.unwrap_or(0);
            let Some(acknowledged) = self.ledger.acknowledged_at(lacks).filter(|_| missing) else {
                continue;
            };
            let ago = now.since(acknowledged.max(stable_since).max(router.started));
            if ago > APPLY_BOUND {
                late.push(Violation::RouterOverdue {
                    router: *host,
                    has,
                    lacks,
                    ago: ago / 1_000,
                });
            }
        }
        self.ledger.violations.extend(late);
    }

    /// A member that the primary reaches, and whose disk is well, holds what is committed, but for
    /// what is on its way.
    fn check_members(&mut self, stable_since: Time) {
        let Some(primary) = self.primary() else {
            return;
        };
        if self.now() < stable_since.after(CATCH_UP_BOUND) {
            return;
        }
        let group = self.status(primary).and_then(|status| status.committed);
        let number = group.map_or(0, |position| position.number);
        let mut late = Vec::new();
        let core = self
            .core()
            .into_iter()
            .filter(|host| self.reaches_both_ways(*host, primary));
        for machine in core.collect::<Vec<Host>>() {
            let well = self.machines[&machine].disk.fault() == DiskFault::None;
            let stands = self.status(machine).and_then(|status| status.committed);
            let behind = number.saturating_sub(stands.map_or(0, |position| position.number));
            if well && behind > 2 {
                late.push(Violation::NotCaughtUp {
                    machine,
                    stands,
                    group,
                });
            }
        }
        self.ledger.violations.extend(late);
    }

    /// Runs until the core is stable, then judges what the group holds.
    pub fn finish(&mut self) {
        self.run_for(CONTACT + ACKNOWLEDGE_BOUND + APPLY_BOUND);
        self.operators
            .values_mut()
            .for_each(crate::callers::Operator::stop);
        self.run_for(ACKNOWLEDGE_BOUND + APPLY_BOUND);
        if !self.ledger.violations.is_empty() {
            return;
        }
        let paused = self.primary().and_then(|host| self.committed(host));
        match paused.map(|(_, replicated)| replicated.state().clone()) {
            Some(state) => self.check_state(&state),
            None => self.ledger.violations.push(Violation::NothingReadBack),
        }
    }

    fn check_state(&mut self, state: &State) {
        self.ledger.check_end(state);
        let (reported, version) = (self.ledger.reported_acknowledged(), state.version());
        if version < reported {
            self.ledger.violations.push(Violation::DescribeOld {
                machine: Host(0),
                reported: version,
                known: reported,
            });
        }
    }
}

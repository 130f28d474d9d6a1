//! Invariants: those checked every 100 ms, and those checked at the end of a run.

use std::collections::BTreeSet;

use lichenswitch_configuration::State;
use lichenswitch_replication::Time;

use super::{World, CHECK_INTERVAL_US, LIST_LAG_US};
use crate::callers::APPLY_BOUND_US;
use crate::disk::DiskFault;
use crate::network::Host;
use crate::oracle::Violation;
use crate::orders::OrderId;

/// The core is stable so many microseconds after the last fault or recovery (`contactMs`).
pub(super) const CONTACT_TIMEOUT_US: u64 = 3_000_000;
/// An order is acknowledged within so many microseconds of a stable core (`ackTimeoutMs`).
pub(super) const ACKNOWLEDGE_BOUND_US: u64 = 4_000_000;
/// The same while some machines are out of reach: a caller may pick several of them first, a second
/// each.
const DEGRADED_ACKNOWLEDGE_BOUND_US: u64 = 8_000_000;
/// Most wakes of one process within one check interval.
const MAX_WAKES_PER_CHECK: u32 = 2_000;
/// Within so many microseconds of a stable core, every member has what is committed (`catchUpS`).
const CATCH_UP_BOUND_US: u64 = 4_000_000;

impl World {
    pub(super) fn check(&mut self) {
        self.update_list();
        self.check_wakes();
        if self.is_network_harmed || self.is_service_pause_allowed {
            self.last_fault_change_at = self.now();
        }
        let stable_since = self.last_fault_change_at.after(CONTACT_TIMEOUT_US);
        let majority = self.connected_majority();
        if majority.is_empty() || self.now() < stable_since {
            return;
        }
        self.check_orders(stable_since, &majority);
        self.check_routers(stable_since, &majority);
        if majority.len() == self.present_machines().len() {
            self.check_members(stable_since);
        }
    }

    fn update_list(&mut self) {
        let now = self.now();
        let list = self
            .machines
            .values()
            .filter(|machine| !machine.removed && machine.process.is_some());
        let list: Vec<Host> = list.map(|machine| machine.host).collect();
        self.lists.push_back((now, list));
        while self.lists.len() > 1 && now.since(self.lists[1].0) >= LIST_LAG_US {
            self.lists.pop_front();
        }
    }

    fn check_wakes(&mut self) {
        for (host, times) in std::mem::take(&mut self.wake_counts) {
            if times > MAX_WAKES_PER_CHECK && self.settings.checks_wakes {
                self.oracle
                    .violations
                    .push(Violation::ExcessiveWakes(host, times));
            }
        }
        debug_assert_eq!(CHECK_INTERVAL_US, 100_000, "the bound is for 100 ms");
    }

    /// Machines that run and reach each other both ways, if those with a sound disk are more than
    /// half of all that count.
    fn connected_majority(&self) -> BTreeSet<Host> {
        let core = self.present_machines();
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
        let is_disk_healthy = largest
            .iter()
            .filter(|host| self.machines[host].disk.fault() == DiskFault::None);
        if is_disk_healthy.count() * 2 > core.len() {
            return largest;
        }
        BTreeSet::new()
    }

    fn reaches_both_ways(&self, one: Host, other: Host) -> bool {
        self.network.reaches(one, other) && self.network.reaches(other, one)
    }

    fn reaches_all(&self, caller: Host, majority: &BTreeSet<Host>) -> bool {
        !self.are_replies_lost
            && majority
                .iter()
                .all(|host| self.reaches_both_ways(caller, *host))
    }

    fn check_orders(&mut self, stable_since: Time, majority: &BTreeSet<Host>) {
        let now = self.now();
        let is_complete = majority.len() == self.present_machines().len();
        let bound = if is_complete {
            ACKNOWLEDGE_BOUND_US
        } else {
            DEGRADED_ACKNOWLEDGE_BOUND_US
        };
        let overdue = self
            .operators
            .iter()
            .filter(|(host, _)| self.reaches_all(**host, majority));
        let overdue = overdue.filter_map(|(_, operator)| {
            let (order, since) = operator.pending_order()?;
            let waited = now.since(since.max(stable_since));
            (waited > bound).then_some((order, waited / 1_000))
        });
        let overdue: Vec<(OrderId, u64)> = overdue.collect();
        for (order, waited) in overdue {
            self.oracle
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
            .filter(|(host, _)| self.reaches_all(**host, majority))
        {
            let has = router.version();
            let lacks = self
                .oracle
                .acknowledged_before(Time(now.0 - APPLY_BOUND_US));
            let missing = lacks > has.unwrap_or(0);
            let Some(acknowledged) = self.oracle.acknowledged_at(lacks).filter(|_| missing) else {
                continue;
            };
            let ago = now.since(acknowledged.max(stable_since).max(router.started));
            if ago > APPLY_BOUND_US {
                late.push(Violation::RouterOverdue {
                    router: *host,
                    has,
                    lacks,
                    ago: ago / 1_000,
                });
            }
        }
        self.oracle.violations.extend(late);
    }

    /// A member that the primary reaches, and whose disk is healthy, has what is committed, but for
    /// what is on its way.
    fn check_members(&mut self, stable_since: Time) {
        let Some(primary) = self.primary() else {
            return;
        };
        if self.now() < stable_since.after(CATCH_UP_BOUND_US) {
            return;
        }
        let group = self.status(primary).and_then(|status| status.committed);
        let number = group.map_or(0, |position| position.number);
        let mut late = Vec::new();
        let core = self
            .present_machines()
            .into_iter()
            .filter(|host| self.reaches_both_ways(*host, primary));
        for machine in core.collect::<Vec<Host>>() {
            let is_disk_healthy = self.machines[&machine].disk.fault() == DiskFault::None;
            let committed_here = self.status(machine).and_then(|status| status.committed);
            let behind =
                number.saturating_sub(committed_here.map_or(0, |position| position.number));
            if is_disk_healthy && behind > 2 {
                late.push(Violation::MemberNotCaughtUp {
                    machine,
                    committed_here,
                    group,
                });
            }
        }
        self.oracle.violations.extend(late);
    }

    /// Runs until the core is stable, then judges what the group holds.
    pub fn finish(&mut self) {
        self.run_for(CONTACT_TIMEOUT_US + ACKNOWLEDGE_BOUND_US + APPLY_BOUND_US);
        self.operators
            .values_mut()
            .for_each(crate::callers::Operator::stop);
        self.run_for(ACKNOWLEDGE_BOUND_US + APPLY_BOUND_US);
        if !self.oracle.violations.is_empty() {
            return;
        }
        let committed = self.primary().and_then(|host| self.committed(host));
        match committed.map(|(_, replicated)| replicated.state().clone()) {
            Some(state) => self.check_state(&state),
            None => self.oracle.violations.push(Violation::FinalReadFailed),
        }
    }

    fn check_state(&mut self, state: &State) {
        self.oracle.check_end(state);
        let (newest_acknowledged, version) = (self.oracle.newest_acknowledged(), state.version());
        if version < newest_acknowledged {
            self.oracle.violations.push(Violation::StaleDescribe {
                machine: Host(0),
                returned: version,
                known: newest_acknowledged,
            });
        }
    }
}

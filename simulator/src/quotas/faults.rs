//! Faults of machines, and their recovery.

use lichenswitch_quota::OwnerId;

use super::events::Event;
use super::node::ControlNode;
use super::{Fault, Fleet, PlantedBug, MILLISECOND, SECOND};

/// Whether a machine that restarts still has its disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disk {
    Intact,
    Lost,
}

impl Fleet {
    /// Injects a random fault, and schedules the next one.
    pub(super) fn inject_fault(&mut self) {
        let Some(gap) = self.settings.fault_interval_ms.map(|gap| gap * MILLISECOND) else {
            return;
        };
        let next = self.now + self.random.u64(gap / 8..2 * gap);
        self.schedule(next, Event::Fault);
        let index = self.random.usize(0..self.control.len());
        let duration = self.random.u64(SECOND / 2..7 * SECOND);
        let Some(fault) = self.random.choice(self.settings.faults) else {
            return;
        };
        match fault {
            Fault::Restart => self.restart(index, Disk::Intact),
            Fault::LoseDisk => self.restart(index, Disk::Lost),
            Fault::Suspend => self.control[index].suspended_until = self.now + duration,
            Fault::Partition => self.control[index].partitioned_until = self.now + duration,
            Fault::RemoveVoter => {
                self.control[index].partitioned_until = self.now + 2 * duration;
                let id = self.control[index].id;
                let voters = self
                    .voters()
                    .into_iter()
                    .filter(|voter| *voter != id)
                    .collect();
                self.change_voters(voters);
            }
            Fault::SuspendRouter => {
                let router = self.random.usize(0..self.routers.len());
                self.routers[router].suspended_until = self.now + duration;
            }
        }
    }

    /// A process is killed and restarts at once; with another disk it is another voter.
    fn restart(&mut self, index: usize, disk: Disk) {
        let (mut stored_voters, incarnation) = (
            self.control[index].stored_voters.clone(),
            self.control[index].incarnation + 1,
        );
        let mut id = self.control[index].id;
        if disk == Disk::Lost {
            (id, stored_voters) = (OwnerId(1_000 * incarnation + index as u64), Vec::new());
            let before = self.control[index].id;
            let remaining = self.voters().into_iter().filter(|voter| *voter != before);
            let voters = remaining.chain([id]).collect();
            self.change_voters(voters);
        }
        let drift = self.random.f64();
        let (tenants, bounds, planted_bug) =
            (&self.tenants, self.bounds, self.settings.planted_bug);
        let mut control = ControlNode::start(
            index,
            self.now,
            &stored_voters,
            tenants,
            bounds,
            drift,
            planted_bug,
        );
        (control.id, control.incarnation) = (id, incarnation);
        control.reset_ownership(&stored_voters);
        if planted_bug == PlantedBug::StartsFull {
            // Before anything else: the first request without contact would empty its buckets.
            control.on_contact(self.now, 0, &self.changes, planted_bug);
        }
        self.control[index] = control;
    }
}

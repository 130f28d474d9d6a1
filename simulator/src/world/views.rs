//! What can be observed of the control machines.

use lichenswitch_replication::{Position, Status, Time};

use super::World;
use crate::control::Replicated;
use crate::network::Host;

impl World {
    /// Machines that have not been removed.
    pub fn present_machines(&self) -> Vec<Host> {
        self.machines
            .values()
            .filter(|machine| !machine.removed)
            .map(|machine| machine.host)
            .collect()
    }

    /// How a machine's replica sees itself.
    pub fn status(&self, host: Host) -> Option<Status> {
        let process = self.machines.get(&host)?.process.as_ref()?;
        Some(process.replica().status(self.now()))
    }

    /// The machine that serves as primary, of the highest epoch.
    pub fn primary(&self) -> Option<Host> {
        let serving = self.machines.values().filter_map(|machine| {
            let replica = machine.process.as_ref()?.replica();
            replica
                .is_serving()
                .then(|| (replica.promised(), machine.host))
        });
        serving.max().map(|(_, host)| host)
    }

    /// The committed state at a machine.
    pub fn committed(&self, host: Host) -> Option<(Position, &Replicated)> {
        self.machines
            .get(&host)?
            .process
            .as_ref()?
            .replica()
            .committed()
    }

    /// Bytes of the encoded state at the primary.
    pub fn state_bytes(&self) -> usize {
        let committed = self.primary().and_then(|host| self.committed(host));
        committed.map_or(0, |(_, replicated)| replicated.state().encode().len())
    }

    /// When a fault last began or ended.
    pub fn last_fault_change_at(&self) -> Time {
        self.last_fault_change_at
    }
}

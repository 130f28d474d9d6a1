//! What is done to callers: which machine they prefer, and restarts of routers.

use super::super::{Target, World};
use crate::network::Host;

impl World {
    /// All routers restart, and connect first to the machine that a target means.
    pub(super) fn restart_routers(&mut self, target: Target) {
        let first = self.resolve(target);
        let routers: Vec<Host> = self.routers.keys().copied().collect();
        for host in routers {
            self.restart_router(host, first);
        }
    }

    /// One of so many operators and readers prefers the machine that a target means.
    pub(super) fn lure(&mut self, target: Target, one_of: u32) {
        let preferred = self.resolve(target);
        let one_of = one_of.max(1) as usize;
        let first_of = |number: usize| preferred.filter(|_| number.is_multiple_of(one_of));
        for (number, operator) in self.operators.values_mut().enumerate() {
            operator.set_preferred(first_of(number));
        }
        for (number, reader) in self.readers.values_mut().enumerate() {
            reader.set_preferred(first_of(number));
        }
    }
}

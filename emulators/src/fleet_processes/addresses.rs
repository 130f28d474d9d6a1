//! The addresses and ports of a fleet on loopback.

use crate::loopback_block::{candidate_networks, LoopbackBlock, Network};
use std::net::{Ipv4Addr, TcpListener};
use std::ops::RangeInclusive;

/// The port of control processes for calls; the same on all machines, as in a deployment.
pub(super) const CONTROL_PORT: u16 = 8_262;
/// The port of routers for clients.
pub(super) const FRONT_PORT: u16 = 8_263;
/// The port of routers for readiness checks.
pub(super) const READY_PORT: u16 = 8_268;
/// The ports for connections between processes.
pub(super) const INTERNAL_PORTS: RangeInclusive<u16> = 7_300..=7_315;
/// The most machines of a fleet.
pub(super) const MAX_MACHINES: usize = 200;
/// The port by which a fleet reserves its block of addresses.
const BLOCK_LOCK_PORT: u16 = 8_261;
/// The last byte of the first machine's address.
const FIRST_HOST: u8 = 2;
/// The block of 127.0.0.2, which is used where it is free.
const PREFERRED_NETWORK: Network = [127, 0, 0];
/// The number of other blocks that are tried.
const BLOCK_ATTEMPTS: u32 = 500;

/// The address of each machine of a fleet, reserved until it is dropped.
#[derive(Debug)]
pub(super) struct FleetAddresses {
    /// By the number of the machine.
    pub(super) machines: Vec<Ipv4Addr>,
    _block: LoopbackBlock,
}

impl FleetAddresses {
    /// Reserves an address for each machine, [`MAX_MACHINES`] at most, all ports of which are free;
    /// `None`: no block has them.
    pub(super) fn reserve(machine_count: usize) -> Option<FleetAddresses> {
        let hosts = (FIRST_HOST..).take(machine_count.min(MAX_MACHINES));
        let start = std::process::id().wrapping_mul(37);
        std::iter::once(PREFERRED_NETWORK)
            .chain(candidate_networks(start, BLOCK_ATTEMPTS))
            .find_map(|network| {
                let block = LoopbackBlock::reserve(network, BLOCK_LOCK_PORT).ok()?;
                let machines: Vec<Ipv4Addr> =
                    hosts.clone().map(|host| block.address(host)).collect();
                machines
                    .iter()
                    .all(has_free_ports)
                    .then_some(FleetAddresses {
                        machines,
                        _block: block,
                    })
            })
    }
}

fn has_free_ports(address: &Ipv4Addr) -> bool {
    [CONTROL_PORT, FRONT_PORT, READY_PORT]
        .into_iter()
        .chain(INTERNAL_PORTS)
        .all(|port| TcpListener::bind((*address, port)).is_ok())
}

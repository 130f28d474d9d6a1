//! Blocks of loopback addresses: each is a network `127.x.y.0/24` that one test reserves, so that
//! tests of several processes at the same time use different addresses.

use std::net::{Ipv4Addr, TcpListener};

/// The last address of a block, whose listener reserves the block; processes use those below.
const LOCK_HOST: u8 = 254;
/// Values that each of the two middle bytes of a candidate takes, from 1 on.
const NETWORKS_PER_BYTE: u32 = 250;
/// The number of candidates.
const NETWORK_COUNT: u32 = NETWORKS_PER_BYTE * NETWORKS_PER_BYTE;

/// The first three bytes of a block's addresses.
pub(crate) type Network = [u8; 3];

/// A block of loopback addresses, reserved until it is dropped.
#[derive(Debug)]
pub(crate) struct LoopbackBlock {
    network: Network,
    _lock: TcpListener,
}

impl LoopbackBlock {
    /// Reserves a block. Programs that could use the same ports lock the same port.
    ///
    /// # Errors
    /// When it is reserved already, or its last address can't be listened on.
    pub(crate) fn reserve(network: Network, lock_port: u16) -> std::io::Result<LoopbackBlock> {
        let lock = TcpListener::bind((address_in(network, LOCK_HOST), lock_port))?;
        Ok(LoopbackBlock {
            network,
            _lock: lock,
        })
    }

    /// The address with this last byte: 1 to 253.
    pub(crate) fn address(&self, host: u8) -> Ipv4Addr {
        address_in(self.network, host)
    }
}

fn address_in(network: Network, host: u8) -> Ipv4Addr {
    let [first, second, third] = network;
    Ipv4Addr::new(first, second, third, host)
}

/// Candidates for a block: `count` networks from number `start` on, none of which holds 127.0.0.1.
pub(crate) fn candidate_networks(start: u32, count: u32) -> impl Iterator<Item = Network> {
    (0..count).map(move |offset| {
        let number = start.wrapping_add(offset) % NETWORK_COUNT;
        let byte = |value: u32| 1 + value as u8;
        [
            127,
            byte(number / NETWORKS_PER_BYTE),
            byte(number % NETWORKS_PER_BYTE),
        ]
    })
}

#[cfg(test)]
mod tests;

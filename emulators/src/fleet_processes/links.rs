//! Links between the control processes of a fleet: their connections to each other go through these
//! links, which can be partitioned. Routers, clients and operators still reach all machines.

use crate::byte_link::ByteLink;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The links, by the machine that connects and the one that is connected to. Empty where processes
/// connect to each other directly.
#[derive(Debug, Default)]
pub(super) struct Links {
    between: BTreeMap<(usize, usize), (SocketAddr, ByteLink)>,
}

impl Links {
    /// Starts a link from each machine at these addresses to every other one's control process.
    pub(super) fn between(addresses: &[Ipv4Addr], port: u16) -> std::io::Result<Links> {
        let mut between = BTreeMap::new();
        for from in 0..addresses.len() {
            for (to, address) in addresses.iter().enumerate().filter(|(to, _)| *to != from) {
                let address = SocketAddr::new(IpAddr::V4(*address), port);
                between.insert((from, to), (address, ByteLink::start(address)?));
            }
        }
        Ok(Links { between })
    }

    /// Partitions all links between the machines of `side` and the others, and heals the rest.
    pub(super) fn partition(&self, side: &[usize]) {
        for ((from, to), (_, link)) in &self.between {
            link.set_partitioned(side.contains(from) != side.contains(to));
        }
    }

    /// The section of a control process's settings that lists its links; empty without links.
    pub(super) fn settings(&self, machine: usize) -> String {
        let own = self
            .between
            .iter()
            .filter(|((from, _), _)| *from == machine);
        let mut text = String::new();
        for (_, (address, link)) in own {
            // Writes to memory don't fail.
            let _ = writeln!(text, "\"{address}\" = \"{}\"", link.address);
        }
        if text.is_empty() {
            return text;
        }
        format!("[forwarders]\n{text}")
    }
}

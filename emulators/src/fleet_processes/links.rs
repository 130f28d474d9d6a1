//! Links between the control processes of a fleet: what one says to another goes through one of
//! them, which can be cut. Routers, clients and operators go on reaching all machines.

use crate::byte_link::ByteLink;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The links, by the machine that connects and the one that is connected to. None where processes
/// reach each other as they are.
#[derive(Debug, Default)]
pub(super) struct Links {
    between: BTreeMap<(usize, usize), (SocketAddr, ByteLink)>,
}

impl Links {
    /// Links between machines at these addresses, each to the other's control process.
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

    /// Cuts all links between these machines and the others, and heals the rest.
    pub(super) fn cut(&self, side: &[usize]) {
        for ((from, to), (_, link)) in &self.between {
            link.set_cut(side.contains(from) != side.contains(to));
        }
    }

    /// What the settings of a machine's control process say of its links.
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

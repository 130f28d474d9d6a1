//! How a broker's descriptors are shared between its clients, its data nodes and discovery.
//!
//! Owns the counts of what is open and the rule for what may be opened. It promises: discovery
//! always has its place, whatever is full, since the rules on drains rest on what it tells; clients
//! never hold more than their share, so that queries which were taken can be served; data nodes are
//! never denied a connection within theirs while clients keep to that, and may borrow what clients
//! leave unused; all together stay within what there is.
//!
//! The share of data nodes follows how many are listed: a connection for each and some beside, as
//! far as half of all goes. Below that connections take turns: [`Verdict::Instead`] says that an
//! idle one goes first.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

/// Most connections to one data node. Guards descriptors and memory against one that takes
/// connections and reads nothing.
pub const LINKS: usize = 16;
/// Descriptors set aside for discovery: its connection, and a second one while it is replaced.
pub const DISCOVERY: usize = 2;
/// Connections that the share of data nodes holds beside one for each: second ones to nodes that
/// are mute or full, an eighth of the nodes at once and as many that come in a release before the
/// old ones go, and some for few nodes.
const BESIDE_PART: usize = 4;
const BESIDE: usize = 8;
/// Data nodes may have this part of all where it is of use to them, however few are listed.
const NODES_LEAST: usize = 4;
/// Of what clients may have and don't use, this part is not lent: clients that come find it at
/// once, without waiting for a call to end.
const RESERVED_SHARE_DIVISOR: usize = 8;
/// Clients' idle connections beyond this part of all are too many.
const CROWD: usize = 4;

/// Who a descriptor is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Clients of any front.
    Clients,
    /// Data nodes.
    Nodes,
    /// Discovery.
    Discovery,
    /// Other brokers that have connected, where brokers talk.
    InboundPeers,
    /// Other brokers that were connected to.
    OutboundPeers,
}

/// Whether a connection may be opened, and the rule that says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Open(Reason),
    /// An idle connection to a data node has to be closed first; without one it waits.
    Instead(Reason),
    /// It has to wait until another one of its side is closed.
    Wait(Reason),
}

/// The rule that led to a verdict, with its figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is within the share of its side: so many are open of so many.
    Share(usize, usize),
    /// It is beyond the share, of what clients leave unused: so many are lent of so many.
    Lent(usize, usize),
    /// The share is used up: so many are open of so many.
    Full(usize, usize),
    /// The other side holds what it has borrowed: so many descriptors are in use of so many.
    Borrowed(usize, usize),
    /// The system gives this process no more.
    System,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Share(open, of) => write!(f, "{open} of {of} descriptors are in use"),
            Reason::Lent(open, of) => write!(
                f,
                "{open} of {of} descriptors that clients leave are in use"
            ),
            Reason::Full(open, of) => write!(f, "all {of} descriptors are in use, {open} of them"),
            Reason::Borrowed(open, of) => {
                write!(f, "{open} of {of} descriptors are in use, some lent")
            }
            Reason::System => f.write_str("the system gives no more descriptors"),
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (Verdict::Open(why) | Verdict::Instead(why) | Verdict::Wait(why)) = self;
        why.fmt(f)
    }
}

/// The books of the descriptors, and the rule.
#[derive(Clone, Debug)]
pub struct Shares {
    /// For clients and data nodes together.
    all: usize,
    /// The same while this is the broker's only process.
    alone: usize,
    /// Data nodes that are listed.
    listed: usize,
    clients: usize,
    nodes: usize,
    discovery: usize,
    /// Set aside for other brokers in each direction, and open.
    peers: usize,
    inbound_peers: usize,
    outbound_peers: usize,
}

impl Shares {
    /// Shares of `descriptors`, those of discovery among them.
    #[must_use]
    pub fn new(descriptors: usize) -> Shares {
        let all = descriptors.saturating_sub(DISCOVERY).max(2);
        Shares {
            all,
            alone: all,
            listed: 0,
            clients: 0,
            nodes: 0,
            discovery: 0,
            peers: 0,
            inbound_peers: 0,
            outbound_peers: 0,
        }
    }

    /// Brokers talk: so many descriptors in each direction are set aside for that, at most a
    /// sixteenth of all.
    pub fn on_peers(&mut self, each: usize) {
        let each = each.min(self.all / 16).max(1);
        (self.peers, self.all) = (each, self.all - 2 * each);
        self.alone -= 2 * each;
    }

    /// So many processes of this broker run side by side now: each has its part. What is open
    /// beyond it goes as it falls idle.
    pub fn on_processes(&mut self, processes: u32) {
        self.all = (self.alone / processes.max(1) as usize).max(2);
    }

    /// So many data nodes are listed now, of all services.
    pub fn on_listed(&mut self, nodes: usize) {
        self.listed = nodes;
    }

    /// A connection was opened.
    pub fn on_opened(&mut self, side: Side) {
        *self.count(side) += 1;
    }

    /// A connection was closed.
    pub fn on_closed(&mut self, side: Side) {
        let count = self.count(side);
        debug_assert!(*count > 0, "each descriptor is given back once");
        *count = count.saturating_sub(1);
    }

    fn count(&mut self, side: Side) -> &mut usize {
        match side {
            Side::Clients => &mut self.clients,
            Side::Nodes => &mut self.nodes,
            Side::Discovery => &mut self.discovery,
            Side::InboundPeers => &mut self.inbound_peers,
            Side::OutboundPeers => &mut self.outbound_peers,
        }
    }

    /// What is set aside for data nodes: what they need, but half of all at most; a quarter of all
    /// where they can use it (before any is listed it is not known that they can't).
    #[must_use]
    pub fn of_nodes(&self) -> usize {
        let usable = if self.listed == 0 {
            usize::MAX
        } else {
            self.listed.saturating_mul(LINKS)
        };
        let needed = self.listed + self.listed / BESIDE_PART + BESIDE;
        needed
            .max(self.all / NODES_LEAST)
            .min(usable)
            .clamp(1, self.all / 2)
    }

    /// What clients may hold.
    #[must_use]
    pub fn of_clients(&self) -> usize {
        self.all - self.of_nodes()
    }

    /// What data nodes may hold beyond their share: what clients leave unused of theirs, but for a
    /// part of it.
    fn lent(&self) -> usize {
        let (share, unused) = (
            self.of_clients(),
            self.of_clients().saturating_sub(self.clients),
        );
        unused.saturating_sub((share / RESERVED_SHARE_DIVISOR).max(1))
    }

    /// Whether a connection may be opened for this side.
    #[must_use]
    pub fn may_open(&self, side: Side) -> Verdict {
        let (used, own) = (self.clients + self.nodes, self.of_nodes());
        match side {
            Side::Discovery if self.discovery < DISCOVERY => {
                Verdict::Open(Reason::Share(self.discovery, DISCOVERY))
            }
            Side::Discovery => Verdict::Wait(Reason::Full(self.discovery, DISCOVERY)),
            Side::InboundPeers | Side::OutboundPeers => {
                let open = if side == Side::InboundPeers {
                    self.inbound_peers
                } else {
                    self.outbound_peers
                };
                match open < self.peers {
                    true => Verdict::Open(Reason::Share(open, self.peers)),
                    false => Verdict::Wait(Reason::Full(open, self.peers)),
                }
            }
            Side::Clients if self.clients >= self.of_clients() => {
                Verdict::Wait(Reason::Full(self.clients, self.of_clients()))
            }
            // Data nodes hold what they have borrowed: it is given back as it falls idle.
            Side::Clients if used >= self.all => Verdict::Instead(Reason::Borrowed(used, self.all)),
            Side::Clients => Verdict::Open(Reason::Share(self.clients, self.of_clients())),
            // Clients hold more than their share of now, since more nodes are listed than before.
            Side::Nodes if used >= self.all => Verdict::Instead(Reason::Borrowed(used, self.all)),
            Side::Nodes if self.nodes < own => Verdict::Open(Reason::Share(self.nodes, own)),
            Side::Nodes if self.nodes - own < self.lent() => {
                Verdict::Open(Reason::Lent(self.nodes - own, self.lent()))
            }
            Side::Nodes => Verdict::Instead(Reason::Full(self.nodes, own + self.lent())),
        }
    }

    /// Connections to data nodes beyond their share: so many are owed to clients that wait.
    #[must_use]
    pub fn owed(&self) -> usize {
        self.nodes.saturating_sub(self.of_nodes())
    }

    /// Connections that clients hold beyond a quarter of all, or beyond their share: the idle among
    /// them may go.
    #[must_use]
    pub fn crowd(&self) -> usize {
        self.clients
            .saturating_sub((self.all / CROWD).min(self.of_clients()))
    }

    /// How many data nodes these descriptors bear: a connection to each can stay open, with some
    /// beside, whatever clients hold.
    #[must_use]
    pub fn bears(&self) -> usize {
        (0..self.all)
            .take_while(|n| n + n / BESIDE_PART + BESIDE <= self.all / 2)
            .count()
            .saturating_sub(1)
    }
}

#[cfg(test)]
mod tests;

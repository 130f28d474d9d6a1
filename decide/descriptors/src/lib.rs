//! How a broker's descriptors are shared between its clients, its data nodes and discovery.
//!
//! It owns the counts of what is open and the rule for what may be opened. It promises: discovery
//! always has its place, whatever is full, since the rules on drains rest on what it reports; clients
//! never hold more than their share, so that queries which were taken can be served; data nodes are
//! never denied a connection within theirs while clients keep to that, and may borrow what clients
//! leave unused; all together stay within what there is.
//!
//! The share of data nodes follows how many are listed: a connection for each and some spare ones, as
//! far as half of all goes. Below that connections take turns: [`OpenDecision::CloseIdleFirst`] says that an
//! idle one goes first.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

/// Most connections to one data node. Guards descriptors and memory against one that takes
/// connections and reads nothing.
pub const MAX_CONNECTIONS_PER_NODE: usize = 16;
/// Descriptors set aside for discovery: its connection, and a second one while it is replaced.
pub const DISCOVERY_RESERVE: usize = 2;
/// Spare connections that the share of data nodes has beside one for each, as a part of the nodes:
/// second ones to nodes that are mute or full, an eighth of the nodes at once, and as many that come
/// in a release before the old ones go.
const SPARE_CONNECTIONS_DIVISOR: usize = 4;
/// Spare connections beside that part, for few nodes.
const MIN_SPARE_CONNECTIONS: usize = 8;
/// Data nodes may have this part of all where it is of use to them, however few are listed.
const MIN_NODE_SHARE_DIVISOR: usize = 4;
/// Data nodes have this part of all at most, however many are listed.
const MAX_NODE_SHARE_DIVISOR: usize = 2;
/// Of what clients may have and don't use, this part is not lent: clients that come find it at
/// once, without waiting for a call to end.
const RESERVED_SHARE_DIVISOR: usize = 8;
/// Clients' idle connections beyond this part of all are too many.
const EXCESS_CLIENTS_DIVISOR: usize = 4;
/// Other brokers have this part of all at most, in each direction.
const MAX_PEER_RESERVE_DIVISOR: usize = 16;
/// Descriptors that clients and data nodes have in any case: one each.
const MIN_DESCRIPTORS: usize = 2;

/// Who a descriptor is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
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
pub enum OpenDecision {
    /// It may.
    Open(OpenDecisionReason),
    /// An idle connection to a data node has to be closed first; without one it waits.
    CloseIdleFirst(OpenDecisionReason),
    /// It has to wait until another one of its side is closed.
    Wait(OpenDecisionReason),
}

/// The rule that led to a verdict, with its figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenDecisionReason {
    /// It is within the share of its side.
    WithinShare {
        /// Descriptors that the side has open.
        open: usize,
        /// Descriptors that it may have.
        share: usize,
    },
    /// It is beyond the share, of what clients leave unused.
    Lent {
        /// Descriptors that data nodes have open beyond their share.
        open: usize,
        /// Descriptors that may be lent to them.
        lendable: usize,
    },
    /// The share is used up.
    ShareFull {
        /// Descriptors that the side has open.
        open: usize,
        /// Descriptors that it may have.
        share: usize,
    },
    /// The other side has open what it has borrowed.
    Borrowed {
        /// Descriptors that clients and data nodes have open together.
        open: usize,
        /// Descriptors that there are for both.
        total: usize,
    },
    /// The system gives this process no more.
    SystemLimit,
}

impl fmt::Display for OpenDecisionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenDecisionReason::WithinShare { open, share } => {
                write!(f, "{open} of {share} descriptors are in use")
            }
            OpenDecisionReason::Lent { open, lendable } => write!(
                f,
                "{open} of {lendable} descriptors that clients leave are in use"
            ),
            OpenDecisionReason::ShareFull { open, share } => {
                write!(f, "all {share} descriptors are in use, {open} of them")
            }
            OpenDecisionReason::Borrowed { open, total } => {
                write!(f, "{open} of {total} descriptors are in use, some lent")
            }
            OpenDecisionReason::SystemLimit => f.write_str("the system gives no more descriptors"),
        }
    }
}

impl fmt::Display for OpenDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (OpenDecision::Open(reason)
        | OpenDecision::CloseIdleFirst(reason)
        | OpenDecision::Wait(reason)) = self;
        reason.fmt(f)
    }
}

/// The descriptors of a process: how many each side has open, and how many it may have.
#[derive(Clone, Debug)]
pub struct DescriptorShares {
    /// For clients and data nodes together.
    total: usize,
    /// The same while this is the broker's only process.
    single_process_total: usize,
    /// Data nodes that are listed.
    listed_nodes: usize,
    open_clients: usize,
    open_nodes: usize,
    open_discovery: usize,
    /// Set aside for other brokers in each direction.
    peer_reserve: usize,
    open_inbound_peers: usize,
    open_outbound_peers: usize,
}

impl DescriptorShares {
    /// Shares of `descriptors`, those of discovery among them.
    #[must_use]
    pub fn new(descriptors: usize) -> DescriptorShares {
        let total = descriptors
            .saturating_sub(DISCOVERY_RESERVE)
            .max(MIN_DESCRIPTORS);
        DescriptorShares {
            total,
            single_process_total: total,
            listed_nodes: 0,
            open_clients: 0,
            open_nodes: 0,
            open_discovery: 0,
            peer_reserve: 0,
            open_inbound_peers: 0,
            open_outbound_peers: 0,
        }
    }

    /// Brokers talk: so many descriptors in each direction are set aside for that, at most a
    /// sixteenth of all.
    pub fn reserve_for_peers(&mut self, each: usize) {
        let each = each.min(self.total / MAX_PEER_RESERVE_DIVISOR).max(1);
        self.peer_reserve = each;
        self.total -= 2 * each;
        self.single_process_total -= 2 * each;
    }

    /// So many processes of this broker run side by side now: each has its part. What is open
    /// beyond it goes as it falls idle.
    pub fn set_process_count(&mut self, processes: u32) {
        self.total = (self.single_process_total / processes.max(1) as usize).max(MIN_DESCRIPTORS);
    }

    /// So many data nodes are listed now, of all services.
    pub fn set_listed_nodes(&mut self, nodes: usize) {
        self.listed_nodes = nodes;
    }

    /// A connection was opened.
    pub fn on_opened(&mut self, side: ConnectionKind) {
        *self.open_count_mut(side) += 1;
    }

    /// A connection was closed.
    pub fn on_closed(&mut self, side: ConnectionKind) {
        let count = self.open_count_mut(side);
        debug_assert!(*count > 0, "each descriptor is given back once");
        *count = count.saturating_sub(1);
    }

    fn open_count_mut(&mut self, side: ConnectionKind) -> &mut usize {
        match side {
            ConnectionKind::Clients => &mut self.open_clients,
            ConnectionKind::Nodes => &mut self.open_nodes,
            ConnectionKind::Discovery => &mut self.open_discovery,
            ConnectionKind::InboundPeers => &mut self.open_inbound_peers,
            ConnectionKind::OutboundPeers => &mut self.open_outbound_peers,
        }
    }

    /// What is set aside for data nodes: what they need, but half of all at most; a quarter of all
    /// where they can use it (before any is listed it is not known that they can't).
    #[must_use]
    pub fn node_share(&self) -> usize {
        let usable = if self.listed_nodes == 0 {
            usize::MAX
        } else {
            self.listed_nodes.saturating_mul(MAX_CONNECTIONS_PER_NODE)
        };
        needed_by(self.listed_nodes)
            .max(self.total / MIN_NODE_SHARE_DIVISOR)
            .min(usable)
            .clamp(1, self.total / MAX_NODE_SHARE_DIVISOR)
    }

    /// What clients may have open.
    #[must_use]
    pub fn client_share(&self) -> usize {
        self.total - self.node_share()
    }

    /// What data nodes may have open beyond their share: what clients leave unused of theirs, but
    /// for a part of it.
    fn lendable(&self) -> usize {
        let share = self.client_share();
        let unused = share.saturating_sub(self.open_clients);
        unused.saturating_sub((share / RESERVED_SHARE_DIVISOR).max(1))
    }

    /// Whether a connection may be opened for this side.
    #[must_use]
    pub fn may_open(&self, side: ConnectionKind) -> OpenDecision {
        match side {
            ConnectionKind::Discovery => within_share(self.open_discovery, DISCOVERY_RESERVE),
            ConnectionKind::InboundPeers => {
                within_share(self.open_inbound_peers, self.peer_reserve)
            }
            ConnectionKind::OutboundPeers => {
                within_share(self.open_outbound_peers, self.peer_reserve)
            }
            ConnectionKind::Clients => self.may_open_client(),
            ConnectionKind::Nodes => self.may_open_node(),
        }
    }

    fn may_open_client(&self) -> OpenDecision {
        let (open, total) = (self.open_clients + self.open_nodes, self.total);
        match within_share(self.open_clients, self.client_share()) {
            // Data nodes have borrowed it: it is given back as it falls idle.
            OpenDecision::Open(_) if open >= total => {
                OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed { open, total })
            }
            verdict => verdict,
        }
    }

    fn may_open_node(&self) -> OpenDecision {
        let (open, total) = (self.open_clients + self.open_nodes, self.total);
        let (open_nodes, share) = (self.open_nodes, self.node_share());
        // Clients have more than their share of now, since more nodes are listed than before.
        if open >= total {
            return OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed { open, total });
        }
        if open_nodes < share {
            return within_share(open_nodes, share);
        }
        let (open, lendable) = (open_nodes - share, self.lendable());
        if open < lendable {
            return OpenDecision::Open(OpenDecisionReason::Lent { open, lendable });
        }
        OpenDecision::CloseIdleFirst(OpenDecisionReason::ShareFull {
            open: open_nodes,
            share: share + lendable,
        })
    }

    /// Connections to data nodes beyond their share, which clients that wait have a right to.
    #[must_use]
    pub fn reclaimable_connections(&self) -> usize {
        self.open_nodes.saturating_sub(self.node_share())
    }

    /// Connections that clients have open beyond a quarter of all, or beyond their share: the idle
    /// among them may go.
    #[must_use]
    pub fn excess_client_connections(&self) -> usize {
        let most = (self.total / EXCESS_CLIENTS_DIVISOR).min(self.client_share());
        self.open_clients.saturating_sub(most)
    }

    /// How many data nodes these descriptors are enough for: a connection to each can stay open,
    /// with the spare ones, whatever clients have open.
    #[must_use]
    pub fn node_capacity(&self) -> usize {
        (0..self.total)
            .take_while(|nodes| needed_by(*nodes) <= self.total / MAX_NODE_SHARE_DIVISOR)
            .count()
            .saturating_sub(1)
    }
}

/// Connections that so many data nodes need: one each, and spare ones.
fn needed_by(nodes: usize) -> usize {
    nodes + nodes / SPARE_CONNECTIONS_DIVISOR + MIN_SPARE_CONNECTIONS
}

/// The verdict of a share that lends and borrows nothing.
fn within_share(open: usize, share: usize) -> OpenDecision {
    match open < share {
        true => OpenDecision::Open(OpenDecisionReason::WithinShare { open, share }),
        false => OpenDecision::Wait(OpenDecisionReason::ShareFull { open, share }),
    }
}

#[cfg(test)]
mod tests;

//! Shares of a broker's file descriptors for clients, data nodes, discovery and other brokers.
//!
//! The crate counts the open descriptors of each kind and decides whether another one may be
//! opened. It guarantees the following:
//!
//! - Discovery always has its descriptors, even if all others are in use. The rules for drains
//!   depend on the reports of discovery.
//! - Clients never have more descriptors than their share, so that accepted queries can be served.
//! - Data nodes are never denied a connection within their share while clients are within theirs.
//!   Data nodes may also borrow descriptors that clients don't use.
//! - The total never exceeds the descriptors of the process.
//!
//! The share of data nodes depends on the number of listed data nodes: one connection for each and
//! some spare ones, but at most half of all descriptors. If the share is too small for all data
//! nodes, [`OpenDecision::CloseIdleFirst`] requires that an idle connection is closed before
//! another one is opened.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

/// Maximum number of connections to one data node. Protects descriptors and memory against a data
/// node that accepts connections and reads nothing.
pub const MAX_CONNECTIONS_PER_NODE: usize = 16;
/// Number of descriptors reserved for discovery: its connection, and a second one while the
/// connection is replaced.
pub const DISCOVERY_RESERVE: usize = 2;
/// Divisor of the number of data nodes that gives the spare connections in their share. A quarter
/// covers second connections to unresponsive or full nodes, up to an eighth of the nodes at once,
/// and another eighth for nodes that join during a release before the old ones leave.
const SPARE_CONNECTIONS_DIVISOR: usize = 4;
/// Number of spare connections in addition to that fraction, for small numbers of data nodes.
const MIN_SPARE_CONNECTIONS: usize = 8;
/// Divisor of the total that gives the minimum share of data nodes, provided that the listed nodes
/// can use that many connections.
const MIN_NODE_SHARE_DIVISOR: usize = 4;
/// Divisor of the total that gives the maximum share of data nodes.
const MAX_NODE_SHARE_DIVISOR: usize = 2;
/// Divisor of the share of clients that gives the unused descriptors that are not lent to data
/// nodes. New clients can use these without waiting for the end of a call to a data node.
const RESERVED_SHARE_DIVISOR: usize = 8;
/// Divisor of the total that gives the number of client connections above which idle ones may be
/// closed.
const EXCESS_CLIENTS_DIVISOR: usize = 4;
/// Divisor of the total that gives the maximum reserve for other brokers in each direction.
const MAX_PEER_RESERVE_DIVISOR: usize = 16;
/// Minimum number of descriptors for clients and data nodes together: one each.
const MIN_DESCRIPTORS: usize = 2;

/// The kind of peer that a descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Clients, on any listener.
    Clients,
    /// Data nodes, to which this broker forwards queries.
    Nodes,
    /// The discovery service that lists the data nodes.
    Discovery,
    /// Connections that other brokers opened, if brokers are connected to each other.
    InboundPeers,
    /// Connections that this broker opened to other brokers.
    OutboundPeers,
}

/// The decision on whether a connection may be opened, with its reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenDecision {
    /// The connection may be opened.
    Open(OpenDecisionReason),
    /// An idle connection to a data node has to be closed first. If there is none, the new
    /// connection has to wait.
    CloseIdleFirst(OpenDecisionReason),
    /// The connection has to wait until another one of its kind is closed.
    Wait(OpenDecisionReason),
}

/// The reason for an [`OpenDecision`], with the numbers of descriptors that it is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenDecisionReason {
    /// The connection is within the share of its kind.
    WithinShare {
        /// Descriptors that this kind of connection has open.
        open: usize,
        /// Descriptors that this kind of connection may have.
        share: usize,
    },
    /// The connection is beyond the share of data nodes, and uses a descriptor that clients don't
    /// use.
    Lent {
        /// Open descriptors of data nodes beyond their share.
        open: usize,
        /// Maximum number of descriptors that clients currently lend to data nodes.
        lendable: usize,
    },
    /// The share is exhausted.
    ShareFull {
        /// Descriptors that this kind of connection has open.
        open: usize,
        /// Descriptors that this kind of connection may have.
        share: usize,
    },
    /// All descriptors are open: the other kind (clients or data nodes) has more than its share.
    Borrowed {
        /// Open descriptors of clients and data nodes together.
        open: usize,
        /// Descriptors that are available to clients and data nodes together.
        total: usize,
    },
    /// The operating system gives this process no more descriptors.
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
                "{open} of {lendable} descriptors lent by clients are in use"
            ),
            OpenDecisionReason::ShareFull { open, share } => {
                write!(f, "all {share} descriptors are in use ({open} open)")
            }
            OpenDecisionReason::Borrowed { open, total } => {
                write!(
                    f,
                    "{open} of {total} descriptors are in use, including lent ones"
                )
            }
            OpenDecisionReason::SystemLimit => {
                f.write_str("the system limit on open descriptors is reached")
            }
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

/// The open descriptors of a process and the shares of each kind of connection.
#[derive(Clone, Debug)]
pub struct DescriptorShares {
    /// Descriptors for clients and data nodes together.
    total: usize,
    /// Value of `total` while this is the only process of the broker.
    single_process_total: usize,
    /// Number of data nodes that discovery lists.
    listed_nodes: usize,
    open_clients: usize,
    open_nodes: usize,
    open_discovery: usize,
    /// Descriptors reserved for other brokers, in each direction.
    peer_reserve: usize,
    open_inbound_peers: usize,
    open_outbound_peers: usize,
}

impl DescriptorShares {
    /// Creates the shares of a process with this number of descriptors, including those reserved
    /// for discovery.
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

    /// Reserves `each` descriptors in each direction for connections between brokers, but at least
    /// one and at most a sixteenth of the total.
    pub fn reserve_for_peers(&mut self, each: usize) {
        let each = each.min(self.total / MAX_PEER_RESERVE_DIVISOR).max(1);
        self.peer_reserve = each;
        self.total -= 2 * each;
        self.single_process_total -= 2 * each;
    }

    /// Divides the descriptors equally among the processes of this broker that run at the same
    /// time. Connections beyond the smaller share are closed as they become idle.
    pub fn set_process_count(&mut self, processes: u32) {
        self.total = (self.single_process_total / processes.max(1) as usize).max(MIN_DESCRIPTORS);
    }

    /// Sets the number of data nodes that are currently listed, over all services.
    pub fn set_listed_nodes(&mut self, nodes: usize) {
        self.listed_nodes = nodes;
    }

    /// Counts a connection as open.
    pub fn on_opened(&mut self, kind: ConnectionKind) {
        *self.open_count_mut(kind) += 1;
    }

    /// Counts a connection as closed.
    pub fn on_closed(&mut self, kind: ConnectionKind) {
        let count = self.open_count_mut(kind);
        debug_assert!(*count > 0, "each descriptor is released once");
        *count = count.saturating_sub(1);
    }

    fn open_count_mut(&mut self, kind: ConnectionKind) -> &mut usize {
        match kind {
            ConnectionKind::Clients => &mut self.open_clients,
            ConnectionKind::Nodes => &mut self.open_nodes,
            ConnectionKind::Discovery => &mut self.open_discovery,
            ConnectionKind::InboundPeers => &mut self.open_inbound_peers,
            ConnectionKind::OutboundPeers => &mut self.open_outbound_peers,
        }
    }

    /// Returns the share of data nodes: as many descriptors as they need, but at least a quarter
    /// and at most half of the total. The share is smaller if the listed nodes can't use a quarter.
    /// Before the first list, the nodes are assumed to use any number.
    #[must_use]
    pub fn node_share(&self) -> usize {
        let usable = if self.listed_nodes == 0 {
            usize::MAX
        } else {
            self.listed_nodes.saturating_mul(MAX_CONNECTIONS_PER_NODE)
        };
        needed_connections(self.listed_nodes)
            .max(self.total / MIN_NODE_SHARE_DIVISOR)
            .min(usable)
            .clamp(1, self.total / MAX_NODE_SHARE_DIVISOR)
    }

    /// Returns the share of clients: all descriptors that are not in the share of data nodes.
    #[must_use]
    pub fn client_share(&self) -> usize {
        self.total - self.node_share()
    }

    /// Returns the number of descriptors that data nodes may have open beyond their share: the
    /// unused descriptors of clients, without a reserve for new clients.
    fn lendable(&self) -> usize {
        let share = self.client_share();
        let unused = share.saturating_sub(self.open_clients);
        unused.saturating_sub((share / RESERVED_SHARE_DIVISOR).max(1))
    }

    /// Decides whether a connection of this kind may be opened.
    #[must_use]
    pub fn may_open(&self, kind: ConnectionKind) -> OpenDecision {
        match kind {
            ConnectionKind::Discovery => {
                decide_within_share(self.open_discovery, DISCOVERY_RESERVE)
            }
            ConnectionKind::InboundPeers => {
                decide_within_share(self.open_inbound_peers, self.peer_reserve)
            }
            ConnectionKind::OutboundPeers => {
                decide_within_share(self.open_outbound_peers, self.peer_reserve)
            }
            ConnectionKind::Clients => self.may_open_client(),
            ConnectionKind::Nodes => self.may_open_node(),
        }
    }

    fn may_open_client(&self) -> OpenDecision {
        let (open, total) = (self.open_clients + self.open_nodes, self.total);
        match decide_within_share(self.open_clients, self.client_share()) {
            // Data nodes have borrowed the descriptors, and return them as connections become idle.
            OpenDecision::Open(_) if open >= total => {
                OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed { open, total })
            }
            decision => decision,
        }
    }

    fn may_open_node(&self) -> OpenDecision {
        let (open, total) = (self.open_clients + self.open_nodes, self.total);
        let (open_nodes, share) = (self.open_nodes, self.node_share());
        // Clients can have more than their current share after more nodes were listed.
        if open >= total {
            return OpenDecision::CloseIdleFirst(OpenDecisionReason::Borrowed { open, total });
        }
        if open_nodes < share {
            return decide_within_share(open_nodes, share);
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

    /// Returns the number of connections to data nodes beyond their share, which are to be closed
    /// when idle if clients wait.
    #[must_use]
    pub fn reclaimable_connections(&self) -> usize {
        self.open_nodes.saturating_sub(self.node_share())
    }

    /// Returns the number of client connections beyond a quarter of the total or beyond their
    /// share, whichever is smaller. The caller may close as many idle ones.
    #[must_use]
    pub fn excess_client_connections(&self) -> usize {
        let limit = (self.total / EXCESS_CLIENTS_DIVISOR).min(self.client_share());
        self.open_clients.saturating_sub(limit)
    }

    /// Returns the maximum number of data nodes whose connections, including the spare ones, can
    /// all stay open regardless of the number of clients.
    #[must_use]
    pub fn node_capacity(&self) -> usize {
        (0..self.total)
            .take_while(|nodes| needed_connections(*nodes) <= self.total / MAX_NODE_SHARE_DIVISOR)
            .count()
            .saturating_sub(1)
    }
}

/// Returns the number of connections that data nodes need: one for each and the spare ones.
fn needed_connections(nodes: usize) -> usize {
    nodes + nodes / SPARE_CONNECTIONS_DIVISOR + MIN_SPARE_CONNECTIONS
}

/// Returns the decision for a share that is not lent or borrowed.
fn decide_within_share(open: usize, share: usize) -> OpenDecision {
    match open < share {
        true => OpenDecision::Open(OpenDecisionReason::WithinShare { open, share }),
        false => OpenDecision::Wait(OpenDecisionReason::ShareFull { open, share }),
    }
}

#[cfg(test)]
mod tests;

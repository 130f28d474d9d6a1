//! Routers that are connected to this machine: what each has been sent, and what it has applied.
//!
//! A router that connects receives the newest committed configuration, unless it already has it. It
//! then receives the complete table of servers and every later change. Pushes are numbered from 1
//! on each connection.

use lichenswitch_control::{CommittedConfiguration, ConfigurationPushes};
use lichenswitch_interface::Time;
use lichenswitch_messages::{ConfigurationPosition, ControlToRouter, ServerRecord};
use lichenswitch_net::ConnId;
use lichenswitch_registry::MembershipLeases;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a router without a connection stays a member, since it may be moving to another
/// control machine.
const MEMBER_LEASE: Duration = Duration::from_millis(1_000);
/// Maximum number of records in one message. A longer message would block a router's event loop.
const MAX_RECORDS_PER_MESSAGE: usize = 500;

/// A connected router.
#[derive(Clone, Debug)]
pub(super) struct Router {
    pub(super) node: String,
    pub(super) zone: String,
    process: u64,
    /// Configurations that were sent to the router and that it has applied.
    pushes: ConfigurationPushes,
    /// Number of the last push that the router has applied. It has applied all earlier ones too.
    pub(super) applied_push: u64,
}

/// The first message of a router on a connection.
#[derive(Clone, Debug)]
pub(super) struct RouterHandshake {
    pub(super) node: String,
    pub(super) zone: String,
    pub(super) process: u64,
    pub(super) configuration: Option<ConfigurationPosition>,
}

/// A message and the connection of the router that receives it.
pub(super) type RouterMessage = (ConnId, ControlToRouter);

/// The routers that are connected to this machine, and the leases of its member routers.
pub(super) struct RouterTable {
    connected: BTreeMap<ConnId, Router>,
    members: MembershipLeases,
}

impl RouterTable {
    /// Creates a table without routers.
    pub(super) fn new() -> RouterTable {
        let lease = u64::try_from(MEMBER_LEASE.as_micros()).unwrap_or(u64::MAX);
        RouterTable {
            connected: BTreeMap::new(),
            members: MembershipLeases::new(lease),
        }
    }

    /// Adds a router that has connected. Returns the first messages to send to it.
    pub(super) fn on_handshake(
        &mut self,
        now: Time,
        id: ConnId,
        handshake: RouterHandshake,
        committed: Option<&CommittedConfiguration>,
        heartbeat: ControlToRouter,
        table: &[ServerRecord],
    ) -> Vec<RouterMessage> {
        if self
            .members
            .on_renewal(now, handshake.process, &handshake.node, &handshake.zone)
        {
            log::info!(target: "control", node = handshake.node.as_str(), zone = handshake.zone.as_str(); "router connected");
        }
        let RouterHandshake {
            node,
            zone,
            process,
            configuration,
        } = handshake;
        let mut pushes = ConfigurationPushes::new(configuration);
        let messages = pushes.initial_messages(committed, heartbeat);
        self.connected.insert(
            id,
            Router {
                node,
                zone,
                process,
                pushes,
                applied_push: 0,
            },
        );
        let mut messages: Vec<RouterMessage> =
            messages.into_iter().map(|message| (id, message)).collect();
        messages.extend(self.push_servers_to(id, table, true));
        messages
    }

    /// Records that a router has applied all pushes up to a number.
    pub(super) fn on_applied(
        &mut self,
        id: ConnId,
        push: u64,
        configuration: Option<ConfigurationPosition>,
    ) {
        if let Some(router) = self.connected.get_mut(&id) {
            router.applied_push = router.applied_push.max(push);
            router.pushes.on_applied(configuration);
        }
    }

    /// Removes a router whose connection is closed. Its lease continues until it expires.
    pub(super) fn on_closed(&mut self, id: ConnId) {
        self.connected.remove(&id);
    }

    /// Renews the leases of connected routers, and removes members whose lease has expired.
    pub(super) fn tick(&mut self, now: Time) {
        for router in self.connected.values() {
            self.members
                .on_renewal(now, router.process, &router.node, &router.zone);
        }
        for member in self.members.tick(now) {
            log::info!(target: "control", node = member.node.as_str(); "router lease expired");
        }
    }

    /// Returns the number of member routers, including those without a connection whose lease has
    /// not expired.
    pub(super) fn count(&self) -> usize {
        self.members.count()
    }

    /// Returns the connections of all connected routers.
    pub(super) fn connections(&self) -> Vec<ConnId> {
        self.connected.keys().copied().collect()
    }

    /// Iterates over the connected routers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Router> {
        self.connected.values()
    }

    /// Returns the pushes of a committed configuration for the routers that lack it.
    pub(super) fn push_configuration(
        &mut self,
        committed: &CommittedConfiguration,
    ) -> Vec<RouterMessage> {
        let push = |(id, router): (&ConnId, &mut Router)| {
            Some((*id, router.pushes.prepare_push(committed)?))
        };
        self.connected.iter_mut().filter_map(push).collect()
    }

    /// Returns the pushes of changed server records for all connected routers.
    pub(super) fn push_servers(&mut self, records: &[ServerRecord]) -> Vec<RouterMessage> {
        if records.is_empty() {
            return Vec::new();
        }
        self.connections()
            .into_iter()
            .flat_map(|id| self.push_servers_to(id, records, false))
            .collect()
    }

    fn push_servers_to(
        &mut self,
        id: ConnId,
        records: &[ServerRecord],
        is_complete: bool,
    ) -> Vec<RouterMessage> {
        let Some(router) = self.connected.get_mut(&id) else {
            return Vec::new();
        };
        let mut chunks: Vec<&[ServerRecord]> = records.chunks(MAX_RECORDS_PER_MESSAGE).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let last = chunks.len() - 1;
        let message = |(index, chunk): (usize, &[ServerRecord])| {
            let (push, is_complete) = (
                router.pushes.next_push_number(),
                is_complete && index == last,
            );
            (
                id,
                ControlToRouter::Servers {
                    push,
                    records: chunk.to_vec(),
                    is_complete,
                },
            )
        };
        chunks.into_iter().enumerate().map(message).collect()
    }
}

impl Router {
    /// Returns the position of the configuration that the router last reported as applied.
    pub(super) fn configuration(&self) -> Option<ConfigurationPosition> {
        self.pushes.applied_position()
    }
}

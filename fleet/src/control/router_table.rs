//! Routers that are connected to this machine: what each has been sent, and what it has applied.
//!
//! It owns the members and their connections. It promises that a router that connects gets the
//! newest committed configuration, unless it has it, then the complete table of servers, and all
//! changes from then on. Pushes are numbered from 1 on each connection.

use lichenswitch_control::{CommittedConfiguration, ConfigurationPushes};
use lichenswitch_interface::Time;
use lichenswitch_messages::{ConfigurationPosition, ControlToRouter, ServerRecord};
use lichenswitch_net::ConnId;
use lichenswitch_registry::MembershipLeases;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a router stays a member without a connection: it may be changing to another control
/// machine.
const MEMBER_LEASE: Duration = Duration::from_millis(1_000);
/// Most records in one message, so that a long one does not block the loop of a router.
const MAX_RECORDS_PER_MESSAGE: usize = 500;

/// A connected router.
#[derive(Clone, Debug)]
pub(super) struct Router {
    pub(super) node: String,
    pub(super) zone: String,
    process: u64,
    /// What it has been sent and has applied.
    pushes: ConfigurationPushes,
    /// Number of the last push that it has applied; it has applied all before it.
    pub(super) applied_push: u64,
}

/// The first message of a router.
#[derive(Clone, Debug)]
pub(super) struct RouterHandshake {
    pub(super) node: String,
    pub(super) zone: String,
    pub(super) process: u64,
    pub(super) configuration: Option<ConfigurationPosition>,
}

/// A message, with the connection of the router that it is for.
pub(super) type RouterMessage = (ConnId, ControlToRouter);

/// The routers of this machine, and their leases as members.
pub(super) struct RouterTable {
    connected: BTreeMap<ConnId, Router>,
    members: MembershipLeases,
}

impl RouterTable {
    /// A table without routers.
    pub(super) fn new() -> RouterTable {
        let lease = u64::try_from(MEMBER_LEASE.as_micros()).unwrap_or(u64::MAX);
        RouterTable {
            connected: BTreeMap::new(),
            members: MembershipLeases::new(lease),
        }
    }

    /// A router has connected. Returns what it has to be sent first.
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

    /// A router has applied all pushes up to a number.
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

    /// A router's connection is closed. Its lease runs on.
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

    /// Number of routers that are members here.
    pub(super) fn count(&self) -> usize {
        self.members.count()
    }

    /// Connections to routers.
    pub(super) fn connections(&self) -> Vec<ConnId> {
        self.connected.keys().copied().collect()
    }

    /// All connected routers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Router> {
        self.connected.values()
    }

    /// A configuration has been committed. Returns the pushes for routers that lack it.
    pub(super) fn push_configuration(
        &mut self,
        committed: &CommittedConfiguration,
    ) -> Vec<RouterMessage> {
        let push = |(id, router): (&ConnId, &mut Router)| {
            Some((*id, router.pushes.prepare_push(committed)?))
        };
        self.connected.iter_mut().filter_map(push).collect()
    }

    /// Records of servers have changed. Returns the pushes for all routers.
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
    /// The configuration that it has in force, as it last reported.
    pub(super) fn configuration(&self) -> Option<ConfigurationPosition> {
        self.pushes.applied_position()
    }
}

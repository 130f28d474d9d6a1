//! Routers that are connected to this machine: what each has been sent, and what it has in force.
//!
//! It owns the members and their connections. It promises: a router that connects gets the newest
//! committed configuration, unless it has it, and the whole table of servers, and changes from then
//! on; all that is pushed is numbered from 1 on each connection.

use lichenswitch_control::{CommittedConfiguration, ConfigurationPushes};
use lichenswitch_interface::Time;
use lichenswitch_messages::{ConfigurationPosition, ControlToRouter, ServerRecord};
use lichenswitch_net::ConnId;
use lichenswitch_registry::MembershipLeases;
use std::collections::BTreeMap;
use std::time::Duration;

/// A router stays a member for so long without a connection: it may be on its way to another
/// control machine.
const LEASE: Duration = Duration::from_millis(1_000);
/// Records in one message. Guards the loop of a router against one long message.
const RECORDS_IN_MESSAGE: usize = 500;

/// A router.
#[derive(Clone, Debug)]
pub(super) struct Router {
    pub(super) node: String,
    pub(super) zone: String,
    process: u64,
    /// What it has been sent, and has in force.
    pushes: ConfigurationPushes,
    /// Number up to which it has applied all.
    pub(super) applied: u64,
}

/// What a router says in its first message.
#[derive(Clone, Debug)]
pub(super) struct Hello {
    pub(super) node: String,
    pub(super) zone: String,
    pub(super) process: u64,
    pub(super) configuration: Option<ConfigurationPosition>,
}

/// A message for a router.
pub(super) type Push = (ConnId, ControlToRouter);

/// The routers of this machine.
pub(super) struct Routers {
    connected: BTreeMap<ConnId, Router>,
    members: MembershipLeases,
}

impl Routers {
    pub(super) fn new() -> Routers {
        let lease = u64::try_from(LEASE.as_micros()).unwrap_or(u64::MAX);
        Routers {
            connected: BTreeMap::new(),
            members: MembershipLeases::new(lease),
        }
    }

    /// A router has connected. What it is to be sent first comes back.
    pub(super) fn on_hello(
        &mut self,
        now: Time,
        id: ConnId,
        hello: Hello,
        committed: Option<&CommittedConfiguration>,
        heartbeat: ControlToRouter,
        table: Vec<ServerRecord>,
    ) -> Vec<Push> {
        if self
            .members
            .on_renewal(now.0, hello.process, &hello.node, &hello.zone)
        {
            log::info!(target: "control", node = hello.node.as_str(), zone = hello.zone.as_str(); "router has connected");
        }
        let Hello {
            node,
            zone,
            process,
            configuration,
        } = hello;
        let mut pushes = ConfigurationPushes::new(configuration);
        let first = pushes.initial_messages(committed, heartbeat);
        self.connected.insert(
            id,
            Router {
                node,
                zone,
                process,
                pushes,
                applied: 0,
            },
        );
        let mut first: Vec<Push> = first.into_iter().map(|message| (id, message)).collect();
        first.extend(self.push_servers_to(id, &table, true));
        first
    }

    /// A router has applied all up to a number.
    pub(super) fn on_applied(
        &mut self,
        id: ConnId,
        push: u64,
        configuration: Option<ConfigurationPosition>,
    ) {
        if let Some(router) = self.connected.get_mut(&id) {
            router.applied = router.applied.max(push);
            router.pushes.on_applied(configuration);
        }
    }

    /// A router's connection is gone. Its lease runs on.
    pub(super) fn on_closed(&mut self, id: ConnId) {
        self.connected.remove(&id);
    }

    /// Renews the leases of all that are connected, and ends the others'.
    pub(super) fn tick(&mut self, now: Time) {
        for router in self.connected.values() {
            self.members
                .on_renewal(now.0, router.process, &router.node, &router.zone);
        }
        for member in self.members.tick(now.0) {
            log::info!(target: "control", node = member.node.as_str(); "router has gone");
        }
    }

    /// Routers that are members here.
    pub(super) fn count(&self) -> usize {
        self.members.count()
    }

    /// Connections to routers.
    pub(super) fn connections(&self) -> Vec<ConnId> {
        self.connected.keys().copied().collect()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Router> {
        self.connected.values()
    }

    /// A configuration has been committed: those that lack it get it.
    pub(super) fn push_configuration(&mut self, committed: &CommittedConfiguration) -> Vec<Push> {
        let push = |(id, router): (&ConnId, &mut Router)| {
            Some((*id, router.pushes.configuration(committed)?))
        };
        self.connected.iter_mut().filter_map(push).collect()
    }

    /// Records of servers have changed.
    pub(super) fn push_servers(&mut self, records: &[ServerRecord]) -> Vec<Push> {
        if records.is_empty() {
            return Vec::new();
        }
        self.connections()
            .into_iter()
            .flat_map(|id| self.push_servers_to(id, records, false))
            .collect()
    }

    fn push_servers_to(&mut self, id: ConnId, records: &[ServerRecord], whole: bool) -> Vec<Push> {
        let Some(router) = self.connected.get_mut(&id) else {
            return Vec::new();
        };
        let mut chunks: Vec<&[ServerRecord]> = records.chunks(RECORDS_IN_MESSAGE).collect();
        if chunks.is_empty() {
            chunks.push(&[]);
        }
        let last = chunks.len() - 1;
        let message = |(place, chunk): (usize, &[ServerRecord])| {
            let (push, whole) = (router.pushes.next_number(), whole && place == last);
            (
                id,
                ControlToRouter::Servers {
                    push,
                    records: chunk.to_vec(),
                    is_complete: whole,
                },
            )
        };
        chunks.into_iter().enumerate().map(message).collect()
    }
}

impl Router {
    /// The configuration that it has in force.
    pub(super) fn configuration(&self) -> Option<ConfigurationPosition> {
        self.pushes.applied()
    }
}

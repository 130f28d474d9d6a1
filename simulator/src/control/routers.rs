//! The routers that are connected to a control process, and what was pushed to each.

use std::collections::BTreeMap;

use lichenswitch_control::{CommittedConfiguration, ConfigurationPushes};
use lichenswitch_messages::{ConfigurationPosition, ControlToRouter, ROUTER_HEARTBEAT_MS};
use lichenswitch_replication::Time;

use crate::packet::ConnectionId;

/// Interval of heartbeats to routers, in microseconds.
const HEARTBEAT_INTERVAL_US: u64 = ROUTER_HEARTBEAT_MS * 1_000;

/// A message for a router.
pub(super) type Push = (ConnectionId, ControlToRouter);

/// The routers of this machine.
#[derive(Debug, Default)]
pub(super) struct Routers {
    connected: BTreeMap<ConnectionId, ConfigurationPushes>,
    /// What the last heartbeats reported.
    reported_contact: bool,
    heartbeat_at: Time,
}

impl Routers {
    /// A router has connected.
    pub(super) fn on_hello(
        &mut self,
        id: ConnectionId,
        applied: Option<ConfigurationPosition>,
        in_contact: bool,
        committed: Option<&CommittedConfiguration>,
    ) -> Vec<Push> {
        self.connected.insert(id, ConfigurationPushes::new(applied));
        let heartbeat = self.heartbeat(in_contact);
        let first = self
            .connected
            .get_mut(&id)
            .map(|pushes| pushes.initial_messages(committed, heartbeat));
        first
            .into_iter()
            .flatten()
            .map(|message| (id, message))
            .collect()
    }

    /// A router has closed its connection.
    pub(super) fn on_closed(&mut self, id: ConnectionId) {
        self.connected.remove(&id);
    }

    /// Connections that are open.
    pub(super) fn connections(&self) -> Vec<ConnectionId> {
        self.connected.keys().copied().collect()
    }

    /// Heartbeats that are due: at their time, or because contact has changed.
    pub(super) fn tick(&mut self, now: Time, in_contact: bool) -> Vec<Push> {
        if now < self.heartbeat_at && in_contact == self.reported_contact {
            return Vec::new();
        }
        self.heartbeat_at = now.after(HEARTBEAT_INTERVAL_US);
        self.reported_contact = in_contact;
        self.connections()
            .into_iter()
            .map(|id| (id, self.heartbeat(in_contact)))
            .collect()
    }

    fn heartbeat(&self, in_contact: bool) -> ControlToRouter {
        let routers = self.connected.len() as u32;
        ControlToRouter::Heartbeat {
            in_contact,
            control_addresses: Vec::new(),
            router_count: routers,
        }
    }

    /// A configuration has been committed: the pushes to the routers that lack it.
    pub(super) fn push(&mut self, committed: &CommittedConfiguration) -> Vec<Push> {
        let push = |(id, pushes): (&ConnectionId, &mut ConfigurationPushes)| {
            Some((*id, pushes.prepare_push(committed)?))
        };
        self.connected.iter_mut().filter_map(push).collect()
    }

    /// When heartbeats are due next; none without a router.
    pub(super) fn next_wake(&self) -> Option<Time> {
        (!self.connected.is_empty()).then_some(self.heartbeat_at)
    }
}

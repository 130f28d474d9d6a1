//! Routers that are connected to this machine, and what each has been sent.

use std::collections::BTreeMap;

use lichenswitch_messages::{ConfigurationPosition, ControlToRouter, ROUTER_HEARTBEAT_MS};
use lichenswitch_replication::{Position, Time};

use crate::packet::ConnectionId;

const HEARTBEAT: u64 = ROUTER_HEARTBEAT_MS * 1_000;

/// A committed configuration, to be pushed.
#[derive(Clone, Debug)]
pub(super) struct Committed {
    pub(super) position: ConfigurationPosition,
    pub(super) version: u64,
    pub(super) document: Vec<u8>,
}

#[derive(Debug)]
struct Router {
    pushed: u64,
    sent_version: Option<u64>,
    holds: Option<ConfigurationPosition>,
}

/// A message for a router.
pub(super) type Push = (ConnectionId, ControlToRouter);

/// The routers of this machine.
#[derive(Debug, Default)]
pub(super) struct Routers {
    connected: BTreeMap<ConnectionId, Router>,
    told_contact: bool,
    heartbeat_at: Time,
}

impl Routers {
    /// A router has connected.
    pub(super) fn on_hello(
        &mut self,
        id: ConnectionId,
        holds: Option<ConfigurationPosition>,
        in_contact: bool,
        committed: Option<&Committed>,
    ) -> Vec<Push> {
        self.connected.insert(id, Router { pushed: 0, sent_version: None, holds });
        let mut pushes = vec![(id, self.heartbeat(in_contact))];
        pushes.extend(self.push_to(id, committed));
        pushes
    }

    /// A router's connection is gone.
    pub(super) fn on_closed(&mut self, id: ConnectionId) {
        self.connected.remove(&id);
    }

    /// Connections that are open.
    pub(super) fn connections(&self) -> Vec<ConnectionId> {
        self.connected.keys().copied().collect()
    }

    /// Heartbeats that are due: at their time, or because contact has changed.
    pub(super) fn tick(&mut self, now: Time, in_contact: bool) -> Vec<Push> {
        if now < self.heartbeat_at && in_contact == self.told_contact {
            return Vec::new();
        }
        self.heartbeat_at = now.after(HEARTBEAT);
        self.told_contact = in_contact;
        self.connections().into_iter().map(|id| (id, self.heartbeat(in_contact))).collect()
    }

    fn heartbeat(&self, in_contact: bool) -> ControlToRouter {
        let routers = self.connected.len() as u32;
        ControlToRouter::Heartbeat { in_contact, control: Vec::new(), routers }
    }

    /// A configuration has been committed: those that lack it get it.
    pub(super) fn push(&mut self, committed: &Committed) -> Vec<Push> {
        self.connections().into_iter().filter_map(|id| self.push_to(id, Some(committed))).collect()
    }

    fn push_to(&mut self, id: ConnectionId, committed: Option<&Committed>) -> Option<Push> {
        let (router, committed) = (self.connected.get_mut(&id)?, committed?);
        let holds = router.holds.is_some_and(|position| position >= committed.position);
        if holds || router.sent_version.is_some_and(|sent| sent >= committed.version) {
            return None;
        }
        router.sent_version = Some(committed.version);
        router.pushed += 1;
        let (push, position, document) = (router.pushed, committed.position, committed.document.clone());
        Some((id, ControlToRouter::Configuration { push, position, document }))
    }

    pub(super) fn next_wake(&self) -> Option<Time> {
        (!self.connected.is_empty()).then_some(self.heartbeat_at)
    }
}

/// A position, as routers know it.
pub(super) fn position_of(position: Position) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: position.epoch.counter,
        primary: position.epoch.primary.0,
        number: position.number,
    }
}

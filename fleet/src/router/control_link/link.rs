//! The state of the link: which configuration was applied, which one is pending, and the connection.
//!
//! It promises: one connection at a time; another control machine as soon as this one is silent or
//! without contact for [`CONTROL_IDLE_TIMEOUT_US`](super::connection::CONTROL_IDLE_TIMEOUT_US); the highest position that was applied is never gone back on;
//! what is applied is acknowledged. While all control is away it keeps trying, and what has been
//! applied stands.

use super::candidates::ControlCandidates;
use super::connection::{ControlConnection, ControlMessage, RouterIdentity};
use crate::envelopes;
use crate::router::reactor::{Net, SocketOwner, Timer};
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::{
    BacklogReport, ConfigurationPosition, ControlToRouter, RouterToControl, ServerRecord,
    TenantMessage,
};
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// After this long without any configuration, one of a control machine without contact is accepted
/// (microseconds).
const UNCONFIRMED_WAIT_US: Micros = 3_000_000;

/// Bytes read ahead of a control machine.
const READ_AHEAD_BYTES: usize = 256 * 1_024;

/// An update from control.
#[derive(Debug)]
pub(crate) enum ControlUpdate {
    /// A configuration to be applied, if its position is above that of the active one.
    Configuration(ConfigurationPosition, Vec<u8>),
    /// Records of servers, to be merged.
    Servers(Vec<ServerRecord>),
    /// The number of routers that are members.
    Routers(u32),
    /// A message about tenants.
    Tenant(TenantMessage),
    /// Backlogs of servers.
    Backlog(BacklogReport),
}

/// The link to one control machine at a time.
pub(crate) struct ControlLink {
    identity: RouterIdentity,
    candidates: ControlCandidates,
    /// Control machines that are reached at another address, by their own.
    forwarders: BTreeMap<SocketAddr, SocketAddr>,
    rng: fastrand::Rng,
    connection: Option<ControlConnection>,
    started_at: Time,
    /// The position of the active configuration.
    applied: Option<ConfigurationPosition>,
    /// A newer one from a control machine without contact, kept until one with contact confirms it.
    unconfirmed: Option<PendingConfiguration>,
    /// When the next check is due.
    check_at: Option<Time>,
    /// A connection was dropped since [`ControlLink::take_connection_lost`].
    was_connection_lost: bool,
}

/// A configuration that waits to be accepted.
pub(crate) struct PendingConfiguration {
    /// The connection on which it came.
    connection: ConnId,
    position: ConfigurationPosition,
    document: Vec<u8>,
}

impl ControlLink {
    /// The same link, with these forwarders.
    #[must_use]
    pub(crate) fn with_forwarders(
        self,
        forwarders: BTreeMap<SocketAddr, SocketAddr>,
    ) -> ControlLink {
        ControlLink { forwarders, ..self }
    }

    /// A link that is not connected yet.
    #[must_use]
    pub(crate) fn new(
        now: Time,
        identity: RouterIdentity,
        candidates: ControlCandidates,
    ) -> ControlLink {
        ControlLink {
            rng: fastrand::Rng::with_seed(identity.process),
            identity,
            candidates,
            forwarders: BTreeMap::new(),
            connection: None,
            started_at: now,
            applied: None,
            unconfirmed: None,
            check_at: None,
            was_connection_lost: false,
        }
    }

    /// Sets the seeds that the settings name.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.candidates.set_seeds(seeds);
    }

    /// The configuration of this position is active now.
    pub(crate) fn on_applied(&mut self, position: ConfigurationPosition) {
        self.applied = Some(position);
        self.unconfirmed = None;
    }

    /// Checks the link: connects, drops a connection that has timed out, or accepts a configuration
    /// that has waited for long enough.
    pub(crate) fn check(&mut self, net: &mut Net) -> Vec<ControlUpdate> {
        let now = net.clock.now();
        if self.check_at.is_some_and(|at| at <= now) {
            self.check_at = None;
        }
        let mut updates = Vec::new();
        if let Some(id) = self.expired_connection(now) {
            // What came while this process was busy is no silence.
            updates = self.read(net, id);
        }
        if self.expired_connection(now).is_some() {
            self.drop_connection(net);
        }
        if self.connection.is_none() {
            self.connect(net);
        }
        updates.extend(self.take_unconfirmed(now));
        self.schedule_check(net, now);
        updates
    }

    /// The connection, if its deadline has passed.
    fn expired_connection(&self, now: Time) -> Option<ConnId> {
        self.connection
            .as_ref()
            .filter(|connection| connection.deadline() <= now)
            .map(|connection| connection.id)
    }

    /// Handles a connection that can be read or written; returns the updates that have come.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId) -> Vec<ControlUpdate> {
        if self.connection.as_ref().is_none_or(|of| of.id != id) {
            net.close(id);
            return Vec::new();
        }
        let mut updates = self.read(net, id);
        if self.connection.is_none() {
            updates.extend(self.check(net));
        }
        updates
    }

    /// Reads what has come on the connection, and drops it if it broke; returns the updates.
    fn read(&mut self, net: &mut Net, id: ConnId) -> Vec<ControlUpdate> {
        let Some(connection) = &mut self.connection else {
            return Vec::new();
        };
        let progress = net.transfer(id, READ_AHEAD_BYTES);
        let mut updates = Vec::new();
        let mut is_sound = progress == TransferProgress::Alive
            && connection.send_handshake(net, &self.identity, self.applied);
        if is_sound {
            let now = net.clock.now();
            match connection.read(net, now) {
                Ok(messages) => messages
                    .into_iter()
                    .for_each(|message| self.handle_message(now, message, &mut updates)),
                Err(error) => {
                    log::warn!(address:% = self.address(); "control machine: {error}");
                    is_sound = false;
                }
            }
        }
        if !is_sound || net.get(id).is_none_or(|conn| conn.ended) {
            self.drop_connection(net);
        }
        updates
    }

    /// Acknowledges the pushes that have come. Called once their updates have been applied.
    pub(crate) fn acknowledge(&mut self, net: &mut Net) {
        let applied = self.applied;
        let Some(connection) = self
            .connection
            .as_mut()
            .filter(|connection| connection.last_push > connection.last_acknowledged_push)
        else {
            return;
        };
        connection.last_acknowledged_push = connection.last_push;
        let acknowledgement = RouterToControl::Applied {
            push: connection.last_push,
            configuration: applied,
        };
        if !connection.send(net, acknowledgement) {
            self.drop_connection(net);
        }
    }

    /// Whether a connection was dropped since the last call: requests sent on it get no response.
    pub(crate) fn take_connection_lost(&mut self) -> bool {
        std::mem::take(&mut self.was_connection_lost)
    }

    /// Whether a control machine is connected, and the handshake was sent.
    #[must_use]
    pub(crate) fn is_handshake_sent(&self) -> bool {
        self.connection
            .as_ref()
            .is_some_and(|connection| connection.is_handshake_sent)
    }

    /// Sends a message about tenants to the control machine that is connected.
    pub(crate) fn send_tenant_message(&mut self, net: &mut Net, message: &TenantMessage) {
        let Some(connection) = &self.connection else {
            return;
        };
        let sent = envelopes::encode_tenant_message(message)
            .is_ok_and(|bytes| connection.send_bytes(net, &bytes));
        if !sent {
            self.drop_connection(net);
        }
    }

    /// Sends a report of backlogs to the control machine that is connected.
    pub(crate) fn send_backlog_report(&mut self, net: &mut Net, report: &BacklogReport) {
        let Some(connection) = &self.connection else {
            return;
        };
        let sent = envelopes::encode_backlog_report(report)
            .is_ok_and(|bytes| connection.send_bytes(net, &bytes));
        if !sent {
            self.drop_connection(net);
        }
    }

    /// Whether the configuration of this position, or a later one, is active.
    #[must_use]
    pub(crate) fn has_applied(&self, position: ConfigurationPosition) -> bool {
        self.applied.is_some_and(|applied| applied >= position)
    }

    fn address(&self) -> String {
        self.connection
            .as_ref()
            .map_or_else(String::new, |connection| connection.address.to_string())
    }

    fn handle_message(
        &mut self,
        now: Time,
        message: ControlMessage,
        updates: &mut Vec<ControlUpdate>,
    ) {
        match message {
            ControlMessage::Control(message) => self.handle_control_message(now, message, updates),
            ControlMessage::Tenant(message) => updates.push(ControlUpdate::Tenant(message)),
            ControlMessage::Backlog(report) => updates.push(ControlUpdate::Backlog(report)),
        }
    }

    fn handle_control_message(
        &mut self,
        now: Time,
        message: ControlToRouter,
        updates: &mut Vec<ControlUpdate>,
    ) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        match message {
            ControlToRouter::Heartbeat {
                in_contact,
                control_addresses,
                router_count,
            } => {
                self.on_control_heartbeat(now, in_contact, &control_addresses);
                updates.push(ControlUpdate::Routers(router_count));
                updates.extend(self.take_unconfirmed(now));
            }
            ControlToRouter::Configuration {
                push,
                position,
                document,
            } => {
                connection.last_push = connection.last_push.max(push);
                let offer = PendingConfiguration {
                    connection: connection.id,
                    position,
                    document,
                };
                updates.extend(self.offer_configuration(now, offer));
            }
            ControlToRouter::Servers {
                push,
                records,
                is_complete: _,
            } => {
                connection.last_push = connection.last_push.max(push);
                updates.push(ControlUpdate::Servers(records));
            }
        }
    }

    /// The control machine tells whether it is in contact with the group, and which others there are.
    fn on_control_heartbeat(&mut self, now: Time, in_contact: bool, control_addresses: &[String]) {
        let Some(connection) = &mut self.connection else {
            return;
        };
        connection.reported_contact = Some(in_contact);
        if in_contact {
            connection.last_contact_at = Some(now);
            self.candidates.on_useful(connection.address);
        }
        let addresses = control_addresses
            .iter()
            .filter_map(|address| address.parse().ok());
        self.candidates.on_advertised(addresses.collect());
    }

    /// Keeps a configuration that is newer than the active one, unless a still newer one is kept;
    /// returns it if it is accepted at once.
    fn offer_configuration(
        &mut self,
        now: Time,
        offer: PendingConfiguration,
    ) -> Option<ControlUpdate> {
        if self
            .applied
            .is_some_and(|applied| applied >= offer.position)
        {
            return None;
        }
        let is_older = self
            .unconfirmed
            .as_ref()
            .is_some_and(|kept| kept.position > offer.position);
        if !is_older {
            self.unconfirmed = Some(offer);
        }
        self.take_unconfirmed(now)
    }

    /// A pending configuration is accepted once its sender is in contact, once another is active
    /// already (it is committed, and newer), or once a router without any has waited for long
    /// enough.
    fn take_unconfirmed(&mut self, now: Time) -> Option<ControlUpdate> {
        let in_contact = self
            .connection
            .as_ref()
            .filter(|connection| connection.is_in_contact())
            .map(|connection| connection.id);
        let has_waited = now.since(self.started_at) >= UNCONFIRMED_WAIT_US;
        let is_accepted = has_waited || self.applied.is_some();
        // Contact confirms only what came from the same machine: another one may have been
        // partitioned for long.
        let offer = self
            .unconfirmed
            .take_if(|offer| is_accepted || in_contact == Some(offer.connection))?;
        Some(ControlUpdate::Configuration(offer.position, offer.document))
    }

    /// Connects to the next candidate.
    fn connect(&mut self, net: &mut Net) {
        let now = net.clock.now();
        // Candidates that refuse at once are skipped in the same check; each one backs off then, so
        // this loop ends.
        while let Ok(address) = self.candidates.next(now, self.rng.u64(..)) {
            let reachable_address = self.forwarders.get(&address).copied().unwrap_or(address);
            match net.connect(SocketOwner::Control, reachable_address) {
                Ok(id) => {
                    self.connection = Some(ControlConnection::new(id, address, now));
                    return;
                }
                Err(_) => self.candidates.on_failed(now, address, self.rng.u64(..)),
            }
        }
    }

    /// Drops the connection, and has another control machine tried at once.
    fn drop_connection(&mut self, net: &mut Net) {
        if let Some(connection) = self.connection.take() {
            self.candidates
                .on_failed(net.clock.now(), connection.address, self.rng.u64(..));
            net.close(connection.id);
            self.was_connection_lost = true;
        }
        let now = net.clock.now();
        self.check_at = None;
        self.schedule_check(net, now);
    }

    /// Sets the timer for the next check, unless one is set that fires before.
    fn schedule_check(&mut self, net: &mut Net, now: Time) {
        let link_due = match &self.connection {
            Some(connection) => connection.deadline(),
            None => self.candidates.next(now, 0).map_or_else(|at| at, |_| now),
        };
        let acceptance_due = self
            .unconfirmed
            .is_some()
            .then(|| self.started_at.plus(UNCONFIRMED_WAIT_US));
        let due = link_due.min(acceptance_due.unwrap_or(link_due)).max(now);
        if self.check_at.is_none_or(|at| due < at) {
            self.check_at = Some(due);
            net.wheel.set(due, Timer::ControlLink);
        }
    }
}

#[cfg(test)]
mod tests;

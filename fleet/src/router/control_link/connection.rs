//! One connection to a control machine: handshake, messages in both directions, and its deadlines.

use crate::envelopes::{self, EnvelopeError, EnvelopeReader, Incoming};
use crate::router::reactor::Net;
use lichenswitch_interface::{Micros, Time};
use lichenswitch_messages::{
    BacklogReport, ConfigurationPosition, ControlToRouter, Envelope, RouterToControl,
    TenantMessage, PROTOCOL_VERSION, ROUTER_HEARTBEAT_MS,
};
use lichenswitch_net::{ConnId, TransferProgress};
use std::net::SocketAddr;

/// After this long without a byte, or without contact to a quorum, another control machine is tried
/// (microseconds): between two and three heartbeats.
pub(crate) const CONTROL_IDLE_TIMEOUT_US: Micros = 700_000;

/// A message that takes longer than this to arrive is given up (microseconds). The longest configuration
/// takes 7 s at 10 Mbit/s.
const MESSAGE_TIMEOUT_US: Micros = 12_000_000;

/// Interval of the heartbeats of a control machine (microseconds).
const HEARTBEAT_INTERVAL_US: Micros = ROUTER_HEARTBEAT_MS * 1_000;

/// A connection that is not up after this long is dropped (microseconds): connects within a region
/// take milliseconds.
const CONNECT_TIMEOUT_US: Micros = 400_000;

/// How this router identifies itself to control machines.
#[derive(Clone, Debug)]
pub(crate) struct RouterIdentity {
    /// `nodeName`.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// A random number of this process.
    pub process: u64,
}

/// A message of a control machine.
pub(crate) enum ControlMessage {
    /// Heartbeat, configuration or servers.
    Control(ControlToRouter),
    /// About keys and quotas.
    Tenant(TenantMessage),
    /// About backlogs of servers.
    Backlog(BacklogReport),
}

/// Why a connection to a control machine can't be read on. The connection is dropped, and another
/// control machine is tried.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControlReadError {
    /// The connection broke.
    #[error("the connection broke")]
    Disconnected,
    /// A message came that is meant for another role.
    #[error("a message that is not for routers")]
    Misdirected,
    /// What came is no message.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
}

/// A connection to a control machine.
pub(crate) struct ControlConnection {
    pub id: ConnId,
    pub address: SocketAddr,
    pub reader: EnvelopeReader,
    pub is_handshake_sent: bool,
    pub opened_at: Time,
    /// When the last byte came.
    pub last_received_at: Option<Time>,
    /// When the first byte came of a message that is not complete.
    pub message_started_at: Option<Time>,
    /// When the control machine last reported that it was in contact with a quorum, or the end of a long
    /// message behind which such reports wait.
    pub last_contact_at: Option<Time>,
    /// Whether it is in contact by its last heartbeat; `None` before the first one.
    pub reported_contact: Option<bool>,
    /// Number of the last push that came.
    pub last_push: u64,
    /// Number of the last push that was acknowledged.
    pub last_acknowledged_push: u64,
}

impl ControlConnection {
    pub(super) fn new(id: ConnId, address: SocketAddr, now: Time) -> ControlConnection {
        ControlConnection {
            id,
            address,
            reader: EnvelopeReader::default(),
            is_handshake_sent: false,
            opened_at: now,
            last_received_at: None,
            message_started_at: None,
            last_contact_at: None,
            reported_contact: None,
            last_push: 0,
            last_acknowledged_push: 0,
        }
    }

    /// When it is dropped unless something comes before.
    pub(super) fn deadline(&self) -> Time {
        if !self.is_handshake_sent {
            return self.opened_at.plus(CONNECT_TIMEOUT_US);
        }
        let idle_deadline = self
            .last_received_at
            .unwrap_or(self.opened_at)
            .plus(CONTROL_IDLE_TIMEOUT_US);
        let contact_deadline = self
            .last_contact_at
            .unwrap_or(self.opened_at)
            .plus(CONTROL_IDLE_TIMEOUT_US);
        // Heartbeats wait behind a message that is being received.
        let message_deadline = self
            .message_started_at
            .filter(|_| !self.has_lost_contact())
            .map(|started_at| started_at.plus(MESSAGE_TIMEOUT_US));
        idle_deadline.min(message_deadline.unwrap_or(contact_deadline))
    }

    /// Whether its last heartbeat reported that it is in contact.
    pub(super) fn is_in_contact(&self) -> bool {
        self.reported_contact == Some(true)
    }

    fn has_lost_contact(&self) -> bool {
        self.reported_contact == Some(false)
    }

    /// Records whether a message is being received, and lets the heartbeats behind one that took long
    /// arrive.
    fn track_message(&mut self, now: Time) {
        if self.reader.is_within_message() {
            self.message_started_at.get_or_insert(now);
            return;
        }
        let has_delayed_heartbeats = self
            .message_started_at
            .take()
            .is_some_and(|started_at| now.since(started_at) >= HEARTBEAT_INTERVAL_US);
        if has_delayed_heartbeats && !self.has_lost_contact() {
            self.last_contact_at = Some(now);
        }
    }

    /// Sends the handshake once the connection is up; `false` if it broke.
    pub(super) fn send_handshake(
        &mut self,
        net: &mut Net,
        identity: &RouterIdentity,
        configuration: Option<ConfigurationPosition>,
    ) -> bool {
        if self.is_handshake_sent || net.get(self.id).is_none_or(|conn| !conn.up) {
            return true;
        }
        self.is_handshake_sent = true;
        self.opened_at = net.clock.now();
        self.send(
            net,
            RouterToControl::Hello {
                protocol_version: PROTOCOL_VERSION,
                node_name: identity.node.clone(),
                zone: identity.zone.clone(),
                process: identity.process,
                configuration,
            },
        )
    }

    /// Sends a message; `false` if the connection broke.
    pub(super) fn send(&self, net: &mut Net, message: RouterToControl) -> bool {
        envelopes::encode(&Envelope::FromRouter(message))
            .is_ok_and(|bytes| self.send_bytes(net, &bytes))
    }

    /// Sends an encoded message; `false` if the connection broke.
    pub(super) fn send_bytes(&self, net: &mut Net, bytes: &[u8]) -> bool {
        let Some(conn) = net.get_mut(self.id) else {
            return false;
        };
        conn.send(bytes);
        net.flush(self.id, false) == TransferProgress::Alive
    }

    /// Reads the messages that have come.
    ///
    /// # Errors
    /// The connection broke, or brought something that is no message for a router.
    pub(super) fn read(
        &mut self,
        net: &mut Net,
        now: Time,
    ) -> Result<Vec<ControlMessage>, ControlReadError> {
        let Some(conn) = net.get_mut(self.id) else {
            return Ok(Vec::new());
        };
        let bytes = conn.input.bytes();
        let mut messages = Vec::new();
        let used = bytes.len();
        self.reader.push(bytes);
        conn.input.consume(used);
        // Reading is paused at the read-ahead bound until this has made room.
        if net.flush(self.id, false) != TransferProgress::Alive {
            return Err(ControlReadError::Disconnected);
        }
        while let Some(incoming) = self.reader.next_message()? {
            match incoming {
                Incoming::Envelope(Envelope::ToRouter(message)) => {
                    messages.push(ControlMessage::Control(message))
                }
                Incoming::Tenant(message) => messages.push(ControlMessage::Tenant(message)),
                Incoming::Backlog(report) => messages.push(ControlMessage::Backlog(report)),
                Incoming::Envelope(Envelope::Peer(_) | Envelope::FromRouter(_)) => {
                    return Err(ControlReadError::Misdirected)
                }
            }
        }
        if used > 0 {
            self.last_received_at = Some(now);
        }
        self.track_message(now);
        Ok(messages)
    }
}

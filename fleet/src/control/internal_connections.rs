//! Connections between the processes of the fleet: their frames, and the role of the other end.
//!
//! Messages that are queued in one iteration of the event loop are written together at its end. A
//! connection whose reader stalls is closed once [`MAX_QUEUED_BYTES`] are exceeded, which bounds
//! its memory.
//!
//! A connection delivers its messages in order and without a gap, so that what was sent on it may be
//! noted as sent: one that can't be encoded closes the connection.

use super::net_program::Net;
use crate::envelopes::{
    encode, encode_backlog_report, encode_tenant_message, EnvelopeError, EnvelopeReader, Incoming,
    PAYLOAD_LIMIT_BYTES,
};
use lichenswitch_interface::Time;
use lichenswitch_messages::{BacklogReport, Envelope, TenantMessage};
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Maximum number of bytes that are buffered for reading on a connection.
const MAX_READ_AHEAD_BYTES: usize = 6 << 20;
/// Number of queued bytes from which on messages that will be repeated are dropped.
const DROP_REPEATABLE_ABOVE_BYTES: usize = 1 << 20;
/// Maximum number of queued bytes. A connection that exceeds it is closed. The longest message fits
/// while another one is being sent.
const MAX_QUEUED_BYTES: usize = 2 * PAYLOAD_LIMIT_BYTES;

/// The role of the process at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemoteRole {
    /// Not known yet, since no handshake has arrived.
    Unknown,
    /// A control machine, at this address.
    Peer(SocketAddr),
    /// A router.
    Router,
}

struct InternalConnection {
    reader: EnvelopeReader,
    remote_role: RemoteRole,
    opened_at: Time,
    /// Whether [`InternalConnections::process_ready`] has found the connection established.
    is_established: bool,
}

/// The properties of a connection that other modules use.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionInfo {
    /// Id of the connection.
    pub(super) id: ConnId,
    /// Role of the process at the other end.
    pub(super) remote_role: RemoteRole,
    /// When the connection was accepted or dialled.
    pub(super) opened_at: Time,
}

/// The connections between this process and others of the fleet.
#[derive(Default)]
pub(super) struct InternalConnections {
    connections: BTreeMap<ConnId, InternalConnection>,
    /// Connections on which bytes were queued since the last flush.
    dirty: BTreeSet<ConnId>,
    /// Connections that lack a message, since it could not be encoded.
    incomplete: BTreeSet<ConnId>,
}

/// A connection to close after a flush.
pub(super) struct FailedConnection {
    /// Id of the connection.
    pub(super) id: ConnId,
    /// Why it has to be closed.
    pub(super) reason: CloseReason,
}

/// The reason why a connection has to be closed. It appears only in the log.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// The connection is not in the table.
    #[error("unknown connection")]
    UnknownConnection,
    /// The received bytes are not a valid message.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The other end has closed the connection.
    #[error("closed by the other end")]
    EndedByPeer,
    /// The connection could not be established.
    #[error("the connection could not be established")]
    NeverConnected,
    /// Reading or writing has failed.
    #[error("reading or writing has failed")]
    Broken,
    /// The other end does not read what is sent to it.
    #[error("{0} bytes are queued")]
    QueueFull(usize),
    /// A message to the other end could not be encoded.
    #[error("a message could not be encoded")]
    MessageNotEncoded,
}

/// The messages and state changes of a connection since it was last read.
pub(super) struct ConnectionEvents {
    /// Messages that have arrived, in order.
    pub(super) messages: Vec<Incoming>,
    /// Whether the connection was established since it was last read.
    pub(super) has_connected: bool,
    /// The reason why the connection has to be closed, if it has to be.
    pub(super) close_reason: Option<CloseReason>,
}

impl InternalConnections {
    /// Adds a connection that was accepted or dialled at `now`.
    pub(super) fn insert(&mut self, id: ConnId, remote_role: RemoteRole, now: Time) {
        let connection = InternalConnection {
            reader: EnvelopeReader::default(),
            remote_role,
            opened_at: now,
            is_established: false,
        };
        self.connections.insert(id, connection);
    }

    /// Returns the role of the other end, or `None` if the connection does not exist.
    pub(super) fn remote_role(&self, id: ConnId) -> Option<RemoteRole> {
        self.connections
            .get(&id)
            .map(|connection| connection.remote_role)
    }

    /// Sets the role of the other end, once its handshake has arrived.
    pub(super) fn set_remote_role(&mut self, id: ConnId, remote_role: RemoteRole) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.remote_role = remote_role;
        }
    }

    /// Reads and writes a connection that is ready. Returns the messages and changes of state.
    pub(super) fn process_ready(&mut self, net: &mut Net, id: ConnId) -> ConnectionEvents {
        let mut events = ConnectionEvents {
            messages: Vec::new(),
            has_connected: false,
            close_reason: None,
        };
        let progress = net.transfer(id, MAX_READ_AHEAD_BYTES);
        let (Some(connection), Some(conn)) = (self.connections.get_mut(&id), net.get_mut(id))
        else {
            events.close_reason = Some(CloseReason::UnknownConnection);
            return events;
        };
        let bytes = conn.input.bytes().len();
        connection.reader.push(conn.input.bytes());
        conn.input.consume(bytes);
        loop {
            match connection.reader.next_message() {
                Ok(Some(message)) => events.messages.push(message),
                Ok(None) => break,
                Err(e) => {
                    events.close_reason = Some(e.into());
                    break;
                }
            }
        }
        events.has_connected =
            conn.up && !std::mem::replace(&mut connection.is_established, conn.up);
        match progress {
            TransferProgress::Alive if conn.ended => {
                events.close_reason = Some(CloseReason::EndedByPeer)
            }
            TransferProgress::Alive => {}
            TransferProgress::NeverConnected => {
                events.close_reason = Some(CloseReason::NeverConnected)
            }
            TransferProgress::Broken => events.close_reason = Some(CloseReason::Broken),
        }
        events
    }

    /// Encodes and queues a message.
    pub(super) fn send(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        self.send_to_all(net, &[id], envelope);
    }

    /// Encodes a message once, and queues it on several connections.
    pub(super) fn send_to_all(&mut self, net: &mut Net, ids: &[ConnId], envelope: &Envelope) {
        self.send_encoded(net, ids, encode(envelope));
    }

    /// Encodes a message about tenants and queues it.
    pub(super) fn send_tenant_message(
        &mut self,
        net: &mut Net,
        id: ConnId,
        message: &TenantMessage,
    ) {
        self.send_encoded(net, &[id], encode_tenant_message(message));
    }

    /// Encodes a backlog report once, and queues it on several connections.
    pub(super) fn send_backlog_report(
        &mut self,
        net: &mut Net,
        ids: &[ConnId],
        report: &BacklogReport,
    ) {
        self.send_encoded(net, ids, encode_backlog_report(report));
    }

    /// Queues a message that will be repeated. Drops it if [`DROP_REPEATABLE_ABOVE_BYTES`] or more
    /// are queued.
    pub(super) fn send_repeatable(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        if queued_bytes(net, id) < DROP_REPEATABLE_ABOVE_BYTES {
            self.send(net, id, envelope);
        }
    }

    /// Queues an encoded message. Ignores connections that are closed. Without the message, the
    /// connections are closed at the next flush.
    fn send_encoded(
        &mut self,
        net: &mut Net,
        ids: &[ConnId],
        encoded: Result<Vec<u8>, EnvelopeError>,
    ) {
        match encoded {
            Ok(bytes) => ids.iter().for_each(|id| self.queue(net, *id, &bytes)),
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(), receivers = ids.len();
                    "message can't be encoded");
                self.incomplete.extend(ids);
            }
        }
    }

    fn queue(&mut self, net: &mut Net, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = net.get_mut(id) {
            conn.send(bytes);
            self.dirty.insert(id);
        }
    }

    /// Writes the queued bytes. Returns the connections that have to be closed.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<FailedConnection> {
        let incomplete = std::mem::take(&mut self.incomplete);
        let dirty = std::mem::take(&mut self.dirty);
        let written = dirty.difference(&incomplete).filter_map(|id| {
            let reason = write_failure(net, *id)?;
            Some(FailedConnection { id: *id, reason })
        });
        let mut failed: Vec<FailedConnection> = written.collect();
        failed.extend(incomplete.into_iter().map(|id| FailedConnection {
            id,
            reason: CloseReason::MessageNotEncoded,
        }));
        failed
    }

    /// Iterates over all connections.
    pub(super) fn iter(&self) -> impl Iterator<Item = ConnectionInfo> + '_ {
        self.connections
            .iter()
            .map(|(id, connection)| ConnectionInfo {
                id: *id,
                remote_role: connection.remote_role,
                opened_at: connection.opened_at,
            })
    }

    /// Closes a connection. Returns the role of the other end, or `None` if it was closed already.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) -> Option<RemoteRole> {
        net.close(id);
        self.dirty.remove(&id);
        self.incomplete.remove(&id);
        self.connections
            .remove(&id)
            .map(|connection| connection.remote_role)
    }
}

/// Writes the queued bytes of a connection. Returns the reason why it has to be closed, if it has to
/// be.
fn write_failure(net: &mut Net, id: ConnId) -> Option<CloseReason> {
    if net.flush(id, false) != TransferProgress::Alive {
        return Some(CloseReason::Broken);
    }
    let queued = queued_bytes(net, id);
    (queued > MAX_QUEUED_BYTES).then_some(CloseReason::QueueFull(queued))
}

/// Returns the number of bytes that are queued on a connection and not yet written.
fn queued_bytes(net: &Net, id: ConnId) -> usize {
    let queued = net.get(id).map_or(0, |conn| conn.queued_unwritten());
    usize::try_from(queued).unwrap_or(usize::MAX)
}

#[cfg(test)]
mod tests;

//! Connections between the processes of the fleet: frames in and out, and the role of the other end.
//!
//! It promises that what is queued in one turn of the loop is written at once, and that a stalled
//! reader takes no more memory than [`MAX_QUEUED_BYTES`].

use super::net_program::Net;
use crate::envelopes::{encode, EnvelopeError, EnvelopeReader, Incoming};
use lichenswitch_interface::Time;
use lichenswitch_messages::Envelope;
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Most bytes that are read ahead on a connection.
const MAX_READ_AHEAD_BYTES: usize = 6 << 20;
/// A message that will be repeated is dropped while this many bytes are queued.
const DROP_REPEATABLE_ABOVE_BYTES: usize = 1 << 20;
/// A connection on which more bytes are queued is closed.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// The role of the process at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemoteRole {
    /// Unknown: its handshake has not arrived.
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
    /// Whether it was seen to be up.
    is_established: bool,
}

/// One connection, as seen from outside.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionInfo {
    /// Its id.
    pub(super) id: ConnId,
    /// The role of the process at its other end.
    pub(super) remote_role: RemoteRole,
    /// When it was accepted, or dialled.
    pub(super) opened_at: Time,
}

/// All connections between processes.
#[derive(Default)]
pub(super) struct InternalConnections {
    connections: BTreeMap<ConnId, InternalConnection>,
    dirty: BTreeSet<ConnId>,
}

/// Why a connection has to be closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum CloseReason {
    /// There is no such connection.
    #[error("unknown connection")]
    UnknownConnection,
    /// Bytes that are no message have arrived.
    #[error(transparent)]
    Envelope(#[from] EnvelopeError),
    /// The other end has closed it.
    #[error("the other side has ended it")]
    EndedByPeer,
    /// It could not be established.
    #[error("it never came up")]
    NeverConnected,
    /// Reading or writing has failed.
    #[error("it broke")]
    Broken,
}

/// What has happened on a connection.
pub(super) struct ConnectionEvents {
    /// Messages that have arrived, in order.
    pub(super) messages: Vec<Incoming>,
    /// Whether it has come up just now.
    pub(super) has_connected: bool,
    /// Why it has to be closed, if it has.
    pub(super) close_reason: Option<CloseReason>,
}

impl InternalConnections {
    /// Adds a connection.
    pub(super) fn insert(&mut self, id: ConnId, remote_role: RemoteRole, now: Time) {
        let connection = InternalConnection {
            reader: EnvelopeReader::default(),
            remote_role,
            opened_at: now,
            is_established: false,
        };
        self.connections.insert(id, connection);
    }

    /// The role of the other end; `None`: there is no such connection.
    pub(super) fn remote_role(&self, id: ConnId) -> Option<RemoteRole> {
        self.connections
            .get(&id)
            .map(|connection| connection.remote_role)
    }

    /// The handshake of the other end has arrived.
    pub(super) fn set_remote_role(&mut self, id: ConnId, remote_role: RemoteRole) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.remote_role = remote_role;
        }
    }

    /// A connection can be read or written.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId) -> ConnectionEvents {
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

    /// Queues a message.
    pub(super) fn send(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        match encode(envelope) {
            Ok(bytes) => self.send_bytes(net, id, &bytes),
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(); "message can't be encoded")
            }
        }
    }

    /// Queues a message that will be repeated: it is dropped while much is queued.
    pub(super) fn send_repeatable(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        if queued_bytes(net, id) < DROP_REPEATABLE_ABOVE_BYTES {
            self.send(net, id, envelope);
        }
    }

    /// Queues an encoded message.
    pub(super) fn send_bytes(&mut self, net: &mut Net, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = net.get_mut(id) {
            conn.send(bytes);
            self.dirty.insert(id);
        }
    }

    /// Writes all that was queued. Returns connections that have to be closed.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<ConnId> {
        let dirty = std::mem::take(&mut self.dirty);
        let close_reason = |id: &ConnId| {
            net.flush(*id, false) != TransferProgress::Alive
                || queued_bytes(net, *id) > MAX_QUEUED_BYTES
        };
        dirty.into_iter().filter(close_reason).collect()
    }

    /// All connections.
    pub(super) fn iter(&self) -> impl Iterator<Item = ConnectionInfo> + '_ {
        self.connections
            .iter()
            .map(|(id, connection)| ConnectionInfo {
                id: *id,
                remote_role: connection.remote_role,
                opened_at: connection.opened_at,
            })
    }

    /// Closes a connection. Returns the role of its other end.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) -> Option<RemoteRole> {
        net.close(id);
        self.dirty.remove(&id);
        self.connections
            .remove(&id)
            .map(|connection| connection.remote_role)
    }
}

/// Bytes that are queued on a connection.
fn queued_bytes(net: &mut Net, id: ConnId) -> usize {
    let Some(conn) = net.get_mut(id) else {
        return 0;
    };
    let queued = conn.send(&[]);
    usize::try_from(queued.saturating_sub(conn.written())).unwrap_or(usize::MAX)
}

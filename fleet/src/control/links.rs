//! Connections between the processes of the fleet: frames in and out, and who is at the other end.
//!
//! It promises that what is queued in one turn of the loop is written at once, and that a reader
//! that stalls costs no more memory than [`LONGEST_QUEUE`].

use super::program::Net;
use crate::envelopes::{encode, EnvelopeReader, Incoming};
use lichenswitch_interface::Time;
use lichenswitch_messages::Envelope;
use lichenswitch_net::{ConnId, TransferProgress};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Most bytes read ahead.
const CEILING: usize = 6 << 20;
/// Messages that are repeated anyway are dropped while so many bytes wait (bytes).
const DROPPED_ABOVE: usize = 1 << 20;
/// A connection on which more waits is closed (bytes).
const LONGEST_QUEUE: usize = 8 << 20;

/// Who is at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Whoever it is has not said.
    Unknown,
    /// A control machine.
    Peer(SocketAddr),
    /// A router.
    Router,
}

struct Link {
    reader: EnvelopeReader,
    end: End,
    opened: Time,
    /// It was made by this machine, and its first message is out.
    greeted: bool,
}

/// All connections between processes.
#[derive(Default)]
pub(super) struct Links {
    links: BTreeMap<ConnId, Link>,
    touched: BTreeSet<ConnId>,
}

/// What a look at a connection brought.
pub(super) struct Brought {
    pub(super) messages: Vec<Incoming>,
    /// It has come up just now.
    pub(super) up: bool,
    /// Why it is to be closed, if it is.
    pub(super) broken: Option<String>,
}

impl Links {
    pub(super) fn insert(&mut self, id: ConnId, end: End, now: Time) {
        let link = Link {
            reader: EnvelopeReader::default(),
            end,
            opened: now,
            greeted: false,
        };
        self.links.insert(id, link);
    }

    pub(super) fn end(&self, id: ConnId) -> Option<End> {
        self.links.get(&id).map(|link| link.end)
    }

    pub(super) fn set_end(&mut self, id: ConnId, end: End) {
        if let Some(link) = self.links.get_mut(&id) {
            link.end = end;
        }
    }

    /// Something can be read or written.
    pub(super) fn ready(&mut self, net: &mut Net, id: ConnId) -> Brought {
        let mut brought = Brought {
            messages: Vec::new(),
            up: false,
            broken: None,
        };
        let progress = net.transfer(id, CEILING);
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
            brought.broken = Some("unknown connection".to_owned());
            return brought;
        };
        let bytes = conn.input.bytes().len();
        link.reader.push(conn.input.bytes());
        conn.input.consume(bytes);
        loop {
            match link.reader.next_message() {
                Ok(Some(message)) => brought.messages.push(message),
                Ok(None) => break,
                Err(e) => {
                    brought.broken = Some(e.to_string());
                    break;
                }
            }
        }
        brought.up = conn.up && !std::mem::replace(&mut link.greeted, conn.up);
        match progress {
            TransferProgress::Alive if conn.ended => {
                brought.broken = Some("the other side has ended it".to_owned())
            }
            TransferProgress::Alive => {}
            TransferProgress::NeverConnected => {
                brought.broken = Some("it never came up".to_owned())
            }
            TransferProgress::Broken => brought.broken = Some("it broke".to_owned()),
        }
        brought
    }

    /// Queues a message.
    pub(super) fn send(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        match encode(envelope) {
            Ok(bytes) => self.send_bytes(net, id, &bytes),
            Err(e) => {
                log::error!(target: "control", error = e.to_string().as_str(); "a message can't be sent")
            }
        }
    }

    /// Queues a message that is repeated anyway: it is dropped while much waits.
    pub(super) fn send_repeatable(&mut self, net: &mut Net, id: ConnId, envelope: &Envelope) {
        if waiting(net, id) < DROPPED_ABOVE {
            self.send(net, id, envelope);
        }
    }

    /// Queues a message that is sent to several connections.
    pub(super) fn send_bytes(&mut self, net: &mut Net, id: ConnId, bytes: &[u8]) {
        if let Some(conn) = net.get_mut(id) {
            conn.send(bytes);
            self.touched.insert(id);
        }
    }

    /// Writes all that was queued. Tells connections that are to be closed.
    pub(super) fn flush(&mut self, net: &mut Net) -> Vec<ConnId> {
        let touched = std::mem::take(&mut self.touched);
        let broken = |id: &ConnId| {
            net.flush(*id, false) != TransferProgress::Alive || waiting(net, *id) > LONGEST_QUEUE
        };
        touched.into_iter().filter(broken).collect()
    }

    /// Connections with when they were opened, whose other end is such a one.
    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnId, End, Time)> + '_ {
        self.links
            .iter()
            .map(|(id, link)| (*id, link.end, link.opened))
    }

    /// Closes a connection. Tells who was at its other end.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) -> Option<End> {
        net.close(id);
        self.touched.remove(&id);
        self.links.remove(&id).map(|link| link.end)
    }
}

/// Bytes that wait to be written.
fn waiting(net: &mut Net, id: ConnId) -> usize {
    let Some(conn) = net.get_mut(id) else {
        return 0;
    };
    let queued = conn.send(&[]);
    usize::try_from(queued.saturating_sub(conn.written())).unwrap_or(usize::MAX)
}

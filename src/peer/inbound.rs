//! Connections that peers have opened, and what arrives on them.

use super::journal::Journal;
use super::wire::{self, Frame, WireError};
use crate::decide::failure_detector::Member;
use crate::interface::{Micros, Time};
use crate::net::{ConnId, Net, TransferProgress};
use std::collections::HashMap;

/// A peer that has connected greets, and a frame that has begun is complete, within this time
/// (microseconds).
pub(super) const FRAME_TIMEOUT: Micros = 2_000_000;
/// The most frames that are received within a window, after which reading pauses: at some 5 us for
/// each, 2,000 a second take a hundredth of a core at most.
pub(super) const MAX_FRAMES_PER_WINDOW: u32 = 200;
const WINDOW: Micros = 100_000;

/// A message of another broker.
#[derive(Clone, Debug, PartialEq)]
pub struct ReceivedMessage {
    /// The sender, by its greeting.
    pub from: Member,
    /// What it has sent.
    pub payload: Payload,
}

/// The payload of a [`ReceivedMessage`].
#[derive(Clone, Debug, PartialEq)]
pub enum Payload {
    /// The sender has opened a connection: frames on a former one may be lost.
    Greeting,
    /// A message of the failure detector.
    Swim(Vec<u8>),
    /// A message of the consensus.
    Consensus(Vec<u8>),
}

/// A connection that a peer has opened.
struct InboundPeer {
    /// The peer, once it has greeted.
    peer: Option<Member>,
    /// When its greeting or its present frame was begun.
    frame_started_at: Option<Time>,
}

/// What reading one frame led to.
enum FrameOutcome {
    Received(ReceivedMessage),
    /// There is no complete frame.
    Incomplete,
    /// The connection is gone.
    Disconnected,
    /// The frame was rejected, and the connection is closed.
    Rejected,
}

/// All connections that peers have opened.
pub(super) struct InboundPeers {
    cluster: String,
    peers: HashMap<ConnId, InboundPeer>,
    /// When the present window began, and how many frames were received in it.
    window_started_at: Time,
    frames_in_window: u32,
    /// Connections whose reading is paused until the window ends.
    paused: Vec<ConnId>,
}

impl InboundPeers {
    /// No peer has connected yet; those of other clusters are rejected.
    pub(super) fn new(now: Time, cluster: String) -> InboundPeers {
        InboundPeers {
            cluster,
            peers: HashMap::new(),
            window_started_at: now,
            frames_in_window: 0,
            paused: Vec::new(),
        }
    }

    /// When paused connections may be read again, if there are any.
    pub(super) fn resume_at(&self) -> Option<Time> {
        (!self.paused.is_empty()).then(|| self.window_started_at.plus(WINDOW))
    }

    pub(super) fn contains(&self, id: ConnId) -> bool {
        self.peers.contains_key(&id)
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Peers have connected.
    pub(super) fn on_accepted(&mut self, now: Time, ids: Vec<ConnId>) {
        self.peers.extend(ids.into_iter().map(|id| {
            let peer = InboundPeer {
                peer: None,
                frame_started_at: Some(now),
            };
            (id, peer)
        }));
    }

    /// Reads what a peer has sent.
    pub(super) fn on_readable(
        &mut self,
        net: &mut Net,
        id: ConnId,
        journal: &mut Journal,
    ) -> Vec<ReceivedMessage> {
        let (now, mut messages) = (net.clock.now(), Vec::new());
        let progress = net.transfer(id, 4 + wire::MAX_FRAME_BYTES);
        if now.since(self.window_started_at) >= WINDOW {
            (self.window_started_at, self.frames_in_window) = (now, 0);
        }
        loop {
            if self.frames_in_window >= MAX_FRAMES_PER_WINDOW {
                // Guards the core: what arrives faster waits unread, at its sender in the end.
                self.paused.push(id);
                net.flush(id, true);
                return messages;
            }
            match self.read_frame(net, id, now, journal) {
                FrameOutcome::Received(message) => messages.push(message),
                FrameOutcome::Incomplete | FrameOutcome::Disconnected => break,
                FrameOutcome::Rejected => return messages,
            }
        }
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|c| c.ended) {
            self.peers.remove(&id);
            net.close(id);
        }
        messages
    }

    fn read_frame(
        &mut self,
        net: &mut Net,
        id: ConnId,
        now: Time,
        journal: &mut Journal,
    ) -> FrameOutcome {
        let (Some(conn), Some(state)) = (net.get_mut(id), self.peers.get_mut(&id)) else {
            return FrameOutcome::Disconnected;
        };
        let (content, used) = match wire::split_frame(conn.input.bytes()) {
            Ok(Some(frame)) => frame,
            Ok(None) => {
                let is_awaited = state.peer.is_none() || !conn.input.is_empty();
                state.frame_started_at = is_awaited.then(|| state.frame_started_at.unwrap_or(now));
                return FrameOutcome::Incomplete;
            }
            Err(error) => {
                self.reject(net, id, &error.to_string(), journal);
                return FrameOutcome::Rejected;
            }
        };
        self.frames_in_window += 1;
        let read = state.read(content, &self.cluster);
        conn.input.consume(used);
        state.frame_started_at = None;
        match read {
            Ok(message) => {
                journal.stats.received += u64::from(message.payload != Payload::Greeting);
                FrameOutcome::Received(message)
            }
            Err(reason) => {
                self.reject(net, id, &reason.to_string(), journal);
                FrameOutcome::Rejected
            }
        }
    }

    /// Ends a connection that a peer has opened, and tells the reason to it and to the log.
    fn reject(&mut self, net: &mut Net, id: ConnId, reason: &str, journal: &mut Journal) {
        let Some(state) = self.peers.remove(&id) else {
            return;
        };
        let name = state
            .peer
            .map_or_else(|| "one that did not greet".into(), |peer| peer.name);
        journal
            .log
            .push(format!("peer {name}: its connection is closed: {reason}"));
        let rejection = wire::encode_frame(&Frame::Rejected(reason.into()));
        if let (Some(conn), Some(rejection)) = (net.get_mut(id), rejection) {
            conn.send(&rejection);
            // As much of it as can be sent at once: nobody waits for it.
            net.flush(id, true);
        }
        net.close(id);
    }

    /// Reads the paused connections, if the window has ended.
    pub(super) fn resume(&mut self, net: &mut Net, journal: &mut Journal) -> Vec<ReceivedMessage> {
        let mut messages = Vec::new();
        if net.clock.now().since(self.window_started_at) >= WINDOW {
            for id in std::mem::take(&mut self.paused) {
                messages.extend(self.on_readable(net, id, journal));
            }
        }
        messages
    }

    /// Rejects peers whose frames are not complete in time, and forgets connections that are gone.
    pub(super) fn close_expired(&mut self, net: &mut Net, now: Time, journal: &mut Journal) {
        let is_expired = |peer: &InboundPeer| {
            peer.frame_started_at
                .is_some_and(|at| now.since(at) >= FRAME_TIMEOUT)
        };
        let expired: Vec<ConnId> = self
            .peers
            .iter()
            .filter(|(id, peer)| is_expired(peer) && !self.paused.contains(id))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.reject(net, id, "a message that never becomes whole", journal);
        }
        self.peers.retain(|id, _| net.get(*id).is_some());
    }
}

/// Why a frame is rejected.
#[derive(Debug, thiserror::Error)]
enum Rejection {
    #[error(transparent)]
    Wire(#[from] WireError),
    /// Only the side that accepts a connection rejects.
    #[error("a message that has no place here")]
    Misplaced,
}

impl InboundPeer {
    /// Reads a frame: the greeting first, then messages.
    fn read(&mut self, content: &[u8], cluster: &str) -> Result<ReceivedMessage, Rejection> {
        let Some(from) = self.peer.clone() else {
            let greeting = wire::decode_greeting(content, cluster)?;
            self.peer = Some(greeting.from.clone());
            return Ok(ReceivedMessage {
                from: greeting.from,
                payload: Payload::Greeting,
            });
        };
        let payload = match wire::decode_frame(content)? {
            Frame::Swim(bytes) => Payload::Swim(bytes),
            Frame::Consensus(bytes) => Payload::Consensus(bytes),
            Frame::Rejected(_) => return Err(Rejection::Misplaced),
        };
        Ok(ReceivedMessage { from, payload })
    }
}

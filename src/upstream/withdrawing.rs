//! Attempts that are given up, or taken back before they leave.

use super::link::InFlightPart;
use super::{written_bytes, Pool, Wire};
use crate::net::{Net, TransferProgress};

impl<W: Wire> Pool<W> {
    /// Gives up an attempt: the node is told, unless its call never left.
    pub fn withdraw(&mut self, net: &mut Net, attempt: u64) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return self.remove_parked(attempt);
        };
        if let Some(server) = self.links.get(&id).map(|l| l.server) {
            self.mark_mute(net, server);
        }
        let (Some(link), Some(conn)) = (self.links.get_mut(&id), net.get_mut(id)) else {
            return;
        };
        if link.remove_unsent(attempt) {
            return;
        }
        let is_it = |p: &InFlightPart<W::Name>| p.attempt == attempt;
        let Some(at) = link.calls.iter().position(|c| c.parts.iter().any(is_it)) else {
            return;
        };
        let call = &mut link.calls[at];
        let Some(index) = call.parts.iter().position(is_it) else {
            return;
        };
        let part = call.parts.remove(index).part;
        let is_empty = call.parts.is_empty();
        let is_partly_written = call.end > conn.written();
        if is_empty {
            link.calls.remove(at);
        }
        // A call whose last byte has not left has not begun at the node, and with the connection's
        // end it never does.
        if is_empty && is_partly_written && link.is_idle() {
            link.remember(part);
            return self.close_broken(net, id);
        }
        let cancel = self.wire.encode_cancel(&part);
        link.remember_unsuccessful(part.clone());
        link.remember(part);
        let Some(bytes) = cancel.filter(|_| !(link.is_mute && link.is_idle())) else {
            return self.close_broken(net, id);
        };
        conn.send(&bytes);
        if net.flush(id, false) != TransferProgress::Alive {
            self.close_broken(net, id);
        }
    }

    /// Takes back an attempt that has not left; `false`: its call has been written completely, or
    /// there is no such attempt. What shares its call goes on.
    pub fn recall(&mut self, net: &mut Net, attempt: u64) -> bool {
        let Some(&id) = self.attempts.get(&attempt) else {
            let was_parked = self.is_parked(attempt);
            self.remove_parked(attempt);
            return was_parked;
        };
        let written = written_bytes(net, id);
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        if link.remove_unsent(attempt) {
            self.attempts.remove(&attempt);
            return true;
        }
        // The node has a part of its bytes: only the connection's end keeps the rest from it, where
        // nothing else is in flight.
        let is_only =
            matches!(&link.calls[..], [only] if only.end > written && only.parts.len() == 1);
        if !is_only || !link.waiting.is_empty() {
            return false;
        }
        link.calls.clear();
        self.attempts.remove(&attempt);
        self.close_broken(net, id);
        true
    }

    /// Takes a part out of those that wait for a descriptor.
    pub(super) fn remove_parked(&mut self, attempt: u64) {
        self.parked
            .iter_mut()
            .for_each(|call| call.parts.retain(|p| p.attempt != attempt));
        self.parked.retain(|call| !call.parts.is_empty());
    }

    /// Whether an attempt still waits for a descriptor.
    #[must_use]
    pub fn is_parked(&self, attempt: u64) -> bool {
        self.parked
            .iter()
            .flat_map(|call| &call.parts)
            .any(|p| p.attempt == attempt)
    }
}

//! Attempts that are given up, or taken back before they leave.

use super::link::InFlightPart;
use super::{Pool, Wire};
use crate::net::{Net, TransferProgress};

impl<W: Wire> Pool<W> {
    /// Gives up an attempt: the node is told, unless its call never left.
    pub fn withdraw(&mut self, net: &mut Net, attempt: u64) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return self.unpark(attempt);
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
        let Some(i) = call.parts.iter().position(is_it) else {
            return;
        };
        let part = call.parts.remove(i).part;
        let (empty, partly) = (call.parts.is_empty(), call.end > conn.written());
        if empty {
            link.calls.remove(at);
        }
        // A call whose last byte has not left has not begun at the node, and with the connection's
        // end it never does.
        if empty && partly && link.idle() {
            link.remember(part);
            return self.broken(net, id);
        }
        let shortage_logged_at = self.wire.give_up(&part);
        link.remember(part);
        let Some(bytes) = shortage_logged_at.filter(|_| !(link.mute && link.idle())) else {
            return self.broken(net, id);
        };
        conn.send(&bytes);
        if net.flush(id, false) != TransferProgress::Alive {
            self.broken(net, id);
        }
    }

    /// Takes back an attempt that has not left; `false`: its call has been written whole, or there
    /// is none such. What shares its call goes on.
    pub fn recall(&mut self, net: &mut Net, attempt: u64) -> bool {
        let Some(&id) = self.attempts.get(&attempt) else {
            let parked = self.is_parked(attempt);
            self.unpark(attempt);
            return parked;
        };
        let written = net.get(id).map_or(0, crate::net::Conn::written);
        let Some(link) = self.links.get_mut(&id) else {
            return false;
        };
        if link.remove_unsent(attempt) {
            self.attempts.remove(&attempt);
            return true;
        }
        // The node has a part of its bytes: only the connection's end keeps the rest from it, where
        // nothing else is out.
        let alone =
            matches!(&link.calls[..], [only] if only.end > written && only.parts.len() == 1);
        if !alone || !link.waiting.is_empty() {
            return false;
        }
        link.calls.clear();
        self.attempts.remove(&attempt);
        self.broken(net, id);
        true
    }

    /// Takes a part out of those that wait for a descriptor.
    pub(super) fn unpark(&mut self, attempt: u64) {
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

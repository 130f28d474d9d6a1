//! Which connection an attempt gets: one that rests, a new one, or a place in the queue.

use super::super::program::{Net, Owner, Timer};
use super::{is_quiet, Attempt, Link, ServerConnections, State, CONNECT, FRESH, WAIT};
use lichenswitch_interface::{Outcome, ServerId};
use lichenswitch_net::{ConnId, ConnectError, TransferProgress};

impl ServerConnections {
    /// An idle connection on which this attempt may be written; the one used last, so that others
    /// fall out of use.
    pub(super) fn idle_connection(&mut self, net: &mut Net, attempt: &Attempt) -> Option<ConnId> {
        let now = net.clock.now();
        let known = self.by_server.get(&attempt.server)?;
        let idle = known.iter().filter_map(|id| match self.state(*id)? {
            State::Idle(since, until) => Some((*since, *until, *id)),
            State::Opening(_) | State::Busy(_) => None,
        });
        let (since, until, id) = idle.max_by_key(|(since, ..)| *since)?;
        let most = if attempt.idempotent {
            until
        } else {
            until.min(since.plus(FRESH))
        };
        if now >= most {
            return None;
        }
        // The server may have ended it since the last wait.
        if net.transfer(id, 1) == TransferProgress::Alive && is_quiet(net, id) {
            return Some(id);
        }
        self.close(net, id);
        None
    }

    pub(super) fn open(&mut self, net: &mut Net, attempt: Attempt) {
        let mut connected = net.connect(Owner::Server, attempt.endpoint.address);
        if matches!(connected, Err(ConnectError::NoDescriptor(_))) && self.close_any_idle(net) {
            connected = net.connect(Owner::Server, attempt.endpoint.address);
        }
        match connected {
            Ok(id) => {
                let server = attempt.server;
                self.by_attempt.insert(attempt.id, id);
                self.by_server.entry(server).or_default().push(id);
                let up = net.get(id).is_some_and(|conn| conn.up);
                let state = State::Opening(Box::new(attempt));
                self.links.insert(
                    id,
                    Link {
                        server,
                        state,
                        timer: None,
                    },
                );
                self.arm(net, id, net.clock.now().plus(CONNECT));
                if up {
                    self.opened(net, id, &TransferProgress::Alive);
                }
            }
            // This process has no descriptor for it: the server has no part in that.
            Err(ConnectError::NoDescriptor(_)) => self.fail(attempt.id, Outcome::Moot),
            Err(ConnectError::Failed(_)) => self.fail(attempt.id, Outcome::ConnectFailed),
        }
    }

    pub(super) fn wait(&mut self, net: &mut Net, attempt: Attempt) {
        net.wheel
            .set(net.clock.now().plus(WAIT), Timer::Waiting(attempt.id));
        self.waiting
            .entry(attempt.server)
            .or_default()
            .push_back(attempt);
    }

    pub(super) fn next_waiting(&mut self, server: ServerId) -> Option<Attempt> {
        let queue = self.waiting.get_mut(&server)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.waiting.remove(&server);
        }
        next
    }

    pub(super) fn close_one_idle(&mut self, net: &mut Net, server: ServerId) -> Option<()> {
        let rests = |id: &&ConnId| matches!(self.state(**id), Some(State::Idle(..)));
        let id = *self.by_server.get(&server)?.iter().find(rests)?;
        self.close(net, id);
        Some(())
    }

    /// Closes the connection that has rested for longest, to whichever server.
    pub(super) fn close_any_idle(&mut self, net: &mut Net) -> bool {
        let idle = self.links.iter().filter_map(|(id, link)| match link.state {
            State::Idle(since, _) => Some((since, *id)),
            _ => None,
        });
        let Some((_, id)) = idle.min() else {
            return false;
        };
        self.close(net, id);
        true
    }

    /// Takes a connection out of the table: the one place where it is given back. One that waits
    /// for a place gets it.
    pub(super) fn close(&mut self, net: &mut Net, id: ConnId) {
        net.close(id);
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        if let Some(known) = self.by_server.get_mut(&link.server) {
            known.retain(|other| *other != id);
            if known.is_empty() {
                self.by_server.remove(&link.server);
            }
        }
        if let Some(next) = self.next_waiting(link.server) {
            self.open(net, next);
        }
    }
}

//! The table of client connections: opens, looks after and closes them.
//!
//! [`requests`] reads what clients send, [`responses`] writes what they get. The table holds as much of
//! requests that have not arrived completely as its share of the memory allows, and closes connections
//! whose time limits have passed or whose descriptors others have a right to.

mod requests;
mod responses;

use super::session::{Session, SessionAction, SessionState, SHUTDOWN_LINGER_TIMEOUT};
use super::Front;
use crate::core::Core;
use crate::http;
use crate::interface::{Micros, QueryId};
use crate::net::{ConnId, Net, Owner, Timer, TransferProgress};
use lichenswitch_management::quiesce::QuiesceStage;
use std::collections::HashMap;

/// Most bytes held of a client's requests: a body in small chunks is larger on the wire than in
/// memory.
const MAX_BUFFERED_BYTES: usize = http::MAX_HEAD_BYTES + 2 * http::MAX_BODY_BYTES;
/// How often all connections are looked at.
const SWEEP_INTERVAL: Micros = 100_000;
/// The part of the memory that requests may take that have not arrived completely.
const PARTIAL_REQUESTS_DIVISOR: usize = 8;
/// The part of the connections that are closed at a time where others wait to be accepted.
const EVICTION_DIVISOR: usize = 8;

/// The client that waits for the answer of a query, and what the front needs to word it.
struct AwaitedReply<C> {
    conn: ConnId,
    context: C,
}

/// The connections of a front's clients.
pub struct Sessions<C> {
    open: HashMap<ConnId, Session>,
    awaited_replies: HashMap<QueryId, AwaitedReply<C>>,
    /// Most bytes held of requests that are not complete, by all processes of the broker, and how many
    /// those are.
    max_partial_bytes: usize,
    processes: u32,
    is_sweep_scheduled: bool,
    /// Connections are closed after their next answer.
    is_stopping: bool,
    /// Whether clients are sent away, and how far that has come.
    quiesce_stage: QuiesceStage,
}

impl<C> Sessions<C> {
    /// No connections yet; requests that are not complete take an eighth of `memory` bytes at most.
    #[must_use]
    pub fn new(memory: usize) -> Self {
        Sessions {
            open: HashMap::new(),
            awaited_replies: HashMap::new(),
            max_partial_bytes: memory / PARTIAL_REQUESTS_DIVISOR,
            processes: 1,
            is_sweep_scheduled: false,
            is_stopping: false,
            quiesce_stage: QuiesceStage::Serving,
        }
    }

    /// So many processes of this broker run side by side from now on.
    pub fn share_with_processes(&mut self, processes: u32) {
        self.processes = processes.max(1);
    }

    /// Most bytes held of requests that are not complete, by this process.
    fn max_partial_bytes(&self) -> usize {
        self.max_partial_bytes / self.processes as usize
    }

    /// Bytes held of requests that are not complete or not answered yet.
    fn buffered_bytes(&self, net: &Net) -> usize {
        self.open
            .keys()
            .filter_map(|id| net.get(*id))
            .map(|conn| conn.input.bytes().len())
            .sum()
    }

    /// A client has connected.
    pub fn on_connected(&mut self, net: &mut Net, id: ConnId, owner: Owner) {
        let now = net.clock.now();
        self.open.insert(id, Session::new(now));
        if !self.is_sweep_scheduled {
            self.is_sweep_scheduled = true;
            net.wheel
                .set(now.plus(SWEEP_INTERVAL), Timer::Clients(owner));
        }
    }

    /// Reads and writes what a connection is ready for.
    pub fn on_ready<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        id: ConnId,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        let was_empty = net.get(id).is_none_or(|conn| conn.input.is_empty());
        let progress = net.transfer(id, MAX_BUFFERED_BYTES);
        let now = net.clock.now();
        let Some(session) = self.open.get_mut(&id) else {
            return net.close(id);
        };
        if progress != TransferProgress::Alive || net.get(id).is_none_or(|conn| conn.ended) {
            return self.close(net, id, core);
        }
        match session.state {
            SessionState::Reading => {
                if was_empty && session.has_sent_request {
                    session.phase_started_at = now;
                }
                self.read_requests(net, id, front, core);
            }
            SessionState::Closing => self.half_close_if_flushed(net, id),
            SessionState::Lingering => self.discard_input(net, id),
            SessionState::AwaitingReply(_) => self.on_early_input(net, id),
        }
    }

    /// Looks at all connections: those whose time limits have passed are rejected or closed.
    pub fn sweep<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        owner: Owner,
        front: &F,
        core: &mut Core<F::Job>,
    ) {
        let now = net.clock.now();
        let action_of = |id: &ConnId, session: &Session| {
            net.get(*id)
                .map_or(SessionAction::Close, |conn| session.action_at(conn, now))
        };
        let actions: Vec<_> = self
            .open
            .iter()
            .map(|(id, session)| (*id, action_of(id, session)))
            .collect();
        for (id, action) in actions {
            match action {
                SessionAction::Keep => {}
                SessionAction::RejectLate => {
                    let response = front.format_malformed(408, "the request took too long");
                    self.reject_and_close(net, id, &response);
                }
                SessionAction::HalfClose => self.half_close(net, id),
                SessionAction::Close => self.close(net, id, core),
            }
        }
        // Guards usual clients, which find no place while others ask once and keep their
        // connections: clients may hold a third of the descriptors for requests, and what is idle
        // beyond a quarter goes before that. Not while the broker stops: nobody new comes, and who
        // is here may have no other broker to go to.
        let excess = if core.is_open_ended() {
            net.excess_client_connections()
        } else {
            0
        };
        self.evict(net, core, excess);
        self.is_sweep_scheduled = !self.open.is_empty();
        if self.is_sweep_scheduled {
            net.wheel
                .set(now.plus(SWEEP_INTERVAL), Timer::Clients(owner));
        }
    }

    /// Ends a connection; a query that it waits for has nobody left to answer.
    fn close<J>(&mut self, net: &mut Net, id: ConnId, core: &mut Core<J>) {
        let state = self.open.remove(&id).map(|session| session.state);
        if let Some(SessionState::AwaitingReply(query)) = state {
            self.awaited_replies.remove(&query.id);
            core.hangup(query.id);
        }
        net.close(id);
    }

    /// Makes room for those that wait to be accepted: an eighth of the connections at a time.
    pub fn evict_idle<J>(&mut self, net: &mut Net, core: &mut Core<J>) {
        self.evict(net, core, self.open.len().div_ceil(EVICTION_DIVISOR));
    }

    /// Closes so many connections without an open query, those that were of no use for longest
    /// first.
    fn evict<J>(&mut self, net: &mut Net, core: &mut Core<J>, count: usize) {
        if count == 0 {
            return;
        }
        let now = net.clock.now();
        let candidate = |(id, session): (&ConnId, &Session)| {
            Some((session.eviction_key(net.get(*id)?, now)?, *id))
        };
        let mut candidates: Vec<_> = self.open.iter().filter_map(candidate).collect();
        candidates.sort_unstable();
        for (_, id) in candidates.into_iter().take(count) {
            self.close(net, id, core);
        }
    }

    /// Sends clients away, as far as the stage says; idle connections are ended where it does.
    pub fn set_quiesce_stage<F: Front<Context = C>>(
        &mut self,
        net: &mut Net,
        stage: QuiesceStage,
        front: &mut F,
        core: &mut Core<F::Job>,
    ) {
        if std::mem::replace(&mut self.quiesce_stage, stage) != stage {
            front.on_quiesce(stage != QuiesceStage::Serving);
            core.pause_intake(stage == QuiesceStage::Rejecting);
        }
        if stage >= QuiesceStage::ClosingIdle {
            self.close_unused(net, core);
        }
        if stage == QuiesceStage::Rejecting {
            // What is still arriving would be a request of just now when it is complete.
            let response = front.format_malformed(503, "clients are sent away");
            self.reject_arriving(net, &response);
        }
    }

    /// From now on connections are closed after their answer.
    pub fn stop(&mut self) {
        self.is_stopping = true;
    }

    /// Ends connections between requests, and closes those whose clients do not end theirs soon;
    /// returns how many are left.
    pub fn close_unused<J>(&mut self, net: &mut Net, core: &mut Core<J>) -> usize {
        let now = net.clock.now();
        let is_unused = |id: &ConnId| {
            net.get(*id)
                .is_none_or(|conn| conn.input.is_empty() && conn.flushed())
        };
        let (mut idle, mut expired) = (Vec::new(), Vec::new());
        for (id, session) in &self.open {
            let age = now.since(session.phase_started_at);
            match session.state {
                SessionState::Reading if is_unused(id) => idle.push(*id),
                SessionState::Lingering if age >= SHUTDOWN_LINGER_TIMEOUT => expired.push(*id),
                _ => {}
            }
        }
        idle.into_iter().for_each(|id| self.half_close(net, id));
        expired.into_iter().for_each(|id| self.close(net, id, core));
        self.open.len()
    }
}

#[cfg(test)]
mod tests;

//! One connection to a data node: its calls, from where they wait until they are answered or given
//! up.

use super::Wire;
use crate::core::Dispatch;
use crate::interface::{Micros, ServerId, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Parts that are remembered for a connection, of those that are over and of those without a success.
const MAX_REMEMBERED_PARTS: usize = 256;

/// An attempt that is in flight on a connection.
pub(super) struct InFlightPart<N> {
    pub(super) part: N,
    pub(super) attempt: u64,
}

/// One call that was written to a connection, or is being written.
pub(super) struct Call<N> {
    pub(super) sent: Time,
    /// Where its bytes end among all that are written there.
    pub(super) end: u64,
    pub(super) parts: Vec<InFlightPart<N>>,
    /// Classes of the parts that it was made of, until they are counted as written.
    pub(super) unwritten: Vec<usize>,
}

/// How far a new connection has come.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Greeting {
    Due,
    Sent,
    Done,
}

/// A connection to a data node.
pub(super) struct Link<W: Wire> {
    pub(super) server: ServerId,
    pub(super) address: SocketAddr,
    /// Calls that wait for the connection to come up or to take more. Their bytes are made only
    /// then: a part that is given up before never leaves, whatever else its call holds.
    pub(super) waiting: VecDeque<Vec<Dispatch<W::Job>>>,
    pub(super) calls: Vec<Call<W::Name>>,
    pub(super) greeting: Greeting,
    /// The last parts that were given up or answered: what still comes for them is late, not
    /// spoilt.
    pub(super) recently_completed: VecDeque<W::Name>,
    /// The last parts that ended here without a success and may be sent again: not on this
    /// connection, where a second answer to the earlier attempt would be taken for the one to the
    /// later.
    pub(super) unsuccessful: VecDeque<W::Name>,
    /// When an answer began that is not whole yet.
    pub(super) response_started_at: Option<Time>,
    /// Nothing has come on it for long though a part was in flight: it may be dead, and gets nothing new
    /// until it speaks.
    pub(super) is_mute: bool,
    /// While it was mute another connection to the node has spoken, first at this time.
    pub(super) other_active_since: Option<Time>,
}

impl<W: Wire> Link<W> {
    /// Whether it carries nothing, and nothing waits for it.
    pub(super) fn is_idle(&self) -> bool {
        self.calls.is_empty() && self.waiting.is_empty()
    }

    /// How long nothing has come on it while a part or its greeting was in flight.
    pub(super) fn time_without_response(&self, last_read_at: Time, now: Time) -> Micros {
        let greets = (self.greeting == Greeting::Sent).then_some(last_read_at);
        let since = self
            .calls
            .first()
            .map(|oldest| oldest.sent.max(last_read_at))
            .or(greets);
        since.map_or(0, |since| now.since(since))
    }

    /// Removes a part, `None` being the oldest, and returns its attempt and when it was sent.
    pub(super) fn complete_part(&mut self, part: Option<&W::Name>) -> Option<(u64, Time)> {
        let is_it = |p: &InFlightPart<W::Name>| part.is_none_or(|part| *part == p.part);
        let at = self.calls.iter().position(|c| c.parts.iter().any(is_it))?;
        let call = &mut self.calls[at];
        let completed = call.parts.remove(call.parts.iter().position(is_it)?);
        let sent = call.sent;
        if call.parts.is_empty() {
            self.calls.remove(at);
        }
        self.remember(completed.part);
        Some((completed.attempt, sent))
    }

    /// Removes a part that has not left yet; `false`: it has, or is not here.
    pub(super) fn remove_unsent(&mut self, attempt: u64) -> bool {
        let has_attempt = |call: &Vec<Dispatch<W::Job>>| call.iter().any(|p| p.attempt == attempt);
        let Some(at) = self.waiting.iter().position(has_attempt) else {
            return false;
        };
        self.waiting[at].retain(|p| p.attempt != attempt);
        if self.waiting[at].is_empty() {
            self.waiting.remove(at);
        }
        true
    }

    /// Remembers a part that is over, so that a late answer to it is recognised.
    pub(super) fn remember(&mut self, part: W::Name) {
        push_bounded(&mut self.recently_completed, part);
    }

    /// Remembers a part that ended without a success, so that it is not sent on this connection
    /// again.
    pub(super) fn remember_unsuccessful(&mut self, part: W::Name) {
        push_bounded(&mut self.unsuccessful, part);
    }

    /// Whether a part with this name ended here without a success.
    pub(super) fn has_failed(&self, part: &W::Name) -> bool {
        self.unsuccessful.contains(part)
    }
}

/// Adds a name, and drops the oldest where there are too many.
fn push_bounded<N>(names: &mut VecDeque<N>, name: N) {
    if names.len() >= MAX_REMEMBERED_PARTS {
        names.pop_front();
    }
    names.push_back(name);
}

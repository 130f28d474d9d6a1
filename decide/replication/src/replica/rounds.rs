//! The rounds of heartbeats of one primary: which were sent, which a quorum has confirmed, and which
//! requests wait for one.

use std::collections::VecDeque;

use crate::types::{RequestId, Time};

/// Most rounds whose time of sending is remembered.
const MAX_REMEMBERED_ROUNDS: usize = 64;

/// The rounds of one primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rounds {
    /// The last round that was sent.
    pub(super) current: u64,
    sent_at: VecDeque<(u64, Time)>,
    confirmed: u64,
    /// When the last round that a quorum confirmed was *sent*.
    pub(super) confirmed_at: Time,
    /// Requests, each with the first round that counts for it.
    pending: VecDeque<(RequestId, u64)>,
}

impl Rounds {
    /// The rounds of a primary that requested its votes at `elected_at`.
    pub(super) fn new(elected_at: Time) -> Self {
        Self {
            confirmed_at: elected_at,
            ..Self::default()
        }
    }

    /// Begins the next round.
    pub(super) fn begin(&mut self, now: Time) {
        self.current += 1;
        self.sent_at.push_back((self.current, now));
        if self.sent_at.len() > MAX_REMEMBERED_ROUNDS {
            self.sent_at.pop_front();
        }
    }

    /// Whether a round waits to be confirmed.
    pub(super) fn is_in_flight(&self) -> bool {
        self.confirmed < self.current
    }

    /// A quorum has confirmed this round, and so all before it.
    pub(super) fn confirm(&mut self, round: u64) {
        if round <= self.confirmed {
            return;
        }
        self.confirmed = round;
        while let Some((_, at)) = self
            .sent_at
            .front()
            .copied()
            .filter(|(sent, _)| *sent <= round)
        {
            self.confirmed_at = at;
            self.sent_at.pop_front();
        }
    }

    /// Adds a request that waits for a round from `first_round` on.
    pub(super) fn push_request(&mut self, request: RequestId, first_round: u64) {
        self.pending.push_back((request, first_round));
    }

    /// Takes the first request, if its round is confirmed.
    pub(super) fn pop_confirmed(&mut self) -> Option<RequestId> {
        let (request, first_round) = self.pending.front().copied()?;
        if first_round > self.confirmed {
            return None;
        }
        self.pending.pop_front();
        Some(request)
    }

    /// Whether requests wait for a round.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Takes all requests, confirmed or not.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_iter().map(|(request, _)| request)
    }
}

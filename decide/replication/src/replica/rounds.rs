//! The heartbeat rounds of one primary: the rounds sent, the last round that a quorum has
//! confirmed, and the requests that wait for a confirmation.

use std::collections::VecDeque;

use crate::types::{RequestId, Time};

/// Maximum number of unconfirmed rounds whose time of sending is stored.
const MAX_REMEMBERED_ROUNDS: usize = 64;

/// The heartbeat rounds of one primary, numbered from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rounds {
    /// Number of the last round that was sent; 0 before the first.
    pub(super) current: u64,
    sent_at: VecDeque<(u64, Time)>,
    confirmed: u64,
    /// Time at which the last round that a quorum has confirmed was *sent*.
    pub(super) confirmed_at: Time,
    /// Pending requests, each with the first round that may confirm it.
    pending: VecDeque<(RequestId, u64)>,
}

impl Rounds {
    /// Creates the rounds of a primary that requested its votes at `votes_requested_at`.
    pub(super) fn new(votes_requested_at: Time) -> Self {
        Self {
            confirmed_at: votes_requested_at,
            ..Self::default()
        }
    }

    /// Begins the next round and stores its time of sending.
    pub(super) fn begin(&mut self, now: Time) {
        self.current += 1;
        self.sent_at.push_back((self.current, now));
        if self.sent_at.len() > MAX_REMEMBERED_ROUNDS {
            self.sent_at.pop_front();
        }
    }

    /// Whether the last round is not confirmed yet.
    pub(super) fn is_in_flight(&self) -> bool {
        self.confirmed < self.current
    }

    /// Records that a quorum has confirmed this round, and thereby all earlier rounds.
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

    /// Adds a request that is confirmed by `first_round` or a later round.
    pub(super) fn push_request(&mut self, request: RequestId, first_round: u64) {
        self.pending.push_back((request, first_round));
    }

    /// Removes and returns the first request, if a round that confirms it is confirmed.
    pub(super) fn pop_confirmed(&mut self) -> Option<RequestId> {
        let (request, first_round) = self.pending.front().copied()?;
        if first_round > self.confirmed {
            return None;
        }
        self.pending.pop_front();
        Some(request)
    }

    /// Whether any request waits for a round.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Removes and returns all requests, confirmed or not.
    pub(super) fn take_pending(&mut self) -> impl Iterator<Item = RequestId> {
        let pending = std::mem::take(&mut self.pending);
        pending.into_iter().map(|(request, _)| request)
    }
}

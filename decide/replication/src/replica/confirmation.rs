//! Confirmation that this member is still primary: a quorum responds to a round that begins after
//! the request.
//!
//! This is Raft's `ReadIndex`: the state that is committed when the round is confirmed is at least
//! as new as the state that any member had committed when the request was made.

use std::collections::BTreeSet;

use super::primary_state::Primary;
use super::Replica;
use crate::faults::Fault;
use crate::output::{Outcome, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Identity, RequestId, Time};

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn start_confirmation(&mut self, now: Time, request: RequestId) {
        let faults = self.settings.faults;
        let in_contact = self.in_contact(now);
        let is_serving = self.is_serving();
        let Some(primary) = self.as_primary_mut() else {
            return self.complete(request, Outcome::NotPrimary);
        };
        let is_early_lease = faults.has(Fault::EarlyLease) && in_contact;
        if is_serving && (faults.has(Fault::ConfirmFromMemory) || is_early_lease) {
            return self.complete_confirmation(request);
        }
        let counts_earlier_round = faults.has(Fault::CountEarlierRound);
        let first_round = primary.rounds.current + u64::from(!counts_earlier_round);
        let is_idle = !primary.rounds.is_in_flight();
        primary.rounds.push_request(request, first_round);
        if is_idle {
            self.broadcast(now);
        }
    }

    fn complete_confirmation(&mut self, request: RequestId) {
        let position = self.committed_position();
        self.complete(request, Outcome::Confirmed(position));
    }

    /// Finds the newest round that a quorum has confirmed, and completes the requests that it
    /// confirms.
    pub(super) fn count_confirmations(&mut self, now: Time) {
        let me = self.me.identity;
        let (Some(accepted), Some(primary)) = (&self.accepted, self.as_primary()) else {
            return;
        };
        let is_confirmed = |round: u64| {
            let confirming = confirming_members(me, primary, round);
            accepted.membership.is_quorum(&confirming)
        };
        let mut rounds: BTreeSet<u64> = primary.peers.values().map(|peer| peer.round).collect();
        rounds.insert(primary.rounds.current);
        let Some(round) = rounds.into_iter().rev().find(|round| is_confirmed(*round)) else {
            return;
        };
        if let Some(primary) = self.as_primary_mut() {
            primary.rounds.confirm(round);
        }
        self.complete_confirmed_requests(now);
    }

    /// Completes the confirmed requests, and begins the next round if other requests are waiting.
    pub(super) fn complete_confirmed_requests(&mut self, now: Time) {
        if !self.is_serving() {
            return;
        }
        while let Some(request) = self
            .as_primary_mut()
            .and_then(|primary| primary.rounds.pop_confirmed())
        {
            self.complete_confirmation(request);
        }
        let Some(primary) = self.as_primary() else {
            return;
        };
        if !primary.rounds.is_in_flight() && primary.rounds.has_pending() {
            self.broadcast(now);
        }
    }

    /// Steps down if no quorum has confirmed this primary within the contact timeout. Every input
    /// calls it first, so that a process that was suspended does not act on outdated state.
    pub(super) fn step_down_without_contact(&mut self, now: Time) {
        if self.settings.faults.has(Fault::ConfirmFromMemory) {
            return;
        }
        let Some(primary) = self.as_primary() else {
            return;
        };
        let unconfirmed_us = now.since(primary.rounds.confirmed_at);
        if unconfirmed_us > self.settings.contact_timeout_us {
            self.step_down(now, StepDownReason::NoContact(unconfirmed_us));
        }
    }
}

fn confirming_members(me: Identity, primary: &Primary, round: u64) -> BTreeSet<Identity> {
    let peers = primary.peers.iter().filter(|(_, peer)| peer.round >= round);
    peers.map(|(identity, _)| *identity).chain([me]).collect()
}

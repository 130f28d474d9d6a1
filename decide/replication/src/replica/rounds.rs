//! Rounds of confirmation: a quorum says that it follows this primary, after it was asked.

use std::collections::{BTreeSet, VecDeque};

use super::primary::Primary;
use super::Replica;
use crate::faults::Fault;
use crate::output::{Outcome, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Identity, RequestId, Time};

/// Most rounds whose time of sending is remembered.
const MOST_ROUNDS: usize = 64;

/// The rounds of one primary.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Rounds {
    /// The last round that was sent.
    pub(super) current: u64,
    sent: VecDeque<(u64, Time)>,
    confirmed: u64,
    /// When the last round that a quorum confirmed was *sent*.
    pub(super) confirmed_at: Time,
    /// Requests, each with the first round that counts for it.
    waiting: VecDeque<(RequestId, u64)>,
}

impl Rounds {
    pub(super) fn new(elected: Time) -> Self {
        Self {
            confirmed_at: elected,
            ..Self::default()
        }
    }

    pub(super) fn begin(&mut self, now: Time) {
        self.current += 1;
        self.sent.push_back((self.current, now));
        if self.sent.len() > MOST_ROUNDS {
            self.sent.pop_front();
        }
    }

    fn in_flight(&self) -> bool {
        self.confirmed < self.current
    }

    fn confirm(&mut self, round: u64) {
        if round <= self.confirmed {
            return;
        }
        self.confirmed = round;
        while let Some((_, at)) = self
            .sent
            .front()
            .copied()
            .filter(|(sent, _)| *sent <= round)
        {
            self.confirmed_at = at;
            self.sent.pop_front();
        }
    }

    pub(super) fn take_waiting(&mut self) -> VecDeque<(RequestId, u64)> {
        std::mem::take(&mut self.waiting)
    }
}

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn begin_confirmation(&mut self, now: Time, request: RequestId) {
        let faults = self.settings.faults;
        let fresh = self.in_contact(now);
        let serving = self.is_serving();
        let Some(primary) = self.lead_mut() else {
            return self.settle(request, Outcome::NotPrimary);
        };
        if serving
            && (faults.has(Fault::ConfirmFromMemory) || (faults.has(Fault::EarlyLease) && fresh))
        {
            return self.confirmed(request);
        }
        let first = primary.rounds.current + u64::from(!faults.has(Fault::CountEarlierRound));
        let at_once = !primary.rounds.in_flight();
        primary.rounds.waiting.push_back((request, first));
        if at_once {
            self.broadcast(now);
        }
    }

    fn confirmed(&mut self, request: RequestId) {
        let position = self
            .committed
            .as_ref()
            .map(|(position, _)| *position)
            .unwrap_or_default();
        self.settle(request, Outcome::Confirmed(position));
    }

    /// Counts who has confirmed which round, and answers what waited for it.
    pub(super) fn count_round(&mut self, now: Time) {
        let me = self.me.identity;
        let (Some(image), Some(primary)) = (&self.image, self.lead()) else {
            return;
        };
        let quorum = |round: u64| image.membership.quorum(&confirming(me, primary, round));
        let mut rounds: BTreeSet<u64> = primary.peers.values().map(|peer| peer.round).collect();
        rounds.insert(primary.rounds.current);
        let Some(round) = rounds.into_iter().rev().find(|round| quorum(*round)) else {
            return;
        };
        if let Some(primary) = self.lead_mut() {
            primary.rounds.confirm(round);
        }
        self.answer_waiting(now);
    }

    /// Answers the requests whose round is confirmed, and begins the next round if others wait.
    pub(super) fn answer_waiting(&mut self, now: Time) {
        if !self.is_serving() {
            return;
        }
        loop {
            let Some(primary) = self.lead_mut() else {
                return;
            };
            let confirmed = primary.rounds.confirmed;
            let first = primary.rounds.waiting.front().copied();
            let Some((request, _)) = first.filter(|(_, first)| *first <= confirmed) else {
                break;
            };
            primary.rounds.waiting.pop_front();
            self.confirmed(request);
        }
        let Some(primary) = self.lead() else { return };
        let idle = !primary.rounds.in_flight();
        if idle && !primary.rounds.waiting.is_empty() {
            self.broadcast(now);
        }
    }

    /// A primary that no quorum has confirmed for too long is none: asked first of all on every
    /// call, so that one that was frozen does nothing from memory.
    pub(super) fn check_contact(&mut self, now: Time) {
        if self.settings.faults.has(Fault::ConfirmFromMemory) {
            return;
        }
        let Some(primary) = self.lead() else { return };
        let silent = now.since(primary.rounds.confirmed_at);
        if silent > self.settings.contact_timeout {
            self.step_down(now, StepDownReason::NoContact(silent));
        }
    }
}

fn confirming(me: Identity, primary: &Primary, round: u64) -> BTreeSet<Identity> {
    let peers = primary.peers.iter().filter(|(_, peer)| peer.round >= round);
    peers.map(|(identity, _)| *identity).chain([me]).collect()
}

//! Leaving the group: a primary transfers the leadership first, then the member asks to be removed.

use std::collections::BTreeSet;

use super::{Replica, Role};
use crate::message::Body;
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Time};

/// The progress of this member's departure.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Departure {
    next_request_at: Time,
    /// Whether the primary has reported that the process may stop.
    may_stop: bool,
}

impl<S: ReplicatedState> Replica<S> {
    /// Starts to leave: transfers the leadership, then requests the removal. Leaving is finished
    /// when [`Self::has_left`] returns true.
    pub fn leave(&mut self, now: Time) {
        self.step_down_without_contact(now);
        if self.departure.is_none() {
            self.departure = Some(Departure {
                next_request_at: now,
                may_stop: false,
            });
        }
        if matches!(self.role, Role::PreCandidate(_) | Role::Candidate(_)) {
            self.role = Role::Follower;
            self.incoming = None;
        }
        self.tick_leadership_transfer(now);
        self.tick_leave(now);
    }

    /// Whether the process of a leaving member may stop: the member is removed, or it cannot be
    /// removed without making the group less safe.
    #[must_use]
    pub fn has_left(&self) -> bool {
        let Some(departure) = &self.departure else {
            return false;
        };
        let is_only_voter = self
            .accepted
            .as_ref()
            .is_none_or(|accepted| accepted.membership.voters.len() == 1);
        let is_not_member = self.as_primary().is_none() && self.is_non_voter();
        departure.may_stop || is_only_voter || is_not_member
    }

    pub(super) fn tick_leave(&mut self, now: Time) {
        let interval_us = self.settings.retry_interval_us;
        if !self.is_requesting_removal() {
            return;
        }
        let Some(departure) = self
            .departure
            .as_mut()
            .filter(|departure| departure.next_request_at <= now)
        else {
            return;
        };
        departure.next_request_at = now.after(interval_us);
        for address in self.leave_request_targets(now) {
            self.send(&address, Body::LeaveRequest);
        }
    }

    fn is_requesting_removal(&self) -> bool {
        let departure = self.departure.as_ref();
        departure.is_some_and(|departure| !departure.may_stop) && self.as_primary().is_none()
    }

    /// Returns the address of the primary if it is in contact, and of all members otherwise, since
    /// a new primary sends nothing to a voter that it has removed.
    fn leave_request_targets(&self, now: Time) -> BTreeSet<String> {
        let timeout_us = self.settings.contact_timeout_us;
        let primary_in_contact = self
            .followed_primary()
            .filter(|known| now.since(known.last_contact_at) < timeout_us);
        if let Some(known) = primary_in_contact {
            return BTreeSet::from([known.member.address.clone()]);
        }
        let members = self
            .membership()
            .all()
            .filter(|member| member.identity != self.me.identity);
        members.map(|member| member.address.clone()).collect()
    }

    pub(super) fn next_leave_wake(&self) -> Option<Time> {
        let departure = self.departure.as_ref()?;
        self.is_requesting_removal()
            .then_some(departure.next_request_at)
    }

    pub(super) fn on_leave_request(&mut self, now: Time, from: &Member) {
        let has_committed_all = self
            .as_primary()
            .is_some_and(|primary| primary.is_serving && !primary.has_record_in_flight);
        let is_member = self.membership().contains(from.identity);
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        let epoch = primary.epoch;
        if let Some(peer) = primary.peers.get_mut(&from.identity) {
            peer.is_leaving = true;
        }
        if !is_member {
            // The removal is final only once its record is committed.
            if has_committed_all {
                self.send_leave_response(from, epoch, LeaveOutcome::Removed);
            }
            return;
        }
        self.write_next_and_broadcast(now);
        if self.is_removal_rejected(from.identity) {
            self.send_leave_response(from, epoch, LeaveOutcome::Retained);
        }
    }

    fn send_leave_response(&mut self, to: &Member, epoch: Epoch, outcome: LeaveOutcome) {
        let response = Body::LeaveResponse {
            epoch,
            is_removed: outcome == LeaveOutcome::Removed,
            is_retained: outcome == LeaveOutcome::Retained,
        };
        self.send(&to.address, response);
    }

    pub(super) fn on_leave_response(&mut self, from: &Member, epoch: Epoch, may_stop: bool) {
        if epoch < self.promised || from.identity != epoch.primary {
            return;
        }
        if let Some(departure) = &mut self.departure {
            departure.may_stop |= may_stop;
        }
    }
}

/// The result of a request to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaveOutcome {
    /// The committed membership no longer includes the member.
    Removed,
    /// The member stays in the membership. Its process may stop.
    Retained,
}

//! A member that leaves: it hands on the part of the primary, then asks to be removed.

use std::collections::BTreeSet;

use super::{Replica, Role};
use crate::message::Body;
use crate::output::{LeadershipTransferReason, Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Position, Time};

/// This member has asked to leave.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Departure {
    next_request_at: Time,
    /// The primary has said that it may stop.
    may_stop: bool,
}

/// The primary hands its part on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct HandOver {
    /// Whom it asked last; none if nobody can take it.
    to: Option<Member>,
    next_at: Time,
}

impl HandOver {
    /// Somebody was asked: nothing new is written.
    pub(super) fn under_way(&self) -> bool {
        self.to.is_some()
    }
}

impl<S: ReplicatedState> Replica<S> {
    /// Begins to leave: hands on the part of the primary, then asks to be removed.
    pub fn leave(&mut self, now: Time) {
        self.check_contact(now);
        if self.departure.is_none() {
            self.departure = Some(Departure {
                next_request_at: now,
                may_stop: false,
            });
        }
        if matches!(self.role, Role::Canvassing(_) | Role::Candidate(_)) {
            self.role = Role::Follower;
            self.transfer = None;
        }
        self.tick_hand_over(now);
        self.tick_leave(now);
    }

    /// Whether a member that leaves may stop: it is removed, or can't be without harm.
    pub fn has_left(&self) -> bool {
        let alone = |membership: &crate::membership::Membership| membership.voters.len() == 1;
        let nobody_else = self
            .image
            .as_ref()
            .is_none_or(|image| alone(&image.membership));
        let outside = self.lead().is_none() && self.is_outsider();
        self.departure
            .as_ref()
            .is_some_and(|departure| departure.may_stop || nobody_else || outside)
    }

    pub(super) fn tick_leave(&mut self, now: Time) {
        let interval = self.settings.retry_interval;
        let leads = self.lead().is_some();
        let Some(departure) = self
            .departure
            .as_mut()
            .filter(|departure| !departure.may_stop && !leads)
        else {
            return;
        };
        if now < departure.next_request_at {
            return;
        }
        departure.next_request_at = now.after(interval);
        for address in self.whom_to_ask(now) {
            self.send(&address, Body::LeaveRequest);
        }
    }

    /// The primary that is heard; all members if none is, since a new one tells nothing to a voter
    /// that it has removed.
    fn whom_to_ask(&self, now: Time) -> BTreeSet<String> {
        let known = self
            .known
            .as_ref()
            .filter(|known| known.epoch == self.promised);
        let heard = known.filter(|known| now.since(known.heard_at) < self.settings.contact_timeout);
        if let Some(known) = heard {
            return BTreeSet::from([known.member.address.clone()]);
        }
        let members = self
            .membership()
            .all()
            .filter(|member| member.identity != self.me.identity);
        members.map(|member| member.address.clone()).collect()
    }

    pub(super) fn wake_of_leave(&self) -> Option<Time> {
        let asks = self
            .departure
            .as_ref()
            .filter(|departure| !departure.may_stop && self.lead().is_none());
        let hand_over = self
            .lead()
            .and_then(|primary| primary.hand_over.as_ref())
            .map(|over| over.next_at);
        asks.map(|departure| departure.next_request_at)
            .or(hand_over)
    }

    pub(super) fn on_leave(&mut self, now: Time, from: Member) {
        let settled = self
            .lead()
            .is_some_and(|primary| primary.serving && !primary.in_flight);
        let named = self
            .image
            .as_ref()
            .is_some_and(|image| image.membership.names(from.identity));
        let Some(primary) = self.lead_mut() else {
            return;
        };
        let epoch = primary.epoch;
        if let Some(peer) = primary.peers.get_mut(&from.identity) {
            peer.leaving = true;
        }
        if !named {
            // The record without it counts only once it is committed.
            if settled {
                self.send(
                    &from.address,
                    Body::LeaveResponse {
                        epoch,
                        removed: true,
                        stays: false,
                    },
                );
            }
            return;
        }
        self.write_next(now);
        if self.removal_refused(from.identity) {
            self.send(
                &from.address,
                Body::LeaveResponse {
                    epoch,
                    removed: false,
                    stays: true,
                },
            );
        }
    }

    pub(super) fn on_leave_response(&mut self, from: Member, epoch: Epoch, may_stop: bool) {
        if epoch < self.promised || from.identity != epoch.primary {
            return;
        }
        if let Some(departure) = &mut self.departure {
            departure.may_stop |= may_stop;
        }
    }

    /// Asks another voter to take over, if this primary leaves or its disk has stalled.
    pub(super) fn tick_hand_over(&mut self, now: Time) {
        let Some(primary) = self.lead() else { return };
        let waits = self.disk.waits_for(now);
        let reason = if self.departure.is_some() {
            LeadershipTransferReason::Leaving
        } else if waits >= self.settings.disk_stall {
            LeadershipTransferReason::DiskStalled(waits)
        } else {
            if let Some(primary) = self.lead_mut() {
                primary.hand_over = None;
            }
            return;
        };
        if primary
            .hand_over
            .as_ref()
            .is_some_and(|over| now < over.next_at)
        {
            return;
        }
        self.hand_over(now, reason);
    }

    fn hand_over(&mut self, now: Time, reason: LeadershipTransferReason) {
        let next_at = now.after(2 * self.settings.retry_interval);
        let passive_until = now.after(self.settings.passive_after_hand_over);
        let to = self.successor(now);
        let Some(primary) = self.lead_mut() else {
            return;
        };
        let epoch = primary.epoch;
        primary.hand_over = Some(HandOver {
            to: to.clone(),
            next_at,
        });
        let Some(to) = to else { return };
        self.passive_until = passive_until;
        self.send(&to.address, Body::TakeOver { epoch });
        self.outputs
            .push(Output::Notice(Notice::LeadershipTransferStarted {
                to,
                reason,
            }));
    }

    /// The voter that holds the most and is well; the one asked last only if there is no other.
    fn successor(&self, now: Time) -> Option<Member> {
        let primary = self.lead()?;
        let last = primary.hand_over.as_ref().and_then(|over| over.to.as_ref());
        let heard = 3 * self.settings.heartbeat_interval;
        let voters = &self.image.as_ref()?.membership.voters;
        let well = |peer: &super::primary::Peer| {
            let lively = now.since(peer.heard_at) < heard && peer.writable && !peer.leaving;
            lively
                && peer
                    .reported
                    .is_some_and(|position: Position| position.epoch == primary.epoch)
        };
        let peers = voters
            .iter()
            .filter_map(|voter| primary.peers.get(&voter.identity));
        let best = peers.filter(|peer| well(peer)).max_by_key(|peer| {
            let again = last.is_some_and(|last| last.identity == peer.member.identity);
            (peer.reported, !again)
        });
        best.map(|peer| peer.member.clone())
    }
}

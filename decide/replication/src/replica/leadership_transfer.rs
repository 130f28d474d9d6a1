//! Transfer of the leadership: a primary that is leaving, or whose disk has stalled, asks another
//! voter to take over.

use super::primary_state::{LeadershipTransfer, Peer};
use super::Replica;
use crate::message::Body;
use crate::output::{LeadershipTransferReason, Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Member, Time};

/// Number of heartbeat intervals without contact after which a voter is not asked to take over.
const MAX_MISSED_HEARTBEATS: u64 = 3;
/// Number of retry intervals (`retry_interval_us`) after which another voter is asked.
const RETRY_INTERVALS_PER_ATTEMPT: u64 = 2;

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn tick_leadership_transfer(&mut self, now: Time) {
        let reason = self.transfer_reason(now);
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        let Some(reason) = reason else {
            primary.leadership_transfer = None;
            return;
        };
        let is_waiting = primary
            .leadership_transfer
            .as_ref()
            .is_some_and(|transfer| now < transfer.next_attempt_at);
        if !is_waiting {
            self.transfer_leadership(now, reason);
        }
    }

    fn transfer_reason(&self, now: Time) -> Option<LeadershipTransferReason> {
        let pending_us = self.disk.pending_for_us(now);
        if self.departure.is_some() {
            Some(LeadershipTransferReason::Leaving)
        } else if pending_us >= self.settings.disk_stall_timeout_us {
            Some(LeadershipTransferReason::DiskStalled(pending_us))
        } else {
            None
        }
    }

    fn transfer_leadership(&mut self, now: Time, reason: LeadershipTransferReason) {
        let next_attempt_at =
            now.after(RETRY_INTERVALS_PER_ATTEMPT * self.settings.retry_interval_us);
        let passive_until = now.after(self.settings.passive_after_transfer_us);
        let to = self.choose_successor(now);
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        let epoch = primary.epoch;
        primary.leadership_transfer = Some(LeadershipTransfer {
            to: to.clone(),
            next_attempt_at,
        });
        let Some(to) = to else { return };
        self.passive_until = passive_until;
        self.send(&to.address, Body::TakeOver { epoch });
        let notice = Notice::LeadershipTransferStarted { to, reason };
        self.outputs.push(Output::Notice(notice));
    }

    /// Returns the suitable voter with the newest synced state. Among equals, prefers a voter other
    /// than the one that was asked last.
    fn choose_successor(&self, now: Time) -> Option<Member> {
        let primary = self.as_primary()?;
        let transfer = primary.leadership_transfer.as_ref();
        let last_target = transfer.and_then(|transfer| transfer.to.as_ref());
        let contact_window_us = MAX_MISSED_HEARTBEATS * self.settings.heartbeat_interval_us;
        let is_suitable = |peer: &Peer| {
            let in_contact = now.since(peer.last_contact_at) < contact_window_us;
            let is_available = in_contact && peer.is_writable && !peer.is_leaving;
            is_available
                && peer
                    .synced
                    .is_some_and(|position| position.epoch == primary.epoch)
        };
        let voters = &self.accepted.as_ref()?.membership.voters;
        let peers = voters
            .iter()
            .filter_map(|voter| primary.peers.get(&voter.identity));
        let best = peers.filter(|peer| is_suitable(peer)).max_by_key(|peer| {
            let was_asked_last =
                last_target.is_some_and(|last| last.identity == peer.member.identity);
            (peer.synced, !was_asked_last)
        });
        best.map(|peer| peer.member.clone())
    }

    pub(super) fn next_leadership_transfer_wake(&self) -> Option<Time> {
        let transfer = self.as_primary()?.leadership_transfer.as_ref()?;
        Some(transfer.next_attempt_at)
    }
}

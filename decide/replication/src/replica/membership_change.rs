//! Changes of the membership, which the primary starts by itself, one at a time: a learner becomes
//! a voter, or a voter that is lost or leaving is replaced or removed.
//!
//! A removal must never make the group less safe: see [`Replica::is_removal_allowed`].

use super::primary_state::{Peer, Primary};
use super::Replica;
use crate::faults::Fault;
use crate::membership::{majority_of, Membership};
use crate::output::{MembershipChange, Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Identity, Member, Time};

/// Maximum number of records that a learner's synced state may be behind when it becomes a voter.
const MAX_LEARNER_LAG_RECORDS: u64 = 16;
/// Minimum number of voters after a removal, since two voters tolerate no loss.
const MIN_VOTERS_AFTER_REMOVAL: i64 = 3;
/// Number of heartbeat intervals without contact after which a voter may be lost.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Returns the number of further losses that a membership tolerates beyond the voters that are
/// already lost. It is negative without a quorum.
fn tolerated_losses(voters: usize, lost: usize) -> i64 {
    voters as i64 - lost as i64 - majority_of(voters) as i64
}

/// The number of voters, and the number of lost ones among them.
struct VoterCount {
    voters: usize,
    lost: usize,
}

impl<S: ReplicatedState> Replica<S> {
    /// Returns the next change of membership, if one is due, and the voters after it.
    pub(super) fn next_membership_change(
        &mut self,
        now: Time,
    ) -> Option<(Vec<Member>, MembershipChange)> {
        let membership = self.accepted.as_ref()?.membership.clone();
        debug_assert!(
            !membership.is_joint(),
            "another change of membership is in progress"
        );
        let primary = self.as_primary()?;
        let change = find_address_change(primary, &membership)
            .or_else(|| self.find_replacement(now, primary, &membership))
            .or_else(|| self.find_addition(now, primary, &membership))
            .or_else(|| self.find_removal(now, &membership))?;
        let voters = voters_after(&membership, &change);
        Some((voters, change))
    }

    /// Returns the learners that have synced a recent state of this epoch and may become voters.
    fn ready_learners(&self, now: Time, primary: &Primary) -> Vec<Member> {
        let head = self.accepted_position().map_or(0, |head| head.number);
        let is_ready = |peer: &&Peer| {
            let synced = peer
                .synced
                .filter(|position| position.epoch == primary.epoch);
            let is_nearly_current = synced.is_some_and(|position| {
                head.saturating_sub(position.number) <= MAX_LEARNER_LAG_RECORDS
            });
            let in_contact = now.since(peer.last_contact_at) < self.settings.contact_timeout_us;
            !peer.is_voter()
                && is_nearly_current
                && in_contact
                && peer.is_writable
                && !peer.is_leaving
        };
        let peers = primary.peers.values().filter(is_ready);
        peers.map(|peer| peer.member.clone()).collect()
    }

    fn find_replacement(
        &self,
        now: Time,
        primary: &Primary,
        membership: &Membership,
    ) -> Option<MembershipChange> {
        if self.settings.faults.has(Fault::NeverRemoveVoters) {
            return None;
        }
        let learners = self.ready_learners(now, primary);
        if let Some(change) = find_wiped_replacement(&learners, membership) {
            return Some(change);
        }
        let new = learners.first()?.clone();
        let contact_age_us = |voter: &Member| {
            let peer = primary.peers.get(&voter.identity);
            peer.map_or(0, |peer| now.since(peer.last_contact_at))
        };
        let is_leaving = |voter: &Member| {
            let peer = primary.peers.get(&voter.identity);
            peer.is_some_and(|peer| peer.is_leaving)
        };
        let replace_after_us = self.settings.replace_after_us;
        let is_replaceable =
            |voter: &&Member| contact_age_us(voter) > replace_after_us || is_leaving(voter);
        let voters = membership.voters.iter().filter(is_replaceable);
        let old = voters.max_by_key(|voter| contact_age_us(voter))?.clone();
        let last_contact_age_us = contact_age_us(&old);
        Some(MembershipChange::ReplaceUnresponsive {
            old,
            new,
            last_contact_age_us,
        })
    }

    fn find_addition(
        &self,
        now: Time,
        primary: &Primary,
        membership: &Membership,
    ) -> Option<MembershipChange> {
        let voters = &membership.voters;
        let mut new = self.ready_learners(now, primary);
        new.truncate(self.settings.max_voters.saturating_sub(voters.len()));
        // A voter that has just become unresponsive may be permanently lost. The learner is then
        // kept to replace it rather than added as a further voter.
        let max_age_us = self.settings.heartbeat_interval_us * MAX_MISSED_HEARTBEATS;
        let all_in_contact = voters.iter().all(|voter| {
            let peer = primary.peers.get(&voter.identity);
            peer.is_none_or(|peer| {
                peer.has_responded && now.since(peer.last_contact_at) <= max_age_us
            })
        });
        let may_add = all_in_contact || self.settings.faults.has(Fault::NeverRemoveVoters);
        // Two voters tolerate no loss: if the first is lost, the group loses its state. A sole
        // founder therefore waits for two learners.
        let is_second_voter = voters.len() == 1 && new.len() == 1;
        let has_waited = now.since(primary.elected_at) >= self.settings.sole_founder_wait_us;
        if new.is_empty() || (is_second_voter && !has_waited) || !may_add {
            return None;
        }
        Some(MembershipChange::Add { new })
    }

    fn find_removal(&mut self, now: Time, membership: &Membership) -> Option<MembershipChange> {
        if self.settings.faults.has(Fault::NeverRemoveVoters) {
            return None;
        }
        let remove_after_us = self.settings.remove_after_us;
        let replace_after_us = self.settings.replace_after_us;
        let is_lost = |peer: &Peer| now.since(peer.last_contact_at) > replace_after_us;
        let primary = self.as_primary()?;
        let voters = membership.voters.iter();
        let peers = voters.filter_map(|voter| primary.peers.get(&voter.identity));
        let peers: Vec<Peer> = peers.cloned().collect();
        let count = VoterCount {
            voters: membership.voters.len(),
            lost: peers.iter().filter(|peer| is_lost(peer)).count(),
        };
        for peer in &peers {
            let is_expendable = self.is_expendable(&peer.member, membership);
            let last_contact_age_us = now.since(peer.last_contact_at);
            let removal_delay_us = if is_expendable {
                replace_after_us
            } else {
                remove_after_us
            };
            if last_contact_age_us <= removal_delay_us && !peer.is_leaving {
                continue;
            }
            let old = peer.member.clone();
            if is_expendable || self.may_remove(&old, &count, is_lost(peer)) {
                return Some(match peer.is_leaving {
                    true => MembershipChange::RemoveLeaving { old },
                    false => MembershipChange::RemoveUnresponsive {
                        old,
                        last_contact_age_us,
                    },
                });
            }
        }
        None
    }

    /// Whether a voter may be removed. Reports a rejected removal once.
    fn may_remove(&mut self, voter: &Member, count: &VoterCount, is_lost: bool) -> bool {
        let remaining = count.voters - 1;
        let losses_now = tolerated_losses(count.voters, count.lost);
        let losses_without = tolerated_losses(remaining, count.lost - usize::from(is_lost));
        let is_allowed = self.is_removal_allowed(count, losses_now, losses_without);
        let Some(primary) = self.as_primary_mut() else {
            return false;
        };
        if is_allowed {
            primary.rejected_removals.remove(&voter.identity);
        } else if primary.rejected_removals.insert(voter.identity) {
            self.outputs.push(Output::Notice(Notice::RemovalRejected {
                voter: voter.clone(),
                remaining,
                tolerated_losses: losses_now,
                tolerated_losses_without: losses_without,
            }));
        }
        is_allowed
    }

    fn is_removal_allowed(&self, count: &VoterCount, losses_now: i64, losses_without: i64) -> bool {
        let remaining = count.voters - 1;
        let required_losses = i64::from(self.settings.fault_tolerance);
        // Every acknowledged change is stored on a quorum. A quorum of the remaining voters must
        // hold more copies than the losses to tolerate, or no fewer copies than a quorum holds now.
        let copies = majority_of(remaining) as i64;
        let has_enough_copies =
            copies >= (required_losses + 1).min(majority_of(count.voters) as i64);
        // Removed voters no longer count, even if they return. The remaining voters must have a
        // majority after as many of them as `fault_tolerance` lose their disks.
        let has_enough_voters =
            remaining as i64 >= (2 * required_losses + 1).max(MIN_VOTERS_AFTER_REMOVAL);
        has_enough_voters && has_enough_copies && losses_without >= losses_now.min(required_losses)
    }

    /// Whether the removal of this voter was rejected.
    pub(super) fn is_removal_rejected(&self, identity: Identity) -> bool {
        self.as_primary()
            .is_some_and(|primary| primary.rejected_removals.contains(&identity))
    }
}

/// Returns the change for a voter that is reached at another address than the membership records.
fn find_address_change(primary: &Primary, membership: &Membership) -> Option<MembershipChange> {
    membership.voters.iter().find_map(|voter| {
        let member = &primary.peers.get(&voter.identity)?.member;
        let new = (member.address != voter.address).then(|| member.clone())?;
        Some(MembershipChange::ChangeAddress { new })
    })
}

/// Returns the change for a learner at the address of a voter, whose disk must have been wiped.
fn find_wiped_replacement(
    learners: &[Member],
    membership: &Membership,
) -> Option<MembershipChange> {
    learners.iter().find_map(|new| {
        let mut voters = membership.voters.iter();
        let old = voters.find(|voter| voter.address == new.address)?;
        Some(MembershipChange::ReplaceWiped {
            old: old.clone(),
            new: new.clone(),
        })
    })
}

/// Returns the voters after a change.
fn voters_after(membership: &Membership, change: &MembershipChange) -> Vec<Member> {
    let (removed, added): (Option<&Member>, Vec<Member>) = match change {
        MembershipChange::ReplaceWiped { old, new }
        | MembershipChange::ReplaceUnresponsive { old, new, .. } => (Some(old), vec![new.clone()]),
        MembershipChange::Add { new } => (None, new.clone()),
        MembershipChange::RemoveUnresponsive { old, .. }
        | MembershipChange::RemoveLeaving { old } => (Some(old), Vec::new()),
        MembershipChange::ChangeAddress { new } => (Some(new), vec![new.clone()]),
    };
    let remaining_voters = membership
        .voters
        .iter()
        .filter(|voter| removed.is_none_or(|old| old.identity != voter.identity));
    remaining_voters.cloned().chain(added).collect()
}

//! Newcomers: how they ask, and how the primary changes the membership for them and for voters that
//! are gone.

use super::primary::{Peer, Primary};
use super::Replica;
use crate::faults::Fault;
use crate::membership::{majority_of, Membership};
use crate::message::Body;
use crate::output::{MembershipChange, Notice, Output};
use crate::state::ReplicatedState;
use crate::types::{Identity, Member, Time};

/// Records that a newcomer may be behind, synced, when it is named.
const MOST_BEHIND: u64 = 16;
/// Newcomers that are brought up to date at a time.
const MOST_NEWCOMERS: usize = 9;
/// Voters that remain at least when one is removed: two bear no loss at all.
const LEAST_VOTERS: i64 = 3;

/// Losses that a membership bears beyond those that are dead.
fn bears(voters: usize, dead: usize) -> i64 {
    voters as i64 - dead as i64 - majority_of(voters) as i64
}

/// The voters as a change of membership looks at them.
struct Count {
    voters: usize,
    /// Silent ones.
    dead: usize,
}

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn tick_knock(&mut self, now: Time) {
        if !self.knocks() || now < self.knock_at {
            return;
        }
        self.knock_at = now.after(self.settings.retry_interval);
        let fed = self.settings.heartbeat_interval * 3;
        let heard = self
            .known
            .as_ref()
            .is_some_and(|known| now.since(known.heard_at) < fed);
        if heard
            && self
                .known
                .as_ref()
                .is_some_and(|known| known.epoch == self.promised)
        {
            return;
        }
        let mut addresses = self.peers.clone();
        addresses.extend(
            self.image
                .iter()
                .flat_map(|image| image.membership.all())
                .map(|m| m.address.clone()),
        );
        addresses.remove(&self.me.address);
        for address in addresses {
            self.send(&address, Body::JoinRequest);
        }
    }

    fn knocks(&self) -> bool {
        self.is_outsider() && self.departure.is_none() && self.lead().is_none()
    }

    pub(super) fn wake_of_knock(&self) -> Option<Time> {
        self.knocks().then_some(self.knock_at)
    }

    pub(super) fn on_knock(&mut self, now: Time, from: Member) {
        if self.lead().is_some() {
            self.take_newcomer(now, from);
            return;
        }
        let members = self
            .image
            .iter()
            .flat_map(|image| image.membership.all())
            .cloned()
            .collect();
        let primary = self.primary().cloned();
        self.send(&from.address, Body::JoinResponse { primary, members });
    }

    pub(super) fn on_knock_response(&mut self, primary: Option<Member>, members: Vec<Member>) {
        let addresses = primary
            .into_iter()
            .chain(members)
            .map(|member| member.address);
        self.peers
            .extend(addresses.take(self.settings.most_voters * 2));
        self.peers.remove(&self.me.address);
    }

    /// Begins to bring a newcomer up to date; an earlier one at its address is gone.
    fn take_newcomer(&mut self, now: Time, from: Member) {
        self.note_address(&from);
        let Some(primary) = self.lead_mut() else {
            return;
        };
        if primary.peers.contains_key(&from.identity) {
            return;
        }
        primary
            .peers
            .retain(|_, peer| peer.votes || peer.member.address != from.address);
        if primary.peers.values().filter(|peer| !peer.votes).count() >= MOST_NEWCOMERS {
            return;
        }
        primary.peers.insert(from.identity, Peer::new(from, now));
        self.broadcast(now);
    }

    /// The next change of membership, if one is due: the voters after it, and why.
    pub(super) fn next_membership(&mut self, now: Time) -> Option<(Vec<Member>, MembershipChange)> {
        let membership = self.image.as_ref()?.membership.clone();
        debug_assert!(!membership.is_joint(), "one change of membership at a time");
        let primary = self.lead()?;
        let change = self
            .moved(primary, &membership)
            .or_else(|| self.replacement(now, primary, &membership))
            .or_else(|| self.addition(now, primary, &membership))
            .or_else(|| self.removal(now, &membership));
        let change = change?;
        let voters = after(&membership, &change);
        Some((voters, change))
    }

    fn moved(&self, primary: &Primary, membership: &Membership) -> Option<MembershipChange> {
        let moved = membership.voters.iter().find_map(|voter| {
            let member = &primary.peers.get(&voter.identity)?.member;
            (member.address != voter.address).then(|| member.clone())
        });
        moved.map(|new| MembershipChange::Move { new })
    }

    /// Newcomers that have synced an image of this epoch.
    fn ready(&self, now: Time, primary: &Primary) -> Vec<Member> {
        let head = self.image.as_ref().map_or(0, |image| image.position.number);
        let is_ready = |peer: &&Peer| {
            let synced = peer
                .reported
                .filter(|position| position.epoch == primary.epoch);
            let close =
                synced.is_some_and(|position| head.saturating_sub(position.number) <= MOST_BEHIND);
            let heard = now.since(peer.heard_at) < self.settings.contact_timeout;
            !peer.votes && close && heard && peer.writable && !peer.leaving
        };
        primary
            .peers
            .values()
            .filter(is_ready)
            .map(|peer| peer.member.clone())
            .collect()
    }

    fn replacement(
        &self,
        now: Time,
        primary: &Primary,
        membership: &Membership,
    ) -> Option<MembershipChange> {
        if self.settings.faults.has(Fault::NeverRemoveVoters) {
            return None;
        }
        let ready = self.ready(now, primary);
        let silent_for = |voter: &Member| {
            primary
                .peers
                .get(&voter.identity)
                .map_or(0, |peer| now.since(peer.heard_at))
        };
        for new in &ready {
            let wiped = membership
                .voters
                .iter()
                .find(|voter| voter.address == new.address);
            if let Some(old) = wiped {
                return Some(MembershipChange::ReplaceWiped {
                    old: old.clone(),
                    new: new.clone(),
                });
            }
        }
        let new = ready.first()?.clone();
        let leaves = |voter: &&Member| {
            primary
                .peers
                .get(&voter.identity)
                .is_some_and(|peer| peer.leaving)
        };
        let gone =
            |voter: &&Member| silent_for(voter) > self.settings.replace_after || leaves(voter);
        let old = membership
            .voters
            .iter()
            .filter(gone)
            .max_by_key(|voter| silent_for(voter))?
            .clone();
        let silent_for = silent_for(&old);
        Some(MembershipChange::ReplaceSilent {
            old,
            new,
            silent_for,
        })
    }

    fn addition(
        &self,
        now: Time,
        primary: &Primary,
        membership: &Membership,
    ) -> Option<MembershipChange> {
        let room = self
            .settings
            .most_voters
            .saturating_sub(membership.voters.len());
        let mut new = self.ready(now, primary);
        new.truncate(room);
        // A voter that has just fallen silent may be gone for good: then the newcomer is to have
        // its place, not one beside it.
        let doubtful = self.settings.heartbeat_interval * 3;
        let all_heard = membership.voters.iter().all(|voter| {
            let peer = primary.peers.get(&voter.identity);
            peer.is_none_or(|peer| peer.answered && now.since(peer.heard_at) <= doubtful)
        });
        let never = self.settings.faults.has(Fault::NeverRemoveVoters);
        // Two voters bear no loss, and lose what they have with the first: a sole founder waits for
        // two.
        let waits = membership.voters.len() == 1 && new.len() == 1;
        let waited = now.since(primary.elected_at) >= self.settings.founding_wait;
        if new.is_empty() || (waits && !waited) || !(all_heard || never) {
            return None;
        }
        Some(MembershipChange::Add { new })
    }

    fn removal(&mut self, now: Time, membership: &Membership) -> Option<MembershipChange> {
        if self.settings.faults.has(Fault::NeverRemoveVoters) {
            return None;
        }
        let remove_after = self.settings.remove_after;
        let replace_after = self.settings.replace_after;
        let silent = |peer: &Peer| now.since(peer.heard_at) > replace_after;
        let primary = self.lead()?;
        let voters: Vec<Peer> = membership
            .voters
            .iter()
            .filter_map(|voter| primary.peers.get(&voter.identity))
            .cloned()
            .collect();
        let dead = voters.iter().filter(|peer| silent(peer)).count();
        let count = Count {
            voters: membership.voters.len(),
            dead,
        };
        for peer in &voters {
            let expendable = self.is_expendable(&peer.member, membership);
            let patience = if expendable {
                replace_after
            } else {
                remove_after
            };
            if now.since(peer.heard_at) <= patience && !peer.leaving {
                continue;
            }
            let old = peer.member.clone();
            if expendable || self.removable(&old, &count, silent(peer)) {
                let silent_for = now.since(peer.heard_at);
                return Some(match peer.leaving {
                    true => MembershipChange::RemoveLeaver { old },
                    false => MembershipChange::RemoveSilent { old, silent_for },
                });
            }
        }
        None
    }

    /// Whether the rest bears enough without this voter; says so once if not.
    fn removable(&mut self, voter: &Member, count: &Count, dead: bool) -> bool {
        let remaining = count.voters - 1;
        let bears_now = bears(count.voters, count.dead);
        let would_bear = bears(remaining, count.dead - usize::from(dead));
        let allowed = self.removal_allowed(count, bears_now, would_bear);
        let Some(primary) = self.lead_mut() else {
            return false;
        };
        if allowed {
            primary.refused.remove(&voter.identity);
        } else if primary.refused.insert(voter.identity) {
            let voter = voter.clone();
            let refused = Notice::RemovalRejected {
                voter,
                remaining,
                bears: bears_now,
                would_bear,
            };
            self.outputs.push(Output::Notice(refused));
        }
        allowed
    }

    fn removal_allowed(&self, count: &Count, bears_now: i64, would_bear: i64) -> bool {
        let remaining = count.voters - 1;
        let must_bear = i64::from(self.settings.fault_tolerance);
        // What is acknowledged is on a quorum: more copies than may be lost, or no fewer than
        // before.
        let copies = majority_of(remaining) as i64;
        let copies_enough = copies >= (must_bear + 1).min(majority_of(count.voters) as i64);
        // The silent may come back, but count no more then: those that remain have a majority also
        // without as many as may lose their disks.
        let outlives = remaining as i64 >= (2 * must_bear + 1).max(LEAST_VOTERS);
        outlives && copies_enough && would_bear >= bears_now.min(must_bear)
    }

    /// Whether the removal of this voter was refused.
    pub(super) fn removal_refused(&self, identity: Identity) -> bool {
        self.lead()
            .is_some_and(|primary| primary.refused.contains(&identity))
    }
}

/// The voters after a change.
fn after(membership: &Membership, change: &MembershipChange) -> Vec<Member> {
    let (goes, come): (Option<&Member>, Vec<Member>) = match change {
        MembershipChange::ReplaceWiped { old, new }
        | MembershipChange::ReplaceSilent { old, new, .. } => (Some(old), vec![new.clone()]),
        MembershipChange::Add { new } => (None, new.clone()),
        MembershipChange::RemoveSilent { old, .. } | MembershipChange::RemoveLeaver { old } => {
            (Some(old), Vec::new())
        }
        MembershipChange::Move { new } => (Some(new), vec![new.clone()]),
    };
    let stay = membership
        .voters
        .iter()
        .filter(|voter| goes.is_none_or(|old| old.identity != voter.identity));
    stay.cloned().chain(come).collect()
}

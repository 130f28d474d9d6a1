//! Joining the group: a member without a vote asks for one, and the primary accepts it as a
//! learner.
//!
//! A learner receives heartbeats and the state like a voter. It becomes a voter through a change of
//! membership once it is up to date.

use super::primary_state::Peer;
use super::Replica;
use crate::message::Body;
use crate::state::ReplicatedState;
use crate::types::{Member, Time};

/// Maximum number of learners that the primary brings up to date at a time.
const MAX_LEARNERS: usize = 9;
/// Number of heartbeat intervals without a heartbeat after which a member asks to join again.
const MAX_MISSED_HEARTBEATS: u64 = 3;

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn tick_join(&mut self, now: Time) {
        if !self.seeks_membership() || now < self.next_join_request_at {
            return;
        }
        self.next_join_request_at = now.after(self.settings.retry_interval_us);
        let contact_window_us = self.settings.heartbeat_interval_us * MAX_MISSED_HEARTBEATS;
        let has_recent_contact = self
            .followed_primary()
            .is_some_and(|known| now.since(known.last_contact_at) < contact_window_us);
        if has_recent_contact {
            return;
        }
        let mut addresses = self.peer_addresses.clone();
        let members = self.membership().all();
        addresses.extend(members.map(|member| member.address.clone()));
        addresses.remove(&self.me.address);
        for address in addresses {
            self.send(&address, Body::JoinRequest);
        }
    }

    fn seeks_membership(&self) -> bool {
        self.is_non_voter() && self.departure.is_none() && self.as_primary().is_none()
    }

    pub(super) fn next_join_wake(&self) -> Option<Time> {
        self.seeks_membership().then_some(self.next_join_request_at)
    }

    pub(super) fn on_join_request(&mut self, now: Time, from: Member) {
        if self.as_primary().is_some() {
            self.accept_learner(now, from);
            return;
        }
        let response = Body::JoinResponse {
            primary: self.primary().cloned(),
            members: self.membership().all().cloned().collect(),
        };
        self.send(&from.address, response);
    }

    pub(super) fn on_join_response(&mut self, primary: Option<Member>, members: Vec<Member>) {
        let addresses = primary
            .into_iter()
            .chain(members)
            .map(|member| member.address);
        let max_addresses = self.settings.max_voters * 2;
        self.peer_addresses.extend(addresses.take(max_addresses));
        self.peer_addresses.remove(&self.me.address);
    }

    /// Adds a learner to the peers. It replaces an earlier learner at the same address.
    fn accept_learner(&mut self, now: Time, from: Member) {
        self.update_peer_address(&from);
        let Some(primary) = self.as_primary_mut() else {
            return;
        };
        if primary.peers.contains_key(&from.identity) {
            return;
        }
        primary
            .peers
            .retain(|_, peer| peer.is_voter() || peer.member.address != from.address);
        let learners = primary.peers.values().filter(|peer| !peer.is_voter());
        if learners.count() >= MAX_LEARNERS {
            return;
        }
        primary
            .peers
            .insert(from.identity, Peer::learner(from, now));
        self.broadcast(now);
    }
}

//! The consensus of the voters over the connections to peers, and the singleton roles that this
//! broker is to hold.
//!
//! It owns this broker's part as a voter (`local_voter`), the leases of its roles
//! (`role_leases`), its contact with the voters, and the requests of others that wait for the
//! log. It promises that nothing is sent before what it depends on is durable, that a broker that
//! can't write its state does not vote, and that whether it holds a role is checked by its own
//! lease each time. The decisions are those of `decide::consensus` and `decide::lease`.

mod config;
mod local_voter;
mod messages;
mod role_leases;

pub use config::{ConsensusConfig, ConsensusError};
pub use messages::OutgoingMessages;

use self::local_voter::{LocalVoter, VoterOutput};
use self::messages::{outgoing, Message};
use self::role_leases::RoleLeases;
use crate::decide::consensus::log_state::Entry;
use crate::decide::consensus::quorum_status::{ContactTracker, QuorumStatus};
use crate::decide::consensus::{Voter, VoterAction};
use crate::decide::lease::grant_table::{LeaseCommand, Outcome};
use crate::decide::lease::{FencingToken, LeaseHolder, RoleName};
use crate::interface::{Micros, Time};

/// Voters without a genesis announce themselves this often (microseconds).
const ANNOUNCEMENT_INTERVAL: Micros = 500_000;
/// Leases and the contact with the voters are checked this often (microseconds): the end of a lease
/// is logged so soon after it.
const CHECK_INTERVAL: Micros = 25_000;
/// The most requests of brokers that wait for the log, and for how many leases each waits: its
/// sender has repeated it by then.
const MAX_PENDING_REQUESTS: usize = 256;
const PENDING_REQUEST_LEASES: u64 = 2;

/// A request of a role that was proposed here, until the log decides it.
struct PendingRequest {
    role: RoleName,
    holder: LeaseHolder,
    number: u64,
    /// The name of the broker that waits for the answer.
    from: String,
    received_at: Time,
}

/// This broker's part in the consensus: as a voter, or as a broker that sends requests to the
/// voters.
pub struct Consensus {
    own: LeaseHolder,
    config: ConsensusConfig,
    /// `None`: this broker is not named as a voter.
    voter: Option<LocalVoter>,
    roles: RoleLeases,
    contact: ContactTracker,
    /// The status of the contact that was logged last.
    logged_status: Option<QuorumStatus>,
    pending: Vec<PendingRequest>,
    /// How many requests of roles were sent: they go to the voters in turn.
    requests_sent: usize,
    announce_at: Time,
    check_at: Time,
    log: Vec<String>,
}

impl Consensus {
    /// The part of the broker `own` in the consensus of a cluster.
    ///
    /// # Errors
    /// When the folder can't be used, or has records that this version can't read.
    pub fn new(
        now: Time,
        cluster: &str,
        own: LeaseHolder,
        config: ConsensusConfig,
    ) -> Result<Consensus, ConsensusError> {
        let mut log = Vec::new();
        let voter = match config.voters.contains(&own.name) {
            true => Some(LocalVoter::open(now, cluster, &own, &config, &mut log)?),
            false => None,
        };
        Ok(Consensus {
            voter,
            roles: RoleLeases::new(now, &config.roles, config.terms),
            contact: ContactTracker::new(config.voters.len(), config.terms),
            logged_status: None,
            own,
            config,
            pending: Vec::new(),
            requests_sent: 0,
            announce_at: now,
            check_at: now,
            log,
        })
    }

    /// Takes the log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log)
    }

    /// The token under which this broker may act in a role now, if it may.
    #[must_use]
    pub fn fencing_token(&self, now: Time, role: &RoleName) -> Option<FencingToken> {
        self.roles.token(now, role)
    }

    /// When [`Consensus::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let voter = self.voter.as_ref();
        let tick_at = voter.and_then(LocalVoter::voting).map(Voter::next);
        let is_bootstrapping = voter.is_some_and(LocalVoter::is_bootstrapping);
        let announce_at = is_bootstrapping.then_some(self.announce_at);
        [tick_at, announce_at]
            .into_iter()
            .flatten()
            .fold(self.check_at, Time::min)
    }

    /// This broker's contact with the voters.
    #[must_use]
    pub fn quorum_status(&self, now: Time) -> QuorumStatus {
        self.contact.status(now).0
    }

    /// Does what is due.
    pub fn on_time(&mut self, now: Time) -> OutgoingMessages {
        let mut messages = OutgoingMessages::new();
        if now >= self.check_at {
            self.check_at = now.plus(CHECK_INTERVAL);
            let status = self.check_contact(now, &mut messages);
            self.check_roles(now, status, &mut messages);
        }
        self.run_voter(now, &mut messages, |voter| voter.on_time(now));
        if now >= self.announce_at {
            self.announce(now, &mut messages);
        }
        messages
    }

    /// Logs the status of the contact where it has changed, and asks the voters for a confirmation
    /// when that is due.
    fn check_contact(&mut self, now: Time, messages: &mut OutgoingMessages) -> QuorumStatus {
        let (status, reason) = self.contact.status(now);
        // Guards the log: nothing is logged after a start, before a voter could have answered.
        let has_changed = match self.logged_status {
            Some(logged) => logged != status,
            None => status == QuorumStatus::Connected,
        };
        if has_changed {
            self.log.push(format!("standing: {status}: {reason}"));
            self.logged_status = Some(status);
        }
        if now >= self.contact.next_request_at() {
            let request = Message::ContactRequest(self.contact.on_request(now));
            self.send_to_voters(now, &request, messages);
        }
        status
    }

    /// Logs which roles are held, and sends the requests that are due.
    fn check_roles(&mut self, now: Time, status: QuorumStatus, messages: &mut OutgoingMessages) {
        // A broker whose voters have a genesis that it does not know requests nothing of them.
        let not_before = (status == QuorumStatus::ForeignGenesis).then(|| now.plus(CHECK_INTERVAL));
        for (role, number) in self.roles.update(now, not_before, &mut self.log) {
            // To one voter after the other: one that is unreachable answers nothing.
            let voters = &self.config.voters;
            let voter = voters[self.requests_sent % voters.len()].clone();
            self.requests_sent += 1;
            let request = Message::LeaseRequest(role, self.own.clone(), number);
            messages.extend(self.send(now, &voter, request));
        }
    }

    /// Announces this voter to the others, while it waits for the genesis.
    fn announce(&mut self, now: Time, messages: &mut OutgoingMessages) {
        let voter = self.voter.as_ref();
        let Some(announcement) = voter.and_then(LocalVoter::bootstrap_announcement) else {
            return;
        };
        self.announce_at = now.plus(ANNOUNCEMENT_INTERVAL);
        let announcement = Message::Announcement(announcement);
        let others = self.config.voters.iter().filter(|v| **v != self.own.name);
        messages.extend(others.map(|voter| outgoing(voter, &announcement)));
    }

    /// Handles a message of another broker.
    pub fn on_message(&mut self, now: Time, from: &str, bytes: &[u8]) -> OutgoingMessages {
        match postcard::from_bytes::<Message>(bytes) {
            Ok(message) => self.handle(now, from, message),
            // A later version may send messages that this one does not know.
            Err(_) => OutgoingMessages::new(),
        }
    }

    /// A connection to or from another broker is up again.
    pub fn on_reconnected(&mut self, now: Time, name: &str) -> OutgoingMessages {
        let mut messages = OutgoingMessages::new();
        self.run_voter(now, &mut messages, |voter| voter.on_reconnected(now, name));
        messages
    }

    /// This broker stops, and releases the roles that it holds.
    pub fn on_stop(&mut self, now: Time) -> OutgoingMessages {
        let mut messages = OutgoingMessages::new();
        for (role, token) in self.roles.release_all(now) {
            self.log
                .push(format!("duty {}: not held: given back", role.0));
            // To all voters: the first proposal counts, and this broker does not wait for answers
            // any more.
            self.send_to_voters(now, &Message::Release(role, token), &mut messages);
        }
        messages
    }

    fn handle(&mut self, now: Time, from: &str, message: Message) -> OutgoingMessages {
        let mut messages = OutgoingMessages::new();
        match message {
            Message::Announcement(announcement) => {
                let voter = self.voter.as_mut();
                let answer =
                    voter.and_then(|v| v.on_announcement(now, from, &announcement, &mut self.log));
                messages
                    .extend(answer.map(|answer| outgoing(from, &Message::Announcement(answer))));
            }
            Message::Log(bytes) => {
                self.run_voter(now, &mut messages, |voter| voter.on_message(now, &bytes));
            }
            Message::LeaseRequest(role, holder, number) if holder.name == from => {
                self.on_lease_request(now, from, role, holder, number, &mut messages);
            }
            // Only the holder may release its role.
            Message::LeaseRequest(..) => {}
            Message::Release(role, token) => self.on_release(now, from, role, token, &mut messages),
            Message::LeaseResponse(role, number, token) => {
                self.roles.on_response(now, &role, number, token);
            }
            Message::ContactRequest(number) => {
                let genesis = self.voting().map(|voter| voter.genesis().digest());
                if let Some(genesis) = genesis {
                    return self.send(now, from, Message::ContactResponse(number, genesis));
                }
            }
            Message::ContactResponse(number, genesis) => {
                self.contact.on_response(from, number, genesis);
            }
            Message::LeasedElsewhere(role) => self.roles.on_leased_elsewhere(now, &role),
        }
        messages
    }

    /// Proposes a request of a role, if this broker votes. One that would be rejected is answered
    /// at once; if this voter has missed something, that only makes the sender ask another one.
    fn on_lease_request(
        &mut self,
        now: Time,
        from: &str,
        role: RoleName,
        holder: LeaseHolder,
        number: u64,
        messages: &mut OutgoingMessages,
    ) {
        let Some(voter) = self.voter.as_ref() else {
            return;
        };
        let Some(grants) = voter.voting().map(Voter::grants) else {
            return;
        };
        let is_leased_elsewhere = grants.holder(&role).is_some_and(|(h, _)| *h != holder);
        if is_leased_elsewhere || !voter.may_grant(now) {
            messages.extend(self.send(now, from, Message::LeasedElsewhere(role)));
            return;
        }
        let timeout = PENDING_REQUEST_LEASES * self.config.terms.lease;
        self.pending
            .retain(|request| now.since(request.received_at) <= timeout);
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return;
        }
        self.pending.push(PendingRequest {
            role: role.clone(),
            holder: holder.clone(),
            number,
            from: from.into(),
            received_at: now,
        });
        let entry = Entry {
            command: LeaseCommand::Acquire(role, holder),
            request: number,
        };
        self.run_voter(now, messages, |voter| voter.propose(now, entry));
    }

    /// Proposes the release of a role. Guards the holder: nobody else may release its role. A voter
    /// that does not know the holder leaves the proposal to the others.
    fn on_release(
        &mut self,
        now: Time,
        from: &str,
        role: RoleName,
        token: FencingToken,
        messages: &mut OutgoingMessages,
    ) {
        let holder = self.voting().and_then(|voter| voter.grants().holder(&role));
        if holder.is_none_or(|(holder, _)| holder.name != from) {
            return;
        }
        let entry = Entry {
            command: LeaseCommand::Release(role, token),
            request: 0,
        };
        self.run_voter(now, messages, |voter| voter.propose(now, entry));
    }

    fn voting(&self) -> Option<&Voter> {
        self.voter.as_ref().and_then(LocalVoter::voting)
    }

    /// Sends a message to a broker, or handles it here if that is this one.
    fn send(&mut self, now: Time, to: &str, message: Message) -> OutgoingMessages {
        match to == self.own.name {
            true => self.handle(now, to, message),
            false => vec![outgoing(to, &message)],
        }
    }

    fn send_to_voters(&mut self, now: Time, message: &Message, messages: &mut OutgoingMessages) {
        for voter in self.config.voters.clone() {
            messages.extend(self.send(now, &voter, message.clone()));
        }
    }

    /// Reports an event to the voter, if this broker votes, and passes its outputs on.
    fn run_voter(
        &mut self,
        now: Time,
        messages: &mut OutgoingMessages,
        event: impl FnOnce(&mut Voter) -> Vec<VoterAction>,
    ) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        for output in voter.run(event, &mut self.log) {
            match output {
                VoterOutput::Send(to, bytes) => messages.push(outgoing(&to, &Message::Log(bytes))),
                VoterOutput::Decided(entry, outcome) => {
                    self.respond_to_request(now, &entry, &outcome, messages);
                }
            }
        }
    }

    /// Responds to the request that has led to a decided entry, if it was proposed here.
    fn respond_to_request(
        &mut self,
        now: Time,
        entry: &Entry,
        outcome: &Outcome,
        messages: &mut OutgoingMessages,
    ) {
        let LeaseCommand::Acquire(role, holder) = &entry.command else {
            return;
        };
        let is_resolved = |request: &PendingRequest| {
            (&request.role, &request.holder, request.number) == (role, holder, entry.request)
        };
        let Some(index) = self.pending.iter().position(is_resolved) else {
            return;
        };
        let request = self.pending.swap_remove(index);
        let token = match outcome {
            Outcome::Granted(token, _) | Outcome::Renewed(token) => Some(*token),
            Outcome::Rejected(..) | Outcome::Vacated(_) | Outcome::Stale => None,
        };
        let response = Message::LeaseResponse(request.role, request.number, token);
        messages.extend(self.send(now, &request.from, response));
    }
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod stored_data_tests;

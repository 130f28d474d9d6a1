//! Handling of heartbeats at voters and learners: they accept records and learn what is committed.

use super::{KnownPrimary, Replica, Role};
use crate::durable::Record;
use crate::message::{Append, Body};
use crate::output::{Notice, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Position, Time};

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn on_append(&mut self, now: Time, from: &Member, append: &Append) {
        if from.identity != append.epoch.primary {
            return;
        }
        if append.to != self.me.identity {
            // The heartbeat is for a member with another disk at this address, which is lost. This
            // member still has to ask the sender to join.
            self.add_peer_addresses(vec![from.address.clone()]);
            return;
        }
        if append.epoch < self.promised {
            let rejection = Body::VoteRejected {
                epoch: append.epoch,
                promised: self.promised,
            };
            self.send(&from.address, rejection);
            return;
        }
        self.follow_primary(now, from, append);
        if self.is_writable(now) {
            self.accept_records(now, append);
        }
        self.update_committed(append);
        self.update_lag(now, append.committed);
        self.request_snapshot_if_needed(now, from, append);
        let round = self
            .known_primary
            .as_ref()
            .map_or(append.round, |known| known.round);
        self.respond_to_append(now, &from.address, append.epoch, round);
    }

    /// Follows the primary. A higher epoch takes effect at once and is written to disk with its
    /// first record.
    fn follow_primary(&mut self, now: Time, from: &Member, append: &Append) {
        if append.epoch > self.promised {
            self.step_down(now, StepDownReason::HigherEpoch(append.epoch));
            self.promised = append.epoch;
        }
        self.role = Role::Follower;
        self.awaits_first_primary = false;
        if self
            .known_primary
            .as_ref()
            .is_none_or(|known| known.epoch != append.epoch)
        {
            self.incoming = None;
            self.known_primary = Some(KnownPrimary::new(now, from, append.epoch));
            self.outputs.push(Output::Notice(Notice::PrimaryObserved {
                epoch: append.epoch,
                primary: from.clone(),
            }));
        }
        let contact_timeout_us = self.settings.contact_timeout_us;
        if let Some(known) = &mut self.known_primary {
            known.update(now, from, append, self.process_nonce, contact_timeout_us);
        }
        self.postpone_election(now);
    }

    fn accept_records(&mut self, now: Time, append: &Append) {
        for record in &append.records {
            let Some(accepted) = &self.accepted else {
                return;
            };
            let follows =
                record.previous == accepted.position && record.position > accepted.position;
            if follows && record.position.epoch == append.epoch {
                self.advance_committed(record.previous, append.committed);
                self.accept_record(now, record);
            }
        }
    }

    fn accept_record(&mut self, now: Time, record: &Record) {
        let Some(accepted) = &mut self.accepted else {
            return;
        };
        match accepted.apply(record.position, &record.update) {
            Ok(()) => self.persist_record(now, record.clone()),
            Err(error) => {
                // The primary applied the record to the same state without an error, so the states
                // differ. Only the primary's snapshot can repair this.
                let rejected = Notice::SnapshotRejected {
                    position: record.position,
                    reason: error.reason,
                };
                self.outputs.push(Output::Notice(rejected));
                if let Some(known) = self.known_primary.clone() {
                    self.fetch_snapshot(now, known.epoch, None, known.member);
                }
            }
        }
    }

    /// Marks the accepted state as committed if the primary's message shows that it is: it must be
    /// of the primary's epoch, or have the committed position itself.
    fn update_committed(&mut self, append: &Append) {
        let Some(position) = self.accepted_position() else {
            return;
        };
        if position.epoch == append.epoch || position == append.committed {
            self.advance_committed(position, append.committed);
        }
    }

    /// Stores the time since which this member has known less to be committed than the primary
    /// reports.
    fn update_lag(&mut self, now: Time, committed: Position) {
        let is_behind = self.committed_position() < committed;
        if let Some(known) = &mut self.known_primary {
            known.behind_since = is_behind.then(|| known.behind_since.unwrap_or(now));
        }
    }

    /// Marks the accepted state as committed if `position` is not after `committed`. The accepted
    /// state must be at `position`, and the primary must have had the same state.
    fn advance_committed(&mut self, position: Position, committed: Position) {
        let is_newer = self
            .committed
            .as_ref()
            .is_none_or(|(known, _)| *known < position);
        let Some(accepted) = self
            .accepted
            .as_ref()
            .filter(|_| is_newer && position <= committed)
        else {
            return;
        };
        debug_assert_eq!(
            accepted.position, position,
            "only the accepted state can be marked as committed"
        );
        self.committed = Some((position, accepted.state.clone()));
        self.outputs.push(Output::Committed(position));
    }

    /// Requests a snapshot if the primary no longer retains the missing records.
    fn request_snapshot_if_needed(&mut self, now: Time, from: &Member, append: &Append) {
        let is_at_head = self.accepted_position() == Some(append.head);
        let is_needed = append.must_request_snapshot && !is_at_head;
        if is_needed && self.incoming.is_none() && self.is_writable(now) {
            self.fetch_snapshot(now, append.epoch, None, from.clone());
        }
    }
}

impl KnownPrimary {
    /// Creates the entry for a primary whose first heartbeat has just been received.
    fn new(now: Time, member: &Member, epoch: Epoch) -> Self {
        Self {
            member: member.clone(),
            epoch,
            round: 0,
            last_contact_at: now,
            confirmed_at: None,
            contact_at: None,
            behind_since: Some(Time(0)),
        }
    }

    /// Updates the entry from a heartbeat. `process_nonce` is that of this process.
    fn update(
        &mut self,
        now: Time,
        from: &Member,
        append: &Append,
        process_nonce: u64,
        contact_timeout_us: u64,
    ) {
        if now.since(self.last_contact_at) >= contact_timeout_us {
            // This member does not know what was committed in the meantime, so it counts as behind
            // until it has caught up.
            self.behind_since = Some(Time(0));
        }
        self.member.address.clone_from(&from.address);
        self.round = self.round.max(append.round);
        self.last_contact_at = now;
        if append.in_contact {
            self.confirmed_at = Some(now);
        }
        let sent_at = append
            .last_response_sent_at
            .filter(|sent_at| append.in_contact && sent_at.process == process_nonce);
        let contact_at = sent_at.map(|sent_at| Time(sent_at.clock).min(now));
        self.contact_at = self.contact_at.max(contact_at);
    }
}

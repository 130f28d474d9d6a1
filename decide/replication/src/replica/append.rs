//! The side of a voter: heartbeats, records, and what is committed.

use super::{KnownPrimary, Replica, Role};
use crate::durable::Record;
use crate::message::{Append, Body};
use crate::output::{Notice, Output, StepDownReason};
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Position, Time};

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn on_append(&mut self, now: Time, from: Member, append: Append) {
        if from.identity != append.epoch.primary {
            return;
        }
        if append.to != self.me.identity {
            // It is for another disk at this address, which is gone: this member has yet to knock
            // there.
            self.add_peer_addresses(vec![from.address]);
            return;
        }
        if append.epoch < self.promised {
            let promised = self.promised;
            self.send(
                &from.address,
                Body::VoteRejected {
                    epoch: append.epoch,
                    promised,
                },
            );
            return;
        }
        self.follow(now, &from, &append);
        if self.writable(now) {
            self.take_records(now, &append);
        }
        self.take_committed(&append);
        self.note_lag(now, append.committed);
        self.consider_image(now, &from, &append);
        let round = self
            .known
            .as_ref()
            .map_or(append.round, |known| known.round);
        self.answer_append(now, &from.address, append.epoch, round);
    }

    /// Takes note of the primary. A higher epoch is obeyed at once; it is on disk with the first
    /// record of it.
    fn follow(&mut self, now: Time, from: &Member, append: &Append) {
        if append.epoch > self.promised {
            self.step_down(now, StepDownReason::HigherEpoch(append.epoch));
            self.promised = append.epoch;
        }
        self.role = Role::Follower;
        self.fresh = false;
        if self
            .known
            .as_ref()
            .is_none_or(|known| known.epoch != append.epoch)
        {
            self.transfer = None;
            self.known = Some(known_primary(now, from, append.epoch));
            let (epoch, primary) = (append.epoch, from.clone());
            self.outputs
                .push(Output::Notice(Notice::PrimaryObserved { epoch, primary }));
        }
        let contact_timeout = self.settings.contact_timeout;
        if let Some(known) = &mut self.known {
            if now.since(known.heard_at) >= contact_timeout {
                // Whatever was committed meanwhile is not known here: only one that has caught up
                // is current again.
                known.behind_since = Some(Time(0));
            }
            known.member.address.clone_from(&from.address);
            known.round = known.round.max(append.round);
            known.heard_at = now;
            if append.in_contact {
                known.confirmed_at = Some(now);
            }
            let echo = append
                .echo
                .filter(|stamp| append.in_contact && stamp.process == self.process);
            known.contact_at = known
                .contact_at
                .max(echo.map(|stamp| Time(stamp.clock).min(now)));
        }
        self.rest_before_election(now);
    }

    fn take_records(&mut self, now: Time, append: &Append) {
        for record in &append.records {
            let Some(image) = &self.image else { return };
            let follows = record.previous == image.position && record.position > image.position;
            if follows && record.position.epoch == append.epoch {
                self.note_committed(record.previous, append.committed);
                self.take_record(now, record);
            }
        }
    }

    fn take_record(&mut self, now: Time, record: &Record) {
        let Some(image) = &mut self.image else { return };
        match image.apply(record.position, &record.update) {
            Ok(()) => self.persist_record(now, record.clone()),
            Err(error) => {
                // The primary has applied it to the same state; only the image can help.
                let refused = Notice::SnapshotRejected {
                    position: record.position,
                    reason: error.reason,
                };
                self.outputs.push(Output::Notice(refused));
                if let Some(known) = self.known.clone() {
                    self.fetch(now, known.epoch, None, known.member);
                }
            }
        }
    }

    /// What is held may be known to be committed now: if it is of the primary's epoch, or is just
    /// what it names.
    fn take_committed(&mut self, append: &Append) {
        let Some(image) = &self.image else { return };
        let position = image.position;
        if position.epoch == append.epoch || position == append.committed {
            self.note_committed(position, append.committed);
        }
    }

    /// Takes note of since when less is known here as committed than the primary tells.
    fn note_lag(&mut self, now: Time, committed: Position) {
        let here = self
            .committed
            .as_ref()
            .map(|(position, _)| *position)
            .unwrap_or_default();
        let Some(known) = &mut self.known else { return };
        known.behind_since = (here < committed).then(|| known.behind_since.unwrap_or(now));
    }

    /// The image in memory stands at `position`, on the primary's chain; everything up to
    /// `committed` is committed.
    fn note_committed(&mut self, position: Position, committed: Position) {
        let news = self
            .committed
            .as_ref()
            .is_none_or(|(known, _)| *known < position);
        let Some(image) = self
            .image
            .as_ref()
            .filter(|_| news && position <= committed)
        else {
            return;
        };
        debug_assert_eq!(
            image.position, position,
            "only what is held can be taken as committed"
        );
        self.committed = Some((position, image.state.clone()));
        self.outputs.push(Output::Committed(position));
    }

    /// Asks for the image if the primary no longer has the records that are lacking.
    fn consider_image(&mut self, now: Time, from: &Member, append: &Append) {
        let here = self
            .image
            .as_ref()
            .is_some_and(|image| image.position == append.head);
        if append.take_image && !here && self.transfer.is_none() && self.writable(now) {
            self.fetch(now, append.epoch, None, from.clone());
        }
    }
}

fn known_primary(now: Time, from: &Member, epoch: Epoch) -> KnownPrimary {
    KnownPrimary {
        member: from.clone(),
        epoch,
        round: 0,
        heard_at: now,
        confirmed_at: None,
        contact_at: None,
        behind_since: Some(Time(0)),
    }
}

//! The voters' part of an election: granting votes, and sending them once the promise of their
//! epoch is synced.

use super::Replica;
use crate::faults::Fault;
use crate::membership::Membership;
use crate::message::{Body, ReplicaVersion};
use crate::output::StepDownReason;
use crate::state::ReplicatedState;
use crate::types::{Epoch, Member, Position, Time};

/// A granted vote to send once its promise is synced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingGrant {
    to: String,
    epoch: Epoch,
    version: ReplicaVersion,
}

impl<S: ReplicatedState> Replica<S> {
    pub(super) fn on_vote(
        &mut self,
        now: Time,
        from: Member,
        epoch: Epoch,
        is_leadership_transfer: bool,
    ) {
        if from.identity != epoch.primary {
            return;
        }
        let Some(version) = self.version_for_vote() else {
            return;
        };
        if epoch < self.promised {
            let promised = self.promised;
            self.send(&from.address, Body::VoteRejected { epoch, promised });
            return;
        }
        if epoch > self.promised {
            let has_primary = self.follows_confirmed_primary(now) && !is_leadership_transfer;
            if has_primary || !self.is_writable(now) {
                return;
            }
            self.step_down(now, StepDownReason::HigherEpoch(epoch));
            self.promise(now, epoch);
            self.postpone_election(now);
        }
        if version.position.epoch < epoch {
            self.pending_grants.retain(|grant| grant.epoch == epoch);
            self.pending_grants.push(PendingGrant {
                to: from.address,
                epoch,
                version,
            });
            self.send_pending_grants();
        }
    }

    fn version_for_vote(&self) -> Option<ReplicaVersion> {
        let empty = ReplicaVersion {
            position: Position::default(),
            membership: Membership::default(),
        };
        let votes_with_empty_disk = self.settings.faults.has(Fault::EmptyDiskVotes);
        self.replica_version()
            .or_else(|| votes_with_empty_disk.then_some(empty))
    }

    /// Sends the votes whose promise is synced. Drops the votes for epochs below the promised one.
    pub(super) fn send_pending_grants(&mut self) {
        let has_empty_disk = self.accepted.is_none();
        for grant in std::mem::take(&mut self.pending_grants) {
            if grant.epoch != self.promised {
                continue;
            }
            if self.disk.synced_promise >= grant.epoch || has_empty_disk {
                let (epoch, version) = (grant.epoch, grant.version);
                self.send(&grant.to, Body::VoteGranted { epoch, version });
            } else {
                self.pending_grants.push(grant);
            }
        }
    }
}

//! Log lines for events of the replica.

use lichenswitch_replication::Notice;
use log::{debug, info, warn};

/// Logs an event.
pub(super) fn log(notice: &Notice) {
    let message = message(notice);
    match notice {
        Notice::SteppedDown { .. }
        | Notice::RemovalRejected { .. }
        | Notice::Excluded { .. }
        | Notice::SnapshotRejected { .. }
        | Notice::DiskStalled { .. } => {
            warn!(target: "replication", notice:? = notice; "{message}")
        }
        // `group_disk` logs it once, with the reason.
        Notice::DiskFailed => debug!(target: "replication", "{message}"),
        Notice::BecamePrimary { .. }
        | Notice::ElectionStarted { .. }
        | Notice::PrimaryObserved { .. }
        | Notice::LeadershipTransferStarted { .. }
        | Notice::MembershipChange { .. }
        | Notice::MembershipChanged { .. }
        | Notice::SnapshotReceived { .. } => {
            info!(target: "replication", notice:? = notice; "{message}")
        }
    }
}

fn message(notice: &Notice) -> &'static str {
    match notice {
        Notice::BecamePrimary { .. } => "is primary",
        Notice::SteppedDown { .. } => "is primary no more",
        Notice::ElectionStarted { .. } => "asks for votes",
        Notice::PrimaryObserved { .. } => "hears another primary",
        Notice::LeadershipTransferStarted { .. } => "hands the part of the primary on",
        Notice::MembershipChange { .. } => "changes the voters",
        Notice::MembershipChanged { .. } => "has changed the voters",
        Notice::RemovalRejected { .. } => "keeps a voter that is silent or leaves",
        Notice::Excluded { .. } => "is no voter any more",
        Notice::SnapshotReceived { .. } => "has received the whole state",
        Notice::SnapshotRejected { .. } => "has refused a state that is not whole",
        Notice::DiskStalled { .. } => "waits for its disk",
        Notice::DiskFailed => "can't write its disk",
    }
}

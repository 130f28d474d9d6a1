//! Log lines for events of the replica.

use lichenswitch_replication::Notice;
use log::{debug, info, warn};

/// Logs an event of the replica at the level that fits its kind.
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
        // `group_disk` logs the failure once, with the reason.
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
        Notice::BecamePrimary { .. } => "became primary",
        Notice::SteppedDown { .. } => "stepped down as primary",
        Notice::ElectionStarted { .. } => "election started",
        Notice::PrimaryObserved { .. } => "another primary observed",
        Notice::LeadershipTransferStarted { .. } => "leadership transfer started",
        Notice::MembershipChange { .. } => "membership change started",
        Notice::MembershipChanged { .. } => "membership change completed",
        Notice::RemovalRejected { .. } => "removal of a voter rejected",
        Notice::Excluded { .. } => "excluded from the voters",
        Notice::SnapshotReceived { .. } => "snapshot received",
        Notice::SnapshotRejected { .. } => "snapshot rejected",
        Notice::DiskStalled { .. } => "disk write stalled",
        Notice::DiskFailed => "disk failed",
    }
}

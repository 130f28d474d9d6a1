//! Events of the replica, for the log.

use lichenswitch_replication::Notice;
use log::{debug, info, warn};

/// Logs an event.
pub(super) fn log(notice: &Notice) {
    let message = message(notice);
    match notice {
        Notice::SteppedDown { .. }
        | Notice::RemovalRefused { .. }
        | Notice::Excluded { .. }
        | Notice::ImageRefused { .. }
        | Notice::DiskStalled { .. } => {
            warn!(target: "replication", notice:? = notice; "{message}")
        }
        // The group tells it once, with the reason.
        Notice::DiskFailed => debug!(target: "replication", "{message}"),
        Notice::BecamePrimary { .. }
        | Notice::Candidacy { .. }
        | Notice::PrimaryHeard { .. }
        | Notice::HandsOver { .. }
        | Notice::MembershipChange { .. }
        | Notice::MembershipChanged { .. }
        | Notice::ImageReceived { .. } => {
            info!(target: "replication", notice:? = notice; "{message}")
        }
    }
}

fn message(notice: &Notice) -> &'static str {
    match notice {
        Notice::BecamePrimary { .. } => "is primary",
        Notice::SteppedDown { .. } => "is primary no more",
        Notice::Candidacy { .. } => "asks for votes",
        Notice::PrimaryHeard { .. } => "hears another primary",
        Notice::HandsOver { .. } => "hands the part of the primary on",
        Notice::MembershipChange { .. } => "changes the voters",
        Notice::MembershipChanged { .. } => "has changed the voters",
        Notice::RemovalRefused { .. } => "keeps a voter that is silent or leaves",
        Notice::Excluded { .. } => "is no voter any more",
        Notice::ImageReceived { .. } => "has received the whole state",
        Notice::ImageRefused { .. } => "has refused a state that is not whole",
        Notice::DiskStalled { .. } => "waits for its disk",
        Notice::DiskFailed => "can't write its disk",
    }
}

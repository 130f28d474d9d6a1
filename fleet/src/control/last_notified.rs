//! Records the last notifications to other machines, so that only changes are sent.

use lichenswitch_net::ConnId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state that was last sent to other machines.
#[derive(Default)]
pub(super) struct LastNotified {
    /// Whether this machine was in contact, according to its last notification.
    pub(super) in_contact: bool,
    /// The connection and configuration version of the last push to each relay.
    pub(super) relays: BTreeMap<SocketAddr, (ConnId, u64)>,
}

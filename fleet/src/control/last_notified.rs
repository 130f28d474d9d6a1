//! What a control machine has sent to others last, so that it sends only changes.

use lichenswitch_net::ConnId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What others were notified of last.
#[derive(Default)]
pub(super) struct LastNotified {
    /// Whether this machine was in contact.
    pub(super) in_contact: bool,
    /// For each relay the version of the configuration that it was sent, and on which connection.
    pub(super) relays: BTreeMap<SocketAddr, (ConnId, u64)>,
}

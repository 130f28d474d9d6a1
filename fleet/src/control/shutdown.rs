//! How a control machine shuts down: it leaves the group and answers pending calls first.

use super::clock::{after, to_replica_time};
use super::net_program::Owner;
use super::node::ControlNode;
use lichenswitch_interface::Time;
use log::info;
use std::time::Duration;

/// The process exits this long before it would be killed.
const KILL_MARGIN: Duration = Duration::from_millis(1_500);
/// Interval of checks, during a shutdown, whether the process may exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ControlNode {
    /// The process has to shut down: this machine leaves the group, and relays calls meanwhile.
    pub(super) fn on_shutdown_signal(&mut self, now: Time) {
        if self.shutdown_started_at.is_some() {
            return;
        }
        info!(target: "control", "shutdown started");
        self.shutdown_started_at = Some(now);
        if let Some(group) = &mut self.group {
            group.replica.leave(to_replica_time(now));
        }
        self.callers.start_draining();
    }

    /// Whether the process may exit.
    pub(super) fn may_exit(&mut self) -> bool {
        let Some(started_at) = self.shutdown_started_at else {
            return false;
        };
        let now = self.net.clock.now();
        let exit_deadline = after(
            started_at,
            self.settings
                .bounds
                .grace_period
                .saturating_sub(KILL_MARGIN),
        );
        let has_left = self
            .group
            .as_ref()
            .is_none_or(|group| group.replica.has_left());
        if now < exit_deadline && !has_left {
            return false;
        }
        // New callers turn to other machines; pending calls are answered within their deadlines.
        self.net.close_listeners(Owner::Caller);
        let has_pending_calls = !self.calls.is_empty();
        exit_deadline <= now || !(has_pending_calls || self.callers.is_busy(&self.net))
    }

    /// When [`Self::may_exit`] has to be checked again, during a shutdown.
    pub(super) fn shutdown_wake(&self) -> Option<Time> {
        self.shutdown_started_at
            .map(|_| after(self.net.clock.now(), SHUTDOWN_CHECK_INTERVAL))
    }
}

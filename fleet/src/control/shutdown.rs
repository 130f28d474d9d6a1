//! Shutdown of a control machine. It leaves the group and answers pending calls before it exits.

use super::clock::{after, to_replica_time};
use super::net_program::Owner;
use super::node::ControlNode;
use lichenswitch_interface::Time;
use log::info;
use std::time::Duration;

/// Time between the latest exit of the process and the end of the grace period, when it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(1_500);
/// Interval at which a machine that shuts down checks whether it may exit.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ControlNode {
    /// Starts the shutdown. This machine leaves the group, and relays calls until it exits.
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

    /// Whether the process may exit: it has left the group and has no pending calls, or its
    /// deadline has passed. Closes the listener for callers as a side effect.
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
        // New callers connect to other machines. Pending calls are answered within their deadlines.
        self.net.close_listeners(Owner::Caller);
        let has_pending_calls = !self.calls.is_empty();
        exit_deadline <= now || !(has_pending_calls || self.callers.is_busy(&self.net))
    }

    /// Returns when [`Self::may_exit`] has to be checked again, or `None` before a shutdown.
    pub(super) fn shutdown_wake(&self) -> Option<Time> {
        self.shutdown_started_at
            .map(|_| after(self.net.clock.now(), SHUTDOWN_CHECK_INTERVAL))
    }
}

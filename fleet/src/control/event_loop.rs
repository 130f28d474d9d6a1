//! The event loop of a control machine. It determines the order in which modules handle events.

use super::clock::{after, earlier, from_replica_time, to_replica_time};
use super::error::ControlError;
use super::group::Group;
use super::internal_connections::RemoteRole;
use super::net_program::{Owner, Signal};
use super::node::ControlNode;
use super::timing::DIGEST_INTERVAL;
use lichenswitch_interface::Time;
use lichenswitch_messages::ROUTER_HEARTBEAT_MS;
use lichenswitch_net::Ready;
use log::info;
use std::time::Duration;

/// Interval of heartbeats to routers and of the other periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(ROUTER_HEARTBEAT_MS);

impl ControlNode {
    /// Runs the event loop until the process may exit.
    ///
    /// # Errors
    /// Fails if waiting for sockets fails.
    pub(super) fn run(mut self) -> Result<(), ControlError> {
        self.process_until_idle();
        while !self.may_exit() {
            let wake_at = self.next_wake();
            for ready in self.net.wait(wake_at)? {
                self.on_ready(ready);
            }
            self.run_due_work();
            self.process_until_idle();
        }
        info!(target: "control", "control machine stopped");
        let ControlNode { net, group, .. } = self;
        // Closes all connections before it waits for the disk, so that callers and peers turn to
        // other machines at once.
        drop(net);
        if let Some(group) = group {
            group.close();
        }
        Ok(())
    }

    fn on_ready(&mut self, ready: Ready<Owner, Signal>) {
        match ready {
            Ready::Signal(signal) => self.on_signal(signal),
            Ready::Listener(Owner::Caller) => self.callers.accept(&mut self.net),
            Ready::Listener(owner) => {
                let now = self.net.clock.now();
                for id in self.net.accept(owner) {
                    self.connections.insert(id, RemoteRole::Unknown, now);
                }
            }
            Ready::Conn(id, Owner::Caller) => {
                if let Some(request) = self.callers.process_ready(&mut self.net, id) {
                    self.on_request(id, &request);
                }
            }
            Ready::Conn(id, Owner::Accepted | Owner::Dialled) => self.on_connection_ready(id),
        }
    }

    fn on_signal(&mut self, signal: Signal) {
        self.net.clear_signal(signal);
        let now = self.net.clock.now();
        match signal {
            Signal::Stop => self.on_shutdown_signal(now),
            Signal::Reload => self.reload(now),
            Signal::Written => {
                if let Some(group) = &mut self.group {
                    group.on_written(now);
                }
            }
            // The signal only wakes the event loop. `ServerTable::advance` handles the completed
            // write in this iteration.
            Signal::TableWritten => {}
        }
    }

    /// Performs the work whose time has come.
    fn run_due_work(&mut self) {
        let now = self.net.clock.now();
        if let Some(group) = self
            .group
            .as_mut()
            .filter(|group| group.next_wake().is_some_and(|at| at <= now))
        {
            group.replica.tick(to_replica_time(now));
        }
        for address in self.peers.due_dials(now) {
            self.dial(address, now);
        }
        self.primary_tracker.tick(now);
        self.advance_lease_requests(now);
        self.send_backlogs(now);
        if self.next_tick_at <= now {
            self.next_tick_at = after(now, TICK_INTERVAL);
            self.tick(now);
        }
        if self.next_digest_at <= now {
            // The deadline is a quarter of a tick early. If a tick is late, the digest is still due
            // at the next one.
            self.next_digest_at = after(now, DIGEST_INTERVAL - TICK_INTERVAL / 4);
            self.send_digest(now);
        }
    }

    /// Performs the work that is done once per [`TICK_INTERVAL`].
    fn tick(&mut self, now: Time) {
        self.close_idle_connections(now);
        self.servers.tick(now);
        self.advance_buckets(now);
        self.routers.tick(now);
        self.callers.close_expired(&mut self.net);
        self.reload_if_changed(now);
        self.forget_unreachable_peers(now);
        self.update_group_membership(now);
        self.send_router_heartbeats(now);
        self.send_confirmation_to_relays(now);
    }

    /// Handles the outputs of all modules and writes queued bytes, until no more work results.
    fn process_until_idle(&mut self) {
        loop {
            let now = self.net.clock.now();
            let mut has_more_work = self.advance_calls(now);
            // Runs after the calls, so that their requests to the replica are sent in this
            // iteration and not with the next heartbeat.
            has_more_work |= self.handle_replica_outputs(now);
            has_more_work |= self.replicate_server_updates(now);
            self.apply_committed_configuration(now);
            self.update_contact(now);
            self.update_shard_ownership(now);
            has_more_work |= self.flush_connections();
            if !has_more_work {
                return;
            }
        }
    }

    /// Writes queued bytes on all connections. Returns whether that has produced more work.
    fn flush_connections(&mut self) -> bool {
        let failed = self.connections.flush(&mut self.net);
        let mut has_more_work = !failed.is_empty();
        for connection in failed {
            self.close_connection(connection.id, &connection.reason.to_string());
        }
        for (id, request) in self.callers.flush(&mut self.net) {
            has_more_work = true;
            self.on_request(id, &request);
        }
        has_more_work
    }

    /// Returns when the next work is due if no event arrives before.
    fn next_wake(&self) -> Option<Time> {
        let wakes = [
            self.group.as_ref().and_then(Group::next_wake),
            self.peers.next_wake(),
            self.calls.next_wake().map(from_replica_time),
            self.servers.next_wake(),
            self.primary_tracker.next_wake(),
            self.quotas.next_wake(),
            self.backlogs.next_wake(),
            self.shutdown_wake(),
            Some(self.next_tick_at),
        ];
        wakes.into_iter().fold(None, earlier)
    }
}

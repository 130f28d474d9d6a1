//! What operators ask of the broker, what it tells them, and what its processes share.

use super::Broker;
use crate::discovery::OperatorOverrides;
use crate::interface::{ServerListUpdate, Time};
use crate::log_writer::log;
use crate::management::Orders;
use crate::net::Signal;
use lichenswitch_management::desired_state;
use lichenswitch_management::health::{HealthStatus, Lifecycle};
use lichenswitch_management::processes;
use lichenswitch_management::quiesce;

impl Broker {
    /// Takes this process's share of what the broker may do.
    pub(super) fn apply_process_shares(&mut self) {
        let Some(management) = &self.management else {
            return;
        };
        let shares = processes::shares(self.is_leaving, &management.orders().others);
        if std::mem::replace(&mut self.shares, shares) != shares {
            let done = shares
                .rate_divisor
                .map_or("nothing".into(), |of| format!("1 of {of}"));
            log(&format!(
                "this process has 1 of {} of what the broker holds, {done} of what it may do",
                shares.capacity_divisor
            ));
        }
        self.net.share_with_processes(shares.capacity_divisor);
        each_service!(self, |_net, service| {
            service.core.set_process_shares(shares);
            service
                .sessions
                .share_with_processes(shares.capacity_divisor);
        });
    }

    /// Does what operators want now.
    pub(super) fn on_orders_signal(&mut self) {
        self.net.clear_signal(Signal::Orders);
        self.apply_process_shares();
        self.set_overrides();
        self.apply_quiesce_stage();
        // The next process may be ready just after this one was told to stop.
        if self.shutdown_started_at.is_some() {
            self.leave_backlog();
        }
    }

    /// Gives the directory operators' overrides, as far as they are due: data nodes are taken out,
    /// or used again.
    pub(super) fn set_overrides(&mut self) {
        let Some(management) = &self.management else {
            return;
        };
        let overrides = self.overrides(&management.orders(), self.net.clock.now());
        let Some(service) = &mut self.platform else {
            return;
        };
        let lines = service.directory.set_overrides(overrides);
        if !lines.is_empty() {
            self.apply_list_updates([ServerListUpdate::Changes(lines)]);
        }
    }

    /// Operators' overrides, as the directory takes them.
    pub(super) fn overrides(&self, orders: &Orders, now: Time) -> OperatorOverrides {
        let desired = &orders.desired;
        let cordoned = desired
            .cordoned
            .iter()
            .map(|(id, since)| (id.clone(), Time(*since)));
        let is_out = |cordoned: &(String, Time)| {
            desired_state::is_out_of_service(cordoned.1, now, self.stop_within)
        };
        let (out, leaving): (Vec<_>, Vec<_>) = cordoned.partition(is_out);
        let ids = |of: Vec<(String, Time)>| of.into_iter().map(|(id, _)| id).collect();
        let back = desired
            .uncordoned
            .iter()
            .map(|(id, (out, at))| (id.clone(), (Time(*out), Time(*at))));
        OperatorOverrides {
            out: ids(out),
            leaving: ids(leaving),
            back: back.collect(),
        }
    }

    /// Sends clients away, as far as that is due, or takes them again.
    pub(super) fn apply_quiesce_stage(&mut self) {
        let (Some(management), Some(service)) = (&self.management, &mut self.platform) else {
            return;
        };
        let stage = quiesce::stage(
            management.orders().desired.quiesced_at.map(Time),
            self.net.clock.now(),
        );
        service.sessions.set_quiesce_stage(
            &mut self.net,
            stage,
            &mut service.front,
            &mut service.core,
        );
    }

    /// Adds what was counted to the metrics that operators read.
    fn report_metrics(&mut self) {
        let (Some(management), Some(service)) = (&self.management, &mut self.platform) else {
            return;
        };
        for (class, attempts) in service.pool.take_written() {
            service.core.on_written(class, attempts);
        }
        management.metrics().add(&service.core.take_counters());
        let ejected = service.directory.overridden_count() + service.core.avoided_servers();
        management.metrics().set(
            service.core.held_queries(),
            service.directory.len(),
            ejected,
        );
    }

    /// Follows orders whose time has come, and reports to operators how the broker stands, at the
    /// pace of the management thread.
    pub(super) fn report_status(&mut self) {
        let now = self.net.clock.now();
        if self
            .management
            .as_ref()
            .is_none_or(|management| management.next() > now)
        {
            return;
        }
        self.apply_quiesce_stage();
        self.set_overrides();
        if self.shutdown_started_at.is_none() {
            // It is tried again: an address that can't be had for another reason is told by its
            // being not ready.
            let _ = self.open_listener();
        }
        self.report_metrics();
        let (Some(management), Some(service)) = (&mut self.management, &self.platform) else {
            return;
        };
        let lifecycle = match self.shutdown_started_at {
            None => Lifecycle::Running,
            Some(_) if self.is_leaving => Lifecycle::Leaving,
            Some(_) => Lifecycle::Stopping,
        };
        let status = HealthStatus {
            is_listening: self.pending_listener.is_none(),
            has_server_list: service.front.has_server_list(),
            lifecycle,
            is_quiesced: management.orders().desired.quiesced_at.is_some(),
            last_turn_at: now,
        };
        management.report_status(now, status);
    }
}

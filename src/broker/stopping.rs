//! The end of the process: from the signal to the last answer.

use super::Broker;
use crate::front::Front;
use crate::interface::{Micros, Time};
use crate::log_writer::log;
use crate::net::{Owner, Signal};
use lichenswitch_management::processes::{self, BacklogAction};

/// New connections keep arriving for so long after the signal to stop: the front layer learns of it
/// late.
const ACCEPT_AFTER_STOP: Micros = 500_000;
/// The process is killed later after the signal than the longest time of its clients, or than this
/// where that is more.
const KILL_TIMEOUT: Micros = 3_000_000;
/// After this long a stop does not wait for clients that read no answer.
const SHUTDOWN_TIMEOUT: Micros = 15_000_000;

impl Broker {
    /// Begins the end of the process: new clients are still accepted for a while, and all that was
    /// taken is finished.
    pub(super) fn on_stop_signal(&mut self) {
        self.net.clear_signal(Signal::Stop);
        // Guards the end: it comes in time however often it is asked for.
        if self.shutdown_started_at.is_some() {
            return;
        }
        let now = self.net.clock.now();
        self.shutdown_started_at = Some(now);
        log("stopping: finishing what was taken");
        self.peers.iter_mut().for_each(|c| c.on_stop(&mut self.net));
        let is_served_elsewhere = self.leave_backlog();
        each_service!(self, |_net, service| {
            let waits = service.core.settings().classes.iter().map(|c| c.deadline);
            let longest_wait = waits.max().unwrap_or_default().min(KILL_TIMEOUT);
            service
                .core
                .set_end_time(now.plus(longest_wait + ACCEPT_AFTER_STOP));
            // Where another process serves this address the broker goes on, whoever asks which
            // process.
            if !is_served_elsewhere || service.owner != Owner::Platform {
                service.front.on_stop();
            }
        });
    }

    /// Leaves the clients that wait to be accepted to another process of this broker that listens
    /// on the same socket, if there is one; those that are here are served, and told with their
    /// answers to connect anew. Tells whether another process serves the address.
    pub(super) fn leave_backlog(&mut self) -> bool {
        let (Some(management), Some(service)) = (&self.management, &mut self.platform) else {
            return false;
        };
        management.withdraw_listener();
        let reason = match processes::backlog_action(&management.others()) {
            BacklogAction::Leave(processes::Reason::SharedSocket(process)) => {
                self.net.close_listeners(Owner::Platform);
                Some(format!(
                    "process {process} serves at the same socket: new clients are left to it"
                ))
            }
            BacklogAction::Serve(processes::Reason::OwnSocket(process)) => Some(format!(
                "process {process} serves at a socket of its own: who waits here is served here"
            )),
            BacklogAction::Leave(_) | BacklogAction::Serve(_) => None,
        };
        if reason.is_some() {
            service.sessions.stop();
        }
        // Where that one has gone meanwhile this one serves those who are here as if there had been
        // none.
        if std::mem::replace(&mut self.is_leaving, reason.is_some()) != reason.is_some() {
            log(&reason.unwrap_or_else(|| "nobody else serves any more".into()));
        }
        self.apply_process_shares();
        self.is_leaving
    }

    /// Whether all that was taken is finished. What waits at a listener counts as taken, so it is
    /// accepted until the front layer has learnt of the stop, and once more before the listener is
    /// closed.
    pub(super) fn is_finished(&mut self, started_at: Time) -> bool {
        let now = self.net.clock.now();
        let elapsed = now.since(started_at);
        let mut serves = elapsed < ACCEPT_AFTER_STOP;
        each_service!(self, |_net, service| serves |=
            service.core.accepts_queries(now));
        if serves {
            return false;
        }
        each_service!(self, |_net, service| service.sessions.stop());
        each_service!(self, |net, service| service.accept(net));
        self.net.stop_listening();
        let mut open_connections = 0;
        each_service!(self, |net, service| open_connections +=
            service.sessions.close_unused(net, &mut service.core));
        open_connections == 0 || elapsed >= SHUTDOWN_TIMEOUT
    }
}

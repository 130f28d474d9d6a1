//! The end of the process: from the signal to the last answer.

use super::{Broker, KILLED, LISTEN_ON, STOP_MOST};
use crate::front::Front;
use crate::interface::Time;
use crate::log_writer::log;
use crate::net::{Owner, Signal};
use lichenswitch_management::processes::{self, BacklogAction};

impl Broker {
    pub(super) fn stop(&mut self) {
        self.net.clear_signal(Signal::Stop);
        // Guards the end: it comes in time however often it is asked for.
        if self.stopping.is_some() {
            return;
        }
        let now = self.net.clock.now();
        self.stopping = Some(now);
        log("stopping: finishing what was taken");
        self.peers.iter_mut().for_each(|c| c.on_stop(&mut self.net));
        let served_on = self.leave_backlog();
        each_service!(self, |_net, service| {
            let waits = service.core.settings().classes.iter().map(|c| c.deadline);
            let killed = waits.max().unwrap_or_default().min(KILLED);
            service.core.end_by(now.plus(killed + LISTEN_ON));
            // Where another process serves this address the broker goes on, whoever asks which
            // process.
            if !served_on || service.owner != Owner::Platform {
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
        if std::mem::replace(&mut self.leaving, reason.is_some()) != reason.is_some() {
            log(&reason.unwrap_or_else(|| "nobody else serves any more".into()));
        }
        self.share();
        self.leaving
    }

    /// Whether all that was taken is finished. What waits at a listener counts as taken, so it is
    /// accepted until the front layer has learnt of the stop, and once more before the listener is
    /// closed.
    pub(super) fn finished(&mut self, since: Time) -> bool {
        let now = self.net.clock.now();
        let elapsed = now.since(since);
        let mut serves = elapsed < LISTEN_ON;
        each_service!(self, |_net, service| serves |=
            service.core.accepts_queries(now));
        if serves {
            return false;
        }
        each_service!(self, |_net, service| service.sessions.stop());
        each_service!(self, |net, service| service.accept(net));
        self.net.stop_listening();
        let mut left = 0;
        each_service!(self, |net, service| left +=
            service.sessions.close_unused(net, &mut service.core));
        left == 0 || elapsed >= STOP_MOST
    }
}

//! The event loop: waits for sockets, timers and signals, and hands each to its handler.

use crate::invariants::{self, Invariant};
use crate::router::error::RouterError;
use crate::router::reactor::{Signal, SocketOwner, Timer};
use crate::router::state::Router;

impl Router {
    /// Serves until it has been told to end and all that was read is answered.
    ///
    /// # Errors
    /// The system can't wait for sockets any more.
    pub fn serve(&mut self) -> Result<(), RouterError> {
        self.look_at_control();
        loop {
            let ready = self.net.wait(self.services.next_turn())?;
            for ready in ready {
                match ready {
                    lichenswitch_net::Ready::Listener(owner) => self.accept(owner),
                    lichenswitch_net::Ready::Conn(id, owner) => self.ready(id, owner),
                    lichenswitch_net::Ready::Signal(signal) => self.signalled(signal),
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                self.timer(timer);
            }
            self.settle();
            if self.is_finished() {
                invariants::check(self.clients.waiting() == 0, Invariant::EndsAnswered);
                return Ok(());
            }
        }
    }

    /// Works off all that sockets and timers have brought: requests, answers, decisions.
    pub(super) fn settle(&mut self) {
        loop {
            self.take_client_events();
            self.take_server_events();
            self.take_turns();
            self.tell_control_of_tenants();
            if self.client_events.is_empty() && !self.connections.has_events() {
                break;
            }
        }
        if self.check_due || cfg!(debug_assertions) {
            self.check_due = false;
            self.check_waiting();
        }
        if self.net.is_accept_paused() {
            self.net.resume_accepting();
        }
        if self.net.is_accept_paused() {
            self.clients.make_room(&mut self.net);
        }
    }

    /// Whoever has sent a whole request, and has no answer yet, is held. Checked at each turn where
    /// debug assertions are on, else now and then: it counts all connections.
    pub(super) fn check_waiting(&self) {
        let held = self.exchanges.len() + self.awaiting_quota.len();
        invariants::check(self.clients.waiting() == held, Invariant::WaitingIsHeld);
    }

    pub(super) fn accept(&mut self, owner: SocketOwner) {
        match owner {
            SocketOwner::Client => self.clients.accept(&mut self.net),
            SocketOwner::Platform => self.readiness.accept(&mut self.net),
            SocketOwner::Server | SocketOwner::Control => {}
        }
    }

    pub(super) fn ready(&mut self, id: lichenswitch_net::ConnId, owner: SocketOwner) {
        match owner {
            SocketOwner::Client => self
                .clients
                .ready(&mut self.net, id, &mut self.client_events),
            SocketOwner::Platform => {
                let is_ready = self.is_ready();
                self.readiness.ready(&mut self.net, id, is_ready);
            }
            SocketOwner::Server => self.connections.ready(&mut self.net, id),
            SocketOwner::Control => {
                let news = self.link.ready(&mut self.net, id);
                self.take_news(news);
            }
        }
    }

    pub(super) fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::RequestDeadline(id) => self.overdue(id),
            Timer::AttemptTimeout(id) => self.timed_out(id),
            Timer::Client(id) => self
                .clients
                .timer(&mut self.net, id, &mut self.client_events),
            Timer::Platform(id) => self.readiness.timer(&mut self.net, id),
            Timer::Server(id) => self.connections.timer(&mut self.net, id),
            Timer::ConnectionWait(id) => self.connections.waited(id),
            Timer::ControlLink => self.look_at_control(),
            Timer::Quota => self.look_at_quota(),
            Timer::BacklogReport => self.report_backlog(),
            Timer::SettingsCheck => self.look_at_settings(),
            Timer::Shutdown => self.go_on_stopping(),
        }
    }

    pub(super) fn signalled(&mut self, signal: Signal) {
        self.net.clear_signal(signal);
        match signal {
            Signal::Stop => self.stop(),
            Signal::Reload => self.reload(),
        }
    }

    /// Whether the platform may send clients.
    pub(super) fn is_ready(&self) -> bool {
        let serves_keys = self.freshness.serves_keys(self.net.clock.now());
        let in_force = self.configuration.get();
        self.shutdown.is_none()
            && in_force.is_some_and(|it| serves_keys || it.document().tenants().is_none())
    }
}

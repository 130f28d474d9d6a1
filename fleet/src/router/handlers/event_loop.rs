//! The event loop: waits for sockets, timers and signals, and hands each to its handler.

use crate::invariants::{self, Invariant};
use crate::router::error::RouterError;
use crate::router::reactor::{Signal, SocketOwner, Timer};
use crate::router::state::Router;
use lichenswitch_net::{ConnId, Ready};

impl Router {
    /// Serves until a shutdown was requested and all that was read is answered.
    ///
    /// # Errors
    /// The system can't wait for sockets any more.
    pub fn serve(&mut self) -> Result<(), RouterError> {
        self.check_control_link();
        loop {
            let ready = self.net.wait(self.services.next_turn())?;
            for event in ready {
                match event {
                    Ready::Listener(owner) => self.on_acceptable(owner),
                    Ready::Conn(id, owner) => self.on_socket_ready(id, owner),
                    Ready::Signal(signal) => self.on_signal(signal),
                }
            }
            let now = self.net.clock.now();
            for timer in self.net.wheel.due(now) {
                self.on_timer(timer);
            }
            self.process_pending_work();
            if self.is_finished() {
                invariants::check(self.clients.waiting_count() == 0, Invariant::ExitIsAnswered);
                return Ok(());
            }
        }
    }

    /// Processes all that sockets and timers have brought: requests, responses, decisions.
    pub(super) fn process_pending_work(&mut self) {
        loop {
            self.handle_client_events();
            self.handle_server_events();
            self.run_decision_turns();
            self.send_tenant_messages();
            if self.client_events.is_empty() && !self.connections.has_events() {
                break;
            }
        }
        if self.is_check_due || cfg!(debug_assertions) {
            self.is_check_due = false;
            self.check_waiting_clients();
        }
        if self.net.is_accept_paused() {
            self.net.resume_accepting();
        }
        if self.net.is_accept_paused() {
            self.clients.close_idle_connections(&mut self.net);
        }
    }

    /// Checks that each client with a complete, unanswered request has an entry in the tables of
    /// requests. It counts all connections: with debug assertions each turn checks it, else now and
    /// then.
    pub(super) fn check_waiting_clients(&self) {
        let pending = self.requests.len() + self.quota_waiters.len();
        invariants::check(
            self.clients.waiting_count() == pending,
            Invariant::WaitingClientIsTracked,
        );
    }

    /// A listener has pending connections.
    pub(super) fn on_acceptable(&mut self, owner: SocketOwner) {
        match owner {
            SocketOwner::Client => self.clients.accept(&mut self.net),
            SocketOwner::Platform => self.readiness.accept(&mut self.net),
            SocketOwner::Server | SocketOwner::Control => {}
        }
    }

    /// A connection can be read or written.
    pub(super) fn on_socket_ready(&mut self, id: ConnId, owner: SocketOwner) {
        match owner {
            SocketOwner::Client => {
                self.clients
                    .on_ready(&mut self.net, id, &mut self.client_events)
            }
            SocketOwner::Platform => {
                let is_ready = self.is_ready();
                self.readiness.on_ready(&mut self.net, id, is_ready);
            }
            SocketOwner::Server => self.connections.on_ready(&mut self.net, id),
            SocketOwner::Control => {
                let updates = self.control_link.on_ready(&mut self.net, id);
                self.apply_control_updates(updates);
            }
        }
    }

    /// A timer has fired.
    pub(super) fn on_timer(&mut self, timer: Timer) {
        match timer {
            Timer::RequestDeadline(id) => self.on_request_deadline(id),
            Timer::AttemptTimeout(id) => self.on_attempt_timeout(id),
            Timer::Client(id) => self
                .clients
                .on_timer(&mut self.net, id, &mut self.client_events),
            Timer::Platform(id) => self.readiness.on_timer(&mut self.net, id),
            Timer::Server(id) => self.connections.on_timer(&mut self.net, id),
            Timer::ConnectionWait(id) => self.connections.on_wait_timeout(id),
            Timer::ControlLink => self.check_control_link(),
            Timer::Quota => self.expire_quota_waiters(),
            Timer::BacklogReport => self.report_backlog(),
            Timer::SettingsCheck => self.check_settings_file(),
            Timer::Shutdown => self.continue_shutdown(),
        }
    }

    /// A signal has come.
    pub(super) fn on_signal(&mut self, signal: Signal) {
        self.net.clear_signal(signal);
        match signal {
            Signal::Stop => self.begin_shutdown(),
            Signal::Reload => self.reload_settings(),
        }
    }

    /// Whether the platform may route clients here.
    pub(super) fn is_ready(&self) -> bool {
        let can_serve_keys = self.freshness.can_serve_keys(self.net.clock.now());
        let active = self.configuration.get();
        self.shutdown.is_none()
            && active.is_some_and(|configuration| {
                can_serve_keys || configuration.document().tenants().is_none()
            })
    }
}

//! A service: one front, its core and the data nodes behind it, as the broker's loop drives them.
//!
//! It owns the path of a query between these: `Service::on_ready` takes what clients and data nodes
//! send, `Service::on_timer` what timers bring, and a turn carries out the commands of the core.

use crate::core::{Command, Core};
use crate::discovery::Directory;
use crate::front::{Front, Sessions};
use crate::interface::{ListedServer, Outcome, ServerId, ServerListUpdate, ServerMode, Time};
use crate::log_writer::log;
use crate::net::{ConnId, Net, Owner, Timer};
use crate::upstream::{Pool, Wire};

/// One front, its core and the data nodes behind it.
pub struct Service<F: Front, W: Wire<Job = F::Job>> {
    pub(crate) owner: Owner,
    pub(crate) front: F,
    pub(crate) sessions: Sessions<F::Context>,
    pub(crate) core: Core<F::Job>,
    pub(crate) pool: Pool<W>,
    pub(crate) directory: Directory,
    /// The module asked for changes of the list.
    is_subscribe_requested: bool,
}

impl<F: Front, W: Wire<Job = F::Job>> Service<F, W> {
    /// A service whose clients connect to the listeners of `owner`.
    pub fn new(
        owner: Owner,
        front: F,
        sessions: Sessions<F::Context>,
        core: Core<F::Job>,
        pool: Pool<W>,
        directory: Directory,
    ) -> Self {
        Service {
            owner,
            front,
            sessions,
            core,
            pool,
            directory,
            is_subscribe_requested: false,
        }
    }

    /// Whether the module has asked for changes of the list since the last time.
    pub(crate) fn take_subscribe_request(&mut self) -> bool {
        std::mem::take(&mut self.is_subscribe_requested)
    }

    /// Accepts the clients that wait.
    pub(crate) fn accept(&mut self, net: &mut Net) {
        for id in net.accept(self.owner) {
            self.sessions.on_connected(net, id, self.owner);
        }
    }

    /// Reads and writes what a connection of a client or a data node is ready for.
    pub(crate) fn on_ready(&mut self, net: &mut Net, id: ConnId, owner: Owner) {
        if owner == self.owner {
            self.sessions
                .on_ready(net, id, &mut self.front, &mut self.core);
        } else if owner == W::OWNER {
            self.pool.on_ready(net, id);
        }
    }

    /// A timer has come due; those of others are ignored.
    pub(crate) fn on_timer(&mut self, net: &mut Net, timer: Timer) {
        match timer {
            Timer::Attempt(owner, attempt) if owner == W::OWNER => {
                let now = net.clock.now();
                // What never left because this process lacked a descriptor is no silence of the
                // node.
                let outcome = if self.pool.is_parked(attempt) {
                    Outcome::NeverSent
                } else {
                    Outcome::Timeout
                };
                if self.core.on_attempt_ended(now, attempt, outcome, None) {
                    self.pool.withdraw(net, attempt);
                }
            }
            Timer::Conn(id) => {
                self.pool.on_timer(net, id);
            }
            Timer::Answer(id) => self.pool.on_response_timeout(net, id),
            Timer::Clients(owner) if owner == self.owner => {
                self.sessions.sweep(net, owner, &self.front, &mut self.core);
            }
            // The next turn tends the calls that wait.
            Timer::Attempt(..) | Timer::Clients(_) | Timer::Discovery(_) | Timer::Parked(_) => {}
        }
    }

    /// Hands in the ends of attempts, and takes a turn if it is time.
    pub(crate) fn run_turn(&mut self, net: &mut Net) {
        // First of all, and not at the next turn of the module: what waits for a connection might
        // leave before that.
        for attempt in self.core.take_recalls() {
            self.recall(net, attempt);
        }
        self.pool.serve_parked(net);
        self.collect_ended(net.clock.now());
        let now = net.clock.now();
        if self.core.next_turn().is_none_or(|at| at > now) {
            return;
        }
        for command in self.core.turn(now) {
            match command {
                Command::Send(server, parts) => {
                    for part in &parts {
                        net.wheel.set(
                            now.plus(part.timeout),
                            Timer::Attempt(W::OWNER, part.attempt),
                        );
                    }
                    match self.directory.address(server) {
                        Some(address) => self.pool.send(net, server, address, parts),
                        // A node that was listed without a usable address can't be reached.
                        None => parts.iter().for_each(|p| {
                            self.core.on_attempt_ended(
                                now,
                                p.attempt,
                                Outcome::ConnectFailed,
                                None,
                            );
                        }),
                    }
                }
                Command::Cancel(attempt) => self.pool.withdraw(net, attempt),
                Command::Recall(attempt) => self.recall(net, attempt),
                Command::CloseIdle(server) => self.pool.close_idle(net, server),
                Command::Reply(query, reply) => {
                    self.sessions
                        .reply(net, query, reply, &mut self.front, &mut self.core);
                }
                Command::Subscribe => self.is_subscribe_requested = true,
                Command::Log(text) => log(&self.with_server_name(&text)),
            }
        }
        self.collect_ended(net.clock.now());
    }

    /// Ends an attempt that has not left yet; one that has goes on as its class says.
    fn recall(&mut self, net: &mut Net, attempt: u64) {
        if self.pool.recall(net, attempt) {
            self.core
                .on_attempt_ended(net.clock.now(), attempt, Outcome::NeverSent, None);
        }
    }

    /// Hands the ends of attempts to the core.
    fn collect_ended(&mut self, now: Time) {
        let (ended, lines) = self.pool.take_ended();
        for end in ended {
            self.core
                .on_attempt_ended(now, end.attempt, end.outcome, end.value);
        }
        lines
            .iter()
            .for_each(|line| log(&self.with_server_name(line)));
    }

    /// A log line in which the number of a server is followed by the name that discovery has for
    /// it.
    fn with_server_name(&self, line: &str) -> String {
        let number = line
            .split("server ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse().ok());
        match number {
            Some(number) => format!("{line} ({})", self.directory.name(ServerId(number))),
            None => line.to_string(),
        }
    }

    /// Closes the connections to nodes that are gone; one that still carries calls ends when it
    /// falls idle.
    pub(crate) fn disconnect_gone(&mut self, net: &mut Net) {
        for server in self.directory.take_gone() {
            self.pool.drop_unsent(server);
            self.pool.forget_node(net, server);
        }
    }

    /// Applies an update of the server list: the core gets it, and the pool learns of nodes that have just
    /// started.
    pub(crate) fn apply_list_update(&mut self, update: ServerListUpdate) {
        if let ServerListUpdate::Changes(lines)
        | ServerListUpdate::Complete(lines)
        | ServerListUpdate::Cached(lines) = &update
        {
            let warm_after = self.core.settings().slow_start.warm_after;
            let (ready, ends): (Vec<_>, Vec<_>) = lines
                .iter()
                .partition(|line| matches!(line.mode, ServerMode::Ready | ServerMode::Leaving));
            ends.into_iter()
                .for_each(|line: &ListedServer| self.pool.drop_unsent(line.server));
            let ready = ready.into_iter();
            let started = ready.filter_map(|line| Some((line.server, line.started_at?)));
            started.for_each(|(server, at)| self.pool.greet_until(server, at.plus(warm_after)));
            // An empty list of before the start is none: nothing can be served by it.
            if !matches!(&update, ServerListUpdate::Cached(lines) if lines.is_empty()) {
                self.front.on_server_list();
            }
        }
        self.core.on_server_list(update);
    }
}

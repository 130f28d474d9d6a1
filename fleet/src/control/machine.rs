//! One control machine: the loop, and the order in which the parts get what has happened.

use super::backlog::Backlogs;
use super::callers::Callers;
use super::calls::{CallDispatcher, PrimaryLocation};
use super::contact::Told;
use super::feed::Feed;
use super::group::{begins, draw_identity, eligibility, of_replica, to_replica, Group};
use super::links::{End, Links};
use super::peers::{Peers, CONNECT_TIMEOUT, SILENCE};
use super::program::{after, elapsed, sooner, Net, Owner, Signal};
use super::quotas::Quotas;
use super::routers::Routers;
use super::servers::Servers;
use super::{notices, own_part, status, ControlError, Environment, DIGEST_INTERVAL};
use crate::settings::Settings;
use lichenswitch_control::{
    AcknowledgedVersions, CommittedConfiguration, GroupMembership, RejectedOrders,
};
use lichenswitch_interface::Time;
use lichenswitch_messages::{Envelope, PeerMessage, ROUTER_HEARTBEAT_MS};
use lichenswitch_net::{ConnId, Ready};
use lichenswitch_replication::{Body, Identity, Message, Output};
use log::info;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io;
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// Between two words to routers; all that is due now and then rides on it.
const TICK: Duration = Duration::from_millis(ROUTER_HEARTBEAT_MS);
/// Connections of other processes that are set aside in each direction.
const INTERNAL_CONNECTIONS: usize = 256;

/// A control machine.
pub(super) struct Machine {
    pub(super) settings: Settings,
    pub(super) environment: Environment,
    pub(super) path: PathBuf,
    pub(super) file_changed: Option<std::time::SystemTime>,
    /// Where other processes of the fleet reach this one.
    pub(super) address: SocketAddr,
    /// Of the disk; of the process where it holds no part of the group.
    pub(super) identity: u64,
    pub(super) own_part: GroupMembership,
    pub(super) net: Net,
    pub(super) links: Links,
    pub(super) peers: Peers,
    pub(super) group: Option<Group>,
    pub(super) feed: Feed,
    pub(super) servers: Servers,
    pub(super) routers: Routers,
    pub(super) callers: Callers,
    pub(super) calls: CallDispatcher,
    pub(super) quotas: Quotas,
    pub(super) backlogs: Backlogs,
    /// What callers of this machine were told is taken.
    pub(super) acknowledged: AcknowledgedVersions,
    /// The last orders that were refused here.
    pub(super) rejected_orders: RejectedOrders,
    /// The newest configuration that is known to be committed.
    pub(super) committed: Option<CommittedConfiguration>,
    /// What others were told last.
    pub(super) told: Told,
    pub(super) next_tick: Time,
    pub(super) next_digest: Time,
    pub(super) next_look_at_file: Time,
    /// When a disk that could not be read is tried again.
    pub(super) next_try_at_disk: Time,
    /// When the signal to stop came.
    pub(super) leaving: Option<Time>,
}

impl Machine {
    /// A machine that listens, and has read its disk.
    pub(super) fn start(
        settings: Settings,
        path: PathBuf,
        environment: Environment,
    ) -> Result<Machine, ControlError> {
        let control_plane = settings
            .listen
            .control_plane
            .ok_or(ControlError::NoAddress)?;
        let address = SocketAddr::new(settings.ip_address, settings.internal_ports.0);
        let mut net = Net::new(settings.limits.file_descriptors)?;
        net.reserve_for_peers(INTERNAL_CONNECTIONS);
        watch_signals(&mut net)?;
        let now = net.clock.now();
        let eligibility = eligibility(&settings);
        let group = match begins(eligibility, &settings) {
            true => own_part::begin(&settings, &environment, address, &mut net, now),
            false => None,
        };
        let servers = Servers::start(&settings, &environment, &mut net, now)?;
        // Whoever connects is answered from the first moment: what is not known yet is
        // answered 503.
        net.listen(Owner::Accepted, address)?;
        net.listen(Owner::Caller, control_plane)?;
        let identity = group
            .as_ref()
            .map_or_else(|| draw_identity(&address.to_string()), Group::identity);
        info!(target: "control", node = settings.node_name.as_str(), address = address.to_string().as_str(),
            eligible = group.is_some(); "control machine has started");
        let mut machine = Machine {
            address,
            quotas: Quotas::new(identity.0, group.as_ref(), settings.bounds.quota_terms()),
            identity: identity.0,
            own_part: GroupMembership::new(
                eligibility,
                to_replica(now),
                settings.fault_tolerance.machines,
            ),
            links: Links::default(),
            peers: Peers::new(address, settings.seeds_internal(), now),
            group,
            feed: Feed::new(fastrand::u64(..)),
            servers,
            routers: Routers::new(),
            callers: Callers::default(),
            calls: CallDispatcher::new(fastrand::u64(..)),
            backlogs: Backlogs::default(),
            acknowledged: AcknowledgedVersions::default(),
            rejected_orders: RejectedOrders::default(),
            committed: None,
            told: Told::default(),
            next_tick: now,
            next_digest: now,
            next_look_at_file: now,
            next_try_at_disk: after(now, own_part::DISK_PAUSE),
            leaving: None,
            file_changed: modified(&path),
            settings,
            environment,
            path,
            net,
        };
        machine.tell_who_lacks_a_disk();
        // The voters that the disk names are connected to at once, wherever the seeds are.
        machine
            .voters()
            .into_iter()
            .for_each(|voter| machine.peers.learn(voter, now));
        Ok(machine)
    }

    /// The loop.
    pub(super) fn run(mut self) -> Result<(), ControlError> {
        self.settle();
        while !self.may_end() {
            let until = self.next_wake();
            for ready in self.net.wait(until)? {
                self.on_ready(ready);
            }
            self.on_time();
            self.settle();
        }
        info!(target: "control", "control machine ends");
        let Machine { net, group, .. } = self;
        // Callers and peers go on elsewhere at once, however long the disk still takes.
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
                    self.links.insert(id, End::Unknown, now);
                }
            }
            Ready::Conn(id, Owner::Caller) => {
                if let Some(request) = self.callers.ready(&mut self.net, id) {
                    self.on_request(id, &request);
                }
            }
            Ready::Conn(id, Owner::Accepted | Owner::Dialled) => self.on_link_ready(id),
        }
    }

    fn on_signal(&mut self, signal: Signal) {
        self.net.clear_signal(signal);
        let now = self.net.clock.now();
        match signal {
            Signal::Stop => self.on_stop(now),
            Signal::Reload => self.reload(now),
            Signal::Written => {
                if let Some(group) = &mut self.group {
                    group.on_written(now);
                }
            }
            // The turn that follows looks at what is held now.
            Signal::TableWritten => {}
        }
    }

    /// Does what is due.
    fn on_time(&mut self) {
        let now = self.net.clock.now();
        if let Some(group) = self
            .group
            .as_mut()
            .filter(|group| group.next_wake().is_some_and(|at| at <= now))
        {
            group.replica.tick(to_replica(now));
        }
        for address in self.peers.due(now) {
            self.dial(address, now);
        }
        self.feed.tick(now);
        self.look_at_draws(now);
        self.tell_backlogs(now);
        if self.next_tick <= now {
            self.next_tick = after(now, TICK);
            self.tick(now);
        }
        if self.next_digest <= now {
            // A little early, so that the tick that comes next is not missed by its own lateness.
            self.next_digest = after(now, DIGEST_INTERVAL - TICK / 4);
            self.digest(now);
        }
    }

    fn tick(&mut self, now: Time) {
        self.close_silent(now);
        self.servers.tick(now);
        self.advance_buckets(now);
        self.routers.tick(now);
        self.callers.sweep(&mut self.net);
        self.reload_if_changed(now);
        self.forget_dead(now);
        self.look_at_own_part(now);
        self.tell_routers(now);
        self.tell_relays(now);
    }

    /// Opens a connection to a peer.
    fn dial(&mut self, address: SocketAddr, now: Time) {
        match self
            .net
            .connect(Owner::Dialled, self.settings.reached_at(address))
        {
            Ok(id) => {
                self.links.insert(id, End::Peer(address), now);
                self.peers.on_dial(address, id, now);
                self.on_link_ready(id);
            }
            Err(_) => self.peers.on_dial_failed(address, now),
        }
    }

    /// Closes connections on which nothing came for too long, or that never came up.
    fn close_silent(&mut self, now: Time) {
        let net = &self.net;
        let silent = |(id, end, opened): &(ConnId, End, Time)| {
            let Some(conn) = net.get(*id) else {
                return true;
            };
            match end {
                _ if !conn.up => elapsed(*opened, now) > CONNECT_TIMEOUT,
                // Routers have little to say; the system finds out when nobody is there.
                End::Router => false,
                End::Peer(_) | End::Unknown => elapsed(conn.last_read_at, now) > SILENCE,
            }
        };
        let silent: Vec<ConnId> = self
            .links
            .iter()
            .filter(silent)
            .map(|(id, ..)| id)
            .collect();
        silent
            .into_iter()
            .for_each(|id| self.close_link(id, "silent for too long"));
    }

    fn forget_dead(&mut self, now: Time) {
        let voters = self.voters();
        for address in self.peers.forget_dead(&voters, now) {
            info!(target: "control", address = address.to_string().as_str(); "peer is forgotten");
        }
    }

    /// Addresses of the voters, as far as this machine knows them.
    pub(super) fn voters(&self) -> Vec<SocketAddr> {
        let Some(group) = &self.group else {
            return Vec::new();
        };
        group
            .replica
            .membership()
            .all()
            .filter_map(|member| member.address.parse().ok())
            .collect()
    }

    /// Hands everything on until nothing is left to be done, and writes what was queued.
    fn settle(&mut self) {
        loop {
            let now = self.net.clock.now();
            let mut busy = self.advance_calls(now);
            // After the calls: what they ask of the replica goes out in this turn, not with the
            // next heartbeat.
            busy |= self.do_outputs(now);
            busy |= self.tell_servers(now);
            self.look_at_committed(now);
            self.look_at_contact(now);
            self.look_at_tenure(now);
            busy |= self.flush();
            if !busy {
                return;
            }
        }
    }

    /// Does what the replica wants done.
    fn do_outputs(&mut self, now: Time) -> bool {
        let Some(group) = &mut self.group else {
            return false;
        };
        let outputs = group.take_outputs(now);
        let busy = !outputs.is_empty();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send_replication(&to, &message, now),
                Output::Completed { request, outcome } => {
                    if let Some(group) = &mut self.group {
                        let status = |replica: &_| status::group(replica, now).into_bytes();
                        let replica = &mut group.replica;
                        self.calls.on_request_completed(
                            to_replica(now),
                            request,
                            &outcome,
                            replica,
                            status,
                        );
                    }
                }
                Output::Notice(notice) => notices::log(&notice),
                // What is committed is looked at after each turn; what is to be written was begun
                // by the group.
                Output::Committed(_) | Output::Persist { .. } => {}
            }
        }
        busy
    }

    fn send_replication(&mut self, to: &str, message: &Message, now: Time) {
        let Ok(address) = to.parse() else { return };
        self.peers.learn(address, now);
        let Some(id) = self.peers.connection(address) else {
            return;
        };
        if matches!(message.body, Body::Append(_)) && !self.is_known_member(address, now) {
            return;
        }
        let envelope = Envelope::Peer(PeerMessage::Replication(message.encode()));
        // Heartbeats and answers to them are repeated, records and images come again with the next
        // heartbeat.
        match message.body {
            Body::TakeOver { .. } | Body::LeaveRequest | Body::LeaveResponse { .. } => {
                self.links.send(&mut self.net, id, &envelope);
            }
            _ => self.links.send_repeatable(&mut self.net, id, &envelope),
        }
    }

    /// Whether whoever is at an address is a member, or has asked to be one. A heartbeat for a
    /// voter whose disk was lost would reach the newcomer in its place, which would take itself for
    /// one that was let in, and ask no more.
    fn is_known_member(&self, address: SocketAddr, now: Time) -> bool {
        let introduced = self
            .peers
            .get(address)
            .and_then(|peer| peer.introduction.as_ref());
        let (Some(introduced), Some(group)) = (introduced, &self.group) else {
            return false;
        };
        let identity = Identity(introduced.identity);
        let named = group.replica.membership().member(identity).is_some();
        named
            || group
                .replica
                .status(to_replica(now))
                .peers
                .iter()
                .any(|peer| peer.identity == identity)
    }

    /// Where the primary is, and can be reached.
    pub(super) fn primary(&self, now: Time) -> PrimaryLocation {
        let group = self.group.as_ref().map(|group| &group.replica);
        if group.is_some_and(|replica| replica.is_serving()) {
            return PrimaryLocation::Local;
        }
        let known = group
            .and_then(|replica| replica.primary())
            .and_then(|member| member.address.parse().ok());
        let known = known
            .filter(|address| *address != self.address)
            .or_else(|| self.feed.primary(now));
        match known.filter(|address| self.peers.connection(*address).is_some()) {
            Some(address) => PrimaryLocation::Remote(address),
            None => PrimaryLocation::Unknown,
        }
    }

    fn flush(&mut self) -> bool {
        let broken = self.links.flush(&mut self.net);
        let mut busy = !broken.is_empty();
        broken
            .into_iter()
            .for_each(|id| self.close_link(id, "can't be written"));
        for (id, request) in self.callers.flush(&mut self.net) {
            busy = true;
            self.on_request(id, &request);
        }
        busy
    }

    /// When something is due by itself.
    fn next_wake(&self) -> Option<Time> {
        let waits = [
            self.group.as_ref().and_then(Group::next_wake),
            self.peers.next_wake(),
            self.calls.next_wake().map(of_replica),
            self.servers.next_wake(),
            self.feed.next_wake(),
            self.quotas.next_wake(),
            self.backlogs.next_wake(),
            self.shutdown_wake(),
            Some(self.next_tick),
        ];
        waits.into_iter().fold(None, sooner)
    }
}

/// When the file was changed last; `None` while it can't be told.
pub(super) fn modified(path: &std::path::Path) -> Option<std::time::SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

fn watch_signals(net: &mut Net) -> io::Result<()> {
    for (number, signal) in [
        (SIGTERM, Signal::Stop),
        (SIGINT, Signal::Stop),
        (SIGHUP, Signal::Reload),
    ] {
        let (ours, theirs) = UnixStream::pair()?;
        net.watch_signal(signal, ours)?;
        signal_hook::low_level::pipe::register(number, theirs)?;
    }
    Ok(())
}

//! A model router: it holds one connection to a control machine and applies what is pushed, by
//! `docs/design/control.md`, section 8.

use lichenswitch_messages::{
    ConfigurationPosition, ControlToRouter, RouterToControl, PROTOCOL_VERSION,
};
use lichenswitch_replication::Time;

use super::Surroundings;
use crate::documents::version_of;
use crate::network::Host;
use crate::packet::{ConnectionId, Packet};

/// A control machine that is silent or without contact for so many microseconds is left.
const RESPONSE_TIMEOUT: u64 = 700_000;
/// A router that starts takes an unconfirmed configuration after so many microseconds.
const UNCONFIRMED_AFTER: u64 = 3_000_000;
/// Between two connections, in microseconds.
const RETRY: u64 = 50_000;
/// A configuration that was acknowledged so many microseconds ago is to be in force
/// (`configApplyMs`).
pub const APPLY_BOUND: u64 = 2_000_000;

#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    to: Host,
    in_contact: bool,
    /// When it was last heard to be in contact; when it was made, before that.
    good_at: Time,
}

#[derive(Clone, Debug)]
struct PausedMessages {
    position: ConfigurationPosition,
    version: u64,
    document: Vec<u8>,
}

/// A router.
#[derive(Debug)]
pub struct Router {
    host: Host,
    /// When this life of its process began.
    pub started: Time,
    connection: Option<Connection>,
    retry_at: Time,
    last: Option<Host>,
    first: Option<Host>,
    in_force: Option<PausedMessages>,
    /// What it was offered without contact, while it had nothing, and on which connection.
    offered: Option<(ConnectionId, PausedMessages)>,
    /// Configurations that were put in force.
    pub applied: u64,
}

impl Router {
    /// One that starts at this time; `first`: where it goes first.
    pub fn start(host: Host, now: Time, first: Option<Host>) -> Self {
        Self {
            host,
            started: now,
            connection: None,
            retry_at: now,
            last: None,
            first,
            in_force: None,
            offered: None,
            applied: 0,
        }
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.in_force.as_ref().map(|paused| paused.version)
    }

    /// The control machine that it is connected to.
    pub fn connected_to(&self) -> Option<Host> {
        self.connection.as_ref().map(|connection| connection.to)
    }

    /// When [`Self::on_wake`] has something to do.
    pub fn next_wake(&self) -> Time {
        let connection = self.connection.as_ref();
        let wake = connection.map_or(self.retry_at, |connection| {
            connection.good_at.after(RESPONSE_TIMEOUT)
        });
        match self.offered {
            Some(_) => wake.min(self.started.after(UNCONFIRMED_AFTER)),
            None => wake,
        }
    }

    /// Time has passed.
    pub fn on_wake(&mut self, around: &mut Surroundings<'_>) {
        let bad = self
            .connection
            .as_ref()
            .filter(|c| around.now.since(c.good_at) >= RESPONSE_TIMEOUT);
        if let Some((id, to)) = bad.map(|connection| (connection.id, connection.to)) {
            around
                .records
                .push(format!("leaves {to}: silent or without contact"));
            around.outgoing.push((to, Packet::FromRouter(id, None)));
            self.close(around.now);
        }
        if around.now.since(self.started) >= UNCONFIRMED_AFTER {
            if let Some((_, offered)) = self.offered.take() {
                self.apply(around, offered);
            }
        }
        if self.connection.is_none() && around.now >= self.retry_at {
            self.connect(around);
        }
    }

    fn close(&mut self, now: Time) {
        self.connection = None;
        self.retry_at = now.after(RETRY);
    }

    fn connect(&mut self, around: &mut Surroundings<'_>) {
        self.retry_at = around.now.after(RETRY);
        let first = self.first.take();
        let Some(to) = first.or_else(|| around.another(self.last)) else {
            return;
        };
        self.last = Some(to);
        around.records.push(format!("connects to {to}"));
        let id = around.new_connection();
        self.connection = Some(Connection {
            id,
            to,
            in_contact: false,
            good_at: around.now,
        });
        let hello = RouterToControl::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: self.host.to_string(),
            zone: String::new(),
            process: u64::from(self.host.0),
            configuration: self.in_force.as_ref().map(|paused| paused.position),
        };
        around
            .outgoing
            .push((to, Packet::FromRouter(id, Some(hello))));
    }

    /// The control machine has said something, or closed the connection.
    pub fn on_message(
        &mut self,
        around: &mut Surroundings<'_>,
        id: ConnectionId,
        message: Option<ControlToRouter>,
    ) {
        let Some(connection) = self
            .connection
            .as_mut()
            .filter(|connection| connection.id == id)
        else {
            return;
        };
        match message {
            None => self.close(around.now),
            Some(ControlToRouter::Heartbeat { in_contact, .. }) => {
                connection.in_contact = in_contact;
                if in_contact {
                    connection.good_at = around.now;
                    self.take_offered(around);
                }
            }
            Some(ControlToRouter::Configuration {
                position, document, ..
            }) => {
                let version = version_of(&document).unwrap_or(0);
                self.on_configuration(
                    around,
                    PausedMessages {
                        position,
                        version,
                        document,
                    },
                );
            }
            Some(ControlToRouter::Servers { .. }) => {}
        }
    }

    fn on_configuration(&mut self, around: &mut Surroundings<'_>, paused: PausedMessages) {
        let newer = self
            .in_force
            .as_ref()
            .is_none_or(|before| before.position < paused.position);
        let in_contact = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.in_contact);
        let late = around.now.since(self.started) >= UNCONFIRMED_AFTER;
        if !newer {
            return;
        }
        if self.in_force.is_none() && !in_contact && !late {
            return self.keep_offer(paused);
        }
        if self.in_force.is_none() && in_contact {
            let long_ago = Time(around.now.0.saturating_sub(APPLY_BOUND));
            around
                .ledger
                .on_handed_as_current(self.host, &paused.document, long_ago);
        }
        self.apply(around, paused);
    }

    fn keep_offer(&mut self, paused: PausedMessages) {
        let newest = self
            .offered
            .as_ref()
            .is_none_or(|(_, before)| before.position < paused.position);
        let connection = self
            .connection
            .as_ref()
            .filter(|_| newest)
            .map(|connection| connection.id);
        if let Some(connection) = connection {
            self.offered = Some((connection, paused));
        }
    }

    /// What was offered by this machine before it was in contact is current now. What another
    /// offered may be old.
    fn take_offered(&mut self, around: &mut Surroundings<'_>) {
        let here = self.connection.as_ref().map(|connection| connection.id);
        if let Some((_, offered)) = self
            .offered
            .take_if(|(connection, _)| Some(*connection) == here)
        {
            self.on_configuration(around, offered);
        }
    }

    fn apply(&mut self, around: &mut Surroundings<'_>, paused: PausedMessages) {
        if self
            .in_force
            .as_ref()
            .is_some_and(|before| before.position >= paused.position)
        {
            return;
        }
        around
            .ledger
            .on_in_force(self.host, self.version(), &paused.document);
        around
            .records
            .push(format!("puts {} in force", paused.version));
        self.in_force = Some(paused);
        self.offered = None;
        self.applied += 1;
    }
}

//! A model router: it holds one connection to a control machine and applies what is pushed, by
//! `docs/design/control.md`, section 8.

use lichenswitch_messages::{
    ConfigurationPosition, ControlToRouter, RouterToControl, PROTOCOL_VERSION,
};
use lichenswitch_replication::Time;

use super::CallerContext;
use crate::network::Host;
use crate::orders::version_of;
use crate::packet::{ConnectionId, Packet};

/// Microseconds without a heartbeat in contact after which a router leaves its control machine.
const CONTACT_TIMEOUT_US: u64 = 700_000;
/// Microseconds after its start from which a router applies an unconfirmed configuration.
const UNCONFIRMED_APPLY_DELAY_US: u64 = 3_000_000;
/// Between closing a connection and opening the next, in microseconds.
const RECONNECT_DELAY_US: u64 = 50_000;
/// A configuration that was acknowledged so many microseconds ago is to be in force
/// (`configApplyMs`).
pub const APPLY_BOUND_US: u64 = 2_000_000;

#[derive(Debug)]
struct Connection {
    id: ConnectionId,
    to: Host,
    in_contact: bool,
    /// When the last heartbeat in contact arrived; before the first, when the connection was made.
    last_in_contact_at: Time,
}

#[derive(Clone, Debug)]
struct ReceivedConfiguration {
    position: ConfigurationPosition,
    version: u64,
    document: Vec<u8>,
}

/// A router.
#[derive(Debug)]
pub struct Router {
    host: Host,
    /// When this process started.
    pub started: Time,
    connection: Option<Connection>,
    retry_at: Time,
    last: Option<Host>,
    preferred: Option<Host>,
    in_force: Option<ReceivedConfiguration>,
    /// What was pushed without contact while nothing was in force, and on which connection.
    offered: Option<(ConnectionId, ReceivedConfiguration)>,
    /// Configurations that were put in force.
    pub applied: u64,
}

impl Router {
    /// One that starts at this time, and connects first to the preferred machine.
    pub fn start(host: Host, now: Time, preferred: Option<Host>) -> Self {
        Self {
            host,
            started: now,
            connection: None,
            retry_at: now,
            last: None,
            preferred,
            in_force: None,
            offered: None,
            applied: 0,
        }
    }

    /// The version in force.
    pub fn version(&self) -> Option<u64> {
        self.in_force
            .as_ref()
            .map(|configuration| configuration.version)
    }

    /// The control machine that it is connected to.
    pub fn connected_to(&self) -> Option<Host> {
        self.connection.as_ref().map(|connection| connection.to)
    }

    /// When [`Self::on_wake`] has something to do.
    pub fn next_wake(&self) -> Time {
        let connection = self.connection.as_ref();
        let wake = connection.map_or(self.retry_at, |connection| {
            connection.last_in_contact_at.after(CONTACT_TIMEOUT_US)
        });
        match self.offered {
            Some(_) => wake.min(self.started.after(UNCONFIRMED_APPLY_DELAY_US)),
            None => wake,
        }
    }

    /// Time has passed.
    pub fn on_wake(&mut self, context: &mut CallerContext<'_>) {
        let bad = self
            .connection
            .as_ref()
            .filter(|c| context.now.since(c.last_in_contact_at) >= CONTACT_TIMEOUT_US);
        if let Some((id, to)) = bad.map(|connection| (connection.id, connection.to)) {
            context
                .notes
                .push(format!("leaves {to}: silent or without contact"));
            context.outgoing.push((to, Packet::FromRouter(id, None)));
            self.close(context.now);
        }
        if context.now.since(self.started) >= UNCONFIRMED_APPLY_DELAY_US {
            if let Some((_, offered)) = self.offered.take() {
                self.apply(context, offered);
            }
        }
        if self.connection.is_none() && context.now >= self.retry_at {
            self.connect(context);
        }
    }

    fn close(&mut self, now: Time) {
        self.connection = None;
        self.retry_at = now.after(RECONNECT_DELAY_US);
    }

    fn connect(&mut self, context: &mut CallerContext<'_>) {
        self.retry_at = context.now.after(RECONNECT_DELAY_US);
        let preferred = self.preferred.take();
        let Some(to) = preferred.or_else(|| context.pick_machine(self.last)) else {
            return;
        };
        self.last = Some(to);
        context.notes.push(format!("connects to {to}"));
        let id = context.new_connection();
        self.connection = Some(Connection {
            id,
            to,
            in_contact: false,
            last_in_contact_at: context.now,
        });
        let hello = RouterToControl::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: self.host.to_string(),
            zone: String::new(),
            process: u64::from(self.host.0),
            configuration: self
                .in_force
                .as_ref()
                .map(|configuration| configuration.position),
        };
        context
            .outgoing
            .push((to, Packet::FromRouter(id, Some(hello))));
    }

    /// The control machine has sent a message, or (`None`) closed the connection.
    pub fn on_message(
        &mut self,
        context: &mut CallerContext<'_>,
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
            None => self.close(context.now),
            Some(ControlToRouter::Heartbeat { in_contact, .. }) => {
                connection.in_contact = in_contact;
                if in_contact {
                    connection.last_in_contact_at = context.now;
                    self.take_offered(context);
                }
            }
            Some(ControlToRouter::Configuration {
                position, document, ..
            }) => {
                let version = version_of(&document).unwrap_or(0);
                self.on_configuration(
                    context,
                    ReceivedConfiguration {
                        position,
                        version,
                        document,
                    },
                );
            }
            Some(ControlToRouter::Servers { .. }) => {}
        }
    }

    fn on_configuration(
        &mut self,
        context: &mut CallerContext<'_>,
        configuration: ReceivedConfiguration,
    ) {
        let newer = self
            .in_force
            .as_ref()
            .is_none_or(|before| before.position < configuration.position);
        let in_contact = self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.in_contact);
        let late = context.now.since(self.started) >= UNCONFIRMED_APPLY_DELAY_US;
        if !newer {
            return;
        }
        if self.in_force.is_none() && !in_contact && !late {
            return self.store_offer(configuration);
        }
        if self.in_force.is_none() && in_contact {
            let acknowledged_by = Time(context.now.0.saturating_sub(APPLY_BOUND_US));
            context.oracle.on_served_as_current(
                self.host,
                &configuration.document,
                acknowledged_by,
            );
        }
        self.apply(context, configuration);
    }

    fn store_offer(&mut self, configuration: ReceivedConfiguration) {
        let newest = self
            .offered
            .as_ref()
            .is_none_or(|(_, before)| before.position < configuration.position);
        let connection = self
            .connection
            .as_ref()
            .filter(|_| newest)
            .map(|connection| connection.id);
        if let Some(connection) = connection {
            self.offered = Some((connection, configuration));
        }
    }

    /// What this machine pushed before it was in contact is current now. What another machine pushed
    /// may be old.
    fn take_offered(&mut self, context: &mut CallerContext<'_>) {
        let here = self.connection.as_ref().map(|connection| connection.id);
        if let Some((_, offered)) = self
            .offered
            .take_if(|(connection, _)| Some(*connection) == here)
        {
            self.on_configuration(context, offered);
        }
    }

    fn apply(&mut self, context: &mut CallerContext<'_>, configuration: ReceivedConfiguration) {
        if self
            .in_force
            .as_ref()
            .is_some_and(|before| before.position >= configuration.position)
        {
            return;
        }
        context
            .oracle
            .on_in_force(self.host, self.version(), &configuration.document);
        context
            .notes
            .push(format!("puts {} in force", configuration.version));
        self.in_force = Some(configuration);
        self.offered = None;
        self.applied += 1;
    }
}

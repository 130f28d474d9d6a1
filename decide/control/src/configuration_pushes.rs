//! Pushes of configurations to one router on its connection.
//!
//! A configuration is pushed at most once per connection, and only to a router that has not applied
//! it. It is pushed before the first heartbeat, because a starting router regards the configuration
//! that it has received as current once a heartbeat reports contact with the group. Pushes are
//! numbered from 1 on each connection.

use lichenswitch_configuration::{ConfigurationError, Document, Tenant};
use lichenswitch_messages::{ConfigurationPosition, ControlToRouter};
use lichenswitch_replication::Position;
use std::sync::Arc;

/// A committed configuration in the form in which it is pushed to routers.
#[derive(Clone, Debug)]
pub struct CommittedConfiguration {
    /// Position of the configuration in the replicated log.
    pub position: ConfigurationPosition,
    /// Version in the configuration document.
    pub version: u64,
    /// Configuration document as JSON.
    pub document: Arc<[u8]>,
    /// Its tenants; empty if it has none.
    pub tenants: Arc<[Tenant]>,
}

impl CommittedConfiguration {
    /// Creates the form of a document that is already parsed. A long document takes noticeable time
    /// to parse, during which a control machine does nothing else.
    pub fn of_document(
        position: ConfigurationPosition,
        document: &Document,
    ) -> CommittedConfiguration {
        CommittedConfiguration {
            position,
            version: document.version(),
            document: document.to_json().into(),
            tenants: document.tenants().unwrap_or_default().into(),
        }
    }

    /// Parses a committed document that another machine has sent.
    ///
    /// # Errors
    /// Returns the first reason for which the document is invalid.
    pub fn from_json(
        position: ConfigurationPosition,
        json: Vec<u8>,
    ) -> Result<CommittedConfiguration, ConfigurationError> {
        let document = Document::parse_committed(&json)?;
        Ok(CommittedConfiguration {
            position,
            version: document.version(),
            tenants: document.tenants().unwrap_or_default().into(),
            document: json.into(),
        })
    }
}

/// The state of the pushes to one router: the last push and the configuration that the router has
/// applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationPushes {
    /// Number of the last push on this connection; 0 before the first.
    last_push: u64,
    /// Position of the configuration that the router last reported as applied.
    applied_position: Option<ConfigurationPosition>,
    /// Version of the newest configuration that was pushed on this connection.
    sent_version: Option<u64>,
}

impl ConfigurationPushes {
    /// Creates the state of a router that has connected and reported the position of the
    /// configuration that it has applied.
    pub fn new(applied_position: Option<ConfigurationPosition>) -> ConfigurationPushes {
        ConfigurationPushes {
            applied_position,
            ..ConfigurationPushes::default()
        }
    }

    /// Returns the first messages to the router: the committed configuration, unless the router has
    /// applied it, and then the heartbeat, which reports contact with the group.
    pub fn initial_messages(
        &mut self,
        committed: Option<&CommittedConfiguration>,
        heartbeat: ControlToRouter,
    ) -> Vec<ControlToRouter> {
        let configuration = committed.and_then(|committed| self.prepare_push(committed));
        configuration.into_iter().chain([heartbeat]).collect()
    }

    /// Returns the message that pushes a configuration, or `None` if the router has applied this or
    /// a newer configuration or one was already pushed.
    pub fn prepare_push(&mut self, committed: &CommittedConfiguration) -> Option<ControlToRouter> {
        let is_applied = self
            .applied_position
            .is_some_and(|position| position >= committed.position);
        if is_applied
            || self
                .sent_version
                .is_some_and(|sent| sent >= committed.version)
        {
            return None;
        }
        self.sent_version = Some(committed.version);
        let push = self.next_push_number();
        let (position, document) = (committed.position, committed.document.to_vec());
        Some(ControlToRouter::Configuration {
            push,
            position,
            document,
        })
    }

    /// Handles the router's report of the configuration that it has applied.
    pub fn on_applied(&mut self, applied_position: Option<ConfigurationPosition>) {
        self.applied_position = applied_position;
    }

    /// Returns the position of the configuration that the router last reported as applied.
    pub fn applied_position(&self) -> Option<ConfigurationPosition> {
        self.applied_position
    }

    /// Increments the number of the last push and returns it.
    pub fn next_push_number(&mut self) -> u64 {
        self.last_push += 1;
        self.last_push
    }
}

/// Converts a position in the replicated log into the form that is sent to routers.
pub fn configuration_position(position: Position) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: position.epoch.counter,
        primary: position.epoch.primary.0,
        number: position.number,
    }
}

#[cfg(test)]
mod tests;

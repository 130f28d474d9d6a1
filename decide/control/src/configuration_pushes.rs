//! What one router has been sent on its connection, and what it has to be sent next.
//!
//! It promises that a configuration is pushed once, only to a router that lacks it, and before the
//! first heartbeat: a starting router takes what it has been sent as current once a heartbeat
//! reports contact. Pushes are numbered from 1 on each connection.

use lichenswitch_messages::{ConfigurationPosition, ControlToRouter};
use lichenswitch_replication::Position;
use std::sync::Arc;

/// A committed configuration, to be pushed.
#[derive(Clone, Debug)]
pub struct CommittedConfiguration {
    /// Its position among all replicated changes.
    pub position: ConfigurationPosition,
    /// Its version.
    pub version: u64,
    /// The document as JSON.
    pub document: Arc<[u8]>,
}

/// What one router has been sent and has applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationPushes {
    /// Number of the last push; 0 before the first.
    last_push: u64,
    /// The configuration that the router has in force, as it last reported.
    applied: Option<ConfigurationPosition>,
    /// Version of the newest configuration that it was sent on this connection.
    sent_version: Option<u64>,
}

impl ConfigurationPushes {
    /// Of a router that has connected and reports this configuration as in force.
    pub fn new(applied: Option<ConfigurationPosition>) -> ConfigurationPushes {
        ConfigurationPushes {
            applied,
            ..ConfigurationPushes::default()
        }
    }

    /// What the router is sent first: the committed configuration, unless it has it, and then the
    /// heartbeat that reports contact.
    pub fn initial_messages(
        &mut self,
        committed: Option<&CommittedConfiguration>,
        heartbeat: ControlToRouter,
    ) -> Vec<ControlToRouter> {
        let configuration = committed.and_then(|committed| self.prepare_push(committed));
        configuration.into_iter().chain([heartbeat]).collect()
    }

    /// The push of a configuration, unless the router has applied it or was sent it.
    pub fn prepare_push(&mut self, committed: &CommittedConfiguration) -> Option<ControlToRouter> {
        let is_applied = self
            .applied
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

    /// The router has reported the configuration that it has in force.
    pub fn on_applied(&mut self, applied: Option<ConfigurationPosition>) {
        self.applied = applied;
    }

    /// The configuration that it has in force, as it last reported.
    pub fn applied_position(&self) -> Option<ConfigurationPosition> {
        self.applied
    }

    /// Counts a push and returns its number.
    pub fn next_push_number(&mut self) -> u64 {
        self.last_push += 1;
        self.last_push
    }
}

/// The position of a configuration, as routers are sent it.
pub fn configuration_position(position: Position) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: position.epoch.counter,
        primary: position.epoch.primary.0,
        number: position.number,
    }
}

#[cfg(test)]
mod tests;

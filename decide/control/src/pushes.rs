//! What one router has been sent on its connection, and what it is to be sent next.
//!
//! It promises: a configuration is pushed once, only to a router that lacks it, and before the
//! first heartbeat: a router that starts takes what it has been sent as current once it is told of
//! contact. All that is pushed is numbered from 1.

use lichenswitch_messages::{ConfigurationPosition, ControlToRouter};
use lichenswitch_replication::Position;
use std::sync::Arc;

/// A committed configuration, to be pushed.
#[derive(Clone, Debug)]
pub struct Committed {
    /// Where it stands among all changes.
    pub position: ConfigurationPosition,
    /// Its version.
    pub version: u64,
    /// As JSON.
    pub document: Arc<[u8]>,
}

/// One router's share.
#[derive(Clone, Debug, Default)]
pub struct Pushes {
    /// Number of the last push.
    pushed: u64,
    /// The configuration that the router has in force.
    holds: Option<ConfigurationPosition>,
    /// Version of the newest configuration that it was sent on this connection.
    sent_version: Option<u64>,
}

impl Pushes {
    /// Of a router that has connected, and has this in force.
    pub fn new(holds: Option<ConfigurationPosition>) -> Pushes {
        Pushes {
            holds,
            ..Pushes::default()
        }
    }

    /// What the router is sent first: what is committed, unless it has it, and after that the word
    /// on contact.
    pub fn greet(
        &mut self,
        committed: Option<&Committed>,
        heartbeat: ControlToRouter,
    ) -> Vec<ControlToRouter> {
        let configuration = committed.and_then(|committed| self.configuration(committed));
        configuration.into_iter().chain([heartbeat]).collect()
    }

    /// The push of a configuration, unless the router holds it or was sent it.
    pub fn configuration(&mut self, committed: &Committed) -> Option<ControlToRouter> {
        let holds = self
            .holds
            .is_some_and(|position| position >= committed.position);
        if holds
            || self
                .sent_version
                .is_some_and(|sent| sent >= committed.version)
        {
            return None;
        }
        self.sent_version = Some(committed.version);
        let push = self.next_number();
        let (position, document) = (committed.position, committed.document.to_vec());
        Some(ControlToRouter::Configuration {
            push,
            position,
            document,
        })
    }

    /// The router says what it has in force.
    pub fn on_applied(&mut self, holds: Option<ConfigurationPosition>) {
        self.holds = holds;
    }

    /// What it has in force, as far as it has said.
    pub fn holds(&self) -> Option<ConfigurationPosition> {
        self.holds
    }

    /// The number of the next push.
    pub fn next_number(&mut self) -> u64 {
        self.pushed += 1;
        self.pushed
    }
}

/// Where a configuration stands, for routers.
pub fn configuration_position(position: Position) -> ConfigurationPosition {
    ConfigurationPosition {
        epoch: position.epoch.counter,
        primary: position.epoch.primary.0,
        number: position.number,
    }
}

#[cfg(test)]
mod tests;

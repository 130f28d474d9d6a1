//! What a control process sends to the routers that are connected to it.

use lichenswitch_control::{configuration_position, CommittedConfiguration};
use lichenswitch_messages::RouterToControl;
use lichenswitch_replication::Time;

use super::routers::Push;
use super::{ControlProcess, Effect, GlueFault};
use crate::packet::ConnectionId;

impl ControlProcess {
    /// A router has sent a message, or (`None`) closed its connection.
    pub fn on_router(&mut self, id: ConnectionId, now: Time, message: Option<&RouterToControl>) {
        match message {
            None => self.routers.on_closed(id),
            Some(RouterToControl::Hello { configuration, .. }) => {
                let (in_contact, committed) = (self.in_contact(now), self.committed());
                let pushes =
                    self.routers
                        .on_hello(id, *configuration, in_contact, committed.as_ref());
                self.send_pushes(pushes);
            }
            Some(RouterToControl::Applied { .. }) => {}
        }
    }

    /// Pushes a configuration that was committed with these effects, and heartbeats that are due.
    pub(super) fn update_routers(&mut self, now: Time) {
        let has_committed = self
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Committed(_)));
        // A new configuration precedes the heartbeat, which says that all that was sent is current.
        let committed = has_committed.then(|| self.committed()).flatten();
        if let Some(committed) = committed {
            let pushes = self.routers.push(&committed);
            self.send_pushes(pushes);
        }
        let in_contact = self.in_contact(now);
        let heartbeats = self.routers.tick(now, in_contact);
        self.send_pushes(heartbeats);
    }

    fn send_pushes(&mut self, pushes: Vec<Push>) {
        let effects = pushes
            .into_iter()
            .map(|(id, message)| Effect::ToRouter(id, message));
        self.effects.extend(effects);
    }

    /// Whether heartbeats report that this machine is in contact.
    fn in_contact(&self, now: Time) -> bool {
        if self.faults.has(GlueFault::ClaimContact) {
            return true;
        }
        if self.faults.has(GlueFault::ClaimContactWhileLagging) {
            return self.replica.in_contact(now);
        }
        self.replica.is_current(now)
    }

    /// The configuration that this machine has committed, if there is one.
    fn committed(&self) -> Option<CommittedConfiguration> {
        let (position, committed) = self.replica.committed()?;
        let document = committed.state().document()?;
        let position = configuration_position(position);
        Some(CommittedConfiguration::of_document(position, document))
    }
}

//! Handles heartbeats and deregistrations of model servers.

use super::node::ControlNode;
use super::responses::{
    error_response, heartbeat_acknowledged, heartbeat_rejected, HeartbeatRejection,
};
use super::server_table::HeartbeatOutcome;
use lichenswitch_http::{Request, Response};
use lichenswitch_interface::Time;
use lichenswitch_net::ConnId;
use lichenswitch_registry::Heartbeat;

impl ControlNode {
    /// Handles a heartbeat of a server. Returns the response, or `None` if the response is sent
    /// once the outcome of the update is known.
    pub(super) fn on_heartbeat(
        &mut self,
        id: ConnId,
        instance: &str,
        request: &Request,
        now: Time,
    ) -> Option<Response> {
        if let Err(rejection) = self.check_heartbeats_accepted(now) {
            return Some(heartbeat_rejected(rejection));
        }
        let heartbeat = match Heartbeat::parse(&request.body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => return Some(error_response(400, &e.to_string())),
        };
        match self.servers.on_heartbeat(now, id, instance, &heartbeat) {
            HeartbeatOutcome::Acknowledged => Some(heartbeat_acknowledged()),
            HeartbeatOutcome::Pending => None,
        }
    }

    /// Handles the deregistration of a server. Returns the response, or `None` if the response is
    /// sent once the outcome of the update is known.
    pub(super) fn on_deregister(
        &mut self,
        id: ConnId,
        instance: &str,
        now: Time,
    ) -> Option<Response> {
        if let Err(rejection) = self.check_heartbeats_accepted(now) {
            return Some(heartbeat_rejected(rejection));
        }
        match self.servers.on_deregister(now, id, instance) {
            HeartbeatOutcome::Acknowledged => Some(heartbeat_acknowledged()),
            HeartbeatOutcome::Pending => None,
        }
    }

    /// Checks that this machine may acknowledge heartbeats.
    ///
    /// # Errors
    /// Returns the reason why it may not.
    fn check_heartbeats_accepted(&self, now: Time) -> Result<(), HeartbeatRejection> {
        match (self.in_contact(now), self.servers.accepts_heartbeats(now)) {
            (false, _) => Err(HeartbeatRejection::NoContact),
            (true, false) => Err(HeartbeatRejection::TableUnknown),
            (true, true) => Ok(()),
        }
    }
}

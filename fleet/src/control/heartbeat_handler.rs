//! Heartbeats and deregistrations of model servers.

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
    /// A server has sent a heartbeat. `None`: its response follows once its update is replicated.
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

    /// A server has deregistered. `None`: its response follows once that is replicated.
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

    /// Whether heartbeats can be acknowledged here.
    ///
    /// # Errors
    /// The reason, where they can't.
    fn check_heartbeats_accepted(&self, now: Time) -> Result<(), HeartbeatRejection> {
        match (self.in_contact(now), self.servers.accepts_heartbeats(now)) {
            (false, _) => Err(HeartbeatRejection::NoContact),
            (true, false) => Err(HeartbeatRejection::TableUnknown),
            (true, true) => Ok(()),
        }
    }
}

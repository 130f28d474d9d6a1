//! Handles messages of routers.

use super::internal_connections::RemoteRole;
use super::node::ControlNode;
use super::rejections::{check_protocol, ConnectionRejection};
use super::router_table::RouterHandshake;
use lichenswitch_interface::Time;
use lichenswitch_messages::RouterToControl;
use lichenswitch_net::ConnId;

impl ControlNode {
    /// Handles a message of a router.
    ///
    /// # Errors
    /// Returns the reason why the router's connection has to be closed.
    pub(super) fn on_router(
        &mut self,
        id: ConnId,
        message: RouterToControl,
        now: Time,
    ) -> Result<(), ConnectionRejection> {
        match message {
            RouterToControl::Hello {
                protocol_version,
                node_name: node,
                zone,
                process,
                configuration,
            } => {
                check_protocol(protocol_version, &node)?;
                self.connections.set_remote_role(id, RemoteRole::Router);
                // The first heartbeat reports contact, so a configuration that was committed in
                // this iteration of the event loop has to be sent before it.
                self.apply_committed_configuration(now);
                let (heartbeat, table) = (self.router_heartbeat(now), self.servers.known(now));
                let handshake = RouterHandshake {
                    node,
                    zone,
                    process,
                    configuration,
                };
                let messages = self.routers.on_handshake(
                    now,
                    id,
                    handshake,
                    self.committed.as_ref(),
                    heartbeat,
                    &table,
                );
                self.send_to_routers(messages);
                self.send_known_backlogs(id);
            }
            RouterToControl::Applied {
                push,
                configuration,
            } => self.routers.on_applied(id, push, configuration),
        }
        Ok(())
    }
}

//! Messages of other processes of the fleet.

use super::backlog::Source;
use super::calls::CallOrigin;
use super::feed::Feed;
use super::group::to_replica;
use super::links::End;
use super::machine::Machine;
use super::peers::Introduction;
use super::routers::Hello;
use crate::envelopes::Incoming;
use lichenswitch_configuration::Document;
use lichenswitch_control::{CallKind, CommittedConfiguration, Eligibility};
use lichenswitch_interface::Time;
use lichenswitch_messages::{
    Envelope, PeerMessage, RelayedCall, RelayedResponse, RouterToControl, PROTOCOL_VERSION,
};
use lichenswitch_net::ConnId;
use lichenswitch_replication::Message;
use log::{info, warn};
use std::net::SocketAddr;

impl Machine {
    /// Something can be read from or written to a connection.
    pub(super) fn on_link_ready(&mut self, id: ConnId) {
        let now = self.net.clock.now();
        let brought = self.links.ready(&mut self.net, id);
        if brought.up {
            self.on_up(id);
        }
        for message in brought.messages {
            match message {
                Incoming::Tenant(message) => self.on_tenant_message(id, message, now),
                Incoming::Backlog(report) => self.on_backlog_report(id, &report),
                Incoming::Envelope(envelope) => {
                    if let Err(reason) = self.on_envelope(id, envelope, now) {
                        return self.close_link(id, &reason);
                    }
                }
            }
        }
        if let Some(reason) = brought.broken {
            self.close_link(id, &reason);
        }
    }

    fn on_up(&mut self, id: ConnId) {
        if matches!(self.links.end(id), Some(End::Peer(_))) {
            let hello = Envelope::Peer(self.hello());
            self.links.send(&mut self.net, id, &hello);
        }
    }

    fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            protocol_version: PROTOCOL_VERSION,
            node_name: self.settings.node_name.clone(),
            address: self.address.to_string(),
            identity: self.identity,
            eligible: self.own_part.eligibility() == Eligibility::Durable,
            known_peers: self.peers.known(),
        }
    }

    fn on_envelope(&mut self, id: ConnId, envelope: Envelope, now: Time) -> Result<(), String> {
        match (envelope, self.links.end(id)) {
            (
                Envelope::Peer(PeerMessage::Hello {
                    protocol_version: protocol,
                    node_name: node,
                    address,
                    identity,
                    eligible,
                    known_peers: known,
                }),
                Some(end),
            ) => {
                check_protocol(protocol, &node)?;
                let address = address
                    .parse()
                    .map_err(|_| format!("{node} has the address {address:?}"))?;
                self.on_hello(
                    id,
                    end,
                    address,
                    Introduction {
                        node,
                        identity,
                        eligible,
                    },
                    &known,
                    now,
                )
            }
            (Envelope::Peer(message), Some(End::Peer(address))) => {
                self.peers.on_heard(address, now);
                self.on_peer(address, message, now);
                Ok(())
            }
            (Envelope::FromRouter(message), Some(End::Unknown | End::Router)) => {
                self.on_router(id, message, now)
            }
            _ => Err("a message that does not belong on this connection".to_owned()),
        }
    }

    /// A control machine has said who it is.
    fn on_hello(
        &mut self,
        id: ConnId,
        end: End,
        address: SocketAddr,
        introduction: Introduction,
        known: &[String],
        now: Time,
    ) -> Result<(), String> {
        if introduction.identity == self.identity || address == self.address {
            if let End::Peer(dialled) = end {
                self.peers.forget(dialled);
            }
            return Err("it is this machine itself".to_owned());
        }
        if let End::Peer(dialled) = end {
            if dialled != address {
                return Err(format!("{dialled} says that it is {address}"));
            }
        }
        let connected = self.peers.connection(address).is_some();
        let node = introduction.node.clone();
        if introduction.eligible {
            self.own_part.on_durable_peer(self.group.is_some());
        }
        let older = self.peers.on_hello(address, id, introduction, now);
        self.tell_who_lacks_a_disk();
        if end == End::Unknown {
            self.links.set_end(id, End::Peer(address));
            let hello = Envelope::Peer(self.hello());
            self.links.send(&mut self.net, id, &hello);
        }
        if let Some(older) = older {
            self.close_link(older, "replaced by a newer one");
        }
        self.peers.learn_all(known, now);
        if !connected {
            info!(target: "control", node = node.as_str(), address = address.to_string().as_str(); "peer is connected");
            self.greet(id, now);
            self.name_peers();
        }
        Ok(())
    }

    /// What a peer gets first: where this machine stands, all servers, and behind them those that
    /// are only remembered.
    fn greet(&mut self, id: ConnId, now: Time) {
        let contact = self.contact_message(now);
        self.send_to(id, contact);
        let table = PeerMessage::Servers {
            ack: 0,
            records: self.servers.snapshot(now),
            is_complete: true,
        };
        self.send_to(id, table);
        let remembered = self.servers.remembered();
        if !remembered.is_empty() {
            self.send_to(id, PeerMessage::CachedServers(remembered));
        }
    }

    pub(super) fn send_to(&mut self, id: ConnId, message: PeerMessage) {
        self.links.send(&mut self.net, id, &Envelope::Peer(message));
    }

    /// Answers on the connection of the pair.
    pub(super) fn send_to_peer(&mut self, address: SocketAddr, message: PeerMessage) {
        if let Some(id) = self.peers.connection(address) {
            self.send_to(id, message);
        }
    }

    fn on_peer(&mut self, from: SocketAddr, message: PeerMessage, now: Time) {
        match message {
            // It was taken by `on_hello`.
            PeerMessage::Hello { .. } => {}
            PeerMessage::Replication(bytes) => self.on_replication(from, &bytes, now),
            PeerMessage::Call { id, call } => self.on_relayed(from, id, call, now),
            PeerMessage::CallResponse { id, response } => {
                self.calls.on_response(to_replica(now), &from, id, response)
            }
            PeerMessage::Servers {
                ack,
                records,
                is_complete: whole,
            } => {
                self.servers
                    .on_records(now, &records, whole, self.is_in_contact(from));
                if let Some(id) = self.peers.connection(from).filter(|_| ack != 0) {
                    self.servers.on_confirmation_wanted(now, id, ack, &records);
                }
            }
            PeerMessage::CachedServers(records) => self.servers.on_remembered(now, &records),
            PeerMessage::ServersAck { ack } => {
                self.servers.on_merged(from, ack, self.is_in_contact(from))
            }
            PeerMessage::HeartbeatDigest(heard) => {
                if self.servers.on_heard(now, &heard) {
                    self.send_to_peer(from, PeerMessage::ServerTableRequest);
                }
            }
            PeerMessage::ServerTableRequest => {
                let records = self.servers.snapshot(now);
                self.send_to_peer(
                    from,
                    PeerMessage::Servers {
                        ack: 0,
                        records,
                        is_complete: true,
                    },
                );
            }
            PeerMessage::Contact {
                in_contact,
                primary,
                connected_routers: routers,
                known_peers: known,
            } => {
                if let Some(peer) = self.peers.get_mut(from) {
                    (peer.in_contact, peer.routers) = (in_contact, routers);
                }
                let primary = primary.and_then(|address| address.parse().ok());
                self.feed.on_contact(now, from, in_contact, primary);
                self.peers.learn_all(&known, now);
            }
            PeerMessage::Confirmed { echo } => {
                let answer = self.feed.on_confirmed(now, echo);
                self.send_to_peer(from, PeerMessage::ConfirmedAck(answer));
            }
            PeerMessage::ConfirmedAck(stamp) => self.on_confirmed_heard(now, from, stamp),
            PeerMessage::Configuration { position, document } => {
                on_fed(&mut self.feed, position, document)
            }
        }
    }

    fn is_in_contact(&self, address: SocketAddr) -> bool {
        self.peers.get(address).is_some_and(|peer| peer.in_contact)
    }

    /// A message of replication counts only from whom it names as its sender.
    fn on_replication(&mut self, from: SocketAddr, bytes: &[u8], now: Time) {
        let Some(group) = &mut self.group else { return };
        let message = match Message::decode(bytes) {
            Ok(message) => message,
            Err(e) => {
                return warn!(target: "control", error = e.to_string().as_str(); "a message of replication can't be read")
            }
        };
        let introduced = self
            .peers
            .get(from)
            .and_then(|peer| peer.introduction.as_ref());
        let known = introduced.is_some_and(|peer| peer.identity == message.from.identity.0);
        if known && message.from.address.parse() == Ok(from) {
            group.replica.on_message(to_replica(now), message);
        }
    }

    /// A call that another control machine relays.
    fn on_relayed(&mut self, address: SocketAddr, id: u64, call: RelayedCall, now: Time) {
        match CallKind::from_relayed(call) {
            Some(kind) => self.take_call(CallOrigin::Peer { address, id }, kind, now),
            None => self.send_to_peer(
                address,
                PeerMessage::CallResponse {
                    id,
                    response: RelayedResponse::NotPrimary,
                },
            ),
        }
    }

    fn on_router(&mut self, id: ConnId, message: RouterToControl, now: Time) -> Result<(), String> {
        match message {
            RouterToControl::Hello {
                protocol_version: protocol,
                node_name: node,
                zone,
                process,
                configuration,
            } => {
                check_protocol(protocol, &node)?;
                self.links.set_end(id, End::Router);
                // What was committed in this turn is part of what the router is sent before it is
                // told of contact.
                self.look_at_committed(now);
                let (heartbeat, table) = (self.router_heartbeat(now), self.servers.known(now));
                let hello = Hello {
                    node,
                    zone,
                    process,
                    configuration,
                };
                let pushes = self.routers.on_hello(
                    now,
                    id,
                    hello,
                    self.committed.as_ref(),
                    heartbeat,
                    table,
                );
                self.push_all(pushes);
                self.greet_with_backlogs(id);
            }
            RouterToControl::Applied {
                push,
                configuration,
            } => self.routers.on_applied(id, push, configuration),
        }
        Ok(())
    }

    /// Closes a connection, and tells the parts that used it.
    pub(super) fn close_link(&mut self, id: ConnId, reason: &str) {
        let now = self.net.clock.now();
        match self.links.close(&mut self.net, id) {
            Some(End::Peer(address)) => {
                let was_connected = self.peers.connection(address).is_some();
                self.peers.on_closed(address, id, now);
                if was_connected && self.peers.connection(address).is_none() {
                    info!(target: "control", address = address.to_string().as_str(), reason = reason; "peer is lost");
                    self.calls.on_peer_disconnected(&address);
                    self.servers.on_lost(address);
                    self.on_holder_lost(address, now);
                    self.backlogs.on_lost(Source::Peer(address));
                }
            }
            Some(End::Router) => {
                self.routers.on_closed(id);
                self.backlogs.on_lost(Source::Router(id));
            }
            Some(End::Unknown) | None => {}
        }
    }
}

fn check_protocol(protocol: u16, node: &str) -> Result<(), String> {
    match protocol == PROTOCOL_VERSION {
        true => Ok(()),
        false => Err(format!(
            "{node} speaks version {protocol}, this machine version {PROTOCOL_VERSION}"
        )),
    }
}

/// The primary has sent what is committed. What can't be read is passed over: routers could not use
/// it either.
fn on_fed(
    feed: &mut Feed,
    position: lichenswitch_messages::ConfigurationPosition,
    document: Vec<u8>,
) {
    match Document::parse_committed(&document) {
        Ok(parsed) => {
            let version = parsed.version();
            feed.on_configuration(CommittedConfiguration {
                position,
                version,
                document: document.into(),
            });
        }
        Err(e) => {
            warn!(target: "control", error = e.to_string().as_str(); "the primary has sent what can't be read")
        }
    }
}

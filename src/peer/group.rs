//! The group of peer brokers, for the broker's loop: the protocol between them, the failure detector
//! and the consensus that it carries.

use super::consensus::{Consensus, ConsensusError, OutgoingMessages};
use super::{Delivery, Payload, PeerProtocol, PeersConfig, ReceivedMessage, MAX_CONNECTIONS};
use crate::decide::failure_detector::{DetectorAction, FailureDetector, Member};
use crate::decide::lease::LeaseHolder;
use crate::interface::Time;
use crate::net::{ConnId, Net, Owner};
use std::io;
use std::net::SocketAddr;

/// Why a broker can't join its group.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The address for other brokers can't be listened on.
    #[error("peers: listen: {address}: {source}")]
    Listen {
        /// The address that the operators' file names.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Its folder can't be used.
    #[error(transparent)]
    Consensus(#[from] ConsensusError),
}

/// This broker's part in its group.
pub struct PeerGroup {
    protocol: PeerProtocol,
    detector: FailureDetector,
    /// The consensus, where the operators' file names voters.
    consensus: Option<Consensus>,
    /// Peers that the file names.
    known: Vec<Member>,
    log: Vec<String>,
}

impl PeerGroup {
    /// Joins the group, and listens for its other brokers; logs the address.
    ///
    /// # Errors
    /// When the address can't be listened on, or the folder can't be used.
    pub fn new(net: &mut Net, config: PeersConfig) -> Result<PeerGroup, JoinError> {
        let now = net.clock.now();
        let own = Member {
            incarnation: now.0,
            ..config.own.clone()
        };
        net.reserve_for_peers(MAX_CONNECTIONS);
        let listening_at = net
            .listen(Owner::InboundPeer, config.listen)
            .map_err(|source| JoinError::Listen {
                address: config.listen,
                source,
            })?;
        let line = format!(
            "peers: {} of {} in cluster {} listens on {listening_at}",
            own.name, own.zone, config.cluster
        );
        // By the incarnation two starts of a broker draw other random numbers.
        let seed = config.seed ^ own.incarnation;
        let routes = config.routes();
        let protocol = PeerProtocol::new(now, config.cluster.clone(), own.clone(), routes, seed);
        let holder = LeaseHolder {
            name: own.name.clone(),
            incarnation: own.incarnation,
        };
        let consensus = config
            .consensus
            .map(|consensus| Consensus::new(now, &config.cluster, holder, consensus))
            .transpose()?;
        let detector = FailureDetector::new(now, own, config.known.clone(), config.swim, seed);
        Ok(PeerGroup {
            protocol,
            detector,
            consensus,
            known: config.known,
            log: vec![line],
        })
    }

    /// Takes the log lines since the last call.
    pub fn take_log(&mut self) -> Vec<String> {
        let mut lines = self.protocol.take_log();
        lines.append(&mut self.log);
        lines.extend(self.consensus.iter_mut().flat_map(Consensus::take_log));
        lines
    }

    /// When [`PeerGroup::on_time`] is to be called next.
    #[must_use]
    pub fn next(&self) -> Time {
        let next = self.protocol.next().min(self.detector.next());
        let consensus = self.consensus.as_ref().map(Consensus::next);
        consensus.map_or(next, |at| next.min(at))
    }

    /// Does what is due. To be called before connections that are ready are read: that messages had
    /// to wait since this process was paused is no sign of a failure of their senders.
    pub fn on_time(&mut self, net: &mut Net) {
        let now = net.clock.now();
        if self.detector.next() <= now {
            let verdicts = self.detector.on_time(now);
            self.apply_verdicts(net, verdicts);
        }
        if self.protocol.next() <= now {
            let messages = self.protocol.on_time(net);
            self.handle(net, messages);
        }
        if let Some(consensus) = self.consensus.as_mut().filter(|c| c.next() <= now) {
            let messages = consensus.on_time(now);
            self.send_consensus(net, messages);
        }
    }

    /// Peers wait to be accepted.
    pub fn accept(&mut self, net: &mut Net) {
        let ids = net.accept(Owner::InboundPeer);
        self.protocol.on_accepted(net, ids);
    }

    /// A connection of the protocol is ready.
    pub fn on_ready(&mut self, net: &mut Net, id: ConnId) {
        let messages = self.protocol.on_ready(net, id);
        self.handle(net, messages);
    }

    /// This broker stops, and tells some others.
    pub fn on_stop(&mut self, net: &mut Net) {
        let now = net.clock.now();
        let consensus = self.consensus.as_mut();
        let messages = consensus.map(|c| c.on_stop(now)).unwrap_or_default();
        self.send_consensus(net, messages);
        let verdicts = self.detector.on_stop(now);
        self.apply_verdicts(net, verdicts);
    }

    /// Sends the messages of the consensus.
    fn send_consensus(&mut self, net: &mut Net, messages: OutgoingMessages) {
        for (name, bytes) in messages {
            let alive = self.detector.alive().get(&name);
            let known = alive.or_else(|| self.known.iter().find(|m| m.name == name));
            // Messages to a broker that is not known are lost: the log sends them again.
            if let Some(to) = known.cloned() {
                self.protocol.send_consensus(net, &to, bytes);
            }
        }
    }

    fn handle(&mut self, net: &mut Net, messages: Vec<ReceivedMessage>) {
        for ReceivedMessage { from, payload } in messages {
            let now = net.clock.now();
            match (payload, &mut self.consensus) {
                (Payload::Swim(bytes), _) => {
                    let verdicts = self.detector.on_message(now, &bytes);
                    self.apply_verdicts(net, verdicts);
                }
                (Payload::Consensus(bytes), Some(consensus)) => {
                    let messages = consensus.on_message(now, &from.name, &bytes);
                    self.send_consensus(net, messages);
                }
                (Payload::Greeting, Some(consensus)) => {
                    let messages = consensus.on_reconnected(now, &from.name);
                    self.send_consensus(net, messages);
                }
                (Payload::Consensus(_) | Payload::Greeting, None) => {}
            }
        }
    }

    fn apply_verdicts(&mut self, net: &mut Net, verdicts: Vec<DetectorAction>) {
        for verdict in verdicts {
            match verdict {
                // The detector's messages are about the present moment.
                DetectorAction::Send(to, bytes) => {
                    self.protocol
                        .send_swim(net, &to, bytes, Delivery::Droppable);
                }
                DetectorAction::Up(member, reason) => {
                    self.log_change(&member, "up", &reason.to_string())
                }
                DetectorAction::Down(member, reason) => {
                    self.log_change(&member, "down", &reason.to_string());
                }
                DetectorAction::Renewed(own, reason) => {
                    self.log_change(&own, "renewed", &reason.to_string());
                    self.protocol.renew(own);
                }
            }
        }
    }

    fn log_change(&mut self, member: &Member, change: &str, reason: &str) {
        let (name, incarnation) = (&member.name, member.incarnation);
        let alive = self.detector.alive().len() + 1;
        self.log.push(format!(
            "fleet: {name} {change} (life {incarnation}): {reason}; {alive} alive"
        ));
    }
}

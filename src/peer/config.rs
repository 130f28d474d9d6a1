//! The configuration of the protocol between brokers.

use super::consensus::ConsensusConfig;
use crate::decide::failure_detector::{Member, SwimConfig};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How this broker takes part in the protocol between brokers.
#[derive(Clone, Debug, PartialEq)]
pub struct PeersConfig {
    /// The cluster: brokers of others are rejected.
    pub cluster: String,
    /// Where it listens for other brokers.
    pub listen: SocketAddr,
    /// Its name, its zone and the address that others are told; its incarnation begins with its
    /// start.
    pub own: Member,
    /// Some other brokers, by which it finds the cluster. Their addresses hold here, whatever they
    /// say of themselves.
    pub known: Vec<Member>,
    /// The times of the failure detector.
    pub swim: SwimConfig,
    /// For random numbers.
    pub seed: u64,
    /// The consensus; `None`: no voters are named.
    pub consensus: Option<ConsensusConfig>,
}

impl PeersConfig {
    /// The addresses of the known brokers, by name.
    #[must_use]
    pub fn routes(&self) -> BTreeMap<String, SocketAddr> {
        self.known
            .iter()
            .map(|m| (m.name.clone(), m.address))
            .collect()
    }
}

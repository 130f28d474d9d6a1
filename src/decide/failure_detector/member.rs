//! A broker as a member of the cluster.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A broker as others know it. The order of the fields is that on the wire.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where it listens for other brokers.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// The incarnation of its process, microseconds of Unix time at its start: later ones are
    /// greater. The incarnation of SWIM, by which a member refutes a suspicion, is another number
    /// and the library's.
    pub incarnation: u64,
}

impl Identity for Member {
    type Addr = String;

    fn renew(&self) -> Option<Self> {
        Some(Member {
            incarnation: self.incarnation + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> String {
        self.name.clone()
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.incarnation > adversary.incarnation
    }
}

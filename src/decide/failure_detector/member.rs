//! The identity of a broker in the membership protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The identity of a broker as a cluster member. The field order is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the broker, the same after a restart.
    pub name: String,
    /// Address at which the broker listens for other brokers.
    pub address: SocketAddr,
    /// Zone in which the broker runs.
    pub zone: String,
    /// Incarnation of the broker process: its start as Unix time in microseconds, so a restart
    /// yields a greater value. The SWIM incarnation, by which a member refutes a suspicion, is a
    /// different number that the library maintains.
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

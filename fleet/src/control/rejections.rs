//! Why a connection of another process of the fleet is closed after one of its messages.

use lichenswitch_messages::PROTOCOL_VERSION;
use std::net::SocketAddr;

/// Why a message makes this machine close its connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectionRejection {
    /// The other process speaks another version of the protocol.
    #[error("{node} speaks version {version}, this machine version {PROTOCOL_VERSION}")]
    OtherProtocol {
        /// Name of its node.
        node: String,
        /// Its version.
        version: u16,
    },
    /// The address in its handshake can't be parsed.
    #[error("{node} has the address {address:?}")]
    InvalidAddress {
        /// Name of its node.
        node: String,
        /// The address as it was sent.
        address: String,
    },
    /// The connection leads back to this machine.
    #[error("it is this machine itself")]
    OwnAddress,
    /// Another machine than the dialled one has answered.
    #[error("{dialled} says that it is {address}")]
    OtherAddress {
        /// The address that was dialled.
        dialled: SocketAddr,
        /// The address in the handshake.
        address: SocketAddr,
    },
    /// The message does not fit what is known of the other end.
    #[error("a message that does not belong on this connection")]
    UnexpectedMessage,
}

/// Checks the version in a handshake.
pub(super) fn check_protocol(version: u16, node: &str) -> Result<(), ConnectionRejection> {
    match version == PROTOCOL_VERSION {
        true => Ok(()),
        false => Err(ConnectionRejection::OtherProtocol {
            node: node.to_owned(),
            version,
        }),
    }
}

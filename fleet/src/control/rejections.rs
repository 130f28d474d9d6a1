//! Reasons for closing a connection after an invalid message.

use lichenswitch_messages::PROTOCOL_VERSION;
use std::net::SocketAddr;

/// The reason why a message makes this machine close its connection. It appears only in the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ConnectionRejection {
    /// The other process uses another version of the protocol.
    #[error("{node} uses protocol version {version}, this machine version {PROTOCOL_VERSION}")]
    OtherProtocol {
        /// Name of its node.
        node: String,
        /// Protocol version of the other process.
        version: u16,
    },
    /// The address in its handshake can't be parsed.
    #[error("handshake of {node} has the invalid address {address:?}")]
    InvalidAddress {
        /// Name of its node.
        node: String,
        /// The address as it was sent.
        address: String,
    },
    /// The connection leads back to this machine.
    #[error("the connection leads back to this machine")]
    OwnAddress,
    /// The machine that has answered reports another address than the dialled one.
    #[error("the machine dialled at {dialled} reports the address {address}")]
    OtherAddress {
        /// The address that was dialled.
        dialled: SocketAddr,
        /// The address in the handshake.
        address: SocketAddr,
    },
    /// The message is not valid for the role of the other end.
    #[error("the message is not valid for the role of the other end")]
    UnexpectedMessage,
}

/// Checks that a handshake has the protocol version of this machine.
pub(super) fn check_protocol(version: u16, node: &str) -> Result<(), ConnectionRejection> {
    match version == PROTOCOL_VERSION {
        true => Ok(()),
        false => Err(ConnectionRejection::OtherProtocol {
            node: node.to_owned(),
            version,
        }),
    }
}

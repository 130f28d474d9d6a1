//! Calls of operators, by the handles that this role has: connections of callers, addresses of
//! control machines.

use lichenswitch_net::ConnId;
use std::net::SocketAddr;

/// A call that waits for its answer.
pub(super) type Call = lichenswitch_control::Call<ConnId, SocketAddr>;
/// Who waits for the answer.
pub(super) type CallOrigin = lichenswitch_control::CallOrigin<ConnId, SocketAddr>;
/// All calls at this machine.
pub(super) type CallDispatcher = lichenswitch_control::CallDispatcher<ConnId, SocketAddr>;
/// Something that is to be done for a call.
pub(super) type CallAction = lichenswitch_control::CallAction<ConnId, SocketAddr>;
/// Where the primary is.
pub(super) type PrimaryLocation = lichenswitch_control::PrimaryLocation<SocketAddr>;

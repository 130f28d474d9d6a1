//! Calls of operators, by the handles that this role has: connections of callers, addresses of
//! control machines.

use lichenswitch_net::ConnId;
use std::net::SocketAddr;

/// A call that waits for its answer.
pub(super) type Call = lichenswitch_control::Call<ConnId, SocketAddr>;
/// Who waits for the answer.
pub(super) type Origin = lichenswitch_control::Origin<ConnId, SocketAddr>;
/// All calls at this machine.
pub(super) type Calls = lichenswitch_control::Calls<ConnId, SocketAddr>;
/// Something that is to be done for a call.
pub(super) type Action = lichenswitch_control::Action<ConnId, SocketAddr>;
/// Where the primary is.
pub(super) type Primary = lichenswitch_control::Primary<SocketAddr>;

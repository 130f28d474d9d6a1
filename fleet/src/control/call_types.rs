//! The types of `decide/control` with the handles of this role: connections of callers, and
//! addresses of control machines.

use lichenswitch_net::ConnId;
use std::net::SocketAddr;

/// A call that awaits its response.
pub(super) type Call = lichenswitch_control::Call<ConnId, SocketAddr>;
/// The connection or control machine that awaits the response to a call.
pub(super) type CallOrigin = lichenswitch_control::CallOrigin<ConnId, SocketAddr>;
/// The dispatcher of the pending calls at this machine.
pub(super) type CallDispatcher = lichenswitch_control::CallDispatcher<ConnId, SocketAddr>;
/// An action that the dispatcher requests for a call: forwarding it, or responding to it.
pub(super) type CallAction = lichenswitch_control::CallAction<ConnId, SocketAddr>;
/// The location of the primary: this machine, another one, or unknown.
pub(super) type PrimaryLocation = lichenswitch_control::PrimaryLocation<SocketAddr>;

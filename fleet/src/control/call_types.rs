//! The types of `decide/control` with the handles of this role: connections of callers, and addresses
//! of control machines.

use lichenswitch_net::ConnId;
use std::net::SocketAddr;

/// A call that awaits its response.
pub(super) type Call = lichenswitch_control::Call<ConnId, SocketAddr>;
/// Who awaits the response.
pub(super) type CallOrigin = lichenswitch_control::CallOrigin<ConnId, SocketAddr>;
/// All calls at this machine.
pub(super) type CallDispatcher = lichenswitch_control::CallDispatcher<ConnId, SocketAddr>;
/// Something that has to be done for a call.
pub(super) type CallAction = lichenswitch_control::CallAction<ConnId, SocketAddr>;
/// Where the primary is.
pub(super) type PrimaryLocation = lichenswitch_control::PrimaryLocation<SocketAddr>;

//! What a control machine decides about the calls of operators, and about what each router is sent.
//!
//! It owns who answers a call and when (`docs/design/control.md`, section 4): [`CallDispatcher`]
//! joins [`RelayedCalls`], at the machine that received a call, and [`PrimaryCalls`], at the
//! primary. [`ConfigurationPushes`] tracks what one router has been sent; [`GroupMembership`]
//! decides whether a machine is a member of the group of voters. The crate promises that a call is
//! answered from replicated state only after a confirmation round that began once the call had
//! arrived, and that no order is rejected whose outcome is unknown.
//!
//! It is pure: no I/O, no clock, no threads. Time is an argument; a caller's handle and a machine's
//! address are type parameters, so that the role `control` and the simulator run the same code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acknowledged_versions;
mod call;
mod call_dispatcher;
mod configuration_pushes;
mod faults;
mod group_membership;
mod primary_calls;
mod rejected_orders;
mod relayed_calls;
mod replicated_configuration;

pub use acknowledged_versions::{parse_response_version, AcknowledgedVersions};
pub use call::{error_response, Call, CallKind, CallOrigin, CompletedCall};
pub use call_dispatcher::{CallAction, CallDispatcher};
pub use configuration_pushes::{
    configuration_position, CommittedConfiguration, ConfigurationPushes,
};
#[doc(hidden)]
pub use faults::InjectedFaults;
pub use group_membership::{Eligibility, GroupMembership, GroupView, MembershipAction};
pub use primary_calls::{describe_configuration, PrimaryCalls};
pub use rejected_orders::{RejectedOrder, RejectedOrders};
pub use relayed_calls::{PrimaryLocation, RelayAction, RelayedCalls};
pub use replicated_configuration::{ConfigurationState, ReplicatedConfiguration};

//! Decision logic of a control machine: how it answers operator calls, which messages it sends to
//! each router, and when it joins or leaves the group of voters.
//!
//! Operators call any control machine, and only the primary of the group answers (see
//! `docs/design/control.md`, section 4). [`RelayedCalls`] runs on the machine that received a call
//! and forwards the call to the primary. [`PrimaryCalls`] runs on the primary. [`CallDispatcher`]
//! combines both. [`ConfigurationPushes`] tracks the configurations that one router has received.
//! [`GroupMembership`] decides whether a machine is a member of the group of voters.
//!
//! The crate guarantees:
//! - The primary answers a call from replicated state only after a confirmation round that began
//!   after the call had arrived. In a confirmation round a quorum of voters confirms that the
//!   machine is still the primary.
//! - An order whose outcome is unknown is never rejected.
//!
//! The crate does no I/O, reads no clock and starts no threads. The current time is an argument.
//! Caller handles and machine addresses are type parameters, so the `control` role and the
//! simulator run the same code.
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

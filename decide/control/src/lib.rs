//! What a control machine decides about the calls of operators, and about what each router is sent.
//!
//! It owns who answers a call and when (`docs/design/control.md`, section 4): [`Calls`] joins
//! [`RelayedCalls`], at the machine that took a call, and [`PrimaryCalls`], at the primary;
//! [`Pushes`] is one router's share of what is pushed; [`OwnPart`] says whether a machine takes
//! part in the group of voters. It promises that nothing is answered from state but after a round
//! that began once the call had come, and that no order is refused whose end isn't known.
//!
//! It is pure: no I/O, no clock, no threads. Time is an argument; a caller's handle and a machine's
//! address are type parameters, so that the role `control` and the simulator run the same code.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod acknowledged;
mod call;
mod calls;
mod faults;
mod own_part;
mod primary_calls;
mod pushes;
mod relayed_calls;
mod replicated;

pub use acknowledged::{version_in, Acknowledged};
pub use call::{answer, Call, Origin, Question};
pub use calls::{Action, Calls};
#[doc(hidden)]
pub use faults::Faults;
pub use own_part::{Change, Eligibility, OwnPart, View};
pub use primary_calls::{describe, Ended, PrimaryCalls, Refusal, Refusals};
pub use pushes::{configuration_position, Committed, Pushes};
pub use relayed_calls::{Primary, RelayedCalls, Step};
pub use replicated::{Configured, Replicated};

//! Replicated state without a log: epochs, snapshots, quorums and changes of membership.
//!
//! It owns the algorithm of `docs/design/control.md`, sections 2 to 4, and promises what they say.
//! It is pure: no input or output, clock or threads; time is an argument, and what is to be sent or
//! written comes back as [`Output`]s.
//!
//! A caller makes a [`Replica`] by [`Replica::bootstrap`], [`Replica::recover`] or
//! [`Replica::learner`], hands it what happens ([`Replica::on_message`],
//! [`Replica::on_persisted`], [`Replica::tick`] at [`Replica::next_wake`]) and does, after each
//! call and in order, what [`Replica::take_outputs`] says.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod codec;
mod durable;
mod faults;
mod membership;
mod message;
#[cfg(feature = "model")]
pub mod model;
mod output;
mod replica;
mod settings;
mod state;
mod status;
mod types;

#[doc(hidden)]
pub use faults::{Fault, Faults};

pub use codec::DecodeError;
pub use durable::{DurableItem, Record, RecoverError, Recovered, Snapshot, Update};
pub use membership::{majority_of, Membership};
pub use message::{
    Append, Body, Message, ProcessInstant, ReplicaVersion, SnapshotChunk, CHUNK_BYTES,
};
pub use output::{
    LeadershipTransferReason, MembershipChange, Notice, Outcome, Output, StepDownReason,
};
pub use replica::Replica;
pub use settings::Settings;
pub use state::{ReplicatedState, StateError};
pub use status::{MemberRole, PeerStatus, Status};
pub use types::{Epoch, Identity, Member, Position, RequestId, Time, WriteId};

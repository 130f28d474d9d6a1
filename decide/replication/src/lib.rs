//! Replicated state without a log: epochs, snapshots, quorums and changes of membership.
//!
//! The package implements the algorithm of `docs/design/control.md`, sections 2 to 4, and gives the
//! guarantees stated there. It performs no I/O and uses no clock and no threads: time is an
//! argument, and messages to send and items to write are returned as [`Output`]s.
//!
//! A caller creates a [`Replica`] with [`Replica::bootstrap`], [`Replica::recover`] or
//! [`Replica::learner`]. It passes events to [`Replica::on_message`], [`Replica::on_persisted`] and
//! [`Replica::tick`] (at [`Replica::next_wake`]). After each call, it carries out the outputs of
//! [`Replica::take_outputs`] in order.
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
